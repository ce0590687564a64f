//! The decisions of a gateway in front of engines that place adapters by order.
//!
//! [`table`] says where a request may go, [`endpoint`] what the endpoints tell of
//! themselves, [`ownership`] which VM gives an endpoint its orders, [`placement`] which
//! adapters it holds, [`choice`] in which order endpoints are tried, [`health`] which of
//! them are avoided, [`crash`] which requests are refused since they crash endpoints, [`feed`]
//! what the store last told, and [`source`] from where that is learned.

pub mod choice;
pub mod crash;
pub mod endpoint;
pub mod feed;
pub mod health;
pub mod ownership;
pub mod placement;
pub mod prefix;
pub mod source;
pub mod table;
