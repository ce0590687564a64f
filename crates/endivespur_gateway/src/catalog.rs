//! The cached state of the store: the routes, the endpoints and the adapters' versions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::{Instance, Responder, Weights};
use endivespur_core::gateway::source::Gateway;
use endivespur_core::gateway::table::Table;
use endivespur_core::id::{Endpoint, Process, Version, Vm, Zone};
use endivespur_platform::settings::DEFAULT_LINK_RATE;
use serde::{Deserialize, Serialize};

/// How long an endpoint whose registration ended while the store was unavailable may take to
/// register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2200);

/// How long it is remembered that an endpoint without a registration leaves: it may register again.
const LEAVING_RETENTION: Duration = Duration::from_mins(10);

/// An incarnation of an endpoint that has said in a response that it leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    responder: Responder,
    recorded_at: Time,
}

/// A gateway, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The process that runs it.
    pub process: Process,
    /// The address at which it listens for other gateways.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// The address at which it forwards requests of other gateways; `None` for an older release.
    #[serde(default)]
    pub forward_address: Option<SocketAddr>,
    /// Whether it is cut off from the endpoints that others reach.
    #[serde(default)]
    pub is_cut_off: bool,
    /// The bytes a second that its link carries; that of the slowest VMs for an older release.
    #[serde(default = "default_link_rate")]
    pub link_rate: u64,
    /// Whether it can keep the origins of streams in the store; not of an older release.
    #[serde(default)]
    pub keeps_streams: bool,
    /// Whether it can keep quotas of teams; not of an older release.
    #[serde(default)]
    pub keeps_quotas: bool,
    /// The version of the protocol by which it forwards requests; 0 for an older release.
    #[serde(default)]
    pub forward_version: u32,
}

/// The version of the protocol for forwarded requests from which gateways check and name the starts of endpoints.
pub const FORWARD_VERSION_WITH_STARTS: u32 = 1;

fn default_link_rate() -> u64 {
    DEFAULT_LINK_RATE
}

/// The cached state of the store.
#[derive(Debug, Default)]
pub struct Catalog {
    table: Option<Rc<Table>>,
    endpoints: BTreeMap<Endpoint, Rc<Instance>>,
    versions: BTreeMap<Weights, Version>,
    peers: BTreeMap<Vm, Peer>,
    /// The gateways with a marker in the store.
    markers: BTreeSet<Vm>,
    /// The members for quotas: the gateways with a marker, or a record that says that they keep quotas.
    quota_members: BTreeSet<Vm>,
    /// The endpoints whose registration has ended, with the time at which they are removed.
    unregistered: BTreeMap<Endpoint, Time>,
    /// The time until which ended registrations may be renewed.
    grace_end: Time,
    /// The time from which this gateway can tell others that the store was not away: it did not run before.
    vouches_from: Time,
    /// The endpoints that have said in a response that they leave: their registrations may still say that they
    /// are ready.
    leaving: BTreeMap<Endpoint, Leaving>,
}

impl Catalog {
    /// Creates an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration, if there is one.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.clone()
    }

    /// Sets the configuration if it is newer than the current one; returns whether it is.
    pub fn set_table(&mut self, table: Table) -> bool {
        let is_newer = self
            .table
            .as_ref()
            .is_none_or(|current| current.version < table.version);
        if is_newer {
            self.table = Some(Rc::new(table));
        }
        is_newer
    }

    /// Records that this gateway has received the store's state for the first time.
    pub fn started(&mut self, now: Time) {
        self.vouches_from = now + REREGISTRATION_TIME;
    }

    /// Records that the store may have been away until now: ended registrations may be renewed.
    pub fn store_recovered(&mut self, now: Time) {
        self.extend_grace(now + REREGISTRATION_TIME);
    }

    /// Extends the time until which ended registrations may be renewed.
    pub fn extend_grace(&mut self, until: Time) {
        self.grace_end = self.grace_end.max(until);
    }

    /// Records that the store has not been away: removes the endpoints whose registrations have ended.
    pub fn end_grace(&mut self) {
        self.grace_end = Time::ZERO;
        for id in std::mem::take(&mut self.unregistered).into_keys() {
            self.endpoints.remove(&id);
        }
    }

    /// Returns for how long ended registrations may still be renewed.
    pub fn grace_left(&self, now: Time) -> Duration {
        self.grace_end.saturating_sub(now)
    }

    /// Returns for how long ended registrations may still be renewed, as far as those that follow this gateway can
    /// rely on it.
    pub fn grace_for_others(&self, now: Time) -> Duration {
        let until = self.grace_end.max(self.vouches_from);
        until.saturating_sub(now)
    }

    /// Records that an incarnation of an endpoint has said that it leaves, which counts as draining until it
    /// starts again; returns whether this is new.
    pub fn mark_leaving(&mut self, now: Time, id: &str, responder: Responder) -> bool {
        let endpoints = &self.endpoints;
        self.leaving.retain(|endpoint, leaving| {
            endpoints.contains_key(endpoint) || now < leaving.recorded_at + LEAVING_RETENTION
        });
        let known = self.leaving.get(id);
        if known.is_some_and(|known| known.responder.started_ms >= responder.started_ms) {
            return false;
        }
        let leaving = Leaving {
            responder,
            recorded_at: now,
        };
        self.leaving.insert(id.to_string(), leaving);
        if let Some(instance) = self.endpoints.get_mut(id) {
            let mut changed = Instance::clone(instance);
            changed.is_draining |= responder.is_reached_by(changed.started_ms);
            *instance = Rc::new(changed);
        }
        true
    }

    /// Returns a registration, as draining if requests that it addresses reach an incarnation that has said that it leaves.
    pub fn apply_leaving(&self, mut instance: Instance) -> Instance {
        let leaving = self.leaving.get(&instance.id);
        instance.is_draining |=
            leaving.is_some_and(|leaving| leaving.responder.is_reached_by(instance.started_ms));
        instance
    }

    /// Adds or replaces an endpoint's registration.
    pub fn set_endpoint(&mut self, instance: Instance) {
        self.unregistered.remove(&instance.id);
        self.endpoints
            .insert(instance.id.clone(), Rc::new(instance));
    }

    /// Records that an endpoint's registration has ended.
    pub fn remove_endpoint(&mut self, now: Time, id: &str) {
        if now < self.grace_end {
            self.unregistered.insert(id.to_string(), self.grace_end);
        } else {
            self.endpoints.remove(id);
        }
    }

    /// Removes the endpoints whose registration was not renewed in time.
    pub fn expire(&mut self, now: Time) {
        let endpoints = &mut self.endpoints;
        self.unregistered.retain(|id, until| {
            let keep = now < *until;
            if !keep {
                endpoints.remove(id);
            }
            keep
        });
    }

    /// Returns the endpoint with the given id.
    pub fn endpoint(&self, id: &str) -> Option<Rc<Instance>> {
        self.endpoints.get(id).cloned()
    }

    /// Iterates over the endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Rc<Instance>> {
        self.endpoints.values()
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn serving(&self, service: &str) -> Vec<Rc<Instance>> {
        self.endpoints
            .values()
            .filter(|instance| instance.service == service && !instance.is_draining)
            .cloned()
            .collect()
    }

    /// Records a version of an adapter; the newest one is kept.
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

    /// Adds or replaces a gateway, or removes it if `peer` is `None`.
    pub fn set_peer(&mut self, vm: &str, peer: Option<Peer>) {
        match peer {
            Some(peer) => {
                self.peers.insert(vm.to_string(), peer);
            }
            None => {
                self.peers.remove(vm);
            }
        }
        self.set_quota_member(vm);
    }

    /// Records whether a gateway has a marker in the store.
    pub fn set_marker(&mut self, vm: &str, is_present: bool) {
        if is_present {
            self.markers.insert(vm.to_string());
        } else {
            self.markers.remove(vm);
        }
        self.set_quota_member(vm);
    }

    fn set_quota_member(&mut self, vm: &str) {
        let keeps_quotas = self.peers.get(vm).is_some_and(|peer| peer.keeps_quotas);
        if keeps_quotas || self.markers.contains(vm) {
            self.quota_members.insert(vm.to_string());
        } else {
            self.quota_members.remove(vm);
        }
    }

    /// Iterates over the members for quotas, this gateway included.
    pub fn quota_members(&self) -> impl Iterator<Item = &Vm> + Clone {
        self.quota_members.iter()
    }

    /// Returns the gateway of the given VM.
    pub fn peer(&self, vm: &str) -> Option<&Peer> {
        self.peers.get(vm)
    }

    /// Returns the zones and the link rates of the gateways, this one included.
    pub fn gateways(&self) -> BTreeMap<Vm, Gateway> {
        let gateway = |peer: &Peer| Gateway {
            zone: peer.zone.clone(),
            link_rate: peer.link_rate,
        };
        let peers = self.peers.iter();
        peers
            .map(|(vm, peer)| (vm.clone(), gateway(peer)))
            .collect()
    }

    /// Iterates over the gateways, this one included.
    pub fn peers(&self) -> impl Iterator<Item = (&Vm, &Peer)> + Clone {
        self.peers.iter()
    }
}
