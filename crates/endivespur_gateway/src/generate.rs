//! Requests to model engines: each goes to the engine that was acquired for it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::table::RetryPolicy;
use endivespur_core::id::Endpoint;
use endivespur_http::head::Framing;
use endivespur_platform::header::Dispatch;
use log::info;

use crate::acquire::{Permit, acquire};
use crate::exchange::{Call, Caller, Ending};
use crate::relay::{self, Failure, log_attempt};
use crate::state::State;
use crate::{crash, telemetry, timer};

/// When a caller should come back that found no engine: a takeover of an owner.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// The most engines that are offered a request that none of them ran.
const MAX_OFFERS: usize = 6;
/// The longest body of a refusal that is read to keep the connection.
const MAX_REFUSAL_BYTES: usize = 4096;
/// How long after the deadline a stream may still end by itself.
const STREAM_SLACK: Duration = Duration::from_millis(300);

/// The events of a stream that were passed on.
struct Progress {
    last_event: Option<u64>,
    /// The bytes of an event that is not whole yet.
    partial: Vec<u8>,
}

/// How the answer of one engine ended.
enum Passed {
    Whole,
    /// It broke off; another engine may go on.
    Broken(String),
    /// The caller has left.
    Left(String),
}

/// What is to be done after one engine was offered the request.
enum Offer {
    /// The request has ended.
    Ended(Ending),
    /// The engine was not reached.
    NotSent(String),
    /// The engine did not run it.
    NotRun(String),
    /// The engine ran it, or may have, and another may go on.
    Failed(Ending),
}

/// What is known of a request so far.
struct Course {
    tried: BTreeSet<Endpoint>,
    /// The sends that reached an engine; each beyond the first is paid from the retry budget.
    arrivals: u32,
    /// The engines that ran it, or may have.
    runs: u32,
    progress: Progress,
}

/// Answers a request to a model engine.
pub async fn answer(state: &Rc<State>, call: &Call, caller: &mut Caller<'_>) -> Ending {
    let mut course = Course {
        tried: BTreeSet::new(),
        arrivals: 0,
        runs: 0,
        progress: Progress {
            last_event: call.fields.last_event_id,
            partial: Vec::new(),
        },
    };
    let mut last = Ending::refused("late", RETRY_AFTER);
    for offer in 0..MAX_OFFERS {
        if call.left().is_zero() {
            break;
        }
        let permit = match acquire(state, call, &course.tried).await {
            Ok(permit) => permit,
            Err(reason) => {
                if course.runs == 0 {
                    last = Ending::refused(reason, RETRY_AFTER);
                }
                break;
            }
        };
        if course.arrivals > 0 && !state.withdraw_retry(&call.service) {
            break;
        }
        log_permit(call, &permit, offer);
        let offered = offer_to(state, call, caller, permit, &mut course).await;
        if !matches!(offered, Offer::NotSent(_)) {
            course.arrivals += 1;
        }
        match offered {
            Offer::Ended(ending) => return ending,
            Offer::NotSent(reason) | Offer::NotRun(reason) if course.runs == 0 => {
                last = Ending::refused(&reason, RETRY_AFTER);
            }
            Offer::NotSent(_) | Offer::NotRun(_) => {}
            Offer::Failed(ending) => {
                last = ending;
                let may_resume = call.route.retry_policy == RetryPolicy::ResumableStream;
                if !may_resume || course.runs >= call.route.max_endpoints {
                    break;
                }
            }
        }
    }
    if caller.has_begun {
        return Ending::Broken("stream not resumed".to_string());
    }
    last
}

/// Sends the request to one engine and passes its answer on.
async fn offer_to(
    state: &Rc<State>,
    call: &Call,
    caller: &mut Caller<'_>,
    mut permit: Permit,
    course: &mut Course,
) -> Offer {
    let instance = permit.instance.clone();
    let now = clock::now();
    let sent = send(state, call, &permit, course.progress.last_event, caller).await;
    let failure = match sent {
        Ok(reply) if reply.answer.is_not_executed => {
            return not_run(state, call, &mut permit, course, reply).await;
        }
        Ok(mut reply) if reply.answer.is_signed => {
            telemetry::began(clock::now().saturating_sub(now));
            info!(
                event = "head", request = call.fields.attempt.as_str(),
                endpoint = instance.id.as_str(), status = reply.head.status,
                took_ms = clock::now().saturating_sub(now).as_millis() as u64; "answer began"
            );
            permit.began();
            let is_failure = reply.head.status >= 500;
            let may_resume = call.route.retry_policy == RetryPolicy::ResumableStream
                && course.runs + 1 < call.route.max_endpoints;
            if is_failure && (caller.has_begun || may_resume) {
                format!("engine-status-{}", reply.head.status)
            } else {
                if !is_failure {
                    let took = clock::now().saturating_sub(now);
                    let mut health = state.health.borrow_mut();
                    health.record_success(clock::now(), &instance.id, took);
                }
                match pass_on(call, caller, &mut reply, &mut course.progress).await {
                    Passed::Whole => {
                        let status = reply.head.status;
                        reply.finish(state);
                        return Offer::Ended(Ending::Relayed(status));
                    }
                    Passed::Left(reason) => return Offer::Ended(Ending::Broken(reason)),
                    Passed::Broken(reason) => reason,
                }
            }
        }
        Ok(reply) => format!("unsigned-status-{}", reply.head.status),
        Err(Failure::NotSent(reason)) => {
            log_attempt(call, &instance, "not-sent", &reason);
            course.tried.insert(instance.id.clone());
            return Offer::NotSent(reason);
        }
        Err(Failure::Late) => {
            log_attempt(call, &instance, "late", "no answer in time");
            state
                .health
                .borrow_mut()
                .record_timeout(clock::now(), &instance.id);
            return Offer::Ended(Ending::unknown(504, "late"));
        }
        Err(Failure::Lost(reason)) => reason,
    };
    course.runs += 1;
    crash::suspect(state, call, instance.address);
    log_attempt(call, &instance, "unknown", &failure);
    state
        .health
        .borrow_mut()
        .record_failure(clock::now(), &instance.id);
    course.tried.insert(instance.id.clone());
    Offer::Failed(Ending::unknown(502, &failure))
}

/// Notes that an engine did not run the request; one that lacks the adapter is asked again.
async fn not_run(
    state: &Rc<State>,
    call: &Call,
    permit: &mut Permit,
    course: &mut Course,
    mut reply: relay::Reply,
) -> Offer {
    let status = reply.head.status;
    permit.is_missing = status == 421;
    if status != 421 || permit.grant.is_none() {
        course.tried.insert(permit.instance.id.clone());
    }
    let reason = format!("engine-status-{status}");
    log_attempt(call, &permit.instance, "not-run", &reason);
    if let Ok(Some(_)) = reply.whole(MAX_REFUSAL_BYTES).await {
        reply.finish(state);
    }
    Offer::NotRun(reason)
}

fn log_permit(call: &Call, permit: &Permit, offer: usize) {
    let waited = clock::now().saturating_sub(call.started);
    telemetry::granted(waited);
    info!(
        event = "granted", request = call.fields.attempt.as_str(),
        endpoint = permit.instance.id.as_str(), adapter = permit.weights.to_string(),
        owner:? = permit.grant.map(|(seat, _)| seat), version = permit.version, offer,
        tokens = call.fields.prompt_tokens,
        waited_ms = waited.as_millis() as u64; "granted"
    );
}

async fn send(
    state: &Rc<State>,
    call: &Call,
    permit: &Permit,
    last_event: Option<u64>,
    caller: &Caller<'_>,
) -> Result<relay::Reply, Failure> {
    let left = call.left();
    let request = call.dispatch(&Dispatch {
        endpoint: permit.instance.id.clone(),
        timeout: left,
        version: permit.version,
        priority: Some(call.route.priority.min(9)),
        resume_after: last_event.filter(|_| caller.has_begun),
    });
    relay::send(
        state,
        &permit.instance,
        &request,
        &call.body,
        &call.fields.attempt,
        left,
    )
    .await
}

/// Passes an engine's answer on, whole events at a time.
async fn pass_on(
    call: &Call,
    caller: &mut Caller<'_>,
    reply: &mut relay::Reply,
    progress: &mut Progress,
) -> Passed {
    let is_stream = call.route.retry_policy.is_stream() && reply.head.status == 200;
    let limit = call.left() + STREAM_SLACK;
    let work = async {
        if !caller.has_begun {
            let framing = if is_stream {
                Framing::Chunked
            } else {
                reply.framing
            };
            if let Err(error) = caller.begin(&reply.head, framing).await {
                return Passed::Left(error.to_string());
            }
        }
        progress.partial.clear();
        loop {
            let bytes = match reply.next().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(error) => return Passed::Broken(error.to_string()),
            };
            let written = if is_stream {
                let events = whole_events(progress, &bytes);
                caller.piece(&events).await
            } else {
                caller.piece(&bytes).await
            };
            if let Err(error) = written {
                return Passed::Left(error.to_string());
            }
        }
        if is_stream && !progress.partial.is_empty() {
            return Passed::Broken("stream ended inside an event".to_string());
        }
        match caller.end().await {
            Ok(()) => Passed::Whole,
            Err(error) => Passed::Left(error.to_string()),
        }
    };
    timer::within(limit, work)
        .await
        .unwrap_or_else(|| Passed::Left("deadline".to_string()))
}

/// Returns the events that are whole with these bytes, less those passed on before.
fn whole_events(progress: &mut Progress, bytes: &[u8]) -> Vec<u8> {
    progress.partial.extend_from_slice(bytes);
    let mut events = Vec::new();
    while let Some(end) = progress.partial.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = progress.partial.drain(..end + 2).collect();
        let id = event_id(&event);
        let is_repeated = matches!((id, progress.last_event), (Some(id), Some(last)) if id <= last);
        if is_repeated {
            continue;
        }
        progress.last_event = id.or(progress.last_event);
        events.extend_from_slice(&event);
    }
    events
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
