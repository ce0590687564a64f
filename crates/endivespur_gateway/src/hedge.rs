//! Asks a second endpoint of a plain service for a request that may be repeated, when the first one is slow.
//!
//! Both runs are parts of the request's own future: when its caller leaves, or the process stops, both are dropped, and
//! their connections closed.

use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::hedge::{Denial, Race, Run, Step, Waiting};
use endivespur_core::gateway::table::RetryPolicy;
use endivespur_core::id::Endpoint;
use log::info;
use smol::future::FutureExt;

use crate::attempt::{self, Attempt};
use crate::exchange::Call;
use crate::room::Held;
use crate::state::State;
use crate::{authorize, crash, telemetry, timer};

/// An attempt that has ended.
pub struct Ended {
    /// The endpoint.
    pub instance: Rc<Instance>,
    /// The time since it was sent.
    pub took: Duration,
    /// How it ended.
    pub attempt: Attempt,
}

/// Returns the delay after which a second endpoint may be asked, if the request may be hedged.
pub fn delay(state: &State, call: &Call) -> Option<Duration> {
    let may_repeat = call.route.retry_policy == RetryPolicy::Idempotent;
    // The trial of a quarantined feature runs once.
    if !may_repeat || call.is_trial.get() {
        return None;
    }
    let mut hedges = state.hedges.borrow_mut();
    hedges.request(clock::now(), &call.service)
}

/// Sends a request to an endpoint, and after `delay` to another one; returns the attempts that have ended, in order.
///
/// A good answer is the last one; the other run is then cancelled.
pub async fn race(
    state: &Rc<State>,
    call: &Call,
    instance: &Rc<Instance>,
    room: Option<Held>,
    tried: &mut BTreeSet<Endpoint>,
    delay: Option<Duration>,
) -> Vec<Ended> {
    let may_have_run = call.may_have_run.replace(true);
    let mut race = Race::new();
    let ended = run(state, call, instance, room, tried, delay, &mut race).await;
    call.may_have_run.set(may_have_run || race.may_have_run());
    ended
}

async fn run(
    state: &Rc<State>,
    call: &Call,
    instance: &Rc<Instance>,
    room: Option<Held>,
    tried: &mut BTreeSet<Endpoint>,
    delay: Option<Duration>,
    race: &mut Race,
) -> Vec<Ended> {
    let sent = clock::now();
    let end = |instance: &Rc<Instance>, sent: Time, attempt: Attempt| Ended {
        instance: instance.clone(),
        took: clock::now().saturating_sub(sent),
        attempt,
    };
    // Pinned on the heap, so that the losing run can be dropped before the answer is relayed.
    let mut first = Box::pin(attempt::run(state, call, instance, room));
    // A hedge that would have less time than most requests take is of no use.
    let delay = delay.filter(|delay| call.time_left() > *delay * 2);
    let early = match delay {
        Some(delay) => timer::within(delay, &mut first).await,
        None => Some((&mut first).await),
    };
    if let Some(attempt) = early {
        race.ended(Run::First, attempt.end());
        return vec![end(instance, sent, attempt)];
    }
    let acquired = {
        let ended = async { Err((&mut first).await) };
        let acquired = async { Ok(acquire(state, call, tried).await) };
        ended.or(acquired).await
    };
    let acquired = match acquired {
        Ok(acquired) => acquired,
        Err(attempt) => {
            race.ended(Run::First, attempt.end());
            return vec![end(instance, sent, attempt)];
        }
    };
    let (second, room) = match acquired {
        Ok(acquired) if race.start_hedge() => acquired,
        denied => {
            let reason = denied.err().unwrap_or("ended");
            log(call, "none", "denied", reason, sent);
            let attempt = first.await;
            race.ended(Run::First, attempt.end());
            return vec![end(instance, sent, attempt)];
        }
    };
    tried.insert(second.id.clone());
    let mut hedge = Hedge::new(call, &second.id);
    let hedge_sent = clock::now();
    let mut other = Some(Box::pin(attempt::run(state, call, &second, room)));
    let mut first = Some(first);
    let mut all = Vec::new();
    loop {
        let of_first = async {
            match &mut first {
                Some(first) => (Run::First, first.await),
                None => std::future::pending().await,
            }
        };
        let of_hedge = async {
            match &mut other {
                Some(other) => (Run::Hedge, other.await),
                None => std::future::pending().await,
            }
        };
        let (ended, attempt) = pin!(of_first.or(of_hedge)).await;
        let step = race.ended(ended, attempt.end());
        let of_ended = match ended {
            Run::First => {
                first = None;
                end(instance, sent, attempt)
            }
            Run::Hedge => {
                other = None;
                end(&second, hedge_sent, attempt)
            }
        };
        all.push(of_ended);
        match step {
            Step::Wait => {}
            Step::Over => return all,
            Step::Take => {
                if ended == Run::Hedge {
                    hedge.outcome = "won";
                }
                if first.take().is_some() {
                    record_cancelled(state, call, instance, sent, delay);
                }
                if other.take().is_some() {
                    record_cancelled(state, call, &second, hedge_sent, delay);
                }
                return all;
            }
        }
    }
}

/// Acquires another endpoint for a request whose first run goes on.
///
/// # Errors
///
/// Returns why there is none.
async fn acquire(
    state: &Rc<State>,
    call: &Call,
    tried: &BTreeSet<Endpoint>,
) -> Result<(Rc<Instance>, Option<Held>), &'static str> {
    let best = attempt::choose_endpoint(state, call, tried).ok_or("no-endpoint")?;
    let now = clock::now();
    if state.health.borrow().is_avoided(now, &best.id) {
        return Err("no-endpoint");
    }
    let waiting = waiting(state, call, &best);
    // Taken from the share first: a token of an endpoint cannot be given back.
    state
        .hedges
        .borrow_mut()
        .withdraw(now, &call.service, waiting)
        .map_err(Denial::name)?;
    let acquired = attempt::acquire_endpoint(state, call, tried).await;
    let (instance, room) = acquired.map_err(|_| "limited")?;
    if instance.id != best.id && is_full(state, &instance) {
        return Err(Denial::Overload.name());
    }
    if state.health.borrow().is_avoided(now, &instance.id) {
        return Err("no-endpoint");
    }
    if crash::is_quarantined(state, call) {
        return Err("quarantined");
    }
    if !authorize::is_authorized(state, call) {
        return Err("unauthorized");
    }
    if !state.withdraw_retry(&call.service) {
        return Err("budget");
    }
    Ok((instance, room))
}

fn waiting(state: &State, call: &Call, target: &Instance) -> Waiting {
    let now = clock::now();
    let catalog = state.catalog.borrow();
    let loads = state.loads.borrow();
    let serving = catalog.serving(&call.service);
    let waiting = serving
        .iter()
        .filter(|instance| loads.is_waiting(now, &instance.id));
    Waiting {
        endpoints: serving.len(),
        waiting: waiting.count(),
        is_target_full: is_full(state, target),
    }
}

/// Returns whether a further request would have to wait at an endpoint, as far as its load is known.
fn is_full(state: &State, instance: &Instance) -> bool {
    let now = clock::now();
    let in_flight = state.in_flight.borrow().get(&instance.id).copied();
    let in_flight = in_flight.unwrap_or_default();
    let loads = state.loads.borrow();
    let load = loads.estimate(now, &instance.id, in_flight);
    let requests = load.map_or(in_flight as f64, |load| load.requests);
    loads.is_waiting(now, &instance.id) || requests + 1.0 > instance.slots as f64
}

/// Records that a run was cancelled since the other one was answered.
///
/// If it took longer than usual, its time counts as far as it went: otherwise the latencies would seem to get shorter,
/// and an endpoint that answers nothing would never be avoided.
fn record_cancelled(
    state: &State,
    call: &Call,
    instance: &Instance,
    sent: Time,
    delay: Option<Duration>,
) {
    let now = clock::now();
    let took = now.saturating_sub(sent);
    if delay.is_none_or(|delay| took < delay) {
        return;
    }
    let mut hedges = state.hedges.borrow_mut();
    hedges.record_latency(now, &call.service, took);
    let mut loads = state.loads.borrow_mut();
    loads.record_time(now, &instance.id, took);
    let mut health = state.health.borrow_mut();
    health.record_timeout(now, &instance.id);
}

/// A hedge that was sent; its outcome is logged and counted when it is dropped, also if the caller has left.
struct Hedge<'a> {
    call: &'a Call,
    endpoint: Endpoint,
    outcome: &'static str,
    sent: Time,
}

impl<'a> Hedge<'a> {
    fn new(call: &'a Call, endpoint: &str) -> Self {
        Self {
            call,
            endpoint: endpoint.to_string(),
            outcome: "lost",
            sent: clock::now(),
        }
    }
}

impl Drop for Hedge<'_> {
    fn drop(&mut self) {
        log(self.call, &self.endpoint, self.outcome, "", self.sent);
    }
}

/// Logs and counts a hedge that was sent, or denied.
fn log(call: &Call, endpoint: &str, outcome: &'static str, reason: &str, since: Time) {
    telemetry::hedged(outcome);
    let took_ms = clock::now().saturating_sub(since).as_millis() as u64;
    info!(
        event = "hedge", request = call.fields.attempt_id.as_str(), endpoint, outcome, reason,
        took_ms; "hedge"
    );
}
