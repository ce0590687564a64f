//! How long a VM may send orders under its lease.

use std::time::Duration;

use crate::clock::{self, Time};

/// The share of a lease's duration that is relied on, because clocks run at different rates.
pub const TRUSTED_SHARE: f64 = 0.9;

/// What a VM knows of the validity of its lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Validity {
    /// The time until which the store certainly keeps the lease.
    until: Time,
    /// Whether the process may have been suspended since the last renewal.
    is_unconfirmed: bool,
}

impl Validity {
    /// Creates the validity of a lease that was never granted.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the lease was granted or renewed by a call sent at `sent`.
    pub fn renewed(&mut self, sent: Time, ttl: Duration) {
        self.until = sent + clock::scale(ttl, TRUSTED_SHARE);
        self.is_unconfirmed = false;
    }

    /// Records that the process may have been suspended.
    pub fn suspended(&mut self) {
        self.is_unconfirmed = true;
    }

    /// Returns whether orders may be sent to engines.
    ///
    /// Where engines reject old fencing numbers, orders may continue while the store does not
    /// respond: once a successor has used its number, they fail.
    pub fn permits_orders(&self, now: Time, is_fenced: bool) -> bool {
        !self.is_unconfirmed && (is_fenced || now < self.until)
    }
}
