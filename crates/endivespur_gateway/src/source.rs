//! Requests the store's changes from a source, the store or another gateway, and applies them.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::{Time, scale};
use endivespur_core::gateway::feed::{Change, Item, LARGE_VALUE_BYTES, Page};
use endivespur_core::gateway::source::Source;
use endivespur_platform::{Progress, document, registration, store};
use futures_util::future::try_join_all;
use log::{Level, debug, info, log};
use smol::Timer;
use smol::future::FutureExt;

use crate::message::Update;
use crate::state::State;
use crate::{ahead, apply, grace, member, peer, telemetry};

/// The time without changes from a source above which a gateway's view of the store is logged as late.
const LATE_VIEW: Duration = Duration::from_millis(1500);
/// The prefix of all keys.
const ALL_KEYS: &str = "";
/// The prefixes of the keys that are polled while a watch brings a large value. All gateways must agree on them.
pub const POLLED_PREFIXES: [&str; 3] = [
    member::KEY_PREFIX,
    document::VERSION_KEY_PREFIX,
    registration::KEY_PREFIX,
];
/// The pause before each poll of small changes.
const SMALL_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The pause after an update of an older release, which repeats changes while a large value is missing.
const REPEATED_PAUSE: Duration = Duration::from_millis(100);
/// The pause after urgent changes, in which the changes of claims arrive that follow the end of a
/// lease.
const URGENT_PAUSE: Duration = Duration::from_millis(50);
/// The maximum pause after several urgent changes in a row, as when all VMs start or an outage ends.
const MAX_URGENT_PAUSE: Duration = Duration::from_millis(200);
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
    state.store_regained.notify(usize::MAX);
    true
}

/// Waits at most `wait` for the store's next changes, which are requested for `cause`.
pub async fn watch(state: &Rc<State>, wait: Duration, cause: &'static str) -> Outcome {
    let revision = state.feed.borrow().revision();
    let change = if revision == 0 {
        Some(Ok(Change::Compacted))
    } else {
        telemetry::store_called("watch", cause);
        let progress = Progress::new();
        let watch = state
            .store
            .watch_with_progress(ALL_KEYS, revision, wait, &progress);
        let watch = async { Some(watch.await) };
        let overtaken = async {
            await_long_response(&progress).await;
            info!(event = "large-value", from = "store", revision; "receiving");
            let polls = follow_small_changes(state, revision);
            ahead::receive(state, revision).or(polls).await;
            None
        };
        watch.or(overtaken).await
    };
    let Some(change) = change else {
        // The next watch requests what the store has changed since.
        return Outcome::Changes(Duration::ZERO);
    };
    match change {
        Ok(Change::Compacted) => {
            list(state, if revision == 0 { "start" } else { "compacted" }).await
        }
        Ok(Change::Changes(page)) => {
            record_response(state);
            let is_idle = page.items.is_empty();
            let is_urgent = apply::apply(state, page);
            let last_urgent_pause = state.urgent_pause.take();
            Outcome::Changes(match (is_idle, is_urgent) {
                (true, _) => Duration::ZERO,
                (false, true) => {
                    let pause = (last_urgent_pause * 2).clamp(URGENT_PAUSE, MAX_URGENT_PAUSE);
                    state.urgent_pause.set(pause);
                    pause
                }
                (false, false) => batch_time(state, MAX_PAUSE_SHARE),
            })
        }
        Err(error) => handle_failure(state, &error),
    }
}

/// Waits until the response to a watch proves to be a long one, which may take seconds.
async fn await_long_response(progress: &Progress) {
    progress.exceeds(LARGE_VALUE_BYTES).await;
    // Many small changes make a long response too, which arrives within this time.
    Timer::after(SMALL_POLL_INTERVAL).await;
}

/// Applies small changes after a revision while the response to a watch brings a large one. Never returns.
async fn follow_small_changes<T>(state: &Rc<State>, revision: u64) -> T {
    let mut after = revision;
    loop {
        if let Some(small_revision) = poll_small_changes(state, after).await {
            record_response(state);
            after = small_revision;
        }
        Timer::after(SMALL_POLL_INTERVAL).await;
    }
}

/// Requests the small changes after a revision from the store, and applies them; returns the revision up to which
/// they are known then, or `None` if the store does not send them.
async fn poll_small_changes(state: &Rc<State>, after: u64) -> Option<u64> {
    let polls = POLLED_PREFIXES.map(|prefix| {
        telemetry::store_called("poll", "large-value");
        state.store.watch(prefix, after, Duration::ZERO)
    });
    match try_join_all(polls).await {
        Ok(changes) => {
            let page = merge(changes)?;
            let small_revision = page.small_revision;
            apply::apply(state, page);
            Some(small_revision)
        }
        Err(error) => {
            telemetry::store_failed("poll");
            debug!(event = "store-failed"; "{error}");
            None
        }
    }
}

/// Requests the changes of registrations after a revision from the store, and applies them; returns whether the store
/// sent all of them.
///
/// The position of this gateway stays as it is, since changes of other keys are not requested.
pub async fn poll_registrations(state: &Rc<State>, after: u64) -> bool {
    telemetry::store_called("poll", "confirmation");
    let prefix = registration::KEY_PREFIX;
    match state.store.watch(prefix, after, Duration::ZERO).await {
        Ok(Change::Changes(page)) => {
            let items = page.items;
            apply::apply(
                state,
                Page {
                    items,
                    ..Page::default()
                },
            );
            true
        }
        Ok(Change::Compacted) => false,
        Err(error) => {
            telemetry::store_failed("poll");
            debug!(event = "store-failed"; "{error}");
            false
        }
    }
}

/// Merges the changes below several prefixes up to the lowest of their revisions; `None` if some are no longer kept.
fn merge(changes: Vec<Change>) -> Option<Page> {
    let pages: Option<Vec<Page>> = changes
        .into_iter()
        .map(|change| match change {
            Change::Changes(page) => Some(page),
            Change::Compacted => None,
        })
        .collect();
    let pages = pages?;
    let small_revision = pages.iter().map(|page| page.revision).min()?;
    let items = pages.into_iter().flat_map(|page| page.items);
    let mut items: Vec<Item> = items
        .filter(|item| item.revision <= small_revision)
        .collect();
    items.sort_by_key(|item| item.revision);
    Some(Page {
        items,
        small_revision,
        ..Page::default()
    })
}

/// Lists all keys.
async fn list(state: &Rc<State>, cause: &'static str) -> Outcome {
    telemetry::store_called("list", cause);
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
    let after = state.feed.borrow().cursor();
    let complete = state.feed.borrow().complete_revision();
    let limit = wait + reply_time.unwrap_or(peer::FOLLOW_SLACK);
    match peer::changes(state, address, after, complete, wait, limit).await {
        Ok(Update::Changes(Change::Changes(page), grace)) => {
            let was_lost = record_recovery(state);
            grace::source_replied(state, vm, grace, was_lost);
            apply::apply(state, page);
            let is_repeated =
                state.peers.is_older(address) && !state.feed.borrow().missing().is_empty();
            Outcome::Changes(if is_repeated {
                REPEATED_PAUSE
            } else {
                Duration::ZERO
            })
        }
        Ok(Update::Changes(Change::Compacted, _)) => list(state, "compacted").await,
        Ok(Update::Stale) => {
            debug!(event = "source-away", vm; "has no recent response from the store");
            Outcome::Stale
        }
        Err(peer::Unresponsive) => Outcome::Failed,
    }
}

/// Returns for how long changes that are not urgent are batched.
pub fn batch_time(state: &State, share: f64) -> Duration {
    let vms = state.catalog.borrow().peers().count() as u32;
    let max = scale(state.settings.max_drain_delay, share);
    (BATCH_TIME_PER_VM * vms).max(BATCH_TIME).min(max)
}
