//! The kept connections to other gateways.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_wire::gateway_capnp::gateway;
use log::{info, warn};

/// How long a VM that did not answer is not asked again.
const SILENCE: Duration = Duration::from_millis(400);

/// The kept connections.
#[derive(Default)]
pub struct Peers {
    /// The clients by address.
    pub clients: RefCell<BTreeMap<SocketAddr, gateway::Client>>,
    silent: RefCell<BTreeMap<SocketAddr, Time>>,
}

impl Peers {
    /// Makes a list without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether a VM has lately not answered.
    pub fn is_silent(&self, address: SocketAddr) -> bool {
        let now = clock::now();
        let silent = self.silent.borrow();
        silent.get(&address).is_some_and(|until| now < *until)
    }

    /// Notes that a VM did not answer, and drops its connection.
    pub fn failed(&self, address: SocketAddr, message: &str) {
        self.clients.borrow_mut().remove(&address);
        let until = clock::now() + SILENCE;
        let known = self.silent.borrow_mut().insert(address, until);
        if known.is_none() {
            warn!(event = "peer-lost", address:% = address; "{message}");
        }
    }

    /// Notes that a VM answered.
    pub fn answered(&self, address: SocketAddr) {
        if self.silent.borrow_mut().remove(&address).is_some() {
            info!(event = "peer-regained", address:% = address; "answers again");
        }
    }
}
