//! Which teams have used more of an engine than the others while requests compete for it.
//!
//! Requests do not wait in one queue, so that no queue can choose whose request is next. Instead, a team beyond its
//! share accepts less delay than others: the room between the two delays remains for the others' requests.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Demand, Engine, Request};
use crate::clock::{self, Time};
use crate::id::Team;

/// The half-life of a team's use.
const USE_HALF_LIFE: Duration = Duration::from_secs(3);
/// How long a team without requests counts among those that share the engine.
const PRESENCE: Duration = Duration::from_secs(10);
/// The time between two removals of teams that are no longer present.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of teams that are remembered for one engine.
const MAX_TEAMS: usize = 64;
/// The share that a team has at least: one without any would never be granted a request while others wait.
const MIN_SHARE: f64 = 0.01;
/// How many times the mean use of the others, by their shares, a team may have before its requests are deferred: usual
/// teams differ in size, and the use of equal ones by chance.
const TOLERANCE: f64 = 3.0;
/// The power with which a larger use counts, so that a team at several times the tolerance is kept well below it.
const STEEPNESS: f64 = 1.5;
/// The largest factor by which the delay of a team beyond its share counts more.
const MAX_PRESSURE: f64 = 8.0;
/// The share of an engine's time that prompts may take before a team beyond its share gets only what is idle. An engine
/// that always reads prompts hardly writes: in a trial at 0.6 and at 0.4, the other teams were served equally often.
const MAX_PREFILL_SHARE: f64 = 0.5;

/// The recent use of one team.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    /// The prefill work granted, in seconds, divided by the team's share and multiplied by the growth since the epoch.
    work: f64,
    /// What the team may use compared with the mean of all teams.
    share: f64,
    /// The time of its last request for a grant.
    asked: Time,
}

/// The recent use of an engine by teams.
///
/// Work is added with a weight that doubles each [`USE_HALF_LIFE`], instead of halving all earlier work: only the
/// ratios count, so that a request costs one look-up whatever the number of teams.
#[derive(Debug, Default)]
pub(super) struct Fairness {
    teams: BTreeMap<Team, Use>,
    /// The sum of the teams' work.
    total: f64,
    /// The time at which work has the weight 1.
    epoch: Time,
    swept: Time,
}

impl Fairness {
    /// Records that a team with a share requests a grant.
    pub(super) fn record_request(&mut self, now: Time, team: &str, share: f64) {
        self.sweep(now);
        if let Some(known) = self.teams.get_mut(team) {
            known.asked = now;
            known.share = share;
            return;
        }
        if self.teams.len() >= MAX_TEAMS {
            let silent = self.teams.iter().min_by_key(|(_, known)| known.asked);
            if let Some(silent) = silent.map(|(team, _)| team.clone())
                && let Some(removed) = self.teams.remove(&silent)
            {
                self.total -= removed.work;
            }
        }
        let work = 0.0;
        let asked = now;
        self.teams
            .insert(team.to_string(), Use { work, share, asked });
    }

    /// Records prefill work that was granted to a team that has requested it.
    pub(super) fn record_work(&mut self, now: Time, team: &str, work: Duration) {
        let weight = growth(now.saturating_sub(self.epoch));
        if let Some(known) = self.teams.get_mut(team) {
            let work = work.as_secs_f64() * weight / known.share.max(MIN_SHARE);
            known.work += work;
            self.total += work;
        }
    }

    /// Returns the factor by which a team's delay counts more than that of a team within its share, which has 1.
    pub(super) fn pressure(&self, team: &str) -> f64 {
        match self.teams.get(team) {
            Some(known) if self.teams.len() > 1 && known.work > 0.0 => {
                let others = (self.total - known.work).max(0.0) / (self.teams.len() - 1) as f64;
                let excess = known.work / others.max(f64::MIN_POSITIVE) / TOLERANCE;
                excess.max(1.0).powf(STEEPNESS).min(MAX_PRESSURE)
            }
            _ => 1.0,
        }
    }

    /// Removes the teams that are no longer present, and moves the epoch, so that weights stay small.
    fn sweep(&mut self, now: Time) {
        if now < self.swept + SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        self.teams.retain(|_, known| now < known.asked + PRESENCE);
        let weight = growth(now.saturating_sub(self.epoch));
        self.epoch = now;
        for known in self.teams.values_mut() {
            known.work /= weight;
        }
        self.total = self.teams.values().map(|known| known.work).sum();
    }
}

/// Returns the weight of work that is granted some time after the epoch.
fn growth(age: Duration) -> f64 {
    (age.as_secs_f64() / USE_HALF_LIFE.as_secs_f64()).exp2()
}

/// Returns whether a request that may wait for `max_delay` is deferred at an engine with this delay.
///
/// As at an overloaded engine, it must be sent early enough to meet its objective.
pub(super) fn is_deferred(
    request: &Request,
    max_delay: Option<Duration>,
    delay: Duration,
    deferral: Duration,
) -> bool {
    if deferral.is_zero() {
        return false;
    }
    let max_delay = match max_delay {
        Some(max) if !request.due_in.is_zero() => Some(max.min(request.due_in)),
        max => max,
    };
    max_delay.is_some_and(|max| delay + deferral > max)
}

impl Engine {
    /// Returns the delay that is added to a request of a team beyond its share if it would wait for other prompts, or
    /// others for the load of its adapter.
    pub(super) fn deferral(&self, now: Time, request: &Request) -> Duration {
        let excess = self.fairness.pressure(&request.team) - 1.0;
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        if self.competes_for_load(request) {
            return clock::scale(request.due_in, excess.min(1.0));
        }
        if self.pending_prefills.is_empty() {
            return Duration::ZERO;
        }
        let deferral = clock::scale(self.backlog(now), excess);
        if self.prefill_share(now) * self.slowness(now) <= MAX_PREFILL_SHARE {
            return deferral;
        }
        deferral + clock::scale(request.due_in, excess.min(1.0))
    }

    /// Returns whether an adapter must be loaded for a request while teams within their share wait for others.
    fn competes_for_load(&self, request: &Request) -> bool {
        let mut others = self.demands.iter();
        !self.is_ready(&request.weights)
            && others.any(|(weights, demand)| {
                *weights != request.weights && self.waiting_within_share(demand) > 0
            })
    }

    /// Returns whether a team has used more of the engine than its share; never without a team.
    pub(super) fn is_beyond_share(&self, team: &str) -> bool {
        !team.is_empty() && self.fairness.pressure(team) > 1.0
    }

    /// Returns the number of requests that wait for an adapter, without those of teams beyond their share.
    pub(super) fn waiting_within_share(&self, demand: &Demand) -> usize {
        let beyond = demand.teams.iter();
        let beyond = beyond.filter(|(team, _)| self.is_beyond_share(team));
        demand.waiting - beyond.map(|(_, waiting)| waiting).sum::<usize>()
    }

    /// Returns how much a granted request adds to the popularity of its adapter: that of a team beyond its share adds
    /// less while other adapters wait for a slot.
    pub(super) fn popularity_weight(&self, request: &Request) -> f64 {
        if request.team.is_empty() || self.demands.is_empty() {
            return 1.0;
        }
        1.0 / self.fairness.pressure(&request.team)
    }
}
