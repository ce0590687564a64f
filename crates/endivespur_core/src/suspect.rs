//! Tracking of requests that are suspected of crashing the endpoints that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;
use crate::id::Endpoint;

/// The number of endpoints that one request may crash before it is refused permanently.
pub const CRASH_LIMIT: usize = 2;

/// The hash of organisation, adapter and body.
pub type Fingerprint = u64;

/// How a request with a given fingerprint may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has no recorded crash and runs normally.
    Clear,
    /// It runs with no other request on the same endpoint.
    Alone,
    /// It is refused permanently.
    Quarantined,
    /// A request with the same fingerprint is running alone; this one waits.
    Wait,
}

/// The time after which a run alone no longer blocks requests with the same fingerprint.
const MAX_ALONE_BLOCK: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Record {
    crashes: BTreeSet<(Endpoint, u64)>,
    /// Until when a run alone blocks requests with the same fingerprint.
    alone_until: Time,
    last_seen: Time,
}

/// The suspected fingerprints that this node is responsible for.
#[derive(Debug)]
pub struct Tracker {
    records: BTreeMap<Fingerprint, Record>,
    retention: Duration,
}

impl Tracker {
    /// Creates an empty tracker that drops a record `retention` after the last crash or the last
    /// call of [`Tracker::admit`] for it.
    pub fn new(retention: Duration) -> Self {
        Self {
            records: BTreeMap::new(),
            retention,
        }
    }

    /// Returns how a request may be run.
    ///
    /// After [`Admission::Alone`], requests with the same fingerprint wait until `crashed`,
    /// `completed` or `abandoned` is called, at most for a minute.
    pub fn admit(&mut self, now: Time, fingerprint: Fingerprint) -> Admission {
        let retention = self.retention;
        self.records
            .retain(|_, record| record.last_seen + retention > now);
        let mut record = self.records.get_mut(&fingerprint);
        if let Some(record) = &mut record {
            // A caller that keeps sending the request keeps the record alive.
            record.last_seen = now;
        }
        match record {
            None => Admission::Clear,
            Some(record) if record.crashes.len() >= CRASH_LIMIT => Admission::Quarantined,
            Some(record) if now < record.alone_until => Admission::Wait,
            Some(record) => {
                record.alone_until = now + MAX_ALONE_BLOCK;
                Admission::Alone
            }
        }
    }

    /// Records that the request was in flight on an endpoint when the endpoint crashed.
    ///
    /// If the request ran alone, it certainly caused the crash.
    pub fn crashed(&mut self, now: Time, fingerprint: Fingerprint, endpoint: &str, attempt: u64) {
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            crashes: BTreeSet::new(),
            alone_until: Time::ZERO,
            last_seen: now,
        });
        record.crashes.insert((endpoint.to_string(), attempt));
        record.alone_until = Time::ZERO;
        record.last_seen = now;
    }

    /// Records that a run alone was abandoned before it started.
    pub fn abandoned(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.alone_until = Time::ZERO;
        }
    }

    /// Records that the request ran without a crash, which clears the suspicion.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Iterates over the suspected fingerprints and the number of crashes of each.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.records
            .iter()
            .map(|(fingerprint, record)| (*fingerprint, record.crashes.len()))
    }
}
