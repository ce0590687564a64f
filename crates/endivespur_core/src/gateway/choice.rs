//! The order in which the endpoints of a service are tried.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock;
use crate::gateway::endpoint::{Instance, Weights};
use crate::gateway::load::Load;
use crate::hash;
use crate::id::{Endpoint, Version};

/// The number of engines that are tried first for an adapter: its home, which is the first by
/// rendezvous hashing, and those that it spreads to under load.
pub const MAX_HOMES: usize = 4;
/// The number of further engines that are tried before a request is refused.
pub const MAX_SPARES: usize = 4;
/// The number of engines that are asked for a request of a team when those above have refused it.
pub const MAX_FURTHER: usize = 8;

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

/// Returns the pass over the further engines of [`rank_all`]: the adapter is fetched only where that takes little time.
pub fn further_pass(objective: Duration, max_wait: Duration) -> Pass {
    let [_, _, spares, _] = passes(objective, max_wait);
    spares
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
    rank_all(weights, version, zone, engines).0
}

/// Returns the engines of [`rank_engines`], and further ones to try for a request of a team that they have refused: they may
/// have deferred it, while others are idle.
pub fn rank_all<'a>(
    weights: &Weights,
    version: Version,
    zone: &str,
    engines: Vec<&'a Instance>,
) -> (Vec<&'a Instance>, Vec<&'a Instance>) {
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
    let mut others = others.into_iter();
    first.extend(others.by_ref().take(missing));
    (first, others.take(MAX_FURTHER).collect())
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
    /// The load that it reports, if it does.
    pub load: Option<Load>,
}

/// Sorts the endpoints of a plain service, the best first; `hash` breaks ties.
///
/// Endpoints that report their load are ranked by it, the others by what this VM knows of its own requests.
pub fn rank_endpoints(candidates: Vec<Candidate>, hash: u64) -> Vec<Endpoint> {
    let ranked = if candidates.iter().any(|candidate| candidate.load.is_some()) {
        rank_by_load(candidates, hash)
    } else {
        rank_by_own_requests(candidates, hash)
    };
    let endpoints = ranked.into_iter().map(|candidate| candidate.endpoint);
    endpoints.collect()
}

/// An endpoint in the same zone is preferred until half of its slots are used.
fn rank_by_own_requests(mut candidates: Vec<Candidate>, hash: u64) -> Vec<Candidate> {
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
}

/// How much longer than elsewhere a request may be expected to take at an endpoint in the same zone that is preferred.
const SAME_ZONE_FACTOR: f64 = 1.5;
/// The time in seconds that is added to each estimated time of work, so that the differences of short ones do not
/// count.
const MIN_WORK: f64 = 0.005;

/// An endpoint of the same zone is preferred while half of its slots are free and it is hardly slower than the others,
/// the cheapest one if there are several; else the endpoint with the least cost.
fn rank_by_load(candidates: Vec<Candidate>, hash: u64) -> Vec<Candidate> {
    let loads = candidates.iter().filter_map(|candidate| candidate.load);
    let weights: f64 = loads.clone().map(|load| load.work_weight).sum();
    let works = loads.clone().map(|load| load.work * load.work_weight);
    let usual_work = works.sum::<f64>() / weights.max(f64::MIN_POSITIVE);
    let usual_requests =
        loads.clone().map(|load| load.requests).sum::<f64>() / loads.count().max(1) as f64;
    let cost = |candidate: &Candidate| {
        let load = candidate.load.unwrap_or(Load {
            requests: usual_requests.max(candidate.running as f64),
            work: 0.0,
            work_weight: 0.0,
        });
        let work = load.work_weight * load.work + (1.0 - load.work_weight) * usual_work;
        let share = load.requests / candidate.slots.max(1) as f64;
        // The square sends less to an endpoint that fills up before its queue does.
        ((work + MIN_WORK) * (1.0 + share).powi(2), share)
    };
    let mut ranked: Vec<(f64, f64, Candidate)> = candidates
        .into_iter()
        .map(|candidate| {
            let (cost, share) = cost(&candidate);
            (cost, share, candidate)
        })
        .collect();
    ranked.sort_by(|(cost, _, candidate), (other_cost, _, other)| {
        (candidate.is_avoided.cmp(&other.is_avoided))
            .then(cost.total_cmp(other_cost))
            .then_with(|| {
                let hash_of = |candidate: &Candidate| hash::mix(&candidate.endpoint, hash);
                hash_of(candidate).cmp(&hash_of(other))
            })
    });
    let sound = ranked.iter().filter(|ranked| !ranked.2.is_avoided).count();
    let least = ranked.first().map_or(0.0, |(cost, ..)| *cost);
    let near = ranked[..sound].iter().position(|(cost, share, candidate)| {
        candidate.is_same_zone && *share < 0.5 && *cost <= least * SAME_ZONE_FACTOR
    });
    if let Some(near) = near {
        ranked[..=near].rotate_right(1);
    }
    ranked
        .into_iter()
        .map(|(_, _, candidate)| candidate)
        .collect()
}
