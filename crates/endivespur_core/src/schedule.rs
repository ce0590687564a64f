//! The region's scheduler of adapter loads from the rate-limited weight store.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::{Endpoint, Model, Vm};
use crate::owner::Want;

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
    pub want: Want,
}

/// The scheduler's state; it may be lost at any time and is rebuilt from the next wants.
#[derive(Debug)]
pub struct Scheduler {
    limit: Limit,
    next: Time,
    wants: BTreeMap<(Endpoint, Model), Entry>,
    transit: BTreeMap<(Endpoint, Model), Time>,
}

impl Scheduler {
    /// Makes a scheduler that gives its first permit at `now`.
    pub fn new(limit: Limit, now: Time) -> Self {
        Self {
            limit,
            next: now,
            wants: BTreeMap::new(),
            transit: BTreeMap::new(),
        }
    }

    /// Replaces the wants of an endpoint.
    pub fn set(&mut self, vm: &str, endpoint: &str, wants: Vec<Want>) {
        self.clear(endpoint);
        for want in wants {
            let key = (endpoint.to_string(), want.model.clone());
            let entry = Entry {
                vm: vm.to_string(),
                endpoint: endpoint.to_string(),
                want,
            };
            self.wants.insert(key, entry);
        }
    }

    fn clear(&mut self, endpoint: &str) {
        self.wants.retain(|(name, _), _| name != endpoint);
    }

    /// Returns the wants, in the order of endpoint and adapter.
    pub fn wants(&self) -> impl Iterator<Item = &Entry> {
        self.wants.values()
    }

    /// Notes that a load has ended or was not started.
    pub fn landed(&mut self, endpoint: &str, model: &Model, started: bool) {
        let key = (endpoint.to_string(), model.clone());
        if self.transit.remove(&key).is_some() && !started {
            // The weight store was not asked, so the next permit need not wait.
            self.next = self.next.saturating_sub(self.limit.interval);
        }
    }

    /// Returns when the next permit may be given, or nothing if no load waits.
    pub fn due(&self, now: Time) -> Option<Time> {
        let waits = self.wants.keys().any(|key| !self.transit.contains_key(key));
        (waits && self.transit.len() < self.limit.transit).then(|| self.next.max(now))
    }

    /// Gives the next permit, or nothing if none may be given at `now`.
    pub fn permit(&mut self, now: Time) -> Option<Entry> {
        let timeout = self.limit.timeout;
        self.transit.retain(|_, since| *since + timeout > now);
        if now < self.next || self.transit.len() >= self.limit.transit {
            return None;
        }
        let patience = self.limit.patience;
        let key = self
            .wants
            .iter()
            .filter(|(key, _)| !self.transit.contains_key(*key))
            .min_by(|a, b| rank(a.1, now, patience).cmp(&rank(b.1, now, patience)))
            .map(|(key, _)| key.clone())?;
        let entry = self.wants.remove(&key)?;
        self.transit.insert(key, now);
        self.next = self.next.max(now.saturating_sub(self.limit.interval)) + self.limit.interval;
        self.next = self.next.max(now);
        Some(entry)
    }
}

/// Orders wants: the overdue by age, then the class, then the most waiting, then the age.
fn rank(entry: &Entry, now: Time, patience: Duration) -> (bool, Duration, u8, usize, Duration) {
    let want = &entry.want;
    let overdue = want.waiting > 0 && now.saturating_sub(want.since) >= patience;
    let age = if overdue { want.since } else { Duration::ZERO };
    let most = usize::MAX - want.waiting;
    (!overdue, age, want.class as u8, most, want.since)
}
