//! The adapters on one engine, and the orders that its owner gives it.
//!
//! The owner gives one order at a time, each under the number of orders that the engine
//! has accepted, so that an order which arrives late fails instead of overfilling it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;
use crate::decay::Counter;
use crate::gateway::endpoint::{Base, Weights};
use crate::gateway::prefix::{Cache, Part};
use crate::gateway::table::EngineClass;
use crate::id::{Grant, Version};

/// The adapters that may be on their way to one engine at the same time, by its own bound.
const MAX_LOADING: usize = 4;
/// The adapters that an owner fetches from the weight store at the same time. The store's
/// bandwidth is shared by all engines, so that more at once only take longer each.
const MAX_FETCHING: usize = 1;
/// The adapters that an engine is counted on to keep beside its slots, from where they load
/// in a tenth of the time; engines keep 48 or more.
const KEPT_BESIDE: usize = 40;
/// How long a fetch from the weight store is expected to take before one was seen.
const FETCH_TIME: Duration = Duration::from_millis(250);
/// How long an engine whose slots are all in use is expected to take until one is free,
/// before it was seen.
const TURN_TIME: Duration = Duration::from_millis(400);
/// How long a load of an adapter that the engine keeps is expected to take.
const RELOAD_TIME: Duration = Duration::from_millis(25);
/// The weight of the newest fetch in the moving average of fetch times.
const NEWEST_SHARE: f64 = 0.3;
/// How far an engine's report may lag behind its state.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// When a load is looked at for the first time: an adapter that the engine held before
/// takes a tenth of a fetch.
const FIRST_CHECK: Duration = Duration::from_millis(28);
/// When a load that was not done at the first look is looked at again: a fetch from the
/// weight store takes a quarter of a second.
const SECOND_CHECK: Duration = Duration::from_millis(255);
/// The time between later looks.
const LATER_CHECK: Duration = Duration::from_millis(40);
/// The time over which an adapter's uses lose half of their weight.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(8);
/// The delay that an engine without a free slot counts for beside the wait for one.
const FULL_DELAY: Duration = Duration::from_millis(400);
/// The delay that an engine with one free slot counts for: a fetch that may have to wait.
const LAST_SLOT_DELAY: Duration = Duration::from_millis(200);
/// The delay that an engine counts for that does nothing but read prompts: its streams take
/// several times as long.
const READING_DELAY: Duration = Duration::from_millis(300);
/// The time over which the work of reading prompts loses half of its weight.
const WORK_HALF_LIFE: Duration = Duration::from_secs(3);
/// The prompt tokens that an engine reads in a millisecond, by the engines' data sheet.
const PREFILL_TOKENS_PER_MS: f64 = 40.8;
/// The time for a million pairs of prompt tokens in attention, by the data sheet.
const MS_PER_MILLION_PAIRS: f64 = 0.485;
/// The time to the first token of an empty prompt: one step and the first token's own time.
const FIRST_TOKEN_MS: f64 = 14.0;
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
    pub is_busy: bool,
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
pub struct Ask {
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
pub enum Verdict {
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
    pub fn taken(&self) -> usize {
        self.copies.len()
    }

    /// Returns the estimated time until a prompt sent now is read.
    pub fn backlog(&self, now: Time) -> Duration {
        let cost: Duration = self.unread.values().map(|prompt| prompt.cost).sum();
        let oldest = self.unread.values().map(|prompt| prompt.sent).min();
        // The engine has been at work since the oldest was sent, on that one at least.
        let done = oldest.map_or(Duration::ZERO, |sent| now.saturating_sub(sent));
        let first = self.unread.values().next().map(|prompt| prompt.cost);
        let done = done.min(first.unwrap_or_default().mul_f64(self.pace));
        cost.mul_f64(self.pace).saturating_sub(done)
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
    pub fn ask(&mut self, now: Time, ask: &Ask) -> Verdict {
        let delay = self.delay(now, &ask.weights);
        if ask.max_delay.is_some_and(|most| delay > most) {
            return Verdict::Busy(delay + self.pressure(now));
        }
        if self.is_ready(&ask.weights) {
            return Verdict::Granted(self.grant(now, ask));
        }
        if ask.only_resident {
            return Verdict::Busy(delay + self.pressure(now));
        }
        Verdict::Wait
    }

    /// Returns what the use of slots and of reading time adds to the delay here, when engines
    /// are compared.
    fn pressure(&self, now: Time) -> Duration {
        let in_use = self
            .copies
            .values()
            .filter(|copy| !copy.users.is_empty())
            .count();
        let slots = match self.slots.saturating_sub(in_use) {
            0 => FULL_DELAY,
            1 => LAST_SLOT_DELAY,
            _ => Duration::ZERO,
        };
        let window = WORK_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let share = self.work.at(now, WORK_HALF_LIFE) / window;
        slots + READING_DELAY.mul_f64(share.min(2.0))
    }

    /// Notes that a request waits for an adapter; [`Engine::leave`] ends it.
    pub fn join(&mut self, now: Time, ask: &Ask) {
        let want = self.wants.entry(ask.weights.clone()).or_insert(Want {
            since: now,
            waiting: 0,
            due: now,
        });
        want.waiting += 1;
        want.due = want.due.max(now + ask.due);
    }

    /// Notes that a request no longer waits for an adapter.
    pub fn leave(&mut self, weights: &Weights) {
        if let Some(want) = self.wants.get_mut(weights) {
            want.waiting -= 1;
            if want.waiting == 0 {
                self.wants.remove(weights);
            }
        }
    }

    /// Returns the estimated time until the engine holds a base model.
    fn base_delay(&self, now: Time, base: &str) -> Duration {
        if self.bases.contains(base) {
            return Duration::ZERO;
        }
        let load = self.servable.get(base).copied().unwrap_or_default() + REPORT_LAG;
        match &self.base_ordered {
            Some((ordered, at)) if ordered == base => (*at + load).saturating_sub(now),
            _ => load,
        }
    }

    /// Returns the estimated time until the engine begins to read a prompt for these weights.
    pub fn delay(&self, now: Time, weights: &Weights) -> Duration {
        let backlog = self.backlog(now).max(self.base_delay(now, &weights.base));
        if self.is_ready(weights) || weights.adapter.is_empty() {
            return backlog;
        }
        let fetch = self.fetch_time;
        let remaining: Duration = self
            .copies
            .iter()
            .filter_map(|(other, copy)| match copy.state {
                State::Loading { since, .. } if !self.kept.contains_key(other) => {
                    Some((since + fetch).saturating_sub(now))
                }
                _ => None,
            })
            .sum();
        match self.copies.get(weights).map(|copy| copy.state) {
            Some(State::Loading { .. }) => return backlog.max(remaining),
            // A newer version waits for the requests that run on the older one.
            Some(_) => return backlog.max(self.turn + fetch),
            None => {}
        }
        let ahead = self
            .wants
            .keys()
            .filter(|other| *other != weights && !self.copies.contains_key(other))
            .count();
        let idle = self
            .copies
            .values()
            .filter(|copy| copy.state == State::Resident && copy.users.is_empty())
            .count();
        let free = self.slots.saturating_sub(self.copies.len()) + idle;
        let load = if self.kept.contains_key(weights) {
            RELOAD_TIME
        } else {
            remaining + fetch
        };
        let queue = if free > ahead {
            fetch * ahead as u32
        } else {
            self.turn.max(fetch) * (ahead + 1 - free) as u32
        };
        backlog.max(load + queue)
    }

    fn grant(&mut self, now: Time, ask: &Ask) -> Grant {
        let grant = self.next_grant;
        self.next_grant += 1;
        let kept = self.cache.kept(&ask.weights, &ask.parts);
        self.cache.note(now, &ask.weights, &ask.parts);
        let prompt = Prompt {
            sent: now,
            cost: cost(ask.tokens, kept),
            is_alone: self.unread.is_empty(),
        };
        self.unread.insert(grant, prompt);
        let work = prompt.cost.mul_f64(self.pace).as_secs_f64();
        self.work.add(now, WORK_HALF_LIFE, work);
        if let Some(copy) = self.copies.get_mut(&ask.weights) {
            copy.users.insert(grant, now + GRANT_BOUND);
            copy.popularity.add(now, POPULARITY_HALF_LIFE, 1.0);
        }
        grant
    }

    /// Notes that the answer to a granted request has begun: its prompt was read.
    pub fn began(&mut self, now: Time, grant: Grant) {
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
    pub fn missing(&mut self, now: Time, weights: &Weights) {
        self.doubtful.insert(weights.clone());
        self.report_at.get_or_insert(now + REPORT_LAG);
    }

    /// Takes a report as the engine's state.
    ///
    /// An adapter with users stays in use if the report still lists it.
    pub fn reconcile(&mut self, now: Time, report: &Report) {
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
            self.cache.forget(weights);
        }
        self.bases = report.bases.keys().cloned().collect();
        self.orders = report.orders;
        self.doubtful.clear();
        self.base_check = None;
        self.repeated = None;
        self.report_at = report.is_busy.then_some(now + REPORT_LAG);
    }

    /// Returns what the owner does next.
    pub fn step(&mut self, now: Time) -> Step {
        self.expire(now);
        if let Some(at) = self.report_at {
            return if now >= at {
                Step::Report
            } else {
                Step::Sleep(Some(at))
            };
        }
        if let Some(order) = self.repeated.clone() {
            return Step::Order(order);
        }
        if let Some(at) = self.base_check {
            return if now >= at {
                Step::Report
            } else {
                Step::Sleep(Some(at))
            };
        }
        if let Some(order) = self.load_base().or_else(|| self.replace()) {
            return Step::Order(order);
        }
        if let Some(order) = self.load_wanted(now) {
            return Step::Order(order);
        }
        self.check(now)
    }

    fn expire(&mut self, now: Time) {
        for copy in self.copies.values_mut() {
            copy.users.retain(|_, until| now < *until);
        }
        self.unread
            .retain(|_, prompt| now < prompt.sent + GRANT_BOUND);
    }

    fn order(&self, action: Action, weights: &Weights, version: Option<Version>) -> Order {
        Order {
            action,
            weights: weights.clone(),
            version,
            expected: self.orders,
        }
    }

    /// An engine that holds no base model loads one that is asked for, or the first.
    fn load_base(&self) -> Option<Order> {
        if !self.bases.is_empty() {
            return None;
        }
        let wanted = self.wants.keys().map(|weights| &weights.base);
        let base = wanted
            .chain(self.servable.keys())
            .find(|base| self.servable.contains_key(*base))?;
        Some(self.order(Action::Load, &Weights::new(base, ""), None))
    }

    fn replace(&self) -> Option<Order> {
        let loading = self.loading();
        self.copies
            .iter()
            .filter(|(_, copy)| copy.state == State::Resident)
            .filter(|(weights, copy)| copy.version < self.newest_of(weights))
            .min_by_key(|(_, copy)| std::cmp::Reverse(copy.users.len()))
            .filter(|_| loading < MAX_LOADING)
            .map(|(weights, _)| self.order(Action::Load, weights, Some(self.newest_of(weights))))
    }

    fn loading(&self) -> usize {
        self.copies
            .values()
            .filter(|copy| matches!(copy.state, State::Loading { .. }))
            .count()
    }

    /// Loads what most requests wait for that can still meet their objective, what waited
    /// longest first among equals; then what comes late in any case.
    fn load_wanted(&mut self, now: Time) -> Option<Order> {
        if self.loading() >= MAX_LOADING {
            return None;
        }
        let may_fetch = self.fetching() < MAX_FETCHING;
        let wanted = self
            .wants
            .iter()
            .filter(|(weights, _)| !weights.adapter.is_empty())
            .filter(|(weights, _)| self.bases.contains(&weights.base))
            .filter(|(weights, _)| !self.copies.contains_key(weights))
            .filter(|(weights, _)| may_fetch || self.kept.contains_key(weights))
            .min_by_key(|(_, want)| {
                let is_late = want.due < now;
                (is_late, std::cmp::Reverse(want.waiting), want.since)
            })
            .map(|(weights, _)| weights.clone())?;
        if self.copies.len() < self.slots {
            let newest = self.newest.get(&wanted).copied();
            return Some(self.order(Action::Load, &wanted, newest));
        }
        let victim = self.victim(now)?;
        Some(self.order(Action::Unload, &victim, None))
    }

    /// Returns the adapters that are on their way from the weight store.
    fn fetching(&self) -> usize {
        self.copies
            .iter()
            .filter(|(weights, copy)| {
                matches!(copy.state, State::Loading { .. }) && !self.kept.contains_key(weights)
            })
            .count()
    }

    /// Returns the least popular adapter that no request uses.
    fn victim(&self, now: Time) -> Option<Weights> {
        self.copies
            .iter()
            .filter(|(_, copy)| copy.state == State::Resident && copy.users.is_empty())
            .filter(|(weights, _)| !self.wants.contains_key(weights))
            .min_by(|(_, a), (_, b)| {
                let a = a.popularity.at(now, POPULARITY_HALF_LIFE);
                let b = b.popularity.at(now, POPULARITY_HALF_LIFE);
                a.total_cmp(&b)
            })
            .map(|(weights, _)| weights.clone())
    }

    /// Repeats the order of a load that may be done: the engine accepts it again, without
    /// counting it, as long as the adapter is on its way, and then says that it holds.
    fn check(&self, now: Time) -> Step {
        let next = self
            .copies
            .iter()
            .filter_map(|(weights, copy)| match copy.state {
                State::Loading { check, .. } => Some((check, weights, copy.version)),
                _ => None,
            })
            .min();
        match next {
            Some((at, weights, version)) if now >= at => {
                let version = (version > 0).then_some(version);
                Step::Order(self.order(Action::Load, weights, version))
            }
            Some((at, _, _)) => Step::Sleep(Some(at)),
            None => Step::Sleep(None),
        }
    }

    /// Notes what became of an order.
    pub fn answered(&mut self, now: Time, order: &Order, answer: Answer) {
        let was_repeated = self.repeated.take().is_some();
        match answer {
            Answer::Accepted if self.is_loading(&order.weights) => {
                self.still_loading(now, &order.weights);
            }
            Answer::Accepted => self.accepted(now, order),
            Answer::Holds => self.holds(now, order),
            // An order that was lost earlier may have been carried out, and it need not be this
            // one: only the report tells what the engine holds.
            Answer::Conflict => self.report_at = Some(now + REPORT_LAG),
            // The repetition fails if the lost one is carried out first, and the other way round.
            Answer::Lost if was_repeated => self.report_at = Some(now + REPORT_LAG),
            Answer::Lost => self.repeated = Some(order.clone()),
        }
    }

    fn accepted(&mut self, now: Time, order: &Order) {
        self.orders = order.expected + 1;
        if order.weights.adapter.is_empty() {
            self.base_check = Some(now + REPORT_LAG);
            self.base_ordered = Some((order.weights.base.clone(), now));
            return;
        }
        match order.action {
            Action::Load => {
                self.note_turn(now, &order.weights);
                let state = State::Loading {
                    since: now,
                    check: now + FIRST_CHECK,
                };
                let version = order.version.unwrap_or_default();
                let copy = self
                    .copies
                    .entry(order.weights.clone())
                    .or_insert_with(|| Copy::new(version, state));
                if copy.version != version {
                    self.cache.forget(&order.weights);
                }
                copy.version = version;
                copy.state = state;
            }
            Action::Unload => {
                if let Some(copy) = self.copies.get_mut(&order.weights) {
                    copy.state = State::Unloading;
                }
                self.report_at = Some(now + REPORT_LAG);
            }
        }
    }

    fn note_turn(&mut self, now: Time, weights: &Weights) {
        if let Some(last) = self.last_turn {
            let took = now.saturating_sub(last);
            self.turn = self.turn.mul_f64(1.0 - NEWEST_SHARE) + took.mul_f64(NEWEST_SHARE);
        }
        let is_queued = self
            .wants
            .keys()
            .any(|other| other != weights && !self.copies.contains_key(other));
        self.last_turn = is_queued.then_some(now);
    }

    fn holds(&mut self, now: Time, order: &Order) {
        match order.action {
            Action::Load => {
                if let Some(copy) = self.copies.get_mut(&order.weights) {
                    if let State::Loading { since, .. } = copy.state
                        && !self.kept.contains_key(&order.weights)
                    {
                        let took = now.saturating_sub(since);
                        self.fetch_time = self.fetch_time.mul_f64(1.0 - NEWEST_SHARE)
                            + took.mul_f64(NEWEST_SHARE);
                    }
                    copy.state = State::Resident;
                }
                self.kept.remove(&order.weights);
            }
            Action::Unload => {
                self.orders = order.expected + 1;
                self.copies.remove(&order.weights);
                self.cache.forget(&order.weights);
                self.keep_beside(now, &order.weights);
            }
        }
    }

    fn keep_beside(&mut self, now: Time, weights: &Weights) {
        self.kept.insert(weights.clone(), now);
        if self.kept.len() > KEPT_BESIDE {
            let oldest = self.kept.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(weights, _)| weights.clone()) {
                self.kept.remove(&oldest);
            }
        }
    }

    fn is_loading(&self, weights: &Weights) -> bool {
        let copy = self.copies.get(weights);
        copy.is_some_and(|copy| matches!(copy.state, State::Loading { .. }))
    }

    fn still_loading(&mut self, now: Time, weights: &Weights) {
        if let Some(copy) = self.copies.get_mut(weights)
            && let State::Loading { since, check } = &mut copy.state
        {
            *check = if now < *since + SECOND_CHECK {
                *since + SECOND_CHECK
            } else {
                now + LATER_CHECK
            };
        }
    }
}

/// Returns the time to read a prompt of which `kept` tokens at the front are kept.
fn cost(tokens: u64, kept: u64) -> Duration {
    let unread = tokens.saturating_sub(kept) as f64;
    let pairs = unread * (kept as f64 + unread / 2.0) / 1e6;
    let ms = FIRST_TOKEN_MS + unread / PREFILL_TOKENS_PER_MS + pairs * MS_PER_MILLION_PAIRS;
    Duration::from_secs_f64(ms / 1000.0)
}
