//! Who is served under heavy load, by an engine model in place of engines.

mod model;
mod overload;
mod plain;
mod popular;
