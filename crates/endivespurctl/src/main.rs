//! The operators' command-line tool of endivespur.

fn main() {}
