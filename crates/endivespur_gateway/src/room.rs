//! Sends brittle endpoints no more requests than they have room for, together with the other gateways.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::room::{self, Hold};
use endivespur_core::id::Endpoint;
use log::info;

use crate::assign::{self, Location};
use crate::exchange::Call;
use crate::state::State;
use crate::{peer, telemetry};

/// How long after its deadline a request has certainly ended.
const HOLD_SLACK: Duration = Duration::from_millis(500);
/// The delay before a gateway that did not reply is asked for room again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Room of a brittle endpoint for one request, until dropped.
pub struct Held {
    state: Rc<State>,
    endpoint: Endpoint,
    hold: Hold,
    /// Which gateway gave it out: another one may do so later.
    source: Location,
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
        match self.source {
            Location::Here => {
                let mut rooms = self.state.rooms.borrow_mut();
                rooms.release(clock::now(), &self.endpoint, hold, is_rejected);
            }
            Location::Peer(address) => {
                let (state, endpoint) = (self.state.clone(), self.endpoint.clone());
                self.state.spawn(async move {
                    peer::release_room(&state, address, &endpoint, hold, is_rejected).await;
                });
            }
        }
    }
}

/// Records whether the response to a request sent at `sent` says that the endpoint is brittle.
pub fn record(state: &State, instance: &Instance, sent: Time, max_rejections: Option<u32>) {
    let now = clock::now();
    let service = instance.service.as_str();
    let is_changed = {
        let mut rooms = state.rooms.borrow_mut();
        rooms.record_response(now, service, sent, max_rejections)
    };
    if is_changed {
        info!(event = "brittle", service, max_rejections:?; "brittleness changed");
    }
}

/// Returns the rejections a second that an endpoint survives, if it is brittle.
pub fn max_rejections(state: &State, instance: &Instance) -> Option<u32> {
    state.rooms.borrow().max_rejections(&instance.service)
}

/// Takes room of an endpoint, if it is brittle.
///
/// # Errors
///
/// Returns the time after which there may be room.
pub async fn hold(
    state: &Rc<State>,
    instance: &Instance,
    call: &Call,
) -> Result<Option<Held>, Duration> {
    let Some(max_rejections) = max_rejections(state, instance) else {
        return Ok(None);
    };
    let Some(source) = assign::locate(state, &instance.id) else {
        return Err(RETRY_DELAY);
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
    let reply = match source {
        Location::Here => Some(state.rooms.borrow_mut().hold(now, endpoint, &request)),
        Location::Peer(address) => {
            peer::hold_room(state, address, endpoint, &request, hold_time).await
        }
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
            source,
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
    let prompt = u64::from(call.fields.prompt_tokens);
    let tokens = prompt + u64::from(call.fields.max_output_tokens);
    let memory = tokens as f64 / class.memory_tokens.max(1) as f64;
    slots.max(memory)
}
