//! Sends a request to an endpoint: over this gateway's own link, or through another gateway.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_http::head::Request;

use crate::relay::{EndpointResponse, Failure};
use crate::state::State;
use crate::{forward, relay};

/// Sends a request with its body and reads the head of the response within `limit`: directly, or through
/// another gateway if this one's links do not work. Asks `may_send` right before the first byte.
///
/// An endpoint that cannot be reached is recorded as failing.
///
/// # Errors
///
/// Returns a [`Failure`] if there is no response.
pub async fn send(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    request: &Request,
    body: &[u8],
    attempt_id: &str,
    limit: Duration,
    may_send: &dyn Fn() -> bool,
) -> Result<EndpointResponse, Failure> {
    let started = clock::now();
    if state.reach.borrow().needs_forwarding(started, &instance.id) {
        return forward::send(state, instance, request, body, attempt_id, limit, may_send).await;
    }
    let was_bypassed = state.reach.borrow().was_bypassed(&instance.id);
    let sent = relay::send(state, instance, request, body, attempt_id, limit, may_send).await;
    let has_evidence = state.reach.borrow().has_evidence(started);
    // While other links work, an endpoint that was not bypassed before is rather down than cut off.
    if !matches!(sent, Err(Failure::NotSent(_))) || (has_evidence && !was_bypassed) {
        return sent;
    }
    let left = limit.saturating_sub(clock::now().saturating_sub(started));
    let forwarded = forward::send(state, instance, request, body, attempt_id, left, may_send).await;
    match forwarded {
        Err(Failure::NotSent(_)) => sent,
        forwarded => {
            let mut reach = state.reach.borrow_mut();
            reach.bypass(clock::now(), &instance.id);
            drop(reach);
            forwarded
        }
    }
}
