//! HTTP client and server on `smol`, server-sent events, and the client of the platform's store.

pub mod body;
pub mod client;
pub mod http;
pub mod sse;
pub mod store;
mod stream;
