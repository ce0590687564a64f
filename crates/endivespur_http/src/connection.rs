//! A connection with its read buffer.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use smol::Timer;
use smol::future;
use smol::io::{AsyncRead, AsyncWriteExt};
use smol::net::TcpStream;
use snafu::Snafu;
use socket2::SockRef;

use crate::body::Decoder;
use crate::head::{self, Framing, Request, Response};

/// The size of one read.
const READ_BYTES: usize = 16 * 1024;
/// The capacity that the buffer of a connection keeps while it waits for bytes with nothing buffered: that of a small
/// head. Thousands of connections may be idle.
const KEPT_BYTES: usize = 4 * 1024;
/// The maximum size of a body that is copied behind its head, so that both are sent at once.
const COPIED_BYTES: usize = 16 * 1024;
/// The number of reads after which other tasks may run.
const READS_PER_YIELD: u8 = 8;
/// The interval at which a stream with unread bytes is polled for its end; a fifth of the 500 ms
/// within which the disconnect of a caller must cancel its request.
const UNREAD_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum size of a response head.
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
    /// The head is malformed, or its body length is ambiguous.
    #[snafu(display("{source}"), context(false))]
    Head {
        /// The cause.
        source: head::Error,
    },
    /// The head is longer than the limit.
    #[snafu(display("head is too long"))]
    HeadTooLong,
    /// The body is malformed.
    #[snafu(display("body is malformed"))]
    Body,
}

/// A connection, and the bytes that were read from it but not consumed yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// The number of reads, which wraps around.
    reads: u8,
    /// The start of the peer's process in milliseconds since the Unix epoch, if the peer has said so here.
    peer_started_ms: Option<u64>,
}

impl Connection {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
            reads: 0,
            peer_started_ms: None,
        }
    }

    /// Records the start of the peer's process, in milliseconds since the Unix epoch, which the peer has said on this
    /// connection.
    pub fn set_peer_started_ms(&mut self, started_ms: u64) {
        self.peer_started_ms = Some(started_ms);
    }

    /// Returns the start of the peer's process, in milliseconds since the Unix epoch, if it is known. It is the same for
    /// all that the connection carries: a connection ends with the process.
    pub fn peer_started_ms(&self) -> Option<u64> {
        self.peer_started_ms
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection cannot be established.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Returns another handle to the same stream.
    pub fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Lets the end of the connection reset it, so that the peer cannot take what it has received for complete.
    ///
    /// # Errors
    ///
    /// Returns the cause if the option cannot be set.
    pub fn reset_at_end(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Lets the kernel take further bytes only while fewer than `bytes` have not been sent yet.
    ///
    /// # Errors
    ///
    /// Returns the cause if the option cannot be set.
    pub fn set_unsent_limit(&self, bytes: u32) -> io::Result<()> {
        SockRef::from(&self.stream).set_tcp_notsent_lowat(bytes)
    }

    /// Returns whether bytes have been read that were not consumed yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads more bytes into the buffer; returns how many, 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection fails.
    pub async fn fill(&mut self) -> io::Result<usize> {
        // A peer that sends without a pause would keep other tasks and timers from running.
        self.reads = self.reads.wrapping_add(1);
        if self.reads.is_multiple_of(READS_PER_YIELD) {
            smol::future::yield_now().await;
        }
        let (stream, buffer) = (&mut self.stream, &mut self.buffer);
        future::poll_fn(|context| {
            // The block is shared by all connections: one that waits holds only what has arrived.
            let mut block = [0; READ_BYTES];
            let polled = Pin::new(&mut *stream).poll_read(context, &mut block);
            match &polled {
                Poll::Ready(result) => {
                    buffer.extend_from_slice(&block[..*result.as_ref().unwrap_or(&0)]);
                }
                Poll::Pending => release(buffer),
            }
            polled
        })
        .await
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes some bytes; returns how many.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection fails.
    pub async fn write_some(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.stream.write(bytes).await? {
            0 if !bytes.is_empty() => Err(io::ErrorKind::WriteZero.into()),
            count => Ok(count),
        }
    }

    /// Writes a head and a body. A large body is not copied.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection fails.
    pub async fn write_message(&mut self, mut head: Vec<u8>, body: &[u8]) -> io::Result<()> {
        let (first, rest) = body.split_at(body.len().min(COPIED_BYTES));
        head.extend_from_slice(first);
        self.write(&head).await?;
        self.write(rest).await
    }

    /// Ends the stream to the peer, and discards what the peer still sends, at most `limit` bytes: a connection that is
    /// closed with unread bytes is reset, and the peer may lose the response.
    pub async fn drain(&mut self, limit: usize) {
        self.buffer.clear();
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut discarded = 0;
        while discarded < limit
            && let Ok(count @ 1..) = self.fill().await
        {
            discarded += count;
            self.buffer.clear();
        }
    }

    /// Gives back the memory of the buffer, if nothing is buffered.
    pub fn release_buffer(&mut self) {
        release(&mut self.buffer);
    }

    /// Returns the bytes of memory that the buffer takes up.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Reads the head of a request; returns `None` if the peer closed the connection before it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the connection fails, or the head is invalid or too long.
    pub async fn read_request(
        &mut self,
        limit: usize,
    ) -> Result<Option<(Request, Framing)>, Error> {
        loop {
            if let Some((request, framing, size)) = Request::parse(&self.buffer)? {
                if size > limit {
                    return Err(Error::HeadTooLong);
                }
                self.buffer.drain(..size);
                return Ok(Some((request, framing)));
            }
            if self.buffer.len() > limit {
                return Err(Error::HeadTooLong);
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(Error::UnexpectedEof)
                };
            }
        }
    }

    /// Reads the head of the final response to a request with `method`, and skips interim
    /// responses.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the connection fails, or the head is invalid or too long.
    pub async fn read_response(&mut self, method: &str) -> Result<(Response, Framing), Error> {
        loop {
            if let Some((response, framing, size)) = Response::parse(&self.buffer, method)? {
                self.buffer.drain(..size);
                if (100..200).contains(&response.status) && response.status != 101 {
                    continue;
                }
                return Ok((response, framing));
            }
            if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
                return Err(Error::HeadTooLong);
            }
            if self.fill().await? == 0 {
                return Err(Error::UnexpectedEof);
            }
        }
    }

    /// Returns the next bytes of a body, or `None` at its end.
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
            let consumed = decoder
                .decode(&self.buffer, &mut out)
                .map_err(|_| Error::Body)?;
            self.buffer.drain(..consumed);
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

    /// Reads a whole body of at most `limit` bytes; returns `None` if it is longer.
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

/// Gives back the memory of an empty buffer that has grown beyond what a small head needs.
fn release(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > KEPT_BYTES {
        *buffer = Vec::new();
    }
}

/// Returns once the peer has closed the stream.
///
/// A peek cannot see the end of the stream behind unread bytes, so it is repeated every
/// [`UNREAD_POLL_INTERVAL`] until they have been read.
pub async fn closed(stream: TcpStream) {
    let mut byte = [0];
    while let Ok(1..) = stream.peek(&mut byte).await {
        Timer::after(UNREAD_POLL_INTERVAL).await;
    }
}
