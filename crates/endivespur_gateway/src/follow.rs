//! Follows the platform's store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::ownership::Claim;
use endivespur_platform::store::{Change, Item};
use endivespur_platform::{document, registration};
use log::{info, warn};
use smol::Timer;

use crate::member;
use crate::state::State;
use crate::telemetry;

/// How long a watch waits for a change; with the time-out of a call this bounds how long a
/// silent connection goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The pause between two watches of registrations, so that one answer holds several.
const REGISTRATION_PAUSE: Duration = Duration::from_millis(400);

/// What stands below one prefix, and how it is applied.
struct Subject {
    prefix: &'static str,
    pause: Duration,
    apply: fn(&State, &Item),
}

/// Starts to follow the store.
pub fn start(state: &Rc<State>) {
    let subjects = [
        Subject {
            prefix: document::PREFIX,
            pause: Duration::ZERO,
            apply: apply_document,
        },
        Subject {
            prefix: registration::PREFIX,
            pause: REGISTRATION_PAUSE,
            apply: apply_registration,
        },
        Subject {
            prefix: member::PREFIX,
            pause: Duration::ZERO,
            apply: apply_member,
        },
    ];
    for subject in subjects {
        state.spawn(follow(state.clone(), subject));
    }
}

async fn follow(state: Rc<State>, subject: Subject) {
    let mut keys = BTreeSet::new();
    let mut is_lost = false;
    loop {
        let page = match state.store.list(subject.prefix).await {
            Ok(page) => page,
            Err(error) => {
                telemetry::store_failed("watch");
                if !is_lost {
                    warn!(event = "store-lost", prefix = subject.prefix; "{error}");
                }
                is_lost = true;
                Timer::after(RETRY_PAUSE).await;
                continue;
            }
        };
        if is_lost {
            is_lost = false;
            regained(&state, &subject);
        }
        let listed: BTreeSet<String> = page.items.iter().map(|item| item.key.clone()).collect();
        for key in keys.difference(&listed) {
            let gone = Item {
                key: String::clone(key),
                value: None,
                revision: page.revision,
                lease: 0,
            };
            (subject.apply)(&state, &gone);
        }
        page.items
            .iter()
            .for_each(|item| (subject.apply)(&state, item));
        keys = listed;
        state.notify();
        watch(&state, &subject, page.revision, &mut keys).await;
    }
}

fn regained(state: &State, subject: &Subject) {
    info!(event = "store-regained", prefix = subject.prefix; "store answers again");
    state.catalog.borrow_mut().store_returned(clock::now());
}

/// Applies changes until the history is no longer kept.
async fn watch(state: &State, subject: &Subject, from: u64, keys: &mut BTreeSet<String>) {
    let mut revision = from;
    let mut is_lost = false;
    loop {
        match state
            .store
            .watch(subject.prefix, revision, WATCH_WAIT)
            .await
        {
            Ok(Change::Changes(page)) => {
                if is_lost {
                    is_lost = false;
                    regained(state, subject);
                }
                for item in &page.items {
                    if item.value.is_some() {
                        keys.insert(item.key.clone());
                    } else {
                        keys.remove(&item.key);
                    }
                    (subject.apply)(state, item);
                }
                revision = revision.max(page.revision);
                if !page.items.is_empty() {
                    state.notify();
                    Timer::after(subject.pause).await;
                }
            }
            Ok(Change::Compacted) => {
                info!(event = "store-compacted", prefix = subject.prefix, revision; "listing again");
                return;
            }
            Err(error) => {
                telemetry::store_failed("watch");
                if !is_lost {
                    warn!(event = "store-lost", prefix = subject.prefix; "{error}");
                }
                is_lost = true;
                Timer::after(RETRY_PAUSE).await;
            }
        }
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
