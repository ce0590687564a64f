//! Bounds how often something is done that callers cause, such as the writing of a log line.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// The time in which at most the limit is admitted.
const WINDOW: Duration = Duration::from_secs(1);

/// Admits a limited number of events in any second, and counts the others.
#[derive(Clone, Debug)]
pub struct Throttle {
    limit: usize,
    /// The times of the last admitted events.
    admitted: VecDeque<Time>,
    /// The number of events that were not admitted since the last one that was.
    skipped: u64,
}

impl Throttle {
    /// Creates a throttle that admits `limit` events a second.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            admitted: VecDeque::new(),
            skipped: 0,
        }
    }

    /// Returns how many events were not admitted since the last one that was, or `None` if this one is not admitted
    /// either.
    pub fn admit(&mut self, now: Time) -> Option<u64> {
        let is_past = |at: &Time| now.saturating_sub(*at) >= WINDOW;
        while self.admitted.pop_front_if(|at| is_past(at)).is_some() {}
        if self.admitted.len() >= self.limit {
            self.skipped += 1;
            return None;
        }
        self.admitted.push_back(now);
        Some(std::mem::take(&mut self.skipped))
    }
}
