//! How long the requests of each route take, learnt from those that have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock;

/// The weight of the newest duration in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// The number of mean deviations above the mean that are expected: two cover an even spread whose mean is known.
const DEVIATIONS: f64 = 2.5;
/// The maximum number of routes that are tracked.
const MAX_ROUTES: usize = 10_000;

/// The moving averages of one route, in seconds.
#[derive(Clone, Copy, Debug)]
struct Record {
    mean: f64,
    deviation: f64,
}

/// The durations of ended requests, by the name of their route.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: BTreeMap<String, Record>,
}

impl Tracker {
    /// Creates a tracker that knows no durations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how long a request took that an endpoint has run.
    pub fn record(&mut self, route: &str, took: Duration) {
        let took = took.as_secs_f64();
        if let Some(record) = self.records.get_mut(route) {
            let error = took - record.mean;
            record.mean += EWMA_WEIGHT * error;
            record.deviation += EWMA_WEIGHT * (error.abs() - record.deviation);
        } else if self.records.len() < MAX_ROUTES {
            let record = Record {
                mean: took,
                deviation: took / 2.0,
            };
            self.records.insert(route.to_string(), record);
        }
    }

    /// Returns the time within which most requests of a route end; zero if none has ended.
    pub fn expected(&self, route: &str) -> Duration {
        let record = self.records.get(route);
        let seconds = record.map_or(0.0, |record| record.mean + DEVIATIONS * record.deviation);
        clock::from_secs(seconds)
    }
}
