//! Remembers which software versions began streams: only that version may resume one.
//!
//! A gateway remembers the streams that it began, and shares them with a few other gateways, which answer
//! after it has ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::stream::{self, Batch, Key, Origin};
use endivespur_core::gateway::table::RetryPolicy;
use endivespur_core::hash;
use endivespur_core::id::Software;
use log::info;
use smol::Timer;

use crate::exchange::Call;
use crate::peer;
use crate::state::State;

/// The number of gateways with which a gateway shares the streams that it began.
const REPLICA_COUNT: usize = 2;
/// The time in which streams are collected before they are shared: a gateway that is killed takes those
/// that are not shared yet with it.
const SHARE_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the task that shares streams.
pub fn start(state: &Rc<State>) {
    state.spawn(share(state.clone()));
}

/// Records that the start of an engine that began at `started_ms`, if that is known, writes the first event of a stream.
/// Returns its software version, if that is known.
pub fn began(
    state: &State,
    call: &Call,
    instance: &Instance,
    started_ms: Option<u64>,
) -> Option<Software> {
    let software = software(state, instance, started_ms);
    let attempt = &call.fields.attempt_id;
    if attempt.is_empty() || call.route.retry_policy != RetryPolicy::ResumableStream {
        return software;
    }
    let (now, key) = (clock::now(), stream::key(attempt));
    let mut tracker = state.streams.tracker.borrow_mut();
    if let Some(software) = &software {
        tracker.began(now, key, Origin::new(&instance.service, software));
    } else {
        info!(
            event = "version-unknown", request = attempt.as_str(), endpoint = instance.id.as_str(),
            born:? = started_ms, registered = instance.started_ms; "stream began at a start without a registration"
        );
        let writer = started_ms.map(|started_ms| (instance.id.clone(), started_ms));
        tracker.began_unregistered(now, key, &instance.service, writer);
    }
    state.streams.began.notify(usize::MAX);
    software
}

/// Records that an engine has named its start on a connection.
pub fn met(state: &State, instance: &Instance, started_ms: u64) {
    if software(state, instance, Some(started_ms)).is_none() {
        let mut tracker = state.streams.tracker.borrow_mut();
        let start = (instance.id.clone(), started_ms);
        tracker.start_met(clock::now(), &instance.service, start);
    }
}

/// Returns the software version of that start of an engine which began at `started_ms`, if its registration is known:
/// `instance` or a newer one.
pub fn software(state: &State, instance: &Instance, started_ms: Option<u64>) -> Option<Software> {
    let started_ms = started_ms?;
    if instance.started_ms == started_ms {
        return Some(instance.software.clone());
    }
    let current = state.catalog.borrow().endpoint(&instance.id);
    let current = current.filter(|current| current.started_ms == started_ms);
    current.map(|current| current.software.clone())
}

/// Returns the software version that began the stream of a request, if it has become known since.
pub fn resolved(state: &State, call: &Call) -> Option<Software> {
    let key = stream::key(&call.fields.attempt_id);
    let mut tracker = state.streams.tracker.borrow_mut();
    let origin = tracker.origin(clock::now(), key)?;
    Some(origin.software.clone())
}

/// Records the streams that another gateway knows.
pub fn learned(state: &State, batch: Batch) {
    let mut tracker = state.streams.tracker.borrow_mut();
    for (origin, keys) in batch {
        for key in keys {
            tracker.learned(clock::now(), key, origin.clone());
        }
    }
}

/// Returns the origins of those streams that this gateway knows. The version is empty if it does not know that.
pub fn known(state: &State, keys: &[Key]) -> Batch {
    let mut tracker = state.streams.tracker.borrow_mut();
    let mut batch = Batch::new();
    for key in keys {
        if let Some(origin) = tracker.find(clock::now(), *key) {
            batch.entry(origin.clone()).or_default().push(*key);
        }
    }
    batch
}

/// Records an endpoint's registration before the catalog has it.
pub fn registered(state: &State, instance: &Instance) {
    let now = clock::now();
    let mut tracker = state.streams.tracker.borrow_mut();
    tracker.registered(now, &instance.service, &instance.software);
    let start = (instance.id.clone(), instance.started_ms);
    if tracker.start_registered(&start, &instance.software) {
        state.streams.began.notify(usize::MAX);
    }
}

/// Records the end of an endpoint's registration before the catalog has it.
pub fn unregistered(state: &State, endpoint: &str) {
    if let Some(instance) = state.catalog.borrow().endpoint(endpoint) {
        let mut tracker = state.streams.tracker.borrow_mut();
        tracker.registered(clock::now(), &instance.service, &instance.software);
    }
}

/// Shares streams with the replicas of this gateway.
async fn share(state: Rc<State>) {
    let streams = &state.streams;
    loop {
        let listener = streams.began.listen();
        if !streams.tracker.borrow().has_unshared() {
            listener.await;
            continue;
        }
        Timer::after(SHARE_INTERVAL).await;
        let batch = Rc::new(streams.tracker.borrow_mut().take_unshared());
        for address in replicas(&state) {
            let (task_state, batch) = (state.clone(), batch.clone());
            state.spawn(async move {
                peer::streams_began(&task_state, address, &batch).await;
            });
        }
    }
}

/// Returns the zones and addresses of the other gateways.
pub fn other_gateways(state: &State) -> Vec<(String, SocketAddr)> {
    let catalog = state.catalog.borrow();
    let others = catalog
        .peers()
        .filter(|(vm, _)| **vm != state.settings.vm)
        .map(|(_, peer)| (peer.zone.clone(), peer.address));
    others.collect()
}

/// Returns the gateways with which this one shares its streams, in other zones if there are any.
fn replicas(state: &State) -> Vec<SocketAddr> {
    let mut others = other_gateways(state);
    others.retain(|(_, address)| !state.peers.is_unresponsive(*address));
    let is_remote = |(zone, _): &(String, SocketAddr)| *zone != state.settings.zone;
    if others.iter().any(is_remote) {
        others.retain(is_remote);
    }
    let named: Vec<(String, SocketAddr)> = others
        .into_iter()
        .map(|(_, address)| (address.to_string(), address))
        .collect();
    hash::rank(&state.settings.vm, named, |(name, _)| name, REPLICA_COUNT)
        .into_iter()
        .map(|(_, address)| address)
        .collect()
}
