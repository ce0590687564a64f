//! Tracks failures and latency of endpoints, and decides which of them to avoid.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::{self, Time};
use crate::decay::Counter;
use crate::id::Endpoint;

/// The half-life of the counts of answers and failures.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// The share of failures above which an endpoint is avoided.
const AVOIDED_SHARE: f64 = 0.3;
/// The decayed number of failures below which an endpoint is not avoided.
const MIN_FAILURES: f64 = 1.5;
/// How long an endpoint is avoided before a request tries it again.
const AVOIDANCE_TIME: Duration = Duration::from_millis(1500);

/// How long an endpoint with requests in flight may go without an answer before a timeout counts as
/// a failure.
const MAX_SILENCE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Default)]
struct Record {
    failed: Counter,
    answered: Counter,
    avoided_until: Time,
    latency: Option<f64>,
    last_answer: Time,
    last_activity: Time,
}

/// The outcomes of this VM's requests, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<Endpoint, Record>,
}

impl Tracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a successful answer and its latency.
    pub fn record_success(&mut self, now: Time, endpoint: &str, elapsed: Duration) {
        /// The weight of the newest latency in the moving average.
        const EWMA_WEIGHT: f64 = 0.2;
        let record = self.records.entry(endpoint.to_string()).or_default();
        record.answered.add(now, HALF_LIFE, 1.0);
        record.last_answer = now;
        let elapsed = elapsed.as_secs_f64();
        let latency = record.latency.unwrap_or(elapsed);
        record.latency = Some(latency + EWMA_WEIGHT * (elapsed - latency));
    }

    /// Records that an endpoint has sent a part of a response.
    pub fn record_activity(&mut self, now: Time, endpoint: &str) {
        // Called for each event of a stream: the name is copied for a new endpoint only.
        if let Some(record) = self.records.get_mut(endpoint) {
            record.last_activity = now;
        } else {
            let record = self.records.entry(endpoint.to_string()).or_default();
            record.last_activity = now;
        }
    }

    /// Returns when an endpoint last sent a part of a response; zero if never.
    pub fn last_activity(&self, endpoint: &str) -> Time {
        let record = self.records.get(endpoint);
        record.map_or(Time::ZERO, |record| record.last_activity)
    }

    /// Records that a request timed out.
    ///
    /// Counts as a failure only if the endpoint has not answered any other request recently,
    /// since a long queue is not a failure.
    pub fn record_timeout(&mut self, now: Time, endpoint: &str) {
        let record = self.records.entry(endpoint.to_string()).or_default();
        if now.saturating_sub(record.last_answer) > MAX_SILENCE {
            self.record_failure(now, endpoint);
        }
    }

    /// Records a failed answer; the endpoint is avoided if too many of its answers have failed.
    pub fn record_failure(&mut self, now: Time, endpoint: &str) {
        let record = self.records.entry(endpoint.to_string()).or_default();
        record.failed.add(now, HALF_LIFE, 1.0);
        let failed = record.failed.at(now, HALF_LIFE);
        let answered = record.answered.at(now, HALF_LIFE);
        if failed >= MIN_FAILURES && failed > AVOIDED_SHARE * (failed + answered) {
            record.avoided_until = now + AVOIDANCE_TIME;
        }
    }

    /// Records that nothing listens at an endpoint's address; it is avoided at once.
    pub fn record_unreachable(&mut self, now: Time, endpoint: &str) {
        let record = self.records.entry(endpoint.to_string()).or_default();
        record.failed.add(now, HALF_LIFE, 1.0);
        record.avoided_until = now + AVOIDANCE_TIME;
    }

    /// Returns whether an endpoint should be avoided while others are available.
    pub fn is_avoided(&self, now: Time, endpoint: &str) -> bool {
        self.records
            .get(endpoint)
            .is_some_and(|record| now < record.avoided_until)
    }

    /// Returns the moving average of an endpoint's latency; zero if unknown.
    pub fn latency(&self, endpoint: &str) -> Duration {
        let latency = self.records.get(endpoint).and_then(|record| record.latency);
        clock::from_secs(latency.unwrap_or_default())
    }

    /// Removes the endpoints for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|endpoint, _| keep(endpoint));
    }
}
