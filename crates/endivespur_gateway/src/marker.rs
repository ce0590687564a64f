//! Keeps this gateway's marker in the store, by which its next process goes on with its shards of quotas.
//!
//! Without teams with quotas it makes no calls.

use std::rc::Rc;

use endivespur_clock as clock;
use endivespur_core::clock::{Time, scale};
use endivespur_core::gateway::lease::TRUSTED_SHARE;
use endivespur_core::gateway::quota::marker::{LEASE_TTL, Marker, Step};
use endivespur_core::id::Process;
use endivespur_platform::store::{self, Lease, Outcome, Position, Write};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::member::MARKER_KEY_PREFIX;
use crate::state::State;
use crate::{quota, telemetry};

#[derive(Serialize, Deserialize)]
struct Record {
    process: Process,
    /// The store's era in which it was written: a copy of the store may bring back a marker that had ended.
    era: u64,
}

/// Starts the task that keeps the marker.
pub fn start(state: &Rc<State>) {
    state.spawn(keep(state.clone()));
}

async fn keep(state: Rc<State>) {
    let mut marker = Marker::new(state.settings.is_first_start);
    let mut lease = Lease::default();
    let mut is_failing = false;
    loop {
        let changed = state.changed.listen();
        quota::synchronize(&state);
        let step = marker.next(clock::now(), &state.quotas.tracker.borrow());
        let result = match step {
            Step::Rest => {
                changed.await;
                continue;
            }
            Step::Wait(wait) => {
                Timer::after(wait).await;
                continue;
            }
            Step::Find => find(&state, &mut marker, &mut lease).await,
            Step::Write => write(&state, &mut marker, &mut lease, None).await,
            Step::Renew => renew(&state, &mut marker, lease).await,
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
async fn find(state: &State, marker: &mut Marker, lease: &mut Lease) -> Result<(), String> {
    let key = key(state);
    telemetry::store_called("list", "marker");
    let page = state.store.list(&key).await;
    let page = page.map_err(|error| error.to_string())?;
    let former = page.items.into_iter().find(|item| item.key == key);
    let former = former.and_then(|item| {
        let record: Record = serde_json::from_slice(item.value.as_deref()?).ok()?;
        (record.era == store::era(item.revision)).then_some(item.revision)
    });
    if former.is_some() {
        return write(state, marker, lease, former).await;
    }
    info!(event = "marker", state = "missed"; "shards settle");
    marker.missed();
    Ok(())
}

/// Writes the marker under a new lease, in place of that of the former process if its position is given.
async fn write(
    state: &State,
    marker: &mut Marker,
    lease: &mut Lease,
    former: Option<Position>,
) -> Result<(), String> {
    let sent = clock::now();
    telemetry::store_called("grant", "marker");
    let granted = state
        .store
        .grant(LEASE_TTL.max(state.settings.min_lease_ttl));
    let (id, ttl) = granted.await.map_err(|error| error.to_string())?;
    let record = Record {
        process: state.process.clone(),
        era: state.store.era(),
    };
    let value = serde_json::to_vec(&record).map_err(|error| error.to_string())?;
    // If the former marker has ended meanwhile, others may have taken the shards over.
    let write = Write {
        expected: former.map(|at| (key(state), at)).into_iter().collect(),
        puts: vec![(key(state), value)],
        lease: id,
        ..Write::default()
    };
    telemetry::store_called("write", "marker");
    let outcome = state.store.write(&write).await;
    match outcome.map_err(|error| error.to_string())? {
        Outcome::Written(position) if store::era(position) == record.era => {}
        Outcome::Conflict if former.is_some() => {
            info!(event = "marker", state = "missed"; "ended before it was replaced");
            marker.missed();
            return Ok(());
        }
        outcome => return Err(format!("not written: {outcome:?}")),
    }
    *lease = id;
    marker.renewed(sent);
    let mut tracker = state.quotas.tracker.borrow_mut();
    tracker.confirm(sent + scale(ttl, TRUSTED_SHARE));
    let marker_state = if former.is_some() {
        tracker.resume(clock::now());
        "resumed"
    } else {
        "written"
    };
    info!(event = "marker", state = marker_state, lease = id.id; "granted");
    Ok(())
}

async fn renew(state: &State, marker: &mut Marker, lease: Lease) -> Result<(), String> {
    let sent: Time = clock::now();
    telemetry::store_called("renew", "marker");
    let is_renewed = state.store.renew(lease).await;
    let mut tracker = state.quotas.tracker.borrow_mut();
    if is_renewed.map_err(|error| error.to_string())? {
        marker.renewed(sent);
        tracker.confirm(sent + scale(LEASE_TTL, TRUSTED_SHARE));
    } else {
        info!(event = "marker", state = "lapsed", lease = lease.id; "shards settle");
        marker.lapsed();
        tracker.lapsed(clock::now());
    }
    Ok(())
}

fn key(state: &State) -> String {
    format!("{MARKER_KEY_PREFIX}{}", state.settings.vm)
}
