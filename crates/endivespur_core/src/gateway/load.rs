//! The load that endpoints report in their responses, weighed by its age.
//!
//! A gateway of a large fleet hears from an endpoint rarely: a figure is often hundreds of milliseconds old, and the
//! requests that other gateways have sent since are unknown. Older figures therefore give way to the average of the
//! earlier ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Endpoint;

/// The age at which a reported count weighs half: a queue of a plain endpoint fills or drains in a few of these.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(300);
/// The age at which the average of the counts weighs half: an endpoint that was full for long is tried again, since
/// only its responses tell that it no longer is.
const AVERAGE_HALF_LIFE: Duration = Duration::from_secs(4);
/// The age at which the measured time of work weighs half. An endpoint that was slow is tried again after a few of
/// these; with 1 s instead of 4 s, half as many again of the requests in 10 s with a slow endpoint were late.
const WORK_HALF_LIFE: Duration = Duration::from_secs(4);
/// The age up to which a report of waiting requests counts.
const WAITING_TIME: Duration = Duration::from_secs(1);
/// The weight of the earlier times of work beside a new one, if they are recent.
const MAX_KEPT_WORK: f64 = 0.7;
/// The most requests for each slot that a report is believed to count.
const MAX_SHARE: f64 = 100.0;
/// The weight of the newest count in the average.
const AVERAGE_WEIGHT: f64 = 0.1;

/// What a response says of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The requests that the endpoint runs.
    pub running: usize,
    /// The requests that wait for a slot.
    pub waiting: usize,
    /// The endpoint's slots, as registered.
    pub slots: usize,
    /// The other requests of this gateway that were in flight there when the response arrived.
    pub in_flight: usize,
}

impl Report {
    fn count(&self) -> f64 {
        let limit = MAX_SHARE * self.slots.max(1) as f64;
        (self.running as f64 + self.waiting as f64).min(limit)
    }

    /// Returns how many requests share a slot, at least one.
    fn share(&self) -> f64 {
        (self.count() / self.slots.max(1) as f64).max(1.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    report: Report,
    reported_at: Time,
    average: f64,
    /// The time of the work of one request in seconds, without the wait for a slot.
    work: f64,
    worked_at: Option<Time>,
}

/// The estimated load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The requests that it runs or that wait there.
    pub requests: f64,
    /// The time of the work of one request in seconds.
    pub work: f64,
    /// How much that time counts beside those of other endpoints, from 0 to 1.
    pub work_weight: f64,
}

/// The last reports, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<Endpoint, Record>,
}

impl Tracker {
    /// Creates a tracker without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the report of a response.
    pub fn record(&mut self, now: Time, endpoint: &str, report: Report) {
        let count = report.count();
        if let Some(record) = self.records.get_mut(endpoint) {
            record.average += AVERAGE_WEIGHT * (count - record.average);
            record.report = report;
            record.reported_at = now;
        } else {
            let record = Record {
                report,
                reported_at: now,
                average: count,
                work: 0.0,
                worked_at: None,
            };
            self.records.insert(endpoint.to_string(), record);
        }
    }

    /// Records how long a request took that an endpoint answered, if it reports its load.
    pub fn record_time(&mut self, now: Time, endpoint: &str, took: Duration) {
        let Some(record) = self.records.get_mut(endpoint) else {
            return;
        };
        let work = took.as_secs_f64() / record.report.share();
        let kept = record.worked_at.map_or(0.0, |at| {
            MAX_KEPT_WORK * weight(now.saturating_sub(at), WORK_HALF_LIFE)
        });
        record.work = kept * record.work + (1.0 - kept) * work;
        record.worked_at = Some(now);
    }

    /// Returns the load of an endpoint at which this gateway has `in_flight` requests; `None` if it reports none.
    pub fn estimate(&self, now: Time, endpoint: &str, in_flight: usize) -> Option<Load> {
        let record = self.records.get(endpoint)?;
        let age = now.saturating_sub(record.reported_at);
        let reported = weight(age, COUNT_HALF_LIFE);
        let average = record.average * weight(age, AVERAGE_HALF_LIFE);
        let count = reported * record.report.count() + (1.0 - reported) * average;
        // Of this gateway's own requests the report knows those that were in flight then.
        let added = in_flight as f64 - record.report.in_flight as f64;
        Some(Load {
            requests: (count + added).max(in_flight as f64),
            work: record.work,
            work_weight: record
                .worked_at
                .map_or(0.0, |at| weight(now.saturating_sub(at), WORK_HALF_LIFE)),
        })
    }

    /// Returns whether an endpoint has reported recently that requests wait for its slots.
    pub fn is_waiting(&self, now: Time, endpoint: &str) -> bool {
        self.records.get(endpoint).is_some_and(|record| {
            let age = now.saturating_sub(record.reported_at);
            record.report.waiting > 0 && age < WAITING_TIME
        })
    }

    /// Removes the endpoints for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|endpoint, _| keep(endpoint));
    }
}

/// Returns the weight of a figure of this age.
fn weight(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
