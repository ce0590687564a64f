//! The naive and the clairvoyant version, over the same small fakes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fake::{Meter, Weights, is_lost};
use super::measure::{Fate, Usage};
use super::trace::{Arrival, Kind, User};

/// The entries that decide alone in the naive version.
const ENTRIES: usize = 8;

/// Which of the two versions runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Every entry alone, least recently used, first come first served.
    Naive,
    /// One queue for the region and knowledge of all arrivals.
    Clairvoyant,
}

#[derive(Clone, Debug, Default)]
struct Place {
    users: usize,
    used: Duration,
    ready: Duration,
}

#[derive(Debug, Default)]
struct Engine {
    slots: BTreeMap<usize, Place>,
    running: usize,
    /// Requests whose adapter is there and that wait for room in the batch.
    waiting: VecDeque<usize>,
    meter: Meter,
}

/// A load that waits: the adapter, its engine, and the requests that wait for it.
#[derive(Debug)]
struct Load {
    entry: usize,
    engine: Option<usize>,
    adapter: usize,
    requests: Vec<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(usize, usize),
    Loaded(usize, usize),
    Lost(usize),
    Try,
}

struct World<'a> {
    version: Version,
    user: &'a User,
    kind: &'a Kind,
    arrivals: &'a [Arrival],
    engines: Vec<Engine>,
    weights: Weights,
    queue: VecDeque<Load>,
    loading: BTreeMap<(usize, usize), Vec<usize>>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    /// For each adapter the arrivals still to come, the next one last.
    future: Vec<Vec<usize>>,
    fates: Vec<Fate>,
    usage: Usage,
    rng: ChaCha8Rng,
}

/// Runs a version over a trace.
pub fn run(
    version: Version,
    user: &User,
    kind: &Kind,
    arrivals: &[Arrival],
    seed: u64,
) -> (Vec<Fate>, Usage) {
    let mut future = vec![Vec::new(); user.adapters];
    for (index, arrival) in arrivals.iter().enumerate().rev() {
        future[arrival.adapter].push(index);
    }
    let mut world = World {
        version,
        user,
        kind,
        arrivals,
        engines: (0..user.engines).map(|_| Engine::default()).collect(),
        weights: Weights::new(kind.twist),
        queue: VecDeque::new(),
        loading: BTreeMap::new(),
        events: BTreeMap::new(),
        count: 0,
        future,
        fates: vec![Fate::default(); arrivals.len()],
        usage: Usage::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    for (index, arrival) in arrivals.iter().enumerate() {
        world.push(arrival.at, Event::Arrive(index));
    }
    for engine in 0..2 {
        world.push(super::trace::TWIST_AT, Event::Lost(engine));
    }
    while let Some(((now, _), event)) = world.events.pop_first() {
        world.handle(now, event);
    }
    (world.fates, world.usage)
}

impl World<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(request) => {
                self.future[self.arrivals[request].adapter].pop();
                self.arrive(now, request);
            }
            Event::End(engine, request) => {
                let adapter = self.arrivals[request].adapter;
                if let Some(place) = self.engines[engine].slots.get_mut(&adapter) {
                    place.users = place.users.saturating_sub(1);
                    place.used = now;
                }
                self.run_count(now, engine, -1);
                self.start_waiting(now, engine);
            }
            Event::Loaded(engine, adapter) => {
                let requests = self.loading.remove(&(engine, adapter)).unwrap_or_default();
                if let Some(place) = self.engines[engine].slots.get_mut(&adapter) {
                    place.ready = now;
                    place.used = now;
                }
                for request in requests {
                    self.fates[request].stall = now.saturating_sub(self.arrivals[request].at);
                    self.engines[engine].waiting.push_back(request);
                }
                self.start_waiting(now, engine);
            }
            Event::Lost(engine) if is_lost(self.kind.twist, engine, now) => self.lose(now, engine),
            Event::Lost(_) | Event::Try => {}
        }
        self.load(now);
    }

    /// An engine is lost: what ran there has ended, what waited comes again.
    fn lose(&mut self, now: Duration, engine: usize) {
        self.engines[engine]
            .slots
            .retain(|_, place| place.ready > now);
        let waiting = std::mem::take(&mut self.engines[engine].waiting);
        for request in waiting {
            self.arrive(now, request);
        }
    }

    fn arrive(&mut self, now: Duration, request: usize) {
        let adapter = self.arrivals[request].adapter;
        if let Some(engine) = self.holder(now, adapter) {
            self.engines[engine].waiting.push_back(request);
            self.start_waiting(now, engine);
            return;
        }
        let entry = self.rng.random_range(0..ENTRIES);
        let naive = self.version == Version::Naive;
        let joins = |load: &Load| load.adapter == adapter && (!naive || load.entry == entry);
        if let Some(load) = self.queue.iter_mut().find(|load| joins(load)) {
            load.requests.push(request);
            return;
        }
        let loading = self.loading.iter_mut().find(|((_, a), _)| *a == adapter);
        if let (Some((_, requests)), false) = (loading, naive) {
            requests.push(request);
            return;
        }
        let engine = naive.then(|| self.least_loaded(now));
        self.queue.push_back(Load {
            entry,
            engine,
            adapter,
            requests: vec![request],
        });
    }

    /// Returns the least busy engine that holds an adapter.
    fn holder(&self, now: Duration, adapter: usize) -> Option<usize> {
        (0..self.engines.len())
            .filter(|engine| !is_lost(self.kind.twist, *engine, now))
            .filter(|engine| {
                let place = self.engines[*engine].slots.get(&adapter);
                place.is_some_and(|place| place.ready <= now)
            })
            .min_by_key(|engine| self.busy(*engine))
    }

    fn busy(&self, engine: usize) -> usize {
        self.engines[engine].running + self.engines[engine].waiting.len()
    }

    fn least_loaded(&self, now: Duration) -> usize {
        let planned = |engine: usize| {
            self.queue
                .iter()
                .filter(|l| l.engine == Some(engine))
                .count()
        };
        (0..self.engines.len())
            .filter(|engine| !is_lost(self.kind.twist, *engine, now))
            .min_by_key(|engine| (self.busy(*engine) + planned(*engine), *engine))
            .unwrap_or(0)
    }

    /// Begins waiting loads as the rate permits.
    fn load(&mut self, now: Duration) {
        while !self.queue.is_empty() {
            if self.weights.ready() > now {
                let at = self.weights.ready();
                if !self
                    .events
                    .range((now, 0)..=(at, u64::MAX))
                    .any(|(_, e)| *e == Event::Try)
                {
                    self.push(at, Event::Try);
                }
                return;
            }
            let Some(index) = self.next_load(now) else {
                return;
            };
            let Some(load) = self.queue.remove(index) else {
                return;
            };
            let Some(engine) = self.make_room(now, load.engine) else {
                self.queue.insert(index, load);
                return;
            };
            let end = self.weights.load(now, load.adapter, &mut self.usage);
            let place = Place {
                users: 0,
                used: now,
                ready: end,
            };
            self.engines[engine].slots.insert(load.adapter, place);
            self.loading
                .entry((engine, load.adapter))
                .or_default()
                .extend(load.requests);
            self.push(end, Event::Loaded(engine, load.adapter));
        }
    }

    /// Returns the load to begin: the first, or the one with the most waiting.
    fn next_load(&self, now: Duration) -> Option<usize> {
        match self.version {
            Version::Naive => (0..self.queue.len()).find(|index| {
                self.queue[*index]
                    .engine
                    .is_none_or(|engine| self.victim(now, engine).is_some())
            }),
            Version::Clairvoyant => (0..self.queue.len()).max_by_key(|index| {
                let load = &self.queue[*index];
                let first = self.arrivals[load.requests[0]].at;
                let old = now.saturating_sub(first) > Duration::from_secs(10);
                (old, load.requests.len(), std::cmp::Reverse(first))
            }),
        }
    }

    /// Frees a slot on an engine, or on the best one of all.
    fn make_room(&mut self, now: Duration, engine: Option<usize>) -> Option<usize> {
        let engines = match engine {
            Some(engine) => vec![engine],
            None => (0..self.engines.len())
                .filter(|engine| !is_lost(self.kind.twist, *engine, now))
                .collect(),
        };
        let (engine, victim, _) = engines
            .into_iter()
            .filter_map(|engine| {
                let (victim, next) = self.victim(now, engine)?;
                Some((engine, victim, next))
            })
            .max_by_key(|(engine, _, next)| (*next, std::cmp::Reverse(self.busy(*engine))))?;
        if let Some(victim) = victim {
            self.engines[engine].slots.remove(&victim);
        }
        Some(engine)
    }

    /// Returns the slot to evict on an engine, with how far its next use lies away.
    ///
    /// A free slot counts as one that is never used again.
    fn victim(&self, now: Duration, engine: usize) -> Option<(Option<usize>, usize)> {
        let slots = &self.engines[engine].slots;
        if slots.len() < self.user.slots {
            return Some((None, usize::MAX));
        }
        let waits = |adapter: usize| {
            let waiting = &self.engines[engine].waiting;
            waiting
                .iter()
                .any(|request| self.arrivals[*request].adapter == adapter)
        };
        let idle = slots
            .iter()
            .filter(|(adapter, place)| place.users == 0 && place.ready <= now && !waits(**adapter));
        let next = |adapter: usize| {
            self.future[adapter]
                .last()
                .copied()
                .unwrap_or(usize::MAX - 1)
        };
        let victim = match self.version {
            Version::Naive => idle.min_by_key(|(_, place)| place.used),
            Version::Clairvoyant => idle.max_by_key(|(adapter, _)| next(**adapter)),
        };
        victim.map(|(adapter, _)| (Some(*adapter), next(*adapter)))
    }

    fn start_waiting(&mut self, now: Duration, engine: usize) {
        if is_lost(self.kind.twist, engine, now) {
            return;
        }
        while self.engines[engine].running < self.user.batch {
            let Some(request) = self.engines[engine].waiting.pop_front() else {
                return;
            };
            let arrival = &self.arrivals[request];
            if let Some(place) = self.engines[engine].slots.get_mut(&arrival.adapter) {
                place.users += 1;
                place.used = now;
            }
            let fate = &mut self.fates[request];
            fate.wait = now.saturating_sub(arrival.at);
            fate.served = true;
            let end = now + arrival.run;
            self.push(end, Event::End(engine, request));
            self.run_count(now, engine, 1);
        }
    }

    fn run_count(&mut self, now: Duration, engine: usize, change: isize) {
        let state = &mut self.engines[engine];
        state.running = state.running.saturating_add_signed(change);
        state
            .meter
            .change(now, state.running, self.user.batch, &mut self.usage);
    }
}
