//! Keeps the origins of streams in the store while a service has several software versions.
//!
//! Only the store outlasts all gateways. A few gateways, the keepers, write for all. Followers do not receive what they
//! write: a gateway that does not know a stream asks the others, of whom some watch the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::Item;
use endivespur_core::gateway::origins::{self, MAX_KEPT};
use endivespur_core::gateway::stream::Origin;
use endivespur_core::hash;
use endivespur_core::id::{Service, Vm};
use endivespur_platform::store::Outcome;
use log::{Level, debug, log, warn};
use smol::Timer;

use crate::state::State;
use crate::{peer, record};

/// The prefix of the keys of the streams that keepers write.
pub const KEY_PREFIX: &str = "endivespur/streams/";

/// The time in which streams are collected for a keeper: a loss of power takes those of this time.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two writes of a keeper: more writes cost more than the streams of this time.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the tasks that hand streams to keepers and write them.
pub fn start(state: &Rc<State>) {
    state.spawn(hand_over(state.clone()));
    state.spawn(write(state.clone()));
}

/// Takes the streams in the store out of some changes, and records them.
pub fn take(state: &State, items: &mut Vec<Item>) {
    let is_kept = |item: &mut Item| item.key.starts_with(KEY_PREFIX);
    let now = clock::now();
    for item in items.extract_if(.., is_kept) {
        // Streams are remembered for their own time, whether or not the key exists.
        let Some(value) = item.value else { continue };
        match origins::decode(&value) {
            Ok(batch) => {
                let mut tracker = state.streams.tracker.borrow_mut();
                for (origin, keys) in batch {
                    for key in keys {
                        tracker.stored(now, key, &origin);
                    }
                }
            }
            Err(error) => {
                warn!(event = "streams-kept", key = item.key.as_str(); "unreadable: {error}");
            }
        }
    }
}

/// Records that the store may have lost what this gateway wrote.
pub fn store_recovered(state: &State) {
    state.streams.ledger.borrow_mut().lost();
}

/// Hands the streams that this gateway began to a keeper.
async fn hand_over(state: Rc<State>) {
    loop {
        Timer::after(HAND_OVER_INTERVAL).await;
        let services = mixed_services(&state);
        if services.is_empty() {
            continue;
        }
        // A keeper writes its own streams with those that it receives.
        let address = match keeper(&state) {
            Some((vm, _)) if vm == state.settings.vm => None,
            Some((_, address)) => Some(address),
            None => continue,
        };
        let batch = state.streams.tracker.borrow_mut().take_unkept(&services);
        if let Some(address) = address
            && !batch.is_empty()
        {
            peer::streams_began(&state, address, &batch).await;
        }
    }
}

/// Writes the streams that this gateway knows, as long as it is a keeper.
async fn write(state: Rc<State>) {
    let ledger = &state.streams.ledger;
    let mut has_failed = false;
    loop {
        Timer::after(WRITE_INTERVAL).await;
        let services = mixed_services(&state);
        let is_keeper = || {
            let keepers = keepers(&state);
            keepers.iter().any(|(vm, _)| *vm == state.settings.vm)
        };
        // What failed or was lost is written again before more is added, which would replace older streams; also while
        // this VM is not registered.
        if !ledger.borrow().has_unwritten() && !services.is_empty() && is_keeper() {
            let mut tracker = state.streams.tracker.borrow_mut();
            let batch = tracker.take_unstored(&services, MAX_KEPT);
            ledger.borrow_mut().add(batch);
        }
        let slots = ledger.borrow_mut().take_unwritten();
        if slots.is_empty() {
            continue;
        }
        // A `#` would end the path of a call that names the key.
        let process = state.process.replace('#', ".");
        let puts = slots.iter().map(|(slot, batch)| {
            let value = origins::encode(batch)?;
            Ok((format!("{KEY_PREFIX}{process}/{slot}"), value))
        });
        let written = match puts.collect::<Result<Vec<_>, String>>() {
            Ok(puts) => record::write(&state, puts, Vec::new()).await,
            Err(error) => Err(error),
        };
        let count = slots.len();
        if matches!(written, Ok(Outcome::Written(_))) {
            debug!(event = "streams-kept", count; "written");
            has_failed = false;
            continue;
        }
        // While the store is unavailable, each write fails.
        let level = if has_failed {
            Level::Debug
        } else {
            Level::Warn
        };
        log!(level, event = "streams-kept", count; "not written: {written:?}");
        has_failed = true;
        ledger.borrow_mut().failed(slots.into_keys());
    }
}

/// Returns the services that have had several software versions recently.
fn mixed_services(state: &State) -> BTreeSet<Service> {
    let catalog = state.catalog.borrow();
    let current = catalog
        .endpoints()
        .map(|instance| Origin::new(&instance.service, &instance.software));
    let mut tracker = state.streams.tracker.borrow_mut();
    tracker.mixed_services(clock::now(), &current.collect())
}

/// Returns the keepers and their addresses.
fn keepers(state: &State) -> Vec<(Vm, SocketAddr)> {
    let catalog = state.catalog.borrow();
    let able = catalog.peers().filter(|(_, peer)| peer.keeps_streams);
    let keepers = origins::keepers(able.map(|(vm, _)| vm.clone()).collect());
    let addresses = keepers
        .into_iter()
        .filter_map(|vm| Some((vm.clone(), catalog.peer(&vm)?.address)));
    addresses.collect()
}

/// Returns the keeper to which this gateway hands its streams: itself if it is one.
fn keeper(state: &State) -> Option<(Vm, SocketAddr)> {
    let vm = &state.settings.vm;
    let mut keepers = keepers(state);
    if let Some(own) = keepers.iter().position(|(keeper, _)| keeper == vm) {
        return Some(keepers.swap_remove(own));
    }
    keepers.retain(|(_, address)| !state.peers.is_unresponsive(*address));
    hash::rank(vm, keepers, |(keeper, _)| keeper.as_str(), 1).pop()
}
