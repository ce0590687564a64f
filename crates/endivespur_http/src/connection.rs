//! One connection and the bytes that were read ahead on it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use smol::Timer;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use snafu::Snafu;

use crate::body::Decoder;
use crate::head::{self, Framing, Request, Response};

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// The pause between looks at a stream whose bytes hide its end; a fifth of the half second
/// within which a caller's leaving has to stop its request.
const UNREAD_CHECK: Duration = Duration::from_millis(100);
/// The longest head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Why a message could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed.
    #[snafu(display("connection: {source}"), context(false))]
    Io {
        /// The cause.
        source: io::Error,
    },
    /// The connection ended inside a message.
    #[snafu(display("connection ended early"))]
    UnexpectedEof,
    /// The head is unusable.
    #[snafu(display("{source}"), context(false))]
    Head {
        /// The cause.
        source: head::Error,
    },
    /// The head is longer than allowed.
    #[snafu(display("head is too long"))]
    HeadTooLong,
    /// The body is malformed.
    #[snafu(display("body is malformed"))]
    Body,
}

/// A connection with what was read ahead.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection cannot be made.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Returns another handle of the same stream.
    pub fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Tells whether bytes were read that belong to no message yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.ahead.is_empty()
    }

    /// Reads more bytes; returns how many, 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection fails.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let start = self.ahead.len();
        self.ahead.resize(start + READ_BYTES, 0);
        let result = self.stream.read(&mut self.ahead[start..]).await;
        self.ahead.truncate(start + *result.as_ref().unwrap_or(&0));
        result
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the head of a request; nothing if the peer closed between requests.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the connection fails or the head is unusable.
    pub async fn read_request(
        &mut self,
        limit: usize,
    ) -> Result<Option<(Request, Framing)>, Error> {
        loop {
            if let Some((request, framing, size)) = Request::parse(&self.ahead)? {
                if size > limit {
                    return Err(Error::HeadTooLong);
                }
                self.ahead.drain(..size);
                return Ok(Some((request, framing)));
            }
            if self.ahead.len() > limit {
                return Err(Error::HeadTooLong);
            }
            if self.fill().await? == 0 {
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(Error::UnexpectedEof)
                };
            }
        }
    }

    /// Reads the head of the final response to a request of `method`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the connection fails or the head is unusable.
    pub async fn read_response(&mut self, method: &str) -> Result<(Response, Framing), Error> {
        loop {
            if let Some((response, framing, size)) = Response::parse(&self.ahead, method)? {
                self.ahead.drain(..size);
                if (100..200).contains(&response.status) && response.status != 101 {
                    continue;
                }
                return Ok((response, framing));
            }
            if self.ahead.len() > MAX_RESPONSE_HEAD_BYTES {
                return Err(Error::HeadTooLong);
            }
            if self.fill().await? == 0 {
                return Err(Error::UnexpectedEof);
            }
        }
    }

    /// Returns the next bytes of a body, or nothing at its end.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the connection fails or the body is malformed.
    pub async fn read_body_chunk(
        &mut self,
        decoder: &mut Decoder,
    ) -> Result<Option<Vec<u8>>, Error> {
        let mut out = Vec::new();
        loop {
            let used = decoder
                .decode(&self.ahead, &mut out)
                .map_err(|_| Error::Body)?;
            self.ahead.drain(..used);
            if !out.is_empty() {
                return Ok(Some(out));
            }
            if decoder.is_done() {
                return Ok(None);
            }
            if self.fill().await? == 0 {
                return if decoder.ends_at_close() {
                    Ok(None)
                } else {
                    Err(Error::UnexpectedEof)
                };
            }
        }
    }

    /// Reads a whole body of at most `limit` bytes; nothing if it is longer.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the connection fails or the body is malformed.
    pub async fn read_full_body(
        &mut self,
        framing: Framing,
        limit: usize,
    ) -> Result<Option<Vec<u8>>, Error> {
        if matches!(framing, Framing::Length(length) if length > limit as u64) {
            return Ok(None);
        }
        let mut decoder = Decoder::new(framing);
        let mut body = Vec::new();
        while let Some(bytes) = self.read_body_chunk(&mut decoder).await? {
            body.extend_from_slice(&bytes);
            if body.len() > limit {
                return Ok(None);
            }
        }
        Ok(Some(body))
    }
}

/// Returns once the peer has closed the stream.
///
/// Bytes that nobody has read yet hide the end of the stream, so that it is looked for again
/// every [`UNREAD_CHECK`] until they are read.
pub async fn closed(stream: TcpStream) {
    let mut byte = [0];
    while let Ok(1..) = stream.peek(&mut byte).await {
        Timer::after(UNREAD_CHECK).await;
    }
}
