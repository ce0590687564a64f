//! Records what an endpoint says of itself in a response.

use std::rc::Rc;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::{Instance, Responder};
use endivespur_platform::header::Response;
use log::info;

use crate::state::State;
use crate::{limit, room};

/// Records the notices of the response to a request that was sent at `sent`. It was written by the start of the endpoint
/// at `started_ms`, if that is known, which need not be the registered one.
pub fn record(
    state: &Rc<State>,
    instance: &Instance,
    started_ms: Option<u64>,
    sent: Time,
    fields: &Response,
) {
    limit::record(state, &instance.id, sent, fields.limit);
    room::record(state, instance, sent, fields.max_rejections);
    record_of_call(state, instance, started_ms, fields);
}

/// Records the notices of the response to an order or to a request for the report.
///
/// Limits and brittleness are named in responses to requests only: their absence means nothing here.
pub fn record_of_call(
    state: &State,
    instance: &Instance,
    started_ms: Option<u64>,
    fields: &Response,
) {
    let responder = Responder::new(instance.started_ms, started_ms);
    if let (Some(slowdown), true) = (fields.slowdown, fields.is_signed)
        && let Some(owned) = state.owned_engines.get(&instance.id)
    {
        let mut engine = owned.engine.borrow_mut();
        engine.record_slowdown(clock::now(), slowdown);
    }
    let endpoint = instance.id.as_str();
    if let Some(rest) = fields.rest {
        limit::record_rest(state, endpoint, responder, rest);
    }
    if !fields.is_leaving {
        return;
    }
    let now = clock::now();
    let mut catalog = state.catalog.borrow_mut();
    if catalog.mark_leaving(now, endpoint, responder) {
        info!(event = "leaving", endpoint, born = responder.started_ms; "no new requests");
        drop(catalog);
        state.notify();
    }
}
