//! Which endpoints are avoided because of how they answered.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::decay::Counter;
use crate::id::Endpoint;

/// The time over which answers lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// The share of failed answers from which an endpoint is avoided.
const AVOIDED_SHARE: f64 = 0.3;
/// The weight of failures below which nothing is concluded.
const MIN_FAILURES: f64 = 1.5;
/// How long an avoided endpoint rests before one request tries it.
const REST: Duration = Duration::from_millis(1500);

/// How long an endpoint with requests may go without an answer.
const SILENCE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Default)]
struct Record {
    failed: Counter,
    answered: Counter,
    rest_until: Time,
    latency: Option<f64>,
    last_answer: Time,
}

/// What this VM has seen of the endpoints' answers.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<Endpoint, Record>,
}

impl Tracker {
    /// Makes an empty board.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a sound answer and how long it took.
    pub fn record_success(&mut self, now: Time, endpoint: &str, took: Duration) {
        /// The weight of the newest latency in the moving average.
        const NEWEST_SHARE: f64 = 0.2;
        let record = self.records.entry(endpoint.to_string()).or_default();
        record.answered.add(now, HALF_LIFE, 1.0);
        record.last_answer = now;
        let took = took.as_secs_f64();
        let latency = record.latency.unwrap_or(took);
        record.latency = Some(latency + NEWEST_SHARE * (took - latency));
    }

    /// Notes that a request had no answer in time, which counts as a failure only if the
    /// endpoint has answered no other request lately: a long queue is no failure.
    pub fn record_timeout(&mut self, now: Time, endpoint: &str) {
        let record = self.records.entry(endpoint.to_string()).or_default();
        if now.saturating_sub(record.last_answer) > SILENCE {
            self.record_failure(now, endpoint);
        }
    }

    /// Notes a failed answer; the endpoint rests if a good share of its answers failed.
    pub fn record_failure(&mut self, now: Time, endpoint: &str) {
        let record = self.records.entry(endpoint.to_string()).or_default();
        record.failed.add(now, HALF_LIFE, 1.0);
        let failed = record.failed.at(now, HALF_LIFE);
        let answered = record.answered.at(now, HALF_LIFE);
        if failed >= MIN_FAILURES && failed > AVOIDED_SHARE * (failed + answered) {
            record.rest_until = now + REST;
        }
    }

    /// Notes that nothing listens at an endpoint's address: it rests at once.
    pub fn record_unreachable(&mut self, now: Time, endpoint: &str) {
        let record = self.records.entry(endpoint.to_string()).or_default();
        record.failed.add(now, HALF_LIFE, 1.0);
        record.rest_until = now + REST;
    }

    /// Tells whether an endpoint should be avoided while others will do.
    pub fn is_avoided(&self, now: Time, endpoint: &str) -> bool {
        self.records
            .get(endpoint)
            .is_some_and(|record| now < record.rest_until)
    }

    /// Returns the moving average of an endpoint's latency, zero if unknown.
    pub fn latency(&self, endpoint: &str) -> Duration {
        let latency = self.records.get(endpoint).and_then(|record| record.latency);
        Duration::from_secs_f64(latency.unwrap_or_default())
    }

    /// Forgets endpoints for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|endpoint, _| keep(endpoint));
    }
}
