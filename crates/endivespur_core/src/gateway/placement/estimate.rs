//! Estimates how long a request would wait for an engine.

use std::time::Duration;

use super::{Engine, PREFILL_WORK_HALF_LIFE, REPORT_LAG, Request, State, pause};
use crate::clock::{self, Time};
use crate::gateway::endpoint::Weights;

/// The delay added for an engine without a free slot, on top of the wait for one.
const NO_FREE_SLOT_DELAY: Duration = Duration::from_millis(400);
/// The delay added for an engine with one free slot: a fetch that follows may have to wait for a
/// slot.
const ONE_FREE_SLOT_DELAY: Duration = Duration::from_millis(200);
/// The delay added for an engine that is fully busy with prefills: its streams take several times
/// as long.
const BUSY_PREFILL_DELAY: Duration = Duration::from_millis(300);
/// The assumed duration of a load of an adapter that the engine caches.
const RELOAD_TIME: Duration = Duration::from_millis(25);
/// The excess over the usual time below which an engine does not count as slow.
const MIN_EXCESS: f64 = 0.02;
impl Engine {
    /// Returns the estimated time until all pending prefills are finished.
    pub fn backlog(&self, now: Time) -> Duration {
        self.slowness.stretch(now, self.pending_work(now))
    }

    /// Returns how much longer than its usual time a prefill is expected to take, since the engine is slow now.
    pub(super) fn prefill_excess(&self, now: Time, usual: Duration) -> Duration {
        if self.slowness(now) < 1.0 + MIN_EXCESS {
            return Duration::ZERO;
        }
        let ahead = self.pending_work(now);
        let end = self.slowness.stretch(now, ahead + usual);
        end.saturating_sub(self.slowness.stretch(now, ahead) + usual)
    }

    /// Returns whether a request with its first token in `first_token` can end in time if its response has this share of the
    /// expected output.
    pub(super) fn can_end(
        &self,
        now: Time,
        request: &Request,
        first_token: Duration,
        share: f64,
    ) -> bool {
        let Some(end_in) = request.end_in else {
            return true;
        };
        let figures = self.pace(now);
        let known = self
            .outputs
            .get(&pause::output_class(request.output_tokens));
        let tokens = known.map_or(0.0, |output| output.tokens(now));
        let tokens = tokens.min(f64::from(request.output_tokens));
        let output = clock::scale(figures.step_time(), tokens);
        first_token + clock::scale(output, share) <= end_in
    }

    /// Returns the number of prompt tokens of a request that are probably not cached.
    pub(super) fn uncached_tokens(&self, request: &Request) -> u64 {
        let cached = self
            .prefix_cache
            .cached_tokens(&request.weights, &request.parts);
        u64::from(request.tokens).saturating_sub(cached)
    }

    /// Returns how long the pending prefills would take at the engine's usual speed.
    pub(super) fn pending_work(&self, now: Time) -> Duration {
        let cost: Duration = self
            .pending_prefills
            .values()
            .map(|prefill| prefill.cost)
            .sum();
        let oldest_sent = self
            .pending_prefills
            .values()
            .map(|prefill| prefill.sent)
            .min();
        // The engine has worked since the oldest prefill was sent, at least on that one; at most
        // its cost counts as done.
        let done = oldest_sent.map_or(Duration::ZERO, |sent| now.saturating_sub(sent));
        let oldest_cost = self
            .pending_prefills
            .values()
            .next()
            .map(|prefill| prefill.cost);
        let done = clock::scale(done, 1.0 / self.slowness(now));
        cost.saturating_sub(done.min(oldest_cost.unwrap_or_default()))
    }

    /// Returns the estimated time until the engine holds a base model.
    pub(super) fn base_delay(&self, now: Time, base: &str) -> Duration {
        if self.bases.contains(base) {
            return Duration::ZERO;
        }
        let load = self.loadable_bases.get(base).copied().unwrap_or_default() + REPORT_LAG;
        match &self.base_ordered {
            Some((ordered, at)) if ordered == base => (*at + load).saturating_sub(now),
            _ => load,
        }
    }

    /// Returns the estimated time until the engine starts the prefill of a prompt for `weights`.
    pub fn delay(&self, now: Time, weights: &Weights) -> Duration {
        self.delay_for(now, weights, "")
    }

    /// Returns [`Engine::delay`] of a request of a team; empty if there is none. A team within its share does not wait
    /// for adapters that only teams beyond theirs wait for.
    pub(super) fn delay_for(&self, now: Time, weights: &Weights, team: &str) -> Duration {
        let backlog = self.backlog(now).max(self.base_delay(now, &weights.base));
        if self.is_ready(weights) || weights.adapter.is_empty() {
            return backlog;
        }
        let fetch = self.fetch_time;
        let remaining: Duration = self
            .adapters
            .iter()
            .filter_map(|(other, adapter)| match adapter.state {
                State::Loading { since, .. } if !self.cached_adapters.contains_key(other) => {
                    Some((since + fetch).saturating_sub(now))
                }
                _ => None,
            })
            .sum();
        match self.adapters.get(weights).map(|adapter| adapter.state) {
            Some(State::Loading { .. }) => return backlog.max(remaining),
            // A newer version waits for the requests that run with the older one.
            Some(_) => return backlog.max(self.slot_wait + fetch),
            None => {}
        }
        let is_first = !team.is_empty() && !self.is_beyond_share(team);
        let ahead = self
            .demands
            .iter()
            .filter(|(other, _)| *other != weights && !self.adapters.contains_key(other))
            .filter(|(_, demand)| !is_first || self.waiting_within_share(demand) > 0)
            .count();
        let idle = self
            .adapters
            .values()
            .filter(|adapter| adapter.state == State::Resident && adapter.users.is_empty())
            .count();
        let free = self.slots.saturating_sub(self.adapters.len()) + idle;
        let load = if self.cached_adapters.contains_key(weights) {
            RELOAD_TIME
        } else {
            remaining + fetch
        };
        let queue = if free > ahead {
            fetch * ahead as u32
        } else {
            self.slot_wait.max(fetch) * (ahead + 1 - free) as u32
        };
        backlog.max(load + queue)
    }

    /// Returns the delay added for slots in use and recent prefill work when engines are compared.
    pub(super) fn load_penalty(&self, now: Time) -> Duration {
        let in_use = self
            .adapters
            .values()
            .filter(|adapter| !adapter.users.is_empty())
            .count();
        let slots = match self.slots.saturating_sub(in_use) {
            0 => NO_FREE_SLOT_DELAY,
            1 => ONE_FREE_SLOT_DELAY,
            _ => Duration::ZERO,
        };
        slots + clock::scale(BUSY_PREFILL_DELAY, self.prefill_share(now).min(2.0))
    }

    /// Returns the recent prefill work as a share of the time, at the engine's usual speed.
    pub(super) fn prefill_share(&self, now: Time) -> f64 {
        let window = PREFILL_WORK_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.prefill_work.at(now, PREFILL_WORK_HALF_LIFE) / window
    }
}
