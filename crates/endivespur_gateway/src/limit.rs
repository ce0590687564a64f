//! Keeps to the limits that endpoints name, together with the other gateways, and to the rests that they ask
//! this one for.
//!
//! One gateway gives out the tokens of an endpoint, selected by rendezvous hashing. A gateway to which an
//! endpoint has named a limit needs a token for each request that it sends there. Without a reply it
//! sends none: the other endpoints of the service serve the request.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::{Time, scale};
use endivespur_core::gateway::endpoint::{Instance, Responder};
use endivespur_core::gateway::limit::{Decision, Limit, Rate, Tracker};
use endivespur_core::hash;
use endivespur_core::id::Endpoint;
use log::info;

use crate::assign::{self, Location};
use crate::exchange::{Call, Outcome};
use crate::state::State;
use crate::{peer, room, telemetry};

/// The delay before a gateway that did not reply is asked for a token again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The largest share of the wait by which the return of a refused caller is delayed.
const MAX_SPREAD_SHARE: f64 = 0.25;

/// Permission to send one request to an endpoint with a limit. If it is dropped unused, another request
/// may use it.
pub struct Token {
    state: Rc<State>,
    endpoint: Endpoint,
    valid_until: Time,
    is_used: bool,
}

impl Token {
    fn new(state: &Rc<State>, endpoint: &str, valid_until: Time) -> Self {
        Self {
            state: state.clone(),
            endpoint: endpoint.to_string(),
            valid_until,
            is_used: false,
        }
    }

    /// Uses the token up; returns whether it was still valid.
    fn consume(mut self) -> bool {
        self.is_used = true;
        clock::now() < self.valid_until
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.is_used {
            let mut limits = self.state.limits.borrow_mut();
            limits.keep_unused(&self.endpoint, self.valid_until);
        }
    }
}

/// Records the limit that the response to a request sent at `sent` names.
pub fn record(state: &Rc<State>, endpoint: &str, sent: Time, rate: Option<Rate>) {
    let now = clock::now();
    let is_changed = {
        let mut limits = state.limits.borrow_mut();
        limits.record_response(now, endpoint, sent, rate)
    };
    if !is_changed {
        return;
    }
    info!(event = "limit", endpoint, rate:? = rate; "limit changed");
    if rate.is_some() {
        return;
    }
    match assign::locate(state, endpoint) {
        Some(Location::Here) => state.limits.borrow_mut().ended(now, endpoint),
        Some(Location::Peer(address)) => {
            let (task_state, endpoint) = (state.clone(), endpoint.to_string());
            state.spawn(async move {
                peer::limit_ended(&task_state, address, &endpoint).await;
            });
        }
        None => {}
    }
}

/// Records that an endpoint wants no requests from this gateway for some time.
pub fn record_rest(state: &State, endpoint: &str, responder: Responder, rest: Duration) {
    let now = clock::now();
    let mut limits = state.limits.borrow_mut();
    if limits
        .rest_left(now, endpoint, responder.started_ms)
        .is_none()
    {
        info!(
            event = "rest", endpoint, born = responder.started_ms,
            rest_ms = rest.as_millis() as u64; "no requests for some time"
        );
    }
    limits.record_rest(now, endpoint, responder, rest);
}

/// Returns for how long an endpoint wants no requests from this gateway.
pub fn rest_left(state: &State, instance: &Instance) -> Option<Duration> {
    let limits = state.limits.borrow();
    limits.rest_left(clock::now(), &instance.id, instance.started_ms)
}

/// Returns the time after which an endpoint of a service may take a request, if none of them does now since it
/// rests or has no token.
pub fn service_wait(state: &State, service: &str) -> Option<Duration> {
    let now = clock::now();
    let (catalog, limits) = (state.catalog.borrow(), state.limits.borrow());
    let waits = catalog.serving(service).into_iter().map(|instance| {
        let rest = limits.rest_left(now, &instance.id, instance.started_ms);
        rest.max(limits.wait(now, &instance.id))
    });
    waits.collect::<Option<Vec<_>>>()?.into_iter().min()
}

/// Refuses a request until the time `wait` has passed, and a share of it that differs between requests: their
/// callers must not all come back at the same time.
pub fn refuse(call: &Call, wait: Duration) -> Outcome {
    let unit = hash::mix(&call.fields.attempt_id, 0) as f64 / u64::MAX as f64;
    Outcome::refused("limited", scale(wait, 1.0 + MAX_SPREAD_SHARE * unit))
}

/// Acquires a token for an endpoint, if it has a limit.
///
/// # Errors
///
/// Returns the time after which there may be a token, or the rest of the endpoint has ended.
pub async fn acquire(state: &Rc<State>, instance: &Instance) -> Result<Option<Token>, Duration> {
    if let Some(rest) = rest_left(state, instance) {
        return Err(rest);
    }
    let (now, endpoint) = (clock::now(), instance.id.as_str());
    let is_brittle = room::max_rejections(state, instance).is_some();
    if is_brittle && let Some(wait) = state.limits.borrow().wait(now, endpoint) {
        return Err(wait);
    }
    let limit = {
        let mut limits = state.limits.borrow_mut();
        let Some(limit) = limits.limit(endpoint) else {
            return Ok(None);
        };
        if let Some(valid_until) = limits.take_unused(now, endpoint) {
            return Ok(Some(Token::new(state, endpoint, valid_until)));
        }
        if let Some(wait) = limits.wait(now, endpoint) {
            return Err(wait);
        }
        limit
    };
    let decision = request(state, endpoint, limit).await;
    let now = clock::now();
    let mut limits = state.limits.borrow_mut();
    let outcome = match decision {
        Some(Decision::Granted) => "granted",
        Some(Decision::Wait(_)) => "exhausted",
        Some(Decision::Unlimited) => "unlimited",
        None => "no-reply",
    };
    telemetry::token_requested(outcome);
    match decision {
        Some(Decision::Granted) => {
            let valid_until = Tracker::valid_until(now);
            Ok(Some(Token::new(state, endpoint, valid_until)))
        }
        Some(Decision::Unlimited) => {
            info!(event = "limit", endpoint, rate = "none"; "limit ended at another gateway");
            limits.remove(endpoint);
            Ok(None)
        }
        Some(Decision::Wait(wait)) => {
            limits.exhausted(endpoint, now + wait);
            Err(wait)
        }
        None => {
            limits.exhausted(endpoint, now + RETRY_DELAY);
            Err(RETRY_DELAY)
        }
    }
}

/// Uses a token up right before a request is sent, and takes room if the endpoint is brittle. If the token is
/// no longer valid, or the endpoint has named a limit since the request was granted, another one is
/// acquired.
///
/// # Errors
///
/// Returns the time after which there may be a token, or room, or the rest of the endpoint has ended.
pub async fn consume(
    state: &Rc<State>,
    instance: &Instance,
    token: Option<Token>,
    call: &Call,
) -> Result<Option<room::Held>, Duration> {
    let held = room::hold(state, instance, call).await?;
    if !token.is_some_and(Token::consume)
        && let Some(token) = acquire(state, instance).await?
    {
        token.consume();
    }
    // The endpoint may have asked for rest since the token was acquired.
    match rest_left(state, instance) {
        Some(rest) => Err(rest),
        None => Ok(held),
    }
}

/// Requests a token; returns `None` without a reply.
async fn request(state: &Rc<State>, endpoint: &str, limit: Limit) -> Option<Decision> {
    let now = clock::now();
    match assign::locate(state, endpoint)? {
        Location::Here => Some(state.limits.borrow_mut().decide(now, endpoint, limit)),
        Location::Peer(address) => {
            let age = now.saturating_sub(limit.named_at);
            peer::token(state, address, endpoint, limit.rate, age).await
        }
    }
}
