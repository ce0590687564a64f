//! Service-level objectives and the burn rates of their error budgets.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::id::{Organisation, Service};

/// The length of a short bucket.
const MINUTE: Duration = Duration::from_mins(1);
/// The length of a long bucket.
const HOUR: Duration = Duration::from_hours(1);
/// The number of short buckets that are kept.
const MINUTES: usize = 360;
/// The number of long buckets that are kept.
const HOURS: usize = 72;
/// The largest delay that a histogram records, in milliseconds; longer ones count as this.
const MAX_DELAY_MS: u64 = 600_000;

/// The windows over which burn rates are reported.
pub const WINDOWS: [(&str, Duration); 4] = [
    ("5m", Duration::from_mins(5)),
    ("1h", Duration::from_hours(1)),
    ("6h", Duration::from_hours(6)),
    ("3d", Duration::from_hours(72)),
];

/// A measured property of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// The request was answered by the service.
    Availability,
    /// The time to the first token.
    FirstToken,
    /// The mean time between two tokens.
    BetweenTokens,
    /// The wait for a grant, and so for an adapter.
    LoadStall,
}

/// The limits of the objectives, and the share of requests that may miss them.
#[derive(Clone, Debug)]
pub struct Target {
    /// The limit by objective; availability has none.
    pub limits: BTreeMap<Objective, Duration>,
    /// The share of requests that may be bad, by objective.
    pub budgets: BTreeMap<Objective, f64>,
}

impl Target {
    /// Creates targets from the share of requests to be served and the limits that 95 of
    /// 100 requests must meet.
    pub fn new(availability: f64, limits: BTreeMap<Objective, Duration>) -> Self {
        let mut budgets: BTreeMap<Objective, f64> =
            limits.keys().map(|objective| (*objective, 0.05)).collect();
        budgets.insert(Objective::Availability, 1.0 - availability);
        Self { limits, budgets }
    }
}

/// A bucket's counts: all requests and the bad ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All requests.
    pub all: u64,
    /// The requests that missed the objective.
    pub bad: u64,
}

#[derive(Clone, Debug, Default)]
struct Series {
    minutes: BTreeMap<u64, Count>,
    hours: BTreeMap<u64, Count>,
}

/// The service, organisation and objective that counts belong to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Service,
    /// The organisation.
    pub organisation: Organisation,
    /// The objective.
    pub objective: Objective,
}

/// Counts the requests of one node that meet or miss their objectives, since its start.
#[derive(Debug)]
pub struct Tracker {
    target: Target,
    started: Time,
    series: BTreeMap<Key, Series>,
    delays: BTreeMap<(Service, Objective), Histogram<u64>>,
}

/// Delays in milliseconds and how often each was seen.
pub type Delays = Vec<(u64, u64)>;

/// One node's part of a report, which can be merged with the others.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Part {
    /// The seconds for which the node has counted.
    pub remembers: u64,
    /// Counts by key and window.
    pub counts: Vec<(Key, Vec<Count>)>,
    /// Delays by service and objective: milliseconds and how often.
    pub delays: Vec<(Service, Objective, Delays)>,
}

/// One row of the merged report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The service, organisation and objective.
    pub key: Key,
    /// The counts for each of [`WINDOWS`].
    pub counts: Vec<Count>,
    /// The burn rate of the error budget in each window; 1 uses up exactly the budget.
    pub burn: Vec<f64>,
    /// The 95th percentile of the service's delays in milliseconds, if any was recorded.
    pub p95_ms: Option<u64>,
}

impl Tracker {
    /// Creates a tracker without counts at `now`.
    pub fn new(target: Target, now: Time) -> Self {
        Self {
            target,
            started: now,
            series: BTreeMap::new(),
            delays: BTreeMap::new(),
        }
    }

    /// Counts whether a request was answered by the service.
    pub fn served(&mut self, now: Time, service: &str, organisation: &str, good: bool) {
        self.count(now, service, organisation, Objective::Availability, good);
    }

    /// Counts a delay of a request against the limit of its objective.
    pub fn delayed(
        &mut self,
        now: Time,
        service: &str,
        organisation: &str,
        objective: Objective,
        delay: Duration,
    ) {
        let limit = self.target.limits.get(&objective).copied();
        let good = limit.is_none_or(|limit| delay <= limit);
        self.count(now, service, organisation, objective, good);
        let key = (service.to_string(), objective);
        let new = || Histogram::new_with_bounds(1, MAX_DELAY_MS, 2).ok();
        if let std::collections::btree_map::Entry::Vacant(vacant) = self.delays.entry(key.clone())
            && let Some(histogram) = new()
        {
            vacant.insert(histogram);
        }
        if let Some(histogram) = self.delays.get_mut(&key) {
            histogram.saturating_record((delay.as_millis() as u64).clamp(1, MAX_DELAY_MS));
        }
    }

    fn count(
        &mut self,
        now: Time,
        service: &str,
        organisation: &str,
        objective: Objective,
        good: bool,
    ) {
        let key = Key {
            service: service.to_string(),
            organisation: organisation.to_string(),
            objective,
        };
        let series = self.series.entry(key).or_default();
        count_in_bucket(&mut series.minutes, now, MINUTE, MINUTES, good);
        count_in_bucket(&mut series.hours, now, HOUR, HOURS, good);
    }

    /// Returns this node's part of a report.
    pub fn part(&self, now: Time) -> Part {
        let counts = self
            .series
            .iter()
            .map(|(key, series)| (key.clone(), windows(series, now)))
            .collect();
        let delays = self
            .delays
            .iter()
            .map(|((service, objective), histogram)| {
                let values = histogram.iter_recorded();
                let pairs = values.map(|v| (v.value_iterated_to(), v.count_at_value()));
                (service.clone(), *objective, pairs.collect())
            })
            .collect();
        Part {
            remembers: now.saturating_sub(self.started).as_secs(),
            counts,
            delays,
        }
    }

    /// Merges the parts of nodes into rows, the highest burn rate in the shortest window first.
    pub fn merge(&self, parts: &[Part]) -> Vec<Row> {
        let mut counts: BTreeMap<Key, Vec<Count>> = BTreeMap::new();
        let mut delays: BTreeMap<(Service, Objective), BTreeMap<u64, u64>> = BTreeMap::new();
        for part in parts {
            for (key, windows) in &part.counts {
                let sums = counts
                    .entry(key.clone())
                    .or_insert_with(|| vec![Count::default(); windows.len()]);
                for (sum, count) in sums.iter_mut().zip(windows) {
                    sum.all += count.all;
                    sum.bad += count.bad;
                }
            }
            for (service, objective, pairs) in &part.delays {
                let sums = delays.entry((service.clone(), *objective)).or_default();
                for (value, count) in pairs {
                    *sums.entry(*value).or_default() += count;
                }
            }
        }
        let mut rows: Vec<Row> = counts
            .into_iter()
            .map(|(key, counts)| self.row(key, counts, &delays))
            .collect();
        rows.sort_by(|a, b| {
            b.burn[0]
                .total_cmp(&a.burn[0])
                .then_with(|| a.key.cmp(&b.key))
        });
        rows
    }

    fn row(
        &self,
        key: Key,
        counts: Vec<Count>,
        delays: &BTreeMap<(Service, Objective), BTreeMap<u64, u64>>,
    ) -> Row {
        let budget = self
            .target
            .budgets
            .get(&key.objective)
            .copied()
            .unwrap_or(0.05);
        let burn = counts
            .iter()
            .map(|count| count.bad as f64 / count.all.max(1) as f64 / budget)
            .collect();
        let p95_ms = delays
            .get(&(key.service.clone(), key.objective))
            .and_then(p95);
        Row {
            key,
            counts,
            burn,
            p95_ms,
        }
    }
}

fn count_in_bucket(
    buckets: &mut BTreeMap<u64, Count>,
    now: Time,
    length: Duration,
    max: usize,
    good: bool,
) {
    let count = buckets.entry(now.as_secs() / length.as_secs()).or_default();
    count.all += 1;
    count.bad += u64::from(!good);
    while buckets.len() > max {
        buckets.pop_first();
    }
}

fn windows(series: &Series, now: Time) -> Vec<Count> {
    WINDOWS
        .iter()
        .map(|(_, window)| {
            let short = *window <= MINUTE * MINUTES as u32;
            let (buckets, length) = if short {
                (&series.minutes, MINUTE)
            } else {
                (&series.hours, HOUR)
            };
            let last = now.as_secs() / length.as_secs();
            let first = (last + 1).saturating_sub(window.as_secs() / length.as_secs());
            let mut sum = Count::default();
            for (_, count) in buckets.range(first..) {
                sum.all += count.all;
                sum.bad += count.bad;
            }
            sum
        })
        .collect()
}

fn p95(values: &BTreeMap<u64, u64>) -> Option<u64> {
    let all: u64 = values.values().sum();
    let mut seen = 0;
    values.iter().find_map(|(value, count)| {
        seen += count;
        (seen * 100 >= all * 95).then_some(*value)
    })
}
