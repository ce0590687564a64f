//! Receives bodies and answers, and writes answers, within the budget.

use std::cell::Cell;
use std::io;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::budget::Kind;
use endivespur_http::body::Decoder;
use endivespur_http::connection::{self, Connection};
use endivespur_http::head::Framing;
use smol::Timer;
use smol::future::{self, FutureExt};

use crate::budget::{BLOCK_BYTES, Budget, Connected, Held, SMALL_BYTES, Shed};
use crate::timer;

/// The bytes that a body must receive in the time for a head. All that callers within the limits of a gateway send over
/// a link of 10 Mbit/s is faster.
const MIN_PROGRESS_BYTES: usize = 1024;
/// The size of one write of an answer to a caller.
const WRITE_BYTES: usize = 16 * 1024;
/// The maximum time for one write: that for which a caller may be idle in the known deployments.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum Unread {
    /// It is longer than the limit, or than the budget.
    TooLong,
    /// It gave way to others, or did not end in time after it had waited for memory.
    Shed,
    /// It made too little progress, or took too long, and did not wait for memory.
    Slow,
    /// The connection has failed, or the body is malformed.
    Connection(connection::Error),
}

/// The bytes of a body or an answer, with the part of the budget that they take.
///
/// What arrives beyond a small body is kept in blocks of one size until it is complete: buffers that grow side by side
/// leave holes in the allocator's memory, which took up twice what was held.
pub struct Body {
    // Declared before `held`, so that the memory is free once the budget says so.
    bytes: Vec<u8>,
    blocks: Vec<Vec<u8>>,
    held: Option<Held>,
    /// Whether it has waited for memory.
    has_waited: Rc<Cell<bool>>,
    budget: Rc<Budget>,
    kind: Kind,
    /// The bytes counted as small.
    small: usize,
    /// The bytes that have arrived.
    size: usize,
    /// The size that it cannot exceed.
    max: usize,
}

impl Body {
    fn new(budget: &Rc<Budget>, kind: Kind, max: usize) -> Self {
        Self {
            bytes: Vec::new(),
            blocks: Vec::new(),
            held: None,
            has_waited: Rc::default(),
            budget: budget.clone(),
            kind,
            small: 0,
            size: 0,
            max,
        }
    }

    /// Appends bytes, after memory was taken for them.
    async fn extend(&mut self, bytes: &[u8]) -> Result<(), Unread> {
        self.size += bytes.len();
        if self.size > self.max {
            return Err(Unread::TooLong);
        }
        let room = SMALL_BYTES - self.bytes.len();
        let (first, mut rest) = bytes.split_at(bytes.len().min(room));
        let (size, capacity) = (self.bytes.len() + first.len(), self.bytes.capacity());
        if size > capacity {
            let wanted = size.max(2 * capacity).min(self.max.min(SMALL_BYTES));
            self.count_small(wanted);
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(first);
        while !rest.is_empty() {
            let last = self.blocks.last_mut();
            let Some(block) = last.filter(|block| block.len() < BLOCK_BYTES) else {
                let held = self.held.get_or_insert_with(|| {
                    Held::new(&self.budget, self.kind, self.has_waited.clone())
                });
                held.grow(BLOCK_BYTES).await.map_err(|Shed| Unread::Shed)?;
                self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
                continue;
            };
            let (part, more) = rest.split_at(rest.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(part);
            rest = more;
        }
        self.advance(bytes.len());
        Ok(())
    }

    /// Joins the blocks of one that is complete.
    fn join(&mut self) {
        if self.blocks.is_empty() {
            return;
        }
        let mut bytes = Vec::with_capacity(self.size);
        bytes.extend_from_slice(&std::mem::take(&mut self.bytes));
        for block in std::mem::take(&mut self.blocks) {
            bytes.extend_from_slice(&block);
        }
        self.bytes = bytes;
    }

    fn count_small(&mut self, bytes: usize) {
        let small = &self.budget.small;
        small.set(small.get() - self.small + bytes);
        self.small = bytes;
    }

    /// Goes on as one of another kind.
    pub fn set_kind(&mut self, kind: Kind) {
        self.kind = kind;
        if let Some(held) = &self.held {
            held.set_kind(kind);
        }
    }

    /// Records that bytes of it have been received or written.
    fn advance(&self, bytes: usize) {
        if let Some(held) = &self.held {
            held.advance(bytes);
        }
    }

    /// Waits until it has to give way.
    async fn shed(&self) {
        match &self.held {
            Some(held) => held.shed().await,
            None => future::pending().await,
        }
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.count_small(0);
    }
}

/// Receives a whole body of at most `limit` bytes within `timeout`, and with some progress in each `progress_time`.
///
/// # Errors
///
/// Returns why it was not received. Of one that is too long by its length, nothing is read.
pub async fn receive(
    connected: &Connected,
    connection: &mut Connection,
    framing: Framing,
    limit: usize,
    timeout: Duration,
    progress_time: Duration,
) -> Result<Body, Unread> {
    // One that never fits must not be told to try again.
    let limit = limit.min(connected.budget.max_body());
    let max = match framing {
        Framing::Length(length) if length > limit as u64 => return Err(Unread::TooLong),
        Framing::Length(length) => length as usize,
        Framing::Chunked | Framing::Close => limit,
    };
    let budget = &connected.budget;
    let received = Cell::new(0);
    let mut body = Body::new(budget, Kind::Receiving, max);
    let has_waited = body.has_waited.clone();
    let read = async {
        let mut decoder = Decoder::new(framing);
        loop {
            let next = async {
                let chunk = connection.read_body_chunk(&mut decoder).await;
                chunk.map_err(Unread::Connection)
            };
            let next = if body.held.is_some() {
                let shed = async {
                    body.shed().await;
                    Err(Unread::Shed)
                };
                shed.or(next).await
            } else {
                next.await
            };
            let Some(bytes) = next? else {
                body.join();
                body.set_kind(Kind::Kept);
                return Ok(body);
            };
            received.set(received.get() + bytes.len());
            connected.advance();
            body.extend(&bytes).await?;
        }
    };
    let deadline = clock::now() + timeout;
    let watch = async {
        loop {
            let (before, now) = (received.get(), clock::now());
            let left = deadline.saturating_sub(now);
            Timer::after(progress_time.min(left)).await;
            if left <= progress_time || received.get() < before + MIN_PROGRESS_BYTES {
                // While a body waits, nothing is read from its sender, who is not at fault then.
                return Err(if has_waited.get() {
                    Unread::Shed
                } else {
                    Unread::Slow
                });
            }
        }
    };
    let result = read.or(watch).await;
    connection.release_buffer();
    match &result {
        Err(Unread::Shed) => budget.record_shed("memory", received.get()),
        Err(Unread::Slow) => budget.record_shed("slow", received.get()),
        _ => {}
    }
    result
}

/// Collects an answer of at most `limit` bytes from an endpoint.
pub struct Collector(Body);

impl Collector {
    /// Creates one that holds nothing.
    pub fn new(budget: &Rc<Budget>, limit: usize) -> Self {
        Self(Body::new(budget, Kind::Kept, limit))
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is too long, or there is no memory for it.
    pub async fn push(&mut self, bytes: &[u8]) -> Result<(), Unread> {
        let result = self.0.extend(bytes).await;
        if matches!(result, Err(Unread::Shed)) {
            self.0.budget.record_shed("answer", self.0.len());
        }
        result
    }

    /// Returns the answer.
    pub fn end(mut self) -> Body {
        self.0.join();
        self.0
    }
}

/// Writes an answer to its reader, which may give way if it reads slowly.
///
/// # Errors
///
/// Returns the cause if the connection fails, the reader does not read, or it gives way.
pub async fn write_answer(
    connected: &Connected,
    connection: &mut Connection,
    mut head: Vec<u8>,
    body: &Body,
) -> io::Result<()> {
    let (first, rest) = body.split_at(body.len().min(WRITE_BYTES));
    head.extend_from_slice(first);
    let write = async {
        write(connected, connection, &head).await?;
        for piece in rest.chunks(WRITE_BYTES) {
            write(connected, connection, piece).await?;
            body.advance(piece.len());
        }
        Ok(())
    };
    if body.held.is_none() {
        return write.await;
    }
    let shed = async {
        body.shed().await;
        body.budget.record_shed("reader", body.len());
        Err(io::Error::other("gave way"))
    };
    write.or(shed).await
}

/// Writes bytes to a caller.
///
/// # Errors
///
/// Returns the cause if the connection fails, the caller reads nothing, or the connection has to be closed.
pub async fn write(
    connected: &Connected,
    connection: &mut Connection,
    bytes: &[u8],
) -> io::Result<()> {
    let mut written = 0;
    // Most writes end at once, and need no timer.
    while let Some(count) = future::poll_once(connection.write_some(&bytes[written..])).await {
        let count = count?;
        written += count;
        let is_end = written == bytes.len();
        connected.advance_write(count, is_end);
        if is_end {
            return Ok(());
        }
    }
    // On the heap, as each of thousands of connections has a future of the size that this one adds.
    Box::pin(write_blocked(connected, connection, &bytes[written..])).await
}

/// Writes what the socket does not take at once.
async fn write_blocked(
    connected: &Connected,
    connection: &mut Connection,
    bytes: &[u8],
) -> io::Result<()> {
    connected.begin_write();
    let write = async {
        let mut written = 0;
        while written < bytes.len() {
            let count = connection.write_some(&bytes[written..]).await?;
            written += count;
            connected.advance_write(count, written == bytes.len());
        }
        Ok(())
    };
    let refused = async {
        connected.refused().await;
        Err(io::Error::other("gave way"))
    };
    let written = timer::within(WRITE_TIMEOUT, write.or(refused)).await;
    written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
