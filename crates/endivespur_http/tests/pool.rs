//! The connection pool: a connection that the peer has closed, or on which it has sent unsolicited
//! bytes, is not reused.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use endivespur_http::connection::{self, Connection};
use endivespur_http::pool::Pool;

const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a connection and the peer's end of it.
fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connection = smol::block_on(Connection::connect(address)).unwrap();
    (connection, listener.accept().unwrap().0)
}

/// Waits until the peer's bytes or close have arrived.
fn settle() {
    std::thread::sleep(Duration::from_millis(50));
}

#[test]
fn take_idle_connection() {
    let (connection, peer) = pair();
    let address = peer.local_addr().unwrap();
    let mut pool = Pool::new();
    pool.put(address, connection, IDLE_TIMEOUT, 1);
    assert!(pool.take(address).is_some());
    assert!(pool.take(address).is_none());
}

#[test]
fn take_closed_connection() {
    let (connection, peer) = pair();
    let address = peer.local_addr().unwrap();
    let mut pool = Pool::new();
    pool.put(address, connection, IDLE_TIMEOUT, 1);
    drop(peer);
    settle();
    assert!(pool.take(address).is_none());
}

#[test]
fn take_connection_with_unsolicited_response() {
    let (connection, mut peer) = pair();
    let address = peer.local_addr().unwrap();
    let mut pool = Pool::new();
    pool.put(address, connection, IDLE_TIMEOUT, 1);
    peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    settle();
    assert!(pool.take(address).is_none());
}

#[test]
fn take_expired_connection() {
    let (connection, peer) = pair();
    let address = peer.local_addr().unwrap();
    let mut pool = Pool::new();
    pool.put(address, connection, Duration::from_millis(10), 1);
    settle();
    assert!(pool.take(address).is_none());
}

#[test]
fn put_over_the_limit() {
    let (first, peer) = pair();
    let (second, mut other) = pair();
    let address = peer.local_addr().unwrap();
    let mut pool = Pool::new();
    pool.put(address, first, IDLE_TIMEOUT, 1);
    pool.put(address, second, IDLE_TIMEOUT, 1);
    assert!(pool.take(address).is_some());
    assert!(pool.take(address).is_none());
    assert_eq!(other.read(&mut [0]).unwrap(), 0);
}

#[test]
fn closed_when_peer_disconnects() {
    let (connection, peer) = pair();
    drop(peer);
    smol::block_on(connection::closed(connection.stream()));
}
