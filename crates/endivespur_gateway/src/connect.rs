//! Connects to endpoints.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_http::connection::Connection;
use endivespur_http::pool;

use crate::reach;
use crate::state::State;

/// The maximum time to connect to an endpoint; a full accept queue drops the first packet.
const TIMEOUT: Duration = Duration::from_millis(150);

/// Connects to an endpoint within `limit`; records a failure, and that the link is suspected.
///
/// # Errors
///
/// Returns the cause if the endpoint cannot be reached.
pub async fn connect(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    limit: Duration,
) -> Result<Connection, String> {
    let now = clock::now;
    match pool::connect(instance.address, TIMEOUT.min(limit)).await {
        Ok(connection) => {
            state.reach.borrow_mut().connected(now(), &instance.id);
            Ok(connection)
        }
        Err(error) => {
            reach::suspect(state, instance);
            let mut health = state.health.borrow_mut();
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                health.record_unreachable(now(), &instance.id);
            } else {
                health.record_failure(now(), &instance.id);
            }
            Err(error.to_string())
        }
    }
}
