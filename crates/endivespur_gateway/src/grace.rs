//! Decides for how long registrations that have ended are kept.
//!
//! Registrations lapse while the store is away, and endpoints register again soon after its return. A gateway that
//! received no changes for some time cannot tell whether the store was away or the gateway was cut off from it. It
//! keeps ended registrations until another gateway replies that it does not, since it received changes all the time.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::Change;
use endivespur_core::gateway::source::Selector;
use endivespur_platform::store;
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::info;
use smol::Timer;

use crate::message::Update;
use crate::peer;
use crate::state::State;

/// The pause between two rounds of requests to other gateways.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Records that the store responds to this gateway, which received no changes before.
pub fn store_responded(state: &Rc<State>) {
    let now = clock::now();
    let is_asking = !state.catalog.borrow().grace_left(now).is_zero();
    state.catalog.borrow_mut().store_recovered(now);
    log_start(state, "store");
    if !is_asking {
        state.spawn(ask_gateways(state.clone()));
    }
}

/// Records for how long a source keeps ended registrations. `was_lost` tells whether this gateway received no changes
/// before this reply.
pub fn source_replied(state: &State, vm: &str, grace: Duration, was_lost: bool) {
    if grace.is_zero() {
        end(state, vm);
    } else if was_lost {
        let until = clock::now() + grace;
        state.catalog.borrow_mut().extend_grace(until);
        log_start(state, vm);
    }
}

fn log_start(state: &State, source: &str) {
    let grace_ms = state.catalog.borrow().grace_left(clock::now()).as_millis() as u64;
    info!(event = "grace", source, grace_ms; "ended registrations may be renewed");
}

fn end(state: &State, vm: &str) {
    if state.catalog.borrow().grace_left(clock::now()).is_zero() {
        return;
    }
    info!(event = "grace", source = vm, grace_ms = 0; "the store was not away");
    state.catalog.borrow_mut().end_grace();
    state.notify();
}

/// Asks other gateways, in rounds, until one of them keeps no ended registrations.
async fn ask_gateways(state: Rc<State>) {
    let selector = Selector::new(&state.settings.vm, &state.settings.zone);
    for round in 0.. {
        let gateways = state.catalog.borrow().gateways();
        let candidates = selector.candidates(round, &gateways);
        let requests = candidates.into_iter().map(|vm| {
            let state = state.clone();
            async move { has_seen_no_outage(&state, &vm).await.then_some(vm) }
        });
        let mut requests: FuturesUnordered<_> = requests.collect();
        while let Some(vm) = requests.next().await {
            if let Some(vm) = vm {
                return end(&state, &vm);
            }
        }
        Timer::after(ROUND_PAUSE).await;
        if state.catalog.borrow().grace_left(clock::now()).is_zero() {
            return;
        }
    }
}

/// Returns whether another gateway watches the store and has seen no outage recently: it keeps no ended registrations.
async fn has_seen_no_outage(state: &Rc<State>, vm: &str) -> bool {
    let address = state.catalog.borrow().peer(vm).map(|peer| peer.address);
    let Some(address) = address else {
        return false;
    };
    let after = state.feed.borrow().cursor();
    let complete = state.feed.borrow().complete_revision();
    let (wait, limit) = (Duration::ZERO, peer::TRIAL_TIME);
    match peer::changes(state, address, after, complete, wait, limit).await {
        // In an earlier era it does not know yet that the store was away.
        Ok(Update::Changes(Change::Changes(page), grace)) => {
            grace.is_zero() && store::era(page.revision) >= store::era(after.revision)
        }
        _ => false,
    }
}
