//! Checks the API keys of callers against the configuration in force: when the head of a request is read, and right
//! before each send.

use endivespur_core::gateway::table::Table;
use endivespur_core::gateway::team::{Credentials, Denial, Identity};
use endivespur_http::head::Request;
use endivespur_platform::header;
use log::info;

use crate::exchange::{Call, Outcome};
use crate::state::State;
use crate::telemetry;

/// Decides whose request it is that has this head.
///
/// # Errors
///
/// Returns the refusal if it is not authorised.
pub fn admit(table: &Table, head: &Request, fields: &header::Request) -> Result<Identity, Outcome> {
    identify(table, head, fields).map_err(|denial| refuse(fields, denial))
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
    match identify(&table, &call.head, &call.fields) {
        // The key is kept from endpoints also if the configuration with teams has just been replaced by one without.
        Ok(Identity::Unchecked) => Ok(()),
        Ok(identity) => {
            call.identity.replace(identity);
            Ok(())
        }
        Err(_) => Err(refuse(&call.fields, Denial::Revoked)),
    }
}

fn identify(table: &Table, head: &Request, fields: &header::Request) -> Result<Identity, Denial> {
    let host = head.headers.get("host").unwrap_or_default();
    table.identify(host, &head.target, fields.credentials)
}

fn refuse(fields: &header::Request, denial: Denial) -> Outcome {
    let reason = denial.name();
    telemetry::request_unauthorized(reason);
    let digest = match fields.credentials {
        Credentials::Key(key) => key.digest(),
        Credentials::Missing
        | Credentials::Doubled
        | Credentials::Malformed
        | Credentials::Unusual(_) => String::new(),
    };
    info!(
        event = "unauthorized", request = fields.attempt_id.as_str(), reason, digest;
        "not authorised"
    );
    Outcome::unauthorized()
}
