//! Decides which VM sends orders to an endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::hash;
use crate::id::{Endpoint, Fence, Process, Vm};

/// How long a VM waits for each VM that ranks before it to claim an endpoint: several round trips
/// to the store, so that in general only one VM writes.
pub const RANK_DELAY: Duration = Duration::from_millis(250);
/// The maximum number of ranks that a VM waits for.
const MAX_RANK: u32 = 4;

/// The record in the store that names an endpoint's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The owner.
    pub vm: Vm,
    /// The owner's process.
    pub process: Process,
    /// The store's revision of the record: the fencing number of the owner's orders.
    pub fence: Fence,
}

/// Whether and when this VM should claim an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Claim it now, replacing the record with this fence; 0 if there is none.
    Claim(Fence),
    /// Do not claim it before this time.
    Wait(Time),
    /// The endpoint has an owner.
    Owned,
}

/// The claims that were last received from the store.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    claims: BTreeMap<Endpoint, Claim>,
    unowned_since: BTreeMap<Endpoint, Time>,
}

impl Claims {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a claim, or its end, as of a revision of the store; ignores stale revisions.
    pub fn set(&mut self, now: Time, endpoint: &str, revision: Fence, claim: Option<Claim>) {
        if self
            .claims
            .get(endpoint)
            .is_some_and(|present| revision < present.fence)
        {
            return;
        }
        if let Some(claim) = claim {
            self.unowned_since.remove(endpoint);
            self.claims.insert(endpoint.to_string(), claim);
        } else {
            self.claims.remove(endpoint);
            self.unowned_since.insert(endpoint.to_string(), now);
        }
    }

    /// Returns an endpoint's claim.
    pub fn get(&self, endpoint: &str) -> Option<&Claim> {
        self.claims.get(endpoint)
    }

    /// Iterates over the claims.
    pub fn iter(&self) -> impl Iterator<Item = (&Endpoint, &Claim)> {
        self.claims.iter()
    }

    /// Decides whether the VM and process in `own` should claim an endpoint, given the live VMs.
    ///
    /// A claim of an earlier process of the same VM is replaced at once, as that process has ended.
    pub fn decide<'a>(
        &mut self,
        now: Time,
        endpoint: &str,
        own: (&str, &str),
        vms: impl Iterator<Item = &'a str>,
    ) -> Decision {
        let (vm, process) = own;
        if let Some(claim) = self.claims.get(endpoint) {
            return if claim.vm == vm && claim.process != process {
                Decision::Claim(claim.fence)
            } else {
                Decision::Owned
            };
        }
        let since = *self
            .unowned_since
            .entry(endpoint.to_string())
            .or_insert(now);
        let ranked = hash::rank(endpoint, vms.collect(), |vm| vm, MAX_RANK as usize);
        let rank = ranked
            .iter()
            .position(|other| *other == vm)
            .map_or(MAX_RANK, |rank| rank as u32);
        let at = since + RANK_DELAY * rank;
        if now >= at {
            Decision::Claim(0)
        } else {
            Decision::Wait(at)
        }
    }

    /// Keeps this VM from claiming the unowned endpoints before a time, unless `is_exempt` returns
    /// `true`.
    pub fn hold(&mut self, until: Time, is_exempt: impl Fn(&str) -> bool) {
        for (endpoint, since) in &mut self.unowned_since {
            if !is_exempt(endpoint) {
                *since = until.max(*since);
            }
        }
    }

    /// Removes the unowned endpoints for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.unowned_since.retain(|endpoint, _| keep(endpoint));
    }
}
