//! Detects requests that crash endpoints, and notifies the other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::hash;
use endivespur_core::suspect::Fingerprint;
use endivespur_http::pool;
use log::warn;
use smol::Timer;

use crate::exchange::Call;
use crate::peer;
use crate::state::State;

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
    crashes.is_quarantined(clock::now(), fingerprint)
}

/// Checks whether the endpoint at an address crashed when it gave no response to a request.
pub fn check_for_crash(state: &Rc<State>, call: &Call, address: SocketAddr) {
    let Some(fingerprint) = fingerprint(call) else {
        return;
    };
    let request = call.fields.attempt_id.clone();
    let task_state = state.clone();
    state.spawn(async move {
        Timer::after(CHECK_DELAY).await;
        if pool::connect(address, CONNECT_TIMEOUT).await.is_ok() {
            return;
        }
        warn!(event = "crash", request = request.as_str(), print = fingerprint, address:% = address; "endpoint is down");
        let state = task_state;
        state.crashes.borrow_mut().record_crash(clock::now(), fingerprint);
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
