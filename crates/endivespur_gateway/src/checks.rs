//! The requests that wait for the check whether an endpoint crashed.

use std::cell::RefCell;
use std::collections::BTreeMap;

use endivespur_core::clock::Time;
use endivespur_core::gateway::crash::Crash;
use endivespur_core::suspect::Fingerprint;

/// A request that may have crashed an endpoint.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The id of the attempt, for the log.
    pub request: String,
    /// When the caller left or its deadline passed without a response; `None` if the response was
    /// lost. The request is cleared if the endpoint has sent anything since.
    pub silent_since: Option<Time>,
}

/// The requests to be checked, by the crash that they may have caused.
#[derive(Debug, Default)]
pub struct Checks {
    waiting: RefCell<BTreeMap<Crash, Vec<Suspect>>>,
}

impl Checks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request to the check of an endpoint; returns whether that check must be started.
    pub fn add(&self, crash: Crash, suspect: Suspect) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let suspects = waiting.entry(crash).or_default();
        suspects.push(suspect);
        suspects.len() == 1
    }

    /// Removes and returns the requests that wait for the check of an endpoint.
    pub fn take(&self, crash: &Crash) -> Vec<Suspect> {
        let suspects = self.waiting.borrow_mut().remove(crash);
        suspects.unwrap_or_default()
    }
}
