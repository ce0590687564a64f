//! The requests to confirm that this gateway knows all registrations of endpoints.

use std::cell::Cell;

use event_listener::Event;

/// The requests for a confirmation, which one call to the store answers together.
#[derive(Default)]
pub struct Confirmations {
    /// The number of requests so far.
    pub requested: Cell<u64>,
    /// The number of the last request that was answered, and whether the view was confirmed.
    pub answered: Cell<(u64, bool)>,
    /// Whether the store is being asked.
    pub is_asking: Cell<bool>,
    /// Signals an answer.
    pub changed: Event,
}

impl Confirmations {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }
}
