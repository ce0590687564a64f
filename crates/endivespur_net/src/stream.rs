//! A TCP stream that limits how many bytes may be read for one message.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use endivespur_http::connection;
use futures_util::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// A stream whose reads fail once the read limit is reached.
#[derive(Clone, Debug)]
pub struct Stream {
    tcp: TcpStream,
    read_remaining: Arc<AtomicUsize>,
}

impl Stream {
    /// Wraps a stream from which at most `bytes` may be read until the next
    /// [`Stream::set_read_limit`].
    pub fn new(tcp: TcpStream, bytes: usize) -> Self {
        Self {
            tcp,
            read_remaining: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Allows `bytes` to be read from now on.
    pub fn set_read_limit(&self, bytes: usize) {
        self.read_remaining.store(bytes, Ordering::Relaxed);
    }

    /// Returns whether the read limit is reached.
    pub fn is_limit_reached(&self) -> bool {
        self.read_remaining.load(Ordering::Relaxed) == 0
    }

    /// Waits until the peer has closed its side; does not return while bytes are unread.
    pub async fn closed(&self) {
        connection::closed(self.tcp.clone()).await;
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.read_remaining.load(Ordering::Relaxed);
        if remaining == 0 {
            return Poll::Ready(Err(io::Error::other("the message is too large")));
        }
        let limit = buf.len().min(remaining);
        let poll = Pin::new(&mut self.tcp).poll_read(cx, &mut buf[..limit]);
        if let Poll::Ready(Ok(read)) = &poll {
            self.read_remaining.fetch_sub(*read, Ordering::Relaxed);
        }
        poll
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
