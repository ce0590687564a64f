//! Quarantines requests that crash the endpoints that run them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::suspect::Fingerprint;

/// The number of crashes after which a request is refused. Other requests on the same endpoint are
/// in flight during one such crash, rarely during two.
const CRASH_LIMIT: u32 = 3;
/// How long a record is kept after the last crash or the last refusal.
const RETENTION: Duration = Duration::from_mins(2);

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    at: Time,
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

    /// Records that an endpoint crashed while it ran a request.
    pub fn record_crash(&mut self, now: Time, fingerprint: Fingerprint) {
        self.records.retain(|_, record| now < record.at + RETENTION);
        let record = self.records.entry(fingerprint).or_insert(Record {
            crashes: 0,
            at: now,
        });
        record.crashes += 1;
        record.at = now;
    }

    /// Returns whether a request must be refused; a refusal extends the quarantine.
    pub fn is_quarantined(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        match self.records.get_mut(&fingerprint) {
            Some(record) if now < record.at + RETENTION && record.crashes >= CRASH_LIMIT => {
                record.at = now;
                true
            }
            _ => false,
        }
    }
}
