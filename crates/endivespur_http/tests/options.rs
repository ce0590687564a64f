//! A `TCP_USER_TIMEOUT`, which some libraries set by themselves, also decides when keep-alive probes give up. The
//! gateways' timeouts are their own, so that no connection may have either.

use endivespur_http::connection::Connection;
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;

#[test]
fn connect_without_timeouts_of_the_system() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connected = Connection::connect(address).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        // Calls between gateways use such streams as they are.
        let plain = TcpStream::connect(address).await.unwrap();
        for stream in [connected.stream(), accepted, plain] {
            let socket = SockRef::from(&stream);
            assert_eq!(socket.tcp_user_timeout().unwrap(), None);
            assert!(!socket.keepalive().unwrap());
        }
    });
}
