//! What a run of a policy is measured by.

use std::time::Duration;

use serde::Serialize;

use super::trace::{Arrival, FLOODER, Kind, LENGTH, ORGANISATIONS, Twist};

/// How one request fared.
#[derive(Clone, Debug, Default)]
pub struct Fate {
    /// The wait until the run began, or until the refusal.
    pub wait: Duration,
    /// The part of the wait for an adapter to arrive.
    pub stall: Duration,
    /// Whether the request ran.
    pub served: bool,
    /// Why it was refused.
    pub reason: &'static str,
}

/// The use of engines over time.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Running requests times seconds.
    pub running: f64,
    /// The batch limit times seconds with a running request.
    pub limit: f64,
    /// Loads.
    pub loads: u64,
    /// Loads of an adapter that was loaded before.
    pub reloads: u64,
    /// The most loads begun in any 10 seconds.
    pub most_in_10s: usize,
    /// Seconds in which a load waited, a slot could take it, and none was begun.
    pub idle_store: f64,
}

/// The figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Requests.
    pub requests: usize,
    /// Requests that ran.
    pub served: usize,
    /// Requests that ran within 20 s for drafts and lookups, 60 s for summaries.
    pub in_time: usize,
    /// Requests that waited for an adapter.
    pub stalls: usize,
    /// Seconds that requests lost waiting for an adapter, refused ones included.
    pub stall_seconds: f64,
    /// The mean wait of the served in seconds.
    pub mean: f64,
    /// The median wait of the served.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The longest wait.
    pub max: f64,
    /// The mean wait, with refused requests at their limit, of the trace's last third.
    pub late_mean: f64,
    /// Running over limit, per step.
    pub batch: f64,
    /// Loads.
    pub loads: u64,
    /// Loads a served request.
    pub loads_per_request: f64,
    /// Requests in time for each load.
    pub in_time_per_load: f64,
    /// Jain's index over the organisations' shares of requests served in time.
    pub jain: f64,
    /// The worst organisation's p99 over the median organisation's; one that floods is
    /// left out.
    pub worst_over_median: f64,
    /// The median organisation's p99, refused requests at their limit.
    pub median_p99: f64,
    /// The p99 wait of lookups.
    pub lookup_p99: f64,
    /// Most loads begun in any 10 seconds.
    pub most_in_10s: usize,
    /// Seconds of load capacity left idle while a load could begin.
    pub idle_store: f64,
}

/// Returns the limit after which a class's answer no longer helps.
pub fn patience(class: endivespur_core::config::Class) -> Duration {
    match class {
        endivespur_core::config::Class::Summary => Duration::from_mins(1),
        _ => Duration::from_secs(20),
    }
}

/// Sums up a run.
pub fn sum_up(kind: &Kind, arrivals: &[Arrival], fates: &[Fate], usage: &Usage) -> Figures {
    let mut waits: Vec<f64> = fates
        .iter()
        .filter(|f| f.served)
        .map(|f| f.wait.as_secs_f64())
        .collect();
    waits.sort_by(f64::total_cmp);
    let served = waits.len();
    let in_time = arrivals
        .iter()
        .zip(fates)
        .filter(|(a, f)| is_in_time(a, f))
        .count();
    let late: Vec<f64> = arrivals
        .iter()
        .zip(fates)
        .filter(|(a, _)| a.at > LENGTH * 2 / 3)
        .map(|(a, f)| if f.served { f.wait } else { patience(a.class) }.as_secs_f64())
        .collect();
    let lookups = class_waits(arrivals, fates, endivespur_core::config::Class::Lookup);
    let (jain, worst_over_median, median_p99) = fairness(kind, arrivals, fates);
    Figures {
        requests: arrivals.len(),
        served,
        in_time,
        stalls: fates.iter().filter(|f| !f.stall.is_zero()).count(),
        stall_seconds: fates.iter().map(|f| f.stall.as_secs_f64()).sum(),
        mean: mean(&waits),
        p50: quantile(&waits, 0.5),
        p95: quantile(&waits, 0.95),
        p99: quantile(&waits, 0.99),
        max: waits.last().copied().unwrap_or(0.0),
        late_mean: mean(&late),
        batch: usage.running / usage.limit.max(1e-9),
        loads: usage.loads,
        loads_per_request: usage.loads as f64 / served.max(1) as f64,
        in_time_per_load: in_time as f64 / usage.loads.max(1) as f64,
        jain,
        worst_over_median,
        median_p99,
        lookup_p99: quantile(&lookups, 0.99),
        most_in_10s: usage.most_in_10s,
        idle_store: usage.idle_store,
    }
}

fn is_in_time(arrival: &Arrival, fate: &Fate) -> bool {
    fate.served && fate.wait <= patience(arrival.class)
}

fn class_waits(
    arrivals: &[Arrival],
    fates: &[Fate],
    class: endivespur_core::config::Class,
) -> Vec<f64> {
    let mut waits: Vec<f64> = arrivals
        .iter()
        .zip(fates)
        .filter(|(a, f)| a.class == class && f.served)
        .map(|(_, f)| f.wait.as_secs_f64())
        .collect();
    waits.sort_by(f64::total_cmp);
    waits
}

fn fairness(kind: &Kind, arrivals: &[Arrival], fates: &[Fate]) -> (f64, f64, f64) {
    let mut asked = vec![0.0; ORGANISATIONS];
    let mut good = vec![0.0; ORGANISATIONS];
    let mut waits = vec![Vec::new(); ORGANISATIONS];
    for (arrival, fate) in arrivals.iter().zip(fates) {
        asked[arrival.organisation] += 1.0;
        good[arrival.organisation] += f64::from(u8::from(is_in_time(arrival, fate)));
        let wait = if fate.served {
            fate.wait
        } else {
            patience(arrival.class)
        };
        waits[arrival.organisation].push(wait.as_secs_f64());
    }
    let shares: Vec<f64> = good
        .iter()
        .zip(&asked)
        .map(|(g, a)| g / f64::max(*a, 1.0))
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    let jain = sum * sum / (shares.len() as f64 * squares.max(1e-9));
    let floods = |organisation: usize| kind.twist == Twist::Flood && organisation == FLOODER;
    let mut worst: Vec<f64> = waits
        .iter_mut()
        .enumerate()
        .filter(|(organisation, _)| !floods(*organisation))
        .map(|(_, waits)| {
            waits.sort_by(f64::total_cmp);
            quantile(waits, 0.99)
        })
        .collect();
    worst.sort_by(f64::total_cmp);
    let median = worst[worst.len() / 2];
    (jain, worst[worst.len() - 1] / median.max(0.001), median)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns a quantile of sorted values.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (share * (sorted.len() - 1) as f64).round() as usize;
    sorted[index.min(sorted.len() - 1)]
}
