//! Finds a source of the store's changes for a gateway that has none: it asks other gateways and the store at the
//! same time, until one of them answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::source::{CANDIDATES_PER_ROUND, Selector, Source};
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::warn;
use smol::Timer;
use smol::future::FutureExt;

use crate::source::{self, Outcome};
use crate::state::State;

/// The time in which other gateways may answer before the store is asked, whose calls have a price.
const STORE_DELAY: Duration = Duration::from_millis(100);
/// The minimum time between two calls to a store that does not respond.
const STORE_INTERVAL: Duration = Duration::from_millis(150);
/// The time that each VM adds to that minimum: all VMs poll a store that is unavailable, at a cost
/// for each call.
const STORE_INTERVAL_PER_VM: Duration = Duration::from_millis(10);
/// The pause between two rounds until all gateways have been asked once.
const FIRST_ROUND_PAUSE: Duration = Duration::from_millis(20);
/// The pause between two later rounds: while the store is unavailable, all gateways ask each other.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// A search in progress.
struct Search<'a> {
    state: &'a Rc<State>,
    selector: RefCell<&'a mut Selector>,
    /// Whether the store has failed.
    has_store_failed: Cell<bool>,
    /// Whether all other gateways have been asked.
    have_gateways_failed: Cell<bool>,
}

/// Asks gateways and the store until one of them answers, which `selector` then has as its current source;
/// returns the pause before the next request to it.
pub async fn search(state: &Rc<State>, selector: &mut Selector) -> Duration {
    let search = Search {
        state,
        selector: RefCell::new(selector),
        has_store_failed: Cell::new(false),
        have_gateways_failed: Cell::new(false),
    };
    search.ask_gateways().or(search.ask_store()).await
}

impl Search<'_> {
    /// Asks gateways in rounds until one of them answers.
    async fn ask_gateways(&self) -> Duration {
        let mut round = 0;
        loop {
            if let Some(pause) = self.ask_round(round).await {
                return pause;
            }
            round += 1;
            let gateways = self.state.catalog.borrow().peers().count();
            let pause = if round * CANDIDATES_PER_ROUND < gateways {
                FIRST_ROUND_PAUSE
            } else {
                self.have_gateways_failed.set(true);
                self.record_loss();
                ROUND_PAUSE
            };
            Timer::after(pause).await;
        }
    }

    /// Asks the gateways of one round at once; returns when the first of them has answered.
    async fn ask_round(&self, round: usize) -> Option<Duration> {
        let gateways = self.state.catalog.borrow().gateways();
        let candidates = self.selector.borrow().candidates(round, &gateways);
        let asked = clock::now();
        let requests = candidates.into_iter().map(|vm| async move {
            let outcome = source::try_vm(self.state, &vm).await;
            (Source::Vm(vm), outcome)
        });
        let mut requests: FuturesUnordered<_> = requests.collect();
        while let Some((source, outcome)) = requests.next().await {
            if let Some(pause) = self.record(&source, asked, &outcome) {
                return Some(pause);
            }
        }
        None
    }

    /// Asks the store until it answers.
    async fn ask_store(&self) -> Duration {
        let vms = self.state.catalog.borrow().peers().count() as u32;
        if vms > 1 {
            Timer::after(STORE_DELAY).await;
        }
        let interval = (STORE_INTERVAL_PER_VM * vms).max(STORE_INTERVAL);
        loop {
            let asked = clock::now();
            let outcome = source::watch(self.state, Duration::ZERO, "search").await;
            if let Some(pause) = self.record(&Source::Store, asked, &outcome) {
                return pause;
            }
            self.has_store_failed.set(true);
            self.record_loss();
            Timer::after((asked + interval).saturating_sub(clock::now())).await;
        }
    }

    /// Records the outcome of a request to a source that was asked at `asked`; returns the pause before the next
    /// one if it has answered.
    fn record(&self, source: &Source, asked: Time, outcome: &Outcome) -> Option<Duration> {
        let mut selector = self.selector.borrow_mut();
        let is_repeated = selector.has_failed(source);
        source::log_attempt(self.state, source, outcome, asked, is_repeated);
        if let Outcome::Changes(pause) = outcome {
            selector.record_success(source);
            Some(*pause)
        } else {
            selector.record_disconnected(clock::now(), source);
            None
        }
    }

    /// Records that the store's changes are received from neither the store nor another gateway, once all
    /// have failed.
    fn record_loss(&self) {
        if self.has_store_failed.get()
            && self.have_gateways_failed.get()
            && self.state.store_lost_at.get().is_none()
        {
            warn!(event = "store-lost"; "no changes from the store or another gateway");
            self.state.store_lost_at.set(Some(clock::now()));
        }
    }
}
