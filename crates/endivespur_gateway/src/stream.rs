//! Lets a stream be resumed only by the software version that began it.
//!
//! A gateway remembers the streams that it began, and shares them with a few other gateways, which answer
//! after it has ended. Callers name the attempt that brought the first event, but may send it to any
//! gateway: one that does not know the stream asks all others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::stream::{self, Batch, Key, Origin};
use endivespur_core::gateway::table::RetryPolicy;
use endivespur_core::hash;
use futures_util::future::join_all;
use log::info;
use smol::Timer;

use crate::exchange::{Call, Outcome};
use crate::peer;
use crate::state::State;

/// The number of gateways with which a gateway shares the streams that it began.
const REPLICA_COUNT: usize = 2;
/// The time in which streams are collected before they are shared: a gateway that is killed takes those
/// that are not shared yet with it.
const SHARE_INTERVAL: Duration = Duration::from_millis(200);
/// The time in which lookups are collected: callers resume the streams of a crashed engine at once.
const LOOKUP_DELAY: Duration = Duration::from_millis(5);
/// The delay after which a caller may retry a stream that cannot be resumed. Only a new stream helps it.
const RETRY_AFTER: Duration = Duration::from_mins(2);

/// Starts the task that shares streams.
pub fn start(state: &Rc<State>) {
    state.spawn(share(state.clone()));
}

/// Restricts a request that resumes a stream to the service and the software version that began it.
///
/// # Errors
///
/// Returns the refusal if they are not known, or no engine of that version is registered.
pub async fn pin(state: &Rc<State>, call: &mut Call) -> Result<(), Outcome> {
    if !call.fields.is_resumption || !call.route.retry_policy.is_stream() {
        return Ok(());
    }
    let named = match &call.fields.resumes {
        Some(attempt) => locate(state, stream::key(attempt)).await,
        None => None,
    };
    let origin = named.or_else(|| sole_origin(state, call));
    let origin = origin.filter(|origin| {
        let mut targets = call.route.targets.iter();
        targets.any(|target| target.service == origin.service)
    });
    let fields = &call.fields;
    info!(
        event = "resumption", request = fields.attempt_id.as_str(), resumes:? = fields.resumes,
        last_event:? = fields.last_event_id,
        software:? = origin.as_ref().map(|origin| origin.software.as_str()); "stream to be resumed"
    );
    let Some(origin) = origin else {
        return Err(Outcome::refused("stream-unknown", RETRY_AFTER));
    };
    let engines = state.catalog.borrow().serving(&origin.service);
    if !engines
        .iter()
        .any(|engine| engine.software == origin.software)
    {
        return Err(Outcome::refused("no-engine-of-version", RETRY_AFTER));
    }
    call.service = origin.service;
    call.software = Some(origin.software);
    Ok(())
}

/// Returns the origin of a stream that no gateway knows, or whose caller does not name the attempt that began it: it
/// is known if the route has only one service, and that only one software version.
fn sole_origin(state: &State, call: &Call) -> Option<Origin> {
    if call.route.targets.len() > 1 {
        return None;
    }
    let catalog = state.catalog.borrow();
    let engines = catalog.endpoints();
    let current = engines
        .filter(|engine| engine.service == call.service)
        .map(|engine| engine.software.clone());
    let mut tracker = state.streams.tracker.borrow_mut();
    let software = tracker.sole_software(clock::now(), &call.service, current.collect())?;
    Some(Origin::new(&call.service, &software))
}

/// Records that an engine writes the first event of a stream.
pub fn began(state: &State, call: &Call, instance: &Instance) {
    let attempt = &call.fields.attempt_id;
    if attempt.is_empty() || call.route.retry_policy != RetryPolicy::ResumableStream {
        return;
    }
    let origin = Origin::new(&instance.service, &instance.software);
    let key = stream::key(attempt);
    let mut tracker = state.streams.tracker.borrow_mut();
    tracker.began(clock::now(), key, origin, &instance.id);
    state.streams.began.notify(usize::MAX);
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

/// Returns the origins of those streams that this gateway knows.
pub fn known(state: &State, keys: &[Key]) -> Batch {
    let mut tracker = state.streams.tracker.borrow_mut();
    let mut batch = Batch::new();
    for key in keys {
        if let Some(origin) = tracker.origin(clock::now(), *key) {
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
    let current = state.catalog.borrow().endpoint(&instance.id);
    let has_new_software = current.is_some_and(|current| current.software != instance.software);
    if has_new_software {
        tracker.restarted(now, &instance.id);
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

/// Returns the origin of a stream; asks the other gateways if this one does not know it.
async fn locate(state: &Rc<State>, key: Key) -> Option<Origin> {
    let streams = &state.streams;
    let origin = || {
        let mut tracker = streams.tracker.borrow_mut();
        tracker.origin(clock::now(), key).cloned()
    };
    if let Some(origin) = origin() {
        return Some(origin);
    }
    if streams.lookups.borrow_mut().insert(key) {
        streams.queued.borrow_mut().push(key);
        if streams.queued.borrow().len() == 1 {
            state.spawn(look_up(state.clone()));
        }
    }
    loop {
        let listener = streams.located.listen();
        let origin = origin();
        if origin.is_some() || !streams.lookups.borrow().contains(&key) {
            return origin;
        }
        listener.await;
    }
}

/// Asks the other gateways for the origins of streams.
async fn look_up(state: Rc<State>) {
    Timer::after(LOOKUP_DELAY).await;
    let streams = &state.streams;
    let keys = streams.queued.take();
    let asked = other_gateways(&state)
        .into_iter()
        .map(async |(_, address)| {
            let Ok(batch) = peer::locate_streams(&state, address, &keys).await else {
                return;
            };
            let mut tracker = streams.tracker.borrow_mut();
            for (origin, keys) in batch {
                for key in keys {
                    tracker.resumed(clock::now(), key, origin.clone());
                }
            }
            drop(tracker);
            streams.located.notify(usize::MAX);
            streams.began.notify(usize::MAX);
        });
    join_all(asked).await;
    for key in &keys {
        streams.lookups.borrow_mut().remove(key);
    }
    streams.located.notify(usize::MAX);
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
fn other_gateways(state: &State) -> Vec<(String, SocketAddr)> {
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
