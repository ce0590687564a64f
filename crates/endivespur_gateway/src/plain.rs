//! Requests to plain services: any endpoint of the service will do.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::choice::{self, Candidate};
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::table::RetryPolicy;
use endivespur_core::hash;
use endivespur_core::id::Endpoint;
use endivespur_http::head::Response;
use endivespur_platform::header::Dispatch;

use crate::exchange::{Call, Caller, Ending};
use crate::relay::{self, Failure, log_attempt};
use crate::state::{Running, State};
use crate::{crash, timer};

/// The longest answer that is read whole before it is passed on.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// When a caller should come back that found every endpoint busy: a few work times.
const RETRY_AFTER: Duration = Duration::from_millis(150);
/// The most endpoints that are offered a request that none of them ran.
const MAX_OFFERS: usize = 3;

/// What is known of a request after an endpoint was tried.
enum Attempt {
    /// The endpoint's whole answer.
    Answered(Response, Vec<u8>),
    /// The endpoint was not reached.
    NotSent(String),
    /// It did not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// The time is over, and it may have run.
    Late,
}

/// Answers a request to a plain service.
pub async fn answer(state: &Rc<State>, call: &Call, caller: &mut Caller<'_>) -> Ending {
    let mut tried = BTreeSet::new();
    let mut runs = 0;
    let mut arrivals = 0;
    let mut failed: Option<(Response, Vec<u8>)> = None;
    let mut last = Ending::refused("no-endpoint", RETRY_AFTER);
    for _ in 0..MAX_OFFERS {
        if call.left().is_zero() || (arrivals > 0 && !state.withdraw_retry(&call.service)) {
            break;
        }
        let Some(instance) = choose(state, call, &tried) else {
            break;
        };
        tried.insert(instance.id.clone());
        let now = clock::now();
        let attempt = attempt(state, call, &instance).await;
        if !matches!(attempt, Attempt::NotSent(_)) {
            arrivals += 1;
        }
        match attempt {
            Attempt::Answered(head, body) if head.status < 500 => {
                let took = clock::now().saturating_sub(now);
                state
                    .health
                    .borrow_mut()
                    .record_success(clock::now(), &instance.id, took);
                return relayed(caller, &head, &body).await;
            }
            Attempt::Answered(head, body) => {
                let reason = format!("status {}", head.status);
                log_attempt(call, &instance, "failed", &reason);
                state
                    .health
                    .borrow_mut()
                    .record_failure(clock::now(), &instance.id);
                runs += 1;
                failed = Some((head, body));
            }
            Attempt::NotSent(reason) | Attempt::NotRun(reason) => {
                log_attempt(call, &instance, "not-run", &reason);
                last = Ending::refused(&reason, RETRY_AFTER);
                continue;
            }
            Attempt::Unknown(reason) => {
                log_attempt(call, &instance, "unknown", &reason);
                crash::suspect(state, call, instance.address);
                state
                    .health
                    .borrow_mut()
                    .record_failure(clock::now(), &instance.id);
                runs += 1;
                last = Ending::unknown(502, &reason);
            }
            Attempt::Late => {
                log_attempt(call, &instance, "late", "no answer in time");
                state
                    .health
                    .borrow_mut()
                    .record_timeout(clock::now(), &instance.id);
                last = Ending::unknown(504, "late");
                runs += 1;
            }
        }
        if call.route.retry_policy != RetryPolicy::Idempotent || runs >= call.route.max_endpoints {
            break;
        }
    }
    match failed {
        Some((head, body)) => relayed(caller, &head, &body).await,
        None => last,
    }
}

async fn relayed(caller: &mut Caller<'_>, head: &Response, body: &[u8]) -> Ending {
    match caller.whole(head, body).await {
        Ok(()) => Ending::Relayed(head.status),
        Err(error) => Ending::Broken(error.to_string()),
    }
}

fn choose(state: &State, call: &Call, tried: &BTreeSet<Endpoint>) -> Option<Rc<Instance>> {
    let now = clock::now();
    let catalog = state.catalog.borrow();
    let health = state.health.borrow();
    let running = state.running.borrow();
    let serving = catalog.serving(&call.service);
    let candidates = serving
        .iter()
        .filter(|instance| !tried.contains(&instance.id))
        .map(|instance| Candidate {
            endpoint: instance.id.clone(),
            running: running.get(&instance.id).copied().unwrap_or_default(),
            slots: instance.slots,
            is_same_zone: instance.zone == state.settings.zone,
            is_avoided: health.is_avoided(now, &instance.id),
            latency: health.latency(&instance.id).as_secs_f64(),
        })
        .collect();
    let seed = hash::mix(&call.fields.attempt, 0);
    let best = choice::rank_endpoints(candidates, seed)
        .into_iter()
        .next()?;
    catalog.endpoint(&best)
}

async fn attempt(state: &Rc<State>, call: &Call, instance: &Instance) -> Attempt {
    let _running = Running::new(state, &instance.id);
    let left = call.left();
    let request = call.dispatch(&Dispatch {
        endpoint: instance.id.clone(),
        timeout: left,
        ..Dispatch::default()
    });
    let sent = relay::send(
        state,
        instance,
        &request,
        &call.body,
        &call.fields.attempt,
        left,
    );
    let mut reply = match sent.await {
        Ok(reply) => reply,
        Err(Failure::NotSent(reason)) => return Attempt::NotSent(reason),
        Err(Failure::Lost(reason)) => return Attempt::Unknown(reason),
        Err(Failure::Late) => return Attempt::Late,
    };
    if reply.answer.is_not_executed {
        let status = reply.head.status;
        return Attempt::NotRun(format!("endpoint-status-{status}"));
    }
    if !reply.answer.is_signed {
        return Attempt::Unknown(format!("unsigned-status-{}", reply.head.status));
    }
    match timer::within(call.left(), reply.whole(MAX_BODY_BYTES)).await {
        None => Attempt::Late,
        Some(Ok(Some(body))) => {
            let head = reply.head.clone();
            reply.finish(state);
            Attempt::Answered(head, body)
        }
        Some(Ok(None)) => Attempt::Unknown("answer-too-long".to_string()),
        Some(Err(error)) => Attempt::Unknown(error.to_string()),
    }
}
