//! The lease under which this VM's keys in the store are written.

use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::gateway::lease::Validity;
use endivespur_platform::store;

/// This VM's local view of its lease.
#[derive(Debug, Default)]
pub struct Lease {
    /// The store's lease; `None` before the first grant and after its end.
    pub id: Option<store::Lease>,
    validity: Validity,
}

impl Lease {
    /// Creates the state of a VM without a lease.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the lease was granted or renewed by a call sent at `sent`.
    pub fn renewed(&mut self, id: store::Lease, sent: Time, ttl: Duration) {
        self.id = Some(id);
        self.validity.renewed(sent, ttl);
    }

    /// Records that the store has ended the lease.
    pub fn end(&mut self) {
        self.id = None;
        self.validity = Validity::new();
    }

    /// Records that the process may have been suspended since the last renewal.
    pub fn suspended(&mut self) {
        self.validity.suspended();
    }

    /// Returns whether the store certainly keeps the lease.
    pub fn is_valid(&self, now: Time) -> bool {
        self.permits_orders(now, false)
    }

    /// Returns whether orders may be sent to engines under this lease.
    pub fn permits_orders(&self, now: Time, is_fenced: bool) -> bool {
        self.id.is_some() && self.validity.permits_orders(now, is_fenced)
    }
}
