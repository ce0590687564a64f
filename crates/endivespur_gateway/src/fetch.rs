//! Fetches the large values that have changed: from other gateways, or from the store if none of them has them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::feed::{Change, Item, Page};
use endivespur_core::gateway::source::{Selector, Source};
use endivespur_core::gateway::transfer::{Packed, Transfer};
use endivespur_core::id::Vm;
use log::{debug, info, warn};
use smol::Timer;

use crate::message::Update;
use crate::state::State;
use crate::values::Answer;
use crate::{apply, pack, peer, telemetry};

/// The number of gateways that are asked for a value in a round.
const CANDIDATES_PER_ROUND: usize = 6;
/// The number of rounds before the store is asked, which would send the whole value.
const ROUNDS_BEFORE_STORE: usize = 3;
/// The pause after a round in which no gateway had the value.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Starts the task that fetches large values.
pub fn start(state: &Rc<State>) {
    state.spawn(fetch_missing(state.clone()));
}

async fn fetch_missing(state: Rc<State>) {
    let mut transfers: BTreeMap<String, Transfer> = BTreeMap::new();
    loop {
        let listener = state.changed.listen();
        let missing = state.feed.borrow().missing().clone();
        transfers.retain(|key, _| missing.contains_key(key));
        if missing.is_empty() {
            listener.await;
        }
        for key in missing.into_keys() {
            let transfer = transfers.entry(key.clone()).or_default();
            fetch(&state, &key, transfer).await;
        }
    }
}

/// Asks gateways in rounds, and then the store, until a value is no longer missing.
async fn fetch(state: &Rc<State>, key: &str, transfer: &mut Transfer) {
    let started = clock::now();
    for round in 0.. {
        for vm in candidates(state, round) {
            let Some(revision) = state.feed.borrow().missing().get(key).copied() else {
                return;
            };
            if let Some(item) = receive(state, &vm, key, revision, transfer, started).await {
                apply_item(state, item);
                return;
            }
        }
        if round >= ROUNDS_BEFORE_STORE
            && (read_from_store(state, key).await || read_from_older(state, key).await)
        {
            return;
        }
        Timer::after(ROUND_PAUSE).await;
    }
}

/// Returns the gateways to ask in a round: the one that this gateway follows, and others.
fn candidates(state: &State, round: usize) -> Vec<Vm> {
    let selector = Selector::new(&state.settings.vm, &state.settings.zone);
    let others = selector.all(&state.catalog.borrow().gateways());
    let source = state.source.borrow().clone();
    let source = source.and_then(|source| match source {
        Source::Vm(vm) => Some(vm),
        Source::Store => None,
    });
    let others = others.into_iter().filter(|vm| source.as_ref() != Some(vm));
    let others: Vec<Vm> = others.collect();
    let count = others.len();
    let others = others
        .into_iter()
        .cycle()
        .skip(round * CANDIDATES_PER_ROUND)
        .take(CANDIDATES_PER_ROUND.min(count));
    source.iter().cloned().chain(others).collect()
}

/// Requests the pieces that are left of a value from a gateway; returns the value once it is complete. `started` is when
/// the value was requested first.
pub async fn receive(
    state: &Rc<State>,
    vm: &str,
    key: &str,
    revision: u64,
    transfer: &mut Transfer,
    started: Time,
) -> Option<Item> {
    let (packed, bytes) = receive_packed(state, vm, key, revision, transfer).await?;
    let item = unpack(state, key, packed, &bytes)?;
    info!(
        event = "large-value", key, revision = item.revision, from = vm,
        bytes = item.value.as_deref().map_or(0, <[u8]>::len), packed_bytes = packed.size,
        took_ms = clock::now().saturating_sub(started).as_millis() as u64; "received"
    );
    Some(item)
}

/// Requests the pieces that are left of a value from a gateway; returns the packed value once it is complete.
async fn receive_packed(
    state: &Rc<State>,
    vm: &str,
    key: &str,
    revision: u64,
    transfer: &mut Transfer,
) -> Option<(Packed, Vec<u8>)> {
    let address = state.catalog.borrow().peer(vm)?.address;
    let base = state.feed.borrow().get(key).map_or(0, |item| item.revision);
    loop {
        let answer = peer::value(state, address, key, revision, base, transfer.offset()).await;
        match answer {
            Ok(Answer::Piece(packed, bytes)) => {
                telemetry::value_received("gateway", bytes.len());
                let is_empty = bytes.is_empty();
                let complete = transfer.add(packed, &bytes);
                if complete.is_some() {
                    return complete;
                }
                if is_empty && transfer.offset() > 0 {
                    warn!(event = "large-value", key, from = vm; "empty piece");
                    *transfer = Transfer::new();
                    return None;
                }
            }
            Ok(Answer::Busy(wait)) => {
                debug!(event = "large-value", key, from = vm, wait_ms = wait.as_millis() as u64; "busy");
                return None;
            }
            Ok(Answer::Missing) => return None,
            Err(peer::Unresponsive) => {
                info!(event = "large-value", key, from = vm, offset = transfer.offset(); "no piece");
                return None;
            }
        }
    }
}

fn unpack(state: &State, key: &str, packed: Packed, bytes: &[u8]) -> Option<Item> {
    let feed = state.feed.borrow();
    let base = match packed.base {
        0 => Some(Vec::new()),
        base => feed
            .get(key)
            .filter(|item| item.revision == base)
            .and_then(|item| item.value.clone()),
    };
    let Some(base) = base else {
        warn!(event = "large-value", key, base = packed.base; "packed against another value");
        return None;
    };
    let value = pack::unpack(&base, bytes)
        .inspect_err(|error| warn!(event = "large-value", key; "not unpacked: {error}"))
        .ok()?;
    Some(Item {
        key: key.to_string(),
        value: Some(value),
        revision: packed.revision,
    })
}

/// Reads a value from the store; returns whether the store responded.
async fn read_from_store(state: &Rc<State>, key: &str) -> bool {
    let started = clock::now();
    telemetry::store_called("list", "large-value");
    let page = match state.store.list(key).await {
        Ok(page) => page,
        Err(error) => {
            telemetry::store_failed("read");
            info!(event = "large-value", key; "value not read: {error}");
            return false;
        }
    };
    let item = page.items.into_iter().find(|item| item.key == key);
    let item = item.unwrap_or_else(|| Item {
        key: key.to_string(),
        value: None,
        revision: page.revision,
    });
    let bytes = item.value.as_deref().map_or(0, <[u8]>::len);
    telemetry::value_received("store", bytes);
    info!(
        event = "large-value", key, revision = item.revision, from = "store", bytes,
        took_ms = clock::now().saturating_sub(started).as_millis() as u64; "received"
    );
    apply_item(state, item);
    true
}

/// Reads a value from a gateway of an older release, which sends it whole; returns whether one had it.
async fn read_from_older(state: &Rc<State>, key: &str) -> bool {
    let peers: Vec<_> = {
        let catalog = state.catalog.borrow();
        let addresses = catalog.peers().map(|(vm, peer)| (vm.clone(), peer.address));
        addresses
            .filter(|(_, address)| state.peers.is_older(*address))
            .collect()
    };
    let complete = state.feed.borrow().complete_revision();
    for (vm, address) in peers {
        let update = peer::whole_changes(state, address, complete).await;
        if let Ok(Update::Changes(Change::Changes(page), _)) = update
            && let Some(item) = page.items.into_iter().find(|item| item.key == key)
        {
            let bytes = item.value.as_deref().map_or(0, <[u8]>::len);
            telemetry::value_received("gateway", bytes);
            info!(event = "large-value", key, revision = item.revision, from = vm.as_str(), bytes; "received whole");
            apply_item(state, item);
            return true;
        }
    }
    false
}

fn apply_item(state: &Rc<State>, item: Item) {
    let page = Page {
        items: vec![item],
        ..Page::default()
    };
    apply::apply(state, page);
}
