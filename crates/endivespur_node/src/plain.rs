//! Calls to plain HTTP services, which have no adapters.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::order::StoredResponse;
use endivespur_core::retry::Budget;
use endivespur_core::route;
use endivespur_net::{body, client};
use http_types::{Method, Request, Response, StatusCode};

use crate::answer::{Failure, Outcome};
use crate::bodies::{self, Body};
use crate::clock;
use crate::dispatch::{self, AttemptError, Job, Permit};
use crate::entry::{self, Caller};
use crate::node::Node;
use crate::once;
use crate::quota;
use crate::suspicion::fingerprint;

/// The maximum size of a plain service's response.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The maximum number of endpoints that a repeatable call is sent to.
const ATTEMPT_LIMIT: usize = 3;
/// The cost of a plain call in the queue, in tokens.
const COST_TOKENS: u32 = 64;

/// Answers a call below `/services/`.
///
/// # Errors
///
/// Returns the final refusal or failure.
pub async fn call(
    node: &Rc<Node>,
    caller: Caller,
    mut request: Request,
) -> Result<Response, Failure> {
    let unknown = || Failure::not_run(StatusCode::NotFound, "unknown service");
    let url = request.url().clone();
    let rest = url.path().strip_prefix("/services/").ok_or_else(unknown)?;
    let (service, path) = rest.split_once('/').ok_or_else(unknown)?;
    let mut path = format!("/{path}");
    let method = request.method();
    let (class, once) = {
        let config = node.config.borrow();
        let policy = config.services.get(service).ok_or_else(unknown)?;
        (policy.class, policy.is_once(method.as_ref(), &path))
    };
    if let Some(query) = url.query() {
        path = format!("{path}?{query}");
    }
    let key = caller.key.clone();
    if once && key.is_none() {
        let message = "a call that may not be repeated needs an Idempotency-Key";
        return Err(Failure::not_run(StatusCode::BadRequest, message));
    }
    let bytes = bodies::read(node, &mut request).await?;
    let media = request
        .header("content-type")
        .map(|value| value.as_str().to_string());
    let now = clock::now();
    let job = Job {
        id: caller.id.clone(),
        request: route::Request {
            organisation: caller.organisation.clone(),
            base: None,
            service: Some(service.to_string()),
            model: None,
            place: caller.place.clone(),
        },
        service: service.to_string(),
        class,
        cost: COST_TOKENS,
        received_at: now,
        deadline: now + entry::max_wait(node, class),
        alone: false,
        avoid: std::collections::BTreeSet::new(),
    };
    let digest = fingerprint(
        &caller.organisation,
        &format!("{method} {service}{path}"),
        &bytes,
    );
    let build_request =
        request_builder(method, path, bytes, media, key.clone(), caller.organisation);
    match key {
        Some(key) => {
            let read_answer: once::AnswerReader =
                Rc::new(|response| Box::pin(read_whole(response)));
            let call = once::Call {
                job,
                key,
                digest,
                build_request,
                read_answer,
            };
            Ok(once::run(node, call).await)
        }
        None => run_with_retries(node, job, &build_request).await,
    }
}

/// Returns a function that builds the endpoint's request.
fn request_builder(
    method: Method,
    path: String,
    bytes: Body,
    media: Option<String>,
    key: Option<String>,
    organisation: String,
) -> once::RequestBuilder {
    Rc::new(move |permit: &Permit| {
        let mut request = client::request(method, &permit.address, &path)
            .map_err(|error| Failure::not_run(StatusCode::BadGateway, &error.to_string()))?;
        if !bytes.is_empty() {
            request.set_body(bytes.to_vec());
        }
        if let Some(media) = &media {
            request.insert_header("content-type", media.as_str());
        }
        if let Some(key) = &key {
            request.insert_header("idempotency-key", key.as_str());
        }
        request.insert_header("endivespur-organisation", organisation.as_str());
        Ok(request)
    })
}

/// Reads the complete response of a plain service.
async fn read_whole(mut response: Response) -> Result<StoredResponse, String> {
    let status = response.status() as u16;
    let media = response
        .header("content-type")
        .map_or("application/octet-stream", |value| value.as_str())
        .to_string();
    let mut content = response.take_body();
    let timeout = async {
        smol::Timer::after(Duration::from_mins(1)).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let bytes = smol::future::or(body::read(&mut content, MAX_RESPONSE_BYTES), timeout)
        .await
        .map_err(|error| error.to_string())?;
    let body = String::from_utf8(bytes).map_err(|_| "the answer is no text".to_string())?;
    Ok(StoredResponse {
        status,
        media,
        body,
    })
}

/// Runs a call that may be repeated, and retries it on other endpoints after a failure.
async fn run_with_retries(
    node: &Rc<Node>,
    mut job: Job,
    build_request: &once::RequestBuilder,
) -> Result<Response, Failure> {
    let mut last = Failure::unknown("no attempt was made");
    let mut may_have_run = false;
    node.update_retry_budget(&job.request.organisation, Budget::deposit);
    let mut charge = quota::admit(node, &job).await?;
    for attempt in 0..ATTEMPT_LIMIT {
        if attempt > 0 && !node.withdraw_retry(&job.request.organisation) {
            break;
        }
        let mut permit = dispatch::acquire(node, &job)
            .await
            .map_err(|failure| failure.after_lost_attempt(may_have_run))?;
        let request = build_request(&permit)?;
        charge.set_may_have_run(true);
        let id = format!("{}.{attempt}", job.id);
        let result = match dispatch::send(&mut permit, request, &id).await {
            Ok(response) => read_whole(response).await.map_err(AttemptError::Lost),
            Err(error) => Err(error),
        };
        match result {
            Ok(answer) => {
                let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
                let mut response = Response::new(status);
                response.set_body(answer.body);
                response.insert_header("content-type", answer.media);
                response.insert_header("endivespur-outcome", Outcome::Ran.name());
                entry::add_run_headers(&mut response, &permit, &job);
                return Ok(response);
            }
            Err(AttemptError::Lost(message)) => {
                may_have_run = true;
                last = Failure::unknown(&message);
            }
            Err(AttemptError::NotRun(message)) => {
                last = Failure::not_run(StatusCode::ServiceUnavailable, &message)
                    .with_retry_after(Duration::from_secs(1))
                    .after_lost_attempt(may_have_run);
            }
        }
        charge.set_may_have_run(may_have_run);
        job.avoid.insert(permit.endpoint.clone());
    }
    Err(last)
}
