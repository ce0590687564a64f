//! The lease under which this VM's keys in the store are written.

use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_platform::store;

/// The share of a lease's duration that is relied on, because clocks run at different rates.
const TRUSTED_SHARE: f64 = 0.9;

/// This VM's local view of its lease.
#[derive(Debug, Default)]
pub struct Lease {
    /// The store's lease; `None` before the first grant and after its end.
    pub id: Option<store::Lease>,
    /// The time until which the store certainly keeps it.
    valid_until: Time,
    /// Whether the process may have been suspended since the last renewal.
    pub is_unconfirmed: bool,
}

impl Lease {
    /// Creates the state of a VM without a lease.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the lease was granted or renewed by a call sent at `sent`.
    pub fn renewed(&mut self, id: store::Lease, sent: Time, ttl: Duration) {
        self.id = Some(id);
        self.valid_until = sent + ttl.mul_f64(TRUSTED_SHARE);
        self.is_unconfirmed = false;
    }

    /// Records that the store has ended the lease.
    pub fn end(&mut self) {
        self.id = None;
        self.valid_until = Time::ZERO;
    }

    /// Returns whether orders may be sent to engines under this lease.
    ///
    /// Where engines reject old fencing numbers, orders may continue while the store does not
    /// respond: once a successor has used its number, they fail.
    pub fn permits_orders(&self, now: Time, is_fenced: bool) -> bool {
        self.id.is_some() && !self.is_unconfirmed && (is_fenced || now < self.valid_until)
    }
}
