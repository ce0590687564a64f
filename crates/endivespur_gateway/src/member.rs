//! This VM's lease and its claims of engines.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::ownership::{Claim, Decision};
use endivespur_core::id::{Endpoint, Fence, Process, Vm};
use endivespur_platform::store::{Outcome, Write};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::catalog::Peer;
use crate::state::State;
use crate::{telemetry, timer};

/// The prefix of this project's keys in the store.
pub const PREFIX: &str = "endivespur/";
/// The prefix of the VMs' keys.
pub const VM_PREFIX: &str = "endivespur/vm/";
/// The prefix of the claims' keys.
pub const CLAIM_PREFIX: &str = "endivespur/claim/";

/// The lease's time to live: how long engines of a VM that fell silent have no owner.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// The time between renewals; three may fail before the lease lapses.
const RENEW_EVERY: Duration = Duration::from_millis(600);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The claims written in one call; a call holds at most 32 rows.
const MAX_CLAIMS: usize = 16;
/// The longest time between two looks at the claims.
const CLAIM_EVERY: Duration = Duration::from_millis(500);
/// The pause of a watcher beyond which the process is taken to have been suspended.
const SUSPENDED: Duration = Duration::from_millis(700);

#[derive(Serialize, Deserialize)]
struct VmRecord {
    process: Process,
    address: std::net::SocketAddr,
    zone: String,
}

#[derive(Serialize, Deserialize)]
struct ClaimRecord {
    vm: Vm,
    process: Process,
}

/// Decodes a VM's record.
pub fn decode_vm(value: &[u8]) -> Option<Peer> {
    let record: VmRecord = serde_json::from_slice(value)
        .inspect_err(|error| warn!(event = "vm"; "unreadable record: {error}"))
        .ok()?;
    Some(Peer {
        process: record.process,
        address: record.address,
        zone: record.zone,
    })
}

/// Decodes a claim's record.
pub fn decode_claim(value: &[u8]) -> Option<(Vm, Process)> {
    let record: ClaimRecord = serde_json::from_slice(value)
        .inspect_err(|error| warn!(event = "claim"; "unreadable record: {error}"))
        .ok()?;
    Some((record.vm, record.process))
}

/// Returns the fencing number under which this process may order an engine, if it may.
pub fn fence(state: &State, endpoint: &str) -> Option<Fence> {
    let lease = state.lease.borrow();
    if state.is_stopping.get()
        || !lease.permits_orders(clock::now(), state.settings.is_fencing_enforced)
    {
        return None;
    }
    let claims = state.claims.borrow();
    let claim = claims.get(endpoint)?;
    (claim.process == state.process).then_some(claim.fence)
}

/// Starts to keep the lease and to claim engines.
pub fn start(state: &Rc<State>) {
    state.spawn(keep(state.clone()));
    state.spawn(claim(state.clone()));
    state.spawn(watch_suspension(state.clone()));
}

/// Ends the lease, so that other VMs take the engines over at once.
pub async fn leave(state: &State) {
    let id = state.lease.borrow_mut().id.take();
    if let Some(id) = id
        && let Err(error) = state.store.revoke(id).await
    {
        warn!(event = "lease"; "not ended: {error}");
    }
}

/// Doubts the lease after a suspension, which the steady clock does not count.
async fn watch_suspension(state: Rc<State>) {
    let mut last = clock::now();
    loop {
        Timer::after(Duration::from_millis(100)).await;
        let now = clock::now();
        if now.saturating_sub(last) > SUSPENDED {
            warn!(event = "suspended", gap_ms = now.saturating_sub(last).as_millis() as u64; "lease in doubt");
            state.lease.borrow_mut().is_doubtful = true;
        }
        last = now;
    }
}

async fn keep(state: Rc<State>) {
    let mut is_failing = false;
    while !state.is_stopping.get() {
        let sent = clock::now();
        let id = state.lease.borrow().id;
        let result = match id {
            Some(id) => renew(&state, id, sent).await,
            None => join(&state, sent).await,
        };
        match result {
            Ok(()) => {
                is_failing = false;
                Timer::after(RENEW_EVERY).await
            }
            Err(message) => {
                telemetry::store_failed("lease");
                if !is_failing {
                    warn!(event = "lease"; "not renewed: {message}");
                }
                is_failing = true;
                Timer::after(RETRY_PAUSE).await
            }
        };
    }
}

async fn renew(state: &State, id: u64, sent: Time) -> Result<(), String> {
    let is_kept = state
        .store
        .renew(id)
        .await
        .map_err(|error| error.to_string())?;
    if is_kept {
        if state.lease.borrow().id == Some(id) {
            state.lease.borrow_mut().renewed(id, sent, LEASE_TTL);
        }
        return Ok(());
    }
    info!(event = "lease-lapsed", lease = id; "claims have ended");
    state.lease.borrow_mut().end();
    let now = clock::now();
    let own: Vec<Endpoint> = {
        let claims = state.claims.borrow();
        let own = claims
            .iter()
            .filter(|(_, claim)| claim.process == state.process);
        own.map(|(endpoint, _)| endpoint.clone()).collect()
    };
    for endpoint in own {
        state
            .claims
            .borrow_mut()
            .set(now, &endpoint, Fence::MAX, None);
    }
    state.notify();
    Box::pin(join(state, sent)).await
}

/// Gets a lease and writes this VM's record under it.
async fn join(state: &State, sent: Time) -> Result<(), String> {
    let ttl = LEASE_TTL.max(state.settings.min_lease_ttl);
    let (id, ttl) = state
        .store
        .grant(ttl)
        .await
        .map_err(|error| error.to_string())?;
    let record = VmRecord {
        process: state.process.clone(),
        address: state.settings.peer_address,
        zone: state.settings.zone.clone(),
    };
    let value = serde_json::to_vec(&record).map_err(|error| error.to_string())?;
    let write = Write {
        expected: Vec::new(),
        puts: vec![(format!("{VM_PREFIX}{}", state.settings.vm), value)],
        lease: id,
    };
    let outcome = state
        .store
        .write(&write)
        .await
        .map_err(|error| error.to_string())?;
    if !matches!(outcome, Outcome::Written(_)) {
        return Err(format!("record not written: {outcome:?}"));
    }
    info!(event = "lease", lease = id; "granted");
    state.lease.borrow_mut().renewed(id, sent, ttl);
    state.notify();
    Ok(())
}

async fn claim(state: Rc<State>) {
    while !state.is_stopping.get() {
        let listener = state.changed.listen();
        let next = claim_unowned(&state).await;
        let now = clock::now();
        let wait = next.map_or(CLAIM_EVERY, |at| at.saturating_sub(now).min(CLAIM_EVERY));
        timer::within(wait.max(Duration::from_millis(10)), listener).await;
    }
}

/// Claims the engines that this VM should own; returns when to look again.
async fn claim_unowned(state: &Rc<State>) -> Option<Time> {
    let lease = state.lease.borrow().id?;
    let now = clock::now();
    let mut next: Option<Time> = None;
    let mut due: Vec<(Endpoint, Fence)> = Vec::new();
    {
        let catalog = state.catalog.borrow();
        let table = catalog.table()?;
        let mut claims = state.claims.borrow_mut();
        claims.retain(|endpoint| catalog.endpoint(endpoint).is_some());
        let engines = catalog.endpoints().filter(|instance| {
            let group = table.services.get(&instance.service);
            group.is_some_and(|group| group.engine.is_some())
        });
        for engine in engines {
            let own = (state.settings.vm.as_str(), state.process.as_str());
            let vms = catalog.peers().map(|(vm, _)| vm.as_str());
            match claims.decide(now, &engine.id, own, vms) {
                Decision::Claim(fence) => due.push((engine.id.clone(), fence)),
                Decision::Wait(at) => next = Some(next.map_or(at, |next| next.min(at))),
                Decision::Owned => {}
            }
        }
    }
    for batch in due.chunks(MAX_CLAIMS) {
        if !write_claims(state, lease, batch).await {
            // Another VM was faster, or the store is away: the watch will tell.
            return Some(clock::now() + RETRY_PAUSE);
        }
    }
    next
}

async fn write_claims(state: &State, lease: u64, batch: &[(Endpoint, Fence)]) -> bool {
    let record = ClaimRecord {
        vm: state.settings.vm.clone(),
        process: state.process.clone(),
    };
    let value = match serde_json::to_vec(&record) {
        Ok(value) => value,
        Err(error) => {
            warn!(event = "claim"; "not encoded: {error}");
            return false;
        }
    };
    let key = |endpoint: &str| format!("{CLAIM_PREFIX}{endpoint}");
    let write = Write {
        expected: batch
            .iter()
            .map(|(endpoint, fence)| (key(endpoint), *fence))
            .collect(),
        puts: batch
            .iter()
            .map(|(endpoint, _)| (key(endpoint), value.clone()))
            .collect(),
        lease,
    };
    match state.store.write(&write).await {
        Ok(Outcome::Written(fence)) => {
            let now = clock::now();
            for (endpoint, _) in batch {
                info!(event = "claimed", endpoint = endpoint.as_str(), fence; "own engine");
                let claim = Claim {
                    vm: state.settings.vm.clone(),
                    process: state.process.clone(),
                    fence,
                };
                state
                    .claims
                    .borrow_mut()
                    .set(now, endpoint, fence, Some(claim));
            }
            state.notify();
            true
        }
        Ok(outcome) => {
            info!(event = "claim", outcome:? = outcome, count = batch.len(); "not claimed");
            false
        }
        Err(error) => {
            telemetry::store_failed("claim");
            warn!(event = "claim", count = batch.len(); "{error}");
            false
        }
    }
}
