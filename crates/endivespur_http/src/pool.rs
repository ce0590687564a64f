//! Idle connections by address, for one request at a time each.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol::future::FutureExt;

use crate::connection::Connection;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections of one client.
#[derive(Debug, Default)]
pub struct Pool {
    idle: BTreeMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the most recently used connection to an address that is still usable.
    pub fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if now < last.until && is_quiet(&last.connection) {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse during `keep`, at most `most` an address.
    pub fn put(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        keep: Duration,
        most: usize,
    ) {
        if connection.has_buffered_bytes() {
            return;
        }
        let idle = self.idle.entry(address).or_default();
        let now = Instant::now();
        idle.retain(|idle| now < idle.until);
        if idle.len() < most {
            let until = now + keep;
            idle.push(Idle { connection, until });
        }
    }

    /// Closes the idle connections to addresses for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.retain(|address, idle| {
            idle.retain(|idle| now < idle.until);
            keep(address) && !idle.is_empty()
        });
    }
}

/// Tells whether the peer has neither closed the connection nor sent bytes unasked.
fn is_quiet(connection: &Connection) -> bool {
    let stream = connection.stream();
    let peek = async {
        let mut byte = [0];
        stream.peek(&mut byte).await.ok();
        false
    };
    let quiet = async { true };
    smol::future::block_on(peek.or(quiet))
}

/// Connects within `timeout`.
///
/// # Errors
///
/// Returns the cause, or a timeout.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
    let late = async {
        smol::Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    Connection::connect(address).or(late).await
}
