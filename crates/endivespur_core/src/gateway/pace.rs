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
    is_reported: bool,
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
        self.is_reported = true;
    }

    /// Returns whether the engine has ever said how fast it works.
    pub fn is_reported(&self) -> bool {
        self.is_reported
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

/// The figures of an engine of which nothing is known, and no other one of its service.
const INITIAL: Figures = Figures {
    first_token: 0.015,
    per_token: 0.000_025,
    step: 0.005,
};
/// The weight of one observation; that of a slow moment counts less, as its slowness is known only roughly.
const OBSERVATION_WEIGHT: f64 = 0.15;
/// The weight of an observation that lowers the duration of a step. The longest pause of a stream is that of its slowest
/// moment, so that the shorter ones tell more of the usual duration.
const SHORTER_STEP_WEIGHT: f64 = 0.3;
/// The weight of one that raises it.
const LONGER_STEP_WEIGHT: f64 = 0.1;
/// The range of an observed duration, compared with the expected one, within which it counts fully.
const OBSERVATION_RANGE: (f64, f64) = (0.25, 4.0);
/// The range of each figure, compared with [`INITIAL`]. An engine beyond the upper limit is recognised by its failed
/// requests instead.
const FIGURE_RANGE: (f64, f64) = (0.05, 20.0);
/// The time after which an old figure counts as much as the prior. Engines of the same machine keep their pace.
const FIGURES_HALF_LIFE: Duration = Duration::from_mins(5);

/// The usual durations of an engine's work, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// The time to the first token of an empty prompt.
    pub first_token: f64,
    /// The time to read a prompt token.
    pub per_token: f64,
    /// The time to write one token of each stream.
    pub step: f64,
}

impl Figures {
    /// Returns the mean of the figures of several engines, if there is one.
    pub fn mean(engines: &[Self]) -> Option<Self> {
        if engines.is_empty() {
            return None;
        }
        let mean = |figure: fn(&Self) -> f64| {
            let sum: f64 = engines.iter().map(figure).sum();
            sum / engines.len() as f64
        };
        Some(Self {
            first_token: mean(|engine| engine.first_token),
            per_token: mean(|engine| engine.per_token),
            step: mean(|engine| engine.step),
        })
    }

    /// Returns the time to the first token of a prompt of which this many tokens are not cached.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        clock::from_secs(self.first_token + self.per_token * tokens as f64)
    }

    /// Returns the time to read prompt tokens.
    pub fn read_time(&self, tokens: u32) -> Duration {
        clock::from_secs(self.per_token * f64::from(tokens))
    }

    /// Returns the time to write one token of each stream.
    pub fn step_time(&self) -> Duration {
        clock::from_secs(self.step)
    }
}

/// What has been learned of the usual pace of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    prior: Figures,
    learned: Figures,
    at: Time,
    /// Whether the engine itself has been observed.
    is_observed: bool,
}

impl Pace {
    /// Creates the pace of an engine of which nothing is known; `prior` is that of the service's other engines.
    pub fn new(now: Time, prior: Option<Figures>) -> Self {
        let prior = prior.unwrap_or(INITIAL);
        Self {
            prior,
            learned: prior,
            at: now,
            is_observed: false,
        }
    }

    /// Returns the figures that were assumed before the engine was observed.
    pub fn prior(&self) -> Figures {
        self.prior
    }

    /// Returns the figures if they are the engine's own.
    pub fn observed(&self, now: Time) -> Option<Figures> {
        self.is_observed.then(|| self.figures(now))
    }

    /// Returns the expected figures at `now`.
    pub fn figures(&self, now: Time) -> Figures {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let weight = (-age / FIGURES_HALF_LIFE.as_secs_f64()).exp2();
        let blend = |learned: f64, prior: f64| prior + weight * (learned - prior);
        Figures {
            first_token: blend(self.learned.first_token, self.prior.first_token),
            per_token: blend(self.learned.per_token, self.prior.per_token),
            step: blend(self.learned.step, self.prior.step),
        }
    }

    /// Records the time to the first token of a prompt that was read alone, of which this many tokens were not cached, at
    /// an engine that was slower than usual by the factor `slowness`.
    pub fn record_prefill(&mut self, now: Time, tokens: u64, took: Duration, slowness: f64) {
        let mut figures = self.figures(now);
        let expected = figures.prefill_time(tokens).as_secs_f64();
        let weight = OBSERVATION_WEIGHT / slowness.max(1.0);
        let change = weight * deviation(took.as_secs_f64() / slowness, expected);
        // Each figure changes by its share of the expected time, so that long prompts tell the time per token and short
        // ones the rest.
        let share = figures.first_token / expected;
        figures.first_token *= 1.0 + change * share;
        figures.per_token *= 1.0 + change * (1.0 - share);
        // Few streams of a busy engine are never disturbed, and one that reads slowly also writes slowly.
        figures.step *= 1.0 + change * (1.0 - share);
        self.set(now, figures);
    }

    /// Records the longest pause between two events of `tokens` tokens each, of a stream beside which no prompt was read.
    pub fn record_pause(&mut self, now: Time, tokens: u32, longest: Duration, slowness: f64) {
        let mut figures = self.figures(now);
        let took = longest.as_secs_f64() / slowness.max(1.0) / f64::from(tokens.max(1));
        let deviation = deviation(took, figures.step);
        let weight = if deviation < 0.0 {
            SHORTER_STEP_WEIGHT
        } else {
            LONGER_STEP_WEIGHT
        };
        figures.step *= 1.0 + weight * deviation;
        self.set(now, figures);
    }

    fn set(&mut self, now: Time, figures: Figures) {
        let bound = |figure: f64, initial: f64| {
            figure.clamp(initial * FIGURE_RANGE.0, initial * FIGURE_RANGE.1)
        };
        self.learned = Figures {
            first_token: bound(figures.first_token, INITIAL.first_token),
            per_token: bound(figures.per_token, INITIAL.per_token),
            step: bound(figures.step, INITIAL.step),
        };
        self.at = now;
        self.is_observed = true;
    }
}

/// Returns by which share an observed duration is longer than expected, within the range in which it counts.
fn deviation(observed: f64, expected: f64) -> f64 {
    (observed / expected).clamp(OBSERVATION_RANGE.0, OBSERVATION_RANGE.1) - 1.0
}
