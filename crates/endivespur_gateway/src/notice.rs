//! Records what an endpoint says of itself in a response.

use std::rc::Rc;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_platform::header::Response;
use log::info;

use crate::state::State;
use crate::{limit, room};

/// Records the notices of the response to a request that was sent at `sent`.
pub fn record(state: &Rc<State>, instance: &Instance, sent: Time, fields: &Response) {
    limit::record(state, &instance.id, sent, fields.limit);
    room::record(state, instance, sent, fields.max_rejections);
    record_of_call(state, instance, fields);
}

/// Records the notices of the response to an order or to a request for the report.
///
/// Limits and brittleness are named in responses to requests only: their absence means nothing here.
pub fn record_of_call(state: &State, instance: &Instance, fields: &Response) {
    if let (Some(slowdown), true) = (fields.slowdown, fields.is_signed)
        && let Some(owned) = state.owned_engines.get(&instance.id)
    {
        let mut engine = owned.engine.borrow_mut();
        engine.record_slowdown(clock::now(), slowdown);
    }
    if let Some(rest) = fields.rest {
        limit::record_rest(state, instance, rest);
    }
    if !fields.is_leaving {
        return;
    }
    let (now, endpoint) = (clock::now(), instance.id.as_str());
    let mut catalog = state.catalog.borrow_mut();
    if catalog.mark_leaving(now, endpoint, instance.started_ms) {
        info!(event = "leaving", endpoint, born = instance.started_ms; "no new requests");
        drop(catalog);
        state.notify();
    }
}
