//! Which adapters an owner needs loaded, and which ones it evicts for them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Action, Demand, Owner, Reason};
use crate::clock::Time;
use crate::config::Class;
use crate::id::{Model, Organisation};
use crate::lease::Authority;
use crate::slot::{Name, Phase, Slot};

/// The number of failed loads of one adapter after which its waiting requests are refused.
const LOAD_ATTEMPTS: u32 = 3;
/// The delay before the first retry of a failed load; it grows with each failure.
const LOAD_RETRY: Duration = Duration::from_millis(500);

impl Owner {
    /// Returns the adapters that waiting requests and pins need loaded.
    pub fn demands(&self, now: Time) -> Vec<Demand> {
        if !self.open || !self.is_settled() {
            return Vec::new();
        }
        let mut demands: BTreeMap<&Model, Demand> = BTreeMap::new();
        for request in self.queue.iter() {
            let Some(model) = &request.model else {
                continue;
            };
            let demand = demands.entry(model).or_insert_with(|| Demand {
                model: model.clone(),
                organisation: request.organisation.clone(),
                class: request.class,
                waiting: 0,
                since: request.since,
                deadline: request.deadline,
            });
            demand.waiting += 1;
            demand.class = demand.class.min(request.class);
            if request.since < demand.since {
                demand.since = request.since;
                demand.organisation.clone_from(&request.organisation);
            }
            demand.deadline = demand.deadline.min(request.deadline);
        }
        for model in &self.pins {
            demands.entry(model).or_insert_with(|| Demand {
                model: model.clone(),
                organisation: Organisation::new(),
                class: Class::Summary,
                waiting: 0,
                since: now,
                deadline: now + Duration::from_hours(1),
            });
        }
        demands
            .into_values()
            .filter(|demand| !self.is_placed(&demand.model) && !self.is_unloading(&demand.model))
            .filter(|demand| {
                self.failures
                    .get(&demand.model)
                    .is_none_or(|failure| failure.retry_at <= now)
            })
            .collect()
    }

    /// Returns whether a usable copy of the adapter is loaded or being loaded, or a load of it
    /// waits for an unload.
    pub(super) fn is_placed(&self, model: &Model) -> bool {
        let mut placed = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.phase != Phase::Unloading);
        placed.any(|(name, _)| name.model == *model && self.is_usable(name))
            || self.pending.values().any(|pending| pending == model)
    }

    /// Returns whether the name under which the adapter would be loaded is being unloaded.
    fn is_unloading(&self, model: &Model) -> bool {
        self.slots.iter().any(|(name, slot)| {
            name.model == *model && name.fence == self.fence && slot.phase == Phase::Unloading
        })
    }

    /// Starts a load that the region's scheduler permitted; returns no action if it cannot
    /// be started.
    pub fn start_permitted_load(
        &mut self,
        now: Time,
        authority: Authority,
        model: &Model,
    ) -> Vec<Action> {
        let not_demanded = !self
            .demands(now)
            .iter()
            .any(|demand| demand.model == *model);
        if authority != Authority::Full || not_demanded {
            return Vec::new();
        }
        if self.slots.len() < self.spec.slots {
            return vec![self.load(now, model.clone())];
        }
        let Some(victim) = self.victim(now) else {
            return Vec::new();
        };
        if let Some(slot) = self.slots.get_mut(&victim) {
            slot.phase = Phase::Unloading;
        }
        self.pending.insert(victim.clone(), model.clone());
        vec![Action::Unload(victim)]
    }

    fn load(&mut self, now: Time, model: Model) -> Action {
        let name = Name {
            model,
            fence: self.fence,
        };
        self.slots
            .insert(name.clone(), Slot::new(Phase::Loading, now));
        Action::Load(name)
    }

    /// Returns the name of the idle slot with the least popular adapter, to be evicted.
    ///
    /// A slot with a grant on it, a pinned adapter, or a waiting request for its adapter is
    /// never chosen, unless its name is not usable, in which case only grants count.
    pub(super) fn victim(&self, now: Time) -> Option<Name> {
        if !self.is_settled() {
            return None;
        }
        let requested: BTreeSet<&Model> = self
            .queue
            .iter()
            .filter_map(|request| request.model.as_ref())
            .collect();
        self.slots
            .iter()
            .filter(|(_, slot)| slot.phase == Phase::Ready && slot.usage_known)
            .filter(|(name, _)| self.users(name) == 0)
            .filter(|(name, _)| {
                !self.is_usable(name)
                    || !(requested.contains(&name.model) || self.is_pinned(&name.model))
            })
            .min_by(|a, b| {
                self.popularity_of(&a.0.model, now)
                    .total_cmp(&self.popularity_of(&b.0.model, now))
                    .then_with(|| a.1.last_used.cmp(&b.1.last_used))
            })
            .map(|(name, _)| name.clone())
    }

    fn is_pinned(&self, model: &Model) -> bool {
        self.pins.contains(model)
    }

    fn popularity_of(&self, model: &Model, now: Time) -> f64 {
        self.popularity
            .get(model)
            .map_or(0.0, |counter| counter.at(now, self.spec.half_life))
    }

    /// Records the outcome of a load.
    pub fn loaded(
        &mut self,
        now: Time,
        authority: Authority,
        name: &Name,
        ok: bool,
    ) -> Vec<Action> {
        if ok {
            self.failures.remove(&name.model);
            if let Some(slot) = self.slots.get_mut(name) {
                slot.phase = Phase::Ready;
                slot.last_used = now;
                slot.since = now;
                slot.usage_known = true;
            }
            return self.grant_waiting(now, authority);
        }
        self.slots.remove(name);
        let failure = self.failures.entry(name.model.clone()).or_default();
        failure.count += 1;
        failure.retry_at = now + LOAD_RETRY * failure.count;
        if failure.count < LOAD_ATTEMPTS {
            return Vec::new();
        }
        self.failures.remove(&name.model);
        let model = name.model.clone();
        self.refuse_all(Reason::LoadFailed, |request| {
            request.model.as_ref() == Some(&model)
        })
    }

    /// Records that an order to load has no response, and unloads the adapter.
    ///
    /// The engine may hold it, or still be loading it, so that its slot stays in use until the engine has
    /// answered the unload.
    pub fn load_unanswered(&mut self, name: &Name) -> Vec<Action> {
        let Some(slot) = self.slots.get_mut(name) else {
            return Vec::new();
        };
        slot.phase = Phase::Unloading;
        vec![Action::Unload(name.clone())]
    }

    /// Records the outcome of an unload, and starts the load that waited for it.
    pub fn unloaded(
        &mut self,
        now: Time,
        authority: Authority,
        name: &Name,
        ok: bool,
    ) -> Vec<Action> {
        let pending = self.pending.remove(name);
        if !ok {
            if let Some(slot) = self.slots.get_mut(name) {
                slot.phase = Phase::Ready;
            }
            return self.grant_waiting(now, authority);
        }
        self.slots.remove(name);
        self.unloaded_at.insert(name.clone(), now);
        let mut actions = Vec::new();
        if let Some(model) = pending
            && authority == Authority::Full
        {
            actions.push(self.load(now, model));
        }
        actions.extend(self.grant_waiting(now, authority));
        actions
    }
}
