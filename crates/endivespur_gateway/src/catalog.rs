//! What the store last told: the routes, the endpoints and the adapters' versions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::{Instance, Weights};
use endivespur_core::gateway::table::Table;
use endivespur_core::id::{Endpoint, Process, Version, Vm, Zone};
use serde::{Deserialize, Serialize};

/// How long a registration that lapsed while the store was away may take to come back.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// Another gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its process.
    pub process: Process,
    /// Where it listens for other gateways.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
}

/// What the store last told.
#[derive(Debug, Default)]
pub struct Catalog {
    table: Option<Rc<Table>>,
    endpoints: BTreeMap<Endpoint, Rc<Instance>>,
    versions: BTreeMap<Weights, Version>,
    peers: BTreeMap<Vm, Peer>,
    /// The endpoints whose registration has ended, with the moment they are dropped.
    lapsed: BTreeMap<Endpoint, Time>,
    settled_at: Time,
}

impl Catalog {
    /// Makes an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration, if there is one.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.clone()
    }

    /// Takes a configuration, unless it is older than the present one.
    pub fn set_table(&mut self, table: Table) -> bool {
        let is_newer = self
            .table
            .as_ref()
            .is_none_or(|present| present.version < table.version);
        if is_newer {
            self.table = Some(Rc::new(table));
        }
        is_newer
    }

    /// Notes that the store was away until now: registrations may come back.
    pub fn store_returned(&mut self, now: Time) {
        self.settle(now + RETURN_TIME);
    }

    /// Notes until when registrations that have ended may come back.
    pub fn settle(&mut self, until: Time) {
        self.settled_at = self.settled_at.max(until);
    }

    /// Returns for how long registrations that have ended may still come back.
    pub fn settling(&self, now: Time) -> Duration {
        self.settled_at.saturating_sub(now)
    }

    /// Takes an endpoint's registration.
    pub fn set_endpoint(&mut self, instance: Instance) {
        self.lapsed.remove(&instance.id);
        self.endpoints
            .insert(instance.id.clone(), Rc::new(instance));
    }

    /// Notes that an endpoint's registration has ended.
    pub fn remove_endpoint(&mut self, now: Time, id: &str) {
        if now < self.settled_at {
            self.lapsed.insert(id.to_string(), self.settled_at);
        } else {
            self.endpoints.remove(id);
        }
    }

    /// Drops the endpoints whose registration did not come back.
    pub fn expire(&mut self, now: Time) {
        let endpoints = &mut self.endpoints;
        self.lapsed.retain(|id, until| {
            let keep = now < *until;
            if !keep {
                endpoints.remove(id);
            }
            keep
        });
    }

    /// Returns an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<Rc<Instance>> {
        self.endpoints.get(id).cloned()
    }

    /// Iterates over the endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Rc<Instance>> {
        self.endpoints.values()
    }

    /// Returns the endpoints of a service that take new work.
    pub fn serving(&self, service: &str) -> Vec<Rc<Instance>> {
        self.endpoints
            .values()
            .filter(|instance| instance.service == service && !instance.is_leaving)
            .cloned()
            .collect()
    }

    /// Notes an adapter's newest version.
    pub fn set_version(&mut self, weights: Weights, version: Version) {
        let newest = self.versions.entry(weights).or_default();
        *newest = (*newest).max(version);
    }

    /// Returns an adapter's newest version, if one was declared.
    pub fn version(&self, weights: &Weights) -> Option<Version> {
        self.versions.get(weights).copied()
    }

    /// Iterates over the declared versions.
    pub fn versions(&self) -> impl Iterator<Item = (&Weights, &Version)> {
        self.versions.iter()
    }

    /// Notes another gateway, or its end.
    pub fn set_peer(&mut self, vm: &str, peer: Option<Peer>) {
        match peer {
            Some(peer) => {
                self.peers.insert(vm.to_string(), peer);
            }
            None => {
                self.peers.remove(vm);
            }
        }
    }

    /// Returns a gateway.
    pub fn peer(&self, vm: &str) -> Option<&Peer> {
        self.peers.get(vm)
    }

    /// Iterates over the gateways, this one included.
    pub fn peers(&self) -> impl Iterator<Item = (&Vm, &Peer)> {
        self.peers.iter()
    }
}
