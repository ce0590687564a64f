//! The daemon: carries out the decisions of `endivespur_core` with sockets, files and timers.

mod adopt;
mod answer;
mod answered;
mod bodies;
mod claim;
mod complete;
mod counted;
mod dispatch;
mod engine;
mod entry;
mod guard;
mod host;
mod loads;
mod node;
mod once;
mod operator;
mod peer;
mod plain;
mod quota;
mod quotas;
mod rows;
mod rpc;
pub mod settings;
mod start;
mod suspicion;
mod sync;
mod units;
mod vms;

use endivespur_clock as clock;
pub use start::{Addresses, Error, Running, start};
