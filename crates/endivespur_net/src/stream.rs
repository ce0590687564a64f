//! A TCP stream that bounds how many bytes one request may bring.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use endivespur_http::connection;
use futures_util::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// A stream whose reads fail once the request's bytes are used up.
#[derive(Clone, Debug)]
pub struct Stream {
    tcp: TcpStream,
    left: Arc<AtomicUsize>,
}

impl Stream {
    /// Wraps a stream that may bring `bytes` until the next [`Stream::allow`].
    pub fn new(tcp: TcpStream, bytes: usize) -> Self {
        Self {
            tcp,
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Permits `bytes` for the next request.
    pub fn allow(&self, bytes: usize) {
        self.left.store(bytes, Ordering::Relaxed);
    }

    /// Tells whether the bytes are used up.
    pub fn is_spent(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    /// Waits until the peer has closed its side; never returns while bytes are unread.
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
        let left = self.left.load(Ordering::Relaxed);
        if left == 0 {
            return Poll::Ready(Err(io::Error::other("the request is too large")));
        }
        let most = buf.len().min(left);
        let poll = Pin::new(&mut self.tcp).poll_read(cx, &mut buf[..most]);
        if let Poll::Ready(Ok(read)) = &poll {
            self.left.fetch_sub(*read, Ordering::Relaxed);
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
