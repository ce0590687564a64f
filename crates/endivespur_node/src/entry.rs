//! The callers' HTTP API: identifies the caller and dispatches the request by its path.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::config::{Class, Stage};
use endivespur_core::gateway::team;
use endivespur_core::place::Rule;
use endivespur_net::http;
use http_types::{Method, Request, Response, StatusCode};
use log::info;
use serde_json::json;

use crate::answer::{Failure, Outcome, Reason};
use crate::clock;
use crate::complete;
use crate::dispatch::{Job, Permit};
use crate::node::Node;
use crate::plain;

/// The caller of a request, and what the request's headers say.
pub struct Caller {
    /// The id of the request.
    pub id: String,
    /// The organisation.
    pub organisation: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The zones to which the request restricts itself.
    pub place: Option<Rule>,
    /// Counts the request as in flight for its organisation.
    pub in_flight: Rc<InFlight>,
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|value| value.as_str().to_string())
}

/// Returns the token of a bearer authorisation.
pub fn bearer_token(request: &Request) -> Option<String> {
    header(request, "authorization")?
        .strip_prefix("Bearer ")
        .map(ToString::to_string)
}

/// Answers a caller's request.
pub async fn answer(node: Rc<Node>, request: Request) -> Response {
    let path = request.url().path().to_string();
    match path.as_str() {
        "/healthz" => return http::json(StatusCode::Ok, &json!({ "status": "ok" })),
        "/readyz" => return ready(&node),
        _ => {}
    }
    let received_at = clock::now();
    let id = format!("{}-{}", node.process().replace('#', "-"), node.ticket());
    let service = service_of(&path);
    let named = header(&request, "endivespur-organisation");
    let organisation = node
        .authenticator
        .organisation(bearer_token(&request).as_deref(), named.as_deref());
    let mut response = match route(&node, request, &path, &id).await {
        Ok(response) => response,
        Err(failure) => failure.to_response(),
    };
    response.insert_header("x-request-id", id.as_str());
    response.insert_header("endivespur-vm", node.settings.vm.as_str());
    if node.stopping.get() {
        response.insert_header("connection", "close");
    }
    let organisation_name = organisation.clone().unwrap_or_default();
    if let (Some(service), Some(organisation)) = (service, organisation) {
        let succeeded = !response.status().is_server_error();
        let mut burn = node.burn.borrow_mut();
        burn.served(clock::now(), &service, &organisation, succeeded);
    }
    let outcome = response_header(&response, "endivespur-outcome");
    let reason = response.ext().get::<Reason>().copied();
    let took = clock::now().saturating_sub(received_at);
    info!(
        event = "answered", request = id.as_str(), path = path.as_str(),
        organisation = organisation_name.as_str(), status = response.status() as u16, outcome = outcome.as_str(),
        reason = reason.map_or("", Reason::name),
        took_ms = took.as_millis() as u64; "answered"
    );
    metrics::counter!("endivespur_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("endivespur_answer_seconds").record(took.as_secs_f64());
    response
}

/// Returns the service under which a path counts towards availability.
fn service_of(path: &str) -> Option<String> {
    if let Some(rest) = path.strip_prefix("/services/") {
        return rest.split('/').next().map(ToString::to_string);
    }
    matches!(path, "/v1/completions" | "/v1/chat/completions").then(|| "completions".to_string())
}

fn response_header(response: &Response, name: &str) -> String {
    response
        .header(name)
        .map_or_else(String::new, |value| value.as_str().to_string())
}

fn ready(node: &Node) -> Response {
    let ready = !node.stopping.get() && node.is_current();
    let status = if ready {
        StatusCode::Ok
    } else {
        StatusCode::ServiceUnavailable
    };
    http::json(
        status,
        &json!({ "ready": ready, "stopping": node.stopping.get() }),
    )
}

async fn route(
    node: &Rc<Node>,
    request: Request,
    path: &str,
    id: &str,
) -> Result<Response, Failure> {
    // The organisations are part of the configuration.
    if !node.is_current() {
        let message = "the configuration may be out of date here";
        let failure = Failure::not_run(StatusCode::ServiceUnavailable, message);
        return Err(failure.with_retry_after(Duration::from_secs(1)));
    }
    let caller = identify(node, &request, id)?;
    let is_post = request.method() == Method::Post;
    match path {
        "/v1/models" if request.method() == Method::Get => Ok(models(node, &caller)),
        "/v1/completions" if is_post => {
            complete::call(node, caller, request, "/v1/completions").await
        }
        "/v1/chat/completions" if is_post => {
            complete::call(node, caller, request, "/v1/chat/completions").await
        }
        _ if path.starts_with("/services/") => plain::call(node, caller, request).await,
        _ => Err(Failure::not_run(
            StatusCode::NotFound,
            "unknown path or method",
        )),
    }
}

fn identify(node: &Rc<Node>, request: &Request, id: &str) -> Result<Caller, Failure> {
    let named = header(request, "endivespur-organisation");
    let token = bearer_token(request);
    let organisation = node
        .authenticator
        .organisation(token.as_deref(), named.as_deref());
    let is_known = |name: &String| node.config.borrow().organisations.contains_key(name);
    let Some(organisation) = organisation.clone().filter(is_known) else {
        log_unauthorized(node, id, token.as_deref(), organisation.as_deref());
        let failure = Failure::not_run(StatusCode::Unauthorized, "unknown organisation");
        return Err(failure.with_reason(Reason::Unauthorized));
    };
    let key = header(request, "idempotency-key");
    let is_valid = |key: &String| !key.is_empty() && key.len() <= 255 && !key.contains('/');
    if key.as_ref().is_some_and(|key| !is_valid(key)) {
        let message = "an Idempotency-Key has 1 to 255 characters and no slash";
        return Err(Failure::not_run(StatusCode::BadRequest, message));
    }
    let place = header(request, "endivespur-zones").map(|zones| {
        let zones: Vec<&str> = zones.split(',').map(str::trim).collect();
        Rule::new(&node.settings.region, &zones)
    });
    Ok(Caller {
        in_flight: Rc::new(InFlight::acquire(node, &organisation)?),
        id: id.to_string(),
        organisation,
        key,
        place,
    })
}

/// Logs why a request is not authorised, with the digest of its token, at most some times a second.
fn log_unauthorized(node: &Node, id: &str, token: Option<&str>, organisation: Option<&str>) {
    let Some(skipped) = node.unauthorized.borrow_mut().admit(clock::now()) else {
        return;
    };
    let reason = match (organisation, token) {
        (Some(_), _) => "unconfigured",
        (None, Some(_)) => "unknown",
        (None, None) => "missing",
    };
    let digest = token.map(team::digest).unwrap_or_default();
    info!(
        event = "unauthorized", request = id, reason, digest = digest.as_str(),
        organisation = organisation.unwrap_or_default(), skipped; "not authorised"
    );
}

/// Counts one request as in flight for an organisation until it is dropped, streams included.
pub struct InFlight {
    node: Rc<Node>,
    organisation: String,
}

impl InFlight {
    fn acquire(node: &Rc<Node>, organisation: &str) -> Result<Self, Failure> {
        let mut in_flight = node.in_flight.borrow_mut();
        let count = in_flight.entry(organisation.to_string()).or_default();
        if *count >= node.settings.limits.organisation {
            let message = "the organisation has too many requests in flight";
            let failure = Failure::not_run(StatusCode::TooManyRequests, message);
            let failure = failure.with_reason(Reason::InFlight);
            return Err(failure.with_retry_after(Duration::from_secs(1)));
        }
        *count += 1;
        Ok(Self {
            node: node.clone(),
            organisation: organisation.to_string(),
        })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(count) = self.node.in_flight.borrow_mut().get_mut(&self.organisation) {
            *count -= 1;
        }
    }
}

fn models(node: &Node, caller: &Caller) -> Response {
    let config = node.config.borrow();
    let data: Vec<serde_json::Value> = config
        .adapters
        .iter()
        .filter(|(_, adapter)| adapter.organisations.contains(&caller.organisation))
        .flat_map(|(name, adapter)| {
            let active = adapter
                .versions
                .iter()
                .filter(|(_, stage)| **stage == Stage::Active);
            active.map(move |(version, _)| {
                let id = format!("{}/{name}@{version}", adapter.base);
                json!({ "id": id, "object": "model", "parent": adapter.base })
            })
        })
        .collect();
    http::json(StatusCode::Ok, &json!({ "object": "list", "data": data }))
}

/// Returns the maximum wait of a class's requests for a grant.
pub fn max_wait(node: &Node, class: Class) -> Duration {
    let waiting = &node.settings.waiting;
    match class {
        Class::Order => waiting.order,
        Class::Lookup => waiting.lookup,
        Class::Draft => waiting.draft,
        Class::Summary => waiting.summary,
    }
}

/// Adds headers that say on which endpoint and under which grant a request ran.
pub fn add_run_headers(response: &mut Response, permit: &Permit, job: &Job) {
    response.insert_header("endivespur-outcome", Outcome::Ran.name());
    response.insert_header("endivespur-endpoint", permit.endpoint.as_str());
    let slot = permit
        .grant
        .slot
        .as_ref()
        .map_or_else(|| "none".to_string(), ToString::to_string);
    let why = format!(
        "class {:?}; slot {slot}; fence {}",
        job.class, permit.grant.fence
    );
    response.insert_header("endivespur-why", why.to_lowercase());
}
