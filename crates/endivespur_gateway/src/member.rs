//! Keeps this VM's lease and claims engines for it.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::{Time, scale};
use endivespur_core::gateway::lease::TRUSTED_SHARE;
use endivespur_core::gateway::ownership::{Claim, Decision};
use endivespur_core::id::{Endpoint, Fence, Process, Vm};
use endivespur_platform::store::{Lease, Outcome, Write};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::future::FutureExt;

use crate::catalog::{FORWARD_VERSION_WITH_STARTS, Peer};
use crate::state::State;
use crate::{telemetry, timer};

/// The prefix of this project's keys in the store.
pub const KEY_PREFIX: &str = "endivespur/";
/// The prefix of the keys of VM records.
pub const VM_KEY_PREFIX: &str = "endivespur/vm/";
/// The prefix of the keys of markers for quotas.
pub const MARKER_KEY_PREFIX: &str = "endivespur/quota/";
/// The prefix of the keys of claims.
pub const CLAIM_KEY_PREFIX: &str = "endivespur/claim/";
/// The prefix of the keys that name the last holders of engines that accept stale fencing numbers. They have no lease.
pub const HOLDER_KEY_PREFIX: &str = "endivespur/holder/";

/// The lease's time to live: for this long, the engines of a VM that stops responding have no
/// working owner.
pub const LEASE_TTL: Duration = Duration::from_secs(2);
/// The time between renewals; two more are made before the lease expires if one fails.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// How long a renewal may take before another one is sent beside it: its response may be lost.
const RENEW_PATIENCE: Duration = Duration::from_millis(300);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The pause after a failed call for a lease that has expired, or was never granted: the engines have other owners by
/// then, or the store is away for all.
const LAPSED_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// The maximum number of claims written in one call: a call holds at most 32 rows, and each claim
/// takes an expected revision and a put.
const MAX_CLAIMS_PER_CALL: usize = 16;
/// The same where each claim also takes two rows for its holder.
const MAX_HELD_CLAIMS_PER_CALL: usize = 7;
/// The maximum number of holders of engines that are gone whose records a call removes, beside claims.
const MAX_STALE_HOLDERS_PER_CALL: usize = 2;
/// The maximum time between two checks of the claims.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);
/// The gap between two checks above which the process is assumed to have been suspended.
const SUSPENSION_GAP: Duration = Duration::from_millis(700);

#[derive(Serialize, Deserialize)]
struct ClaimRecord {
    vm: Vm,
    process: Process,
}

/// Decodes a VM's record.
pub fn decode_vm(value: &[u8]) -> Option<Peer> {
    serde_json::from_slice(value)
        .inspect_err(|error| warn!(event = "vm"; "unreadable record: {error}"))
        .ok()
}

/// Decodes a claim's record.
pub fn decode_claim(value: &[u8]) -> Option<(Vm, Process)> {
    let record: ClaimRecord = serde_json::from_slice(value)
        .inspect_err(|error| warn!(event = "claim"; "unreadable record: {error}"))
        .ok()?;
    Some((record.vm, record.process))
}

/// Returns the fencing number with which this process may send orders to an engine, if it may.
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

/// Starts the tasks that keep the lease and claim engines.
pub fn start(state: &Rc<State>) {
    state.spawn(keep_lease(state.clone()));
    state.spawn(claim_engines(state.clone()));
    state.spawn(detect_suspension(state.clone()));
}

/// Revokes the lease, so that other VMs take the engines over at once.
pub async fn revoke_lease(state: &State) {
    let id = state.lease.borrow_mut().id.take();
    let Some(id) = id else {
        return;
    };
    telemetry::store_called("revoke", "lease");
    if let Err(error) = state.store.revoke(id).await {
        warn!(event = "lease"; "not revoked: {error}");
    }
}

/// Marks the lease as unconfirmed after a suspension, which the timers' monotonic clock does not
/// count.
async fn detect_suspension(state: Rc<State>) {
    let mut last = clock::now();
    loop {
        Timer::after(Duration::from_millis(100)).await;
        let now = clock::now();
        if now.saturating_sub(last) > SUSPENSION_GAP {
            warn!(event = "suspended", gap_ms = now.saturating_sub(last).as_millis() as u64; "lease unconfirmed");
            state.lease.borrow_mut().suspended();
        }
        last = now;
    }
}

async fn keep_lease(state: Rc<State>) {
    let mut is_failing = false;
    while !state.is_stopping.get() {
        let regained = state.store_regained.listen();
        let sent = clock::now();
        let id = state.lease.borrow().id;
        let result = match id {
            Some(id) => renew(&state, id, sent).await,
            None => acquire_lease(&state, sent).await,
        };
        match result {
            Ok(()) => {
                is_failing = false;
                Timer::after(RENEW_INTERVAL).await;
            }
            Err(message) => {
                telemetry::store_failed("lease");
                if !is_failing {
                    warn!(event = "lease"; "not renewed: {message}");
                }
                is_failing = true;
                let is_valid = state.lease.borrow().is_valid(clock::now());
                let pause = if is_valid {
                    RETRY_PAUSE
                } else {
                    LAPSED_RETRY_PAUSE
                };
                timer::within(pause, regained).await;
            }
        }
    }
}

async fn renew(state: &State, id: Lease, sent: Time) -> Result<(), String> {
    let call = || {
        telemetry::store_called("renew", "lease");
        state.store.renew(id)
    };
    let again = async {
        Timer::after(RENEW_PATIENCE).await;
        call().await
    };
    let is_renewed = call().or(again).await.map_err(|error| error.to_string())?;
    if is_renewed {
        if state.lease.borrow().id == Some(id) {
            state.lease.borrow_mut().renewed(id, sent, LEASE_TTL);
            // A new lease proves nothing: the record may have been missing for some time.
            let mut tracker = state.quotas.tracker.borrow_mut();
            tracker.confirm_record(sent + scale(LEASE_TTL, TRUSTED_SHARE));
        }
        return Ok(());
    }
    info!(event = "lease-lapsed", lease = id.id; "claims have ended");
    state.lease.borrow_mut().end();
    let now = clock::now();
    for (endpoint, _) in own_claims(state) {
        state
            .claims
            .borrow_mut()
            .set(now, &endpoint, Fence::MAX, None);
    }
    state.notify();
    Box::pin(acquire_lease(state, sent)).await
}

/// Acquires a lease and writes this VM's record under it.
async fn acquire_lease(state: &State, sent: Time) -> Result<(), String> {
    let ttl = LEASE_TTL.max(state.settings.min_lease_ttl);
    telemetry::store_called("grant", "lease");
    let (id, ttl) = state
        .store
        .grant(ttl)
        .await
        .map_err(|error| error.to_string())?;
    let is_cut_off = state.reach.borrow().is_cut_off();
    let write = Write {
        puts: vec![vm_record(state, is_cut_off)?],
        lease: id,
        ..Write::default()
    };
    telemetry::store_called("write", "vm");
    let outcome = state
        .store
        .write(&write)
        .await
        .map_err(|error| error.to_string())?;
    if !matches!(outcome, Outcome::Written(_)) {
        return Err(format!("record not written: {outcome:?}"));
    }
    info!(event = "lease", lease = id.id; "granted");
    state.is_published_cut_off.set(is_cut_off);
    state.lease.borrow_mut().renewed(id, sent, ttl);
    state.notify();
    Ok(())
}

/// Returns the key and the value of this VM's record in the store.
fn vm_record(state: &State, is_cut_off: bool) -> Result<(String, Vec<u8>), String> {
    let record = Peer {
        process: state.process.clone(),
        address: state.settings.peer_address,
        zone: state.settings.zone.clone(),
        forward_address: state.settings.forward_address,
        is_cut_off,
        link_rate: state.settings.link_rate,
        keeps_streams: true,
        keeps_quotas: true,
        forward_version: FORWARD_VERSION_WITH_STARTS,
    };
    let value = serde_json::to_vec(&record).map_err(|error| error.to_string())?;
    let key = format!("{VM_KEY_PREFIX}{}", state.settings.vm);
    Ok((key, value))
}

/// Writes whether this VM is cut off from all endpoints. If it is, gives up its claims: another VM must send
/// the orders.
pub async fn publish(state: &State, is_cut_off: bool) {
    let Some(lease) = state.lease.borrow().id else {
        return;
    };
    let own: Vec<_> = if is_cut_off {
        own_claims(state)
    } else {
        Vec::new()
    };
    if give_up_claims(state, lease, is_cut_off, &own).await {
        info!(event = "reach", is_cut_off, claims = own.len(); "links published");
        state.is_published_cut_off.set(is_cut_off);
        state.notify();
    }
}

/// Gives up the claim of an endpoint that only other VMs reach.
pub async fn give_up(state: &State, endpoint: &str) {
    let Some(lease) = state.lease.borrow().id else {
        return;
    };
    let mut own = own_claims(state);
    own.retain(|(owned, _)| owned == endpoint);
    if own.is_empty() {
        return;
    }
    let is_cut_off = state.is_published_cut_off.get();
    if give_up_claims(state, lease, is_cut_off, &own).await {
        info!(event = "reach", endpoint, is_cut_off, claims = own.len(); "claim given up");
        state.notify();
    }
}

/// Writes this VM's record and removes claims; returns whether all were removed.
async fn give_up_claims(
    state: &State,
    lease: Lease,
    is_cut_off: bool,
    own: &[(Endpoint, Fence)],
) -> bool {
    // An empty batch still writes the record.
    let batches = own.chunks(MAX_CLAIMS_PER_CALL - 1);
    let batches: Vec<_> = batches.chain(own.is_empty().then_some(&[][..])).collect();
    for batch in batches {
        if let Err(message) = publish_batch(state, lease, is_cut_off, batch).await {
            telemetry::store_failed("reach");
            warn!(event = "reach"; "not written: {message}");
            return false;
        }
    }
    true
}

/// Writes this VM's record and removes the claims of one batch, if they are still its own.
async fn publish_batch(
    state: &State,
    lease: Lease,
    is_cut_off: bool,
    claims: &[(Endpoint, Fence)],
) -> Result<(), String> {
    let key = |endpoint: &str| format!("{CLAIM_KEY_PREFIX}{endpoint}");
    // The fence of several claims that were written in one call is that of the last one.
    let revision = |key: String, fence: Fence| {
        let revision = state.feed.borrow().key_revision(&key);
        (key, revision.unwrap_or(fence))
    };
    let write = Write {
        expected: claims
            .iter()
            .map(|(endpoint, fence)| revision(key(endpoint), *fence))
            .collect(),
        puts: vec![vm_record(state, is_cut_off)?],
        removes: claims.iter().map(|(endpoint, _)| key(endpoint)).collect(),
        lease,
        ..Write::default()
    };
    telemetry::store_called("write", "reach");
    let outcome = state.store.write(&write).await;
    match outcome.map_err(|error| error.to_string())? {
        Outcome::Written(position) => {
            let mut owned = state.claims.borrow_mut();
            for (endpoint, _) in claims {
                owned.set(clock::now(), endpoint, position, None);
            }
            Ok(())
        }
        outcome => Err(format!("{outcome:?}")),
    }
}

/// Returns the claims of this process.
fn own_claims(state: &State) -> Vec<(Endpoint, Fence)> {
    let claims = state.claims.borrow();
    let own = claims
        .iter()
        .filter(|(_, claim)| claim.process == state.process);
    own.map(|(endpoint, claim)| (endpoint.clone(), claim.fence))
        .collect()
}

async fn claim_engines(state: Rc<State>) {
    while !state.is_stopping.get() {
        let listener = state.changed.listen();
        let next_check = claim_unowned(&state).await;
        let now = clock::now();
        let wait = next_check.map_or(CLAIM_INTERVAL, |at| {
            at.saturating_sub(now).min(CLAIM_INTERVAL)
        });
        timer::within(wait.max(Duration::from_millis(10)), listener).await;
    }
}

/// Claims the engines that this VM should own; returns when to check again.
async fn claim_unowned(state: &Rc<State>) -> Option<Time> {
    let lease = state.lease.borrow().id?;
    if state.reach.borrow().is_cut_off() {
        return None;
    }
    let now = clock::now();
    let mut next_check: Option<Time> = None;
    let mut claimable: Vec<(Endpoint, Fence)> = Vec::new();
    {
        let catalog = state.catalog.borrow();
        let table = catalog.table()?;
        let mut claims = state.claims.borrow_mut();
        claims.retain(now, |endpoint| catalog.endpoint(endpoint).is_some());
        let mut limits = state.limits.borrow_mut();
        limits.retain(|endpoint| catalog.endpoint(endpoint).is_some());
        let mut loads = state.loads.borrow_mut();
        loads.retain(|endpoint| catalog.endpoint(endpoint).is_some());
        let mut hedges = state.hedges.borrow_mut();
        hedges.retain(|service| table.services.contains_key(service));
        let mut rooms = state.rooms.borrow_mut();
        rooms.retain(|endpoint| catalog.endpoint(endpoint).is_some());
        let mut reach = state.reach.borrow_mut();
        reach.retain(|endpoint| catalog.endpoint(endpoint).is_some());
        let engines = catalog.endpoints().filter(|instance| {
            let group = table.services.get(&instance.service);
            let is_engine = group.is_some_and(|group| group.engine.is_some());
            is_engine && !reach.is_unreached(&instance.id)
        });
        for engine in engines {
            let own = (state.settings.vm.as_str(), state.process.as_str());
            let vms = catalog.peers().filter(|(_, peer)| !peer.is_cut_off);
            let vms = vms.map(|(vm, _)| vm.as_str());
            match claims.decide(now, &engine.id, own, vms) {
                Decision::Claim(fence) => claimable.push((engine.id.clone(), fence)),
                Decision::Wait(at) => next_check = Some(next_check.map_or(at, |next| next.min(at))),
                Decision::Owned => {}
            }
        }
    }
    let max_claims = if state.claims.borrow().records_holders() {
        MAX_HELD_CLAIMS_PER_CALL
    } else {
        MAX_CLAIMS_PER_CALL
    };
    for batch in claimable.chunks(max_claims) {
        if !write_claims(state, lease, batch).await {
            // Another VM was faster, which the watch will report, or the store is unavailable.
            return Some(clock::now() + RETRY_PAUSE);
        }
    }
    next_check
}

async fn write_claims(state: &State, lease: Lease, batch: &[(Endpoint, Fence)]) -> bool {
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
    let key = |endpoint: &str| format!("{CLAIM_KEY_PREFIX}{endpoint}");
    let mut write = Write {
        expected: batch
            .iter()
            .map(|(endpoint, fence)| (key(endpoint), *fence))
            .collect(),
        puts: batch
            .iter()
            .map(|(endpoint, _)| (key(endpoint), value.clone()))
            .collect(),
        lease,
        ..Write::default()
    };
    if state.claims.borrow().records_holders() {
        add_holders(state, &mut write, batch);
    }
    telemetry::store_called("write", "claim");
    match state.store.write(&write).await {
        Ok(Outcome::Written(fence)) => {
            let now = clock::now();
            for (endpoint, _) in batch {
                info!(event = "claimed", endpoint = endpoint.as_str(), fence; "engine claimed");
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

/// Adds the holders of the claims of a batch to a write, which then fails if another VM has held one of the engines in
/// the meantime.
fn add_holders(state: &State, write: &mut Write, batch: &[(Endpoint, Fence)]) {
    let feed = state.feed.borrow();
    let key = |endpoint: &str| format!("{HOLDER_KEY_PREFIX}{endpoint}");
    for (endpoint, _) in batch {
        let key = key(endpoint);
        let known = feed.key_revision(&key).unwrap_or(0);
        write.expected.push((key.clone(), known));
        let vm = state.settings.vm.clone().into_bytes();
        write.unleased_puts.push((key, vm));
    }
    let claims = state.claims.borrow();
    let unused = claims.stale_holders(clock::now()).map(|id| key(id));
    for key in unused.take(MAX_STALE_HOLDERS_PER_CALL) {
        if let Some(known) = feed.key_revision(&key) {
            write.expected.push((key.clone(), known));
            write.removes.push(key);
        }
    }
}
