//! The Cap'n Proto interfaces for calls between daemons: the code generated from `schema/`.

/// The generated code of `schema/node.capnp`.
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    unused_qualifications
)]
#[rustfmt::skip]
pub mod node_capnp;

/// The generated code of `schema/gateway.capnp`.
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    unused_qualifications
)]
#[rustfmt::skip]
pub mod gateway_capnp;

pub use node_capnp::{answer, ask, gate, grant, held, loan, node, refusal, want};
