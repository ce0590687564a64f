//! Sends a request to an endpoint: over this gateway's own link, or through another gateway.

use std::rc::Rc;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;

use crate::relay::{EndpointResponse, Failure, Outgoing};
use crate::state::State;
use crate::{forward, relay};

/// Sends a request and reads the head of the response: directly, or through another gateway if this one's links do not
/// work.
///
/// An endpoint that cannot be reached is recorded as failing.
///
/// # Errors
///
/// Returns a [`Failure`] if there is no response.
pub async fn send(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    outgoing: Outgoing<'_>,
) -> Result<EndpointResponse, Failure> {
    let started = clock::now();
    if state.reach.borrow().needs_forwarding(started, &instance.id) {
        return forward::send(state, instance, outgoing).await;
    }
    let was_bypassed = state.reach.borrow().was_bypassed(&instance.id);
    let sent = relay::send(state, instance, outgoing).await;
    let has_evidence = state.reach.borrow().has_evidence(started);
    // While other links work, an endpoint that was not bypassed before is rather down than cut off.
    if !matches!(sent, Err(Failure::NotSent(_))) || (has_evidence && !was_bypassed) {
        return sent;
    }
    let took = clock::now().saturating_sub(started);
    let outgoing = Outgoing {
        limit: outgoing.limit.saturating_sub(took),
        ..outgoing
    };
    match forward::send(state, instance, outgoing).await {
        Err(Failure::NotSent(_)) => sent,
        forwarded => {
            let mut reach = state.reach.borrow_mut();
            reach.bypass(clock::now(), &instance.id);
            drop(reach);
            forwarded
        }
    }
}
