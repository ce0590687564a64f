//! Checks the API keys of callers against the configuration in force: when the head of a request is read, while it
//! waits, and right before each send.

use endivespur_clock as clock;
use endivespur_core::gateway::table::Table;
use endivespur_core::gateway::team::{Credentials, Denial, Identity};
use endivespur_http::head::Request;
use endivespur_platform::header;
use log::info;

use crate::exchange::{Call, Outcome};
use crate::state::State;
use crate::telemetry;

/// Authenticates a request by its head.
///
/// # Errors
///
/// Returns the refusal if it is not authorised.
pub fn admit(
    state: &State,
    table: &Table,
    head: &Request,
    fields: &header::Request,
) -> Result<Identity, Outcome> {
    identify(table, head, fields).map_err(|denial| refuse(state, fields, denial))
}

/// Authenticates again a request that was admitted before its body was read.
///
/// # Errors
///
/// Returns the refusal if it is no longer authorised.
pub fn admit_again(
    state: &State,
    table: &Table,
    head: &Request,
    fields: &header::Request,
) -> Result<Identity, Outcome> {
    identify(table, head, fields).map_err(|_| refuse(state, fields, Denial::Revoked))
}

/// Checks again, right before a request is sent, that it is authorised, and whose it is: its key may have been removed
/// while it waited.
///
/// # Errors
///
/// Returns the refusal if it is no longer authorised.
pub fn check_before_send(state: &State, call: &Call) -> Result<(), Outcome> {
    let Some(table) = state.catalog.borrow().table() else {
        return Ok(());
    };
    let identity = admit_again(state, &table, &call.head, &call.fields)?;
    // The key is kept from endpoints also if the configuration with teams has just been replaced by one without.
    if identity != Identity::Unchecked {
        call.identity.replace(identity);
    }
    Ok(())
}

/// Returns the refusal of a request once it is no longer authorised, unless it may have run.
pub async fn revoked(state: &State, call: &Call) -> Outcome {
    loop {
        let listener = state.configured.listen();
        if !call.may_have_run.get()
            && let Err(refusal) = check_before_send(state, call)
        {
            return refusal;
        }
        listener.await;
    }
}

/// Returns whether a request that may have run is still authorised for another run.
pub fn is_authorized(state: &State, call: &Call) -> bool {
    let table = state.catalog.borrow().table();
    table.is_none_or(|table| identify(&table, &call.head, &call.fields).is_ok())
}

fn identify(table: &Table, head: &Request, fields: &header::Request) -> Result<Identity, Denial> {
    let host = head.headers.get("host").unwrap_or_default();
    table.identify(host, &head.target, fields.credentials)
}

fn refuse(state: &State, fields: &header::Request, denial: Denial) -> Outcome {
    let reason = denial.name();
    telemetry::request_unauthorized(reason);
    let admitted = state.unauthorized_lines.borrow_mut().admit(clock::now());
    if let Some(skipped) = admitted {
        let digest = match fields.credentials {
            Credentials::Key(key) | Credentials::Unusual(key) => key.digest(),
            Credentials::Missing | Credentials::Doubled | Credentials::Malformed => String::new(),
        };
        info!(
            event = "unauthorized", request = fields.attempt_id.as_str(), reason, digest, skipped;
            "not authorised"
        );
    }
    Outcome::unauthorized()
}

/// Returns what a team may use compared with the mean of all teams, by the configuration in force.
pub fn share(state: &State, team: Option<&str>) -> f64 {
    let Some(team) = team.filter(|team| !team.is_empty()) else {
        return 1.0;
    };
    let table = state.catalog.borrow().table();
    let teams = table.as_ref().and_then(|table| table.teams.as_ref());
    teams.map_or(1.0, |teams| teams.share(team))
}
