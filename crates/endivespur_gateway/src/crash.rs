//! Detects requests that crash endpoints, and notifies the other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::hash;
use endivespur_core::suspect::Fingerprint;
use endivespur_http::pool;
use log::{info, warn};
use smol::Timer;

use crate::exchange::Call;
use crate::peer;
use crate::state::State;
use crate::telemetry;

/// The delay between a lost response and the check of the endpoint, which may only have reset the
/// connection.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// The maximum time to connect to a live endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns the fingerprint of a request; requests without a body are too similar to have one.
fn fingerprint(call: &Call) -> Option<Fingerprint> {
    let parts = [
        call.head.method.as_bytes(),
        call.head.target.as_bytes(),
        call.body.as_slice(),
    ];
    (!call.body.is_empty()).then(|| hash::digest(&parts))
}

/// Returns whether a request is refused because it has crashed endpoints.
pub fn is_quarantined(state: &State, call: &Call) -> bool {
    let Some(fingerprint) = fingerprint(call) else {
        return false;
    };
    let mut crashes = state.crashes.borrow_mut();
    let is_quarantined = crashes.is_quarantined(clock::now(), fingerprint);
    if is_quarantined {
        let request = call.fields.attempt_id.as_str();
        info!(event = "quarantined", request, print = fingerprint; "has crashed endpoints");
    }
    is_quarantined
}

/// Checks whether an endpoint crashed when it gave no response to a request.
pub fn check_for_crash(state: &Rc<State>, call: &Call, instance: &Instance) {
    let Some(fingerprint) = fingerprint(call) else {
        return;
    };
    let request = call.fields.attempt_id.clone();
    let (address, endpoint, born) = (instance.address, instance.id.clone(), instance.started_ms);
    let task_state = state.clone();
    state.spawn(async move {
        Timer::after(CHECK_DELAY).await;
        let connected = pool::connect(address, CONNECT_TIMEOUT).await;
        let outcome = if connected.is_ok() { "up" } else { "down" };
        telemetry::crash_checked(outcome);
        info!(
            event = "crash-check", request = request.as_str(), print = fingerprint,
            endpoint = endpoint.as_str(), born, outcome; "checked after a lost response"
        );
        if connected.is_ok() {
            return;
        }
        let state = task_state;
        let count = record_crash(&state, fingerprint);
        warn!(
            event = "crash", request = request.as_str(), print = fingerprint,
            endpoint = endpoint.as_str(), born, count, source = "own"; "endpoint is down"
        );
        let peers: Vec<SocketAddr> = {
            let catalog = state.catalog.borrow();
            let peers = catalog
                .peers()
                .filter(|(_, peer)| peer.process != state.process);
            peers.map(|(_, peer)| peer.address).collect()
        };
        for address in peers {
            let state = state.clone();
            state.clone().spawn(async move {
                peer::crashed(&state, address, fingerprint).await;
            });
        }
    });
}

/// Records a crash that another gateway reported.
pub fn record_reported(state: &State, fingerprint: Fingerprint) {
    let count = record_crash(state, fingerprint);
    info!(event = "crash", print = fingerprint, count, source = "peer"; "reported");
}

fn record_crash(state: &State, fingerprint: Fingerprint) -> u32 {
    let mut crashes = state.crashes.borrow_mut();
    crashes.record_crash(clock::now(), fingerprint)
}
