//! The adapters on one engine, and the orders that its owner gives it.
//!
//! The owner gives one order at a time, each under the number of orders that the engine
//! has accepted, so that an order which arrives late fails instead of overfilling it.

mod estimate;
mod order;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;
use crate::decay::Counter;
use crate::gateway::endpoint::{Base, Weights};
use crate::gateway::prefix::{Cache, Part};
use crate::gateway::table::EngineClass;
use crate::id::{Grant, Version};

/// How long a fetch from the weight store is expected to take before one was seen.
const FETCH_TIME: Duration = Duration::from_millis(250);
/// How long an engine whose slots are all in use is expected to take until one is free,
/// before it was seen.
const TURN_TIME: Duration = Duration::from_millis(400);
/// How far an engine's report may lag behind its state.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// The time over which an adapter's uses lose half of their weight.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(8);
/// The time over which the work of reading prompts loses half of its weight.
const WORK_HALF_LIFE: Duration = Duration::from_secs(3);
/// The weight of the newest answer in an engine's pace.
const NEWEST_PACE_SHARE: f64 = 0.15;
/// The bounds of an engine's pace; beyond the upper one it is the answers' failures that tell.
const PACE_BOUNDS: (f64, f64) = (0.7, 12.0);
/// The longest time that a grant counts as in use if its end is never told.
const GRANT_BOUND: Duration = Duration::from_secs(20);

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads weights, or replaces them by a newer version.
    Load,
    /// Unloads weights.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What it does.
    pub action: Action,
    /// The weights.
    pub weights: Weights,
    /// The version to load; the newest if there is none.
    pub version: Option<Version>,
    /// The number of orders that the engine must have accepted before.
    pub expected: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or the engine has accepted others.
    Conflict,
    /// No answer; it may still be carried out.
    Lost,
}

/// What an engine's report says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The base models with their adapters.
    pub bases: BTreeMap<String, Base>,
    /// The adapters on their way.
    pub loading: BTreeMap<Weights, Version>,
    /// The orders accepted.
    pub orders: u64,
    /// Whether the order of a base model is being carried out.
    pub is_loading_base: bool,
}

/// What the owner does next with an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It gives an order.
    Order(Order),
    /// It reads the report.
    Report,
    /// It waits until that moment, or until something changes.
    Sleep(Option<Time>),
}

/// A request for a grant.
#[derive(Clone, Debug)]
pub struct Request {
    /// The weights that the request names.
    pub weights: Weights,
    /// The prompt's tokens.
    pub tokens: u64,
    /// The prompt's parts in order.
    pub parts: Vec<Part>,
    /// The longest delay to be put up with; none if any is.
    pub max_delay: Option<Duration>,
    /// Whether the adapter must be there already.
    pub only_resident: bool,
    /// The time within which the prompt must be sent to meet the request's objective.
    pub due: Duration,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Granted(Grant),
    /// The adapter is not there yet; ask again when something changes.
    Wait,
    /// Another engine should be tried first; the estimated delay here.
    Busy(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// On its way, to be looked at next at that moment.
    Loading {
        since: Time,
        check: Time,
    },
    Resident,
    /// The unload was ordered.
    Unloading,
}

/// What a report is read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// All that the engine holds.
    State,
    /// Which unloads are done: the rest is known better than an older report tells it.
    Unloads,
}

#[derive(Clone, Debug)]
struct Copy {
    version: Version,
    state: State,
    users: BTreeMap<Grant, Time>,
    popularity: Counter,
}

impl Copy {
    fn new(version: Version, state: State) -> Self {
        Self {
            version,
            state,
            users: BTreeMap::new(),
            popularity: Counter::default(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Want {
    since: Time,
    waiting: usize,
    /// Until when the last of the waiting requests can meet its objective.
    due: Time,
}

/// A prompt that was sent to the engine.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    sent: Time,
    /// The time that it takes by the data sheet.
    cost: Duration,
    /// Whether the engine had no other prompt to read.
    is_alone: bool,
}

/// The state of one engine at its owner.
#[derive(Debug)]
pub struct Engine {
    slots: usize,
    bases: BTreeSet<String>,
    /// The base models that may be loaded, with the time that it takes.
    servable: BTreeMap<String, Duration>,
    /// The base model that was ordered, and when.
    base_ordered: Option<(String, Time)>,
    copies: BTreeMap<Weights, Copy>,
    wants: BTreeMap<Weights, Want>,
    newest: BTreeMap<Weights, Version>,
    /// The weights that the engine lacked although it was believed to hold them.
    doubtful: BTreeSet<Weights>,
    orders: u64,
    report_at: Option<Time>,
    /// When the report is read for unloads that wait for running requests.
    unload_check: Option<Time>,
    /// What the report that is being read is for.
    reading: Reading,
    base_check: Option<Time>,
    repeated: Option<Order>,
    /// The prompts that are not read yet.
    unread: BTreeMap<Grant, Prompt>,
    /// The seconds of work of the prompts that were sent.
    work: Counter,
    /// The time that prompts take, as a multiple of what the data sheet says.
    pace: f64,
    cache: Cache,
    next_grant: Grant,
    /// When adapters that the engine may still keep beside its slots were unloaded.
    kept: BTreeMap<Weights, Time>,
    fetch_time: Duration,
    /// The time between two loads while requests wait for others: a slot must become free.
    turn: Duration,
    last_turn: Option<Time>,
}

impl Engine {
    /// Makes the state of an engine whose report is still to be read.
    pub fn new(now: Time, class: &EngineClass) -> Self {
        Self {
            slots: class.adapter_slots,
            bases: BTreeSet::new(),
            servable: class.bases.clone(),
            base_ordered: None,
            copies: BTreeMap::new(),
            wants: BTreeMap::new(),
            newest: BTreeMap::new(),
            doubtful: BTreeSet::new(),
            orders: 0,
            report_at: Some(now),
            unload_check: None,
            reading: Reading::State,
            base_check: None,
            repeated: None,
            unread: BTreeMap::new(),
            work: Counter::default(),
            pace: 1.0,
            cache: Cache::new(class.memory_tokens),
            next_grant: 1,
            kept: BTreeMap::new(),
            fetch_time: FETCH_TIME,
            turn: TURN_TIME,
            last_turn: None,
        }
    }

    /// Notes the newest version of an adapter.
    pub fn announce(&mut self, weights: &Weights, version: Version) {
        let newest = self.newest.entry(weights.clone()).or_default();
        *newest = (*newest).max(version);
    }

    /// Returns the number of adapters here and on their way.
    pub fn used_slots(&self) -> usize {
        self.copies.len()
    }

    /// Tells whether an adapter is there in its newest version.
    pub fn is_ready(&self, weights: &Weights) -> bool {
        if self.report_at.is_some() && self.copies.is_empty() && self.bases.is_empty() {
            return false;
        }
        if !self.bases.contains(&weights.base) || self.doubtful.contains(weights) {
            return false;
        }
        weights.adapter.is_empty()
            || self.copies.get(weights).is_some_and(|copy| {
                copy.state == State::Resident && copy.version >= self.newest_of(weights)
            })
    }

    fn newest_of(&self, weights: &Weights) -> Version {
        self.newest.get(weights).copied().unwrap_or_default()
    }

    /// Answers a request for a grant.
    pub fn request(&mut self, now: Time, request: &Request) -> Decision {
        let delay = self.delay(now, &request.weights);
        if request.max_delay.is_some_and(|most| delay > most) {
            return Decision::Busy(delay + self.pressure(now));
        }
        if self.is_ready(&request.weights) {
            return Decision::Granted(self.grant(now, request));
        }
        if request.only_resident {
            return Decision::Busy(delay + self.pressure(now));
        }
        Decision::Wait
    }

    /// Notes that a request waits for an adapter; [`Engine::remove_waiter`] ends it.
    pub fn add_waiter(&mut self, now: Time, request: &Request) {
        let want = self.wants.entry(request.weights.clone()).or_insert(Want {
            since: now,
            waiting: 0,
            due: now,
        });
        want.waiting += 1;
        want.due = want.due.max(now + request.due);
    }

    /// Notes that a request no longer waits for an adapter.
    pub fn remove_waiter(&mut self, weights: &Weights) {
        if let Some(want) = self.wants.get_mut(weights) {
            want.waiting -= 1;
            if want.waiting == 0 {
                self.wants.remove(weights);
            }
        }
    }

    fn grant(&mut self, now: Time, request: &Request) -> Grant {
        let grant = self.next_grant;
        self.next_grant += 1;
        let kept = self.cache.cached_tokens(&request.weights, &request.parts);
        self.cache.record(now, &request.weights, &request.parts);
        let prompt = Prompt {
            sent: now,
            cost: estimate::cost(request.tokens, kept),
            is_alone: self.unread.is_empty(),
        };
        self.unread.insert(grant, prompt);
        let work = prompt.cost.mul_f64(self.pace).as_secs_f64();
        self.work.add(now, WORK_HALF_LIFE, work);
        if let Some(copy) = self.copies.get_mut(&request.weights) {
            copy.users.insert(grant, now + GRANT_BOUND);
            copy.popularity.add(now, POPULARITY_HALF_LIFE, 1.0);
        }
        grant
    }

    /// Notes that the answer to a granted request has begun: its prompt was read.
    pub fn response_started(&mut self, now: Time, grant: Grant) {
        let Some(prompt) = self.unread.remove(&grant) else {
            return;
        };
        if prompt.is_alone {
            let took = now.saturating_sub(prompt.sent).as_secs_f64();
            let ratio = took / prompt.cost.as_secs_f64();
            let ratio = ratio.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
            self.pace += NEWEST_PACE_SHARE * (ratio - self.pace);
        }
    }

    /// Notes that a granted request has ended.
    pub fn release(&mut self, weights: &Weights, grant: Grant) {
        self.unread.remove(&grant);
        if let Some(copy) = self.copies.get_mut(weights) {
            copy.users.remove(&grant);
        }
    }

    /// Notes that the engine said it does not hold weights that it was believed to hold; they
    /// are not granted again before its report was read.
    pub fn mark_missing(&mut self, now: Time, weights: &Weights) {
        self.doubtful.insert(weights.clone());
        self.report_at.get_or_insert(now + REPORT_LAG);
    }

    /// Takes the report that [`Step::Report`] asked for, in general as the engine's state.
    ///
    /// An adapter with users stays in use if the report still lists it.
    pub fn reconcile(&mut self, now: Time, report: &Report) {
        if self.reading == Reading::Unloads {
            self.unloaded(now, report);
            return;
        }
        let mut copies = BTreeMap::new();
        for (name, base) in &report.bases {
            for (adapter, version) in &base.adapters {
                let weights = Weights::new(name, adapter);
                copies.insert(weights, (*version, State::Resident));
            }
        }
        let loading = State::Loading {
            since: now,
            check: now,
        };
        for (weights, version) in &report.loading {
            copies.insert(weights.clone(), (*version, loading));
        }
        let mut old = std::mem::take(&mut self.copies);
        for (weights, (version, state)) in copies {
            let mut copy = old
                .remove(&weights)
                .unwrap_or_else(|| Copy::new(version, state));
            copy.version = version;
            copy.state = state;
            self.copies.insert(weights, copy);
        }
        for weights in old.keys() {
            self.cache.invalidate(weights);
        }
        self.bases = report.bases.keys().cloned().collect();
        self.orders = report.orders;
        self.doubtful.clear();
        self.base_check = None;
        self.unload_check = None;
        self.repeated = None;
        self.report_at = report.is_loading_base.then_some(now + REPORT_LAG);
    }

    /// Drops the adapters whose unload is done.
    fn unloaded(&mut self, now: Time, report: &Report) {
        let holds = |weights: &Weights| {
            let base = report.bases.get(&weights.base);
            base.is_some_and(|base| base.adapters.contains_key(&weights.adapter))
        };
        let unloading = self
            .copies
            .iter()
            .filter(|(_, copy)| copy.state == State::Unloading);
        let (waiting, done): (Vec<Weights>, Vec<Weights>) = unloading
            .map(|(weights, _)| weights.clone())
            .partition(holds);
        for weights in done {
            self.dropped(now, &weights);
        }
        self.unload_check = (!waiting.is_empty()).then_some(now + REPORT_LAG);
    }
}
