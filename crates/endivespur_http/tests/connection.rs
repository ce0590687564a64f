//! What a connection holds while its peer sends nothing.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use endivespur_http::connection::Connection;
use smol::future;

/// An idle connection must not keep the memory that a large message took, nor one block for each read.
#[test]
fn fill_gives_memory_back() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    let stream = listener.accept().unwrap().0;
    let mut connection = Connection::new(smol::Async::new(stream).unwrap().into());
    smol::block_on(async {
        peer.write_all(b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n")
            .unwrap();
        let (_, framing) = connection.read_request(1024).await.unwrap().unwrap();
        assert!(connection.capacity() < 1024);
        peer.write_all(&vec![0; 60_000]).unwrap();
        let body = connection.read_full_body(framing, 60_000).await.unwrap();
        assert_eq!(body.unwrap().len(), 60_000);
        connection.release_buffer();
        assert!(connection.capacity() <= 4096, "{}", connection.capacity());
        assert!(future::poll_once(connection.fill()).await.is_none());
        assert!(connection.capacity() <= 4096, "{}", connection.capacity());
    });
}
