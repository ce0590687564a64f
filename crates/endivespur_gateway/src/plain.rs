//! Handles requests to plain services, which any endpoint of the service may run.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::budget::Kind;
use endivespur_core::gateway::hedge::End;
use endivespur_core::gateway::table::RetryPolicy;
use endivespur_http::head::Response;

use crate::attempt::{self, Attempt};
use crate::body::Body;
use crate::exchange::{Call, Caller, Outcome};
use crate::hedge::{self, Ended};
use crate::relay::log_failed_attempt;
use crate::state::State;
use crate::{authorize, crash, limit};

/// The delay after which a caller retries when every endpoint was busy: a few service times.
const RETRY_AFTER: Duration = Duration::from_millis(150);
/// The maximum number of attempts for one request.
const ATTEMPT_LIMIT: usize = 3;

/// The progress of a request over all attempts.
struct Progress {
    /// The attempts that ran, or may have run.
    runs: u32,
    /// The attempts that reached an endpoint; each beyond the first is charged to the retry budget.
    deliveries: u32,
    /// The last complete response that says that the request failed.
    failed: Option<(Response, Body)>,
    last: Outcome,
}

impl Progress {
    /// Records that an attempt did not run, unless another one may have run: a refusal promises that none has.
    fn refuse(&mut self, reason: &str) {
        if self.runs == 0 {
            self.last = Outcome::refused(reason, RETRY_AFTER);
        }
    }
}

/// Handles a request to a plain service.
pub async fn handle(state: &Rc<State>, call: &Call, caller: &mut Caller<'_>) -> Outcome {
    let mut tried = BTreeSet::new();
    let mut progress = Progress {
        runs: 0,
        deliveries: 0,
        failed: None,
        last: Outcome::refused("no-endpoint", RETRY_AFTER),
    };
    let hedge_delay = hedge::delay(state, call);
    for _ in 0..ATTEMPT_LIMIT {
        let is_retry = progress.deliveries > 0;
        if call.time_left().is_zero() || (is_retry && !state.withdraw_retry(&call.service)) {
            break;
        }
        let (instance, room) = match attempt::acquire_endpoint(state, call, &tried).await {
            Ok(acquired) => acquired,
            Err(Some(wait)) if !is_retry => {
                progress.last = limit::refuse(call, wait);
                break;
            }
            Err(_) => break,
        };
        let check = authorize::check_before_send(state, call)
            .and_then(|()| crash::check_before_send(state, call));
        if let Err(refusal) = check {
            if progress.runs == 0 {
                return refusal;
            }
            break;
        }
        tried.insert(instance.id.clone());
        // Both runs count against the route's limit.
        let may_hedge = progress.runs + 2 <= call.route.max_endpoints;
        let delay = hedge_delay.filter(|_| may_hedge);
        let mut has_run = false;
        for ended in hedge::race(state, call, &instance, room, &mut tried, delay).await {
            has_run |= ended.attempt.end() != End::NotRun;
            if let Some((head, body)) = record(state, call, &mut progress, ended) {
                return relay_response(caller, &head, body).await;
            }
        }
        let may_repeat = call.route.retry_policy == RetryPolicy::Idempotent;
        if has_run && (!may_repeat || progress.runs >= call.route.max_endpoints) {
            break;
        }
    }
    if let Some((head, body)) = progress.failed {
        return relay_response(caller, &head, body).await;
    }
    if progress.runs == 0
        && let Err(refusal) = authorize::check_before_send(state, call)
    {
        return refusal;
    }
    if progress.runs == 0 {
        let mut hedges = state.hedges.borrow_mut();
        hedges.record_refusal(clock::now(), &call.service);
    }
    match limit::service_wait(state, &call.service) {
        Some(wait) if progress.runs == 0 => limit::refuse(call, wait),
        _ => progress.last,
    }
}

/// Records the end of an attempt; returns the response if it is to be relayed.
fn record(
    state: &State,
    call: &Call,
    progress: &mut Progress,
    ended: Ended,
) -> Option<(Response, Body)> {
    let Ended {
        instance,
        took,
        attempt,
    } = ended;
    let now = clock::now();
    if !matches!(attempt, Attempt::NotSent(_)) {
        progress.deliveries += 1;
    }
    if matches!(attempt, Attempt::Unknown(_) | Attempt::Timeout) {
        call.is_trial.set(false);
    }
    if attempt.end() == End::Failed {
        progress.runs += 1;
    }
    let mut health = state.health.borrow_mut();
    match attempt {
        Attempt::Complete(head, body, _) if head.status < 500 => {
            health.record_success(now, &instance.id, took);
            let mut loads = state.loads.borrow_mut();
            loads.record_time(now, &instance.id, took);
            let mut hedges = state.hedges.borrow_mut();
            hedges.record_latency(now, &call.service, took);
            return Some((head, body));
        }
        Attempt::Complete(head, body, _) => {
            let reason = format!("status {}", head.status);
            log_failed_attempt(call, &instance, "failed", &reason);
            health.record_failure(now, &instance.id);
            progress.failed = Some((head, body));
        }
        Attempt::NotSent(reason) => {
            log_failed_attempt(call, &instance, "not-run", &reason);
            progress.refuse(&reason);
        }
        Attempt::NotRun(reason) => {
            log_failed_attempt(call, &instance, "not-run", &reason);
            let mut hedges = state.hedges.borrow_mut();
            hedges.record_refusal(now, &call.service);
            progress.refuse(&reason);
        }
        Attempt::Shed(..) => {
            log_failed_attempt(call, &instance, "unknown", "shed");
            progress.last = Outcome::unknown(502, "shed");
        }
        Attempt::Unknown(reason) => {
            log_failed_attempt(call, &instance, "unknown", &reason);
            health.record_failure(now, &instance.id);
            progress.last = Outcome::unknown(502, &reason);
        }
        Attempt::Timeout => {
            log_failed_attempt(call, &instance, "late", "no answer in time");
            health.record_timeout(now, &instance.id);
            progress.last = Outcome::unknown(504, "late");
        }
    }
    None
}

async fn relay_response(caller: &mut Caller<'_>, head: &Response, mut body: Body) -> Outcome {
    body.set_kind(Kind::Sending);
    match caller.send_answer(head, &body).await {
        Ok(()) => Outcome::Relayed(head.status),
        Err(error) => Outcome::Aborted(error.to_string()),
    }
}
