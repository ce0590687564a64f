//! The streams that began recently, and those that are being looked up.

use std::cell::RefCell;
use std::collections::BTreeSet;

use endivespur_core::gateway::origins::Ledger;
use endivespur_core::gateway::stream::{Key, Tracker};
use event_listener::Event;

/// The streams that began recently, and the lookups of others.
#[derive(Default)]
pub struct Streams {
    /// The streams that began recently.
    pub tracker: RefCell<Tracker>,
    /// The streams that this gateway has written to the store, or is about to write, as a keeper.
    pub ledger: RefCell<Ledger>,
    /// The streams that are being looked up.
    pub lookups: RefCell<BTreeSet<Key>>,
    /// The lookups that have not been sent yet.
    pub queued: RefCell<Vec<Key>>,
    /// Signals that streams are to be shared.
    pub began: Event,
    /// Signals the result of a lookup.
    pub located: Event,
}

impl Streams {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }
}
