//! Serves callers' connections.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::table::{Limits, Table};
use endivespur_core::hash;
use endivespur_http::connection::{self, Connection};
use endivespur_http::head::{Framing, Request};
use endivespur_platform::header;
use log::{debug, info};
use smol::Timer;
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};

use crate::exchange::{Call, Caller, Ending};
use crate::state::State;
use crate::{crash, generate, plain, telemetry, timer};

/// The pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a request waits for the first configuration, which a store that answers brings
/// within some 0.2 s of the start even when all VMs start at once.
const START_WAIT: Duration = Duration::from_millis(700);
/// When a caller should come back that reached a VM without configuration.
const START_RETRY_AFTER: Duration = Duration::from_millis(500);
/// When a caller should come back whose request crashes endpoints.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_mins(2);
/// The longest time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts callers until no more requests are taken.
pub async fn listen(state: Rc<State>, listener: TcpListener) {
    let closing = state.closing.listen();
    accept(state, listener).or(closing).await;
}

async fn accept(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => state.spawn(serve(state.clone(), stream)),
            Err(error) => {
                info!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Whether a connection may carry another request.
#[derive(PartialEq, Eq)]
enum Next {
    Request,
    Close,
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    loop {
        let limits = limits(&state);
        let closing = state.closing.listen();
        if state.is_closing.get() {
            return;
        }
        let first = async {
            first_bytes(&mut connection).await;
            true
        };
        let closed = async {
            closing.await;
            false
        };
        if timer::within(limits.idle_timeout, first.or(closed)).await != Some(true) {
            return;
        }
        match one_request(&state, &mut connection, &limits).await {
            Ok(Next::Request) => {}
            Ok(Next::Close) => return,
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

async fn first_bytes(connection: &mut Connection) {
    if !connection.has_ahead() {
        // The end of the connection shows again when the head is read.
        connection.fill().await.ok();
    }
}

async fn one_request(
    state: &Rc<State>,
    connection: &mut Connection,
    limits: &Limits,
) -> Result<Next, connection::Error> {
    let read = connection.read_request(limits.header_bytes);
    let (head, framing) = match timer::within(limits.header_timeout, read).await {
        None => return refuse(connection, 408).await,
        Some(Ok(Some(read))) => read,
        Some(Ok(None)) => return Ok(Next::Close),
        Some(Err(connection::Error::HeadTooLong)) => return refuse(connection, 431).await,
        Some(Err(connection::Error::Head { source })) => {
            info!(event = "request-refused", status = 400; "{source}");
            return refuse(connection, 400).await;
        }
        Some(Err(error)) => return Err(error),
    };
    let started = clock::now();
    if head.headers.has_token("expect", "100-continue") {
        connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = match read_body(connection, framing, limits).await {
        Ok(body) => body,
        Err(status) => return refuse(connection, status).await,
    };
    state.open_requests.set(state.open_requests.get() + 1);
    let next = respond(state, connection, head, body, started).await;
    state.open_requests.set(state.open_requests.get() - 1);
    next
}

async fn read_body(
    connection: &mut Connection,
    framing: Framing,
    limits: &Limits,
) -> Result<Vec<u8>, u16> {
    let read = connection.read_whole(framing, limits.body_bytes);
    match timer::within(BODY_TIMEOUT, read).await {
        None => Err(408),
        Some(Ok(Some(body))) => Ok(body),
        Some(Ok(None)) => Err(413),
        Some(Err(error)) => {
            info!(event = "request-refused", status = 400; "{error}");
            Err(400)
        }
    }
}

/// Answers what is no proper request, and closes the connection.
async fn refuse(connection: &mut Connection, status: u16) -> Result<Next, connection::Error> {
    let mut head = header::gateway_response(status, "", None);
    head.headers.push("Content-Length", b"0");
    head.headers.push("Connection", b"close");
    connection.write(&head.encode()).await?;
    Ok(Next::Close)
}

async fn respond(
    state: &Rc<State>,
    connection: &mut Connection,
    head: Request,
    body: Vec<u8>,
    started: Time,
) -> Result<Next, connection::Error> {
    let stream = connection.stream();
    let fields = header::Request::decode(&head.headers);
    let attempt = fields.attempt.clone();
    let mut caller = Caller::new(connection, &head, state.is_stopping.get());
    let limit = fields.timeout.unwrap_or(START_WAIT).min(START_WAIT);
    let table = timer::within(limit, configuration(state)).await;
    let mut service = String::new();
    let ending = match prepare(table.as_deref(), head, body, fields, started) {
        Err(ending) => ending,
        Ok(call) => {
            service.clone_from(&call.service);
            state.deposit_retry(&call.service);
            let is_engine = table
                .as_deref()
                .and_then(|table| table.services.get(&call.service))
                .is_some_and(|group| group.engine.is_some());
            let work = async {
                if crash::is_quarantined(state, &call) {
                    return Ending::refused("crashes-endpoints", QUARANTINE_RETRY_AFTER);
                }
                if is_engine {
                    generate::answer(state, &call, &mut caller).await
                } else {
                    plain::answer(state, &call, &mut caller).await
                }
            };
            let left = async {
                connection::closed(stream).await;
                Ending::Broken("caller left".to_string())
            };
            work.or(left).await
        }
    };
    let ending = match ending {
        Ending::Own { reason, .. } if caller.has_begun => Ending::Broken(reason),
        ending => ending,
    };
    telemetry::answered(&service, &ending, clock::now().saturating_sub(started));
    finish(&mut caller, &attempt, &ending, started).await?;
    let is_open = !caller.closes && !matches!(ending, Ending::Broken(_));
    Ok(if is_open { Next::Request } else { Next::Close })
}

/// Returns the configuration as soon as there is one.
async fn configuration(state: &State) -> Rc<Table> {
    loop {
        let listener = state.changed.listen();
        let table = state.catalog.borrow().table();
        if let Some(table) = table {
            return table;
        }
        listener.await;
    }
}

/// Finds the route of a request.
fn prepare(
    table: Option<&Table>,
    head: Request,
    body: Vec<u8>,
    fields: header::Request,
    started: Time,
) -> Result<Call, Ending> {
    let Some(table) = table else {
        return Err(Ending::refused("no-configuration", START_RETRY_AFTER));
    };
    let host = head.headers.get("host").unwrap_or_default();
    let route = table.route(host, &head.target).cloned();
    let Some(route) = route else {
        return Err(Ending::unknown(404, "no-route"));
    };
    let Some(service) = route.service(hash::mix(&fields.attempt, 1)).cloned() else {
        return Err(Ending::refused("no-service", START_RETRY_AFTER));
    };
    let limit = fields
        .timeout
        .map_or(route.timeout, |left| left.min(route.timeout));
    Ok(Call {
        head,
        body,
        fields,
        service,
        started,
        deadline: started + limit,
        route,
    })
}

async fn finish(
    caller: &mut Caller<'_>,
    attempt: &str,
    ending: &Ending,
    started: Time,
) -> Result<(), connection::Error> {
    let took_ms = clock::now().saturating_sub(started).as_millis() as u64;
    match ending {
        Ending::Own {
            status,
            retry_after,
            reason,
        } => {
            info!(
                event = "answered", request = attempt, status = *status, outcome = "own",
                reason = reason.as_str(), took_ms; "answered"
            );
            let head = header::gateway_response(*status, attempt, *retry_after);
            caller.whole(&head, b"").await?;
        }
        Ending::Relayed(status) => {
            info!(
                event = "answered", request = attempt, status = *status,
                outcome = "relayed", took_ms; "answered"
            );
        }
        Ending::Broken(reason) => {
            info!(
                event = "answered", request = attempt, outcome = "broken",
                reason = reason.as_str(), took_ms; "broken off"
            );
        }
    }
    Ok(())
}
