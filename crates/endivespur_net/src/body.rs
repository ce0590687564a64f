//! Reading whole bodies up to a size limit, and streaming bodies in chunks.

use std::io;
use std::time::Duration;

use futures_util::{AsyncReadExt, TryStreamExt};
use http_types::Body;
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;

/// The part of a body that must arrive within the timeout of a call: it ends when its response stops coming, not when
/// it is long.
const PROGRESS_BYTES: u64 = 16 << 10;

/// The size of the parts in which a body is received; each connection that receives one has such a part.
const PART_BYTES: usize = 8 << 10;

/// Reads a whole body; a body shorter than its `Content-Length` is an error.
///
/// # Errors
///
/// Returns an error if the connection fails, the body is truncated, or it is larger
/// than `limit` bytes.
pub async fn read(body: &mut Body, limit: usize) -> io::Result<Vec<u8>> {
    let content_length = body.len();
    let mut bytes = Vec::new();
    body.take(limit as u64 + 1).read_to_end(&mut bytes).await?;
    if bytes.len() > limit {
        return Err(io::Error::other("the body is too large"));
    }
    if content_length.is_some_and(|len| len != bytes.len()) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}

/// Reads a whole body as [`read`] does; calls `grow` with the size of each part before it is kept.
///
/// # Errors
///
/// Returns an error as [`read`] does, and those of `grow`.
pub async fn read_held(
    body: &mut Body,
    limit: usize,
    mut grow: impl FnMut(usize) -> io::Result<()>,
) -> io::Result<Vec<u8>> {
    let content_length = body.len();
    let mut bytes = Vec::new();
    let mut part = vec![0; PART_BYTES];
    loop {
        let count = body.read(&mut part).await?;
        if count == 0 {
            break;
        }
        if bytes.len() + count > limit {
            return Err(io::Error::other("the body is too large"));
        }
        grow(count)?;
        bytes.extend_from_slice(&part[..count]);
    }
    if content_length.is_some_and(|len| len != bytes.len()) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}

/// Reads a whole body as [`read`] does, of which each [`PROGRESS_BYTES`] must arrive within `timeout`.
///
/// # Errors
///
/// Returns an error as [`read`] does, and if the body stops coming.
pub async fn read_within(body: &mut Body, limit: usize, timeout: Duration) -> io::Result<Vec<u8>> {
    let content_length = body.len();
    let mut bytes = Vec::new();
    loop {
        let start = bytes.len();
        let part = async {
            // Reading to the end of `bytes` itself would clear its spare room for each part.
            let mut part = Vec::with_capacity(PROGRESS_BYTES as usize);
            let read = body.take(PROGRESS_BYTES).read_to_end(&mut part).await;
            read.map(|_| part)
        };
        let timed_out = async {
            smol::Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        bytes.extend(part.or(timed_out).await?);
        if bytes.len() > limit {
            return Err(io::Error::other("the body is too large"));
        }
        if bytes.len() < start + PROGRESS_BYTES as usize {
            break;
        }
    }
    if content_length.is_some_and(|len| len != bytes.len()) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}

/// A chunk of a streamed body; an error closes the connection without the last chunk.
pub type Chunk = io::Result<Vec<u8>>;

/// Creates a body that is streamed from a channel; at most `capacity` chunks wait for a slow
/// reader.
pub fn channel(capacity: usize) -> (Sender<Chunk>, Body) {
    let (sender, receiver): (Sender<Chunk>, Receiver<Chunk>) = bounded(capacity);
    let reader = Box::pin(receiver).into_async_read();
    (sender, Body::from_reader(reader, None))
}
