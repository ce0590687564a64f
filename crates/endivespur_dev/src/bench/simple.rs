//! The naive and the clairvoyant policy, over the same emulated weight store and engines as the
//! `chosen` one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fake::{Meter, WeightStore, is_lost};
use super::measure::{Outcome, Usage};
use super::trace::{Arrival, Pattern, Profile};

/// The number of entry processes, which decide independently of each other in the naive policy.
const ENTRIES: usize = 8;

/// A policy that the `chosen` one is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Each entry process decides alone: first come, first served, and the least recently used
    /// adapter is evicted.
    Naive,
    /// One queue for the region, and all arrivals are known in advance: the adapter whose next
    /// arrival is furthest away is evicted.
    Clairvoyant,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    running_requests: usize,
    last_used: Duration,
    /// The end of the load.
    ready_at: Duration,
}

#[derive(Debug, Default)]
struct Engine {
    /// The occupied slots by adapter.
    slots: BTreeMap<usize, Slot>,
    running: usize,
    /// Requests whose adapter is loaded and that wait until the batch has room.
    waiting: VecDeque<usize>,
    meter: Meter,
}

/// A load that has not started.
#[derive(Debug)]
struct Load {
    /// The entry process that requested it.
    entry: usize,
    /// The engine that the naive policy has selected.
    engine: Option<usize>,
    adapter: usize,
    /// The requests that wait for it.
    requests: Vec<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives.
    Arrive(usize),
    /// A request ends: engine and request.
    End(usize, usize),
    /// A load ends: engine and adapter.
    Loaded(usize, usize),
    /// An engine is lost.
    Lost(usize),
    /// The weight store can serve the next load.
    RetryLoads,
}

struct Simulation<'a> {
    baseline: Baseline,
    profile: &'a Profile,
    pattern: &'a Pattern,
    arrivals: &'a [Arrival],
    engines: Vec<Engine>,
    weight_store: WeightStore,
    load_queue: VecDeque<Load>,
    /// The requests that wait for each load in progress, by engine and adapter.
    loading: BTreeMap<(usize, usize), Vec<usize>>,
    /// The scheduled events by time, then by the order in which they were scheduled.
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    /// The future arrivals of each adapter, the next one last.
    future_arrivals: Vec<Vec<usize>>,
    outcomes: Vec<Outcome>,
    usage: Usage,
    rng: ChaCha8Rng,
}

/// Runs a baseline policy over a trace.
pub fn run(
    baseline: Baseline,
    profile: &Profile,
    pattern: &Pattern,
    arrivals: &[Arrival],
    seed: u64,
) -> (Vec<Outcome>, Usage) {
    let mut future_arrivals = vec![Vec::new(); profile.adapters];
    for (index, arrival) in arrivals.iter().enumerate().rev() {
        future_arrivals[arrival.adapter].push(index);
    }
    let mut simulation = Simulation {
        baseline,
        profile,
        pattern,
        arrivals,
        engines: (0..profile.engines).map(|_| Engine::default()).collect(),
        weight_store: WeightStore::new(pattern.disturbance),
        load_queue: VecDeque::new(),
        loading: BTreeMap::new(),
        events: BTreeMap::new(),
        event_count: 0,
        future_arrivals,
        outcomes: vec![Outcome::default(); arrivals.len()],
        usage: Usage::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    for (index, arrival) in arrivals.iter().enumerate() {
        simulation.schedule(arrival.at, Event::Arrive(index));
    }
    for engine in 0..2 {
        simulation.schedule(super::trace::DISTURBANCE_START, Event::Lost(engine));
    }
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        simulation.handle(now, event);
    }
    (simulation.outcomes, simulation.usage)
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(request) => {
                self.future_arrivals[self.arrivals[request].adapter].pop();
                self.arrive(now, request);
            }
            Event::End(engine, request) => {
                let adapter = self.arrivals[request].adapter;
                if let Some(slot) = self.engines[engine].slots.get_mut(&adapter) {
                    slot.running_requests = slot.running_requests.saturating_sub(1);
                    slot.last_used = now;
                }
                self.change_running(now, engine, -1);
                self.start_waiting_requests(now, engine);
            }
            Event::Loaded(engine, adapter) => {
                let requests = self.loading.remove(&(engine, adapter)).unwrap_or_default();
                if let Some(slot) = self.engines[engine].slots.get_mut(&adapter) {
                    slot.ready_at = now;
                    slot.last_used = now;
                }
                for request in requests {
                    self.outcomes[request].stall = now.saturating_sub(self.arrivals[request].at);
                    self.engines[engine].waiting.push_back(request);
                }
                self.start_waiting_requests(now, engine);
            }
            Event::Lost(engine) if is_lost(self.pattern.disturbance, engine, now) => {
                self.lose_engine(now, engine);
            }
            Event::Lost(_) | Event::RetryLoads => {}
        }
        self.start_loads(now);
    }

    /// Removes the loaded adapters of a lost engine and handles its waiting requests as new
    /// arrivals.
    ///
    /// Running requests and loads in progress are not affected: they end at their scheduled time.
    fn lose_engine(&mut self, now: Duration, engine: usize) {
        self.engines[engine]
            .slots
            .retain(|_, slot| slot.ready_at > now);
        let waiting = std::mem::take(&mut self.engines[engine].waiting);
        for request in waiting {
            self.arrive(now, request);
        }
    }

    fn arrive(&mut self, now: Duration, request: usize) {
        let adapter = self.arrivals[request].adapter;
        if let Some(engine) = self.least_busy_holder(now, adapter) {
            self.engines[engine].waiting.push_back(request);
            self.start_waiting_requests(now, engine);
            return;
        }
        let entry = self.rng.random_range(0..ENTRIES);
        let naive = self.baseline == Baseline::Naive;
        let is_same_load = |load: &Load| load.adapter == adapter && (!naive || load.entry == entry);
        if let Some(load) = self.load_queue.iter_mut().find(|load| is_same_load(load)) {
            load.requests.push(request);
            return;
        }
        let loading = self.loading.iter_mut().find(|((_, a), _)| *a == adapter);
        if let (Some((_, requests)), false) = (loading, naive) {
            requests.push(request);
            return;
        }
        let engine = naive.then(|| self.least_busy_engine(now));
        self.load_queue.push_back(Load {
            entry,
            engine,
            adapter,
            requests: vec![request],
        });
    }

    /// Returns the engine with the fewest requests among those that have loaded an adapter.
    fn least_busy_holder(&self, now: Duration, adapter: usize) -> Option<usize> {
        (0..self.engines.len())
            .filter(|engine| !is_lost(self.pattern.disturbance, *engine, now))
            .filter(|engine| {
                let slot = self.engines[*engine].slots.get(&adapter);
                slot.is_some_and(|slot| slot.ready_at <= now)
            })
            .min_by_key(|engine| self.request_count(*engine))
    }

    /// Returns the number of running and waiting requests.
    fn request_count(&self, engine: usize) -> usize {
        self.engines[engine].running + self.engines[engine].waiting.len()
    }

    /// Returns the available engine with the fewest requests and queued loads.
    fn least_busy_engine(&self, now: Duration) -> usize {
        let queued_loads = |engine: usize| {
            self.load_queue
                .iter()
                .filter(|l| l.engine == Some(engine))
                .count()
        };
        (0..self.engines.len())
            .filter(|engine| !is_lost(self.pattern.disturbance, *engine, now))
            .min_by_key(|engine| (self.request_count(*engine) + queued_loads(*engine), *engine))
            .unwrap_or(0)
    }

    /// Starts queued loads as the weight store's rate permits.
    fn start_loads(&mut self, now: Duration) {
        while !self.load_queue.is_empty() {
            if self.weight_store.next_load_at() > now {
                let at = self.weight_store.next_load_at();
                if !self
                    .events
                    .range((now, 0)..=(at, u64::MAX))
                    .any(|(_, e)| *e == Event::RetryLoads)
                {
                    self.schedule(at, Event::RetryLoads);
                }
                return;
            }
            let Some(index) = self.next_load(now) else {
                return;
            };
            let Some(load) = self.load_queue.remove(index) else {
                return;
            };
            let Some(engine) = self.free_slot(now, load.engine) else {
                self.load_queue.insert(index, load);
                return;
            };
            let end = self.weight_store.load(now, load.adapter, &mut self.usage);
            let slot = Slot {
                running_requests: 0,
                last_used: now,
                ready_at: end,
            };
            self.engines[engine].slots.insert(load.adapter, slot);
            self.loading
                .entry((engine, load.adapter))
                .or_default()
                .extend(load.requests);
            self.schedule(end, Event::Loaded(engine, load.adapter));
        }
    }

    /// Returns the index of the load to start.
    ///
    /// The naive policy selects the first load whose engine has a slot for it. The clairvoyant
    /// one selects the load with the most waiting requests, but prefers those whose first request
    /// has waited for more than 10 s.
    fn next_load(&self, now: Duration) -> Option<usize> {
        match self.baseline {
            Baseline::Naive => (0..self.load_queue.len()).find(|index| {
                self.load_queue[*index]
                    .engine
                    .is_none_or(|engine| self.eviction_candidate(now, engine).is_some())
            }),
            Baseline::Clairvoyant => (0..self.load_queue.len()).max_by_key(|index| {
                let load = &self.load_queue[*index];
                let first = self.arrivals[load.requests[0]].at;
                let is_overdue = now.saturating_sub(first) > Duration::from_secs(10);
                (is_overdue, load.requests.len(), std::cmp::Reverse(first))
            }),
        }
    }

    /// Frees a slot on the given engine, or on the engine whose slot is needed last if none is
    /// given, and returns the engine.
    fn free_slot(&mut self, now: Duration, engine: Option<usize>) -> Option<usize> {
        let engines = match engine {
            Some(engine) => vec![engine],
            None => (0..self.engines.len())
                .filter(|engine| !is_lost(self.pattern.disturbance, *engine, now))
                .collect(),
        };
        let (engine, victim, _) = engines
            .into_iter()
            .filter_map(|engine| {
                let (victim, next_arrival) = self.eviction_candidate(now, engine)?;
                Some((engine, victim, next_arrival))
            })
            .max_by_key(|(engine, _, next_arrival)| {
                (
                    *next_arrival,
                    std::cmp::Reverse(self.request_count(*engine)),
                )
            })?;
        if let Some(victim) = victim {
            self.engines[engine].slots.remove(&victim);
        }
        Some(engine)
    }

    /// Returns the adapter to evict on an engine with the index of the adapter's next arrival, or
    /// `None` if every slot is in use.
    ///
    /// The adapter is `None` if the engine has a free slot. The index is `usize::MAX` for a free
    /// slot and `usize::MAX - 1` for an adapter without another arrival, so that a free slot is
    /// preferred.
    fn eviction_candidate(&self, now: Duration, engine: usize) -> Option<(Option<usize>, usize)> {
        let slots = &self.engines[engine].slots;
        if slots.len() < self.profile.slots {
            return Some((None, usize::MAX));
        }
        let is_awaited = |adapter: usize| {
            let waiting = &self.engines[engine].waiting;
            waiting
                .iter()
                .any(|request| self.arrivals[*request].adapter == adapter)
        };
        let idle = slots.iter().filter(|(adapter, slot)| {
            slot.running_requests == 0 && slot.ready_at <= now && !is_awaited(**adapter)
        });
        let next_arrival = |adapter: usize| {
            self.future_arrivals[adapter]
                .last()
                .copied()
                .unwrap_or(usize::MAX - 1)
        };
        let victim = match self.baseline {
            Baseline::Naive => idle.min_by_key(|(_, slot)| slot.last_used),
            Baseline::Clairvoyant => idle.max_by_key(|(adapter, _)| next_arrival(**adapter)),
        };
        victim.map(|(adapter, _)| (Some(*adapter), next_arrival(*adapter)))
    }

    fn start_waiting_requests(&mut self, now: Duration, engine: usize) {
        if is_lost(self.pattern.disturbance, engine, now) {
            return;
        }
        while self.engines[engine].running < self.profile.batch {
            let Some(request) = self.engines[engine].waiting.pop_front() else {
                return;
            };
            let arrival = &self.arrivals[request];
            if let Some(slot) = self.engines[engine].slots.get_mut(&arrival.adapter) {
                slot.running_requests += 1;
                slot.last_used = now;
            }
            let outcome = &mut self.outcomes[request];
            outcome.wait = now.saturating_sub(arrival.at);
            outcome.served = true;
            let end = now + arrival.run_time;
            self.schedule(end, Event::End(engine, request));
            self.change_running(now, engine, 1);
        }
    }

    /// Changes the number of running requests of an engine.
    fn change_running(&mut self, now: Duration, engine: usize, change: isize) {
        let state = &mut self.engines[engine];
        state.running = state.running.saturating_add_signed(change);
        state
            .meter
            .record(now, state.running, self.profile.batch, &mut self.usage);
    }
}
