//! The adapters on one engine, and the orders that its owner sends to it.
//!
//! The owner sends one order at a time. Each order carries the number of orders that the
//! engine must have accepted before, so that an order which arrives late is rejected instead
//! of loading more adapters than the engine has slots.
//!
//! This holds only if the owner's record lists every adapter that may occupy a slot at that number
//! of orders. Between two orders an engine's slots only become free, so that the record may be
//! derived in two ways: from one report, which gives the number and the adapters together, or from
//! an order that the engine has counted. A report of unknown age frees the slot of an adapter only
//! if it counts the order that loaded the adapter.

mod estimate;
mod fairness;
mod order;
mod pause;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;
use crate::decay::Counter;
use crate::gateway::endpoint::{Base, Weights};
use crate::gateway::pace::{Figures, Pace, Slowness};
use crate::gateway::prefix::{Cache, Part};
use crate::gateway::table::EngineClass;
use crate::id::{Grant, Team, Version};

use fairness::Fairness;
pub use pause::Forecast;
use pause::{Output, Stream};

/// The assumed duration of a fetch from the weight store until one has been observed.
const INITIAL_FETCH_TIME: Duration = Duration::from_millis(250);
/// The assumed time until a full engine has a free slot, until it has been observed.
const INITIAL_SLOT_WAIT: Duration = Duration::from_millis(400);
/// How far an engine's report may lag behind its state.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// The half-life of an adapter's use count.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(8);
/// The half-life of the sum of prefill work.
const PREFILL_WORK_HALF_LIFE: Duration = Duration::from_secs(3);
/// The share of the expected output that a response certainly has: a request is only refused if it misses its deadline
/// clearly.
const CERTAIN_SHARE: f64 = 0.5;
/// The slowness above which the pauses of a stream tell nothing of an engine's usual pace.
const MAX_USUAL_SLOWNESS: f64 = 1.3;
/// The backlog above which an engine counts as busy.
const BUSY_BACKLOG: Duration = Duration::from_millis(300);
/// How long an engine may be busy before it only takes prompts that it can begin in time: a burst ends within this time,
/// but if more arrives than the engine can serve, all would be late.
const BURST_TIME: Duration = Duration::from_secs(2);
/// How long an unload may wait for running requests before the owner takes the engine's report for the
/// adapter's state again.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a grant counts as in use if its release never arrives.
const GRANT_TIMEOUT: Duration = Duration::from_secs(20);

/// The action of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads a base model or an adapter, or replaces it by a newer version.
    Load,
    /// Unloads a base model or an adapter.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The action.
    pub action: Action,
    /// The base model or adapter.
    pub weights: Weights,
    /// The version to load; `None` for the newest.
    pub version: Option<Version>,
    /// The number of orders that the engine must have accepted before this one.
    pub expected: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order is being carried out.
    Accepted,
    /// The engine is already in the requested state.
    AlreadyApplied,
    /// Another order is in progress, or the number of accepted orders differs from the expected
    /// one.
    Conflict,
    /// No answer arrived; the order may still be carried out.
    NoResponse,
}

/// An engine's report of its state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The loaded base models with their adapters, by name.
    pub bases: BTreeMap<String, Base>,
    /// The adapters that are being loaded.
    pub loading: BTreeMap<Weights, Version>,
    /// The number of accepted orders.
    pub orders: u64,
    /// Whether an order for a base model is being carried out.
    pub is_loading_base: bool,
}

impl Report {
    /// Returns whether an adapter occupies a slot.
    fn lists(&self, weights: &Weights) -> bool {
        let base = self.bases.get(&weights.base);
        base.is_some_and(|base| base.adapters.contains_key(&weights.adapter))
            || self.loading.contains_key(weights)
    }
}

/// The owner's next step for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends an order.
    Order(Order),
    /// Reads the report.
    Report,
    /// Waits until this time or until the state changes; `None` to wait for a change only.
    Sleep(Option<Time>),
}

/// A request for a grant.
#[derive(Clone, Debug)]
pub struct Request {
    /// The base model or adapter that the request names.
    pub weights: Weights,
    /// The number of prompt tokens.
    pub tokens: u32,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The longest acceptable delay; `None` if every delay is. While the engine is overloaded, it is `due_in` at most.
    pub max_delay: Option<Duration>,
    /// Whether to grant only if the adapter is resident already.
    pub only_resident: bool,
    /// The time left to send the prompt so that the request can still meet its objective; zero if that has passed.
    pub due_in: Duration,
    /// The longest pause between two events that meets the objective; `None` if any does.
    pub max_pause: Option<Duration>,
    /// The maximum number of output tokens; 0 if it is not known.
    pub output_tokens: u32,
    /// The time left until the response must be complete; `None` if it is not known, or if the stream has begun.
    pub end_in: Option<Duration>,
    /// Whether no other engine will be asked, so that the pauses that it causes no longer matter.
    pub is_last: bool,
    /// The team of its caller; empty if there is none.
    pub team: Team,
    /// What the team may use compared with the mean of all teams ([`Teams::share`](crate::gateway::team::Teams::share)).
    pub team_share: f64,
}

/// The answer to a request for a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Granted(Grant),
    /// The adapter is not ready; the request should be repeated when the state changes.
    Wait,
    /// Another engine should be tried first; carries the estimated delay at this one.
    Busy(Duration),
    /// As [`Decision::Busy`], for a request that a team within its share would have been granted, or could wait with.
    Deferred(Duration),
}

/// The state of an adapter on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Being loaded; the owner checks it next at `next_check`.
    Loading {
        since: Time,
        next_check: Time,
    },
    Resident,
    /// The engine has accepted the unload, which waits for running requests.
    Unloading {
        since: Time,
    },
}

/// Why a report is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// To take over the whole state of the engine.
    State,
    /// To find the finished unloads only: the report lags, and the owner's record of everything
    /// else is more recent.
    Unloads,
}

/// An adapter that occupies a slot.
#[derive(Clone, Debug)]
struct Adapter {
    version: Version,
    state: State,
    /// The number of orders that the engine had accepted, at most, when the adapter was last loaded.
    /// A report that counts fewer may not list it yet.
    loaded_by: u64,
    /// Whether the engine may have accepted an unload of the adapter that this record does not show.
    may_be_unloading: bool,
    /// The open grants, with the time at which each expires.
    users: BTreeMap<Grant, Time>,
    popularity: Counter,
}

impl Adapter {
    fn new(version: Version, state: State, loaded_by: u64) -> Self {
        Self {
            version,
            state,
            loaded_by,
            may_be_unloading: false,
            users: BTreeMap::new(),
            popularity: Counter::default(),
        }
    }

    /// Returns whether an unload that the engine has accepted may still wait for running requests.
    fn is_unloading(&self, now: Time) -> bool {
        matches!(self.state, State::Unloading { since } if now < since + UNLOAD_TIMEOUT)
    }
}

/// The requests that wait for an adapter.
#[derive(Clone, Debug)]
struct Demand {
    since: Time,
    waiting: usize,
    /// The number of those that have a team, for each team.
    teams: BTreeMap<Team, usize>,
    /// The latest time at which a waiting request can still meet its objective.
    due: Time,
}

/// A granted prompt whose prefill has not finished.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    sent: Time,
    /// The number of tokens that were not cached.
    tokens: u64,
    /// The expected duration of the prefill at the engine's usual speed.
    cost: Duration,
    /// Whether no other prefill was pending when it was sent.
    is_alone: bool,
}

/// An owner's view of one engine.
#[derive(Debug)]
pub struct Engine {
    slots: usize,
    /// The number of tokens that fit into the engine's memory; 0 if it is not known.
    memory_tokens: u64,
    bases: BTreeSet<String>,
    /// The base models that the engine can load, with the time that each load takes.
    loadable_bases: BTreeMap<String, Duration>,
    /// The last ordered base model, with the time of the order.
    base_ordered: Option<(String, Time)>,
    adapters: BTreeMap<Weights, Adapter>,
    demands: BTreeMap<Weights, Demand>,
    newest: BTreeMap<Weights, Version>,
    /// The base models and adapters that the engine turned out to lack; not granted until the
    /// next report.
    unconfirmed: BTreeSet<Weights>,
    /// The number of orders that the engine has accepted.
    orders: u64,
    /// Whether the engine has counted an order since the last report was applied, which may have been
    /// older than the latest orders of a previous owner, or than one without a response.
    is_count_confirmed: bool,
    /// When to read the report; no order is sent before.
    report_at: Option<Time>,
    /// When to read the report for unloads that wait for running requests.
    unload_check_at: Option<Time>,
    /// Why the current report is read.
    report_purpose: Purpose,
    /// When to read the report to see whether the ordered base model is loaded.
    base_check_at: Option<Time>,
    /// The order to send again because no answer to it arrived.
    pending_retry: Option<Order>,
    /// The prompts whose prefill has not finished.
    pending_prefills: BTreeMap<Grant, Prefill>,
    /// Since when requests have found the engine busy; `None` if the last one did not.
    busy_since: Option<Time>,
    /// The prefill work sent to the engine, in seconds.
    prefill_work: Counter,
    /// The recent use of the engine by teams.
    fairness: Fairness,
    /// The output that responses had, by their durations, for each power of two of the output that callers accept.
    outputs: BTreeMap<u32, Output>,
    /// The usual pace of the engine, as observed.
    pace: Pace,
    /// How long work takes now, compared with that.
    slowness: Slowness,
    /// The granted requests with an objective for their pauses.
    streams: BTreeMap<Grant, Stream>,
    /// The pauses that were predicted for the last granted request.
    last_forecast: Forecast,
    /// The tokens of one event of a stream; 0 if that is not known.
    tokens_per_event: u32,
    prefix_cache: Cache,
    next_grant: Grant,
    /// The unloaded adapters that the engine probably still caches outside its slots, with the
    /// time of the unload.
    cached_adapters: BTreeMap<Weights, Time>,
    fetch_time: Duration,
    /// The moving average of the time between two loads while other adapters are in demand, each
    /// of which needs a slot to become free.
    slot_wait: Duration,
    /// The time of the last load, if other adapters were in demand then.
    last_queued_load: Option<Time>,
}

impl Engine {
    /// Creates the view of an engine whose report has not been read yet.
    pub fn new(now: Time, class: &EngineClass) -> Self {
        Self {
            slots: class.adapter_slots,
            memory_tokens: class.memory_tokens,
            bases: BTreeSet::new(),
            loadable_bases: class.bases.clone(),
            base_ordered: None,
            adapters: BTreeMap::new(),
            demands: BTreeMap::new(),
            newest: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            orders: 0,
            is_count_confirmed: false,
            report_at: Some(now),
            unload_check_at: None,
            report_purpose: Purpose::State,
            base_check_at: None,
            pending_retry: None,
            pending_prefills: BTreeMap::new(),
            busy_since: None,
            prefill_work: Counter::default(),
            fairness: Fairness::default(),
            outputs: BTreeMap::new(),
            pace: Pace::new(now, None),
            slowness: Slowness::default(),
            streams: BTreeMap::new(),
            last_forecast: Forecast::default(),
            tokens_per_event: class.tokens_per_event,
            prefix_cache: Cache::new(class.memory_tokens),
            next_grant: 1,
            cached_adapters: BTreeMap::new(),
            fetch_time: INITIAL_FETCH_TIME,
            slot_wait: INITIAL_SLOT_WAIT,
            last_queued_load: None,
        }
    }

    /// Sets the pace that is assumed until the engine's own has been observed, from the service's other engines.
    pub fn with_pace(mut self, now: Time, prior: Option<Figures>) -> Self {
        self.pace = Pace::new(now, prior);
        self
    }

    /// Returns the usual pace of the engine.
    pub fn pace(&self, now: Time) -> Figures {
        self.pace.figures(now)
    }

    /// Returns the usual pace of the engine if it has been observed, as a prior for others.
    pub fn observed_pace(&self, now: Time) -> Option<Figures> {
        self.pace.observed(now)
    }

    /// Returns the pauses that were predicted for the last granted request.
    pub fn last_forecast(&self) -> Forecast {
        self.last_forecast
    }

    /// Returns the number of granted requests with an objective for their pauses.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Records the newest version of an adapter.
    pub fn announce(&mut self, weights: &Weights, version: Version) {
        let newest = self.newest.entry(weights.clone()).or_default();
        *newest = (*newest).max(version);
    }

    /// Returns the number of used slots, including those of adapters that are being loaded.
    pub fn used_slots(&self) -> usize {
        self.adapters.len()
    }

    /// Returns whether the engine holds an adapter in its newest version.
    pub fn is_ready(&self, weights: &Weights) -> bool {
        if self.report_at.is_some() && self.adapters.is_empty() && self.bases.is_empty() {
            return false;
        }
        if !self.bases.contains(&weights.base) || self.unconfirmed.contains(weights) {
            return false;
        }
        weights.adapter.is_empty()
            || self.adapters.get(weights).is_some_and(|adapter| {
                adapter.state == State::Resident && adapter.version >= self.newest_of(weights)
            })
    }

    /// Returns the number of orders that the engine has accepted, as far as the owner knows.
    pub fn orders(&self) -> u64 {
        self.orders
    }

    fn newest_of(&self, weights: &Weights) -> Version {
        self.newest.get(weights).copied().unwrap_or_default()
    }

    /// Answers a request for a grant.
    ///
    /// A prompt that does not fit into the engine's memory is never granted: its estimated prefill
    /// would make the engine look busy to all other requests.
    pub fn request(&mut self, now: Time, request: &Request) -> Decision {
        if self.memory_tokens > 0 && u64::from(request.tokens) > self.memory_tokens {
            return Decision::Busy(self.pace(now).prefill_time(u64::from(request.tokens)));
        }
        let tokens = self.uncached_tokens(request);
        let prefill = self.pace(now).prefill_time(tokens);
        if !request.team.is_empty() {
            self.fairness
                .record_request(now, &request.team, request.team_share);
        }
        let deferral = self.deferral(now, request);
        let delay = self.delay_for(now, &request.weights, &request.team)
            + self.prefill_excess(now, prefill);
        let max_delay = match request.max_delay {
            Some(max) if self.is_overloaded(now) && !request.due_in.is_zero() => {
                Some(max.min(request.due_in))
            }
            max => max,
        };
        // Engines of an even pace are shared best by the adapters that they hold: on those with few slots, requests that
        // pauses send elsewhere cost more in fetches than they gain.
        let is_uneven = self.slowness.is_reported();
        if let Some(end_in) = request.end_in.filter(|_| is_uneven)
            && !self.can_end(now, request, delay + prefill, CERTAIN_SHARE)
        {
            return Decision::Busy(delay.max(end_in) + self.load_penalty(now));
        }
        let forecast = self.forecast_prefill(now, request, prefill);
        let harm = match (is_uneven, request.is_last) {
            (false, _) => Duration::ZERO,
            (true, true) => self.stream_penalty(request),
            (true, false) => forecast.delay() + self.stream_penalty(request),
        };
        // Among engines with its adapter, one that can write all of the output is preferred.
        let is_busy = max_delay.is_some_and(|max| delay + harm > max)
            || (is_uneven
                && request.only_resident
                && !self.can_end(now, request, delay + prefill, 1.0));
        let is_ready = self.is_ready(&request.weights);
        let is_deferred = fairness::is_deferred(request, max_delay, delay + harm, deferral);
        if is_busy || is_deferred || (request.only_resident && !is_ready) {
            let fetch = if is_uneven {
                self.fetch_penalty(request)
            } else {
                Duration::ZERO
            };
            let total = delay + harm + fetch + self.load_penalty(now);
            // Engines are compared by the delay with the deferral. After the last question, only the delay counts.
            let total = if request.is_last {
                total
            } else {
                total + deferral
            };
            if is_busy || !is_deferred {
                return Decision::Busy(total);
            }
            return Decision::Deferred(total);
        }
        if is_ready {
            return Decision::Granted(self.grant(now, request, tokens, forecast));
        }
        Decision::Wait
    }

    /// Returns whether the engine has been busy for longer than a burst takes.
    fn is_overloaded(&mut self, now: Time) -> bool {
        if self.backlog(now) <= BUSY_BACKLOG {
            self.busy_since = None;
            return false;
        }
        let since = *self.busy_since.get_or_insert(now);
        now.saturating_sub(since) > BURST_TIME
    }

    /// Adds a request that waits for an adapter; [`Engine::remove_waiter`] removes it.
    pub fn add_waiter(&mut self, now: Time, request: &Request) {
        let demand = self
            .demands
            .entry(request.weights.clone())
            .or_insert(Demand {
                since: now,
                waiting: 0,
                teams: BTreeMap::new(),
                due: now,
            });
        demand.waiting += 1;
        if !request.team.is_empty() {
            *demand.teams.entry(request.team.clone()).or_default() += 1;
        }
        demand.due = demand.due.max(now + request.due_in);
    }

    /// Removes a request that waited for an adapter.
    pub fn remove_waiter(&mut self, request: &Request) {
        let Some(demand) = self.demands.get_mut(&request.weights) else {
            return;
        };
        demand.waiting -= 1;
        if demand.waiting == 0 {
            self.demands.remove(&request.weights);
        } else if let Some(waiting) = demand.teams.get_mut(&request.team) {
            *waiting -= 1;
            if *waiting == 0 {
                demand.teams.remove(&request.team);
            }
        }
    }

    fn grant(&mut self, now: Time, request: &Request, tokens: u64, forecast: Forecast) -> Grant {
        let grant = self.next_grant;
        self.next_grant += 1;
        self.prefix_cache.record(&request.weights, &request.parts);
        let prefill = Prefill {
            sent: now,
            tokens,
            cost: self.pace(now).prefill_time(tokens),
            is_alone: self.pending_prefills.is_empty(),
        };
        self.pending_prefills.insert(grant, prefill);
        self.record_pauses(now, grant, request, forecast);
        let work = prefill.cost.as_secs_f64();
        self.prefill_work.add(now, PREFILL_WORK_HALF_LIFE, work);
        if !request.team.is_empty() {
            self.fairness.record_work(now, &request.team, prefill.cost);
        }
        let popularity = self.popularity_weight(request);
        if let Some(adapter) = self.adapters.get_mut(&request.weights) {
            adapter.users.insert(grant, now + GRANT_TIMEOUT);
            adapter
                .popularity
                .add(now, POPULARITY_HALF_LIFE, popularity);
        }
        grant
    }

    /// Records how long work takes at the engine now, in percent of the usual time; 0 says nothing.
    pub fn record_slowdown(&mut self, now: Time, percent: u32) {
        self.slowness.record(now, percent);
    }

    /// Returns how long work takes at the engine now, compared with its usual time.
    pub fn slowness(&self, now: Time) -> f64 {
        self.slowness.factor(now)
    }

    /// Records that the response to a granted request has started: its prefill is finished.
    pub fn response_started(&mut self, now: Time, grant: Grant) {
        let Some(prefill) = self.pending_prefills.remove(&grant) else {
            return;
        };
        if let Some(stream) = self.streams.get_mut(&grant) {
            stream.started = Some(now);
        }
        if prefill.is_alone {
            let took = now.saturating_sub(prefill.sent);
            let slowness = self.slowness(now);
            self.pace
                .record_prefill(now, prefill.tokens, took, slowness);
        }
    }

    /// Records the end of the stream of a granted request, and the longest pause between two of its events; zero if that is
    /// not known. Of a request whose response has not started, nothing is learned.
    pub fn record_end(&mut self, now: Time, grant: Grant, longest: Duration) {
        let Some(stream) = self.streams.get(&grant).copied() else {
            return;
        };
        if stream.started.is_none() {
            return;
        }
        let slowness = self.slowness(now);
        if let Some(tokens) = stream.written_tokens(now, self.pace(now).step_time()) {
            let output = self.outputs.entry(stream.output_class()).or_default();
            if stream.is_cut_off(now) {
                output.record_at_least(now, tokens);
            } else {
                output.record(now, tokens);
            }
        }
        let is_usual = slowness < MAX_USUAL_SLOWNESS && self.tokens_per_event > 0;
        if is_usual && stream.is_alone && !longest.is_zero() {
            self.pace
                .record_pause(now, self.tokens_per_event, longest, slowness);
        }
    }

    /// Records the end of a granted request.
    pub fn release(&mut self, weights: &Weights, grant: Grant) {
        self.pending_prefills.remove(&grant);
        self.streams.remove(&grant);
        if let Some(adapter) = self.adapters.get_mut(weights) {
            adapter.users.remove(&grant);
        }
    }

    /// Records that the engine rejected a request because it lacks a base model or an adapter.
    ///
    /// It is not granted again before the next report.
    pub fn mark_missing(&mut self, now: Time, weights: &Weights) {
        self.unconfirmed.insert(weights.clone());
        self.report_at.get_or_insert(now + REPORT_LAG);
    }

    /// Applies the report that [`Step::Report`] requested.
    ///
    /// Replaces the whole view of the engine, unless the report was read for finished unloads
    /// only and counts no more orders than known. Open grants are kept for adapters that the report
    /// still lists.
    pub fn reconcile(&mut self, now: Time, report: &Report) {
        if self.report_purpose == Purpose::Unloads && report.orders <= self.orders {
            self.remove_unloaded(now, report);
            return;
        }
        let mut adapters = BTreeMap::new();
        for (name, base) in &report.bases {
            for (adapter, version) in &base.adapters {
                let weights = Weights::new(name, adapter);
                adapters.insert(weights, (*version, State::Resident));
            }
        }
        let loading = State::Loading {
            since: now,
            next_check: now,
        };
        for (weights, version) in &report.loading {
            adapters.insert(weights.clone(), (*version, loading));
        }
        // Reports do not tell which adapters are being unloaded, and orders that this record does
        // not count may be unloads.
        let has_unknown_orders = report.orders > self.orders;
        let has_orders = report.orders > 0;
        let mut old = std::mem::take(&mut self.adapters);
        for (weights, (version, state)) in adapters {
            let known = old.remove(&weights);
            let may_be_unloading = has_unknown_orders
                || known.as_ref().is_none_or(|known| {
                    known.may_be_unloading || matches!(known.state, State::Unloading { .. })
                });
            let mut adapter = known.unwrap_or_else(|| Adapter::new(version, state, report.orders));
            adapter.version = version;
            adapter.may_be_unloading = may_be_unloading && has_orders && state == State::Resident;
            adapter.loaded_by = report.orders;
            if state != State::Resident || !adapter.is_unloading(now) {
                adapter.state = state;
            }
            self.adapters.insert(weights, adapter);
        }
        for weights in old.keys() {
            self.prefix_cache.invalidate(weights);
        }
        self.bases = report.bases.keys().cloned().collect();
        self.orders = report.orders;
        self.is_count_confirmed = false;
        self.unconfirmed.clear();
        self.base_check_at = None;
        let is_unloading = |adapter: &Adapter| adapter.is_unloading(now);
        self.unload_check_at = self
            .adapters
            .values()
            .any(is_unloading)
            .then_some(now + REPORT_LAG);
        self.pending_retry = None;
        self.report_at = report.is_loading_base.then_some(now + REPORT_LAG);
    }

    /// Removes the adapters whose unload has finished: those that the report does not list although
    /// it counts the orders that loaded them.
    fn remove_unloaded(&mut self, now: Time, report: &Report) {
        let unloading = self
            .adapters
            .iter()
            .filter(|(_, adapter)| matches!(adapter.state, State::Unloading { .. }));
        let done: Vec<Weights> = unloading
            .clone()
            .filter(|(weights, adapter)| {
                report.orders >= adapter.loaded_by && !report.lists(weights)
            })
            .map(|(weights, _)| weights.clone())
            .collect();
        let waiting = unloading.count() - done.len();
        for weights in done {
            self.remove_adapter(now, &weights);
        }
        self.unload_check_at = (waiting > 0).then_some(now + REPORT_LAG);
        let mut unloading = self.adapters.values();
        let is_overdue = |adapter: &Adapter| {
            matches!(adapter.state, State::Unloading { .. }) && !adapter.is_unloading(now)
        };
        if unloading.any(is_overdue) {
            self.report_at = Some(now + REPORT_LAG);
        }
    }
}
