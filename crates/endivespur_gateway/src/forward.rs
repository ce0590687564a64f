//! Sends requests to endpoints through another gateway, while this one reaches none.
//!
//! The gateway that received a request keeps all decisions: grants, tokens, retries, and what its outcome
//! means. The other one only passes the bytes on, over HTTP with a length or in chunks, so that a response
//! that ends early never looks complete.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_http::body::{LAST_CHUNK, encode_chunk};
use endivespur_http::connection::{self, Connection};
use endivespur_http::head::{Framing, Request, Response};
use endivespur_http::pool;
use endivespur_platform::header;
use log::{debug, info};
use smol::Timer;
use smol::future::{self, FutureExt};
use smol::net::{TcpListener, TcpStream};

use crate::body::{self, Body, Unread};
use crate::budget::{Client, Connected};
use crate::catalog::FORWARD_VERSION_WITH_STARTS;
use crate::relay::{self, Answers, EndpointResponse, Failure, Outgoing};
use crate::state::{InFlight, State};
use crate::{limit, reach, telemetry, timer};

/// Names the endpoint of a forwarded request.
const ENDPOINT: &str = "Endivespur-Forward-To";
/// In a response, how the forwarding gateway failed, or the framing of the endpoint's response.
const RESULT: &str = "Endivespur-Forward-Result";

/// The start of the endpoint in milliseconds since the Unix epoch. In a request to a gateway that checks it: the one
/// that alone may receive it, or [`ANY_START`]. In the response: the one that wrote it, if it is known.
const START: &str = "Endivespur-Endpoint-Start";
/// Asks for the start of the endpoint, whichever it is.
const ANY_START: &str = "any";

/// The endpoint was not reached, and others are.
const UNREACHED: &str = "unreached";
/// The forwarding gateway may be cut off itself, or forwards too many requests.
const UNAVAILABLE: &str = "unavailable";
/// The endpoint wants no requests from the forwarding gateway for some time.
const RESTING: &str = "resting";
/// The endpoint is draining.
const DRAINING: &str = "draining";
/// The endpoint has started again, or its start is not known.
const OTHER_START: &str = "other-start";
/// The request was sent to the endpoint, and its response was lost.
const LOST: &str = "lost";
/// The request was sent to the endpoint, and had no response in time.
const TIMEOUT: &str = "timeout";
/// The endpoint's response ends with its connection.
const CLOSE_DELIMITED: &str = "close-delimited";

/// The results that say that the request has not run.
const REFUSALS: [&str; 5] = [UNREACHED, UNAVAILABLE, RESTING, DRAINING, OTHER_START];

/// The maximum time to connect to another gateway: a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// The maximum number of gateways that are tried for one request.
const GATEWAY_LIMIT: usize = 3;
/// The maximum number of requests that a gateway forwards at a time.
const MAX_FORWARDED: usize = 1024;
/// The maximum size of the head of a forwarded request.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The maximum size of the body of a forwarded request, if there is no configuration.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The maximum time for a forwarded request to arrive.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the rest of a refused request is discarded, so that the response is not lost to a reset.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a forwarded request may take if it does not say.
const DEFAULT_LIMIT: Duration = Duration::from_secs(20);
/// The pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Sends a request to an endpoint through another gateway, and reads the head of the response. Asks whether it may be sent
/// before each gateway.
///
/// A gateway of an older release does not check which start of the endpoint receives the request, and does not name it.
///
/// # Errors
///
/// Returns a [`Failure`] if there is no response.
pub async fn send(
    state: &Rc<State>,
    instance: &Instance,
    outgoing: Outgoing<'_>,
) -> Result<EndpointResponse, Failure> {
    let Outgoing {
        body, attempt_id, ..
    } = outgoing;
    let deadline = clock::now() + outgoing.limit;
    let mut request = outgoing.request.clone();
    request.headers.remove(is_own_field);
    request.headers.push(ENDPOINT, instance.id.as_bytes());
    let start = outgoing.expected_start.map(|start| start.to_string());
    let start = start.unwrap_or_else(|| ANY_START.to_string());
    let mut reason = "no gateway reaches an endpoint".to_string();
    for gateway in reach::others(state, attempt_id)
        .into_iter()
        .take(GATEWAY_LIMIT)
    {
        let Some(address) = gateway.forward_address else {
            continue;
        };
        let left = deadline.saturating_sub(clock::now());
        let connected = pool::connect(address, CONNECT_TIMEOUT.min(left)).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(error) => {
                reason = format!("forwarding to {address}: {error}");
                continue;
            }
        };
        if !(outgoing.may_send)(None) {
            return Err(Failure::Denied);
        }
        let mut request = request.clone();
        if gateway.forward_version >= FORWARD_VERSION_WITH_STARTS {
            request.headers.push(START, start.as_bytes());
        }
        let sent = clock::now();
        let exchange = relay::exchange(
            &mut connection,
            &request,
            body,
            attempt_id,
            Answers::Any,
            is_refusal,
        );
        let (mut head, framing) = timer::within(left, exchange)
            .await
            .ok_or(Failure::Timeout)?
            .map_err(Failure::Lost)?;
        let result = head.headers.get(RESULT).unwrap_or_default().to_string();
        let started_ms = head.headers.get(START).and_then(|start| start.parse().ok());
        head.headers.remove(is_own_field);
        telemetry::request_forwarded(&result);
        match result.as_str() {
            UNREACHED => {
                let mut health = state.health.borrow_mut();
                health.record_unreachable(clock::now(), &instance.id);
                state.reach.borrow_mut().end_bypass(&instance.id);
                return Err(Failure::NotSent(format!("not reached from {address}")));
            }
            UNAVAILABLE => {
                state.peers.has_no_links(gateway.address);
                reason = format!("{address} cannot forward");
            }
            RESTING | DRAINING => {
                reason = format!("the endpoint is {result} for the gateway at {address}");
            }
            OTHER_START => return Err(Failure::OtherStart),
            LOST => return Err(Failure::Lost("lost by another gateway".to_string())),
            TIMEOUT => return Err(Failure::Timeout),
            _ => {
                debug!(event = "forwarded", request = attempt_id, address:% = address; "sent by another gateway");
                let response = EndpointResponse::new(
                    state, instance, connection, head, framing, sent, started_ms,
                );
                let is_close_delimited = result == CLOSE_DELIMITED;
                return Ok(response.forwarded(is_close_delimited));
            }
        }
    }
    Err(Failure::NotSent(reason))
}

/// Returns whether a response of another gateway says that the request has not run.
fn is_refusal(head: &Response) -> bool {
    let result = head.headers.get(RESULT);
    relay::is_not_executed(head) || result.is_some_and(|result| REFUSALS.contains(&result))
}

/// Returns whether a header field is one that gateways send each other with forwarded requests and their responses.
fn is_own_field(name: &str) -> bool {
    let own = [ENDPOINT, RESULT, START];
    own.into_iter().any(|own| name.eq_ignore_ascii_case(own))
}

/// Serves the requests of other gateways until the future is dropped.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        state.budget.ended(Client::Gateway).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let task_state = state.clone();
                let connected = state.budget.connect(Client::Gateway);
                state.spawn(async move {
                    let open = &task_state.open_requests;
                    open.set(open.get() + 1);
                    if let Err(error) = handle(&task_state, stream, &connected).await {
                        debug!(event = "forward"; "{error}");
                    }
                    open.set(open.get() - 1);
                });
            }
            Err(error) => {
                info!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Handles the one request of a connection.
async fn handle(
    state: &Rc<State>,
    stream: TcpStream,
    connected: &Connected,
) -> Result<(), connection::Error> {
    let mut connection = Connection::new(stream);
    let table = state.catalog.borrow().table();
    let body_limit = table.map_or(MAX_BODY_BYTES, |table| table.limits.body_bytes);
    if connected.is_refused() {
        return refuse(state, &mut connection, "", body_limit).await;
    }
    let started = clock::now();
    let refused = async {
        connected.refused().await;
        Ok(None)
    };
    let read = connection.read_request(MAX_HEAD_BYTES).or(refused);
    let read = timer::within(RECEIVE_TIMEOUT, read).await;
    let Some((request, framing)) = read.transpose()?.flatten() else {
        return Ok(());
    };
    let left = RECEIVE_TIMEOUT.saturating_sub(clock::now().saturating_sub(started));
    let receive = body::receive(connected, &mut connection, framing, body_limit, left, left);
    let refused = async {
        connected.refused().await;
        Err(Unread::Shed)
    };
    let body = match receive.or(refused).await {
        Ok(body) => body,
        Err(Unread::Connection(error)) => return Err(error),
        Err(Unread::TooLong | Unread::Shed | Unread::Slow) => {
            let attempt_id = header::Request::decode(&request.headers).attempt_id;
            return refuse(state, &mut connection, &attempt_id, body_limit).await;
        }
    };
    if !connected.set_busy(true) {
        let attempt_id = header::Request::decode(&request.headers).attempt_id;
        return refuse(state, &mut connection, &attempt_id, 0).await;
    }
    let gateway = connection.stream();
    let forward = forward(state, &mut connection, request, body);
    let left = async {
        connection::closed(gateway).await;
        Ok(())
    };
    forward.or(left).await
}

/// Answers that the request is not forwarded. Gateways of all releases try another one then.
async fn refuse(
    state: &State,
    connection: &mut Connection,
    attempt_id: &str,
    rest: usize,
) -> Result<(), connection::Error> {
    // The limit no longer counts this connection: many that drain would use up the descriptors.
    let Some(_draining) = state.budget.drain() else {
        let respond = respond(connection, RESTING, attempt_id);
        return future::poll_once(respond).await.unwrap_or(Ok(()));
    };
    let end = async {
        respond(connection, RESTING, attempt_id).await?;
        connection.drain(rest).await;
        Ok(())
    };
    timer::within(DRAIN_TIMEOUT, end).await.unwrap_or(Ok(()))
}

/// Sends the request over this gateway's own link, and passes the response on.
async fn forward(
    state: &Rc<State>,
    connection: &mut Connection,
    mut request: Request,
    body: Body,
) -> Result<(), connection::Error> {
    let fields = header::Request::decode(&request.headers);
    let endpoint = request
        .headers
        .get(ENDPOINT)
        .unwrap_or_default()
        .to_string();
    let start = request.headers.get(START).map(ToString::to_string);
    request.headers.remove(is_own_field);
    let table = state.catalog.borrow().table();
    if table.is_some_and(|table| table.teams.is_some()) {
        // A gateway of an older release, or with an older configuration, passes on the key of its caller.
        header::remove_credentials(&mut request.headers);
    }
    let instance = state.catalog.borrow().endpoint(&endpoint);
    let is_available = state.forwarded.get() < MAX_FORWARDED
        && !state.reach.borrow().is_unreached(&endpoint)
        && !state.is_stopping.get();
    let Some(instance) = instance.filter(|_| is_available) else {
        return respond(connection, UNAVAILABLE, &fields.attempt_id).await;
    };
    if instance.is_draining {
        return respond(connection, DRAINING, &fields.attempt_id).await;
    }
    if limit::rest_left(state, &instance).is_some() {
        return respond(connection, RESTING, &fields.attempt_id).await;
    }
    let _in_flight = InFlight::new(state, &instance.id);
    let _forwarded = Forwarded::new(state);
    let limit = fields.timeout.unwrap_or(DEFAULT_LIMIT);
    // The gateway that received the request has checked its key, which is not passed on.
    let outgoing = Outgoing {
        request: &request,
        body: &body,
        attempt_id: &fields.attempt_id,
        limit,
        expected_start: start.as_ref().and_then(|start| start.parse().ok()),
        may_send: &|_| true,
    };
    let response = match relay::send(state, &instance, outgoing).await {
        Ok(response) => response,
        Err(failure) => {
            let result = match failure {
                Failure::NotSent(_) if reach::have_links(state, &instance).await => UNREACHED,
                Failure::NotSent(_) | Failure::Denied => UNAVAILABLE,
                Failure::OtherStart => OTHER_START,
                Failure::Lost(_) => LOST,
                Failure::Timeout => TIMEOUT,
            };
            return respond(connection, result, &fields.attempt_id).await;
        }
    };
    let names_start = start.is_some();
    let body = relay_response(state, connection, response, names_start);
    timer::within(limit + relay::STREAM_SLACK, body)
        .await
        .unwrap_or(Ok(()))
}

/// Answers that the endpoint's response cannot be passed on.
async fn respond(
    connection: &mut Connection,
    result: &str,
    attempt_id: &str,
) -> Result<(), connection::Error> {
    let mut head = header::gateway_response(503, attempt_id, None);
    head.headers.push(RESULT, result.as_bytes());
    head.headers.push("Content-Length", b"0");
    head.headers.push("Connection", b"close");
    Ok(connection.write(&head.encode()).await?)
}

/// Passes a response on, with a length or in chunks. Names the start of the endpoint if the other gateway asks for it.
async fn relay_response(
    state: &Rc<State>,
    connection: &mut Connection,
    mut response: EndpointResponse,
    names_start: bool,
) -> Result<(), connection::Error> {
    let mut head: Response = response.head.clone();
    head.headers.remove_hop_by_hop();
    let length = match response.framing {
        Framing::Length(length) => Some(length),
        Framing::Chunked | Framing::Close => None,
    };
    match length {
        Some(length) => head
            .headers
            .push("Content-Length", length.to_string().as_bytes()),
        None => head.headers.push("Transfer-Encoding", b"chunked"),
    }
    if response.framing == Framing::Close {
        head.headers.push(RESULT, CLOSE_DELIMITED.as_bytes());
    }
    if let Some(started_ms) = response.started_ms.filter(|_| names_start) {
        head.headers.push(START, started_ms.to_string().as_bytes());
    }
    head.headers.push("Connection", b"close");
    connection.write(&head.encode()).await?;
    while let Some(bytes) = response.next_chunk(state).await? {
        if length.is_some() {
            connection.write(&bytes).await?;
        } else {
            connection.write(&encode_chunk(&bytes)).await?;
        }
    }
    if length.is_none() {
        connection.write(LAST_CHUNK).await?;
    }
    response.recycle(state);
    Ok(())
}

/// Counts a request as forwarded until dropped.
struct Forwarded(Rc<State>);

impl Forwarded {
    fn new(state: &Rc<State>) -> Self {
        state.forwarded.set(state.forwarded.get() + 1);
        Self(state.clone())
    }
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        self.0.forwarded.set(self.0.forwarded.get() - 1);
    }
}
