//! Recovery after a takeover: the reports of live nodes and of the engine.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Action, HeldGrant, Owner};
use crate::clock::Time;
use crate::id::{Fence, Grant as GrantId};
use crate::lease::Authority;
use crate::slot::{Name, Phase, Slot};

impl Owner {
    /// Records the grants under older fencing numbers that a live process still holds.
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
            let held = HeldGrant {
                entry: process.to_string(),
                slot,
                since: now,
                alone: false,
                dead: None,
            };
            self.held.insert((fence, id), held);
        }
    }

    /// Records that a process is dead, so that the owner no longer waits for its report.
    ///
    /// Its grants stay in use until [`Owner::running_reported`] ends them.
    pub fn mark_dead(&mut self, now: Time, process: &str) {
        self.unreported.remove(process);
        for held in self.held.values_mut().filter(|held| held.entry == process) {
            held.dead.get_or_insert(now);
        }
    }

    /// Applies the engine's report of the names with running requests, which is at most
    /// `lag` old.
    ///
    /// Ends the grants of dead entries on idle slots, and permits the eviction of idle
    /// slots that the previous owner loaded.
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
        let ended: Vec<(Fence, GrantId)> = self
            .held
            .iter()
            .filter(|(_, held)| held.dead.is_some_and(|at| at + lag <= now))
            .filter(|(_, held)| is_idle(&held.slot))
            .map(|(key, _)| *key)
            .collect();
        ended
            .into_iter()
            .flat_map(|(fence, id)| self.end(now, authority, fence, id))
            .collect()
    }

    /// Applies the engine's list of loaded names, which was requested at `requested_at`.
    ///
    /// A name missing from the list is no longer loaded, because the engine was restarted
    /// without its adapters. A list requested before the last call of
    /// [`Owner::listing_unavailable`] is ignored.
    pub fn listed(
        &mut self,
        now: Time,
        authority: Authority,
        requested_at: Time,
        names: &[Name],
    ) -> Vec<Action> {
        if requested_at < self.unconfirmed_since {
            return Vec::new();
        }
        self.listed = true;
        self.slots.retain(|name, slot| {
            slot.phase != Phase::Ready || slot.since >= requested_at || names.contains(name)
        });
        self.unloaded_at.retain(|_, at| *at >= requested_at);
        for name in names
            .iter()
            .filter(|name| !self.unloaded_at.contains_key(*name))
        {
            self.slots
                .entry(name.clone())
                .or_insert_with(|| Slot::new(Phase::Ready, now));
        }
        self.grant_waiting(now, authority)
    }

    /// Records that the engine's adapters are unknown: it could not list them, because it is
    /// down or was restarted, or a request found one missing.
    ///
    /// Nothing is granted until the next call of [`Owner::listed`].
    pub fn listing_unavailable(&mut self, now: Time) {
        self.listed = false;
        self.unconfirmed_since = now;
    }

    /// Returns whether the grants and adapters left by the previous owner are known.
    pub fn is_settled(&self) -> bool {
        self.listed && self.unreported.is_empty()
    }
}
