//! The decisions of endivespur as state machines without input or output.
//!
//! Every machine takes events and the current [`clock::Time`] and returns actions;
//! sockets, files and timers live in the daemon's crate.

pub mod acquire;
pub mod burn;
pub mod clock;
pub mod command;
pub mod config;
pub mod decay;
pub mod gateway;
pub mod hash;
pub mod id;
pub mod lease;
pub mod line;
pub mod member;
pub mod order;
pub mod owner;
pub mod place;
pub mod query;
pub mod queue;
pub mod retry;
pub mod route;
pub mod schedule;
pub mod slot;
pub mod suspect;
