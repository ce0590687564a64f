//! The region's scheduler of adapter loads from the rate-limited weight store.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::config::Class;
use crate::decay::Counter;
use crate::id::{Endpoint, Model, Organisation, Vm};
use crate::owner::Demand;

/// The half-life of the count of an organisation's loads.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(30);

/// The multiple of the organisations' mean number of recent loads up to which the loads of an
/// organisation are not deferred.
const MAX_UNPENALIZED_SHARES: f64 = 2.0;

/// The limits of a region's weight store.
#[derive(Clone, Debug)]
pub struct Limit {
    /// The time between two loads.
    pub interval: Duration,
    /// The maximum number of loads in transit.
    pub transit: usize,
    /// The age from which a waiting request is served before all younger ones.
    pub patience: Duration,
    /// The time after which a load without a reported outcome no longer counts as in transit.
    pub timeout: Duration,
}

/// The demand of one endpoint for one adapter.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The node that owns the endpoint.
    pub vm: Vm,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The adapter that it needs and the requests that wait for it.
    pub demand: Demand,
}

/// The scheduler's state; it may be lost at any time and is rebuilt from the demands that
/// the owners report next.
#[derive(Debug)]
pub struct Scheduler {
    limit: Limit,
    next_permit: Time,
    demands: BTreeMap<(Endpoint, Model), Entry>,
    in_transit: BTreeMap<(Endpoint, Model), Time>,
    /// The decayed number of permitted loads by organisation.
    recent_loads: BTreeMap<Organisation, Counter>,
}

impl Scheduler {
    /// Creates a scheduler that issues its first permit at `now`.
    pub fn new(limit: Limit, now: Time) -> Self {
        Self {
            limit,
            next_permit: now,
            demands: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            recent_loads: BTreeMap::new(),
        }
    }

    /// Replaces the demands of an endpoint.
    pub fn set(&mut self, vm: &str, endpoint: &str, demands: Vec<Demand>) {
        self.clear(endpoint);
        for demand in demands {
            let key = (endpoint.to_string(), demand.model.clone());
            let entry = Entry {
                vm: vm.to_string(),
                endpoint: endpoint.to_string(),
                demand,
            };
            self.demands.insert(key, entry);
        }
    }

    fn clear(&mut self, endpoint: &str) {
        self.demands.retain(|(name, _), _| name != endpoint);
    }

    /// Iterates over the demands in the order of endpoint and adapter.
    pub fn demands(&self) -> impl Iterator<Item = &Entry> {
        self.demands.values()
    }

    /// Returns how long a new demand of each class would wait behind the present ones.
    pub fn backlog(&self) -> BTreeMap<Class, Duration> {
        let ahead = |class: Class| {
            self.demands
                .values()
                .filter(|entry| entry.demand.class <= class)
                .count()
        };
        Class::ALL
            .into_iter()
            .map(|class| (class, self.limit.interval * ahead(class) as u32))
            .collect()
    }

    /// Records that a load has ended, or that it was not started.
    pub fn load_ended(&mut self, endpoint: &str, model: &Model, started: bool) {
        let key = (endpoint.to_string(), model.clone());
        if self.in_transit.remove(&key).is_some() && !started {
            // The weight store received no request, so the permit does not count against its rate.
            self.next_permit = self.next_permit.saturating_sub(self.limit.interval);
        }
    }

    /// Returns when the next permit may be issued, or `None` if no load waits or too many
    /// are in transit.
    pub fn due(&self, now: Time) -> Option<Time> {
        let waits = self
            .demands
            .keys()
            .any(|key| !self.in_transit.contains_key(key));
        (waits && self.in_transit.len() < self.limit.transit).then(|| self.next_permit.max(now))
    }

    /// Issues the next permit, or returns `None` if none may be issued at `now`.
    pub fn permit(&mut self, now: Time) -> Option<Entry> {
        let timeout = self.limit.timeout;
        self.in_transit.retain(|_, since| *since + timeout > now);
        if now < self.next_permit || self.in_transit.len() >= self.limit.transit {
            return None;
        }
        let mean = self.mean_recent_loads(now);
        let key = self
            .demands
            .iter()
            .filter(|(key, _)| !self.in_transit.contains_key(*key))
            .min_by(|a, b| self.compare(a.1, b.1, mean, now))
            .map(|(key, _)| key.clone())?;
        let entry = self.demands.remove(&key)?;
        self.in_transit.insert(key, now);
        let organisation = entry.demand.organisation.clone();
        let recent_loads = self.recent_loads.entry(organisation).or_default();
        recent_loads.add(now, SHARE_HALF_LIFE, 1.0);
        self.next_permit = self
            .next_permit
            .max(now.saturating_sub(self.limit.interval))
            + self.limit.interval;
        self.next_permit = self.next_permit.max(now);
        Some(entry)
    }

    /// Orders demands: overdue ones first, by age; then by class, score and age.
    fn compare(&self, a: &Entry, b: &Entry, mean: f64, now: Time) -> Ordering {
        let overdue = |entry: &Entry| {
            let demand = &entry.demand;
            let late = now.saturating_sub(demand.since) >= self.limit.patience;
            (late && demand.waiting > 0).then_some(demand.since)
        };
        match (overdue(a), overdue(b)) {
            (Some(a), Some(b)) => return a.cmp(&b),
            (Some(_), None) => return Ordering::Less,
            (None, Some(_)) => return Ordering::Greater,
            (None, None) => {}
        }
        let (first, second) = (&a.demand, &b.demand);
        first
            .class
            .cmp(&second.class)
            .then_with(|| {
                self.score(second, mean, now)
                    .total_cmp(&self.score(first, mean, now))
            })
            .then_with(|| first.since.cmp(&second.since))
    }

    /// Returns the number of requests that a load serves. It is divided by the factor by which
    /// their organisation exceeds [`MAX_UNPENALIZED_SHARES`] mean shares of the recent loads.
    fn score(&self, demand: &Demand, mean: f64, now: Time) -> f64 {
        let recent_loads = self.recent_loads.get(&demand.organisation);
        let recent_loads = recent_loads.map_or(0.0, |counter| counter.at(now, SHARE_HALF_LIFE));
        demand.waiting as f64 / (recent_loads / (mean * MAX_UNPENALIZED_SHARES)).max(1.0)
    }

    /// Returns the mean number of recent loads per organisation, at least 1.
    fn mean_recent_loads(&self, now: Time) -> f64 {
        let recent_loads = self
            .recent_loads
            .values()
            .map(|counter| counter.at(now, SHARE_HALF_LIFE));
        let sum: f64 = recent_loads.sum();
        (sum / self.recent_loads.len().max(1) as f64).max(1.0)
    }
}
