//! Follows the store's changes: a few gateways of each zone watch the store, the others follow
//! those watchers. [`search`] finds a source for a gateway that has none.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::source::{Selector, Source};
use log::info;
use smol::Timer;

use crate::search;
use crate::source::{self, Outcome};
use crate::state::State;

/// The maximum wait of a watch; a partition from the store is noticed soon after it.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// The maximum share that batching may take of the time within which a draining endpoint must stop
/// receiving new requests.
const MAX_BATCH_SHARE: f64 = 0.4;

/// Starts the task that follows the store.
pub fn start(state: &Rc<State>) {
    state.spawn(follow(state.clone()));
}

async fn follow(state: Rc<State>) {
    let mut selector = Selector::new(&state.settings.vm, &state.settings.zone);
    let mut logged = None;
    loop {
        let source = selector.choose(clock::now(), &state.catalog.borrow().gateways());
        let pause = match source {
            Some(source) => {
                let is_trial = selector.current() != Some(&source);
                let asked = clock::now();
                let outcome = request(&state, &source, is_trial).await;
                record(&state, &mut selector, &source, asked, &outcome)
            }
            None => search::search(&state, &mut selector).await,
        };
        *state.source.borrow_mut() = selector.current().cloned();
        if matches!(selector.current(), Some(Source::Vm(_))) {
            source::stop_watching(&state);
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
        Source::Store => {
            let (wait, cause) = if is_trial {
                (Duration::ZERO, "trial")
            } else {
                (WATCH_WAIT, "source")
            };
            source::watch(state, wait, cause).await
        }
        Source::Vm(vm) if is_trial => source::try_vm(state, vm).await,
        Source::Vm(vm) => {
            source::follow_vm(state, vm, source::batch_time(state, MAX_BATCH_SHARE), None).await
        }
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
    source::log_attempt(state, source, outcome, asked, selector.has_failed(source));
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
