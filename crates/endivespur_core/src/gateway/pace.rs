//! How fast an engine works: measured, not assumed.

use std::time::Duration;

use crate::clock::{self, Time};

/// The half-life of what an engine says of its momentary speed. Slow moments change every few hundred milliseconds; after
/// half a second a third of the figure counts, after a second a tenth.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(300);
/// The range of the figure. An engine beyond the upper limit is recognised by its failed requests instead.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 20.0);

/// How long work takes at an engine now, compared with its usual time, as its last response told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    /// The excess over the usual time; 0.5 if work takes half as long again.
    excess: f64,
    at: Time,
}

impl Slowness {
    /// Records a figure in percent of the usual time; 0 says nothing.
    pub fn record(&mut self, now: Time, percent: u32) {
        if percent == 0 || now < self.at {
            return;
        }
        let factor = f64::from(percent) / 100.0;
        self.excess = factor.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1) - 1.0;
        self.at = now;
    }

    /// Returns the expected factor at `now`: 1 without a recent figure.
    pub fn factor(&self, now: Time) -> f64 {
        1.0 + self.excess_at(now)
    }

    /// Returns how long work that usually takes `work` is expected to take from `now` on, while the engine returns to its
    /// usual speed.
    pub fn stretch(&self, now: Time, work: Duration) -> Duration {
        let excess = self.excess_at(now);
        let rate = std::f64::consts::LN_2 / SLOWNESS_HALF_LIFE.as_secs_f64();
        // The work done in a time t is the integral of 1 / (1 + excess * exp(-rate * t)). This form of its inverse does
        // not overflow for long work.
        let decay = (-rate * work.as_secs_f64()).exp();
        let ratio = 1.0 + excess * (1.0 - decay);
        clock::from_secs(work.as_secs_f64() + ratio.ln() / rate)
    }

    fn excess_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.excess * (-age / SLOWNESS_HALF_LIFE.as_secs_f64()).exp2()
    }
}
