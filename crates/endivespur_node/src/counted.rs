//! Counts the bytes sent between daemons.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_util::{AsyncRead, AsyncWrite};

/// A stream that counts its bytes in `endivespur_node_bytes_total`.
pub struct Counted<T>(pub T);

fn count(direction: &'static str, poll: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(bytes)) = poll {
        metrics::counter!("endivespur_node_bytes_total", "direction" => direction)
            .increment(*bytes as u64);
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.0).poll_read(cx, buf);
        count("in", &poll);
        poll
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.0).poll_write(cx, buf);
        count("out", &poll);
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}
