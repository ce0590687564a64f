//! Handles requests to model engines: each is sent to an engine for which it has a permit.

use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::table::{EngineClass, RetryPolicy};
use endivespur_core::id::{Endpoint, Software};
use endivespur_http::head::Framing;
use endivespur_platform::header::{self, Dispatch};
use log::info;
use smol::future;

use crate::acquire::{Permit, Unavailable, acquire};
use crate::crash::{self, Run};
use crate::exchange::{Call, Caller, Outcome};
use crate::relay::{self, EndpointResponse, Failure, Outgoing, log_failed_attempt};
use crate::room::Held;
use crate::state::State;
use crate::{authorize, limit, link, stream, telemetry, timer};

/// The delay after which a caller retries when no engine was found: the time in which a new owner
/// takes over.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// The maximum number of attempts for one request.
const ATTEMPT_LIMIT: usize = 6;
/// The maximum size of one event of a stream, which is held until it is complete.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The difference between the ids of two events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Fewer than two events were relayed.
    Unknown,
    /// It was the same for all events so far.
    Constant(u64),
    /// It differed.
    Variable,
}

impl Step {
    fn after(self, step: u64) -> Self {
        match self {
            Self::Unknown => Self::Constant(step),
            Self::Constant(known) if known == step => self,
            Self::Constant(_) | Self::Variable => Self::Variable,
        }
    }
}

/// The position in the stream of events relayed to the caller.
struct Stream {
    last_event_id: Option<u64>,
    step: Step,
    /// Whether the next event is the first one of an engine that resumes the stream.
    is_resumed: bool,
    /// The bytes of an incomplete event.
    partial: Vec<u8>,
    /// The time that the current engine has taken since its last event.
    waited: Duration,
    /// Whether the current engine has written an event.
    has_event: bool,
    /// The longest time that the current engine took between two events.
    longest_pause: Duration,
    /// Whether an engine has written its first event.
    has_begun: bool,
    /// The software version that wrote its first event, if it is known; only that version may resume it.
    software: Option<Software>,
}

impl Stream {
    /// Begins the part that another engine writes.
    fn begin(&mut self, is_resumed: bool) {
        self.partial.clear();
        self.is_resumed = is_resumed;
        self.waited = Duration::ZERO;
        self.has_event = false;
        self.longest_pause = Duration::ZERO;
    }

    /// Looks up the software version that wrote the first event; returns `false` if it is not known, so that no engine may
    /// go on with the stream.
    fn find_software(&mut self, state: &State, call: &Call) -> bool {
        if self.has_begun && self.software.is_none() {
            self.software = stream::resolved(state, call);
        }
        self.software.is_some() || !self.has_begun
    }

    /// Returns whether a start of an engine, if it is known which, may write the next event.
    fn may_be_written_by(
        &self,
        state: &State,
        instance: &Instance,
        started_ms: Option<u64>,
    ) -> bool {
        let required = self.software.as_ref();
        required.is_none() || stream::software(state, instance, started_ms).as_ref() == required
    }

    /// Records the time that the engine took, if events are complete.
    fn record_pause(&mut self, is_complete: bool) {
        if !is_complete {
            return;
        }
        let waited = std::mem::take(&mut self.waited);
        if self.has_event {
            self.longest_pause = self.longest_pause.max(waited);
        }
        self.has_event = true;
    }
}

/// The outcome of relaying one engine's response.
enum Transfer {
    Complete,
    /// The engine's response was interrupted; another engine may resume it.
    Interrupted(String),
    /// The caller has disconnected, or the deadline has passed.
    Aborted(String),
}

/// The outcome of one attempt at one engine.
enum Attempt {
    /// The request has ended.
    Ended(Outcome),
    /// The engine was not reached.
    NotSent(String),
    /// The engine did not run it.
    NotRun(String),
    /// The engine ran it, or may have, and another may resume it.
    Failed(Outcome),
}

/// The progress of a request over all attempts.
struct Progress {
    tried: BTreeSet<Endpoint>,
    /// The attempts that reached an engine; each beyond the first is charged to the retry budget.
    deliveries: u32,
    /// The attempts that ran, or may have run.
    runs: u32,
    stream: Stream,
}

/// Checks that a request's prompt fits into the memory of an engine of its service.
///
/// # Errors
///
/// Returns the refusal if it does not: no engine can ever run it.
pub fn check_size(call: &Call, class: &EngineClass) -> Result<(), Outcome> {
    // A service may not state the memory of its engines.
    let is_known = class.memory_tokens > 0;
    if is_known && u64::from(call.fields.prompt_tokens) > class.memory_tokens {
        return Err(Outcome::unservable("prompt-exceeds-memory"));
    }
    Ok(())
}

/// Handles a request to a model engine.
pub async fn handle(state: &Rc<State>, call: &Call, caller: &mut Caller<'_>) -> Outcome {
    let mut progress = Progress {
        tried: BTreeSet::new(),
        deliveries: 0,
        runs: 0,
        stream: Stream {
            last_event_id: call.fields.last_event_id,
            step: Step::Unknown,
            is_resumed: false,
            partial: Vec::new(),
            waited: Duration::ZERO,
            has_event: false,
            longest_pause: Duration::ZERO,
            has_begun: call.software.is_some(),
            software: call.software.clone(),
        },
    };
    let mut last = Outcome::refused("late", RETRY_AFTER);
    for attempt_number in 0..ATTEMPT_LIMIT {
        if call.time_left().is_zero() {
            break;
        }
        if !progress.stream.find_software(state, call) {
            break;
        }
        let software = progress.stream.software.as_ref();
        let mut permit = match acquire(state, call, &progress.tried, software).await {
            Ok(permit) => permit,
            Err(Unavailable {
                reason,
                retry_after,
            }) => {
                if progress.runs == 0 {
                    last = match retry_after {
                        Some(wait) => limit::refuse(call, wait),
                        None => Outcome::refused(reason, RETRY_AFTER),
                    };
                }
                break;
            }
        };
        let token = permit.token.take();
        let room = match limit::consume(state, &permit.instance, token, call).await {
            Ok(room) => room,
            Err(wait) => {
                if progress.runs == 0 {
                    last = limit::refuse(call, wait);
                }
                continue;
            }
        };
        let check = authorize::check_before_send(state, call)
            .and_then(|()| crash::check_before_send(state, call));
        if let Err(refusal) = check {
            if progress.runs == 0 {
                return refusal;
            }
            break;
        }
        if progress.deliveries > 0 && !state.withdraw_retry(&call.service) {
            break;
        }
        log_permit(call, &permit, attempt_number);
        let may_have_run = call.may_have_run.replace(true);
        let attempt = attempt(state, call, caller, permit, room, &mut progress).await;
        if matches!(attempt, Attempt::NotSent(_) | Attempt::NotRun(_)) {
            call.may_have_run.set(may_have_run);
        }
        if !matches!(attempt, Attempt::NotSent(_)) {
            progress.deliveries += 1;
        }
        match attempt {
            Attempt::Ended(outcome) => return outcome,
            Attempt::NotSent(reason) | Attempt::NotRun(reason) if progress.runs == 0 => {
                last = Outcome::refused(&reason, RETRY_AFTER);
            }
            Attempt::NotSent(_) | Attempt::NotRun(_) => {}
            Attempt::Failed(outcome) => {
                call.is_trial.set(false);
                last = outcome;
                let may_resume = call.route.retry_policy == RetryPolicy::ResumableStream;
                if !may_resume || progress.runs >= call.route.max_endpoints {
                    break;
                }
            }
        }
    }
    if caller.has_started {
        return Outcome::Aborted("stream not resumed".to_string());
    }
    if progress.runs == 0
        && let Err(refusal) = authorize::check_before_send(state, call)
    {
        return refusal;
    }
    match limit::service_wait(state, &call.service) {
        Some(wait) if progress.runs == 0 => limit::refuse(call, wait),
        _ => last,
    }
}

/// Sends the request to one engine and relays its response.
async fn attempt(
    state: &Rc<State>,
    call: &Call,
    caller: &mut Caller<'_>,
    mut permit: Permit,
    mut room: Option<Held>,
    progress: &mut Progress,
) -> Attempt {
    let instance = permit.instance.clone();
    let mut run = Run::new(state, call, &instance);
    let now = clock::now();
    let sent = send(state, call, &permit, &progress.stream, &run, caller).await;
    if let Ok(response) = &sent {
        run.identified(response.started_ms);
        if response.fields.is_signed {
            permit.slowdown = response.fields.slowdown.unwrap_or_default();
        }
    }
    let failure = match sent {
        Ok(response) if response.fields.is_not_executed => {
            run.ended();
            if response.head.status == 503
                && let Some(room) = &mut room
            {
                room.reject();
            }
            let status = response.head.status;
            return record_not_run(call, &mut permit, progress, status);
        }
        Ok(mut response) if response.fields.is_signed => {
            log_head(call, &instance, &response, clock::now().saturating_sub(now));
            // An error may come before the prompt is read, and would count as a fast prefill.
            if response.head.status < 300 {
                permit.response_started();
            }
            run.response_started();
            let is_failure = response.head.status >= 500;
            let may_resume = call.route.retry_policy == RetryPolicy::ResumableStream
                && progress.runs + 1 < call.route.max_endpoints;
            let started_ms = response.started_ms;
            let stream = &progress.stream;
            if !is_failure && !stream.may_be_written_by(state, &instance, started_ms) {
                // It was sent through a gateway that cannot tell before.
                run.ended();
                return record_other_start(call, &instance, progress);
            }
            if caller.has_started && !header::is_event_stream(&response.head) {
                format!("engine-status-{}-is-no-stream", response.head.status)
            } else if is_failure && may_resume {
                format!("engine-status-{}", response.head.status)
            } else {
                if !is_failure {
                    let took = clock::now().saturating_sub(now);
                    let mut health = state.health.borrow_mut();
                    health.record_success(clock::now(), &instance.id, took);
                }
                let stream = &mut progress.stream;
                let transfer =
                    relay_response(state, call, caller, &instance, &mut response, stream).await;
                permit.longest_pause = stream.longest_pause;
                telemetry::pause_recorded("observed", stream.longest_pause);
                match transfer {
                    Transfer::Complete => {
                        let status = response.head.status;
                        let framing = response.framing;
                        response.recycle(state);
                        run.responded(status, framing);
                        return Attempt::Ended(Outcome::Relayed(status));
                    }
                    Transfer::Aborted(reason) => return Attempt::Ended(Outcome::Aborted(reason)),
                    Transfer::Interrupted(reason) => reason,
                }
            }
        }
        Ok(response) => format!("unsigned-status-{}", response.head.status),
        Err(failure @ (Failure::NotSent(_) | Failure::OtherStart)) => {
            run.ended();
            let reason = failure.reason();
            log_failed_attempt(call, &instance, "not-sent", &reason);
            progress.tried.insert(instance.id.clone());
            return Attempt::NotSent(reason);
        }
        Err(Failure::Denied) => {
            run.ended();
            return Attempt::NotSent("unauthorized".to_string());
        }
        Err(Failure::Timeout) => {
            log_failed_attempt(call, &instance, "late", "no answer in time");
            state
                .health
                .borrow_mut()
                .record_timeout(clock::now(), &instance.id);
            return Attempt::Ended(Outcome::unknown(504, "late"));
        }
        Err(Failure::Lost(reason)) => reason,
    };
    progress.runs += 1;
    run.lost();
    log_failed_attempt(call, &instance, "unknown", &failure);
    state
        .health
        .borrow_mut()
        .record_failure(clock::now(), &instance.id);
    progress.tried.insert(instance.id.clone());
    Attempt::Failed(Outcome::unknown(502, &failure))
}

fn log_head(call: &Call, instance: &Instance, response: &EndpointResponse, took: Duration) {
    telemetry::response_started(took);
    info!(
        event = "head", request = call.fields.attempt_id.as_str(),
        endpoint = instance.id.as_str(), born:? = response.started_ms, registered = instance.started_ms,
        status = response.head.status, framing:? = response.framing,
        took_ms = took.as_millis() as u64; "response started"
    );
}

/// Records that another start of an engine than the one that was chosen has run the request.
fn record_other_start(call: &Call, instance: &Instance, progress: &mut Progress) -> Attempt {
    progress.runs += 1;
    progress.tried.insert(instance.id.clone());
    log_failed_attempt(call, instance, "unknown", "started again");
    Attempt::Failed(Outcome::unknown(502, "started again"))
}

/// Records that an engine did not run the request.
///
/// An engine that lacks the adapter may be tried again if its owner granted the request.
fn record_not_run(
    call: &Call,
    permit: &mut Permit,
    progress: &mut Progress,
    status: u16,
) -> Attempt {
    permit.is_adapter_missing = status == 421;
    if status != 421 || permit.grant.is_none() {
        progress.tried.insert(permit.instance.id.clone());
    }
    let reason = format!("engine-status-{status}");
    log_failed_attempt(call, &permit.instance, "not-run", &reason);
    Attempt::NotRun(reason)
}

fn log_permit(call: &Call, permit: &Permit, attempt_number: usize) {
    let waited = clock::now().saturating_sub(call.started);
    telemetry::engine_granted(waited);
    info!(
        event = "granted", request = call.fields.attempt_id.as_str(),
        team = call.team.as_deref().unwrap_or_default(),
        endpoint = permit.instance.id.as_str(), software = permit.instance.software.as_str(), adapter = permit.weights.to_string(),
        owner:? = permit.grant.map(|(location, _)| location), version = permit.version,
        offer = attempt_number, tokens = call.fields.prompt_tokens, parts = call.part_ids(),
        waited_ms = waited.as_millis() as u64; "granted"
    );
}

async fn send(
    state: &Rc<State>,
    call: &Call,
    permit: &Permit,
    stream: &Stream,
    run: &Run,
    caller: &Caller<'_>,
) -> Result<EndpointResponse, Failure> {
    let left = call.time_left();
    let request = call.endpoint_request(&Dispatch {
        endpoint: permit.instance.id.clone(),
        timeout: left,
        version: permit.version,
        priority: Some(call.route.priority.min(9)),
        resume_after: stream.last_event_id.filter(|_| caller.has_started),
    });
    // The engine was chosen for the software version in its registration.
    let expected_start = stream.software.as_ref().map(|_| permit.instance.started_ms);
    let outgoing = Outgoing {
        request: &request,
        body: &call.body,
        attempt_id: &call.fields.attempt_id,
        limit: left,
        expected_start,
        may_send: &|started_ms| {
            run.identified(started_ms);
            authorize::is_authorized(state, call)
        },
    };
    link::send(state, &permit.instance, outgoing).await
}

/// Relays an engine's response; a stream is relayed in complete events.
async fn relay_response(
    state: &State,
    call: &Call,
    caller: &mut Caller<'_>,
    instance: &Instance,
    response: &mut EndpointResponse,
    stream: &mut Stream,
) -> Transfer {
    let is_stream = call.route.retry_policy.is_stream() && response.head.status == 200;
    let limit = call.time_left() + relay::STREAM_SLACK;
    let is_resumed = caller.has_started;
    let started_ms = response.started_ms;
    let work = async {
        if !caller.has_started {
            let framing = if is_stream {
                Framing::Chunked
            } else {
                response.framing
            };
            if let Err(error) = caller.send_head(&response.head, framing).await {
                return Transfer::Aborted(error.to_string());
            }
        }
        stream.begin(is_resumed);
        loop {
            let asked = clock::now();
            let next = {
                let mut next = pin!(response.next_chunk(state));
                if let Some(next) = future::poll_once(&mut next).await {
                    next
                } else {
                    caller.catch_up();
                    next.await
                }
            };
            // Without the time in which a slow caller holds up the stream.
            stream.waited += clock::now().saturating_sub(asked);
            let bytes = match next {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(error) => return Transfer::Interrupted(error.to_string()),
            };
            let sent = if is_stream {
                let events = match complete_events(stream, &bytes) {
                    Ok(events) => events,
                    Err(reason) => return Transfer::Interrupted(reason),
                };
                if stream.partial.len() > MAX_EVENT_BYTES {
                    return Transfer::Interrupted("event too long".to_string());
                }
                stream.record_pause(!events.is_empty());
                if !events.is_empty() && !stream.has_begun {
                    stream.has_begun = true;
                    stream.software = stream::began(state, call, instance, started_ms);
                }
                caller.send_chunk(&events).await
            } else {
                caller.send_chunk(&bytes).await
            };
            if let Err(error) = sent {
                return Transfer::Aborted(error.to_string());
            }
        }
        if is_stream && !stream.partial.is_empty() {
            return Transfer::Interrupted("stream ended inside an event".to_string());
        }
        match caller.end_body().await {
            Ok(()) => Transfer::Complete,
            Err(error) => Transfer::Aborted(error.to_string()),
        }
    };
    timer::within(limit, work)
        .await
        .unwrap_or_else(|| Transfer::Aborted("deadline".to_string()))
}

/// Returns the events completed by these bytes, without those relayed before.
///
/// # Errors
///
/// Returns the reason if an engine that resumes the stream does not begin with the next event.
fn complete_events(stream: &mut Stream, bytes: &[u8]) -> Result<Vec<u8>, String> {
    stream.partial.extend_from_slice(bytes);
    let mut events = Vec::new();
    while let Some(end) = stream.partial.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = stream.partial.drain(..end + 2).collect();
        let id = event_id(&event);
        let is_repeated =
            matches!((id, stream.last_event_id), (Some(id), Some(last)) if id <= last);
        if is_repeated {
            continue;
        }
        if stream.is_resumed {
            check_next(stream, id)?;
            stream.is_resumed = false;
        }
        if let (Some(id), Some(last)) = (id, stream.last_event_id) {
            stream.step = stream.step.after(id - last);
        }
        stream.last_event_id = id.or(stream.last_event_id);
        events.extend_from_slice(&event);
    }
    Ok(events)
}

/// Checks that an event is the next one of a resumed stream, as far as its ids tell.
fn check_next(stream: &Stream, id: Option<u64>) -> Result<(), String> {
    let Some(last) = stream.last_event_id else {
        return Ok(());
    };
    match (id, stream.step) {
        (None, _) => Err(format!("event without id after {last}")),
        (Some(id), Step::Constant(step)) if id != last + step => {
            Err(format!("event {id} after {last}"))
        }
        _ => Ok(()),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
