//! The gateway: serves callers' requests with the engines registered on the platform.
//!
//! [`follow`] keeps the [`catalog`] and the claims up to date from the store or from other
//! gateways, [`fetch`] receives large values that have changed, [`member`] keeps the VM's lease and claims engines, [`owner`] sends orders to the
//! engines that this VM owns, [`peer`] and [`rpc`] are the two sides of the calls between VMs, and
//! [`serve`] handles the requests of callers.

mod acquire;
mod ahead;
mod apply;
mod assign;
mod attempt;
mod authorize;
mod body;
mod budget;
mod catalog;
mod checks;
mod confirm;
mod confirmations;
mod connect;
mod crash;
mod exchange;
mod exposition;
mod fetch;
mod follow;
mod forward;
mod generate;
mod grace;
mod hedge;
mod identify;
mod lease;
mod limit;
mod link;
mod marker;
mod member;
mod message;
mod notice;
mod origins;
mod outbox;
mod owned;
mod owner;
mod pack;
mod peer;
mod peers;
mod plain;
mod quota;
mod quotas;
mod reach;
mod readiness;
mod record;
mod relay;
mod resume;
mod room;
mod rpc;
mod search;
mod serve;
mod software;
mod source;
mod start;
mod state;
mod stream;
mod streams;
pub mod task;
mod telemetry;
mod timer;
mod update;
mod values;

pub use start::{Error, run, run_until};
