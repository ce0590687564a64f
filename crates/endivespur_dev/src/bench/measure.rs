//! The figures by which a policy's run is measured.

use std::time::Duration;

use serde::Serialize;

use super::trace::{
    Arrival, Disturbance, FLOODING_ORGANISATION, ORGANISATIONS, Pattern, TRACE_LENGTH,
};

/// The outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The wait until the request started to run or was refused.
    pub wait: Duration,
    /// The part of the wait until the adapter was loaded; all of it if the request was refused.
    pub stall: Duration,
    /// Whether the request ran.
    pub served: bool,
    /// The reason of a refusal, or empty.
    pub reason: &'static str,
}

/// The utilisation of the engines and the weight store, summed over a run.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// The number of running requests, integrated over the seconds.
    pub running_seconds: f64,
    /// The batch limit, integrated over the seconds in which a request runs.
    pub capacity_seconds: f64,
    /// The number of loads.
    pub loads: u64,
    /// The number of loads of an adapter that was loaded before.
    pub reloads: u64,
    /// The maximum number of loads started within any 10 seconds.
    pub max_loads_in_10s: usize,
    /// The seconds in which a load was queued and a slot was available, but no load was started.
    ///
    /// No policy records it, so it stays 0.
    pub idle_store_seconds: f64,
}

/// The figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The number of requests.
    pub requests: usize,
    /// Requests that ran.
    pub served: usize,
    /// Requests that ran within 20 s for drafts and lookups, 60 s for summaries.
    pub in_time: usize,
    /// Requests that waited for an adapter.
    pub stalls: usize,
    /// The seconds for which requests waited for an adapter, including refused requests.
    pub stall_seconds: f64,
    /// The mean wait of the served requests, in seconds.
    pub mean: f64,
    /// The median wait of the served requests, in seconds.
    pub p50: f64,
    /// The 95th percentile of the same waits.
    pub p95: f64,
    /// The 99th percentile of the same waits.
    pub p99: f64,
    /// The longest of the same waits.
    pub max: f64,
    /// The mean wait in the last third of the trace, in seconds; a refused request counts with
    /// the maximum useful wait of its class.
    pub late_mean: f64,
    /// The mean share of the batch limit that is used while an engine runs requests.
    pub batch: f64,
    /// The number of loads.
    pub loads: u64,
    /// The number of loads per served request.
    pub loads_per_request: f64,
    /// The number of requests served in time per load.
    pub in_time_per_load: f64,
    /// Jain's fairness index over each organisation's share of requests that were served in time.
    pub jain: f64,
    /// The worst organisation's p99 wait divided by the median organisation's, without the
    /// organisation that floods.
    pub worst_over_median: f64,
    /// The median organisation's p99 wait, in seconds; a refused request counts with the maximum
    /// useful wait of its class.
    pub median_p99: f64,
    /// The p99 wait of the served lookups, in seconds.
    pub lookup_p99: f64,
    /// The maximum number of loads started within any 10 seconds.
    pub most_in_10s: usize,
    /// The seconds in which a load could have been started, but was not; always 0, because no
    /// policy records them.
    pub idle_store: f64,
}

/// Returns the longest wait after which a response to a request of a class is still useful.
pub fn max_useful_wait(class: endivespur_core::config::Class) -> Duration {
    match class {
        endivespur_core::config::Class::Summary => Duration::from_mins(1),
        _ => Duration::from_secs(20),
    }
}

/// Calculates the figures of a run.
pub fn summarize(
    pattern: &Pattern,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
    usage: &Usage,
) -> Figures {
    let mut waits: Vec<f64> = outcomes
        .iter()
        .filter(|o| o.served)
        .map(|o| o.wait.as_secs_f64())
        .collect();
    waits.sort_by(f64::total_cmp);
    let served = waits.len();
    let in_time = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(a, o)| is_in_time(a, o))
        .count();
    let late: Vec<f64> = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(a, _)| a.at > TRACE_LENGTH * 2 / 3)
        .map(|(a, o)| {
            if o.served {
                o.wait
            } else {
                max_useful_wait(a.class)
            }
            .as_secs_f64()
        })
        .collect();
    let lookups = class_waits(arrivals, outcomes, endivespur_core::config::Class::Lookup);
    let (jain, worst_over_median, median_p99) = fairness(pattern, arrivals, outcomes);
    Figures {
        requests: arrivals.len(),
        served,
        in_time,
        stalls: outcomes.iter().filter(|o| !o.stall.is_zero()).count(),
        stall_seconds: outcomes.iter().map(|o| o.stall.as_secs_f64()).sum(),
        mean: mean(&waits),
        p50: quantile(&waits, 0.5),
        p95: quantile(&waits, 0.95),
        p99: quantile(&waits, 0.99),
        max: waits.last().copied().unwrap_or(0.0),
        late_mean: mean(&late),
        batch: usage.running_seconds / usage.capacity_seconds.max(1e-9),
        loads: usage.loads,
        loads_per_request: usage.loads as f64 / served.max(1) as f64,
        in_time_per_load: in_time as f64 / usage.loads.max(1) as f64,
        jain,
        worst_over_median,
        median_p99,
        lookup_p99: quantile(&lookups, 0.99),
        most_in_10s: usage.max_loads_in_10s,
        idle_store: usage.idle_store_seconds,
    }
}

fn is_in_time(arrival: &Arrival, outcome: &Outcome) -> bool {
    outcome.served && outcome.wait <= max_useful_wait(arrival.class)
}

fn class_waits(
    arrivals: &[Arrival],
    outcomes: &[Outcome],
    class: endivespur_core::config::Class,
) -> Vec<f64> {
    let mut waits: Vec<f64> = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(a, o)| a.class == class && o.served)
        .map(|(_, o)| o.wait.as_secs_f64())
        .collect();
    waits.sort_by(f64::total_cmp);
    waits
}

/// Returns Jain's index, the worst organisation's p99 wait over the median organisation's, and
/// the median organisation's p99 wait.
fn fairness(pattern: &Pattern, arrivals: &[Arrival], outcomes: &[Outcome]) -> (f64, f64, f64) {
    let mut sent = vec![0.0; ORGANISATIONS];
    let mut in_time = vec![0.0; ORGANISATIONS];
    let mut waits = vec![Vec::new(); ORGANISATIONS];
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        sent[arrival.organisation] += 1.0;
        in_time[arrival.organisation] += f64::from(u8::from(is_in_time(arrival, outcome)));
        let wait = if outcome.served {
            outcome.wait
        } else {
            max_useful_wait(arrival.class)
        };
        waits[arrival.organisation].push(wait.as_secs_f64());
    }
    let shares: Vec<f64> = in_time
        .iter()
        .zip(&sent)
        .map(|(in_time, sent)| in_time / f64::max(*sent, 1.0))
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    let jain = sum * sum / (shares.len() as f64 * squares.max(1e-9));
    let is_flooder = |organisation: usize| {
        pattern.disturbance == Disturbance::Flood && organisation == FLOODING_ORGANISATION
    };
    let mut p99s: Vec<f64> = waits
        .iter_mut()
        .enumerate()
        .filter(|(organisation, _)| !is_flooder(*organisation))
        .map(|(_, waits)| {
            waits.sort_by(f64::total_cmp);
            quantile(waits, 0.99)
        })
        .collect();
    p99s.sort_by(f64::total_cmp);
    let median = p99s[p99s.len() / 2];
    (jain, p99s[p99s.len() - 1] / median.max(0.001), median)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns a quantile of sorted values.
pub fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (fraction * (sorted.len() - 1) as f64).round() as usize;
    sorted[index.min(sorted.len() - 1)]
}
