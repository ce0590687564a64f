//! Applies the store's changes to the catalog and the claims.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::{Item, LARGE_VALUE_BYTES, Page};
use endivespur_core::gateway::ownership::Claim;
use endivespur_core::gateway::table::Table;
use endivespur_core::gateway::team::Teams;
use endivespur_platform::store::{self, Position};
use endivespur_platform::{document, registration};
use log::{debug, info, warn};

use crate::state::State;
use crate::{crash, member, origins, record, software, stream, telemetry};

/// How long the owners that have lost their claims may take to claim their engines again: a renewal of
/// the lease, a few calls, and the delays of their ranks.
const RECLAIM_TIME: Duration = Duration::from_millis(1500);

/// Applies changes; returns whether one of them is urgent and should reach followers at once.
///
/// Changes of the adapters that an endpoint holds are frequent and may be delayed. Changes of
/// whether it serves, of documents, of claims and of records of crashes are urgent.
pub fn apply(state: &Rc<State>, mut page: Page) -> bool {
    let is_new_era = enter_era(state, page.revision);
    origins::take(state, &mut page.items);
    let announces = !page.large.is_empty();
    keep_replaced(state, &page);
    let items = state.feed.borrow_mut().apply(page);
    let is_urgent = apply_items(state, &items);
    if announces {
        state.notify();
    }
    if is_new_era {
        recover(state);
    }
    is_urgent
}

/// Replaces the state by a listing of all keys.
pub fn replace(state: &Rc<State>, mut page: Page) {
    let is_new_era = enter_era(state, page.revision);
    origins::take(state, &mut page.items);
    keep_replaced(state, &page);
    let items = state.feed.borrow_mut().replace(page);
    apply_items(state, &items);
    if is_new_era {
        recover(state);
    }
}

/// Keeps the values that large ones are about to replace: other gateways still have them.
fn keep_replaced(state: &State, page: &Page) {
    let feed = state.feed.borrow();
    let is_large = |item: &&Item| item.value.as_ref().map_or(0, Vec::len) > LARGE_VALUE_BYTES;
    for item in page.items.iter().filter(is_large) {
        if let Some(known) = feed.get(&item.key)
            && known.revision < item.revision
            && let Some(value) = &known.value
        {
            state.values.replaced(&item.key, known.revision, value);
        }
    }
}

/// Notes that changes up to a position begin a new era of the store; returns whether they do.
fn enter_era(state: &State, position: Position) -> bool {
    let last = state.feed.borrow().revision();
    if last == 0 || store::era(position) <= store::era(last) {
        return false;
    }
    info!(
        event = "store-era", era = store::era(position), revision = store::revision(position),
        last_era = store::era(last), last_revision = store::revision(last);
        "store came back from a copy"
    );
    telemetry::era_entered();
    // The endpoints whose registrations are missing register again.
    state.catalog.borrow_mut().store_recovered(clock::now());
    true
}

/// Writes again what the store lost before its new era, and leaves the engines to their former owners for some time:
/// they claim them again, and some of them may not know yet that they have lost their claims.
fn recover(state: &Rc<State>) {
    record::write_again(state);
    origins::store_recovered(state);
    let delay = if state.settings.is_fencing_enforced {
        RECLAIM_TIME
    } else {
        member::LEASE_TTL
    };
    let mut claims = state.claims.borrow_mut();
    claims.hold(clock::now() + delay, &state.process);
}

fn apply_items(state: &State, items: &[Item]) -> bool {
    let mut is_urgent = false;
    for item in items {
        if item.key.starts_with(document::KEY_PREFIX) {
            apply_document(state, item);
        } else if item.key.starts_with(registration::KEY_PREFIX) {
            if !apply_registration(state, item) {
                continue;
            }
        } else if !record::apply(state, item)
            && !software::apply(state, item)
            && item.key.starts_with(member::KEY_PREFIX)
        {
            apply_member(state, item);
        }
        is_urgent = true;
        state.feed.borrow_mut().mark_urgent(item.revision);
    }
    if !items.is_empty() {
        state.notify();
    }
    is_urgent
}

fn apply_document(state: &State, item: &Item) {
    let Some(value) = &item.value else {
        info!(event = "document-removed", key = item.key.as_str(); "last value kept");
        return;
    };
    if item.key == document::CONFIG_KEY {
        match document::decode(value) {
            Ok(table) => {
                let version = table.version;
                let last = state.catalog.borrow().table();
                let body_limit = table.limits.body_bytes;
                let is_applied = state.catalog.borrow_mut().set_table(table);
                info!(
                    event = "configuration", version, revision = item.revision, outcome = is_applied,
                    source:? = state.source.borrow().as_ref();
                    "configuration read"
                );
                if is_applied {
                    log_teams(state, last.as_deref());
                    if last.is_none_or(|last| last.limits.body_bytes != body_limit) {
                        state.budget.check_body_limit(body_limit);
                    }
                    state.configured.notify(usize::MAX);
                }
            }
            Err(error) => {
                warn!(event = "configuration", revision = item.revision, outcome = false; "rejected: {error}");
            }
        }
    } else if item.key.starts_with(document::VERSION_KEY_PREFIX) {
        match document::decode_version(&item.key, value) {
            Ok((weights, version)) => {
                info!(
                    event = "version", adapter = weights.to_string(), version,
                    revision = item.revision; "new version"
                );
                state.owned_engines.announce(&weights, version);
                state.catalog.borrow_mut().set_version(weights, version);
            }
            Err(error) => warn!(event = "version", key = item.key.as_str(); "rejected: {error}"),
        }
    }
}

/// Logs the teams that a configuration adds, removes or gives other keys, so that the digest of a key leads to its team.
fn log_teams(state: &State, last: Option<&Table>) {
    let digests = |table: Option<&Table>| {
        let teams = table.and_then(|table| table.teams.as_ref());
        teams.map(Teams::digests).unwrap_or_default()
    };
    let current = state.catalog.borrow().table();
    let (last, current) = (digests(last), digests(current.as_deref()));
    let removed = last.keys().filter(|team| !current.contains_key(*team));
    for team in removed {
        info!(event = "team", team, present = false; "team removed");
    }
    for (team, keys) in &current {
        if last.get(team) != Some(keys) {
            info!(event = "team", team, present = true, keys = keys.join(","); "keys of a team");
        }
    }
}

/// Applies a registration; returns whether it changes which endpoints serve.
fn apply_registration(state: &State, item: &Item) -> bool {
    let now = clock::now();
    let id = item
        .key
        .strip_prefix(registration::KEY_PREFIX)
        .unwrap_or(&item.key);
    let Some(value) = &item.value else {
        stream::unregistered(state, id);
        let kept_ms = state.catalog.borrow().grace_left(now).as_millis() as u64;
        info!(
            event = "endpoint-gone", endpoint = id, revision = item.revision, kept_ms;
            "registration ended"
        );
        state.catalog.borrow_mut().remove_endpoint(now, id);
        return true;
    };
    match registration::decode(&item.key, value) {
        Ok(instance) => {
            let instance = state.catalog.borrow().apply_leaving(instance);
            let current = state.catalog.borrow().endpoint(id);
            let is_changed = current.is_none_or(|current| {
                current.started_ms != instance.started_ms
                    || current.is_draining != instance.is_draining
            });
            if is_changed {
                info!(
                    event = "endpoint", endpoint = id, service = instance.service.as_str(),
                    software = instance.software.as_str(), born = instance.started_ms,
                    leaving = instance.is_draining, revision = item.revision; "registration"
                );
            }
            stream::registered(state, &instance);
            if is_changed {
                crash::record_restart(state, id, instance.started_ms);
            }
            state.catalog.borrow_mut().set_endpoint(instance);
            is_changed
        }
        Err(error) => {
            warn!(event = "endpoint", endpoint = id, revision = item.revision; "unreadable registration: {error}");
            state.catalog.borrow_mut().remove_endpoint(now, id);
            true
        }
    }
}

fn apply_member(state: &State, item: &Item) {
    let now = clock::now();
    if let Some(vm) = item.key.strip_prefix(member::VM_KEY_PREFIX) {
        let peer = item.value.as_deref().and_then(member::decode_vm);
        info!(event = "vm", vm, present = peer.is_some(), revision = item.revision; "gateway");
        state.catalog.borrow_mut().set_peer(vm, peer);
    } else if let Some(vm) = item.key.strip_prefix(member::MARKER_KEY_PREFIX) {
        debug!(event = "marker", vm, present = item.value.is_some(), revision = item.revision; "marker of a gateway");
        let mut catalog = state.catalog.borrow_mut();
        catalog.set_marker(vm, item.value.is_some());
    } else if let Some(endpoint) = item.key.strip_prefix(member::CLAIM_KEY_PREFIX) {
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
        info!(event = "claim", endpoint, owner, fence = item.revision; "owner changed");
        state
            .claims
            .borrow_mut()
            .set(now, endpoint, item.revision, claim);
    } else if let Some(endpoint) = item.key.strip_prefix(member::HOLDER_KEY_PREFIX) {
        let vm = item.value.as_deref().map(String::from_utf8_lossy);
        let mut claims = state.claims.borrow_mut();
        claims.set_holder(now, endpoint, item.revision, vm.as_deref());
    }
}
