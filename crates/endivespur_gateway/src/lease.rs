//! The lease that this VM's keys in the store are tied to.

use std::time::Duration;

use endivespur_core::clock::Time;

/// The part of a lease that is relied on, because clocks run at different rates.
const RELIED_SHARE: f64 = 0.9;

/// The lease that this VM's keys are tied to.
#[derive(Debug, Default)]
pub struct Lease {
    /// The lease's number, if the store has not ended it.
    pub id: Option<u64>,
    /// Until when the store keeps it for certain.
    until: Time,
    /// Whether the process may have been suspended since the last renewal.
    pub is_doubtful: bool,
}

impl Lease {
    /// Makes the state of a VM without a lease.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the lease was granted or renewed by a call sent then.
    pub fn renewed(&mut self, id: u64, sent: Time, ttl: Duration) {
        self.id = Some(id);
        self.until = sent + ttl.mul_f64(RELIED_SHARE);
        self.is_doubtful = false;
    }

    /// Notes that the store has ended it.
    pub fn end(&mut self) {
        self.id = None;
        self.until = Time::ZERO;
    }

    /// Tells whether engines may be given orders under it.
    ///
    /// Where engines refuse old fencing numbers, orders go on while the store is silent:
    /// a successor's number makes them fail.
    pub fn permits_orders(&self, now: Time, is_fenced: bool) -> bool {
        self.id.is_some() && !self.is_doubtful && (is_fenced || now < self.until)
    }
}
