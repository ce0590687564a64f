//! Tracking of requests, and of messages that requests share, that are suspected of crashing the
//! endpoints that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;
use crate::feature::{self, Candidate, Feature, Fingerprint, Observations, Scope};
use crate::id::Endpoint;

/// The number of endpoints that one request may crash before it is refused permanently.
pub const CRASH_LIMIT: usize = 2;
/// The same for a message that unlike requests share: two crashes of one request do not tell its
/// messages apart.
pub const MESSAGE_CRASH_LIMIT: usize = 3;
/// The number of crashes from which requests with a message run alone. Many requests share a message
/// and would have to wait for each other after each crash of an endpoint.
const MESSAGE_DOUBT_LIMIT: usize = 2;

/// How a request with a given feature may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is not suspected and runs normally.
    Clear,
    /// It runs with no other request on the same endpoint.
    Alone,
    /// It is refused permanently.
    Quarantined,
    /// A request with the same feature is running alone; this one waits.
    Wait,
}

/// The time after which a run alone no longer blocks requests with the same feature.
const MAX_ALONE_BLOCK: Duration = Duration::from_mins(1);

/// The number of the run in a crash during which several requests may have been in flight.
pub const SHARED_RUN: u64 = 0;

#[derive(Debug)]
struct Record {
    scope: Scope,
    /// The endpoints, and the runs that crashed them: [`SHARED_RUN`] unless the request ran alone.
    crashes: Observations<(Endpoint, u64)>,
    /// Until when a run alone blocks requests with the same feature.
    alone_until: Time,
    last_seen: Time,
}

impl Record {
    fn is_suspected(&self) -> bool {
        self.scope == Scope::Request || self.crashes.len() >= MESSAGE_DOUBT_LIMIT
    }

    /// Returns the number of crashes from which the feature is quarantined, if it can be: a message
    /// is never refused only for crashes that other requests may have caused.
    fn limit(&self) -> Option<usize> {
        if self.scope == Scope::Request {
            return Some(CRASH_LIMIT);
        }
        let mut runs = self.crashes.keys().map(|(_, run)| *run);
        let has_run_alone = runs.any(|run| run != SHARED_RUN);
        has_run_alone.then_some(MESSAGE_CRASH_LIMIT)
    }
}

/// The suspected features.
#[derive(Debug)]
pub struct Tracker {
    records: BTreeMap<Fingerprint, Record>,
    /// The features that are refused.
    quarantined: BTreeSet<Fingerprint>,
    retention: Duration,
}

impl Tracker {
    /// Creates an empty tracker that drops a record `retention` after the last crash or the last
    /// call of [`Tracker::admit`] for it.
    pub fn new(retention: Duration) -> Self {
        Self {
            records: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            retention,
        }
    }

    /// Returns whether a feature may have crashed endpoints.
    pub fn is_suspected(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(Record::is_suspected)
    }

    /// Returns how a request with a feature may be run.
    ///
    /// After [`Admission::Alone`], requests with the same feature wait until `crashed`, `completed`
    /// or `abandoned` is called, at most for a minute.
    pub fn admit(&mut self, now: Time, fingerprint: Fingerprint) -> Admission {
        self.remove_expired(now);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Admission::Clear;
        };
        // A caller that keeps sending the request keeps the record alive.
        record.last_seen = now;
        if self.quarantined.contains(&fingerprint) {
            Admission::Quarantined
        } else if !record.is_suspected() {
            Admission::Clear
        } else if now < record.alone_until {
            Admission::Wait
        } else {
            record.alone_until = now + MAX_ALONE_BLOCK;
            Admission::Alone
        }
    }

    /// Records that a request with a feature was in flight on an endpoint when the endpoint crashed;
    /// `request` is the fingerprint of the whole request.
    ///
    /// `run` identifies the run if the request ran alone and certainly caused the crash; otherwise it
    /// is [`SHARED_RUN`].
    pub fn crashed(
        &mut self,
        now: Time,
        feature: Feature,
        request: Fingerprint,
        endpoint: &str,
        run: u64,
    ) {
        self.remove_expired(now);
        let new = || Record {
            scope: feature.scope,
            crashes: BTreeMap::new(),
            alone_until: Time::ZERO,
            last_seen: now,
        };
        let record = self.records.entry(feature.fingerprint).or_insert_with(new);
        record.scope = record.scope.max(feature.scope);
        let crash = (endpoint.to_string(), run);
        record.crashes.entry(crash).or_default().insert(request);
        record.alone_until = Time::ZERO;
        record.last_seen = now;
        self.update_causes();
    }

    fn remove_expired(&mut self, now: Time) {
        let retention = self.retention;
        let count = self.records.len();
        self.records
            .retain(|_, record| record.last_seen + retention > now);
        if self.records.len() < count {
            self.update_causes();
        }
    }

    fn update_causes(&mut self) {
        let records = self.records.iter();
        let candidates = records.filter_map(|(fingerprint, record)| {
            Some(Candidate {
                feature: Feature {
                    fingerprint: *fingerprint,
                    scope: record.scope,
                },
                observations: record.crashes.clone(),
                limit: record.limit()?,
            })
        });
        self.quarantined = feature::find_causes(candidates.collect());
    }

    /// Records that a run alone was abandoned before it started.
    pub fn abandoned(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.alone_until = Time::ZERO;
        }
    }

    /// Records that a request with a feature ran without a crash, which clears the suspicion.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        if self.records.remove(&fingerprint).is_some() {
            self.update_causes();
        }
    }

    /// Iterates over the suspected features and the number of crashes of each.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.records
            .iter()
            .map(|(fingerprint, record)| (*fingerprint, record.crashes.len()))
    }
}
