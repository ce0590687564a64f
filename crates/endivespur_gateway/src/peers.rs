//! The open connections to other gateways.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
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
    /// The clients for large values, whose pieces must not delay other calls, by address.
    pub value_clients: RefCell<BTreeMap<SocketAddr, gateway::Client>>,
    /// The gateways of an older release, which send changes by another call.
    older: RefCell<BTreeSet<SocketAddr>>,
    unresponsive: RefCell<BTreeMap<SocketAddr, Time>>,
    /// The gateways that could not tell whether endpoints are up, with the time until which they are not
    /// asked again.
    without_links: RefCell<BTreeMap<SocketAddr, Time>>,
    /// The gateways that did not reply in time to a request for a loan of a quota, with the time until which they are not
    /// asked for another one. Other calls may take longer, and are not affected.
    without_loans: RefCell<BTreeMap<SocketAddr, Time>>,
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

    /// Returns whether a gateway is of an older release.
    pub fn is_older(&self, address: SocketAddr) -> bool {
        self.older.borrow().contains(&address)
    }

    /// Records that a gateway is of an older release, as long as the connection to it lasts.
    pub fn found_older(&self, address: SocketAddr) {
        if self.older.borrow_mut().insert(address) {
            info!(event = "peer-older", address:% = address; "sends changes as an older release");
        }
    }

    /// Records that a connection to a gateway has ended: it may be upgraded.
    pub fn disconnected(&self, address: SocketAddr) {
        self.older.borrow_mut().remove(&address);
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

    /// Returns whether a VM recently did not reply in time to a request for a loan.
    pub fn is_without_loans(&self, address: SocketAddr) -> bool {
        let until = self.without_loans.borrow().get(&address).copied();
        until.is_some_and(|until| clock::now() < until)
    }

    /// Records that a VM did not reply in time to a request for a loan.
    pub fn has_no_loans(&self, address: SocketAddr) {
        let until = clock::now() + BACKOFF;
        self.without_loans.borrow_mut().insert(address, until);
    }

    /// Records that a VM replied.
    pub fn replied(&self, address: SocketAddr) {
        self.without_loans.borrow_mut().remove(&address);
        if self.unresponsive.borrow_mut().remove(&address).is_some() {
            info!(event = "peer-regained", address:% = address; "replies again");
        }
    }
}
