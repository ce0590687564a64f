//! The small fakes of a region: the weight store's rate, and the use of engines.

use std::collections::BTreeSet;
use std::time::Duration;

use super::measure::Usage;
use super::trace::{TWIST_AT, Twist};

/// The time between two loads at the full rate.
const INTERVAL: Duration = Duration::from_millis(500);
/// The time of a load at full speed.
pub const LOAD: Duration = Duration::from_millis(250);

/// A region's weight store.
#[derive(Debug)]
pub struct Weights {
    twist: Twist,
    next: Duration,
    begun: Vec<Duration>,
    seen: BTreeSet<usize>,
}

impl Weights {
    /// Makes a store for a kind of trace.
    pub fn new(twist: Twist) -> Self {
        Self {
            twist,
            next: Duration::ZERO,
            begun: Vec::new(),
            seen: BTreeSet::new(),
        }
    }

    /// Returns the time between two loads at `now`.
    pub fn interval(&self, now: Duration) -> Duration {
        let since = now.checked_sub(TWIST_AT);
        let slow = self.twist == Twist::Slow && since.is_some_and(|s| s < Duration::from_secs(200));
        if slow { INTERVAL * 2 } else { INTERVAL }
    }

    /// Returns when the next load may begin.
    pub fn ready(&self) -> Duration {
        self.next
    }

    /// Begins a load at `now` or as soon as the rate permits, and returns its end.
    pub fn load(&mut self, now: Duration, adapter: usize, usage: &mut Usage) -> Duration {
        let start = now.max(self.next);
        self.next = start + self.interval(start);
        usage.loads += 1;
        usage.reloads += u64::from(!self.seen.insert(adapter));
        self.begun.push(start);
        let from = self
            .begun
            .partition_point(|at| *at + Duration::from_secs(10) <= start);
        usage.most_in_10s = usage.most_in_10s.max(self.begun.len() - from);
        start + LOAD
    }
}

/// Counts running requests over time.
#[derive(Debug, Default)]
pub struct Meter {
    at: Duration,
    running: usize,
}

impl Meter {
    /// Adds the time since the last change, then changes the number of running requests.
    pub fn change(&mut self, now: Duration, running: usize, batch: usize, usage: &mut Usage) {
        let time = now.saturating_sub(self.at).as_secs_f64();
        usage.running += self.running as f64 * time;
        if self.running > 0 {
            usage.limit += batch as f64 * time;
        }
        self.at = now;
        self.running = running;
    }
}

/// Tells whether an engine is lost at `now`: the first two of a trace with that twist.
pub fn is_lost(twist: Twist, engine: usize, now: Duration) -> bool {
    let since = now.checked_sub(TWIST_AT);
    twist == Twist::Lost && engine < 2 && since.is_some_and(|s| s < Duration::from_mins(1))
}
