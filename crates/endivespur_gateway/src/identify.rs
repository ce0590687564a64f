//! Asks engines which start of their process a connection leads to.
//!
//! An engine's responses to requests do not say which start wrote them, and the registration that this gateway knows may
//! be that of an earlier one. A connection ends with the process, so that what an engine says of itself on a connection
//! holds for all that the connection carries.

use std::rc::Rc;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_http::connection::Connection;
use endivespur_platform::engine::{self, Identity, Target};
use log::info;

use crate::state::State;
use crate::{connect, notice, stream, telemetry};

/// The status of an endpoint that is not the one that was asked for.
const MISDIRECTED: u16 = 421;
/// The maximum number of connections on which an engine is asked for one request: an idle one may have ended, and an
/// engine may close one after any response.
const MAX_ASKED: usize = 2;

/// Returns a connection to an engine on which the engine has said which start of it this is. If it does not say, the
/// start stays unknown. Further connections are made until `deadline`.
///
/// # Errors
///
/// Returns the cause if the engine does not respond, or another endpoint listens on its address.
pub async fn identify(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    mut connection: Connection,
    deadline: Time,
) -> Result<Connection, String> {
    let target = Target {
        endpoint: instance.id.clone(),
        address: instance.address,
    };
    let left = || deadline.saturating_sub(clock::now());
    let mut failure = None;
    for asked in 0..MAX_ASKED {
        if asked > 0 {
            connection = connect::connect(state, instance, left()).await?;
        }
        let identity = match engine::identify(&mut connection, &target).await {
            Ok(identity) => identity,
            Err(error) => {
                record(instance, "failed", None);
                failure = Some(error);
                continue;
            }
        };
        if identity.status == MISDIRECTED {
            record(instance, "misdirected", None);
            return Err("another endpoint".to_string());
        }
        failure = None;
        state
            .health
            .borrow_mut()
            .record_activity(clock::now(), &instance.id);
        notice::record_of_call(state, instance, identity.started_ms, &identity.fields);
        record(instance, outcome(instance, &identity), identity.started_ms);
        if let Some(started_ms) = identity.started_ms {
            connection.set_peer_started_ms(started_ms);
            stream::met(state, instance, started_ms);
        }
        if identity.keeps_connection && identity.status == 200 {
            return Ok(connection);
        }
        if identity.started_ms.is_none() {
            break;
        }
    }
    if let Some(error) = failure {
        let mut health = state.health.borrow_mut();
        health.record_failure(clock::now(), &instance.id);
        return Err(error);
    }
    connect::connect(state, instance, left()).await
}

fn outcome(instance: &Instance, identity: &Identity) -> &'static str {
    match identity.started_ms {
        None => "unknown",
        Some(started_ms) if started_ms == instance.started_ms => "registered",
        Some(_) => "other-start",
    }
}

/// Counts how an engine was identified on a connection, and logs it if its start is not that of its registration.
fn record(instance: &Instance, outcome: &'static str, started_ms: Option<u64>) {
    telemetry::connection_identified(outcome);
    if outcome != "registered" {
        info!(
            event = "identify", endpoint = instance.id.as_str(), outcome, born:? = started_ms,
            registered = instance.started_ms; "start of the engine on a new connection"
        );
    }
}
