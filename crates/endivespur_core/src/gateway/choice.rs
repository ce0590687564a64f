//! The order in which the endpoints of a service are tried.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock;
use crate::gateway::endpoint::{Instance, Weights};
use crate::hash;
use crate::id::{Endpoint, Version};

/// The number of engines that are tried first for an adapter: its home, which is the first by
/// rendezvous hashing, and those that it spreads to under load.
pub const MAX_HOMES: usize = 4;
/// The number of further engines that are tried before a request is refused.
pub const MAX_SPARES: usize = 4;

/// The share of the objective that a request may wait behind other prompts before another engine that also holds its
/// adapter is preferred.
const SHORT_DELAY_SHARE: f64 = 0.2;
/// The share of the objective that a request may wait for its adapter, or behind other prompts, before another engine
/// fetches the adapter too; the rest is left for prefill.
const LONG_DELAY_SHARE: f64 = 0.6;

/// The share of the objective within which a prompt must be sent: prefill takes the rest.
const SEND_SHARE: f64 = 0.7;

/// The engines that a pass asks, of those returned by [`rank_engines`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// The first [`MAX_HOMES`], in their order.
    Homes,
    /// The others, in their order.
    Spares,
    /// Those of earlier passes that were too busy, the shortest delay first.
    Busy,
}

/// One pass over the engines that may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pass {
    /// The engines that are asked.
    pub group: Group,
    /// The longest delay with which an engine is chosen.
    pub max_delay: Duration,
    /// Whether an engine is chosen only if the adapter is resident already.
    pub only_resident: bool,
}

impl Group {
    /// Returns the positions of its engines among `count` ranked ones, given the delays at those that were too busy.
    pub fn positions(self, count: usize, busy: &BTreeMap<usize, Duration>) -> Vec<usize> {
        let homes = count.min(MAX_HOMES);
        match self {
            Self::Homes => (0..homes).collect(),
            Self::Spares => (homes..count).collect(),
            Self::Busy => {
                let mut positions: Vec<usize> = busy.keys().copied().collect();
                positions.sort_by_key(|position| busy.get(position));
                positions
            }
        }
    }
}

/// Returns the passes in which engines are asked, for a request that is wanted within `objective` and may wait for
/// `max_wait`.
///
/// Spares fetch the adapter before requests wait at its homes for longer than their objective permits.
pub fn passes(objective: Duration, max_wait: Duration) -> [Pass; 4] {
    let pass = |group, max_delay: Duration, only_resident| Pass {
        group,
        max_delay: max_delay.min(max_wait),
        only_resident,
    };
    let long_delay = clock::scale(objective, LONG_DELAY_SHARE);
    [
        pass(
            Group::Homes,
            clock::scale(objective, SHORT_DELAY_SHARE),
            true,
        ),
        pass(Group::Busy, long_delay, false),
        pass(Group::Spares, long_delay, false),
        pass(Group::Busy, max_wait, false),
    ]
}

/// Returns the time left to send a prompt, of a request with `objective_left` that may wait for `max_wait`.
///
/// A stream that has begun has met its objective, and is lost if it is refused: only its deadline counts.
pub fn due_in(objective_left: Duration, max_wait: Duration, has_begun: bool) -> Duration {
    if has_begun {
        max_wait
    } else {
        clock::scale(objective_left, SEND_SHARE)
    }
}

/// Returns the engines to try for an adapter: those whose registration lists it in at least
/// `version`, engines in `zone` first, then its homes and the spares by rendezvous hashing.
pub fn rank_engines<'a>(
    weights: &Weights,
    version: Version,
    zone: &str,
    engines: Vec<&'a Instance>,
) -> Vec<&'a Instance> {
    let holds = |engine: &Instance| {
        let base = engine.bases.get(&weights.base);
        let held = base.and_then(|base| base.adapters.get(&weights.adapter));
        held.is_some_and(|held| *held >= version)
    };
    let count = engines.len();
    let ranked = hash::rank(&weights.to_string(), engines, |engine| &engine.id, count);
    let (mut first, others): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|engine| holds(engine));
    first.sort_by_key(|engine| engine.zone != zone);
    let missing = (MAX_HOMES + MAX_SPARES).saturating_sub(first.len());
    first.extend(others.into_iter().take(missing));
    first
}

/// An endpoint of a plain service, with the figures that rank it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The requests in flight, as counted by this VM.
    pub running: usize,
    /// The maximum number of requests that it runs concurrently.
    pub slots: usize,
    /// Whether it is in this VM's zone.
    pub is_same_zone: bool,
    /// Whether it is avoided because of its failures.
    pub is_avoided: bool,
    /// The moving average of its latency in seconds.
    pub latency: f64,
}

/// Sorts the endpoints of a plain service, the best first; `hash` breaks ties.
///
/// An endpoint in the same zone is preferred until half of its slots are used.
pub fn rank_endpoints(mut candidates: Vec<Candidate>, hash: u64) -> Vec<Endpoint> {
    let key = |candidate: &Candidate| {
        let share = candidate.running as f64 / candidate.slots.max(1) as f64;
        let busy = share >= 0.5;
        let cost = (candidate.latency + 0.005) * (candidate.running as f64 + 1.0);
        (
            candidate.is_avoided,
            busy,
            !candidate.is_same_zone && !busy,
            cost,
            hash::mix(&candidate.endpoint, hash),
        )
    };
    candidates.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        (a.0, a.1, a.2)
            .cmp(&(b.0, b.1, b.2))
            .then(a.3.total_cmp(&b.3))
            .then(a.4.cmp(&b.4))
    });
    candidates
        .into_iter()
        .map(|candidate| candidate.endpoint)
        .collect()
}
