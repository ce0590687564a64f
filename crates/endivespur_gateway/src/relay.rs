//! Sends a request to an endpoint and reads its answer.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_http::body::Decoder;
use endivespur_http::connection::{self, Connection};
use endivespur_http::head::{Framing, Request, Response};
use endivespur_http::pool;
use endivespur_platform::header;
use log::info;

use crate::exchange::Call;
use crate::state::State;
use crate::{telemetry, timer};

/// The longest time for a connection to an endpoint; a full queue drops the first packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an idle connection is kept if the endpoint does not name a time.
const DEFAULT_KEEP: Duration = Duration::from_millis(800);
/// The longest time that an idle connection is kept.
const MAX_KEEP: Duration = Duration::from_secs(8);
/// How long before the named time an idle connection is given up: an endpoint that closes
/// while a request is on its way leaves it unknown whether that ran.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// The idle connections kept to one endpoint.
const MAX_IDLE: usize = 8;
/// The longest answer to another request that is read and dropped.
const MAX_STRAY_BYTES: usize = 1024 * 1024;

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// It was sent, and may have run.
    Lost(String),
    /// The time is over; it was sent.
    Late,
}

/// An answer whose body is still to be read.
pub struct Reply {
    connection: Connection,
    decoder: Decoder,
    keep: Option<Duration>,
    address: std::net::SocketAddr,
    /// The head.
    pub head: Response,
    /// The body's framing.
    pub framing: Framing,
    /// What the head says of the endpoint.
    pub answer: header::Response,
}

impl Reply {
    /// Returns the next bytes of the body, or nothing at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer breaks off.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, connection::Error> {
        self.connection.read_body(&mut self.decoder).await
    }

    /// Returns the whole body, or nothing if it is longer than `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer breaks off.
    pub async fn whole(&mut self, limit: usize) -> Result<Option<Vec<u8>>, connection::Error> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next().await? {
            body.extend_from_slice(&bytes);
            if body.len() > limit {
                return Ok(None);
            }
        }
        Ok(Some(body))
    }

    /// Keeps the connection for another request, if the answer was read to its end.
    pub fn finish(self, state: &State) {
        let Some(keep) = self.keep else {
            return;
        };
        if self.decoder.is_done() {
            state
                .pool
                .borrow_mut()
                .put(self.address, self.connection, keep, MAX_IDLE);
        }
    }
}

/// Logs that an endpoint gave a request no good answer.
pub fn log_attempt(call: &Call, instance: &Instance, outcome: &'static str, reason: &str) {
    telemetry::attempt_failed(outcome);
    info!(
        event = "attempt", request = call.fields.attempt.as_str(),
        endpoint = instance.id.as_str(), outcome, reason; "endpoint gave no good answer"
    );
}

/// Sends a request with its body, and reads the head of the answer until `limit` is over.
///
/// An endpoint that is not reached is noted among the failing ones.
///
/// # Errors
///
/// Returns a [`Failure`] if there is no answer.
pub async fn send(
    state: &Rc<State>,
    instance: &Instance,
    request: &Request,
    body: &[u8],
    attempt: &str,
    limit: Duration,
) -> Result<Reply, Failure> {
    let kept = state.pool.borrow_mut().take(instance.address);
    let mut connection = match kept {
        Some(connection) => connection,
        None => pool::connect(instance.address, CONNECT_TIMEOUT.min(limit))
            .await
            .map_err(|error| {
                let mut health = state.health.borrow_mut();
                if error.kind() == std::io::ErrorKind::ConnectionRefused {
                    health.record_unreachable(clock::now(), &instance.id);
                } else {
                    health.record_failure(clock::now(), &instance.id);
                }
                Failure::NotSent(error.to_string())
            })?,
    };
    let mut message = request.encode();
    message.extend_from_slice(body);
    let exchange = async {
        connection
            .write(&message)
            .await
            .map_err(|error| error.to_string())?;
        read_own(&mut connection, &request.method, attempt).await
    };
    let (head, framing) = timer::within(limit, exchange)
        .await
        .ok_or(Failure::Late)?
        .map_err(Failure::Lost)?;
    let answer = header::Response::decode(&head);
    Ok(Reply {
        keep: keep(&head, framing),
        decoder: Decoder::new(framing),
        address: instance.address,
        connection,
        head,
        framing,
        answer,
    })
}

/// Reads the head of the answer to an attempt, and drops answers to other attempts.
async fn read_own(
    connection: &mut Connection,
    method: &str,
    attempt: &str,
) -> Result<(Response, Framing), String> {
    loop {
        let (head, framing) = connection
            .read_response(method)
            .await
            .map_err(|error| error.to_string())?;
        let answered = header::Response::decode(&head).attempt;
        let is_own = match &answered {
            Some(answered) => answered == attempt,
            None => head.status >= 400,
        };
        if is_own {
            return Ok((head, framing));
        }
        info!(event = "stray-answer", request = attempt, status = head.status; "dropped");
        if framing == Framing::Close {
            return Err("answer to another request".to_string());
        }
        connection
            .read_whole(framing, MAX_STRAY_BYTES)
            .await
            .map_err(|error| error.to_string())?
            .ok_or("answer to another request")?;
    }
}

/// Returns how long the connection may idle after this answer.
fn keep(head: &Response, framing: Framing) -> Option<Duration> {
    if !head.keeps_connection() || framing == Framing::Close {
        return None;
    }
    let named = head
        .headers
        .get("Keep-Alive")
        .and_then(|text| text.split("timeout=").nth(1))
        .and_then(|text| text.split(',').next())
        .and_then(|text| text.trim().parse().ok())
        .map(Duration::from_secs);
    let keep = named.map_or(DEFAULT_KEEP, |named| named.saturating_sub(KEEP_MARGIN));
    (!keep.is_zero()).then(|| keep.min(MAX_KEEP))
}
