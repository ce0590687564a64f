//! Bodies: reading them whole within a bound, and sending them piece by piece.

use std::io;

use futures_util::{AsyncReadExt, TryStreamExt};
use http_types::Body;
use smol::channel::{Receiver, Sender, bounded};

/// Reads a body whole; a body shorter than its announced length is an error.
///
/// # Errors
///
/// Returns an error if the connection fails, the body is cut off, or it is larger
/// than `limit` bytes.
pub async fn read(body: &mut Body, limit: usize) -> io::Result<Vec<u8>> {
    let announced = body.len();
    let mut bytes = Vec::new();
    body.take(limit as u64 + 1).read_to_end(&mut bytes).await?;
    if bytes.len() > limit {
        return Err(io::Error::other("the body is too large"));
    }
    if announced.is_some_and(|len| len != bytes.len()) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}

/// A piece of a streamed body; an error closes the connection without an end mark.
pub type Chunk = io::Result<Vec<u8>>;

/// Makes a body that is sent piece by piece; at most `pieces` wait for a slow reader.
pub fn channel(pieces: usize) -> (Sender<Chunk>, Body) {
    let (sender, receiver): (Sender<Chunk>, Receiver<Chunk>) = bounded(pieces);
    let reader = Box::pin(receiver).into_async_read();
    (sender, Body::from_reader(reader, None))
}
