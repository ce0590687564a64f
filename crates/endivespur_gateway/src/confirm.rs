//! Confirms with the store that this gateway knows all registrations of endpoints.
//!
//! A gateway that was cut off or suspended cannot tell from its own view that something does *not* exist.

use std::rc::Rc;
use std::time::Duration;

use log::info;

use crate::state::State;
use crate::{source, timer};

/// How long the store may take to confirm a view; a gateway that is cut off should refuse without delay.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether this gateway knows all registrations that the store had accepted before the call.
pub async fn confirm(state: &Rc<State>) -> bool {
    let confirmations = &state.confirmations;
    let number = confirmations.requested.get() + 1;
    confirmations.requested.set(number);
    if !confirmations.is_asking.replace(true) {
        state.spawn(ask(state.clone()));
    }
    loop {
        let listener = confirmations.changed.listen();
        let (answered, is_confirmed) = confirmations.answered.get();
        if answered >= number {
            return is_confirmed;
        }
        listener.await;
    }
}

/// Asks the store until all requests are answered.
async fn ask(state: Rc<State>) {
    let confirmations = &state.confirmations;
    loop {
        let number = confirmations.requested.get();
        let after = state.feed.borrow().cursor().small_revision;
        let poll = timer::within(TIMEOUT, source::poll_registrations(&state, after)).await;
        let is_confirmed = poll.unwrap_or(false);
        if !is_confirmed {
            info!(event = "view-unconfirmed", revision = after; "the store did not confirm the view");
        }
        confirmations.answered.set((number, is_confirmed));
        confirmations.changed.notify(usize::MAX);
        if confirmations.requested.get() == number {
            confirmations.is_asking.set(false);
            return;
        }
    }
}
