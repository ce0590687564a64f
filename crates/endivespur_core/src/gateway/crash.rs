//! Quarantines requests that crash the endpoints that run them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::suspect::Fingerprint;

/// The number of crashes after which a request is refused. A harmless request may share an endpoint
/// with the request that crashes it, usually during one crash and rarely during two.
const CRASH_LIMIT: u32 = 3;
/// How long a record is kept after the last crash or the last refusal.
const RETENTION: Duration = Duration::from_mins(2);

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    /// When the request last crashed an endpoint or was last refused.
    last_seen: Time,
}

/// The crashes of endpoints, by the fingerprint of each request that was in flight.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<Fingerprint, Record>,
}

impl Tracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint crashed while it ran a request; returns the number of crashes
    /// recorded for the request.
    pub fn record_crash(&mut self, now: Time, fingerprint: Fingerprint) -> u32 {
        self.records
            .retain(|_, record| now < record.last_seen + RETENTION);
        let record = self.records.entry(fingerprint).or_insert(Record {
            crashes: 0,
            last_seen: now,
        });
        record.crashes += 1;
        record.last_seen = now;
        record.crashes
    }

    /// Returns whether a request must be refused; a refusal extends the quarantine.
    pub fn is_quarantined(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        match self.records.get_mut(&fingerprint) {
            Some(record) if now < record.last_seen + RETENTION && record.crashes >= CRASH_LIMIT => {
                record.last_seen = now;
                true
            }
            _ => false,
        }
    }
}
