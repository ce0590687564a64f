//! In which order the endpoints of a service are tried.

use crate::gateway::endpoint::{Instance, Weights};
use crate::hash;
use crate::id::{Endpoint, Version};

/// The engines that are tried for one adapter: its home, and those it spreads to under load.
pub const HOMES: usize = 4;
/// The engines that are tried besides before a request is refused.
pub const SPARES: usize = 4;

/// Returns the engines to be asked for an adapter: those that hold it by their own word, in
/// this zone first, then its homes, then the spares.
pub fn engines<'a>(
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
    let missing = (HOMES + SPARES).saturating_sub(first.len());
    first.extend(others.into_iter().take(missing));
    first
}

/// What is known of an endpoint's load.
#[derive(Clone, Debug)]
pub struct Load {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The requests under way, by this VM's count or the endpoint's own word.
    pub running: usize,
    /// The requests that it runs at once.
    pub slots: usize,
    /// Whether it is in this VM's zone.
    pub is_near: bool,
    /// Whether it is avoided.
    pub is_avoided: bool,
    /// The moving average of its latency in seconds.
    pub latency: f64,
}

/// Sorts the endpoints of a plain service, the best first.
///
/// An endpoint whose slots are half taken loses the advantage of its zone.
pub fn order(mut loads: Vec<Load>, hash: u64) -> Vec<Endpoint> {
    let key = |load: &Load| {
        let share = load.running as f64 / load.slots.max(1) as f64;
        let busy = share >= 0.5;
        let cost = (load.latency + 0.005) * (load.running as f64 + 1.0);
        (
            load.is_avoided,
            busy,
            !load.is_near && !busy,
            cost,
            hash::mix(&load.endpoint, hash),
        )
    };
    loads.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        (a.0, a.1, a.2)
            .cmp(&(b.0, b.1, b.2))
            .then(a.3.total_cmp(&b.3))
            .then(a.4.cmp(&b.4))
    });
    loads.into_iter().map(|load| load.endpoint).collect()
}
