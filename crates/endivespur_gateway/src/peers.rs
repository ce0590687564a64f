//! The open connections to other gateways.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_wire::gateway_capnp::gateway;
use log::{info, warn};

/// How long a VM that did not reply is not called again.
const BACKOFF: Duration = Duration::from_millis(400);

/// The open connections, and the gateways that did not reply.
#[derive(Default)]
pub struct Peers {
    /// The clients by address.
    pub clients: RefCell<BTreeMap<SocketAddr, gateway::Client>>,
    unresponsive: RefCell<BTreeMap<SocketAddr, Time>>,
    /// The gateways that could not tell whether endpoints are up, with the time until which they are not
    /// asked again.
    without_links: RefCell<BTreeMap<SocketAddr, Time>>,
}

impl Peers {
    /// Creates a set without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a VM recently did not reply.
    pub fn is_unresponsive(&self, address: SocketAddr) -> bool {
        let now = clock::now();
        let unresponsive = self.unresponsive.borrow();
        unresponsive.get(&address).is_some_and(|until| now < *until)
    }

    /// Records that a VM did not reply, and drops its connection.
    pub fn failed(&self, address: SocketAddr, message: &str) {
        self.clients.borrow_mut().remove(&address);
        let until = clock::now() + BACKOFF;
        let previous = self.unresponsive.borrow_mut().insert(address, until);
        if previous.is_none() {
            warn!(event = "peer-lost", address:% = address; "{message}");
        }
    }

    /// Returns whether a VM recently could not tell whether endpoints are up.
    pub fn is_without_links(&self, address: SocketAddr) -> bool {
        let until = self.without_links.borrow().get(&address).copied();
        until.is_some_and(|until| clock::now() < until)
    }

    /// Records that a VM could not tell whether an endpoint is up: it may be cut off itself.
    pub fn has_no_links(&self, address: SocketAddr) {
        let until = clock::now() + BACKOFF;
        self.without_links.borrow_mut().insert(address, until);
    }

    /// Records that a VM replied.
    pub fn replied(&self, address: SocketAddr) {
        if self.unresponsive.borrow_mut().remove(&address).is_some() {
            info!(event = "peer-regained", address:% = address; "replies again");
        }
    }
}
