//! Completions: whole and streamed, with retries while nothing was answered.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::burn::Objective;
use endivespur_core::config::Class;
use endivespur_core::id::Model;
use endivespur_core::route;
use endivespur_core::suspect::Admission;
use endivespur_net::body::Chunk;
use endivespur_net::{body, client, sse};
use http_types::{Method, Request, Response, StatusCode};
use log::warn;
use serde_json::Value;
use smol::channel::Sender;

use crate::answer::{Failure, Outcome};
use crate::answered::{next, read_whole, rename};
use crate::clock;
use crate::dispatch::{self, Job, Miss, Permit};
use crate::engine;
use crate::entry::{self, Caller, Seat};
use crate::node::Node;
use crate::once;
use crate::suspicion::{self, fingerprint};

/// The tokens that a completion is expected to generate if it names no number.
const DEFAULT_TOKENS: u64 = 256;
/// Bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;
/// The most engines that one request is sent to.
const TRIES: u64 = 4;
/// Events that wait for a slow caller.
const PIECES: usize = 64;

/// A completion as the caller asked for it.
struct Completion {
    job: Job,
    path: &'static str,
    model: String,
    stream: bool,
    call: Value,
    print: u64,
    /// Held until the answer has ended.
    seat: Rc<Seat>,
}

/// Answers a call of the completions API.
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
    let bytes = entry::read_body(node, &mut request).await?;
    let completion = parse(node, &caller, &bytes, path)?;
    let once = {
        let config = node.config.borrow();
        let service = route::check(&config, &completion.job.request)?;
        config
            .services
            .get(&service)
            .is_some_and(|offer| offer.once)
    };
    match (once, caller.key) {
        (true, None) => {
            let message = "a call that may not be repeated needs an Idempotency-Key";
            Err(Failure::not_run(StatusCode::BadRequest, message))
        }
        (_, Some(key)) => Ok(run_once(node, completion, key).await),
        (false, None) => repeatable(node, completion).await,
    }
}

fn bad(message: &str) -> Failure {
    Failure::not_run(StatusCode::BadRequest, message)
}

fn parse(
    node: &Node,
    caller: &Caller,
    bytes: &[u8],
    path: &'static str,
) -> Result<Completion, Failure> {
    let call: Value = serde_json::from_slice(bytes)
        .map_err(|error| bad(&format!("the body is no JSON: {error}")))?;
    let name = call["model"]
        .as_str()
        .ok_or_else(|| bad("model is missing"))?;
    let (base, model) =
        parse_model(name).ok_or_else(|| bad("model has the form BASE/ADAPTER@VERSION"))?;
    let tokens = call["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
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
        let offer = config.services.get(&service);
        let class = offer.map_or(Class::Draft, |offer| offer.class);
        (service, class)
    };
    let now = clock::now();
    let job = Job {
        id: caller.id.clone(),
        request,
        service,
        class,
        cost: (bytes.len() / TOKEN_BYTES) as u32 + tokens.min(1 << 20) as u32,
        since: now,
        deadline: now + entry::patience(node, class),
        alone: false,
        avoid: std::collections::BTreeSet::new(),
    };
    Ok(Completion {
        print: fingerprint(&caller.organisation, name, bytes),
        job,
        path,
        model: name.to_string(),
        stream: call["stream"].as_bool().unwrap_or(false),
        seat: caller.seat.clone(),
        call,
    })
}

/// Reads `BASE/ADAPTER@VERSION`; the base itself may hold slashes.
fn parse_model(name: &str) -> Option<(String, Model)> {
    let (base, adapter) = name.rsplit_once('/')?;
    let (adapter, version) = adapter.rsplit_once('@')?;
    Some((base.to_string(), Model::new(adapter, version.parse().ok()?)))
}

fn request(call: &Value, path: &str, permit: &Permit) -> Result<Request, Failure> {
    let broken = |message: &str| Failure::not_run(StatusCode::BadGateway, message);
    let slot = permit
        .grant
        .slot
        .as_ref()
        .ok_or_else(|| broken("the grant names no slot"))?;
    let mut call = call.clone();
    call["model"] = Value::from(slot.to_string());
    let mut request = client::request(Method::Post, &permit.address, path)
        .map_err(|error| broken(&error.to_string()))?;
    request.set_body(call.to_string());
    request.insert_header("content-type", "application/json");
    Ok(request)
}

async fn run_once(node: &Rc<Node>, completion: Completion, key: String) -> Response {
    let Completion {
        job,
        path,
        model,
        call,
        print,
        ..
    } = completion;
    let header = key.clone();
    let make: once::Make = Rc::new(move |permit: &Permit| {
        let mut request = request(&call, path, permit)?;
        request.insert_header("idempotency-key", header.as_str());
        Ok(request)
    });
    let wait = node.settings.waiting.token;
    let read: once::Read = Rc::new(move |response| {
        let model = model.clone();
        Box::pin(async move { read_whole(response, &model, wait).await })
    });
    let call = once::Call {
        job,
        key,
        digest: print,
        make,
        read,
    };
    once::run(node, call).await
}

/// Runs a completion, and again elsewhere while nothing of it was answered.
async fn repeatable(node: &Rc<Node>, mut completion: Completion) -> Result<Response, Failure> {
    let organisation = completion.job.request.organisation.clone();
    node.budget(&organisation, endivespur_core::retry::Budget::deposit);
    let mut last = Failure::unknown("no attempt was made");
    let mut may_have_run = false;
    // Place goes before everything else that is known of the request.
    dispatch::candidates(node, &completion.job)?;
    for attempt in 0..TRIES {
        let deadline = completion.job.deadline;
        let verdict = suspicion::judge(node, completion.print, deadline).await;
        if verdict == Admission::Quarantined {
            let message = "the request has crashed the endpoints that ran it";
            return Err(Failure::not_run(StatusCode::UnprocessableEntity, message).after(true));
        }
        if verdict == Admission::Wait {
            let message = "the request is under suspicion and runs elsewhere";
            return Err(Failure::not_run(StatusCode::ServiceUnavailable, message)
                .with_retry(Duration::from_secs(2))
                .after(may_have_run));
        }
        completion.job.alone = verdict == Admission::Alone;
        let permit = match dispatch::acquire(node, &completion.job).await {
            Ok(permit) => permit,
            Err(failure) => {
                if completion.job.alone {
                    suspicion::give_up(node, completion.print).await;
                }
                return Err(failure.after(may_have_run));
            }
        };
        let endpoint = permit.endpoint.clone();
        let miss = match run(node, &completion, permit, attempt).await {
            Ok(response) => return Ok(response),
            Err(miss) => miss,
        };
        let id = &completion.job.id;
        warn!(
            event = "attempt", request = id.as_str(), endpoint = endpoint.as_str(),
            outcome = miss.outcome(); "{miss:?}"
        );
        may_have_run |= matches!(miss, Miss::Lost(_));
        last = match miss {
            Miss::NotRun(message) => Failure::not_run(StatusCode::ServiceUnavailable, &message)
                .with_retry(Duration::from_secs(1))
                .after(may_have_run),
            Miss::Lost(message) => Failure::unknown(&message),
        };
        completion.job.avoid.insert(endpoint);
        if !node.may_retry(&organisation) {
            break;
        }
    }
    Err(last)
}

/// Sends one attempt and returns once its first event or its whole answer is there.
async fn run(
    node: &Rc<Node>,
    completion: &Completion,
    mut permit: Permit,
    attempt: u64,
) -> Result<Response, Miss> {
    let request = request(&completion.call, completion.path, &permit)
        .map_err(|failure| Miss::NotRun(failure.message))?;
    let id = format!("{}.{attempt}", completion.job.id);
    let sent = dispatch::send(&mut permit, request, &id).await;
    let result = match sent {
        Ok(response) => receive(node, completion, response).await,
        Err(miss) => Err(miss),
    };
    match result {
        Ok((response, None)) => {
            let mut response = response;
            settle(node, completion, &permit, attempt, true).await;
            entry::place(&mut response, &permit, &completion.job);
            Ok(response)
        }
        Ok((mut response, Some(stream))) => {
            entry::place(&mut response, &permit, &completion.job);
            let rest = relay(node.clone(), stream, permit, completion, attempt);
            node.spawn(rest);
            Ok(response)
        }
        Err(miss) => {
            if matches!(miss, Miss::Lost(_)) {
                permit.missing = true;
                settle(node, completion, &permit, attempt, false).await;
            }
            permit.close().await;
            Err(miss)
        }
    }
}

/// A stream whose first event has come.
struct Stream {
    reader: sse::Reader,
    sender: Sender<Chunk>,
    first: String,
}

async fn receive(
    node: &Rc<Node>,
    completion: &Completion,
    mut response: Response,
) -> Result<(Response, Option<Stream>), Miss> {
    let status = response.status();
    let wait = node.settings.waiting.token;
    if !completion.stream || !status.is_success() {
        let answer = read_whole(response, &completion.model, wait)
            .await
            .map_err(Miss::Lost)?;
        let mut whole = Response::new(status);
        whole.set_body(answer.body);
        whole.insert_header("content-type", answer.media);
        return Ok((whole, None));
    }
    let mut reader = sse::Reader::new(response.take_body());
    let first = next(&mut reader, wait).await.map_err(Miss::Lost)?;
    let since = clock::now().saturating_sub(completion.job.since);
    let job = &completion.job;
    node.delayed(
        &job.service,
        &job.request.organisation,
        Objective::FirstToken,
        since,
    );
    metrics::histogram!("endivespur_first_token_seconds").record(since.as_secs_f64());
    let (sender, body) = body::channel(PIECES);
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

/// Passes the events on until the end mark; an answer without it ends with an error.
fn relay(
    node: Rc<Node>,
    mut stream: Stream,
    permit: Permit,
    completion: &Completion,
    attempt: u64,
) -> impl Future<Output = ()> + 'static {
    let model = completion.model.clone();
    let id = completion.job.id.clone();
    let print = completion.print;
    let alone = completion.job.alone;
    let seat = completion.seat.clone();
    let service = completion.job.service.clone();
    let organisation = completion.job.request.organisation.clone();
    async move {
        let mut event = stream.first.clone();
        let _seat = seat;
        let begun = clock::now();
        let mut events = 0;
        let failed = loop {
            let bytes = sse::event(&rename(&event, &model));
            if stream.sender.send(Ok(bytes)).await.is_err() {
                // The caller has left; dropping the connection cancels the run.
                if alone {
                    suspicion::give_up(&node, print).await;
                }
                return;
            }
            if event == "[DONE]" {
                break None;
            }
            events += 1;
            match next(&mut stream.reader, node.settings.waiting.token).await {
                Ok(next) => event = next,
                Err(message) => break Some(message),
            }
        };
        if events > 1 {
            let gap = clock::now().saturating_sub(begun) / (events - 1);
            node.delayed(&service, &organisation, Objective::BetweenTokens, gap);
        }
        note_run(&node, (print, alone), &permit, attempt, failed.is_none()).await;
        let Some(message) = failed else { return };
        warn!(event = "broken", request = id.as_str(), endpoint = permit.endpoint.as_str(); "{message}");
        let error = serde_json::json!({ "error": {
            "message": message, "type": "server_error", "outcome": Outcome::Unknown.name(),
        }});
        stream
            .sender
            .send(Ok(sse::event(&error.to_string())))
            .await
            .ok();
        let broken = std::io::ErrorKind::ConnectionReset.into();
        stream.sender.send(Err(broken)).await.ok();
    }
}

async fn settle(
    node: &Rc<Node>,
    completion: &Completion,
    permit: &Permit,
    attempt: u64,
    clean: bool,
) {
    let print = (completion.print, completion.job.alone);
    note_run(node, print, permit, attempt, clean).await;
}

/// Shares how a run went: a clean run clears a suspect, a crash makes one.
async fn note_run(
    node: &Rc<Node>,
    (print, alone): (u64, bool),
    permit: &Permit,
    attempt: u64,
    clean: bool,
) {
    if clean {
        if alone {
            suspicion::spread(node, print, &permit.endpoint, attempt, false).await;
        }
        return;
    }
    // An engine that still holds the slot has not crashed.
    let names = engine::list(node, &permit.endpoint).await;
    let holds =
        names.is_some_and(|names| permit.grant.slot.iter().all(|slot| names.contains(slot)));
    if !holds {
        let run = permit
            .grant
            .fence
            .wrapping_mul(31)
            .wrapping_add(permit.grant.id);
        suspicion::spread(node, print, &permit.endpoint, run, true).await;
    } else if alone {
        suspicion::spread(node, print, &permit.endpoint, attempt, false).await;
    }
}
