//! Follows the store: a few gateways of a zone watch it, the others follow those.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::{Change, Limits, Page};
use endivespur_core::gateway::source::{Selector, Source};
use endivespur_platform::store;
use log::{debug, info, warn};
use smol::Timer;

use crate::message::News;
use crate::state::State;
use crate::{apply, peer, telemetry, timer};

/// The longest wait of a watch: a store that is cut off is noticed soon after it.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// How long a watcher may not have heard the store before it says so to its followers: a
/// pause, a watch and a slow answer.
const MAX_AGE: Duration = Duration::from_millis(1300);
/// The shortest pause after a failed call of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// What each VM adds to that pause: all ask a store that is away, and pay for it.
const RETRY_PAUSE_PER_VM: Duration = Duration::from_millis(10);
/// The prefix of all keys.
const EVERYTHING: &str = "";
/// The pause after urgent changes: where a lease has ended, claims follow.
const SHORT_PAUSE: Duration = Duration::from_millis(50);
/// The shortest time in which changes that may wait are gathered.
const GATHER: Duration = Duration::from_millis(400);
/// What each VM adds to that time: the messages of all together stay about the same.
const GATHER_PER_VM: Duration = Duration::from_millis(15);
/// The longest share of the time in which a leaving endpoint must stop getting work that the
/// gathering may take.
const MAX_GATHER_SHARE: f64 = 0.4;
/// The same for a watcher's own pause, since urgent changes wait for it too.
const MAX_PAUSE_SHARE: f64 = 0.2;
/// What one answer to a follower may hold: a VM of 10 Mbit/s sends it in 26 ms, and to all
/// that follow it in 0.3 s.
const LIMITS: Limits = Limits {
    bytes: 32 << 10,
    value_bytes: 16 << 10,
};
/// The same for a follower that the store refuses.
const WHOLE: Limits = Limits {
    bytes: 1 << 20,
    value_bytes: usize::MAX,
};

/// What a source had to tell.
enum Heard {
    /// The store's changes, maybe none.
    Changes,
    /// That it does not hear the store itself.
    Away,
    /// Nothing.
    Nothing,
}

/// Starts to follow the store.
pub fn start(state: &Rc<State>) {
    state.spawn(follow(state.clone()));
}

async fn follow(state: Rc<State>) {
    let mut sources = Selector::new(&state.settings.vm, &state.settings.zone);
    let mut present = None;
    loop {
        let source = {
            let catalog = state.catalog.borrow();
            let zones = catalog.peers();
            let zones = zones.map(|(vm, peer)| (vm.clone(), peer.zone.clone()));
            sources.choose(clock::now(), &zones.collect())
        };
        if present.as_ref() != Some(&source) {
            info!(event = "source", source:? = source; "follows");
            present = Some(source.clone());
        }
        let heard = match &source {
            Source::Store => {
                // A store that has failed is asked for an answer at once, so that it is soon
                // known whether it has returned.
                let is_probe = sources.has_failed(&source);
                watch(&state, if is_probe { Duration::ZERO } else { WATCH_WAIT }).await
            }
            Source::Vm(vm) => follow_vm(&state, vm).await,
        };
        match heard {
            Heard::Changes => sources.record_success(&source),
            Heard::Away => sources.record_disconnected(clock::now(), &source),
            Heard::Nothing => sources.record_failure(clock::now(), &source),
        }
    }
}

/// Notes that neither the store nor another gateway tells its changes.
fn lost(state: &State, error: &store::Error) {
    telemetry::store_failed("watch");
    if state.heard.take().is_some() {
        state.notify();
    }
    if state.store_lost.get().is_none() {
        warn!(event = "store-lost"; "{error}");
        state.store_lost.set(Some(clock::now()));
    }
}

/// Notes that the store's changes are told again; returns whether they were not before.
fn regained(state: &State) -> bool {
    let Some(since) = state.store_lost.take() else {
        return false;
    };
    let age_ms = clock::now().saturating_sub(since).as_millis() as u64;
    info!(event = "store-regained", age_ms; "changes of the store are told again");
    true
}

/// Waits at most `wait` for the store's next changes.
async fn watch(state: &State, wait: Duration) -> Heard {
    let revision = state.feed.borrow().revision();
    let change = if revision == 0 {
        Ok(Change::Compacted)
    } else {
        state.store.watch(EVERYTHING, revision, wait).await
    };
    match change {
        Ok(Change::Compacted) => list(state).await,
        Ok(Change::Changes(page)) => {
            heard(state);
            let is_idle = page.items.is_empty();
            let is_urgent = apply::apply(state, page);
            if !is_idle {
                let pause = if is_urgent {
                    SHORT_PAUSE
                } else {
                    gather_time(state, MAX_PAUSE_SHARE)
                };
                Timer::after(pause).await;
            }
            Heard::Changes
        }
        Err(error) => failed(state, &error).await,
    }
}

/// Lists all keys.
async fn list(state: &State) -> Heard {
    match state.store.list(EVERYTHING).await {
        Ok(page) => {
            info!(event = "listed", revision = page.revision, keys = page.items.len(); "read anew");
            heard(state);
            apply::replace(state, page);
            Heard::Changes
        }
        Err(error) => failed(state, &error).await,
    }
}

/// Notes that the store has answered this gateway.
fn heard(state: &State) {
    let now = clock::now();
    if regained(state) {
        state.catalog.borrow_mut().store_returned(now);
    }
    state.heard.set(Some(now));
}

/// Notes that the store has failed this gateway, and pauses.
async fn failed(state: &State, error: &store::Error) -> Heard {
    lost(state, error);
    let vms = state.catalog.borrow().peers().count() as u32;
    Timer::after((RETRY_PAUSE_PER_VM * vms).max(RETRY_PAUSE)).await;
    Heard::Nothing
}

/// Waits for the next changes from another gateway.
async fn follow_vm(state: &Rc<State>, vm: &str) -> Heard {
    let address = state.catalog.borrow().peer(vm).map(|peer| peer.address);
    let Some(address) = address else {
        return Heard::Nothing;
    };
    let after = state.feed.borrow().revision();
    let wait = gather_time(state, MAX_GATHER_SHARE);
    let (mut page, settling) = match peer::follow(state, address, after, wait, false).await {
        Ok(News::Told(Change::Changes(page), settling)) => (page, settling),
        Ok(News::Told(Change::Compacted, _)) => return list(state).await,
        Ok(News::Away) => {
            debug!(event = "source-away", vm; "does not hear the store");
            return Heard::Away;
        }
        Err(peer::Silent) => return Heard::Nothing,
    };
    if !read_large(state, &mut page).await {
        // The store refuses this gateway.
        let whole = peer::follow(state, address, after, Duration::ZERO, true).await;
        let Ok(News::Told(Change::Changes(told), _)) = whole else {
            return Heard::Nothing;
        };
        page = told;
    }
    regained(state);
    let until = clock::now() + settling;
    state.catalog.borrow_mut().settle(until);
    apply::apply(state, page);
    Heard::Changes
}

/// Reads the values that were too large to be told; tells whether the store answered.
async fn read_large(state: &State, page: &mut Page) -> bool {
    for key in std::mem::take(&mut page.large_keys) {
        match state.store.list(&key).await {
            Ok(listed) => page.items.extend(listed.items),
            Err(error) => {
                telemetry::store_failed("read");
                info!(event = "large-value", key = key.as_str(); "not read: {error}");
                return false;
            }
        }
    }
    true
}

/// Returns for how long changes are gathered that may wait.
fn gather_time(state: &State, share: f64) -> Duration {
    let vms = state.catalog.borrow().peers().count() as u32;
    let longest = state.settings.max_drain_delay.mul_f64(share);
    (GATHER_PER_VM * vms).max(GATHER).min(longest)
}

/// Returns what a follower that knows the changes up to `after` has to learn.
///
/// Waits at most `wait` while there is nothing that should reach it at once. Large values are
/// told only if `is_whole`.
pub async fn news(state: &State, after: u64, wait: Duration, is_whole: bool) -> News {
    let limits = if is_whole { WHOLE } else { LIMITS };
    let until = clock::now() + wait;
    loop {
        let listener = state.changed.listen();
        let now = clock::now();
        let heard = state.heard.get().filter(|heard| now < *heard + MAX_AGE);
        let Some(heard) = heard.filter(|_| !state.is_stopping.get()) else {
            return News::Away;
        };
        if state.feed.borrow().urgent_revision() > after || now >= until {
            let change = state.feed.borrow().since(after, limits);
            return News::Told(change, state.catalog.borrow().settling(now));
        }
        let left = until.min(heard + MAX_AGE).saturating_sub(now);
        timer::within(left, listener).await;
    }
}
