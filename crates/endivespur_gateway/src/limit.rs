//! Keeps to the limits that endpoints name, and to the room of brittle ones, together with the other
//! gateways.
//!
//! One gateway gives out the tokens of an endpoint, selected by rendezvous hashing. A gateway to which an
//! endpoint has named a limit needs a token for each request that it sends there. Without a reply it
//! sends none: the other endpoints of the service serve the request.
//!
//! The same gateway gives out the room of an endpoint while those of its service are brittle.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::limit::{Decision, Limit, Rate, Tracker};
use endivespur_core::gateway::room::{self, Hold};
use endivespur_core::hash;
use endivespur_core::id::Endpoint;
use endivespur_platform::header;
use log::info;

use crate::exchange::Call;
use crate::state::State;
use crate::{peer, telemetry};

/// How long after its deadline a request has certainly ended.
const HOLD_SLACK: Duration = Duration::from_millis(500);
/// The delay before a gateway that did not reply is asked for a token again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

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

/// Room of a brittle endpoint for one request, until dropped.
pub struct Held {
    state: Rc<State>,
    endpoint: Endpoint,
    hold: Hold,
    is_rejected: bool,
}

impl Held {
    /// Records that the endpoint rejected the request.
    pub fn reject(&mut self) {
        self.is_rejected = true;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let (hold, is_rejected) = (self.hold, self.is_rejected);
        match locate_source(&self.state, &self.endpoint) {
            Some(Location::Here) => {
                let mut rooms = self.state.rooms.borrow_mut();
                rooms.release(clock::now(), &self.endpoint, hold, is_rejected);
            }
            Some(Location::Peer(address)) => {
                let (state, endpoint) = (self.state.clone(), self.endpoint.clone());
                self.state.spawn(async move {
                    peer::release_room(&state, address, &endpoint, hold, is_rejected).await;
                });
            }
            None => {}
        }
    }
}

/// Records what the response to a request sent at `sent` says about the endpoint's limits.
pub fn record(state: &Rc<State>, instance: &Instance, sent: Time, fields: &header::Response) {
    let now = clock::now();
    let (service, max_rejections) = (instance.service.as_str(), fields.max_rejections);
    let is_changed = {
        let mut rooms = state.rooms.borrow_mut();
        rooms.record_response(now, service, sent, max_rejections)
    };
    if is_changed {
        info!(event = "brittle", service, max_rejections:?; "brittleness changed");
    }
    record_rate(state, &instance.id, sent, fields.limit);
}

/// Records the rate that a response names.
fn record_rate(state: &Rc<State>, endpoint: &str, sent: Time, rate: Option<Rate>) {
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
    match locate_source(state, endpoint) {
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

/// Acquires a token for an endpoint, if it has a limit.
///
/// # Errors
///
/// Returns the time after which there may be a token.
pub async fn acquire(state: &Rc<State>, instance: &Instance) -> Result<Option<Token>, Duration> {
    let (now, endpoint) = (clock::now(), instance.id.as_str());
    let is_brittle = max_rejections(state, instance).is_some();
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
/// Returns the time after which there may be a token, or room.
pub async fn consume(
    state: &Rc<State>,
    instance: &Instance,
    token: Option<Token>,
    call: &Call,
) -> Result<Option<Held>, Duration> {
    let held = hold_room(state, instance, call).await?;
    if !token.is_some_and(Token::consume)
        && let Some(token) = acquire(state, instance).await?
    {
        token.consume();
    }
    Ok(held)
}

/// Returns the rejections a second that an endpoint survives, if it is brittle.
fn max_rejections(state: &State, instance: &Instance) -> Option<u32> {
    state.rooms.borrow().max_rejections(&instance.service)
}

/// Takes room of an endpoint, if it is brittle.
async fn hold_room(
    state: &Rc<State>,
    instance: &Instance,
    call: &Call,
) -> Result<Option<Held>, Duration> {
    let Some(max_rejections) = max_rejections(state, instance) else {
        return Ok(None);
    };
    let (now, endpoint) = (clock::now(), instance.id.as_str());
    if let Some(wait) = state.limits.borrow().wait(now, endpoint) {
        return Err(wait);
    }
    let hold_time = call.time_left() + HOLD_SLACK;
    let request = room::Request {
        share: share(state, instance, call),
        max_rejections,
        until: now + hold_time,
    };
    let reply = match locate_source(state, endpoint) {
        Some(Location::Here) => Some(state.rooms.borrow_mut().hold(now, endpoint, &request)),
        Some(Location::Peer(address)) => {
            peer::hold_room(state, address, endpoint, &request, hold_time).await
        }
        None => None,
    };
    let outcome = match reply {
        Some(Ok(_)) => "held",
        Some(Err(_)) => "full",
        None => "no-reply",
    };
    telemetry::token_requested(outcome);
    match reply.unwrap_or(Err(RETRY_DELAY)) {
        Ok(hold) => Ok(Some(Held {
            state: state.clone(),
            endpoint: endpoint.to_string(),
            hold,
            is_rejected: false,
        })),
        Err(wait) => {
            let mut limits = state.limits.borrow_mut();
            limits.exhausted(endpoint, clock::now() + wait);
            Err(wait)
        }
    }
}

/// Returns the share of an endpoint's room that a request takes: of its slots, or of its memory.
fn share(state: &State, instance: &Instance, call: &Call) -> f64 {
    let slots = 1.0 / instance.slots.max(1) as f64;
    let table = state.catalog.borrow().table();
    let group = table
        .as_ref()
        .and_then(|table| table.services.get(&instance.service));
    let Some(class) = group.and_then(|group| group.engine.as_ref()) else {
        return slots;
    };
    let tokens = call.fields.prompt_tokens + call.fields.max_output_tokens;
    let memory = tokens as f64 / class.memory_tokens.max(1) as f64;
    slots.max(memory)
}

/// Requests a token; returns `None` without a reply.
async fn request(state: &Rc<State>, endpoint: &str, limit: Limit) -> Option<Decision> {
    let now = clock::now();
    match locate_source(state, endpoint)? {
        Location::Here => Some(state.limits.borrow_mut().decide(now, endpoint, limit)),
        Location::Peer(address) => {
            let age = now.saturating_sub(limit.named_at);
            peer::token(state, address, endpoint, limit.rate, age).await
        }
    }
}

/// Where the tokens of an endpoint are given out.
enum Location {
    Here,
    Peer(SocketAddr),
}

fn locate_source(state: &State, endpoint: &str) -> Option<Location> {
    let catalog = state.catalog.borrow();
    let vms = catalog.peers().map(|(vm, _)| vm.as_str());
    let Some(vm) = hash::winner(endpoint, vms) else {
        return Some(Location::Here);
    };
    if vm == state.settings.vm {
        return Some(Location::Here);
    }
    let peer = catalog.peer(vm)?;
    Some(Location::Peer(peer.address))
}
