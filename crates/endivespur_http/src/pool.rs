//! A pool of idle connections by address; each connection carries one request at a time.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::future::FutureExt;

use crate::connection::Connection;

/// A connection that waits for reuse.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections of one client.
#[derive(Debug, Default)]
pub struct Pool {
    idle: BTreeMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the most recently used connection to an address that is still reusable.
    pub fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if now < last.expires_at && is_reusable(&last.connection) {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse during `idle_timeout`, with at most `max_idle` connections
    /// per address.
    ///
    /// A connection with buffered bytes is closed instead, because the bytes belong to no
    /// response.
    pub fn put(
        &mut self,
        address: SocketAddr,
        mut connection: Connection,
        idle_timeout: Duration,
        max_idle: usize,
    ) {
        if connection.has_buffered_bytes() {
            return;
        }
        connection.release_buffer();
        let idle = self.idle.entry(address).or_default();
        let now = Instant::now();
        idle.retain(|idle| now < idle.expires_at);
        if idle.len() < max_idle {
            let expires_at = now + idle_timeout;
            idle.push(Idle {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections to addresses for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.retain(|address, idle| {
            idle.retain(|idle| now < idle.expires_at);
            keep(address) && !idle.is_empty()
        });
    }
}

/// Returns whether the peer has neither closed the connection nor sent unsolicited bytes.
fn is_reusable(connection: &Connection) -> bool {
    let stream = connection.stream();
    let peek = async {
        let mut byte = [0];
        stream.peek(&mut byte).await.ok();
        false
    };
    let nothing_received = async { true };
    smol::future::block_on(peek.or(nothing_received))
}

/// Connects within `timeout`.
///
/// # Errors
///
/// Returns the cause if the connection cannot be established, or `TimedOut`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
    let timed_out = async {
        smol::Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    Connection::connect(address).or(timed_out).await
}
