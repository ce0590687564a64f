//! Completions, whole or streamed, with retries until the first part of the response has been
//! sent.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::burn::Objective;
use endivespur_core::config::Class;
use endivespur_core::feature::{Feature, Fingerprint};
use endivespur_core::id::Model;
use endivespur_core::quota::DEFAULT_MAX_TOKENS;
use endivespur_core::route;
use endivespur_core::suspect::{Admission, SHARED_RUN};
use endivespur_net::body::Chunk;
use endivespur_net::{body, client, sse};
use http_types::{Method, Request, Response, StatusCode};
use log::warn;
use serde_json::Value;
use smol::channel::Sender;

use crate::answer::{Failure, Outcome};
use crate::answered::{next_event, read_whole, replace_model};
use crate::bodies::{self, Body, Held};
use crate::clock;
use crate::dispatch::{self, AttemptError, Job, Permit};
use crate::engine;
use crate::entry::{self, Caller, InFlight};
use crate::node::Node;
use crate::once;
use crate::quota;
use crate::suspicion;

/// The bytes of the request body that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// The maximum number of engines that one request is sent to.
const ATTEMPT_LIMIT: u64 = 4;
/// The number of events that are buffered for a slow caller.
const STREAM_BUFFER_EVENTS: usize = 64;

/// A parsed completion request.
struct Completion {
    job: Job,
    path: &'static str,
    model: String,
    stream: bool,
    body: Value,
    /// What may crash the engines that run it.
    features: Rc<[Feature]>,
    /// The features that are blocked for other requests while this one runs alone.
    blocked: Vec<Fingerprint>,
    /// The memory that the body takes.
    held: Held,
    /// Counts the request as in flight until the response has ended.
    in_flight: Rc<InFlight>,
}

/// Answers a request to the completions API.
///
/// # Errors
///
/// Returns the final refusal or failure.
pub async fn call(
    node: &Rc<Node>,
    caller: Caller,
    mut request: Request,
    path: &'static str,
) -> Result<Response, Failure> {
    let bytes = bodies::read(node, &mut request).await?;
    let completion = parse(node, &caller, bytes, path)?;
    let once = {
        let config = node.config.borrow();
        let service = route::check(&config, &completion.job.request)?;
        config
            .services
            .get(&service)
            .is_some_and(|policy| policy.once)
    };
    match (once, caller.key) {
        (true, None) => {
            let message = "a call that may not be repeated needs an Idempotency-Key";
            Err(Failure::not_run(StatusCode::BadRequest, message))
        }
        (_, Some(key)) => Ok(run_once(node, completion, key).await),
        (false, None) => run_with_retries(node, completion).await,
    }
}

fn bad_request(message: &str) -> Failure {
    Failure::not_run(StatusCode::BadRequest, message)
}

fn parse(
    node: &Node,
    caller: &Caller,
    bytes: Body,
    path: &'static str,
) -> Result<Completion, Failure> {
    let body: Value = serde_json::from_slice(&bytes)
        .map_err(|error| bad_request(&format!("the body is no JSON: {error}")))?;
    let name = body["model"]
        .as_str()
        .ok_or_else(|| bad_request("model is missing"))?;
    let (base, model) =
        parse_model(name).ok_or_else(|| bad_request("model has the form BASE/ADAPTER@VERSION"))?;
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
    let request = route::Request {
        organisation: caller.organisation.clone(),
        base: Some(base),
        service: None,
        model: Some(model),
        place: caller.place.clone(),
    };
    let (service, class) = {
        let config = node.config.borrow();
        let service = route::check(&config, &request)?;
        let policy = config.services.get(&service);
        let class = policy.map_or(Class::Draft, |policy| policy.class);
        (service, class)
    };
    let now = clock::now();
    let job = Job {
        id: caller.id.clone(),
        request,
        service,
        class,
        cost: (bytes.len() / BYTES_PER_TOKEN) as u32 + tokens.min(1 << 20) as u32,
        received_at: now,
        deadline: now + entry::max_wait(node, class),
        alone: false,
        avoid: std::collections::BTreeSet::new(),
    };
    Ok(Completion {
        features: suspicion::features(&caller.organisation, name, &bytes, &body).into(),
        blocked: Vec::new(),
        job,
        path,
        model: name.to_string(),
        stream: body["stream"].as_bool().unwrap_or(false),
        in_flight: caller.in_flight.clone(),
        held: bytes.into_held(),
        body,
    })
}

/// Parses `BASE/ADAPTER@VERSION`; the base itself may contain slashes.
fn parse_model(name: &str) -> Option<(String, Model)> {
    let (base, adapter) = name.rsplit_once('/')?;
    let (adapter, version) = adapter.rsplit_once('@')?;
    Some((base.to_string(), Model::new(adapter, version.parse().ok()?)))
}

/// Builds the engine's request, whose model is the granted slot.
fn request(body: &Value, path: &str, permit: &Permit) -> Result<Request, Failure> {
    let bad_gateway = |message: &str| Failure::not_run(StatusCode::BadGateway, message);
    let slot = permit
        .grant
        .slot
        .as_ref()
        .ok_or_else(|| bad_gateway("the grant names no slot"))?;
    let mut body = body.clone();
    body["model"] = Value::from(slot.to_string());
    let mut request = client::request(Method::Post, &permit.address, path)
        .map_err(|error| bad_gateway(&error.to_string()))?;
    request.set_body(body.to_string());
    request.insert_header("content-type", "application/json");
    Ok(request)
}

async fn run_once(node: &Rc<Node>, completion: Completion, key: String) -> Response {
    let Completion {
        job,
        path,
        model,
        body,
        features,
        held,
        ..
    } = completion;
    let header = key.clone();
    let build_request: once::RequestBuilder = Rc::new(move |permit: &Permit| {
        let _held = &held;
        let mut request = request(&body, path, permit)?;
        request.insert_header("idempotency-key", header.as_str());
        Ok(request)
    });
    let wait = node.settings.waiting.token;
    let read_answer: once::AnswerReader = Rc::new(move |response| {
        let model = model.clone();
        Box::pin(async move { read_whole(response, &model, wait).await })
    });
    let call = once::Call {
        job,
        key,
        digest: features.last().map_or(0, |whole| whole.fingerprint),
        build_request,
        read_answer,
    };
    once::run(node, call).await
}

/// Runs a completion, and retries it on other engines until one has sent a part of the
/// response.
async fn run_with_retries(
    node: &Rc<Node>,
    mut completion: Completion,
) -> Result<Response, Failure> {
    let organisation = completion.job.request.organisation.clone();
    node.update_retry_budget(&organisation, endivespur_core::retry::Budget::deposit);
    let mut last = Failure::unknown("no attempt was made");
    let mut may_have_run = false;
    // The permitted zones are checked before anything else about the request.
    dispatch::candidates(node, &completion.job)?;
    let mut charge = quota::admit(node, &completion.job).await?;
    for attempt in 0..ATTEMPT_LIMIT {
        let deadline = completion.job.deadline;
        let (admission, blocked) = suspicion::admit(node, &completion.features, deadline).await;
        completion.blocked = blocked;
        if admission == Admission::Quarantined {
            let message = "the request has crashed the endpoints that ran it";
            return Err(
                Failure::not_run(StatusCode::UnprocessableEntity, message).after_lost_attempt(true)
            );
        }
        if admission == Admission::Wait {
            let message = "the request is under suspicion and runs elsewhere";
            return Err(Failure::not_run(StatusCode::ServiceUnavailable, message)
                .with_retry_after(Duration::from_secs(2))
                .after_lost_attempt(may_have_run));
        }
        completion.job.alone = admission == Admission::Alone;
        let permit = match dispatch::acquire(node, &completion.job).await {
            Ok(permit) => permit,
            Err(failure) => {
                suspicion::abandon(node, &completion.blocked).await;
                return Err(failure.after_lost_attempt(may_have_run));
            }
        };
        let endpoint = permit.endpoint.clone();
        charge.set_may_have_run(true);
        let error = match run(node, &completion, permit, attempt).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        let id = &completion.job.id;
        warn!(
            event = "attempt", request = id.as_str(), endpoint = endpoint.as_str(),
            outcome = error.outcome(); "{error:?}"
        );
        may_have_run |= matches!(error, AttemptError::Lost(_));
        charge.set_may_have_run(may_have_run);
        last = match error {
            AttemptError::NotRun(message) => {
                Failure::not_run(StatusCode::ServiceUnavailable, &message)
                    .with_retry_after(Duration::from_secs(1))
                    .after_lost_attempt(may_have_run)
            }
            AttemptError::Lost(message) => Failure::unknown(&message),
        };
        completion.job.avoid.insert(endpoint);
        if !node.withdraw_retry(&organisation) {
            break;
        }
    }
    Err(last)
}

/// Sends one attempt and returns once its first event or its whole response has been received.
async fn run(
    node: &Rc<Node>,
    completion: &Completion,
    mut permit: Permit,
    attempt: u64,
) -> Result<Response, AttemptError> {
    let request = request(&completion.body, completion.path, &permit)
        .map_err(|failure| AttemptError::NotRun(failure.message))?;
    let id = format!("{}.{attempt}", completion.job.id);
    let sent = dispatch::send(&mut permit, request, &id).await;
    let result = match sent {
        Ok(response) => receive(node, completion, response).await,
        Err(error) => Err(error),
    };
    match result {
        Ok((response, None)) => {
            let mut response = response;
            record_attempt(node, completion, &permit, true).await;
            entry::add_run_headers(&mut response, &permit, &completion.job);
            Ok(response)
        }
        Ok((mut response, Some(stream))) => {
            entry::add_run_headers(&mut response, &permit, &completion.job);
            let forwarding = relay(node.clone(), stream, permit, completion);
            node.spawn(forwarding);
            Ok(response)
        }
        Err(error) => {
            if matches!(error, AttemptError::Lost(_)) {
                permit.needs_relist = true;
                record_attempt(node, completion, &permit, false).await;
            }
            permit.close().await;
            Err(error)
        }
    }
}

/// A stream whose first event has been received.
struct Stream {
    reader: sse::Reader,
    sender: Sender<Chunk>,
    first: String,
}

/// Receives a whole response, or the first event of a stream.
async fn receive(
    node: &Rc<Node>,
    completion: &Completion,
    mut response: Response,
) -> Result<(Response, Option<Stream>), AttemptError> {
    let status = response.status();
    let wait = node.settings.waiting.token;
    if !completion.stream || !status.is_success() {
        let answer = read_whole(response, &completion.model, wait)
            .await
            .map_err(AttemptError::Lost)?;
        let mut whole = Response::new(status);
        whole.set_body(answer.body);
        whole.insert_header("content-type", answer.media);
        return Ok((whole, None));
    }
    let mut reader = sse::Reader::new(response.take_body());
    let first = next_event(&mut reader, wait)
        .await
        .map_err(AttemptError::Lost)?;
    let delay = clock::now().saturating_sub(completion.job.received_at);
    let job = &completion.job;
    node.record_delay(
        &job.service,
        &job.request.organisation,
        Objective::FirstToken,
        delay,
    );
    metrics::histogram!("endivespur_first_token_seconds").record(delay.as_secs_f64());
    let (sender, body) = body::channel(STREAM_BUFFER_EVENTS);
    let mut streamed = Response::new(status);
    streamed.set_body(body);
    streamed.insert_header("content-type", "text/event-stream");
    let stream = Stream {
        reader,
        sender,
        first,
    };
    Ok((streamed, Some(stream)))
}

/// Forwards the events up to the end mark `[DONE]`; a stream without it ends with an error.
fn relay(
    node: Rc<Node>,
    mut stream: Stream,
    permit: Permit,
    completion: &Completion,
) -> impl Future<Output = ()> + 'static {
    let model = completion.model.clone();
    let id = completion.job.id.clone();
    let features = completion.features.clone();
    let blocked = completion.blocked.clone();
    let alone = completion.job.alone;
    let in_flight = completion.in_flight.clone();
    let service = completion.job.service.clone();
    let organisation = completion.job.request.organisation.clone();
    async move {
        let mut event = stream.first.clone();
        let _in_flight = in_flight;
        let streaming_since = clock::now();
        let mut events = 0;
        let failure = loop {
            let bytes = sse::event(&replace_model(&event, &model));
            if stream.sender.send(Ok(bytes)).await.is_err() {
                // The caller has disconnected; dropping the connection to the engine cancels
                // the run.
                suspicion::abandon(&node, &blocked).await;
                return;
            }
            if event == "[DONE]" {
                break None;
            }
            events += 1;
            match next_event(&mut stream.reader, node.settings.waiting.token).await {
                Ok(next) => event = next,
                Err(message) => break Some(message),
            }
        };
        if events > 1 {
            let interval = clock::now().saturating_sub(streaming_since) / (events - 1);
            node.record_delay(&service, &organisation, Objective::BetweenTokens, interval);
        }
        record_run(&node, (&features, alone), &permit, failure.is_none()).await;
        let Some(message) = failure else { return };
        warn!(event = "broken", request = id.as_str(), endpoint = permit.endpoint.as_str(); "{message}");
        let error = serde_json::json!({ "error": {
            "message": message, "type": "server_error", "outcome": Outcome::Unknown.name(),
        }});
        stream
            .sender
            .send(Ok(sse::event(&error.to_string())))
            .await
            .ok();
        let reset = std::io::ErrorKind::ConnectionReset.into();
        stream.sender.send(Err(reset)).await.ok();
    }
}

/// Records whether an attempt ended without a fault.
async fn record_attempt(node: &Rc<Node>, completion: &Completion, permit: &Permit, clean: bool) {
    let suspect = (&*completion.features, completion.job.alone);
    record_run(node, suspect, permit, clean).await;
}

/// Shares the result of a run: a clean run clears a suspected request, a crash creates a
/// suspicion.
async fn record_run(
    node: &Rc<Node>,
    (features, alone): (&[Feature], bool),
    permit: &Permit,
    clean: bool,
) {
    if clean {
        if alone {
            suspicion::broadcast_completion(node, features, &permit.endpoint).await;
        }
        return;
    }
    // An engine that still lists the slot has not crashed.
    let names = engine::list(node, &permit.endpoint).await;
    let is_listed =
        names.is_some_and(|names| permit.grant.slot.iter().all(|slot| names.contains(slot)));
    if !is_listed {
        // Identifies the run by its grant, because attempt numbers start at 0 in each request.
        let grant = &permit.grant;
        let run = grant.fence.wrapping_mul(31).wrapping_add(grant.id).max(1);
        let run = if alone { run } else { SHARED_RUN };
        suspicion::broadcast_crash(node, features, &permit.endpoint, run).await;
    } else if alone {
        suspicion::broadcast_completion(node, features, &permit.endpoint).await;
    }
}
