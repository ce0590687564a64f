//! The HTTP server against callers that leave.

use std::rc::Rc;
use std::time::Duration;

use endivespur_net::http::{self, Limits};
use endivespur_net::{body, client};
use futures_util::AsyncWriteExt;
use http_types::{Request, Response, StatusCode};
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::TcpListener;

/// The bound within which a caller's leaving has to be noticed.
const NOTICED: Duration = Duration::from_millis(500);

/// Reads the body only after a pause, as a busy process does, and then runs until dropped.
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
fn serve_caller_leaves_after_late_body() {
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
        let call = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
        caller.write_all(call).await.unwrap();
        // A segment of its own arrives after the head was decoded.
        smol::Timer::after(Duration::from_millis(20)).await;
        caller.write_all(b"body").await.unwrap();
        smol::Timer::after(Duration::from_millis(150)).await;
        drop(caller);
        let late = async {
            smol::Timer::after(NOTICED).await;
            panic!("the request still runs though its caller has left");
        };
        dropped.recv().or(late).await.unwrap();
    }));
}
