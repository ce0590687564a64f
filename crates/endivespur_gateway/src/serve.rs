//! Serves the connections of callers.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::feature::Feature;
use endivespur_core::gateway::table::{Limits, Table};
use endivespur_core::hash;
use endivespur_http::connection::{self, Connection};
use endivespur_http::head::{Framing, Request};
use endivespur_platform::header;
use log::{debug, info};
use smol::Timer;
use smol::future::{self, FutureExt};
use smol::net::{TcpListener, TcpStream};

use crate::body::{self, Body, Unread};
use crate::budget::{Client, Connected};
use crate::exchange::{self, Call, Caller, Outcome};
use crate::state::State;
use crate::{authorize, crash, generate, plain, quota, reach, resume, telemetry, timer};

/// The pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a request waits for the first configuration, which arrives from a store that responds
/// within about 0.2 s of the start, even when all VMs start at once.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(700);
/// The delay after which a caller retries when the VM has no configuration, or no service for the
/// route.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The delay after which a caller retries when this VM stops: the other VMs serve.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// How long the request of a connection that was not yet accepted when the VM closes is waited for.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(100);
/// The delay after which a caller retries when this VM has no memory for its request.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long the rest of a refused request is discarded before its connection is closed.
const DRAIN_LIMIT: Duration = Duration::from_millis(500);
/// The bytes of an answer that the kernel may take ahead of its reader while connections are scarce. It takes them in steps
/// of up to as much: a larger buffer made readers of 80 KB/s seem to stall.
const UNSENT_BYTES: u32 = 8 * 1024;
/// The maximum time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections until the gateway takes no more requests.
pub async fn listen(state: Rc<State>, listener: TcpListener) {
    let closing = state.closing.listen();
    accept(&state, &listener).or(closing).await;
    // Callers may have sent requests over connections that only the kernel has accepted.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        accepted(&state, stream);
        state.budget.ended(Client::Caller).await;
    }
}

async fn accept(state: &Rc<State>, listener: &TcpListener) {
    loop {
        state.budget.ended(Client::Caller).await;
        match listener.accept().await {
            Ok((stream, _)) => accepted(state, stream),
            Err(error) => {
                info!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn accepted(state: &Rc<State>, stream: TcpStream) {
    let connected = state.budget.connect(Client::Caller);
    state.spawn(serve(state.clone(), stream, connected));
}

/// Whether a connection is kept for another request.
#[derive(PartialEq, Eq)]
enum Disposition {
    KeepOpen,
    Close,
}

async fn serve(state: Rc<State>, stream: TcpStream, connected: Connected) {
    let mut connection = Connection::new(stream);
    if connected.is_refused() {
        reject(&connected, &mut connection, 503, 0).await.ok();
        return;
    }
    let served = serve_requests(&state, &mut connection, &connected);
    served.or(connected.refused()).await;
    if connected.is_cut() {
        // What the reader has received must not look complete, and the kernel need not keep the rest for it.
        connection.reset_at_end().ok();
    }
}

async fn serve_requests(state: &Rc<State>, connection: &mut Connection, connected: &Connected) {
    let mut is_first = true;
    loop {
        let limits = limits(state);
        let closing = state.closing.listen();
        // Only the first request of a connection may have waited in the backlog.
        let is_backlog = state.is_closing.get() && is_first;
        if state.is_closing.get() && !is_backlog {
            return;
        }
        is_first = false;
        let received = async {
            wait_for_bytes(connection).await;
            true
        };
        let closed = async {
            closing.await;
            false
        };
        let idle_timeout = if is_backlog {
            BACKLOG_TIMEOUT
        } else {
            limits.idle_timeout
        };
        if timer::within(idle_timeout, received.or(closed)).await != Some(true) {
            return;
        }
        match handle_request(state, connection, connected, &limits).await {
            Ok(Disposition::KeepOpen) => {
                connected.set_busy(false);
            }
            Ok(Disposition::Close) => return,
            Err(error) => {
                debug!(event = "caller-left"; "{error}");
                return;
            }
        }
    }
}

fn limits(state: &State) -> Limits {
    let table = state.catalog.borrow().table();
    table.map(|table| table.limits).unwrap_or_default()
}

async fn wait_for_bytes(connection: &mut Connection) {
    if !connection.has_buffered_bytes() {
        // Reading the head reports an error or the end of the connection again.
        connection.fill().await.ok();
    }
}

async fn handle_request(
    state: &Rc<State>,
    connection: &mut Connection,
    connected: &Connected,
    limits: &Limits,
) -> Result<Disposition, connection::Error> {
    let read = connection.read_request(limits.header_bytes);
    let (head, framing) = match timer::within(limits.header_timeout, read).await {
        None => return reject(connected, connection, 408, 0).await,
        Some(Ok(Some(read))) => read,
        Some(Ok(None)) => return Ok(Disposition::Close),
        Some(Err(connection::Error::HeadTooLong)) => {
            return reject(connected, connection, 431, 0).await;
        }
        Some(Err(connection::Error::Head { source })) => {
            info!(event = "request-refused", status = 400; "{source}");
            return reject(connected, connection, 400, 0).await;
        }
        Some(Err(error)) => return Err(error),
    };
    let started = clock::now();
    let fields = header::Request::decode(&head.headers);
    let _open = OpenRequest::new(state);
    let table = state.catalog.borrow().table();
    let is_admitted = table.is_some();
    if let Some(table) = table
        && let Err(refusal) = authorize::admit(state, &table, &head, &fields)
    {
        telemetry::request_finished("", &refusal, clock::now().saturating_sub(started));
        return refuse_early(
            state, connected, connection, &head, framing, &refusal, started,
        )
        .await;
    }
    if matches!(framing, Framing::Length(length) if length > limits.body_bytes as u64) {
        return reject(connected, connection, 413, limits.body_bytes).await;
    }
    if head.headers.has_token("expect", "100-continue") {
        connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let stopping = async {
        state.must_answer().await;
        Err(503)
    };
    let body = match read_body(connected, connection, framing, limits)
        .or(stopping)
        .await
    {
        Ok(body) => body,
        Err(status) => {
            let is_stopping = state.is_stopping.get();
            let rest = if is_stopping { 0 } else { limits.body_bytes };
            return reject(connected, connection, status, rest).await;
        }
    };
    let caller_address = connection.stream().peer_addr().ok();
    let caller_address = caller_address.map(|address| address.ip());
    let received = Received {
        features: exchange::features(caller_address, &head, &body, &fields.parts),
        caller_address,
        head,
        is_admitted,
        body,
        fields,
        started,
    };
    if !connected.set_busy(true) {
        return reject(connected, connection, 503, 0).await;
    }
    if connected.is_crowded() {
        connection.set_unsent_limit(UNSENT_BYTES).ok();
    }
    respond(state, connected, connection, received).await
}

/// Refuses a request whose body may not have arrived yet. What is left of it must not be read as the next request.
async fn refuse_early(
    state: &State,
    connected: &Connected,
    connection: &mut Connection,
    head: &Request,
    framing: Framing,
    refusal: &Outcome,
    started: Time,
) -> Result<Disposition, connection::Error> {
    let body_limit = limits(state).body_bytes;
    let body = connection.read_full_body(framing, body_limit);
    let is_complete = matches!(future::poll_once(body).await, Some(Ok(Some(_))));
    let attempt_id = header::Request::decode(&head.headers).attempt_id;
    let mut caller = Caller::new(
        connected,
        connection,
        head,
        state.is_stopping.get() || !is_complete,
    );
    let admitted = state.early_answer_lines.borrow_mut().admit(clock::now());
    finish(&mut caller, &attempt_id, "", refusal, started, admitted).await?;
    if !caller.should_close {
        return Ok(Disposition::KeepOpen);
    }
    if !is_complete {
        timer::within(DRAIN_LIMIT, connection.drain(body_limit)).await;
    }
    Ok(Disposition::Close)
}

/// Counts a caller's request as open until dropped.
struct OpenRequest(Rc<State>);

impl OpenRequest {
    fn new(state: &Rc<State>) -> Self {
        state.open_requests.set(state.open_requests.get() + 1);
        Self(state.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

async fn read_body(
    connected: &Connected,
    connection: &mut Connection,
    framing: Framing,
    limits: &Limits,
) -> Result<Body, u16> {
    let received = body::receive(
        connected,
        connection,
        framing,
        limits.body_bytes,
        BODY_TIMEOUT,
        limits.header_timeout,
    );
    match received.await {
        Ok(body) => Ok(body),
        Err(Unread::Slow) => Err(408),
        Err(Unread::TooLong) => Err(413),
        Err(Unread::Shed) => Err(503),
        Err(Unread::Connection(error)) => {
            info!(event = "request-refused", status = 400; "{error}");
            Err(400)
        }
    }
}

/// Rejects a request that has not been read, and closes the connection. At most `rest` bytes of the request are
/// discarded, so that the response is not lost to a reset.
async fn reject(
    connected: &Connected,
    connection: &mut Connection,
    status: u16,
    rest: usize,
) -> Result<Disposition, connection::Error> {
    let retry_after = (status == 503).then_some(SHED_RETRY_AFTER);
    let mut head = header::gateway_response(status, "", retry_after);
    head.headers.push("Content-Length", b"0");
    head.headers.push("Connection", b"close");
    body::write(connected, connection, &head.encode()).await?;
    if rest > 0 {
        timer::within(DRAIN_LIMIT, connection.drain(rest)).await;
    }
    Ok(Disposition::Close)
}

async fn respond(
    state: &Rc<State>,
    connected: &Connected,
    connection: &mut Connection,
    received: Received,
) -> Result<Disposition, connection::Error> {
    let stream = connection.stream();
    let started = received.started;
    let attempt_id = received.fields.attempt_id.clone();
    let mut caller = Caller::new(
        connected,
        connection,
        &received.head,
        state.is_stopping.get(),
    );
    let timeout = received.fields.timeout.unwrap_or(CONFIGURATION_TIMEOUT);
    let limit = timeout.min(CONFIGURATION_TIMEOUT);
    let table = timer::within(limit, wait_for_configuration(state)).await;
    let mut service = String::new();
    let mut team = String::new();
    let outcome = match route_request(state, table.as_deref(), received) {
        Err(outcome) => outcome,
        Ok(mut call) => {
            service.clone_from(&call.service);
            team = call.team.clone().unwrap_or_default();
            state.deposit_retry(&call.service);
            let is_stopping = state.is_stopping.get();
            let class = table
                .as_deref()
                .and_then(|table| table.services.get(&call.service))
                .and_then(|group| group.engine.as_ref());
            let is_engine = class.is_some();
            let mut charge = None;
            let response = async {
                if is_stopping && let Err(refusal) = limit_to_grace(state, &mut call) {
                    return refusal;
                }
                if let Err(refusal) = reach::admit(state) {
                    return refusal;
                }
                if let Some(class) = class
                    && let Err(refusal) = generate::check_size(&call, class)
                {
                    return refusal;
                }
                match quota::admit(state, &call).await {
                    Ok(charged) => charge = charged,
                    Err(refusal) => return refusal,
                }
                if is_engine && let Err(refusal) = resume::pin(state, &mut call).await {
                    return refusal;
                }
                if let Err(refusal) = crash::admit(state, &call).await {
                    return refusal;
                }
                let run = async {
                    if is_engine {
                        generate::handle(state, &call, &mut caller).await
                    } else {
                        plain::handle(state, &call, &mut caller).await
                    }
                };
                run.or(authorize::revoked(state, &call)).await
            };
            let response = async { End::Answered(response.await) };
            let disconnected = async {
                connection::closed(stream).await;
                End::CallerLeft
            };
            let stopped = async {
                state.must_answer().await;
                End::Stopped
            };
            let end = response.or(disconnected).or(stopped).await;
            if call.may_have_run.get()
                && let Some(charge) = charge
            {
                charge.spend();
            }
            conclude(state, &call, end)
        }
    };
    let outcome = match outcome {
        Outcome::Generated { reason, .. } if caller.has_started => Outcome::Aborted(reason),
        outcome => outcome,
    };
    telemetry::request_finished(&service, &outcome, clock::now().saturating_sub(started));
    finish(&mut caller, &attempt_id, &team, &outcome, started, Some(0)).await?;
    let should_keep_open = !caller.should_close && !matches!(outcome, Outcome::Aborted(_));
    Ok(if should_keep_open {
        Disposition::KeepOpen
    } else {
        Disposition::Close
    })
}

/// How the handling of a request ended.
enum End {
    Answered(Outcome),
    CallerLeft,
    /// The process stops.
    Stopped,
}

/// Returns the outcome of a request whose handling has ended.
fn conclude(state: &State, call: &Call, end: End) -> Outcome {
    match end {
        End::Answered(outcome) => {
            if call.may_have_run.get() {
                let took = clock::now().saturating_sub(call.started);
                let mut durations = state.durations.borrow_mut();
                durations.record(&call.route.name, took);
            }
            outcome
        }
        End::CallerLeft => Outcome::Aborted("caller left".to_string()),
        End::Stopped if call.may_have_run.get() => Outcome::unknown(504, "stopped"),
        End::Stopped => Outcome::refused("stopped", STOPPING_RETRY_AFTER),
    }
}

/// Limits a request to the time that is left until the process stops.
///
/// # Errors
///
/// Returns a refusal if the request is not likely to end within that time. Other VMs can run it.
fn limit_to_grace(state: &State, call: &mut Call) -> Result<(), Outcome> {
    let Some(stop_at) = state.stop_at.get() else {
        return Ok(());
    };
    let left = stop_at.saturating_sub(clock::now());
    let expected = state.durations.borrow().expected(&call.route.name);
    if left.is_zero() || expected > left {
        return Err(Outcome::refused("stopping", STOPPING_RETRY_AFTER));
    }
    call.deadline = call.deadline.min(stop_at);
    Ok(())
}

/// Returns the configuration, after waiting for the first one.
async fn wait_for_configuration(state: &State) -> Rc<Table> {
    loop {
        let listener = state.changed.listen();
        let table = state.catalog.borrow().table();
        if let Some(table) = table {
            return table;
        }
        listener.await;
    }
}

/// A request that was read completely.
struct Received {
    /// The address that it came from.
    caller_address: Option<IpAddr>,
    head: Request,
    /// Whether it was authorised by the configuration that was in force when its head was read.
    is_admitted: bool,
    body: Body,
    features: Rc<[Feature]>,
    fields: header::Request,
    /// The time at which the head was read.
    started: Time,
}

/// Selects the route and the service of a request.
fn route_request(
    state: &State,
    table: Option<&Table>,
    received: Received,
) -> Result<Call, Outcome> {
    let Received {
        caller_address,
        head,
        is_admitted,
        body,
        features,
        fields,
        started,
    } = received;
    let Some(table) = table else {
        return Err(Outcome::refused(
            "no-configuration",
            UNCONFIGURED_RETRY_AFTER,
        ));
    };
    // The configuration may have arrived, or changed, while the body was read.
    let identity = if is_admitted {
        authorize::admit_again(state, table, &head, &fields)?
    } else {
        authorize::admit(state, table, &head, &fields)?
    };
    let team = identity.team().cloned();
    let host = head.headers.get("host").unwrap_or_default();
    let route = table.route(host, &head.target).cloned();
    let Some(mut route) = route else {
        log_missing_route(state, &fields.attempt_id, host, table.version);
        return Err(Outcome::unknown(404, "no-route"));
    };
    let Some(service) = route.service(hash::mix(&fields.attempt_id, 1)).cloned() else {
        return Err(Outcome::refused("no-service", UNCONFIGURED_RETRY_AFTER));
    };
    let settings = team
        .as_ref()
        .and_then(|team| table.teams.as_ref()?.get(team));
    if let Some(priority) = settings.and_then(|settings| settings.priority) {
        route.priority = priority;
    }
    let limit = fields
        .timeout
        .map_or(route.timeout, |left| left.min(route.timeout));
    Ok(Call {
        caller_address,
        head,
        body,
        features,
        may_have_run: Cell::new(false),
        is_trial: Cell::new(false),
        fields,
        service,
        team,
        identity: RefCell::new(identity),
        software: None,
        started,
        deadline: started + limit,
        route,
    })
}

/// Logs which configuration has no route for a request, and how recent this gateway's view of the store is.
fn log_missing_route(state: &State, attempt_id: &str, host: &str, version: u64) {
    let position = state.feed.borrow().cursor();
    let age_ms = clock::now()
        .saturating_sub(state.updated_at.get())
        .as_millis() as u64;
    info!(
        event = "no-route", request = attempt_id, host, version, revision = position.revision,
        small_revision = position.small_revision, age_ms, source:? = state.source.borrow().as_ref();
        "the configuration has no such route"
    );
}

/// Ends the response to a request, and logs it if that is `admitted`, with the number of lines skipped before it.
async fn finish(
    caller: &mut Caller<'_>,
    attempt_id: &str,
    team: &str,
    outcome: &Outcome,
    started: Time,
    admitted: Option<u64>,
) -> Result<(), connection::Error> {
    let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
    match outcome {
        Outcome::Generated {
            status,
            retry_after,
            reason,
        } => {
            if let Some(skipped) = admitted {
                info!(
                    event = "answered", request = attempt_id, status = *status, outcome = "own",
                    reason = reason.as_str(), team, took_ms, skipped; "answered"
                );
            }
            let head = header::gateway_response(*status, attempt_id, *retry_after);
            caller.send_response(&head).await?;
        }
        Outcome::Relayed(status) => {
            info!(
                event = "answered", request = attempt_id, status = *status,
                outcome = "relayed", team, took_ms; "answered"
            );
        }
        Outcome::Aborted(reason) => {
            caller.abort();
            info!(
                event = "answered", request = attempt_id, outcome = "broken",
                reason = reason.as_str(), team, took_ms; "response aborted"
            );
        }
    }
    Ok(())
}
