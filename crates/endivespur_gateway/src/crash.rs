//! Finds the requests that crash endpoints, and tells the other gateways.

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

/// The time after a lost answer until the endpoint is looked at: it may only have reset the
/// connection.
const LOOK_AFTER: Duration = Duration::from_millis(50);
/// The longest time for a connection to a live endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns the fingerprint of a request; those without a body are too alike to tell apart.
fn fingerprint(call: &Call) -> Option<Fingerprint> {
    let parts = [
        call.head.method.as_bytes(),
        call.head.target.as_bytes(),
        call.body.as_slice(),
    ];
    (!call.body.is_empty()).then(|| hash::digest(&parts))
}

/// Tells whether a request is refused because it has crashed endpoints.
pub fn is_quarantined(state: &State, call: &Call) -> bool {
    let Some(print) = fingerprint(call) else {
        return false;
    };
    let mut crashes = state.crashes.borrow_mut();
    crashes.is_quarantined(clock::now(), print)
}

/// Looks whether the endpoint at an address crashed when it gave no answer to a request.
pub fn suspect(state: &Rc<State>, call: &Call, address: SocketAddr) {
    let Some(print) = fingerprint(call) else {
        return;
    };
    let request = call.fields.attempt.clone();
    let task_state = state.clone();
    state.spawn(async move {
        Timer::after(LOOK_AFTER).await;
        if pool::connect(address, CONNECT_TIMEOUT).await.is_ok() {
            return;
        }
        warn!(event = "crash", request = request.as_str(), print, address:% = address; "endpoint is down");
        let state = task_state;
        state.crashes.borrow_mut().record_crash(clock::now(), print);
        let others: Vec<SocketAddr> = {
            let catalog = state.catalog.borrow();
            let others = catalog
                .peers()
                .filter(|(_, peer)| peer.process != state.process);
            others.map(|(_, peer)| peer.address).collect()
        };
        for address in others {
            let state = state.clone();
            state.clone().spawn(async move {
                peer::crashed(&state, address, print).await;
            });
        }
    });
}
