//! Keeps this gateway's marker in the store, by which its next process goes on with its shards of quotas.
//!
//! Without teams with quotas it makes no calls.

use std::rc::Rc;

use endivespur_clock as clock;
use endivespur_core::clock::scale;
use endivespur_core::gateway::lease::TRUSTED_SHARE;
use endivespur_core::gateway::quota::marker::{LEASE_TTL, Marker, Step};
use endivespur_core::id::Process;
use endivespur_platform::store::{self, Lease, Outcome, Position, Write};
use log::{info, warn};
use serde::{Deserialize, Serialize};

use crate::member::MARKER_KEY_PREFIX;
use crate::state::State;
use crate::{quota, telemetry, timer};

/// The position of a marker that is not there.
const ABSENT: Position = 0;

#[derive(Serialize, Deserialize)]
struct Record {
    process: Process,
    /// The store's era in which it was written: a copy of the store may bring back a marker that had ended.
    era: u64,
    /// The number of members for quotas that its writer knew.
    members: usize,
}

/// What this process has written: the lease, and the position of the marker.
type Written = (Lease, Position);

/// Starts the task that keeps the marker.
pub fn start(state: &Rc<State>) {
    state.spawn(keep(state.clone()));
}

async fn keep(state: Rc<State>) {
    let mut marker = Marker::new(&state.settings.vm, state.settings.is_first_start);
    let mut written: Written = (Lease::default(), 0);
    let mut is_failing = false;
    // A process that stops renews it until it accepts no more requests, so that its successor finds it after a usual stop.
    while !state.is_closing.get() {
        let changed = state.changed.listen();
        let regained = state.store_regained.listen();
        quota::synchronize(&state);
        let step = marker.next(clock::now(), &state.quotas.tracker.borrow());
        let result = match step {
            Step::Rest => {
                changed.await;
                continue;
            }
            Step::Wait(wait) => {
                if timer::within(wait, regained).await.is_some() {
                    marker.store_regained();
                }
                continue;
            }
            Step::Find => find(&state, &mut marker, &mut written).await,
            Step::Write => begin(&state, &mut marker, &mut written).await,
            Step::Rewrite => rewrite(&state, &mut marker, &mut written).await,
            Step::Renew => renew(&state, &mut marker, written.0).await,
        };
        if let Err(message) = &result {
            telemetry::store_failed("marker");
            if !is_failing {
                warn!(event = "marker", step:? = step; "{message}");
            }
            marker.failed(clock::now());
        }
        is_failing = result.is_err();
    }
}

/// Looks for the marker of the former process, and replaces it. It is read from the store, as a view of it may be late.
async fn find(state: &State, marker: &mut Marker, written: &mut Written) -> Result<(), String> {
    let key = key(state);
    telemetry::store_called("list", "marker");
    let page = state.store.list(&key).await;
    let page = page.map_err(|error| error.to_string())?;
    let former = page.items.into_iter().find(|item| item.key == key);
    let former = former.and_then(|item| {
        let record: Record = serde_json::from_slice(item.value.as_deref()?).ok()?;
        (record.era == store::era(item.revision)).then_some((item.revision, record.members))
    });
    let sent = clock::now();
    let replaced = match former {
        // The number of members is kept until it is known that this one replaces it.
        Some((at, members)) => {
            let written = write(state, at, members).await?;
            written.map(|written| (written, members))
        }
        None => None,
    };
    let Some((replacement, members)) = replaced else {
        if marker.is_held() {
            lapse(state, marker);
        } else {
            info!(event = "marker", state = "missed"; "shards settle");
            marker.missed();
        }
        return Ok(());
    };
    *written = replacement;
    marker.written(sent, members);
    let mut tracker = state.quotas.tracker.borrow_mut();
    let is_resumed = tracker.resume(clock::now(), members);
    let known = tracker.member_count();
    info!(event = "marker", state = "found", is_resumed, members, known; "replaced");
    Ok(())
}

/// Writes the marker for the first time, or after it has lapsed.
async fn begin(state: &State, marker: &mut Marker, written: &mut Written) -> Result<(), String> {
    let sent = clock::now();
    let members = state.quotas.tracker.borrow().member_count();
    // A call without a response may have written it, and must not write it again after a later one.
    let outcome = write(state, ABSENT, members).await;
    match &outcome {
        Ok(Some(position)) => {
            info!(event = "marker", state = "written", members; "all shards are lent");
            *written = *position;
            marker.written(sent, members);
        }
        Ok(None) | Err(_) => marker.seek(),
    }
    outcome.map(|_| ())
}

/// Writes the marker with another number of members under its lease.
async fn rewrite(state: &State, marker: &mut Marker, written: &mut Written) -> Result<(), String> {
    let members = state.quotas.tracker.borrow().member_count();
    let outcome = put(state, written.0, written.1, members).await;
    match outcome {
        Ok(Outcome::Written(position)) => {
            info!(event = "marker", state = "written", members; "other number of members");
            written.1 = position;
            marker.rewritten(members);
        }
        Ok(Outcome::NoLease) => lapse(state, marker),
        // Without a response, its position is not known.
        Ok(Outcome::Conflict) | Err(_) => marker.seek(),
    }
    outcome.map(|_| ())
}

/// Writes the marker under a new lease, in place of that at a position, or [`ABSENT`]; returns `None` if another one, or
/// none, is there.
async fn write(state: &State, former: Position, members: usize) -> Result<Option<Written>, String> {
    let sent = clock::now();
    telemetry::store_called("grant", "marker");
    let granted = state
        .store
        .grant(LEASE_TTL.max(state.settings.min_lease_ttl));
    let (lease, ttl) = granted.await.map_err(|error| error.to_string())?;
    let era = state.store.era();
    match put(state, lease, former, members).await? {
        Outcome::Written(position) if store::era(position) == era => {
            let mut tracker = state.quotas.tracker.borrow_mut();
            tracker.confirm_marker(sent + scale(ttl, TRUSTED_SHARE));
            Ok(Some((lease, position)))
        }
        Outcome::Conflict => Ok(None),
        outcome => Err(format!("not written: {outcome:?}")),
    }
}

async fn put(
    state: &State,
    lease: Lease,
    former: Position,
    members: usize,
) -> Result<Outcome, String> {
    let record = Record {
        process: state.process.clone(),
        era: state.store.era(),
        members,
    };
    let value = serde_json::to_vec(&record).map_err(|error| error.to_string())?;
    // If the former marker has ended meanwhile, others may have taken the shards over.
    let write = Write {
        expected: vec![(key(state), former)],
        puts: vec![(key(state), value)],
        lease,
        ..Write::default()
    };
    telemetry::store_called("write", "marker");
    let outcome = state.store.write(&write).await;
    outcome.map_err(|error| error.to_string())
}

async fn renew(state: &State, marker: &mut Marker, lease: Lease) -> Result<(), String> {
    let sent = clock::now();
    telemetry::store_called("renew", "marker");
    let is_renewed = state.store.renew(lease).await;
    if is_renewed.map_err(|error| error.to_string())? {
        marker.renewed(sent);
        let mut tracker = state.quotas.tracker.borrow_mut();
        tracker.confirm_marker(sent + scale(LEASE_TTL, TRUSTED_SHARE));
    } else {
        lapse(state, marker);
    }
    Ok(())
}

fn lapse(state: &State, marker: &mut Marker) {
    info!(event = "marker", state = "lapsed"; "shards settle");
    marker.lapsed();
    state.quotas.tracker.borrow_mut().lapsed(clock::now());
}

fn key(state: &State) -> String {
    format!("{MARKER_KEY_PREFIX}{}", state.settings.vm)
}
