//! A caller's request, its outcome, and the connection on which the response is sent.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::feature::{Feature, Scope};
use endivespur_core::gateway::prefix::Part;
use endivespur_core::gateway::table::Route;
use endivespur_core::gateway::team::Identity;
use endivespur_core::hash;
use endivespur_core::id::{Service, Software, Team};
use endivespur_http::body::{LAST_CHUNK, encode_chunk};
use endivespur_http::connection::Connection;
use endivespur_http::head::{Framing, Request, Response};
use endivespur_platform::header;
use log::warn;

use crate::body::{self, Body};
use crate::budget::Connected;

/// The maximum number of parts of a prompt that are told apart when endpoints crash; each is recorded
/// with each crash.
const MAX_PARTS: usize = 32;

/// A request that was read completely and has a route.
pub struct Call {
    /// The request line and the header fields.
    pub head: Request,
    /// The complete body, without its framing.
    pub body: Body,
    /// The address that the request came from.
    pub caller_address: Option<IpAddr>,
    /// What may crash the endpoints that run the request.
    pub features: Rc<[Feature]>,
    /// Whether an endpoint may have begun to run the request.
    pub may_have_run: Cell<bool>,
    /// Whether the request is the trial of a quarantined feature, which may run once.
    pub is_trial: Cell<bool>,
    /// The decoded headers.
    pub fields: header::Request,
    /// The route that its host and path select.
    pub route: Route,
    /// The service that handles it.
    pub service: Service,
    /// The team that the request belongs to, when its head was read; `None` if it is anonymous, or the configuration
    /// has no teams.
    pub team: Option<Team>,
    /// Whose request it is by the last check.
    pub identity: RefCell<Identity>,
    /// The software version that engines must have, if the request resumes a stream.
    pub software: Option<Software>,
    /// The time at which its head was read.
    pub started: Time,
    /// The time by which the response must be complete.
    pub deadline: Time,
}

impl Call {
    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    /// Returns the time until the caller disconnects if no response has started.
    pub fn caller_timeout_left(&self) -> Duration {
        let caller_timeout =
            (self.started + self.route.caller_timeout()).saturating_sub(clock::now());
        if self.route.retry_policy.is_stream() {
            caller_timeout.min(self.time_left())
        } else {
            self.time_left()
        }
    }

    /// Returns the time until the objective is missed.
    pub fn objective_left(&self) -> Duration {
        (self.started + self.route.objective).saturating_sub(clock::now())
    }

    /// Returns what identifies the request when it is sent again, for the log.
    pub fn identity(&self) -> String {
        let (method, path) = (&self.head.method, path(&self.head));
        let address = self.caller_address.map(|address| address.to_string());
        let address = address.as_deref().unwrap_or("unknown");
        format!("{method} {path}, {} bytes, from {address}", self.body.len())
    }

    /// Returns the ids of the prompt's parts, for the log.
    pub fn part_ids(&self) -> String {
        let ids = self.fields.parts.iter().map(|part| part.id.as_str());
        ids.collect::<Vec<_>>().join(",")
    }

    /// Returns the request to be sent to an endpoint.
    pub fn endpoint_request(&self, dispatch: &header::Dispatch) -> Request {
        let mut request = Request::new(&self.head.method, &self.head.target);
        request.headers = header::forward(&self.head.headers, dispatch, &self.identity.borrow());
        let has_body = !self.body.is_empty() || self.head.method != "GET";
        if has_body {
            let length = self.body.len().to_string();
            request.headers.push("Content-Length", length.as_bytes());
        }
        request
    }
}

/// Returns the features of a request: each part of its prompt but the last, which no other request
/// shares, and the whole request.
///
/// Its caller sends it again with the same path and body, but possibly with another query and from
/// another address. Several callers may send the same request without a body, as when they poll a path, and
/// only those of one of them may crash endpoints. A request without a body from one address is therefore a
/// feature too.
pub fn features(
    caller_address: Option<IpAddr>,
    head: &Request,
    body: &[u8],
    parts: &[Part],
) -> Rc<[Feature]> {
    let shared = parts.iter().take(parts.len().saturating_sub(1));
    let shared = shared.take(MAX_PARTS).enumerate();
    let mut features: Vec<Feature> = shared
        .map(|(position, part)| Feature {
            fingerprint: hash::digest(&[b"part", part.id.as_bytes()]),
            scope: Scope::Part(position),
        })
        .collect();
    let (method, path) = (head.method.as_bytes(), path(head).as_bytes());
    if let Some(address) = caller_address
        && body.is_empty()
    {
        let address = address.to_string();
        features.push(Feature {
            fingerprint: hash::digest(&[b"address", address.as_bytes(), method, path]),
            scope: Scope::Address,
        });
    }
    features.push(Feature {
        fingerprint: hash::digest(&[b"request", method, path, body]),
        scope: Scope::Request,
    });
    features.into()
}

/// Returns the path of a request without its query.
fn path(head: &Request) -> &str {
    head.target.split('?').next().unwrap_or_default()
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response generated by the gateway.
    Generated {
        /// The HTTP status.
        status: u16,
        /// The delay after which the caller should retry.
        retry_after: Option<Duration>,
        /// The reason, for the log and the metrics.
        reason: String,
    },
    /// The endpoint's response was relayed completely; carries its status.
    Relayed(u16),
    /// The caller got no complete response; carries the reason.
    Aborted(String),
}

impl Outcome {
    /// Creates a refusal: the request has not run, and the caller may retry.
    pub fn refused(reason: &str, retry_after: Duration) -> Self {
        Self::Generated {
            status: 503,
            retry_after: Some(retry_after),
            reason: reason.to_string(),
        }
    }

    /// Creates a refusal of a request that no endpoint can run, now or later.
    pub fn unservable(reason: &str) -> Self {
        Self::Generated {
            status: 503,
            retry_after: None,
            reason: reason.to_string(),
        }
    }

    /// Creates a refusal of a request that is not authorised.
    pub fn unauthorized() -> Self {
        Self::Generated {
            status: 401,
            retry_after: None,
            reason: "unauthorized".to_string(),
        }
    }

    /// Creates the refusal of a request over its team's quota: it has not run, and the caller may retry.
    pub fn over_quota(retry_after: Duration) -> Self {
        Self::Generated {
            status: 429,
            retry_after: Some(retry_after),
            reason: "quota".to_string(),
        }
    }

    /// Creates a failure after which it is unknown whether the request ran.
    pub fn unknown(status: u16, reason: &str) -> Self {
        Self::Generated {
            status,
            retry_after: None,
            reason: reason.to_string(),
        }
    }
}

/// The caller's connection for the duration of one request.
pub struct Caller<'a> {
    connected: &'a Connected,
    connection: &'a mut Connection,
    /// The minor version of HTTP/1.
    minor: u8,
    /// Whether the connection closes after this response.
    pub should_close: bool,
    /// How the end of the body is marked.
    framing: Framing,
    /// Whether sending the response has started.
    pub has_started: bool,
}

impl<'a> Caller<'a> {
    /// Wraps the connection on which a request arrived.
    pub fn new(
        connected: &'a Connected,
        connection: &'a mut Connection,
        request: &Request,
        should_close: bool,
    ) -> Self {
        Self {
            connected,
            connection,
            minor: request.minor_version,
            should_close: should_close || !request.keeps_connection(),
            framing: Framing::Length(0),
            has_started: false,
        }
    }

    /// Sends the head of an endpoint's response; the body follows in chunks.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn send_head(&mut self, head: &Response, framing: Framing) -> io::Result<()> {
        let mut head = head.clone();
        head.headers.remove_hop_by_hop();
        match framing {
            Framing::Length(length) => {
                head.headers
                    .push("Content-Length", length.to_string().as_bytes());
            }
            Framing::Chunked | Framing::Close if self.minor == 0 => {
                self.should_close = true;
                self.framing = Framing::Close;
            }
            Framing::Chunked | Framing::Close => {
                head.headers.push("Transfer-Encoding", b"chunked");
                self.framing = Framing::Chunked;
            }
        }
        if self.should_close {
            head.headers.push("Connection", b"close");
        }
        self.has_started = true;
        body::write(self.connected, self.connection, &head.encode()).await
    }

    /// Sends a chunk of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        if self.framing == Framing::Chunked {
            body::write(self.connected, self.connection, &encode_chunk(bytes)).await
        } else {
            body::write(self.connected, self.connection, bytes).await
        }
    }

    /// Records that the whole response has been written as far as it has arrived.
    pub fn catch_up(&self) {
        self.connected.catch_up();
    }

    /// Records that the response ends before it is complete, and its connection with it.
    pub fn abort(&self) {
        if self.framing == Framing::Close
            && let Err(error) = self.connection.reset_at_end()
        {
            warn!(event = "caller-left"; "response may look complete: {error}");
        }
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn end_body(&mut self) -> io::Result<()> {
        if self.framing == Framing::Chunked {
            body::write(self.connected, self.connection, LAST_CHUNK).await?;
        }
        Ok(())
    }

    /// Sends a complete response without a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn send_response(&mut self, head: &Response) -> io::Result<()> {
        let head = self.encode_head(head, 0);
        body::write(self.connected, self.connection, &head).await
    }

    /// Sends a complete answer of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected, does not read, or gives way to others.
    pub async fn send_answer(&mut self, head: &Response, body: &Body) -> io::Result<()> {
        let head = self.encode_head(head, body.len());
        body::write_answer(self.connected, self.connection, head, body).await
    }

    fn encode_head(&mut self, head: &Response, length: usize) -> Vec<u8> {
        let mut head = head.clone();
        head.headers.remove_hop_by_hop();
        head.headers
            .push("Content-Length", length.to_string().as_bytes());
        if self.should_close {
            head.headers.push("Connection", b"close");
        }
        self.has_started = true;
        head.encode()
    }
}
