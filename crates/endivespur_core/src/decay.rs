//! A counter whose value halves over a fixed time.

use std::time::Duration;

use crate::clock::Time;

/// An exponentially decayed count.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    value: f64,
    at: Time,
}

impl Counter {
    /// Adds `amount` at `now`.
    pub fn add(&mut self, now: Time, half_life: Duration, amount: f64) {
        self.value = self.at(now, half_life) + amount;
        self.at = now;
    }

    /// Returns the decayed value at `now`.
    pub fn at(&self, now: Time, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / half_life.as_secs_f64()).exp2()
    }
}
