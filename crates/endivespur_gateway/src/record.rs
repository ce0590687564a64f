//! Shares the records of crashes between gateways, through the store.
//!
//! A record in the store reaches each gateway with the store's other changes, also one that starts
//! or reconnects later. While the store cannot be written, records are sent to the other gateways
//! directly, and written once it is available again.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::feature::{Feature, Fingerprint};
use endivespur_core::gateway::crash::{self, RETENTION, Record, Tracker, Trial};
use endivespur_core::gateway::feed::Item;
use endivespur_core::hash;
use endivespur_platform::store::{Lease, Outcome, Write};
use log::{Level, info, log, warn};
use smol::Timer;

use crate::outbox::Outbox;
use crate::state::State;
use crate::{peer, telemetry, timer};

/// The prefix of the keys of records.
pub const KEY_PREFIX: &str = "endivespur/crash/";
/// The prefix of the keys of trials.
pub const TRIAL_KEY_PREFIX: &str = "endivespur/crash-trial/";

/// The pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The time in which records are collected for one write: the requests in flight on a crashed
/// endpoint fail at about the same time.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// The time after which records are sent to the other gateways while the store does not respond.
const USUAL_WRITE_TIME: Duration = Duration::from_millis(100);
/// The maximum delay before completions are shared.
const MAX_REFUTATION_DELAY: Duration = Duration::from_millis(500);
/// The maximum delay before records that the store has lost are written again.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1200);
/// The maximum number of trials written in one call, which holds at most 32 rows.
const MAX_TRIALS_PER_CALL: usize = 32;
/// The maximum number of records that wait for the store; the oldest are dropped first.
const MAX_PENDING: usize = 4096;

/// Starts the tasks that write records to the store.
pub fn start(state: &Rc<State>) {
    state.spawn(write_pending(state.clone()));
    state.spawn(share_refutations(state.clone()));
}

/// Adds records that this gateway made to its tracker, and shares them.
pub fn share(state: &State, records: Vec<Record>) {
    if records.is_empty() {
        return;
    }
    for record in &records {
        add(state, record, "own");
    }
    let outbox = &state.records;
    outbox.pending.borrow_mut().extend(records);
    outbox.added.notify(usize::MAX);
}

/// Records that a request with these features has completed, which voids earlier crashes.
pub fn complete(state: &State, features: &[Feature]) {
    update(state, |crashes| crashes.completed(clock::now(), features));
}

/// Logs what has become or is no longer quarantined since this was last called.
pub fn log_quarantine(state: &State) {
    let crashes = state.crashes.borrow();
    let quarantined = crashes.quarantined();
    let mut logged = state.records.logged_quarantine.borrow_mut();
    if *logged == *quarantined {
        return;
    }
    for fingerprint in quarantined.symmetric_difference(&logged) {
        let active = quarantined.contains(fingerprint);
        let count = crashes.count(*fingerprint);
        info!(event = "quarantine", print = *fingerprint, active, count; "changed");
    }
    logged.clone_from(&quarantined);
}

/// Changes the tracker, and wakes the task that shares refutations.
fn update<T>(state: &State, change: impl FnOnce(&mut Tracker) -> T) -> T {
    let mut crashes = state.crashes.borrow_mut();
    let result = change(&mut crashes);
    if crashes.has_refutations() {
        state.records.refuted.notify(usize::MAX);
    }
    result
}

/// Shares the completions that refute crashes which other gateways count.
///
/// Many gateways may see completions of a popular feature at once. Each waits for a time of its own,
/// in which the refutations of another one may arrive.
async fn share_refutations(state: Rc<State>) {
    let delay_ms = hash::mix(&state.process, 0) % MAX_REFUTATION_DELAY.as_millis() as u64;
    loop {
        let listener = state.records.refuted.listen();
        if !state.crashes.borrow().has_refutations() {
            listener.await;
        }
        Timer::after(Duration::from_millis(delay_ms)).await;
        let records = state.crashes.borrow().refutations();
        share(&state, records);
    }
}

/// Adds a record to the tracker, and logs it if it is new.
fn add(state: &State, record: &Record, source: &'static str) {
    if !update(state, |crashes| crashes.add(clock::now(), record)) {
        return;
    }
    let crashes = state.crashes.borrow();
    let Feature { fingerprint, scope } = record.feature;
    // Each gateway receives the records of all others: those of a single crash are logged by the
    // gateway that made them.
    let is_single = crashes.count(fingerprint) < 2 && source != "own";
    let level = if is_single { Level::Debug } else { Level::Info };
    log!(
        level,
        event = "crash", print = fingerprint, scope:? = scope,
        endpoint = record.crash.endpoint.as_str(), born = record.crash.started_ms,
        void = record.is_void, count = crashes.count(fingerprint), source; "recorded"
    );
}

/// Adds the records of another gateway, or those in the store.
pub fn receive(state: &State, value: &[u8], source: &'static str) {
    match crash::decode(value) {
        Ok(records) => {
            for record in records {
                add(state, &record, source);
                if source == "store" {
                    state.crashes.borrow_mut().stored(&record);
                }
            }
        }
        Err(error) => warn!(event = "crash", source; "unreadable records: {error}"),
    }
}

/// Applies a change of a record or a trial in the store; returns whether the key is one of them.
///
/// The end of a key is ignored: records are kept for as long as the request is sent.
pub fn apply(state: &State, item: &Item) -> bool {
    if let Some(key) = item.key.strip_prefix(TRIAL_KEY_PREFIX) {
        if let Some((fingerprint, trial)) = decode_trial_key(key) {
            let mut crashes = state.crashes.borrow_mut();
            crashes.take_trial(clock::now(), fingerprint, trial);
        }
        return true;
    }
    if !item.key.starts_with(KEY_PREFIX) {
        return false;
    }
    if let Some(value) = &item.value {
        receive(state, value, "store");
    }
    true
}

/// Writes the records and trials again that the store has lost.
///
/// All gateways know them. Each waits for a time of its own, in which the writes of another one may
/// arrive.
pub fn write_again(state: &Rc<State>) {
    state.crashes.borrow_mut().forget_stored();
    state.records.lease.set(None);
    let state = state.clone();
    state.clone().spawn(async move {
        let delay_ms = hash::mix(&state.process, 1) % MAX_REWRITE_DELAY.as_millis() as u64;
        Timer::after(Duration::from_millis(delay_ms)).await;
        let records = state.crashes.borrow().unstored();
        let trials: Vec<String> = {
            let (crashes, feed) = (state.crashes.borrow(), state.feed.borrow());
            let trials = crashes.trials();
            let keys = trials.map(|(fingerprint, trial)| trial_key(fingerprint, trial));
            keys.filter(|key| !feed.contains(key)).collect()
        };
        if records.is_empty() && trials.is_empty() {
            return;
        }
        info!(
            event = "rewritten", records = records.len(), trials = trials.len();
            "written again after the store lost them"
        );
        state.records.pending.borrow_mut().extend(records);
        state.records.added.notify(usize::MAX);
        for keys in trials.chunks(MAX_TRIALS_PER_CALL) {
            let puts = keys.iter().map(|key| (key.clone(), Vec::new())).collect();
            let written = write(&state, puts, Vec::new()).await;
            if !matches!(written, Ok(Outcome::Written(_))) {
                warn!(event = "crash-unshared", count = keys.len(); "trials not written: {written:?}");
            }
        }
    });
}

fn trial_key(fingerprint: Fingerprint, trial: Trial) -> String {
    format!("{TRIAL_KEY_PREFIX}{fingerprint:016x}.{trial}")
}

fn decode_trial_key(key: &str) -> Option<(Fingerprint, Trial)> {
    let (fingerprint, trial) = key.split_once('.')?;
    let fingerprint = Fingerprint::from_str_radix(fingerprint, 16).ok()?;
    Some((fingerprint, trial.parse().ok()?))
}

/// Claims a trial in the store; returns whether this gateway may run it.
pub async fn claim_trial(state: &State, fingerprint: Fingerprint, trial: Trial) -> bool {
    state
        .crashes
        .borrow_mut()
        .take_trial(clock::now(), fingerprint, trial);
    let key = trial_key(fingerprint, trial);
    let claimed = write(state, vec![(key.clone(), Vec::new())], vec![(key, 0)]).await;
    let outcome = match &claimed {
        Ok(Outcome::Written(_)) => "claimed",
        Ok(_) => "taken",
        Err(_) => "failed",
    };
    info!(event = "trial", print = fingerprint, trial, outcome; "trial of a quarantined request");
    outcome == "claimed"
}

async fn write_pending(state: Rc<State>) {
    let outbox = &state.records;
    loop {
        let listener = outbox.added.listen();
        if outbox.pending.borrow().is_empty() {
            listener.await;
            Timer::after(BATCH_TIME).await;
        }
        let records = outbox.pending.borrow().clone();
        let mut write = Box::pin(write_records(&state, &records));
        let usual = timer::within(USUAL_WRITE_TIME, &mut write).await;
        let written = if let Some(written) = usual {
            written
        } else {
            send_unsent(&state, &records);
            write.await
        };
        match written {
            Ok(()) => {
                outbox.pending.borrow_mut().drain(..records.len());
                outbox.sent_count.set(0);
            }
            Err(message) => {
                telemetry::store_failed("crash");
                if outbox.sent_count.get() == 0 {
                    warn!(event = "crash-unshared", count = records.len(); "not written: {message}");
                }
                send_unsent(&state, &records);
                drop_oldest(outbox);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

fn drop_oldest(outbox: &Outbox) {
    let mut pending = outbox.pending.borrow_mut();
    let excess = pending.len().saturating_sub(MAX_PENDING);
    if excess > 0 {
        warn!(event = "crash-unshared", count = excess; "too many records; oldest dropped");
        pending.drain(..excess);
        let sent_count = outbox.sent_count.get().saturating_sub(excess);
        outbox.sent_count.set(sent_count);
    }
}

/// Sends the records that were not sent yet to the other gateways.
fn send_unsent(state: &Rc<State>, records: &[Record]) {
    let sent_count = state.records.sent_count.replace(records.len());
    let unsent = &records[sent_count.min(records.len())..];
    if unsent.is_empty() {
        return;
    }
    let Ok(value) =
        crash::encode(unsent).inspect_err(|error| warn!(event = "crash-unshared"; "{error}"))
    else {
        return;
    };
    let peers: Vec<_> = {
        let catalog = state.catalog.borrow();
        let peers = catalog
            .peers()
            .filter(|(_, peer)| peer.process != state.process);
        peers.map(|(_, peer)| peer.address).collect()
    };
    for address in peers {
        let (state, value) = (state.clone(), value.clone());
        state.clone().spawn(async move {
            peer::crashed(&state, address, &value).await;
        });
    }
}

/// Writes records under a new key: a delayed write to an earlier key must not replace later ones.
async fn write_records(state: &State, records: &[Record]) -> Result<(), String> {
    let number = state.records.last_key.get() + 1;
    state.records.last_key.set(number);
    // A `#` would end the path of a call that names the key.
    let process = state.process.replace('#', ".");
    let key = format!("{KEY_PREFIX}{process}/{number}");
    match write(state, vec![(key, crash::encode(records)?)], Vec::new()).await? {
        Outcome::Written(_) => Ok(()),
        outcome => Err(format!("{outcome:?}")),
    }
}

/// Writes keys under a lease of its own, which outlasts this process.
///
/// # Errors
///
/// Returns the cause if the store does not respond or refuses the call.
pub async fn write(
    state: &State,
    puts: Vec<(String, Vec<u8>)>,
    expected: Vec<(String, u64)>,
) -> Result<Outcome, String> {
    let lease = lease(state).await?;
    let write = Write {
        expected,
        puts,
        lease,
        ..Write::default()
    };
    telemetry::store_called("write", "record");
    let outcome = state.store.write(&write).await;
    let outcome = outcome.map_err(|error| error.to_string())?;
    if matches!(outcome, Outcome::NoLease) {
        state.records.lease.set(None);
    }
    Ok(outcome)
}

/// Returns a lease that lasts for at least half of the retention.
async fn lease(state: &State) -> Result<Lease, String> {
    let now = clock::now();
    if let Some((id, usable_until)) = state.records.lease.get()
        && now < usable_until
    {
        return Ok(id);
    }
    telemetry::store_called("grant", "record");
    let granted = state.store.grant(RETENTION).await;
    let (id, ttl) = granted.map_err(|error| error.to_string())?;
    state.records.lease.set(Some((id, now + ttl / 2)));
    Ok(id)
}
