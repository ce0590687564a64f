//! How long a request would wait for an engine.

use std::time::Duration;

use super::{Engine, REPORT_LAG, State, WORK_HALF_LIFE};
use crate::clock::Time;
use crate::gateway::endpoint::Weights;

/// The delay that an engine without a free slot counts for beside the wait for one.
const FULL_DELAY: Duration = Duration::from_millis(400);
/// The delay that an engine with one free slot counts for: a fetch that may have to wait.
const LAST_SLOT_DELAY: Duration = Duration::from_millis(200);
/// The delay that an engine counts for that does nothing but read prompts: its streams take
/// several times as long.
const READING_DELAY: Duration = Duration::from_millis(300);
/// How long a load of an adapter that the engine keeps is expected to take.
const RELOAD_TIME: Duration = Duration::from_millis(25);
/// The prompt tokens that an engine reads in a millisecond, by the engines' data sheet.
const PREFILL_TOKENS_PER_MS: f64 = 40.8;
/// The time for a million pairs of prompt tokens in attention, by the data sheet.
const MS_PER_MILLION_PAIRS: f64 = 0.485;
/// The time to the first token of an empty prompt: one step and the first token's own time.
const FIRST_TOKEN_MS: f64 = 14.0;

impl Engine {
    /// Returns the estimated time until a prompt sent now is read.
    pub fn backlog(&self, now: Time) -> Duration {
        let cost: Duration = self.unread.values().map(|prompt| prompt.cost).sum();
        let oldest = self.unread.values().map(|prompt| prompt.sent).min();
        // The engine has been at work since the oldest was sent, on that one at least.
        let done = oldest.map_or(Duration::ZERO, |sent| now.saturating_sub(sent));
        let first = self.unread.values().next().map(|prompt| prompt.cost);
        let done = done.min(first.unwrap_or_default().mul_f64(self.pace));
        cost.mul_f64(self.pace).saturating_sub(done)
    }

    /// Returns the estimated time until the engine holds a base model.
    pub(super) fn base_delay(&self, now: Time, base: &str) -> Duration {
        if self.bases.contains(base) {
            return Duration::ZERO;
        }
        let load = self.servable.get(base).copied().unwrap_or_default() + REPORT_LAG;
        match &self.base_ordered {
            Some((ordered, at)) if ordered == base => (*at + load).saturating_sub(now),
            _ => load,
        }
    }

    /// Returns the estimated time until the engine begins to read a prompt for these weights.
    pub fn delay(&self, now: Time, weights: &Weights) -> Duration {
        let backlog = self.backlog(now).max(self.base_delay(now, &weights.base));
        if self.is_ready(weights) || weights.adapter.is_empty() {
            return backlog;
        }
        let fetch = self.fetch_time;
        let remaining: Duration = self
            .copies
            .iter()
            .filter_map(|(other, copy)| match copy.state {
                State::Loading { since, .. } if !self.kept.contains_key(other) => {
                    Some((since + fetch).saturating_sub(now))
                }
                _ => None,
            })
            .sum();
        match self.copies.get(weights).map(|copy| copy.state) {
            Some(State::Loading { .. }) => return backlog.max(remaining),
            // A newer version waits for the requests that run on the older one.
            Some(_) => return backlog.max(self.turn + fetch),
            None => {}
        }
        let ahead = self
            .wants
            .keys()
            .filter(|other| *other != weights && !self.copies.contains_key(other))
            .count();
        let idle = self
            .copies
            .values()
            .filter(|copy| copy.state == State::Resident && copy.users.is_empty())
            .count();
        let free = self.slots.saturating_sub(self.copies.len()) + idle;
        let load = if self.kept.contains_key(weights) {
            RELOAD_TIME
        } else {
            remaining + fetch
        };
        let queue = if free > ahead {
            fetch * ahead as u32
        } else {
            self.turn.max(fetch) * (ahead + 1 - free) as u32
        };
        backlog.max(load + queue)
    }

    /// Returns what the use of slots and of reading time adds to the delay here, when engines
    /// are compared.
    pub(super) fn pressure(&self, now: Time) -> Duration {
        let in_use = self
            .copies
            .values()
            .filter(|copy| !copy.users.is_empty())
            .count();
        let slots = match self.slots.saturating_sub(in_use) {
            0 => FULL_DELAY,
            1 => LAST_SLOT_DELAY,
            _ => Duration::ZERO,
        };
        let window = WORK_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let share = self.work.at(now, WORK_HALF_LIFE) / window;
        slots + READING_DELAY.mul_f64(share.min(2.0))
    }
}

/// Returns the time to read a prompt of which `kept` tokens at the front are kept.
pub(super) fn cost(tokens: u64, kept: u64) -> Duration {
    let unread = tokens.saturating_sub(kept) as f64;
    let pairs = unread * (kept as f64 + unread / 2.0) / 1e6;
    let ms = FIRST_TOKEN_MS + unread / PREFILL_TOKENS_PER_MS + pairs * MS_PER_MILLION_PAIRS;
    Duration::from_secs_f64(ms / 1000.0)
}
