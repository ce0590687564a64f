//! The decisions of endivespur as state machines that do no input or output.
//!
//! Each state machine takes events and the current [`clock::Time`] and returns actions.
//! The daemon's crate has the sockets, files and timers and carries out the actions.

pub mod acquire;
pub mod burn;
pub mod clock;
pub mod command;
pub mod config;
pub mod decay;
pub mod feature;
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
pub mod quota;
pub mod retry;
pub mod route;
pub mod schedule;
pub mod slot;
pub mod suspect;
pub mod throttle;
pub mod usage;
