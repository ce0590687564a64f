//! Which VM gives an endpoint its orders.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::hash;
use crate::id::{Endpoint, Fence, Process, Vm};

/// How long a VM waits for one that ranks before it to claim an endpoint: several answers
/// of the store, so that in general only one VM writes.
pub const RANK_DELAY: Duration = Duration::from_millis(250);
/// The most ranks that are waited for.
const MAX_RANK: u32 = 4;

/// The record in the store that names an endpoint's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The VM.
    pub vm: Vm,
    /// The VM's process.
    pub process: Process,
    /// The store's revision of the record: the fencing number of the owner's orders.
    pub fence: Fence,
}

/// Whether this VM should claim an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Now; the fence is that of the record to replace, 0 if there is none.
    Claim(Fence),
    /// Not before that moment.
    Wait(Time),
    /// It has an owner.
    Owned,
}

/// The claims as the store last told them.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    claims: BTreeMap<Endpoint, Claim>,
    unowned: BTreeMap<Endpoint, Time>,
}

impl Claims {
    /// Makes an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a claim, or its end, as of a revision of the store; older news is ignored.
    pub fn set(&mut self, now: Time, endpoint: &str, revision: Fence, claim: Option<Claim>) {
        if self
            .claims
            .get(endpoint)
            .is_some_and(|present| revision < present.fence)
        {
            return;
        }
        if let Some(claim) = claim {
            self.unowned.remove(endpoint);
            self.claims.insert(endpoint.to_string(), claim);
        } else {
            self.claims.remove(endpoint);
            self.unowned.insert(endpoint.to_string(), now);
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

    /// Decides whether the VM should claim an endpoint, given the live VMs.
    ///
    /// A claim of an earlier process of the same VM is replaced at once: that process is gone.
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
        let since = *self.unowned.entry(endpoint.to_string()).or_insert(now);
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

    /// Forgets endpoints for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.unowned.retain(|endpoint, _| keep(endpoint));
    }
}
