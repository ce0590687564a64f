//! Handles requests to plain services, which any endpoint of the service may run.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::budget::Kind;
use endivespur_core::gateway::choice::{self, Candidate};
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::table::RetryPolicy;
use endivespur_core::hash;
use endivespur_core::id::Endpoint;
use endivespur_http::head::{Framing, Response};
use endivespur_platform::header::Dispatch;

use crate::body::{Body, Unread};
use crate::crash::{self, Run};
use crate::exchange::{Call, Caller, Outcome};
use crate::relay::{Failure, log_failed_attempt};
use crate::room::Held;
use crate::state::{InFlight, State};
use crate::{limit, link, timer};

/// The maximum size of a response, which is read completely before it is relayed.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// The delay after which a caller retries when every endpoint was busy: a few service times.
const RETRY_AFTER: Duration = Duration::from_millis(150);
/// The maximum number of attempts for one request.
const ATTEMPT_LIMIT: usize = 3;

/// The outcome of one attempt at one endpoint.
enum Attempt {
    /// The endpoint's complete response, and its framing.
    Complete(Response, Body, Framing),
    /// The endpoint was not reached.
    NotSent(String),
    /// The endpoint did not run the request.
    NotRun(String),
    /// The endpoint may have run the request.
    Unknown(String),
    /// The endpoint ran the request, and there was no memory for its response.
    Shed(Response, Framing),
    /// There was no complete response in time; the endpoint may have run the request.
    Timeout,
}

/// Handles a request to a plain service.
pub async fn handle(state: &Rc<State>, call: &Call, caller: &mut Caller<'_>) -> Outcome {
    let mut tried = BTreeSet::new();
    let mut runs = 0;
    let mut deliveries = 0;
    let mut failed: Option<(Response, Body)> = None;
    let mut last = Outcome::refused("no-endpoint", RETRY_AFTER);
    for _ in 0..ATTEMPT_LIMIT {
        if call.time_left().is_zero() || (deliveries > 0 && !state.withdraw_retry(&call.service)) {
            break;
        }
        let (instance, room) = match acquire_endpoint(state, call, &tried).await {
            Ok(acquired) => acquired,
            Err(Some(wait)) if deliveries == 0 => {
                last = limit::refuse(call, wait);
                break;
            }
            Err(_) => break,
        };
        if let Err(refusal) = crash::check_before_send(state, call) {
            if runs == 0 {
                return refusal;
            }
            break;
        }
        tried.insert(instance.id.clone());
        let now = clock::now();
        let attempt = attempt(state, call, &instance, room).await;
        if !matches!(attempt, Attempt::NotSent(_)) {
            deliveries += 1;
        }
        if matches!(attempt, Attempt::Unknown(_) | Attempt::Timeout) {
            call.is_trial.set(false);
        }
        match attempt {
            Attempt::Complete(head, body, _) if head.status < 500 => {
                let took = clock::now().saturating_sub(now);
                state
                    .health
                    .borrow_mut()
                    .record_success(clock::now(), &instance.id, took);
                return relay_response(caller, &head, body).await;
            }
            Attempt::Shed(..) => return Outcome::unknown(502, "shed"),
            Attempt::Complete(head, body, _) => {
                let reason = format!("status {}", head.status);
                log_failed_attempt(call, &instance, "failed", &reason);
                state
                    .health
                    .borrow_mut()
                    .record_failure(clock::now(), &instance.id);
                runs += 1;
                failed = Some((head, body));
            }
            Attempt::NotSent(reason) | Attempt::NotRun(reason) => {
                log_failed_attempt(call, &instance, "not-run", &reason);
                last = Outcome::refused(&reason, RETRY_AFTER);
                continue;
            }
            Attempt::Unknown(reason) => {
                log_failed_attempt(call, &instance, "unknown", &reason);
                state
                    .health
                    .borrow_mut()
                    .record_failure(clock::now(), &instance.id);
                runs += 1;
                last = Outcome::unknown(502, &reason);
            }
            Attempt::Timeout => {
                log_failed_attempt(call, &instance, "late", "no answer in time");
                state
                    .health
                    .borrow_mut()
                    .record_timeout(clock::now(), &instance.id);
                last = Outcome::unknown(504, "late");
                runs += 1;
            }
        }
        if call.route.retry_policy != RetryPolicy::Idempotent || runs >= call.route.max_endpoints {
            break;
        }
    }
    if let Some((head, body)) = failed {
        return relay_response(caller, &head, body).await;
    }
    match limit::service_wait(state, &call.service) {
        Some(wait) if runs == 0 => limit::refuse(call, wait),
        _ => last,
    }
}

async fn relay_response(caller: &mut Caller<'_>, head: &Response, mut body: Body) -> Outcome {
    body.set_kind(Kind::Sending);
    match caller.send_answer(head, &body).await {
        Ok(()) => Outcome::Relayed(head.status),
        Err(error) => Outcome::Aborted(error.to_string()),
    }
}

/// Chooses an endpoint, uses up a token if it has a limit, and takes room if it is brittle.
///
/// # Errors
///
/// Returns an error if there is no endpoint, with the time until the next token or room if there
/// are only endpoints with a limit or brittle ones.
async fn acquire_endpoint(
    state: &Rc<State>,
    call: &Call,
    tried: &BTreeSet<Endpoint>,
) -> Result<(Rc<Instance>, Option<Held>), Option<Duration>> {
    let mut excluded = tried.clone();
    let mut next_token: Option<Duration> = None;
    while let Some(instance) = choose_endpoint(state, call, &excluded) {
        match limit::consume(state, &instance, None, call).await {
            Ok(room) => return Ok((instance, room)),
            Err(wait) => {
                next_token = Some(next_token.map_or(wait, |next| next.min(wait)));
                excluded.insert(instance.id.clone());
            }
        }
    }
    Err(next_token)
}

fn choose_endpoint(state: &State, call: &Call, tried: &BTreeSet<Endpoint>) -> Option<Rc<Instance>> {
    let now = clock::now();
    let catalog = state.catalog.borrow();
    let health = state.health.borrow();
    let in_flight = state.in_flight.borrow();
    let serving = catalog.serving(&call.service);
    let candidates = serving
        .iter()
        .filter(|instance| !tried.contains(&instance.id))
        .map(|instance| Candidate {
            endpoint: instance.id.clone(),
            running: in_flight.get(&instance.id).copied().unwrap_or_default(),
            slots: instance.slots,
            is_same_zone: instance.zone == state.settings.zone,
            is_avoided: health.is_avoided(now, &instance.id),
            latency: health.latency(&instance.id).as_secs_f64(),
        })
        .collect();
    let seed = hash::mix(&call.fields.attempt_id, 0);
    let best = choice::rank_endpoints(candidates, seed)
        .into_iter()
        .next()?;
    catalog.endpoint(&best)
}

async fn attempt(
    state: &Rc<State>,
    call: &Call,
    instance: &Rc<Instance>,
    room: Option<Held>,
) -> Attempt {
    let run = Run::new(state, call, instance);
    let may_have_run = call.may_have_run.replace(true);
    let attempt = send(state, call, instance, room).await;
    if matches!(attempt, Attempt::NotSent(_) | Attempt::NotRun(_)) {
        call.may_have_run.set(may_have_run);
    }
    match &attempt {
        Attempt::Complete(head, _, framing) | Attempt::Shed(head, framing) => {
            run.responded(head.status, *framing);
        }
        Attempt::NotSent(_) | Attempt::NotRun(_) => run.ended(),
        Attempt::Unknown(_) => run.lost(),
        // The endpoint may have crashed without a reset of its connections.
        Attempt::Timeout => drop(run),
    }
    attempt
}

/// Sends the request to one endpoint and reads its response.
async fn send(
    state: &Rc<State>,
    call: &Call,
    instance: &Rc<Instance>,
    mut room: Option<Held>,
) -> Attempt {
    let _in_flight = InFlight::new(state, &instance.id);
    let left = call.time_left();
    let request = call.endpoint_request(&Dispatch {
        endpoint: instance.id.clone(),
        timeout: left,
        ..Dispatch::default()
    });
    let sent = link::send(
        state,
        instance,
        &request,
        &call.body,
        &call.fields.attempt_id,
        left,
    );
    let mut response = match sent.await {
        Ok(response) => response,
        Err(Failure::NotSent(reason)) => return Attempt::NotSent(reason),
        Err(Failure::Lost(reason)) => return Attempt::Unknown(reason),
        Err(Failure::Timeout) => return Attempt::Timeout,
    };
    if response.fields.is_not_executed {
        let status = response.head.status;
        if status == 503
            && let Some(room) = &mut room
        {
            room.reject();
        }
        return Attempt::NotRun(format!("endpoint-status-{status}"));
    }
    if !response.fields.is_signed {
        return Attempt::Unknown(format!("unsigned-status-{}", response.head.status));
    }
    match timer::within(call.time_left(), response.read_all(state, MAX_BODY_BYTES)).await {
        None => Attempt::Timeout,
        Some(Ok(body)) => {
            let (head, framing) = (response.head.clone(), response.framing);
            response.recycle(state);
            Attempt::Complete(head, body, framing)
        }
        Some(Err(Unread::TooLong)) => Attempt::Unknown("answer-too-long".to_string()),
        Some(Err(Unread::Shed | Unread::Slow)) => {
            Attempt::Shed(response.head.clone(), response.framing)
        }
        Some(Err(Unread::Connection(error))) => Attempt::Unknown(error.to_string()),
    }
}
