//! Detects requests that crash endpoints, and refuses them.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::crash::{Crash, Record};
use endivespur_core::gateway::endpoint::Instance;
use endivespur_http::pool;
use log::info;
use smol::Timer;

use crate::exchange::{Call, Outcome};
use crate::state::State;
use crate::{record, telemetry};

/// The delay between a lost response and the check of the endpoint, which may only have reset the
/// connection.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// The maximum time to connect to a live endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The delay after which a caller may retry a request that crashes endpoints.
const RETRY_AFTER: Duration = Duration::from_mins(2);

/// Decides whether a request may run; a quarantined one may take its trial.
///
/// # Errors
///
/// Returns the refusal of a quarantined request.
pub async fn admit(state: &State, call: &Call) -> Result<(), Outcome> {
    let fingerprint = call.fingerprint;
    if !state.crashes.borrow().is_quarantined(fingerprint) {
        return Ok(());
    }
    let now = clock::now();
    let trial = state.crashes.borrow().available_trial(now, fingerprint);
    if let Some(trial) = trial
        && record::claim_trial(state, fingerprint, trial).await
    {
        return Ok(());
    }
    let request = call.fields.attempt_id.as_str();
    info!(event = "quarantined", request, print = fingerprint; "has crashed endpoints");
    let records = state.crashes.borrow_mut().refused(now, fingerprint);
    record::share(state, records);
    Err(Outcome::refused("crashes-endpoints", RETRY_AFTER))
}

/// Records that an endpoint has run a request completely, which voids earlier crashes.
pub fn completed(state: &State, call: &Call) {
    let records = state.crashes.borrow().completed(call.fingerprint);
    record::share(state, records);
}

/// Checks whether an endpoint crashed when it gave no response to a request.
pub fn check_for_crash(state: &Rc<State>, call: &Call, instance: &Rc<Instance>) {
    let fingerprint = call.fingerprint;
    let request = call.fields.attempt_id.clone();
    let (state, instance) = (state.clone(), instance.clone());
    state.clone().spawn(async move {
        Timer::after(CHECK_DELAY).await;
        let connected = pool::connect(instance.address, CONNECT_TIMEOUT).await;
        let outcome = if connected.is_ok() { "up" } else { "down" };
        telemetry::crash_checked(outcome);
        info!(
            event = "crash-check", request = request.as_str(), print = fingerprint,
            endpoint = instance.id.as_str(), born = instance.started_ms, outcome;
            "checked after a lost response"
        );
        if connected.is_err() {
            let crash = Crash {
                endpoint: instance.id.clone(),
                started_ms: instance.started_ms,
            };
            let record = Record {
                fingerprint,
                crash,
                is_void: false,
            };
            record::share(&state, vec![record]);
        }
    });
}
