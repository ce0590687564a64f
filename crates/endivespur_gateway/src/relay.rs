//! Sends a request to an endpoint over this gateway's own link, and reads its response.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::id::Endpoint;
use endivespur_http::body::Decoder;
use endivespur_http::connection::{self, Connection};
use endivespur_http::head::{Framing, Request, Response};
use endivespur_platform::header;
use log::info;

use crate::body::{Body, Collector, Unread};
use crate::exchange::Call;
use crate::state::{DEFAULT_KEEP_ALIVE, State};
use crate::{connect, identify, notice, reach, telemetry, timer};

/// The maximum time that an idle connection is kept.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// How long before the endpoint's keep-alive timeout an idle connection is dropped: if the endpoint
/// closes it while a request is in flight, it is unknown whether that request ran.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// The extra time after the deadline in which a stream may still end by itself.
pub const STREAM_SLACK: Duration = Duration::from_millis(300);
/// How long an endpoint may be silent before its link is suspected.
const MAX_SILENCE: Duration = Duration::from_millis(600);
/// The maximum size of a response to another request that is read and dropped.
const MAX_STRAY_BYTES: usize = 1024 * 1024;

/// The reason why a request has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// Nothing was sent, as it may no longer be.
    Denied,
    /// Nothing was sent, as another start of the endpoint than the expected one, or an unknown one, would have received it.
    OtherStart,
    /// It was sent, and may have run.
    Lost(String),
    /// It was sent, and got no response in time.
    Timeout,
}

impl Failure {
    /// Returns the reason, for the log and the refusal.
    pub fn reason(self) -> String {
        match self {
            Self::NotSent(reason) | Self::Lost(reason) => reason,
            Self::Denied => "unauthorized".to_string(),
            Self::OtherStart => "started again".to_string(),
            Self::Timeout => "no answer in time".to_string(),
        }
    }
}

/// A request on its way to an endpoint.
#[derive(Clone, Copy)]
pub struct Outgoing<'a> {
    /// The head.
    pub request: &'a Request,
    /// The body.
    pub body: &'a [u8],
    /// The id of the attempt.
    pub attempt_id: &'a str,
    /// How long the head of the response may take.
    pub limit: Duration,
    /// The start of the endpoint, in milliseconds since the Unix epoch, that alone may receive it; `None` if any may.
    pub expected_start: Option<u64>,
    /// Asked right before the first byte, with the start of the endpoint that receives it, if that is known.
    pub may_send: &'a dyn Fn(Option<u64>) -> bool,
}

/// A response whose body is still to be read.
pub struct EndpointResponse {
    connection: Connection,
    decoder: Decoder,
    keep_alive: Option<Duration>,
    endpoint: Endpoint,
    address: std::net::SocketAddr,
    /// The start of the endpoint's process in milliseconds since the Unix epoch, if the endpoint has named it.
    pub started_ms: Option<u64>,
    /// The status line and the header fields.
    pub head: Response,
    /// The body's framing.
    pub framing: Framing,
    /// The decoded header fields.
    pub fields: header::Response,
}

impl EndpointResponse {
    /// Creates the response to a request that was sent at `sent`, of the start of the endpoint at `started_ms`, if that is
    /// known.
    pub fn new(
        state: &Rc<State>,
        instance: &Instance,
        connection: Connection,
        head: Response,
        framing: Framing,
        sent: Time,
        started_ms: Option<u64>,
    ) -> Self {
        let mut health = state.health.borrow_mut();
        health.record_activity(clock::now(), &instance.id);
        drop(health);
        let fields = header::Response::decode(&head);
        notice::record(state, instance, started_ms, sent, &fields);
        Self {
            keep_alive: keep_alive(&head, framing),
            decoder: Decoder::new(framing),
            endpoint: instance.id.clone(),
            address: instance.address,
            started_ms,
            connection,
            head,
            framing,
            fields,
        }
    }

    /// Marks the response as forwarded by another gateway, whose connection carries one request.
    pub fn forwarded(mut self, is_close_delimited: bool) -> Self {
        self.keep_alive = None;
        if is_close_delimited {
            self.framing = Framing::Close;
        }
        self
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is interrupted.
    pub async fn next_chunk(
        &mut self,
        state: &State,
    ) -> Result<Option<Vec<u8>>, connection::Error> {
        let chunk = self.connection.read_body_chunk(&mut self.decoder).await?;
        let mut health = state.health.borrow_mut();
        health.record_activity(clock::now(), &self.endpoint);
        Ok(chunk)
    }

    /// Returns the whole body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is interrupted or too long, or there is no memory for it.
    pub async fn read_all(&mut self, state: &State, limit: usize) -> Result<Body, Unread> {
        let limit = match self.framing {
            Framing::Length(length) => limit.min(usize::try_from(length).unwrap_or(limit)),
            Framing::Chunked | Framing::Close => limit,
        };
        let mut body = Collector::new(&state.budget, limit);
        while let Some(bytes) = self.next_chunk(state).await.map_err(Unread::Connection)? {
            body.push(&bytes).await?;
        }
        Ok(body.end())
    }

    /// Returns the connection to the pool, if the response was read to its end.
    ///
    /// One that has carried a refusal is closed: if a faulty endpoint wrote the refusal once more, the next answer to
    /// the same attempt could not be told from it.
    pub fn recycle(self, state: &State) {
        let Some(keep_alive) = self.keep_alive.filter(|_| !self.fields.is_not_executed) else {
            return;
        };
        if self.decoder.is_done() {
            state.keep(self.address, self.connection, keep_alive);
        }
    }
}

/// Logs and counts a failed attempt at an endpoint.
pub fn log_failed_attempt(call: &Call, instance: &Instance, outcome: &'static str, reason: &str) {
    telemetry::attempt_failed(outcome);
    info!(
        event = "attempt", request = call.fields.attempt_id.as_str(),
        endpoint = instance.id.as_str(), outcome, reason; "attempt failed"
    );
}

/// Sends a request over this gateway's own link, and reads the head of the response.
///
/// An endpoint that cannot be reached is recorded as failing.
///
/// # Errors
///
/// Returns a [`Failure`] if there is no response.
pub async fn send(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    outgoing: Outgoing<'_>,
) -> Result<EndpointResponse, Failure> {
    let limit = outgoing.limit;
    let deadline = clock::now() + limit;
    let pooled = state.pool.borrow_mut().take(instance.address);
    let answers = if pooled.is_some() {
        Answers::Named
    } else {
        Answers::Any
    };
    let is_ready = pooled.as_ref().is_some_and(|connection| {
        connection.peer_started_ms().is_some() || !state.is_engine(&instance.service)
    });
    let mut connection = match pooled {
        Some(connection) if is_ready => connection,
        pooled => open(state, instance, pooled, deadline).await?,
    };
    let started_ms = connection.peer_started_ms();
    if outgoing.expected_start.is_some() && outgoing.expected_start != started_ms {
        return Err(Failure::OtherStart);
    }
    if !(outgoing.may_send)(started_ms) {
        return Err(Failure::Denied);
    }
    let sent = clock::now();
    let left = deadline.saturating_sub(sent);
    let exchange = exchange(
        &mut connection,
        outgoing.request,
        outgoing.body,
        outgoing.attempt_id,
        answers,
        is_not_executed,
    );
    let answered = within(state, instance, left, exchange).await;
    let (head, framing) = answered.ok_or(Failure::Timeout)?.map_err(Failure::Lost)?;
    Ok(EndpointResponse::new(
        state, instance, connection, head, framing, sent, started_ms,
    ))
}

/// Returns a connection to an endpoint over which a request may be sent, if there is one until `deadline`. A model engine
/// has been asked on it which start this is.
async fn open(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    idle: Option<Connection>,
    deadline: Time,
) -> Result<Connection, Failure> {
    let left = || deadline.saturating_sub(clock::now());
    let connection = match idle {
        Some(connection) => connection,
        None => connect::connect(state, instance, left())
            .await
            .map_err(Failure::NotSent)?,
    };
    if !state.is_engine(&instance.service) {
        return Ok(connection);
    }
    let identified = identify::identify(state, instance, connection, deadline);
    let identified = within(state, instance, left(), identified).await;
    identified
        .unwrap_or_else(|| Err("no report in time".to_string()))
        .map_err(Failure::NotSent)
}

/// Returns what an endpoint answers within `limit`; suspects its link if it is silent for long.
async fn within<T>(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    limit: Duration,
    answer: impl Future<Output = T>,
) -> Option<T> {
    let mut answer = Box::pin(answer);
    let early = timer::within(limit.min(MAX_SILENCE), &mut answer).await;
    if early.is_some() {
        return early;
    }
    suspect_silence(state, instance);
    timer::within(limit.saturating_sub(MAX_SILENCE), answer).await
}

/// Suspects the link to an endpoint that has sent nothing for some time.
fn suspect_silence(state: &Rc<State>, instance: &Rc<Instance>) {
    let last_activity = state.health.borrow().last_activity(&instance.id);
    if clock::now().saturating_sub(last_activity) >= MAX_SILENCE {
        reach::suspect(state, instance);
    }
}

/// Which responses may be those to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// Those that name the attempt, and failures that name none.
    Any,
    /// Those that name the attempt: the connection has carried other requests, and a faulty endpoint may send another
    /// response to one of them late.
    Named,
}

/// Sends a message and reads the head of the response.
///
/// The peer may refuse the request before it has received all of it, and close the connection. Its response is read also
/// if the rest could not be sent, and taken if it `is_refusal`, which says that nothing has run.
///
/// # Errors
///
/// Returns the cause if there is no response.
pub async fn exchange(
    connection: &mut Connection,
    request: &Request,
    body: &[u8],
    attempt_id: &str,
    answers: Answers,
    is_refusal: fn(&Response) -> bool,
) -> Result<(Response, Framing), String> {
    let written = connection.write_message(request.encode(), body).await;
    let response = read_response(connection, &request.method, attempt_id, answers).await;
    let Err(error) = written else {
        return response;
    };
    let refusal = response.ok().filter(|(head, _)| is_refusal(head));
    refusal.ok_or_else(|| error.to_string())
}

/// Returns whether a response of an endpoint says that it has not run the request.
pub fn is_not_executed(head: &Response) -> bool {
    header::Response::decode(head).is_not_executed
}

/// Reads the head of the response to an attempt, and drops responses to other attempts.
async fn read_response(
    connection: &mut Connection,
    method: &str,
    attempt_id: &str,
    answers: Answers,
) -> Result<(Response, Framing), String> {
    loop {
        let (head, framing) = connection
            .read_response(method)
            .await
            .map_err(|error| error.to_string())?;
        let answered_attempt_id = header::Response::decode(&head).attempt_id;
        let is_match = match &answered_attempt_id {
            Some(answered_attempt_id) => answered_attempt_id == attempt_id,
            None => head.status >= 400 && answers == Answers::Any,
        };
        if is_match {
            return Ok((head, framing));
        }
        info!(event = "stray-answer", request = attempt_id, status = head.status; "dropped");
        if framing == Framing::Close {
            return Err("answer to another request".to_string());
        }
        connection
            .read_full_body(framing, MAX_STRAY_BYTES)
            .await
            .map_err(|error| error.to_string())?
            .ok_or("answer to another request")?;
    }
}

/// Returns how long the connection may stay idle after this response.
fn keep_alive(head: &Response, framing: Framing) -> Option<Duration> {
    if !head.keeps_connection() || framing == Framing::Close {
        return None;
    }
    let advertised = head
        .headers
        .get("Keep-Alive")
        .and_then(|text| text.split("timeout=").nth(1))
        .and_then(|text| text.split(',').next())
        .and_then(|text| text.trim().parse().ok())
        .map(Duration::from_secs);
    let keep_alive = advertised.map_or(DEFAULT_KEEP_ALIVE, |advertised| {
        advertised.saturating_sub(KEEP_ALIVE_MARGIN)
    });
    (!keep_alive.is_zero()).then(|| keep_alive.min(MAX_KEEP_ALIVE))
}
