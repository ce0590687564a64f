//! What an owner learns after a takeover, from live nodes and from the engine.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Action, Held, Owner};
use crate::clock::Time;
use crate::id::{Fence, Grant as GrantId};
use crate::lease::Authority;
use crate::slot::{Name, Phase, Slot};

impl Owner {
    /// Notes the grants under older fences that a live node still holds.
    pub fn reported(
        &mut self,
        now: Time,
        process: &str,
        grants: Vec<(Fence, GrantId, Option<Name>)>,
    ) {
        self.unreported.remove(process);
        for (fence, id, slot) in grants {
            if fence == self.fence || self.held.contains_key(&(fence, id)) {
                continue;
            }
            if let Some(name) = &slot {
                self.slots
                    .entry(name.clone())
                    .or_insert_with(|| Slot::new(Phase::Ready, now));
            }
            let held = Held {
                entry: process.to_string(),
                slot,
                since: now,
                alone: false,
                dead: None,
            };
            self.held.insert((fence, id), held);
        }
    }

    /// Notes that a process is dead, so that no report is waited for.
    ///
    /// Its grants stay in use until [`Owner::running_reported`] clears them.
    pub fn mark_dead(&mut self, now: Time, process: &str) {
        self.unreported.remove(process);
        for held in self.held.values_mut().filter(|held| held.entry == process) {
            held.dead.get_or_insert(now);
        }
    }

    /// Takes the engine's report of the names with running requests, which lags by at
    /// most `lag`.
    ///
    /// Clears the grants of dead entries on idle slots, and permits the eviction of
    /// idle slots that a predecessor loaded.
    pub fn running_reported(
        &mut self,
        now: Time,
        authority: Authority,
        running: &BTreeSet<Name>,
        lag: Duration,
    ) -> Vec<Action> {
        for (name, slot) in &mut self.slots {
            slot.usage_known |= slot.since + lag <= now && !running.contains(name);
        }
        let is_idle =
            |slot: &Option<Name>| slot.as_ref().is_none_or(|name| !running.contains(name));
        let over: Vec<(Fence, GrantId)> = self
            .held
            .iter()
            .filter(|(_, held)| held.dead.is_some_and(|at| at + lag <= now))
            .filter(|(_, held)| is_idle(&held.slot))
            .map(|(key, _)| *key)
            .collect();
        over.into_iter()
            .flat_map(|(fence, id)| self.end(now, authority, fence, id))
            .collect()
    }

    /// Takes the engine's list of loaded names, which was asked for at `asked`.
    ///
    /// A name that the list lacks is gone: the engine was restarted from a cold start. A
    /// list from before the engine was last found missing is not believed.
    pub fn listed(
        &mut self,
        now: Time,
        authority: Authority,
        asked: Time,
        names: &[Name],
    ) -> Vec<Action> {
        if asked < self.unconfirmed_since {
            return Vec::new();
        }
        self.listed = true;
        self.slots.retain(|name, slot| {
            slot.phase != Phase::Ready || slot.since >= asked || names.contains(name)
        });
        self.gone.retain(|_, at| *at >= asked);
        for name in names.iter().filter(|name| !self.gone.contains_key(*name)) {
            self.slots
                .entry(name.clone())
                .or_insert_with(|| Slot::new(Phase::Ready, now));
        }
        self.grant_waiting(now, authority)
    }

    /// Notes that the engine does not list its adapters: it is down or cold.
    ///
    /// Nothing is granted until [`Owner::listed`].
    pub fn listing_unavailable(&mut self, now: Time) {
        self.listed = false;
        self.unconfirmed_since = now;
    }

    /// Tells whether the grants and adapters that a predecessor left are known.
    pub fn is_settled(&self) -> bool {
        self.listed && self.unreported.is_empty()
    }
}
