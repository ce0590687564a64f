//! Predicts the pauses in streams that prompts cause: an engine reads a chunk of the pending prompts between every two
//! tokens of its streams.
//!
//! A response is late as a whole once one of its pauses is too long. The harm of a prompt is therefore the number of
//! streams that it is expected to make late, and a stream that other prompts already make late does not count again.

use std::time::Duration;

use super::{Engine, GRANT_TIMEOUT, Request};
use crate::clock::{self, Time};
use crate::id::Grant;

/// The prompt tokens that an engine is assumed to read in one step, the larger of the sizes that engines are known to use.
const CHUNK_TOKENS: u32 = 2_048;
/// The range of a predicted pause, as a share of the longest one that meets the objective, in which the chance that it is
/// too long rises from none to certainty. The slowness of the engine at that time is not known better.
const RISK_RANGE: (f64, f64) = (0.7, 1.3);
/// The delay that counts as much as one response that is made late.
const LATE_DELAY: Duration = Duration::from_millis(400);
/// The delay that counts as much as the cost of a fetch to others, beyond its duration: all engines share the weight
/// store's bandwidth.
const FETCH_DELAY: Duration = Duration::from_millis(200);
/// The delay that counts as much as one more stream on an engine, which later prompts may make late. At 20 ms, a
/// quarter more requests for grants were sent, and 1 in 70 more responses were in time.
const STREAM_DELAY: Duration = Duration::from_millis(10);
/// How long before its deadline a stream that ends may have been cut off by it.
const END_MARGIN: Duration = Duration::from_millis(100);

/// The weight of the newest response in the moving average of the output.
const OUTPUT_WEIGHT: f64 = 0.15;
/// How long the output that is known counts fully. It is longer than most responses, as the ends of long ones are rare.
const OUTPUT_LIFETIME: Duration = Duration::from_secs(10);
/// The half-life of the output after that. While an engine refuses all requests, no response corrects too high a figure.
const OUTPUT_HALF_LIFE: Duration = Duration::from_secs(5);

/// The output that an engine's responses had, in tokens, of callers that accept a like number.
///
/// It is not a share of what callers accept: some that accept little and use all of it would raise the output that is
/// expected for others that accept far more than comes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Output {
    /// The moving average at the end of the last response.
    tokens: f64,
    at: Time,
}

impl Output {
    /// Returns the expected output of a response; 0 if nothing is known, or no longer.
    pub(super) fn tokens(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at + OUTPUT_LIFETIME).as_secs_f64();
        self.tokens * (-age / OUTPUT_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Records the output of a response that has ended.
    pub(super) fn record(&mut self, now: Time, tokens: f64) {
        let known = self.tokens(now);
        self.tokens = known + OUTPUT_WEIGHT * (tokens - known);
        self.at = now;
    }

    /// Records the output of a response that its deadline may have cut off, which would have been longer. Otherwise nothing
    /// would be learned at engines that are too slow for all.
    pub(super) fn record_at_least(&mut self, now: Time, tokens: f64) {
        let known = self.tokens(now);
        if tokens > known {
            self.record(now, tokens);
        }
    }
}

/// Returns the class of an accepted output: its power of two.
pub(super) fn output_class(accepted: u32) -> u32 {
    accepted.checked_ilog2().unwrap_or_default()
}

/// The pauses of a granted request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    /// The longest pause that meets its objective.
    max_pause: Duration,
    /// The longest pause that was predicted for it.
    predicted: Duration,
    /// Whether no other prompt is known to have been read since it was granted.
    pub(super) is_alone: bool,
    /// When its response began.
    pub(super) started: Option<Time>,
    /// The maximum number of output tokens; 0 if it is not known.
    output_tokens: u32,
    /// When its response must be complete.
    end: Option<Time>,
    /// When the grant expires if its release never arrives.
    pub(super) until: Time,
}

impl Stream {
    /// Returns the class of the output that its caller accepts.
    pub(super) fn output_class(&self) -> u32 {
        output_class(self.output_tokens)
    }

    /// Returns whether its deadline may have cut off a stream that ends now.
    pub(super) fn is_cut_off(&self, now: Time) -> bool {
        self.end.is_some_and(|end| now + END_MARGIN >= end)
    }

    /// Returns the output tokens that a stream that ends now has written, if its engine needed the usual time for each;
    /// `None` if that is not known.
    pub(super) fn written_tokens(&self, now: Time, step: Duration) -> Option<f64> {
        let took = now.saturating_sub(self.started?).as_secs_f64();
        let written = (took / step.as_secs_f64()).min(f64::from(self.output_tokens));
        (self.output_tokens > 0).then_some(written)
    }

    /// Returns the chance that a pause of this length makes the stream late, beyond those predicted before.
    fn harm(&self, pause: Duration) -> f64 {
        (risk(pause, self.max_pause) - risk(self.predicted, self.max_pause)).max(0.0)
    }
}

/// Returns the chance that a predicted pause turns out longer than the longest one that meets the objective.
fn risk(pause: Duration, max_pause: Duration) -> f64 {
    let share = pause.as_secs_f64() / max_pause.as_secs_f64();
    ((share - RISK_RANGE.0) / (RISK_RANGE.1 - RISK_RANGE.0)).clamp(0.0, 1.0)
}

/// The pauses that a request is expected to cause and to suffer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// The longest pause of the engine's streams while its prompt is being read.
    pub caused: Duration,
    /// The longest pause of its own stream while the prompts before it are being read.
    pub own: Duration,
    /// The number of responses that these pauses are expected to make late.
    pub harm: f64,
}

impl Forecast {
    /// Returns the delay that counts as much as the harm.
    pub fn delay(&self) -> Duration {
        clock::scale(LATE_DELAY, self.harm)
    }
}

impl Engine {
    /// Predicts the pauses that a request is expected to cause and to suffer if it is granted now.
    pub fn forecast(&self, now: Time, request: &Request) -> Forecast {
        let tokens = self.uncached_tokens(request);
        self.forecast_prefill(now, request, self.pace(now).prefill_time(tokens))
    }

    /// Returns [`Engine::forecast`] of a request whose prefill usually takes `usual`.
    pub(super) fn forecast_prefill(
        &self,
        now: Time,
        request: &Request,
        usual: Duration,
    ) -> Forecast {
        if self.streams.is_empty() && request.max_pause.is_none() {
            return Forecast::default();
        }
        let ahead = self.pending_work(now);
        let caused = self.pause(now, ahead + usual);
        let own = self.pause(now, ahead);
        let others: f64 = self
            .streams
            .values()
            .map(|stream| stream.harm(caused))
            .sum();
        // Where the usual time of an event is too long already, no engine is better, and asking others has no use.
        let usual_event = self.pace.prior().step_time() * self.tokens_per_event.max(1);
        let own_harm = request.max_pause.map_or(0.0, |max| {
            (risk(own, max) - risk(usual_event, max)).max(0.0)
        });
        Forecast {
            caused,
            own,
            harm: others + own_harm,
        }
    }

    /// Returns the delay added for an adapter that the engine does not hold when engines are compared, for a request that
    /// pauses may send elsewhere.
    pub(super) fn fetch_penalty(&self, request: &Request) -> Duration {
        if request.is_last || request.max_pause.is_none() || self.is_ready(&request.weights) {
            return Duration::ZERO;
        }
        FETCH_DELAY
    }

    /// Returns the delay that counts as much as the streams that run on the engine, for a request that only engines with
    /// its adapter are asked for: spreading it among them costs no fetch.
    pub(super) fn stream_penalty(&self, request: &Request) -> Duration {
        if request.max_pause.is_none() || !request.only_resident {
            return Duration::ZERO;
        }
        STREAM_DELAY * u32::try_from(self.streams.len()).unwrap_or(u32::MAX)
    }

    /// Returns the expected time between two events of a stream while the last part of pending prompts is being read.
    fn pause(&self, now: Time, prompts: Duration) -> Duration {
        let steps = self.tokens_per_event.max(1);
        let figures = self.pace(now);
        let chunk = figures.read_time(CHUNK_TOKENS);
        let event = figures.step_time() * steps;
        let end = self.slowness.stretch(now, prompts + event);
        let start = prompts.saturating_sub(chunk * steps);
        end.saturating_sub(self.slowness.stretch(now, start))
    }

    /// Records the pauses that a granted request causes and suffers.
    pub(super) fn record_pauses(
        &mut self,
        now: Time,
        grant: Grant,
        request: &Request,
        forecast: Forecast,
    ) {
        self.last_forecast = forecast;
        for stream in self.streams.values_mut() {
            stream.predicted = stream.predicted.max(forecast.caused);
            stream.is_alone = false;
        }
        if let Some(max_pause) = request.max_pause {
            let stream = Stream {
                max_pause,
                predicted: forecast.own,
                is_alone: self.pending_prefills.len() == 1,
                started: None,
                output_tokens: request.output_tokens,
                end: request.end_in.map(|end_in| now + end_in),
                until: now + GRANT_TIMEOUT,
            };
            self.streams.insert(grant, stream);
        }
    }
}
