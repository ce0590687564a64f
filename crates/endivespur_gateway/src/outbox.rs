//! The records of crashes that are not in the store yet.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use endivespur_core::clock::Time;
use endivespur_core::feature::Fingerprint;
use endivespur_core::gateway::crash::Record;
use endivespur_platform::store::Lease;
use event_listener::Event;

/// The records to be shared, and the lease of those in the store.
#[derive(Default)]
pub struct Outbox {
    /// The records that are not in the store yet, oldest first.
    pub pending: RefCell<Vec<Record>>,
    /// How many of the pending records were sent to the other gateways directly.
    pub sent_count: Cell<usize>,
    /// What was quarantined when it was last logged.
    pub logged_quarantine: RefCell<BTreeSet<Fingerprint>>,
    /// Signals that records were added.
    pub added: Event,
    /// Signals that completions refute crashes.
    pub refuted: Event,
    /// The lease, and the time after which it is too old for further keys.
    pub lease: Cell<Option<(Lease, Time)>>,
    /// The number of the last key written by this process.
    pub last_key: Cell<u64>,
}

impl Outbox {
    /// Creates an empty outbox.
    pub fn new() -> Self {
        Self::default()
    }
}
