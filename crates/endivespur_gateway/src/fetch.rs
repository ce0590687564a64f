//! Reads the large values that have changed, while small changes go on: from the store, or from the gateway that this
//! one follows.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::{Change, Item, Page};
use endivespur_core::gateway::source::Source;
use log::info;
use smol::Timer;

use crate::message::Update;
use crate::state::State;
use crate::{apply, peer, telemetry};

/// The pause after neither the store nor a gateway had a value.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Starts the task that fetches large values.
pub fn start(state: &Rc<State>) {
    state.spawn(fetch_missing(state.clone()));
}

async fn fetch_missing(state: Rc<State>) {
    loop {
        let listener = state.changed.listen();
        let missing = state.feed.borrow().missing().clone();
        if missing.is_empty() {
            listener.await;
        }
        for key in missing.into_keys() {
            fetch(&state, &key).await;
        }
    }
}

/// Asks the store and the gateway that this one follows until a value is no longer missing.
async fn fetch(state: &Rc<State>, key: &str) {
    while state.feed.borrow().missing().contains_key(key) {
        if read_from_store(state, key).await || read_from_source(state, key).await {
            return;
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Reads a value from the store; returns whether the store responded.
async fn read_from_store(state: &Rc<State>, key: &str) -> bool {
    let started = clock::now();
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

/// Reads a value from the gateway that this one follows, which sends it whole; returns whether it had the value.
async fn read_from_source(state: &Rc<State>, key: &str) -> bool {
    let source = state.source.borrow().clone();
    let Some(Source::Vm(vm)) = source else {
        return false;
    };
    let address = state.catalog.borrow().peer(&vm).map(|peer| peer.address);
    let Some(address) = address else {
        return false;
    };
    let complete = state.feed.borrow().complete_revision();
    let update = peer::whole_changes(state, address, complete).await;
    if let Ok(Update::Changes(Change::Changes(page), _)) = update
        && let Some(item) = page.items.into_iter().find(|item| item.key == key)
    {
        let bytes = item.value.as_deref().map_or(0, <[u8]>::len);
        telemetry::value_received("gateway", bytes);
        info!(event = "large-value", key, revision = item.revision, from = vm.as_str(), bytes; "received");
        apply_item(state, item);
        return true;
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
