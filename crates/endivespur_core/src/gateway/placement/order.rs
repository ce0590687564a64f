//! Chooses the next order for an engine and applies its answer.

use std::time::Duration;

use super::{
    Action, Adapter, Answer, Engine, GRANT_TIMEOUT, Order, POPULARITY_HALF_LIFE, Purpose,
    REPORT_LAG, State, Step,
};
use crate::clock::{self, Time};
use crate::gateway::endpoint::Weights;
use crate::id::Version;

/// The maximum number of adapters that an engine loads concurrently; a limit of the engines.
const MAX_LOADING: usize = 4;
/// The maximum number of concurrent fetches from the weight store by one engine. All engines
/// share the store's bandwidth, so that concurrent fetches only take longer each.
const MAX_FETCHING: usize = 1;
/// The maximum number of unloads that may wait for running requests at the same time. Two, since a
/// new owner does not know which adapters serve requests that the previous owner granted: if the
/// first candidate is in use, the second may be idle.
const MAX_UNLOADING: usize = 2;
/// The maximum number of adapters assumed to be cached by an engine outside its slots, from where
/// they load in a tenth of the time; engines cache 48 or more.
const MAX_CACHED_ADAPTERS: usize = 40;
/// The delay of the first check of a load: an adapter that the engine caches loads in a tenth of
/// the time of a fetch.
const FIRST_CHECK: Duration = Duration::from_millis(28);
/// The delay of the second check of a load: a fetch from the weight store takes a quarter of a
/// second.
const SECOND_CHECK: Duration = Duration::from_millis(255);
/// The interval of later checks.
const LATER_CHECK: Duration = Duration::from_millis(40);
/// The weight of the newest sample in the moving averages of fetch times and slot waits.
const EWMA_WEIGHT: f64 = 0.3;

impl Engine {
    /// Returns the owner's next step.
    pub fn step(&mut self, now: Time) -> Step {
        self.expire_grants(now);
        self.report_purpose = Purpose::State;
        if let Some(at) = self.report_at {
            return if now >= at {
                Step::Report
            } else {
                Step::Sleep(Some(at))
            };
        }
        if let Some(order) = self.pending_retry.clone() {
            return Step::Order(order);
        }
        if let Some(at) = self.base_check_at {
            return if now >= at {
                Step::Report
            } else {
                Step::Sleep(Some(at))
            };
        }
        if let Some(order) = self.load_base().or_else(|| self.update_outdated()) {
            return Step::Order(order);
        }
        if let Some(order) = self.load_demanded(now) {
            return Step::Order(order);
        }
        match (self.check_loads(now), self.unload_check_at) {
            (Step::Sleep(_), Some(at)) if now >= at => {
                self.report_purpose = Purpose::Unloads;
                Step::Report
            }
            (Step::Sleep(next), Some(at)) => {
                Step::Sleep(Some(next.map_or(at, |next| next.min(at))))
            }
            (step, _) => step,
        }
    }

    /// Drops the grants and pending prefills that were never released.
    pub(super) fn expire_grants(&mut self, now: Time) {
        for adapter in self.adapters.values_mut() {
            adapter.users.retain(|_, until| now < *until);
        }
        self.streams.retain(|_, stream| now < stream.until);
        self.pending_prefills
            .retain(|_, prefill| now < prefill.sent + GRANT_TIMEOUT);
    }

    pub(super) fn order(
        &self,
        action: Action,
        weights: &Weights,
        version: Option<Version>,
    ) -> Order {
        Order {
            action,
            weights: weights.clone(),
            version,
            expected: self.orders,
        }
    }

    /// Returns the order to load a base model if the engine holds none: one in demand, or else the
    /// first that the engine can load.
    pub(super) fn load_base(&self) -> Option<Order> {
        if !self.bases.is_empty() {
            return None;
        }
        let demanded = self.demands.keys().map(|weights| &weights.base);
        let base = demanded
            .chain(self.loadable_bases.keys())
            .find(|base| self.loadable_bases.contains_key(*base))?;
        Some(self.order(Action::Load, &Weights::new(base, ""), None))
    }

    /// Returns the order to replace an outdated adapter by its newest version, the adapter with the
    /// most users first.
    pub(super) fn update_outdated(&self) -> Option<Order> {
        let loading = self.loading_count();
        self.adapters
            .iter()
            .filter(|(_, adapter)| adapter.state == State::Resident)
            .filter(|(weights, adapter)| adapter.version < self.newest_of(weights))
            .min_by_key(|(_, adapter)| std::cmp::Reverse(adapter.users.len()))
            .filter(|_| loading < MAX_LOADING)
            .map(|(weights, _)| self.order(Action::Load, weights, Some(self.newest_of(weights))))
    }

    pub(super) fn loading_count(&self) -> usize {
        self.adapters
            .values()
            .filter(|adapter| matches!(adapter.state, State::Loading { .. }))
            .count()
    }

    /// Returns the order to load the adapter in the highest demand, or to unload another adapter if
    /// no slot is free.
    ///
    /// Adapters whose requests can still meet their objective come before late ones, then those
    /// with the most waiting requests of teams within their share, then those with the most requests,
    /// then those that have been in demand for longest.
    pub(super) fn load_demanded(&mut self, now: Time) -> Option<Order> {
        if self.loading_count() >= MAX_LOADING {
            return None;
        }
        let may_fetch = self.fetching_count() < MAX_FETCHING;
        let demanded = self
            .demands
            .iter()
            .filter(|(weights, _)| !weights.adapter.is_empty())
            .filter(|(weights, _)| self.bases.contains(&weights.base))
            .filter(|(weights, _)| !self.adapters.contains_key(weights))
            .filter(|(weights, _)| may_fetch || self.cached_adapters.contains_key(weights))
            .min_by_key(|(_, demand)| {
                let is_late = demand.due < now;
                let within_share = std::cmp::Reverse(self.waiting_within_share(demand));
                let waiting = std::cmp::Reverse(demand.waiting);
                (is_late, within_share, waiting, demand.since)
            })
            .map(|(weights, _)| weights.clone())?;
        if self.adapters.len() < self.slots {
            let newest = self.newest.get(&demanded).copied();
            return Some(self.order(Action::Load, &demanded, newest));
        }
        let unloading = self.adapters.values();
        let unloading =
            unloading.filter(|adapter| matches!(adapter.state, State::Unloading { .. }));
        if unloading.count() >= MAX_UNLOADING {
            return None;
        }
        let victim = self.eviction_candidate(now)?;
        Some(self.order(Action::Unload, &victim, None))
    }

    /// Returns the number of adapters that are being fetched from the weight store.
    pub(super) fn fetching_count(&self) -> usize {
        self.adapters
            .iter()
            .filter(|(weights, adapter)| {
                matches!(adapter.state, State::Loading { .. })
                    && !self.cached_adapters.contains_key(weights)
            })
            .count()
    }

    /// Returns the least popular adapter that no request uses or waits for.
    pub(super) fn eviction_candidate(&self, now: Time) -> Option<Weights> {
        self.adapters
            .iter()
            .filter(|(_, adapter)| adapter.state == State::Resident && adapter.users.is_empty())
            .filter(|(weights, _)| !self.demands.contains_key(weights))
            .min_by(|(_, a), (_, b)| {
                let a = a.popularity.at(now, POPULARITY_HALF_LIFE);
                let b = b.popularity.at(now, POPULARITY_HALF_LIFE);
                a.total_cmp(&b)
            })
            .map(|(weights, _)| weights.clone())
    }

    /// Returns the step that checks the next load: its order is sent again when the check is due.
    ///
    /// The engine accepts it again without counting it while the adapter is being loaded, and
    /// answers [`Answer::AlreadyApplied`] once the adapter is resident.
    pub(super) fn check_loads(&self, now: Time) -> Step {
        let next = self
            .adapters
            .iter()
            .filter_map(|(weights, adapter)| match adapter.state {
                State::Loading { next_check, .. } => Some((next_check, weights, adapter.version)),
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

    /// Records the engine's answer to an order.
    pub fn record_answer(&mut self, now: Time, order: &Order, answer: Answer) {
        let was_retry = self.pending_retry.take().is_some();
        match answer {
            Answer::Accepted if self.is_loading(&order.weights) => {
                self.schedule_next_check(now, &order.weights);
            }
            Answer::Accepted | Answer::AlreadyApplied if self.may_be_uncounted(order) => {
                self.record_uncounted(now, order, answer);
            }
            Answer::Accepted => self.record_accepted(now, order),
            Answer::AlreadyApplied => self.record_already_applied(now, order),
            // An earlier order without a response may have been carried out instead of this one:
            // only the report shows what the engine holds.
            Answer::Conflict => self.report_at = Some(now + REPORT_LAG),
            // An order without a response is repeated with the same expected number of orders, so
            // that at most one of the two is carried out.
            Answer::NoResponse if was_retry => self.report_at = Some(now + REPORT_LAG),
            Answer::NoResponse => self.pending_retry = Some(order.clone()),
        }
    }

    /// Returns whether the engine may have answered an unload without counting it, since it had
    /// accepted another unload of the adapter before, while its count is not known for certain.
    ///
    /// If the owner took the answer as counted, its count could equal the engine's although the
    /// engine counted a load that the owner does not know of.
    fn may_be_uncounted(&self, order: &Order) -> bool {
        let adapter = self.adapters.get(&order.weights);
        order.action == Action::Unload
            && !self.is_count_confirmed
            && adapter.is_some_and(|adapter| adapter.may_be_unloading)
    }

    /// Records the answer to an unload that may not have been counted: the next report gives the
    /// count.
    fn record_uncounted(&mut self, now: Time, order: &Order, answer: Answer) {
        if answer == Answer::AlreadyApplied {
            self.remove_adapter(now, &order.weights);
        } else {
            self.record_unloading(now, &order.weights);
        }
        self.report_at = Some(now + REPORT_LAG);
    }

    /// Records that the engine has accepted the unload of an adapter, which waits for its requests.
    fn record_unloading(&mut self, now: Time, weights: &Weights) {
        if let Some(adapter) = self.adapters.get_mut(weights) {
            adapter.state = State::Unloading { since: now };
        }
        self.unload_check_at.get_or_insert(now + REPORT_LAG);
    }

    pub(super) fn record_accepted(&mut self, now: Time, order: &Order) {
        self.orders = order.expected.saturating_add(1);
        self.is_count_confirmed = true;
        if order.weights.adapter.is_empty() {
            self.base_check_at = Some(now + REPORT_LAG);
            self.base_ordered = Some((order.weights.base.clone(), now));
            return;
        }
        match order.action {
            Action::Load => {
                self.update_slot_wait(now, &order.weights);
                let state = State::Loading {
                    since: now,
                    next_check: now + FIRST_CHECK,
                };
                let version = order.version.unwrap_or_default();
                let adapter = self
                    .adapters
                    .entry(order.weights.clone())
                    .or_insert_with(|| Adapter::new(version, state, self.orders));
                if adapter.version != version {
                    self.prefix_cache.invalidate(&order.weights);
                }
                adapter.version = version;
                adapter.state = state;
                adapter.loaded_by = self.orders;
                adapter.may_be_unloading = false;
            }
            Action::Unload => {
                self.record_unloading(now, &order.weights);
            }
        }
    }

    pub(super) fn update_slot_wait(&mut self, now: Time, weights: &Weights) {
        if let Some(last) = self.last_queued_load {
            let elapsed = now.saturating_sub(last);
            self.slot_wait = clock::scale(self.slot_wait, 1.0 - EWMA_WEIGHT)
                + clock::scale(elapsed, EWMA_WEIGHT);
        }
        let is_queued = self
            .demands
            .keys()
            .any(|other| other != weights && !self.adapters.contains_key(other));
        self.last_queued_load = is_queued.then_some(now);
    }

    pub(super) fn record_already_applied(&mut self, now: Time, order: &Order) {
        match order.action {
            Action::Load => {
                if let Some(adapter) = self.adapters.get_mut(&order.weights) {
                    if let State::Loading { since, .. } = adapter.state
                        && !self.cached_adapters.contains_key(&order.weights)
                    {
                        let elapsed = now.saturating_sub(since);
                        self.fetch_time = clock::scale(self.fetch_time, 1.0 - EWMA_WEIGHT)
                            + clock::scale(elapsed, EWMA_WEIGHT);
                    }
                    adapter.state = State::Resident;
                    // An adapter that was loaded without a version may be newer than recorded.
                    adapter.version = adapter.version.max(order.version.unwrap_or_default());
                } else {
                    // The engine holds it by an order that this record does not count.
                    self.report_at = Some(now + REPORT_LAG);
                }
                self.cached_adapters.remove(&order.weights);
            }
            Action::Unload => {
                self.orders = order.expected.saturating_add(1);
                self.is_count_confirmed = true;
                self.remove_adapter(now, &order.weights);
            }
        }
    }

    /// Removes an unloaded adapter, which the engine is assumed to cache.
    pub(super) fn remove_adapter(&mut self, now: Time, weights: &Weights) {
        self.adapters.remove(weights);
        self.prefix_cache.invalidate(weights);
        self.record_cached(now, weights);
    }

    pub(super) fn record_cached(&mut self, now: Time, weights: &Weights) {
        self.cached_adapters.insert(weights.clone(), now);
        if self.cached_adapters.len() > MAX_CACHED_ADAPTERS {
            let oldest = self.cached_adapters.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(weights, _)| weights.clone()) {
                self.cached_adapters.remove(&oldest);
            }
        }
    }

    pub(super) fn is_loading(&self, weights: &Weights) -> bool {
        let adapter = self.adapters.get(weights);
        adapter.is_some_and(|adapter| matches!(adapter.state, State::Loading { .. }))
    }

    pub(super) fn schedule_next_check(&mut self, now: Time, weights: &Weights) {
        if let Some(adapter) = self.adapters.get_mut(weights)
            && let State::Loading { since, next_check } = &mut adapter.state
        {
            *next_check = if now < *since + SECOND_CHECK {
                *since + SECOND_CHECK
            } else {
                now + LATER_CHECK
            };
        }
    }
}
