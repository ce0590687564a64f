//! The services and software versions that began streams.
//!
//! Engines of different software versions write events that do not fit together. A stream may be resumed
//! only where this gateway knows which version began it: the version in the registration of that start of an engine
//! which wrote its first event. The registration of another start tells nothing, however recent it is.

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
    pub fn is_known(&self) -> bool {
        !self.software.is_empty()
    }
}

/// One start of an engine: the engine, and the start time in milliseconds since the Unix epoch.
pub type Start = (Endpoint, u64);

/// Streams by the version that began them.
pub type Batch = BTreeMap<Origin, Vec<Key>>;

#[derive(Clone, Debug)]
struct Record {
    origin: Origin,
    /// The start of an engine that wrote the first event, while the registration of that start is not known.
    writer: Option<Start>,
}

/// The streams that began recently, at this gateway or at one that has told it.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    streams: BTreeMap<Key, Record>,
    /// The streams by age, oldest first.
    ages: VecDeque<(Time, Key)>,
    /// The streams whose version will be known with the registration of the start that began them.
    pending: BTreeSet<(Start, Key)>,
    /// When starts of engines were last met without a registration, by service: their version may be any.
    unregistered: BTreeMap<(Service, Start), Time>,
    /// When other gateways said that they know a stream, but not its version.
    unresolved: BTreeMap<Key, Time>,
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

    /// Records that an engine of a known version writes the first event of a stream.
    pub fn began(&mut self, now: Time, key: Key, origin: Origin) {
        self.add(now, key, origin);
        self.spread(key);
    }

    /// Records that an engine whose version is not known writes the first event of a stream. The version becomes known
    /// with the registration of its start, if it has named that.
    pub fn began_unregistered(
        &mut self,
        now: Time,
        key: Key,
        service: &str,
        writer: Option<Start>,
    ) {
        let is_new = !self.streams.contains_key(&key);
        if self.add(now, key, Origin::new(service, "")) && !is_new {
            self.spread(key);
        }
        if let Some(record) = self.streams.get_mut(&key).filter(|_| is_new) {
            record.writer.clone_from(&writer);
            self.pending.extend(writer.map(|writer| (writer, key)));
        }
    }

    /// Records that an engine of a service has named a start whose registration is not known.
    pub fn start_met(&mut self, now: Time, service: &str, start: Start) {
        let unregistered = &mut self.unregistered;
        unregistered.retain(|_, met_at| now.saturating_sub(*met_at) < RETENTION);
        unregistered.insert((service.to_string(), start), now);
    }

    /// Returns whether a service has had an engine recently whose version is not known.
    fn has_unregistered(&self, now: Time, service: &str) -> bool {
        let mut unregistered = self.unregistered.iter();
        unregistered
            .any(|((of, _), met_at)| of == service && now.saturating_sub(*met_at) < RETENTION)
    }

    /// Records the registration of one start of an engine; returns whether it tells the version that began some streams.
    pub fn start_registered(&mut self, start: &Start, software: &str) -> bool {
        self.unregistered.retain(|(_, met), _| met != start);
        let from = (start.clone(), Key::MIN);
        let to = (start.clone(), Key::MAX);
        let keys: Vec<Key> = self.pending.range(from..=to).map(|(_, key)| *key).collect();
        for key in &keys {
            self.pending.remove(&(start.clone(), *key));
            if let Some(record) = self.streams.get_mut(key) {
                record.writer = None;
                record.origin.software = software.to_string();
                self.spread(*key);
            }
        }
        !keys.is_empty()
    }

    /// Records that another gateway knows a stream, but not its version.
    pub fn known_unresolved(&mut self, now: Time, key: Key) {
        let unresolved = &mut self.unresolved;
        unresolved.retain(|_, heard_at| now.saturating_sub(*heard_at) < RETENTION);
        unresolved.insert(key, now);
    }

    /// Returns whether this gateway or another one knows a stream, but not its version.
    pub fn is_unresolved(&mut self, now: Time, key: Key) -> bool {
        let heard_at = self.unresolved.get(&key);
        let is_heard = heard_at.is_some_and(|heard_at| now.saturating_sub(*heard_at) < RETENTION);
        match self.find(now, key) {
            Some(origin) => !origin.is_known(),
            None => is_heard,
        }
    }

    /// Records the origin of a stream that another gateway knows.
    pub fn learned(&mut self, now: Time, key: Key, origin: Origin) {
        if self.add(now, key, origin) {
            self.unstored.insert(key);
        }
    }

    /// Records the origin of a stream that is in the store.
    pub fn stored(&mut self, now: Time, key: Key, origin: &Origin) {
        self.add(now, key, origin.clone());
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
            self.add(now, key, origin);
            self.spread(key);
        }
    }

    /// Adds a record; returns whether it changes what is known. If two attempts with the same id began streams at
    /// different versions, neither is known.
    fn add(&mut self, now: Time, key: Key, origin: Origin) -> bool {
        self.expire(now);
        if let Some(record) = self.streams.get_mut(&key) {
            let is_final = !record.origin.is_known() && record.writer.is_none();
            let is_retracted = record.origin != origin && !is_final;
            if is_retracted {
                record.origin.software.clear();
                let writer = record.writer.take();
                self.forget_writer(writer, key);
            }
            return is_retracted;
        }
        let record = Record {
            origin,
            writer: None,
        };
        self.streams.insert(key, record);
        self.ages.push_back((now, key));
        true
    }

    fn forget_writer(&mut self, writer: Option<Start>, key: Key) {
        if let Some(writer) = writer {
            self.pending.remove(&(writer, key));
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some((began_at, key)) = self.ages.front().copied() {
            if self.ages.len() <= MAX_STREAMS && now.saturating_sub(began_at) < RETENTION {
                return;
            }
            self.ages.pop_front();
            let record = self.streams.remove(&key);
            self.forget_writer(record.and_then(|record| record.writer), key);
            self.unshared.remove(&key);
            self.unkept.remove(&key);
            self.unstored.remove(&key);
        }
    }

    /// Returns where a stream began, if it is known.
    pub fn origin(&mut self, now: Time, key: Key) -> Option<&Origin> {
        self.find(now, key).filter(|origin| origin.is_known())
    }

    /// Returns what this gateway knows of where a stream began, possibly without the version.
    pub fn find(&mut self, now: Time, key: Key) -> Option<&Origin> {
        self.expire(now);
        self.streams.get(&key).map(|record| &record.origin)
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
    /// engines that are `current`; `None` if others may have been there, before this gateway started or without a
    /// registration.
    pub fn sole_software(
        &mut self,
        now: Time,
        service: &str,
        mut current: BTreeSet<Software>,
    ) -> Option<Software> {
        if !self.is_complete(now, service) || self.has_unregistered(now, service) {
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
