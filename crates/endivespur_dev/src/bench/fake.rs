//! Emulated parts of a region: the weight store's load rate, the utilisation of engines, and their
//! losses.

use std::collections::BTreeSet;
use std::time::Duration;

use super::measure::Usage;
use super::trace::{DISTURBANCE_START, Disturbance};

/// The time between the starts of two loads at the full rate.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// The time that a load takes.
pub const LOAD_TIME: Duration = Duration::from_millis(250);

/// A region's weight store, which limits the rate of loads.
#[derive(Debug)]
pub struct WeightStore {
    disturbance: Disturbance,
    /// When the next load may start.
    next_load: Duration,
    load_starts: Vec<Duration>,
    /// The adapters that have been loaded at least once.
    loaded_before: BTreeSet<usize>,
}

impl WeightStore {
    /// Creates a store for a trace with a disturbance.
    pub fn new(disturbance: Disturbance) -> Self {
        Self {
            disturbance,
            next_load: Duration::ZERO,
            load_starts: Vec::new(),
            loaded_before: BTreeSet::new(),
        }
    }

    /// Returns the time between the starts of two loads at `now`.
    pub fn load_interval(&self, now: Duration) -> Duration {
        let since = now.checked_sub(DISTURBANCE_START);
        let slow = self.disturbance == Disturbance::SlowStore
            && since.is_some_and(|s| s < Duration::from_secs(200));
        if slow {
            LOAD_INTERVAL * 2
        } else {
            LOAD_INTERVAL
        }
    }

    /// Returns when the next load may start.
    pub fn next_load_at(&self) -> Duration {
        self.next_load
    }

    /// Starts a load at `now` or as soon as the rate permits, and returns its end.
    pub fn load(&mut self, now: Duration, adapter: usize, usage: &mut Usage) -> Duration {
        let start = now.max(self.next_load);
        self.next_load = start + self.load_interval(start);
        usage.loads += 1;
        usage.reloads += u64::from(!self.loaded_before.insert(adapter));
        self.load_starts.push(start);
        let window_start = self
            .load_starts
            .partition_point(|at| *at + Duration::from_secs(10) <= start);
        usage.max_loads_in_10s = usage
            .max_loads_in_10s
            .max(self.load_starts.len() - window_start);
        start + LOAD_TIME
    }
}

/// Integrates the number of running requests of an engine over time.
#[derive(Debug, Default)]
pub struct Meter {
    last_change: Duration,
    running: usize,
}

impl Meter {
    /// Adds the time since the last change, then changes the number of running requests.
    pub fn record(&mut self, now: Duration, running: usize, batch: usize, usage: &mut Usage) {
        let elapsed = now.saturating_sub(self.last_change).as_secs_f64();
        usage.running_seconds += self.running as f64 * elapsed;
        if self.running > 0 {
            usage.capacity_seconds += batch as f64 * elapsed;
        }
        self.last_change = now;
        self.running = running;
    }
}

/// Returns whether an engine is lost at `now`; [`Disturbance::EnginesLost`] affects the first two.
pub fn is_lost(disturbance: Disturbance, engine: usize, now: Duration) -> bool {
    let since = now.checked_sub(DISTURBANCE_START);
    disturbance == Disturbance::EnginesLost
        && engine < 2
        && since.is_some_and(|s| s < Duration::from_mins(1))
}
