//! The live nodes, and the owner of each endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::Snapshot;
use crate::hash;
use crate::id::{Endpoint, Fence, Process, Region, Revision, Vm, Zone};

/// The key prefix of the nodes' records, which are bound to a lease.
pub const NODES_PREFIX: &str = "endivespur/nodes/";
/// The key prefix of the ownership records.
pub const OWNERS_PREFIX: &str = "endivespur/owners/";

/// The record of a live node, which is bound to its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// A number that differs for each start of the process.
    pub incarnation: u64,
    /// The address for calls between nodes.
    pub address: String,
    /// The address for callers.
    pub callers: String,
    /// The region.
    pub region: Region,
    /// The zone.
    pub zone: Zone,
    /// Whether the node is stopping and takes no new ownership.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the node keeps shards of quotas and lends from them; nodes of older builds do not.
    #[serde(default)]
    pub keeps_quotas: bool,
}

/// The record of an endpoint's owner; its fence is the store's revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The owning node.
    pub vm: Vm,
    /// The owning process.
    pub incarnation: u64,
    /// The owner's address for calls between nodes.
    pub address: String,
    /// Whether the owner released the endpoint, so that it can be taken over at once.
    #[serde(default)]
    pub released: bool,
}

/// The delays before a lost owner's endpoints are taken over.
#[derive(Clone, Copy, Debug)]
pub struct TakeoverDelay {
    /// The delay after the owner's record has expired.
    pub margin: Duration,
    /// The time to live of a lease.
    pub ttl: Duration,
}

/// The store's records of nodes and owners, with the revision of each record.
#[derive(Clone, Debug, Default)]
pub struct Table {
    nodes: BTreeMap<Vm, (Revision, Option<Node>)>,
    /// The nodes whose records exist, but cannot be read by this build.
    unreadable: BTreeSet<Vm>,
    owners: BTreeMap<Endpoint, (Fence, Option<Claim>)>,
    /// When each owner was first seen without a live record.
    lost: BTreeMap<(Vm, u64), Time>,
    /// The number of changes since the last check for takeovers.
    changes: u64,
}

/// An endpoint that a node should claim, with the revision that the claim replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The present revision of the ownership record, 0 if there is none.
    pub expected_revision: Fence,
    /// Whether the previous owner is known to have ended or released the endpoint.
    pub clean: bool,
}

impl Table {
    /// Applies a node's record; an older revision changes nothing.
    pub fn set_node(&mut self, vm: &str, revision: Revision, node: Option<Node>) -> bool {
        self.changes += 1;
        let is_applied = apply_if_newer(&mut self.nodes, vm, revision, node);
        if is_applied {
            self.unreadable.remove(vm);
        }
        is_applied
    }

    /// Applies a node's record that cannot be read; an older revision changes nothing.
    pub fn set_unreadable_node(&mut self, vm: &str, revision: Revision) -> bool {
        let is_applied = self.set_node(vm, revision, None);
        if is_applied {
            self.unreadable.insert(vm.to_string());
        }
        is_applied
    }

    /// Iterates over the nodes whose records cannot be read.
    pub fn unreadable_nodes(&self) -> impl Iterator<Item = &Vm> {
        self.unreadable.iter()
    }

    /// Returns the number of records of nodes, readable or not.
    pub fn node_count(&self) -> usize {
        self.nodes().count() + self.unreadable.len()
    }

    /// Applies an ownership record; an older revision changes nothing.
    pub fn set_owner(&mut self, endpoint: &str, fence: Fence, claim: Option<Claim>) -> bool {
        self.changes += 1;
        apply_if_newer(&mut self.owners, endpoint, fence, claim)
    }

    /// Iterates over the live nodes.
    pub fn nodes(&self) -> impl Iterator<Item = (&Vm, &Node)> {
        self.nodes
            .iter()
            .filter_map(|(vm, (_, node))| node.as_ref().map(|node| (vm, node)))
    }

    /// Returns the record of a live node.
    pub fn node(&self, vm: &str) -> Option<&Node> {
        self.nodes.get(vm).and_then(|(_, node)| node.as_ref())
    }

    /// Returns the live processes of a region.
    pub fn live(&self, region: &str) -> BTreeSet<Process> {
        self.nodes()
            .filter(|(_, node)| node.region == region)
            .map(|(vm, node)| process(vm, node.incarnation))
            .collect()
    }

    /// Returns the VMs of the known node records, so that those missing from a listing can
    /// be removed.
    pub fn known_nodes(&self) -> Vec<Vm> {
        let readable = self.nodes().map(|(vm, _)| vm);
        readable.chain(&self.unreadable).cloned().collect()
    }

    /// Returns the number of records; of those that cannot be read, nodes only.
    pub fn len(&self) -> usize {
        let owners = self.owners.values().filter(|(_, claim)| claim.is_some());
        self.node_count() + owners.count()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the records of nodes written after a revision.
    pub fn nodes_after(&self, revision: Revision) -> Vec<(Vm, Revision, Node)> {
        written_after(&self.nodes, revision)
    }

    /// Returns the records of owners written after a revision.
    pub fn owners_after(&self, revision: Revision) -> Vec<(Endpoint, Fence, Claim)> {
        written_after(&self.owners, revision)
    }

    /// Returns the owner of an endpoint and its fence.
    pub fn owner(&self, endpoint: &str) -> Option<(Fence, &Claim)> {
        let (fence, claim) = self.owners.get(endpoint)?;
        claim.as_ref().map(|claim| (*fence, claim))
    }

    /// Returns the node that holds a role in the region, such as the load scheduler.
    ///
    /// The role is not locked: nodes with different records may choose different nodes.
    pub fn winner(&self, role: &str, region: &str) -> Option<&str> {
        let nodes = self.candidates(region);
        hash::winner(role, nodes.into_iter())
    }

    fn candidates(&self, region: &str) -> Vec<&str> {
        self.nodes()
            .filter(|(_, node)| node.region == region && !node.leaving)
            .map(|(vm, _)| vm.as_str())
            .collect()
    }

    /// Returns whether a check for takeovers may find something, and resets the count of changes.
    pub fn needs_check(&mut self) -> bool {
        std::mem::take(&mut self.changes) > 0 || !self.lost.is_empty()
    }

    /// Records that something outside the table has changed, such as the configuration.
    pub fn mark_changed(&mut self) {
        self.changes += 1;
    }

    /// Returns the endpoints that `vm` should claim at `now`.
    ///
    /// Endpoints of a live owner are never claimed. A lost owner's endpoints are claimed at
    /// once if it released them or another process uses its address, and otherwise after
    /// `delay`.
    pub fn takeovers(
        &mut self,
        config: &Snapshot,
        vm: &str,
        region: &str,
        now: Time,
        delay: TakeoverDelay,
    ) -> Vec<Takeover> {
        self.record_lost(now);
        let candidates = self.candidates(region);
        config
            .endpoints
            .iter()
            .filter(|(_, target)| target.region == region)
            .filter_map(|(name, _)| self.takeover(name, now, delay))
            .filter(|takeover| {
                hash::winner(&takeover.endpoint, candidates.iter().copied()) == Some(vm)
            })
            .collect()
    }

    fn takeover(&self, endpoint: &str, now: Time, delay: TakeoverDelay) -> Option<Takeover> {
        let (expected_revision, claim) = match self.owners.get(endpoint) {
            None | Some((_, None)) => (0, None),
            Some((fence, Some(claim))) => (*fence, Some(claim)),
        };
        let clean = claim.is_none_or(|claim| self.is_ended(claim));
        let free = clean || claim.is_some_and(|claim| self.is_lapsed(claim, now, delay));
        free.then(|| Takeover {
            endpoint: endpoint.to_string(),
            expected_revision,
            clean,
        })
    }

    /// Returns whether the owner released its endpoint, or another process has its address.
    fn is_ended(&self, claim: &Claim) -> bool {
        claim.released
            || self.node(&claim.vm).is_some_and(|node| {
                node.incarnation != claim.incarnation && node.address == claim.address
            })
    }

    fn is_lapsed(&self, claim: &Claim, now: Time, delay: TakeoverDelay) -> bool {
        // If another process replaced the record, the old lease may still be valid.
        let margin = match self.node(&claim.vm) {
            Some(node) if node.incarnation == claim.incarnation => return false,
            Some(_) => delay.margin + delay.ttl,
            None => delay.margin,
        };
        self.lost
            .get(&(claim.vm.clone(), claim.incarnation))
            .is_some_and(|since| *since + margin <= now)
    }

    /// Returns the endpoints that `vm` owns although another live node ranks first for them.
    pub fn surplus(&self, vm: &str, incarnation: u64, region: &str) -> Vec<Endpoint> {
        let candidates = self.candidates(region);
        self.owned(vm, incarnation)
            .into_keys()
            .filter(|name| {
                hash::winner(name, candidates.iter().copied()).is_some_and(|best| best != vm)
            })
            .collect()
    }

    fn record_lost(&mut self, now: Time) {
        let nodes = &self.nodes;
        let is_live = |vm: &Vm, incarnation: u64| {
            nodes
                .get(vm)
                .and_then(|(_, node)| node.as_ref())
                .is_some_and(|node| node.incarnation == incarnation)
        };
        self.lost
            .retain(|(vm, incarnation), _| !is_live(vm, *incarnation));
        for (_, claim) in self.owners.values() {
            let Some(claim) = claim else { continue };
            if !is_live(&claim.vm, claim.incarnation) {
                let key = (claim.vm.clone(), claim.incarnation);
                self.lost.entry(key).or_insert(now);
            }
        }
    }

    /// Returns the endpoints that the process owns according to the records.
    pub fn owned(&self, vm: &str, incarnation: u64) -> BTreeMap<Endpoint, Fence> {
        self.owners
            .iter()
            .filter_map(|(name, (fence, claim))| Some((name, fence, claim.as_ref()?)))
            .filter(|(_, _, claim)| {
                claim.vm == vm && claim.incarnation == incarnation && !claim.released
            })
            .map(|(name, fence, _)| (name.clone(), *fence))
            .collect()
    }
}

/// Returns the name of a daemon's process.
pub fn process(vm: &str, incarnation: u64) -> Process {
    format!("{vm}#{incarnation}")
}

fn written_after<T: Clone>(
    map: &BTreeMap<String, (u64, Option<T>)>,
    revision: u64,
) -> Vec<(String, u64, T)> {
    map.iter()
        .filter(|(_, (at, _))| *at > revision)
        .filter_map(|(key, (at, value))| Some((key.clone(), *at, value.clone()?)))
        .collect()
}

fn apply_if_newer<T>(
    map: &mut BTreeMap<String, (u64, Option<T>)>,
    key: &str,
    revision: u64,
    value: Option<T>,
) -> bool {
    if map.get(key).is_some_and(|(known, _)| *known >= revision) {
        return false;
    }
    map.insert(key.to_string(), (revision, value));
    true
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a view that never counts as the store's after one record that this build cannot read.
    #[test]
    fn node_count_includes_unreadable_until_replaced() {
        let mut table = Table::default();
        assert!(table.set_unreadable_node("a", 2) && !table.set_unreadable_node("a", 2));
        assert_eq!((table.node_count(), table.len()), (1, 1));
        assert_eq!(table.known_nodes(), ["a"]);
        assert!(!table.set_node("a", 1, None) && table.set_node("a", 3, None));
        assert!(table.is_empty() && table.known_nodes().is_empty());
    }
}
