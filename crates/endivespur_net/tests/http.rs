//! The HTTP server drops a request when its caller disconnects, also if body bytes arrived after
//! the head was decoded: while they are unread, they hide the end of the stream.

use std::rc::Rc;
use std::time::Duration;

use endivespur_net::http::{self, Limits};
use endivespur_net::{body, client};
use futures_util::AsyncWriteExt;
use http_types::{Request, Response, StatusCode};
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::TcpListener;

/// The maximum time until a caller's disconnect is detected.
const MAX_DETECTION_DELAY: Duration = Duration::from_millis(500);

/// Reads the body after a delay, as in a busy process, and then runs until it is dropped.
async fn run(mut request: Request, dropped: smol::channel::Sender<()>) -> Response {
    struct Guard(smol::channel::Sender<()>);
    impl Drop for Guard {
        fn drop(&mut self) {
            self.0.try_send(()).ok();
        }
    }
    let _guard = Guard(dropped);
    smol::Timer::after(Duration::from_millis(50)).await;
    let mut content = request.take_body();
    body::read(&mut content, 1 << 10).await.unwrap();
    smol::Timer::after(Duration::from_mins(1)).await;
    Response::new(StatusCode::Ok)
}

#[test]
fn serve_caller_disconnects_after_late_body() {
    let executor = Rc::new(LocalExecutor::new());
    let (sender, dropped) = smol::channel::bounded(1);
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let limits = Limits {
            connections: 4,
            body_bytes: 1 << 10,
            head_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
        };
        let handler = http::handler(move |request| run(request, sender.clone()));
        let server = http::serve(executor.clone(), listener, limits, handler);
        executor.spawn(server).detach();
        let mut caller = client::connect(&address, Duration::from_secs(1))
            .await
            .unwrap();
        let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
        caller.write_all(request).await.unwrap();
        // The delay makes the body arrive in a separate segment, after the head was decoded.
        smol::Timer::after(Duration::from_millis(20)).await;
        caller.write_all(b"body").await.unwrap();
        smol::Timer::after(Duration::from_millis(150)).await;
        drop(caller);
        let timed_out = async {
            smol::Timer::after(MAX_DETECTION_DELAY).await;
            panic!("the request still runs although its caller has disconnected");
        };
        dropped.recv().or(timed_out).await.unwrap();
    }));
}
