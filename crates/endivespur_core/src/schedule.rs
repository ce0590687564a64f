//! The region's scheduler of adapter loads from the rate-limited weight store.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::config::Class;
use crate::decay::Counter;
use crate::id::{Endpoint, Model, Organisation, Vm};
use crate::owner::Demand;

/// The time over which the loads that an organisation has used count half.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(30);

/// The multiple of the mean share up to which an organisation's loads are not held back.
const FREE_SHARES: f64 = 2.0;

/// The limits of a region's weight store.
#[derive(Clone, Debug)]
pub struct Limit {
    /// The time between two loads.
    pub interval: Duration,
    /// The most loads in transit.
    pub transit: usize,
    /// The age past which a waiting request goes before all younger ones.
    pub patience: Duration,
    /// The time after which a load without an outcome no longer counts as in transit.
    pub timeout: Duration,
}

/// A want of one endpoint.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The node that owns the endpoint.
    pub vm: Vm,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// What it wants.
    pub demand: Demand,
}

/// The scheduler's state; it may be lost at any time and is rebuilt from the next wants.
#[derive(Debug)]
pub struct Scheduler {
    limit: Limit,
    next: Time,
    demands: BTreeMap<(Endpoint, Model), Entry>,
    transit: BTreeMap<(Endpoint, Model), Time>,
    /// The loads that each organisation has used lately.
    used: BTreeMap<Organisation, Counter>,
}

impl Scheduler {
    /// Makes a scheduler that gives its first permit at `now`.
    pub fn new(limit: Limit, now: Time) -> Self {
        Self {
            limit,
            next: now,
            demands: BTreeMap::new(),
            transit: BTreeMap::new(),
            used: BTreeMap::new(),
        }
    }

    /// Replaces the wants of an endpoint.
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

    /// Returns the wants, in the order of endpoint and adapter.
    pub fn demands(&self) -> impl Iterator<Item = &Entry> {
        self.demands.values()
    }

    /// Returns how long a new want of each class would wait behind the present ones.
    pub fn backlog(&self) -> BTreeMap<Class, Duration> {
        let ahead = |class: Class| {
            self.demands
                .values()
                .filter(|e| e.demand.class <= class)
                .count()
        };
        Class::ALL
            .into_iter()
            .map(|class| (class, self.limit.interval * ahead(class) as u32))
            .collect()
    }

    /// Notes that a load has ended or was not started.
    pub fn load_ended(&mut self, endpoint: &str, model: &Model, started: bool) {
        let key = (endpoint.to_string(), model.clone());
        if self.transit.remove(&key).is_some() && !started {
            // The weight store was not asked, so the next permit need not wait.
            self.next = self.next.saturating_sub(self.limit.interval);
        }
    }

    /// Returns when the next permit may be given, or nothing if no load waits.
    pub fn due(&self, now: Time) -> Option<Time> {
        let waits = self
            .demands
            .keys()
            .any(|key| !self.transit.contains_key(key));
        (waits && self.transit.len() < self.limit.transit).then(|| self.next.max(now))
    }

    /// Gives the next permit, or nothing if none may be given at `now`.
    pub fn permit(&mut self, now: Time) -> Option<Entry> {
        let timeout = self.limit.timeout;
        self.transit.retain(|_, since| *since + timeout > now);
        if now < self.next || self.transit.len() >= self.limit.transit {
            return None;
        }
        let mean = self.mean_used(now);
        let key = self
            .demands
            .iter()
            .filter(|(key, _)| !self.transit.contains_key(*key))
            .min_by(|a, b| self.compare(a.1, b.1, mean, now))
            .map(|(key, _)| key.clone())?;
        let entry = self.demands.remove(&key)?;
        self.transit.insert(key, now);
        let organisation = entry.demand.organisation.clone();
        let used = self.used.entry(organisation).or_default();
        used.add(now, SHARE_HALF_LIFE, 1.0);
        self.next = self.next.max(now.saturating_sub(self.limit.interval)) + self.limit.interval;
        self.next = self.next.max(now);
        Some(entry)
    }

    /// Orders wants: the overdue by age, then the class, then the worth, then the age.
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
                self.worth(second, mean, now)
                    .total_cmp(&self.worth(first, mean, now))
            })
            .then_with(|| first.since.cmp(&second.since))
    }

    /// Returns the requests that a load serves, over how far their organisation exceeds
    /// its share of the loads used lately.
    fn worth(&self, demand: &Demand, mean: f64, now: Time) -> f64 {
        let used = self.used.get(&demand.organisation);
        let used = used.map_or(0.0, |counter| counter.at(now, SHARE_HALF_LIFE));
        demand.waiting as f64 / (used / (mean * FREE_SHARES)).max(1.0)
    }

    /// Returns the mean of the loads that organisations have used lately.
    fn mean_used(&self, now: Time) -> f64 {
        let used = self
            .used
            .values()
            .map(|counter| counter.at(now, SHARE_HALF_LIFE));
        let sum: f64 = used.sum();
        (sum / self.used.len().max(1) as f64).max(1.0)
    }
}
