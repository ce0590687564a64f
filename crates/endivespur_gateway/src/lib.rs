//! The gateway: serves callers from engines that the platform registers.
//!
//! [`follow`] keeps the [`catalog`] and the claims as the store or other gateways tell them, [`member`] the
//! VM's lease and claims, [`owner`] the engines that this VM gives orders, [`peer`] and
//! [`rpc`] the calls between VMs, and [`serve`] answers callers.

mod acquire;
mod apply;
mod catalog;
mod crash;
mod exchange;
mod exposition;
mod follow;
mod generate;
mod lease;
mod member;
mod message;
mod owned;
mod owner;
mod peer;
mod peers;
mod plain;
mod readiness;
mod relay;
mod rpc;
mod serve;
mod start;
mod state;
mod telemetry;
mod timer;

pub use start::{Error, run};
