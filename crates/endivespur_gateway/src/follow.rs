//! Follows the platform's store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::ownership::Claim;
use endivespur_platform::store::{self, Change, Item};
use endivespur_platform::{document, registration};
use log::{info, warn};
use smol::Timer;

use crate::member;
use crate::state::State;
use crate::telemetry;

/// The part of the time after which a VM counts as undisturbed again that is left to notice a
/// silent connection and to list anew; a watch waits for the rest.
const RECOVERY_TIME: Duration = Duration::from_millis(1200);
/// The shortest wait of a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The prefix of all keys.
const EVERYTHING: &str = "";
/// The shortest pause after changes of registrations only.
const MIN_PAUSE: Duration = Duration::from_millis(400);
/// The pause after other changes: where a lease has ended, claims follow.
const SHORT_PAUSE: Duration = Duration::from_millis(50);
/// What each VM adds to that pause: the calls of all together stay about the same.
const PAUSE_PER_VM: Duration = Duration::from_millis(50);
/// The longest share of the time in which a leaving endpoint must stop getting work that the
/// pause may take.
const MAX_PAUSE_SHARE: f64 = 0.4;

/// Starts to follow the store.
pub fn start(state: &Rc<State>) {
    state.spawn(follow(state.clone()));
}

/// Lists all keys and follows their changes, over and over.
///
/// One watch covers documents, registrations and this project's own keys: each VM's calls
/// are paid for, a waiting one too.
async fn follow(state: Rc<State>) {
    let mut keys = BTreeSet::new();
    loop {
        let page = match state.store.list(EVERYTHING).await {
            Ok(page) => page,
            Err(error) => {
                lost(&state, &error);
                Timer::after(RETRY_PAUSE).await;
                continue;
            }
        };
        regained(&state);
        let listed: BTreeSet<String> = page.items.iter().map(|item| item.key.clone()).collect();
        for key in keys.difference(&listed) {
            let gone = Item {
                key: String::clone(key),
                value: None,
                revision: page.revision,
                lease: 0,
            };
            apply(&state, &gone);
        }
        for item in &page.items {
            apply(&state, item);
        }
        keys = listed;
        state.notify();
        watch(&state, page.revision, &mut keys).await;
    }
}

/// Notes that the store did not answer.
fn lost(state: &State, error: &store::Error) {
    telemetry::store_failed("watch");
    if state.store_lost.get().is_none() {
        warn!(event = "store-lost"; "{error}");
        state.store_lost.set(Some(clock::now()));
    }
}

/// Notes that the store has answered.
fn regained(state: &State) {
    if let Some(since) = state.store_lost.take() {
        let now = clock::now();
        let age_ms = now.saturating_sub(since).as_millis() as u64;
        info!(event = "store-regained", age_ms; "store answers again");
        state.catalog.borrow_mut().store_returned(now);
    }
}

/// Applies changes until the history is no longer kept.
async fn watch(state: &State, from: u64, keys: &mut BTreeSet<String>) {
    let mut revision = from;
    let wait = state.settings.stable_time.saturating_sub(RECOVERY_TIME);
    let wait = wait.max(MIN_WATCH_WAIT);
    loop {
        match state.store.watch(EVERYTHING, revision, wait).await {
            Ok(Change::Changes(page)) => {
                regained(state);
                for item in &page.items {
                    if item.value.is_some() {
                        keys.insert(item.key.clone());
                    } else {
                        keys.remove(&item.key);
                    }
                    apply(state, item);
                }
                revision = revision.max(page.revision);
                if !page.items.is_empty() {
                    state.notify();
                    Timer::after(pause(state, &page.items)).await;
                }
            }
            Ok(Change::Compacted) => {
                info!(event = "store-compacted", revision; "listing again");
                return;
            }
            Err(error) => {
                lost(state, &error);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the pause between two watches, in which changes are gathered.
fn pause(state: &State, items: &[Item]) -> Duration {
    let is_routine = |item: &Item| item.key.starts_with(registration::PREFIX);
    if !items.iter().all(is_routine) {
        return SHORT_PAUSE;
    }
    let vms = state.catalog.borrow().peers().count() as u32;
    let longest = state.settings.leave_bound.mul_f64(MAX_PAUSE_SHARE);
    (PAUSE_PER_VM * vms).max(MIN_PAUSE).min(longest)
}

fn apply(state: &State, item: &Item) {
    if item.key.starts_with(document::PREFIX) {
        apply_document(state, item);
    } else if item.key.starts_with(registration::PREFIX) {
        apply_registration(state, item);
    } else if item.key.starts_with(member::PREFIX) {
        apply_member(state, item);
    }
}

fn apply_document(state: &State, item: &Item) {
    let Some(value) = &item.value else {
        info!(event = "document-removed", key = item.key.as_str(); "kept as it was");
        return;
    };
    if item.key == document::CONFIG {
        match document::decode(value) {
            Ok(table) => {
                let version = table.version;
                let is_taken = state.catalog.borrow_mut().set_table(table);
                info!(
                    event = "configuration", version, revision = item.revision, outcome = is_taken;
                    "configuration read"
                );
            }
            Err(error) => {
                warn!(event = "configuration", revision = item.revision; "unreadable: {error}");
            }
        }
    } else if item.key.starts_with(document::VERSIONS) {
        match document::decode_version(value) {
            Ok((weights, version)) => {
                info!(
                    event = "version", adapter = weights.to_string(), version,
                    revision = item.revision; "new version"
                );
                state.owners.announce(&weights, version);
                state.catalog.borrow_mut().set_version(weights, version);
            }
            Err(error) => warn!(event = "version", key = item.key.as_str(); "unreadable: {error}"),
        }
    }
}

fn apply_registration(state: &State, item: &Item) {
    let now = clock::now();
    let id = item
        .key
        .strip_prefix(registration::PREFIX)
        .unwrap_or(&item.key);
    let Some(value) = &item.value else {
        info!(event = "endpoint-gone", endpoint = id, revision = item.revision; "registration ended");
        state.catalog.borrow_mut().remove_endpoint(now, id);
        return;
    };
    match registration::decode(&item.key, value) {
        Ok(instance) => {
            let known = state.catalog.borrow().endpoint(id);
            let is_news = known.is_none_or(|known| {
                known.born != instance.born || known.is_leaving != instance.is_leaving
            });
            if is_news {
                info!(
                    event = "endpoint", endpoint = id, service = instance.service.as_str(),
                    leaving = instance.is_leaving, revision = item.revision; "registration"
                );
            }
            state.catalog.borrow_mut().set_endpoint(instance);
        }
        Err(error) => {
            warn!(event = "endpoint", endpoint = id, revision = item.revision; "skipped: {error}");
            state.catalog.borrow_mut().remove_endpoint(now, id);
        }
    }
}

fn apply_member(state: &State, item: &Item) {
    let now = clock::now();
    if let Some(vm) = item.key.strip_prefix(member::VM_PREFIX) {
        let peer = item.value.as_deref().and_then(member::decode_vm);
        info!(event = "vm", vm, present = peer.is_some(), revision = item.revision; "gateway");
        state.catalog.borrow_mut().set_peer(vm, peer);
    } else if let Some(endpoint) = item.key.strip_prefix(member::CLAIM_PREFIX) {
        let claim = item
            .value
            .as_deref()
            .and_then(member::decode_claim)
            .map(|(vm, process)| Claim {
                vm,
                process,
                fence: item.revision,
            });
        let owner = claim.as_ref().map_or("none", |claim| claim.vm.as_str());
        info!(event = "claim", endpoint, owner, fence = item.revision; "owner");
        state
            .claims
            .borrow_mut()
            .set(now, endpoint, item.revision, claim);
    }
}
