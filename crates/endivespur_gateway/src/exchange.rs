//! One caller's request, and the way its answer goes back.

use std::io;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::table::Route;
use endivespur_core::id::Service;
use endivespur_http::body::{LAST_CHUNK, encode_chunk};
use endivespur_http::connection::Connection;
use endivespur_http::head::{Framing, Request, Response};
use endivespur_platform::header;

/// A request that was read whole and has a route.
pub struct Call {
    /// The head.
    pub head: Request,
    /// The body.
    pub body: Vec<u8>,
    /// What the head's fields say.
    pub fields: header::Request,
    /// The route.
    pub route: Route,
    /// The service that runs it.
    pub service: Service,
    /// When its head was read.
    pub started: Time,
    /// When it must be answered.
    pub deadline: Time,
}

impl Call {
    /// Returns the time until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    /// Returns the time until the caller leaves if no answer has begun.
    pub fn patience_left(&self) -> Duration {
        let patience = (self.started + self.route.caller_timeout()).saturating_sub(clock::now());
        if self.route.retry_policy.is_stream() {
            patience.min(self.left())
        } else {
            self.left()
        }
    }

    /// Returns the time until the objective is missed.
    pub fn objective_left(&self) -> Duration {
        (self.started + self.route.objective).saturating_sub(clock::now())
    }

    /// Returns the request as it goes to an endpoint.
    pub fn dispatch(&self, dispatch: &header::Dispatch) -> Request {
        let mut request = Request::new(&self.head.method, &self.head.target);
        request.headers = header::forward(&self.head.headers, dispatch);
        let has_body = !self.body.is_empty() || self.head.method != "GET";
        if has_body {
            let length = self.body.len().to_string();
            request.headers.push("Content-Length", length.as_bytes());
        }
        request
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// An answer of the system's own; what it means is for the status to say.
    Own {
        /// The status.
        status: u16,
        /// When the caller should come back.
        retry_after: Option<Duration>,
        /// Why.
        reason: String,
    },
    /// The endpoint's answer was passed on whole.
    Relayed(u16),
    /// The answer began and broke off.
    Broken(String),
}

impl Ending {
    /// Makes a refusal: the request has not run, and the caller may come back.
    pub fn refused(reason: &str, retry_after: Duration) -> Self {
        Self::Own {
            status: 503,
            retry_after: Some(retry_after),
            reason: reason.to_string(),
        }
    }

    /// Makes a failure after which it is unknown whether the request ran.
    pub fn unknown(status: u16, reason: &str) -> Self {
        Self::Own {
            status,
            retry_after: None,
            reason: reason.to_string(),
        }
    }
}

/// The caller's side of one exchange.
pub struct Caller<'a> {
    connection: &'a mut Connection,
    minor: u8,
    /// Whether the connection closes after this answer.
    pub closes: bool,
    is_chunked: bool,
    /// Whether the head was sent.
    pub has_begun: bool,
}

impl<'a> Caller<'a> {
    /// Wraps the connection that a request came on.
    pub fn new(connection: &'a mut Connection, request: &Request, closes: bool) -> Self {
        Self {
            connection,
            minor: request.minor,
            closes: closes || !request.keeps_connection(),
            is_chunked: false,
            has_begun: false,
        }
    }

    /// Sends the head of an endpoint's answer; the body follows in pieces.
    ///
    /// # Errors
    ///
    /// Returns the cause if the caller has left.
    pub async fn begin(&mut self, head: &Response, framing: Framing) -> io::Result<()> {
        let mut head = head.clone();
        head.headers.remove_hop_by_hop();
        match framing {
            Framing::Length(length) => {
                head.headers
                    .push("Content-Length", length.to_string().as_bytes());
            }
            Framing::Chunked | Framing::Close if self.minor == 0 => self.closes = true,
            Framing::Chunked | Framing::Close => {
                head.headers.push("Transfer-Encoding", b"chunked");
                self.is_chunked = true;
            }
        }
        if self.closes {
            head.headers.push("Connection", b"close");
        }
        self.has_begun = true;
        self.connection.write(&head.encode()).await
    }

    /// Sends a piece of the body.
    ///
    /// # Errors
    ///
    /// Returns the cause if the caller has left.
    pub async fn piece(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        if self.is_chunked {
            self.connection.write(&encode_chunk(bytes)).await
        } else {
            self.connection.write(bytes).await
        }
    }

    /// Sends the end of the body.
    ///
    /// # Errors
    ///
    /// Returns the cause if the caller has left.
    pub async fn end(&mut self) -> io::Result<()> {
        if self.is_chunked {
            self.connection.write(LAST_CHUNK).await?;
        }
        Ok(())
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Returns the cause if the caller has left.
    pub async fn whole(&mut self, head: &Response, body: &[u8]) -> io::Result<()> {
        let mut head = head.clone();
        head.headers.remove_hop_by_hop();
        head.headers
            .push("Content-Length", body.len().to_string().as_bytes());
        if self.closes {
            head.headers.push("Connection", b"close");
        }
        self.has_begun = true;
        let mut message = head.encode();
        message.extend_from_slice(body);
        self.connection.write(&message).await
    }
}
