//! The services and software versions that began streams.
//!
//! Engines of different software versions write events that do not fit together. A stream may be resumed
//! only where this gateway knows which version began it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::clock::Time;
use crate::hash;
use crate::id::{Endpoint, Service, Software};

/// How long after its first event a stream can be resumed: longer than callers wait for one.
pub const RETENTION: Duration = Duration::from_mins(2);
/// The maximum number of streams that are remembered; the oldest are dropped first. They take about
/// 16 MB.
const MAX_STREAMS: usize = 1 << 16;
/// How long the registration of an engine may take to show that it has started again.
const REGISTRATION_LAG: Duration = Duration::from_secs(3);

/// The hash of the id of the attempt that brought a stream's first event.
pub type Key = u64;

/// Returns the key of the stream that an attempt began.
pub fn key(attempt: &str) -> Key {
    hash::mix(attempt, 0)
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The service.
    pub service: Service,
    /// The software version of the engine; empty if it is unknown.
    pub software: Software,
}

impl Origin {
    /// Creates an origin.
    pub fn new(service: &str, software: &str) -> Self {
        Self {
            service: service.to_string(),
            software: software.to_string(),
        }
    }

    /// Returns whether the software version is known.
    fn is_known(&self) -> bool {
        !self.software.is_empty()
    }
}

/// Streams by the version that began them.
pub type Batch = BTreeMap<Origin, Vec<Key>>;

#[derive(Clone, Debug)]
struct Record {
    origin: Origin,
    /// The engine, if this gateway began the stream.
    endpoint: Option<Endpoint>,
    began_at: Time,
}

/// The streams that began recently, at this gateway or at one that has told it.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    streams: BTreeMap<Key, Record>,
    /// The streams by age, oldest first.
    ages: VecDeque<(Time, Key)>,
    /// The streams whose origins other gateways do not hold yet.
    unshared: BTreeSet<Key>,
    /// The streams of this gateway that were not handed to a keeper.
    unkept: BTreeSet<Key>,
    /// The streams that are not in the store as far as is known.
    unstored: BTreeSet<Key>,
    /// When each software version of a service was last registered or unregistered.
    registered: BTreeMap<Service, BTreeMap<Software, Time>>,
    /// The time from which all versions are known that may have begun a stream which can be resumed; `None`
    /// before registrations were received.
    complete_from: Option<Time>,
    /// The services whose versions other processes have recorded.
    recorded: BTreeSet<Service>,
}

impl Tracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an engine writes the first event of a stream.
    pub fn began(&mut self, now: Time, key: Key, origin: Origin, endpoint: &str) {
        self.add(now, key, origin, Some(endpoint.to_string()));
        self.spread(key);
    }

    /// Records the origin of a stream that another gateway knows.
    pub fn learned(&mut self, now: Time, key: Key, origin: Origin) {
        if self.add(now, key, origin, None) {
            self.unstored.insert(key);
        }
    }

    /// Records the origin of a stream that is in the store.
    pub fn stored(&mut self, now: Time, key: Key, origin: &Origin) {
        self.add(now, key, origin.clone(), None);
        let record = self.streams.get(&key);
        if record.is_some_and(|record| record.origin == *origin) {
            self.unstored.remove(&key);
        }
    }

    /// Records that others are to learn of a stream.
    fn spread(&mut self, key: Key) {
        self.unshared.insert(key);
        self.unkept.insert(key);
        self.unstored.insert(key);
    }

    /// Records the origin of a stream that is resumed at this gateway, which shares it again: the gateway
    /// that began it may have ended.
    pub fn resumed(&mut self, now: Time, key: Key, origin: Origin) {
        if !self.streams.contains_key(&key) {
            self.add(now, key, origin, None);
            self.spread(key);
        }
    }

    /// Adds a record; returns whether it changes what is known. If two attempts with the same id began streams at
    /// different versions, neither is known.
    fn add(&mut self, now: Time, key: Key, origin: Origin, endpoint: Option<Endpoint>) -> bool {
        self.expire(now);
        if let Some(record) = self.streams.get_mut(&key) {
            let is_retracted = record.origin != origin && record.origin.is_known();
            if is_retracted {
                record.origin.software.clear();
            }
            return is_retracted;
        }
        let record = Record {
            origin,
            endpoint,
            began_at: now,
        };
        self.streams.insert(key, record);
        self.ages.push_back((now, key));
        true
    }

    fn expire(&mut self, now: Time) {
        while let Some((began_at, key)) = self.ages.front().copied() {
            if self.ages.len() <= MAX_STREAMS && now.saturating_sub(began_at) < RETENTION {
                return;
            }
            self.ages.pop_front();
            self.streams.remove(&key);
            self.unshared.remove(&key);
            self.unkept.remove(&key);
            self.unstored.remove(&key);
        }
    }

    /// Returns where a stream began, if it is known.
    pub fn origin(&mut self, now: Time, key: Key) -> Option<&Origin> {
        self.expire(now);
        let record = self.streams.get(&key)?;
        record.origin.is_known().then_some(&record.origin)
    }

    /// Returns the streams whose origins are to be shared with other gateways, once.
    pub fn take_unshared(&mut self) -> Batch {
        let unshared = std::mem::take(&mut self.unshared);
        self.batch(unshared)
    }

    /// Returns the streams with their origins.
    fn batch(&self, keys: impl IntoIterator<Item = Key>) -> Batch {
        let mut batch = Batch::new();
        for key in keys {
            if let Some(record) = self.streams.get(&key) {
                batch.entry(record.origin.clone()).or_default().push(key);
            }
        }
        batch
    }

    /// Returns the streams of this gateway in some services that a keeper is to write, once.
    pub fn take_unkept(&mut self, services: &BTreeSet<Service>) -> Batch {
        let streams = &self.streams;
        let is_taken = |key: &Key| is_in(streams, *key, services);
        let taken: Vec<Key> = self.unkept.extract_if(.., is_taken).collect();
        self.batch(taken)
    }

    /// Returns the newest streams in some services that are not in the store, at most `max` and once. Older ones are
    /// skipped.
    pub fn take_unstored(&mut self, services: &BTreeSet<Service>, max: usize) -> Batch {
        let streams = &self.streams;
        let is_taken = |key: &Key| is_in(streams, *key, services);
        let taken: BTreeSet<Key> = self.unstored.extract_if(.., is_taken).collect();
        if taken.len() <= max {
            return self.batch(taken);
        }
        let newest = self.ages.iter().rev().map(|(_, key)| *key);
        self.batch(newest.filter(|key| taken.contains(key)).take(max))
    }

    /// Returns the services that have had several software versions recently, by the versions of their engines that
    /// are `current`.
    pub fn mixed_services(&mut self, now: Time, current: &BTreeSet<Origin>) -> BTreeSet<Service> {
        let services: BTreeSet<Service> = self.registered.keys().cloned().collect();
        let is_mixed = |service: &Service| {
            let mut versions = self.recent_software(now, service);
            let engines = current.iter().filter(|origin| origin.service == *service);
            versions.extend(engines.map(|origin| origin.software.clone()));
            versions.len() > 1
        };
        services.into_iter().filter(is_mixed).collect()
    }

    /// Returns whether there are streams to be shared.
    pub fn has_unshared(&self) -> bool {
        !self.unshared.is_empty()
    }

    /// Records that an engine has started again with another software version: which version began its
    /// most recent streams is not known.
    pub fn restarted(&mut self, now: Time, endpoint: &str) {
        for (key, record) in &mut self.streams {
            let is_recent = now.saturating_sub(record.began_at) < REGISTRATION_LAG;
            if is_recent && record.endpoint.as_deref() == Some(endpoint) {
                record.origin.software.clear();
                self.unshared.insert(*key);
                self.unkept.insert(*key);
                self.unstored.insert(*key);
            }
        }
    }

    /// Records that an engine of a software version was registered or unregistered.
    pub fn registered(&mut self, now: Time, service: &str, software: &str) {
        let versions = self.registered.entry(service.to_string()).or_default();
        versions.insert(software.to_string(), now);
    }

    /// Records that registrations are received from now on. Other processes may have begun streams before, unless
    /// the whole system starts for the first time.
    pub fn started(&mut self, now: Time, is_first_start: bool) {
        let unknown = if is_first_start {
            Time::ZERO
        } else {
            RETENTION
        };
        self.complete_from = Some(now + unknown);
    }

    /// Records a software version of a service from the record of a process that knew all versions.
    pub fn recorded(&mut self, now: Time, service: &str, software: &str) {
        self.registered(now, service, software);
        self.recorded.insert(service.to_string());
    }

    /// Returns whether all software versions are known that a service has had recently.
    pub fn is_complete(&self, now: Time, service: &str) -> bool {
        self.complete_from.is_some_and(|from| from <= now) || self.recorded.contains(service)
    }

    /// Returns the software versions that a service has had recently.
    pub fn recent_software(&mut self, now: Time, service: &str) -> BTreeSet<Software> {
        let Some(versions) = self.registered.get_mut(service) else {
            return BTreeSet::new();
        };
        versions.retain(|_, seen_at| now.saturating_sub(*seen_at) < RETENTION);
        versions.keys().cloned().collect()
    }

    /// Returns the software version of a service that has had only one recently, by the versions of its
    /// engines that are `current`; `None` if others may have been there before this gateway started.
    pub fn sole_software(
        &mut self,
        now: Time,
        service: &str,
        mut current: BTreeSet<Software>,
    ) -> Option<Software> {
        if !self.is_complete(now, service) {
            return None;
        }
        current.extend(self.recent_software(now, service));
        let sole = current.pop_first();
        sole.filter(|_| current.is_empty())
    }
}

/// Returns whether a stream is one of some services.
fn is_in(streams: &BTreeMap<Key, Record>, key: Key, services: &BTreeSet<Service>) -> bool {
    let record = streams.get(&key);
    record.is_some_and(|record| services.contains(&record.origin.service))
}
