//! Who is served under heavy load, by an engine model in place of engines.

mod fleet;
mod model;
mod overload;
mod pace;
mod plain;
mod popular;
mod teams;
