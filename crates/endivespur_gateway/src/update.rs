//! Sends the store's changes to the gateways that follow this one.

use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::{Change, Cursor, LARGE_VALUE_BYTES, Limits};

use crate::message::Update;
use crate::state::State;
use crate::timer;

/// How old the store's last response to a watcher may be before the watcher reports itself as stale
/// to its followers: the sum of a pause, a watch and a slow response.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(1300);
/// The size limits of one reply to a follower: at 10 Mbit/s, a VM sends it in 26 ms to one follower
/// and in 0.3 s to all of them.
const REPLY_LIMITS: Limits = Limits {
    bytes: 32 << 10,
    value_bytes: LARGE_VALUE_BYTES,
};
/// The same for a follower of an older release that cannot read large values from the store.
const LARGE_REPLY_LIMITS: Limits = Limits {
    bytes: 1 << 20,
    value_bytes: usize::MAX,
};

/// Returns the update for a follower that has received the changes up to a position.
///
/// Waits at most `wait` while there is no urgent change.
pub async fn next_update(state: &State, after: Cursor, wait: Duration) -> Update {
    let is_urgent = || state.feed.borrow().has_urgent(after);
    next(state, wait, is_urgent, || {
        state.feed.borrow().since(after, REPLY_LIMITS)
    })
    .await
}

/// As [`next_update`], for a follower of an older release, which has received all changes up to revision `after`.
/// Large values are included only if `with_large_values` is set.
pub async fn next_complete(
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
    let is_urgent = || state.feed.borrow().has_urgent_complete(after);
    next(state, wait, is_urgent, || {
        state.feed.borrow().complete_since(after, limits)
    })
    .await
}

/// Returns changes once one of them is urgent, after `wait` at the latest.
async fn next(
    state: &State,
    wait: Duration,
    is_urgent: impl Fn() -> bool,
    changes: impl Fn() -> Change,
) -> Update {
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
        if is_urgent() || now >= until {
            return Update::Changes(changes(), state.catalog.borrow().grace_for_others(now));
        }
        let left = until
            .min(responded_at + MAX_RESPONSE_AGE)
            .saturating_sub(now);
        timer::within(left, listener).await;
    }
}
