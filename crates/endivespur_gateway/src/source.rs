//! Requests the store's changes from a source, the store or another gateway, and applies them.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::feed::{Change, Page};
use endivespur_core::gateway::source::Source;
use endivespur_platform::store;
use log::{Level, debug, info, log};

use crate::message::Update;
use crate::state::State;
use crate::{apply, grace, peer, telemetry};

/// The time without changes from a source above which a gateway's view of the store is logged as late.
const LATE_VIEW: Duration = Duration::from_millis(1500);
/// The prefix of all keys.
const ALL_KEYS: &str = "";
/// The pause after urgent changes, in which the changes of claims arrive that follow the end of a
/// lease.
const URGENT_PAUSE: Duration = Duration::from_millis(50);
/// The minimum time for which changes that are not urgent are batched.
const BATCH_TIME: Duration = Duration::from_millis(400);
/// The time that each VM adds to that minimum, which keeps the total message rate about constant.
const BATCH_TIME_PER_VM: Duration = Duration::from_millis(15);
/// The maximum share that a watcher's pause, which also delays urgent changes, may take of the time within which a
/// draining endpoint must stop receiving new requests.
const MAX_PAUSE_SHARE: f64 = 0.2;

/// The result of one request to a source.
pub enum Outcome {
    /// The store's changes, possibly none; the source should be asked again after this pause.
    Changes(Duration),
    /// The source replied that it has no recent response from the store itself.
    Stale,
    /// The source did not respond.
    Failed,
}

/// Logs how long a source that was asked at `asked` took to fail, and how old this gateway's view is.
pub fn log_attempt(
    state: &State,
    source: &Source,
    outcome: &Outcome,
    asked: Time,
    is_repeated: bool,
) {
    let now = clock::now();
    let outcome = match outcome {
        Outcome::Changes(_) => "changes",
        Outcome::Stale => "stale",
        Outcome::Failed => "failed",
    };
    telemetry::source_asked(outcome);
    if outcome == "changes" {
        let updated_at = state.updated_at.replace(now);
        let age = now.saturating_sub(updated_at);
        if age > LATE_VIEW && updated_at != Time::ZERO {
            info!(event = "view-late", source:? = source, age_ms = age.as_millis() as u64; "changes received again");
        }
        return;
    }
    let waited_ms = now.saturating_sub(asked).as_millis() as u64;
    let age_ms = now.saturating_sub(state.updated_at.get()).as_millis() as u64;
    // While the store is unavailable, every source fails several times a second.
    let level = if is_repeated {
        Level::Debug
    } else {
        Level::Info
    };
    log!(level, event = "source-failed", source:? = source, outcome, waited_ms, age_ms; "no changes");
}

/// Records that the store's changes are received; returns whether they were not received before.
fn record_recovery(state: &State) -> bool {
    let Some(since) = state.store_lost_at.take() else {
        return false;
    };
    let age_ms = clock::now().saturating_sub(since).as_millis() as u64;
    info!(event = "store-regained", age_ms; "receiving changes of the store again");
    true
}

/// Waits at most `wait` for the store's next changes.
pub async fn watch(state: &Rc<State>, wait: Duration) -> Outcome {
    let revision = state.feed.borrow().revision();
    let change = if revision == 0 {
        Ok(Change::Compacted)
    } else {
        state.store.watch(ALL_KEYS, revision, wait).await
    };
    match change {
        Ok(Change::Compacted) => list(state).await,
        Ok(Change::Changes(page)) => {
            record_response(state);
            let is_idle = page.items.is_empty();
            let is_urgent = apply::apply(state, page);
            Outcome::Changes(match (is_idle, is_urgent) {
                (true, _) => Duration::ZERO,
                (false, true) => URGENT_PAUSE,
                (false, false) => batch_time(state, MAX_PAUSE_SHARE),
            })
        }
        Err(error) => handle_failure(state, &error),
    }
}

/// Lists all keys.
async fn list(state: &Rc<State>) -> Outcome {
    match state.store.list(ALL_KEYS).await {
        Ok(page) => {
            info!(event = "listed", revision = page.revision, keys = page.items.len(); "all keys listed");
            record_response(state);
            apply::replace(state, page);
            Outcome::Changes(Duration::ZERO)
        }
        Err(error) => handle_failure(state, &error),
    }
}

/// Records that the store has responded to this gateway.
fn record_response(state: &Rc<State>) {
    if state.feed.borrow().revision() == 0 {
        let now = clock::now();
        state.catalog.borrow_mut().started(now);
        let mut streams = state.streams.tracker.borrow_mut();
        streams.started(now, state.settings.is_first_start);
    }
    if record_recovery(state) {
        grace::store_responded(state);
    }
    state.store_responded_at.set(Some(clock::now()));
}

/// Records a failed call to the store: followers must use another source.
fn handle_failure(state: &State, error: &store::Error) -> Outcome {
    telemetry::store_failed("watch");
    debug!(event = "store-failed"; "{error}");
    stop_watching(state);
    Outcome::Failed
}

/// Makes those that follow this gateway use another source: it no longer watches the store.
pub fn stop_watching(state: &State) {
    if state.store_responded_at.take().is_some() {
        state.notify();
    }
}

/// Requests the changes that another gateway has already received.
pub async fn try_vm(state: &Rc<State>, vm: &str) -> Outcome {
    follow_vm(state, vm, Duration::ZERO, Some(peer::TRIAL_TIME)).await
}

/// Waits at most `wait` for the next changes from another gateway, which may take `reply_time` longer to reply,
/// or by default the time for the largest reply.
pub async fn follow_vm(
    state: &Rc<State>,
    vm: &str,
    wait: Duration,
    reply_time: Option<Duration>,
) -> Outcome {
    let address = state.catalog.borrow().peer(vm).map(|peer| peer.address);
    let Some(address) = address else {
        return Outcome::Failed;
    };
    let after = state.feed.borrow().revision();
    let limit = wait + reply_time.unwrap_or(peer::FOLLOW_SLACK);
    let (mut page, grace) = match peer::follow(state, address, after, wait, limit).await {
        Ok(Update::Changes(Change::Changes(page), grace)) => (page, grace),
        Ok(Update::Changes(Change::Compacted, _)) => return list(state).await,
        Ok(Update::Stale) => {
            debug!(event = "source-away", vm; "has no recent response from the store");
            return Outcome::Stale;
        }
        Err(peer::Unresponsive) => return Outcome::Failed,
    };
    if !read_large(state, &mut page).await {
        // The store does not respond to this gateway.
        let asked = clock::now();
        let update = peer::follow_whole(state, address, after).await;
        let Ok(Update::Changes(Change::Changes(complete), _)) = update else {
            info!(event = "large-value", from = vm; "no update with large values");
            return Outcome::Failed;
        };
        log_received(vm, "gateway", &complete, asked);
        page = complete;
    }
    let was_lost = record_recovery(state);
    grace::source_replied(state, vm, grace, was_lost);
    apply::apply(state, page);
    Outcome::Changes(Duration::ZERO)
}

/// Reads the values that a watcher left out because of their size; returns whether the store
/// responded.
async fn read_large(state: &State, page: &mut Page) -> bool {
    for key in std::mem::take(&mut page.large_keys) {
        let asked = clock::now();
        match state.store.list(&key).await {
            Ok(listed) => {
                log_received("store", "store", &listed, asked);
                page.items.extend(listed.items);
            }
            Err(error) => {
                telemetry::store_failed("read");
                info!(event = "large-value", key = key.as_str(); "value not read: {error}");
                return false;
            }
        }
    }
    true
}

/// Logs and counts the bytes of the values in a page that was requested at `asked`.
fn log_received(source: &str, from: &'static str, page: &Page, asked: Time) {
    let values = page.items.iter().filter_map(|item| item.value.as_ref());
    let bytes = values.map(Vec::len).sum();
    telemetry::value_received(from, bytes);
    let took_ms = clock::now().saturating_sub(asked).as_millis() as u64;
    info!(event = "large-value", from = source, bytes, took_ms; "received");
}

/// Returns for how long changes that are not urgent are batched.
pub fn batch_time(state: &State, share: f64) -> Duration {
    let vms = state.catalog.borrow().peers().count() as u32;
    let max = state.settings.max_drain_delay.mul_f64(share);
    (BATCH_TIME_PER_VM * vms).max(BATCH_TIME).min(max)
}
