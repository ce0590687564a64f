//! Requests that are suspected of crashing the endpoints that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;
use crate::id::Endpoint;

/// Endpoints that one request may crash before it is refused for good.
pub const CRASH_LIMIT: usize = 2;

/// The hash of organisation, adapter and body.
pub type Fingerprint = u64;

/// How a request with a fingerprint is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Nothing is known against it.
    Clear,
    /// It runs with no other request beside it.
    Alone,
    /// It is refused for good.
    Quarantined,
    /// Another run of it is under way alone; this one waits.
    Wait,
}

/// The time after which a run alone no longer holds back its twins.
const MAX_RUN_ALONE: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Record {
    crashes: BTreeSet<(Endpoint, u64)>,
    /// Until when a run alone holds back its twins.
    running: Time,
    at: Time,
}

/// The fingerprints under suspicion, kept by the node that is home to them.
#[derive(Debug)]
pub struct Tracker {
    records: BTreeMap<Fingerprint, Record>,
    memory: Duration,
}

impl Tracker {
    /// Makes an empty list that forgets a suspicion after `memory`.
    pub fn new(memory: Duration) -> Self {
        Self {
            records: BTreeMap::new(),
            memory,
        }
    }

    /// Returns how a request is to be run; an `Alone` run ends by `crashed`, `completed` or
    /// `abandoned`, or holds back its twins for a minute.
    pub fn admit(&mut self, now: Time, fingerprint: Fingerprint) -> Admission {
        let memory = self.memory;
        self.records.retain(|_, record| record.at + memory > now);
        let mut record = self.records.get_mut(&fingerprint);
        if let Some(record) = &mut record {
            // A caller that goes on sending keeps the suspicion alive.
            record.at = now;
        }
        match record {
            None => Admission::Clear,
            Some(record) if record.crashes.len() >= CRASH_LIMIT => Admission::Quarantined,
            Some(record) if now < record.running => Admission::Wait,
            Some(record) => {
                record.running = now + MAX_RUN_ALONE;
                Admission::Alone
            }
        }
    }

    /// Notes that the request was in flight on an endpoint when it crashed.
    ///
    /// A request that runs alone has crashed the endpoint for certain.
    pub fn crashed(&mut self, now: Time, fingerprint: Fingerprint, endpoint: &str, attempt: u64) {
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            crashes: BTreeSet::new(),
            running: Time::ZERO,
            at: now,
        });
        record.crashes.insert((endpoint.to_string(), attempt));
        record.running = Time::ZERO;
        record.at = now;
    }

    /// Notes that a run alone was given up before it began.
    pub fn abandoned(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.running = Time::ZERO;
        }
    }

    /// Notes that the request ran without a crash.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Iterates over the suspected fingerprints and the crashes of each.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.records
            .iter()
            .map(|(fingerprint, record)| (*fingerprint, record.crashes.len()))
    }
}
