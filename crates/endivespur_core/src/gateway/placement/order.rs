//! Which order an engine gets next, and what its answer says.

use std::time::Duration;

use super::{
    Action, Answer, Copy, Engine, GRANT_BOUND, Order, POPULARITY_HALF_LIFE, REPORT_LAG, Reading,
    State, Step,
};
use crate::clock::Time;
use crate::gateway::endpoint::Weights;
use crate::id::Version;

/// The adapters that may be on their way to one engine at the same time, by its own bound.
const MAX_LOADING: usize = 4;
/// The adapters that an owner fetches from the weight store at the same time. The store's
/// bandwidth is shared by all engines, so that more at once only take longer each.
const MAX_FETCHING: usize = 1;
/// The unloads that may wait for running requests at the same time. An owner does not know
/// the requests that began under the one before it; another adapter may be free.
const MAX_UNLOADING: usize = 2;
/// The adapters that an engine is counted on to keep beside its slots, from where they load
/// in a tenth of the time; engines keep 48 or more.
const KEPT_BESIDE: usize = 40;
/// When a load is looked at for the first time: an adapter that the engine held before
/// takes a tenth of a fetch.
const FIRST_CHECK: Duration = Duration::from_millis(28);
/// When a load that was not done at the first look is looked at again: a fetch from the
/// weight store takes a quarter of a second.
const SECOND_CHECK: Duration = Duration::from_millis(255);
/// The time between later looks.
const LATER_CHECK: Duration = Duration::from_millis(40);
/// The weight of the newest fetch in the moving average of fetch times.
const NEWEST_SHARE: f64 = 0.3;

impl Engine {
    /// Returns what the owner does next.
    pub fn step(&mut self, now: Time) -> Step {
        self.expire(now);
        self.reading = Reading::State;
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
        match (self.check(now), self.unload_check) {
            (Step::Sleep(_), Some(at)) if now >= at => {
                self.reading = Reading::Unloads;
                Step::Report
            }
            (Step::Sleep(next), Some(at)) => {
                Step::Sleep(Some(next.map_or(at, |next| next.min(at))))
            }
            (step, _) => step,
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        for copy in self.copies.values_mut() {
            copy.users.retain(|_, until| now < *until);
        }
        self.unread
            .retain(|_, prompt| now < prompt.sent + GRANT_BOUND);
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

    /// An engine that holds no base model loads one that is asked for, or the first.
    pub(super) fn load_base(&self) -> Option<Order> {
        if !self.bases.is_empty() {
            return None;
        }
        let wanted = self.wants.keys().map(|weights| &weights.base);
        let base = wanted
            .chain(self.servable.keys())
            .find(|base| self.servable.contains_key(*base))?;
        Some(self.order(Action::Load, &Weights::new(base, ""), None))
    }

    pub(super) fn replace(&self) -> Option<Order> {
        let loading = self.loading();
        self.copies
            .iter()
            .filter(|(_, copy)| copy.state == State::Resident)
            .filter(|(weights, copy)| copy.version < self.newest_of(weights))
            .min_by_key(|(_, copy)| std::cmp::Reverse(copy.users.len()))
            .filter(|_| loading < MAX_LOADING)
            .map(|(weights, _)| self.order(Action::Load, weights, Some(self.newest_of(weights))))
    }

    pub(super) fn loading(&self) -> usize {
        self.copies
            .values()
            .filter(|copy| matches!(copy.state, State::Loading { .. }))
            .count()
    }

    /// Loads what most requests wait for that can still meet their objective, what waited
    /// longest first among equals; then what comes late in any case.
    pub(super) fn load_wanted(&mut self, now: Time) -> Option<Order> {
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
        let unloading = self.copies.values();
        let unloading = unloading.filter(|copy| copy.state == State::Unloading);
        if unloading.count() >= MAX_UNLOADING {
            return None;
        }
        let victim = self.victim(now)?;
        Some(self.order(Action::Unload, &victim, None))
    }

    /// Returns the adapters that are on their way from the weight store.
    pub(super) fn fetching(&self) -> usize {
        self.copies
            .iter()
            .filter(|(weights, copy)| {
                matches!(copy.state, State::Loading { .. }) && !self.kept.contains_key(weights)
            })
            .count()
    }

    /// Returns the least popular adapter that no request uses.
    pub(super) fn victim(&self, now: Time) -> Option<Weights> {
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
    pub(super) fn check(&self, now: Time) -> Step {
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
    pub fn record_answer(&mut self, now: Time, order: &Order, answer: Answer) {
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

    pub(super) fn accepted(&mut self, now: Time, order: &Order) {
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
                    self.cache.invalidate(&order.weights);
                }
                copy.version = version;
                copy.state = state;
            }
            Action::Unload => {
                if let Some(copy) = self.copies.get_mut(&order.weights) {
                    copy.state = State::Unloading;
                }
                self.unload_check.get_or_insert(now + REPORT_LAG);
            }
        }
    }

    pub(super) fn note_turn(&mut self, now: Time, weights: &Weights) {
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

    pub(super) fn holds(&mut self, now: Time, order: &Order) {
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
                    // An adapter that was loaded without a version may be newer than known.
                    copy.version = copy.version.max(order.version.unwrap_or_default());
                }
                self.kept.remove(&order.weights);
            }
            Action::Unload => {
                self.orders = order.expected + 1;
                self.dropped(now, &order.weights);
            }
        }
    }

    /// Notes that an adapter is unloaded.
    pub(super) fn dropped(&mut self, now: Time, weights: &Weights) {
        self.copies.remove(weights);
        self.cache.invalidate(weights);
        self.keep_beside(now, weights);
    }

    pub(super) fn keep_beside(&mut self, now: Time, weights: &Weights) {
        self.kept.insert(weights.clone(), now);
        if self.kept.len() > KEPT_BESIDE {
            let oldest = self.kept.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(weights, _)| weights.clone()) {
                self.kept.remove(&oldest);
            }
        }
    }

    pub(super) fn is_loading(&self, weights: &Weights) -> bool {
        let copy = self.copies.get(weights);
        copy.is_some_and(|copy| matches!(copy.state, State::Loading { .. }))
    }

    pub(super) fn still_loading(&mut self, now: Time, weights: &Weights) {
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
