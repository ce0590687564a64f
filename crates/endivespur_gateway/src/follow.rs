//! Follows the store's changes: a few gateways of each zone watch the store, the others follow
//! those watchers. [`search`] finds a source for a gateway that has none.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::feed::{Change, Limits, Page};
use endivespur_core::gateway::source::{Selector, Source};
use endivespur_platform::store;
use log::{Level, debug, info, log};
use smol::Timer;

use crate::message::Update;
use crate::state::State;
use crate::{apply, grace, peer, search, telemetry, timer};

/// The maximum wait of a watch; a partition from the store is noticed soon after it.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// How old the store's last response to a watcher may be before the watcher reports itself as stale
/// to its followers: the sum of a pause, a watch and a slow response.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(1300);
/// How long a gateway may take to reply to a trial, beyond the time to connect.
pub const TRIAL_TIME: Duration = Duration::from_millis(400);
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
/// The maximum share that batching may take of the time within which a draining endpoint must stop
/// receiving new requests.
const MAX_BATCH_SHARE: f64 = 0.4;
/// The same for a watcher's own pause, which also delays urgent changes.
const MAX_PAUSE_SHARE: f64 = 0.2;
/// The size limits of one reply to a follower: at 10 Mbit/s, a VM sends it in 26 ms to one follower
/// and in 0.3 s to all of them.
const REPLY_LIMITS: Limits = Limits {
    bytes: 32 << 10,
    value_bytes: 16 << 10,
};
/// The same for a follower that cannot read large values from the store.
const LARGE_REPLY_LIMITS: Limits = Limits {
    bytes: 1 << 20,
    value_bytes: usize::MAX,
};

/// The result of one request to a source.
pub enum Outcome {
    /// The store's changes, possibly none; the source should be asked again after this pause.
    Changes(Duration),
    /// The source replied that it has no recent response from the store itself.
    Stale,
    /// The source did not respond.
    Failed,
}

/// Starts the task that follows the store.
pub fn start(state: &Rc<State>) {
    state.spawn(follow(state.clone()));
}

async fn follow(state: Rc<State>) {
    let mut selector = Selector::new(&state.settings.vm, &state.settings.zone);
    let mut logged = None;
    loop {
        let source = selector.choose(clock::now(), &state.catalog.borrow().zones());
        let pause = match source {
            Some(source) => {
                let is_trial = selector.current() != Some(&source);
                let asked = clock::now();
                let outcome = request(&state, &source, is_trial).await;
                record(&state, &mut selector, &source, asked, &outcome)
            }
            None => search::search(&state, &mut selector).await,
        };
        if matches!(selector.current(), Some(Source::Vm(_))) {
            stop_watching(&state);
        }
        if logged.as_ref() != selector.current()
            && let Some(source) = selector.current()
        {
            info!(event = "source", source:? = source; "follows");
            logged = Some(source.clone());
        }
        Timer::after(pause).await;
    }
}

/// Requests the next changes from a source. A trial is to be answered at once.
async fn request(state: &Rc<State>, source: &Source, is_trial: bool) -> Outcome {
    match source {
        Source::Store => watch(state, if is_trial { Duration::ZERO } else { WATCH_WAIT }).await,
        Source::Vm(vm) if is_trial => try_vm(state, vm).await,
        Source::Vm(vm) => follow_vm(state, vm, batch_time(state, MAX_BATCH_SHARE), None).await,
    }
}

/// Records the outcome of a request to a source that was asked at `asked`; returns the pause before the next
/// request.
fn record(
    state: &State,
    selector: &mut Selector,
    source: &Source,
    asked: Time,
    outcome: &Outcome,
) -> Duration {
    log_attempt(state, source, outcome, asked, selector.has_failed(source));
    match outcome {
        Outcome::Changes(pause) => {
            selector.record_success(source);
            return *pause;
        }
        Outcome::Stale => selector.record_disconnected(clock::now(), source),
        Outcome::Failed => selector.record_failure(clock::now(), source),
    }
    Duration::ZERO
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
fn stop_watching(state: &State) {
    if state.store_responded_at.take().is_some() {
        state.notify();
    }
}

/// Requests the changes that another gateway has already received.
pub async fn try_vm(state: &Rc<State>, vm: &str) -> Outcome {
    follow_vm(state, vm, Duration::ZERO, Some(TRIAL_TIME)).await
}

/// Waits at most `wait` for the next changes from another gateway, which may take `reply_time` longer to reply,
/// or by default the time for the largest reply.
async fn follow_vm(
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
        let update = peer::follow_whole(state, address, after).await;
        let Ok(Update::Changes(Change::Changes(complete), _)) = update else {
            return Outcome::Failed;
        };
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
        match state.store.list(&key).await {
            Ok(listed) => page.items.extend(listed.items),
            Err(error) => {
                telemetry::store_failed("read");
                info!(event = "large-value", key = key.as_str(); "value not read: {error}");
                return false;
            }
        }
    }
    true
}

/// Returns for how long changes that are not urgent are batched.
fn batch_time(state: &State, share: f64) -> Duration {
    let vms = state.catalog.borrow().peers().count() as u32;
    let max = state.settings.max_drain_delay.mul_f64(share);
    (BATCH_TIME_PER_VM * vms).max(BATCH_TIME).min(max)
}

/// Returns the update for a follower that has received the changes up to revision `after`.
///
/// Waits at most `wait` while there is no urgent change. Large values are included only if
/// `with_large_values` is set.
pub async fn next_update(
    state: &State,
    after: u64,
    wait: Duration,
    with_large_values: bool,
) -> Update {
    let limits = if with_large_values {
        LARGE_REPLY_LIMITS
    } else {
        REPLY_LIMITS
    };
    let until = clock::now() + wait;
    loop {
        let listener = state.changed.listen();
        let now = clock::now();
        let responded_at = state
            .store_responded_at
            .get()
            .filter(|responded_at| now < *responded_at + MAX_RESPONSE_AGE);
        let Some(responded_at) = responded_at.filter(|_| !state.is_stopping.get()) else {
            return Update::Stale;
        };
        if state.feed.borrow().urgent_revision() > after || now >= until {
            let change = state.feed.borrow().since(after, limits);
            return Update::Changes(change, state.catalog.borrow().grace_for_others(now));
        }
        let left = until
            .min(responded_at + MAX_RESPONSE_AGE)
            .saturating_sub(now);
        timer::within(left, listener).await;
    }
}
