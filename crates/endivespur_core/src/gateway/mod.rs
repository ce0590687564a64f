//! The decisions of a gateway in front of engines that load and unload adapters by order.
//!
//! - [`budget`]: the memory and the connections that are held for others.
//! - [`table`]: the routes and services of the operators' configuration.
//! - [`duration`]: how long requests take.
//! - [`endpoint`]: the registrations of endpoints.
//! - [`ownership`]: which VM sends orders to an endpoint.
//! - [`placement`]: which adapters an engine holds.
//! - [`prefix`]: which prompt parts an engine caches.
//! - [`quota`]: how much of their quotas teams may use.
//! - [`choice`]: the order in which endpoints are tried.
//! - [`health`]: which endpoints are avoided.
//! - [`hedge`]: when a second endpoint is asked, and which answer is taken.
//! - [`lease`]: how long orders may be sent under a lease.
//! - [`limit`]: the request rates that endpoints ask for.
//! - [`load`]: the load that endpoints report.
//! - [`crash`]: which requests are refused because they crash endpoints.
//! - [`feed`]: the local copy of the store's keys.
//! - [`room`]: the room of brittle endpoints.
//! - [`reach`]: whether the gateway's own links to endpoints work.
//! - [`stream`]: which software versions began streams.
//! - [`team`]: the teams of callers and their keys.
//! - [`source`]: from where the store's changes are read.

pub mod budget;
pub mod choice;
pub mod crash;
pub mod duration;
pub mod endpoint;
pub mod feed;
pub mod health;
pub mod hedge;
pub mod lease;
pub mod limit;
pub mod load;
pub mod origins;
pub mod ownership;
pub mod pace;
pub mod placement;
pub mod prefix;
pub mod quota;
pub mod reach;
pub mod room;
pub mod source;
pub mod stream;
pub mod table;
pub mod team;
pub mod transfer;
