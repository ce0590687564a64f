//! An HTTP server with bounds on what a connection may cost.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_h1::server::{Encoder, decode};
use http_types::{Request, Response, StatusCode};
use smol::LocalExecutor;
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};

use crate::stream::Stream;

/// Bytes beside the body: the head, chunk marks, and the reader's look-ahead.
const HEAD_BYTES: usize = 16 << 10;

/// Bytes that are read and dropped after a refusal.
const LINGER_BYTES: usize = 8 << 20;
/// The time for which they are.
const LINGER: Duration = Duration::from_secs(2);

/// Bounds on the connections of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The most connections at once; one more is answered 503.
    pub connections: usize,
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// The longest wait for a request's head, also between requests.
    pub head_timeout: Duration,
    /// The longest time without progress when an answer is written.
    pub write_timeout: Duration,
}

/// A future of the server's own thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
/// Answers a request.
pub type Handler = Rc<dyn Fn(Request) -> LocalFuture<Response>>;

/// Makes a handler from an async function.
pub fn handler<F, Fut>(function: F) -> Handler
where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Response> + 'static,
{
    Rc::new(move |request| Box::pin(function(request)))
}

/// Serves connections until the future is dropped.
pub async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    limits: Limits,
    handler: Handler,
) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            // Out of file descriptors: pauses instead of spinning.
            smol::Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        tcp.set_nodelay(true).ok();
        let task = connection(tcp, limits.clone(), handler.clone(), open.clone());
        executor.spawn(task).detach();
    }
}

async fn connection(tcp: TcpStream, limits: Limits, handler: Handler, open: Rc<Cell<usize>>) {
    let stream = Stream::new(tcp, HEAD_BYTES);
    if open.get() >= limits.connections {
        let answer = refusal(StatusCode::ServiceUnavailable, "too many connections");
        write(&stream, answer, http_types::Method::Get, &limits).await;
        return;
    }
    open.set(open.get() + 1);
    while exchange(&stream, &limits, &handler).await {}
    open.set(open.get() - 1);
}

/// Handles one request; tells whether the connection may bring another.
async fn exchange(stream: &Stream, limits: &Limits, handler: &Handler) -> bool {
    stream.allow(HEAD_BYTES + limits.body_bytes);
    let head = async { Some(decode(stream.clone()).await) };
    let late = async {
        smol::Timer::after(limits.head_timeout).await;
        None
    };
    let (request, _rest) = match head.or(late).await {
        Some(Ok(Some(decoded))) => decoded,
        Some(Ok(None)) | None => return false,
        Some(Err(error)) => {
            let answer = if stream.is_spent() {
                refusal(
                    StatusCode::RequestHeaderFieldsTooLarge,
                    "the head is too large",
                )
            } else {
                refusal(StatusCode::BadRequest, &error.to_string())
            };
            write(stream, answer, http_types::Method::Get, limits).await;
            linger(stream).await;
            return false;
        }
    };
    let method = request.method();
    let close = wants_close(&request);
    let had_body = request.len() != Some(0) && !request.is_empty().unwrap_or(true);
    let answered = async { Some(handler(request).await) };
    let gone = async {
        stream.closed().await;
        None
    };
    let Some(answer) = answered.or(gone).await else {
        return false;
    };
    if answer.ext().get::<Disconnect>().is_some() {
        return false;
    }
    let unread = had_body && answer.status().is_client_error();
    let whole = write(stream, answer, method, limits).await;
    if whole && unread {
        linger(stream).await;
    }
    whole && !close && !unread
}

/// Reads and drops what the caller still sends, since closing at once would reset the
/// connection before the caller has read the answer.
async fn linger(stream: &Stream) {
    use futures_util::{AsyncReadExt, AsyncWriteExt};
    let mut stream = stream.clone();
    stream.allow(LINGER_BYTES);
    stream.close().await.ok();
    let drained = async {
        let mut buffer = vec![0; 16 << 10];
        while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    };
    let late = async {
        smol::Timer::after(LINGER).await;
    };
    drained.or(late).await;
}

fn wants_close(request: &Request) -> bool {
    request
        .header("connection")
        .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Writes an answer; tells whether it was written whole.
async fn write(
    stream: &Stream,
    answer: Response,
    method: http_types::Method,
    limits: &Limits,
) -> bool {
    use futures_util::{AsyncReadExt, AsyncWriteExt};
    let mut encoder = Encoder::new(answer, method);
    let mut buffer = vec![0; 8 << 10];
    let mut out = stream.clone();
    loop {
        let read = async { Some(encoder.read(&mut buffer).await) };
        let gone = async {
            stream.closed().await;
            None
        };
        let count = match read.or(gone).await {
            Some(Ok(0)) => return out.flush().await.is_ok(),
            Some(Ok(count)) => count,
            Some(Err(_)) | None => return false,
        };
        let sent = async { out.write_all(&buffer[..count]).await.is_ok() };
        let stuck = async {
            smol::Timer::after(limits.write_timeout).await;
            false
        };
        if !sent.or(stuck).await {
            return false;
        }
    }
}

/// Marks an answer that is never written.
struct Disconnect;

/// Makes an answer that is never written: the connection is closed without a head.
pub fn disconnect() -> Response {
    let mut answer = Response::new(StatusCode::Ok);
    answer.ext_mut().insert(Disconnect);
    answer
}

/// Makes a refusal in the shape of `OpenAI`'s errors, marked as not run.
pub fn refusal(status: StatusCode, message: &str) -> Response {
    let body = serde_json::json!({
        "error": { "message": message, "type": kind(status), "code": status as u16 }
    });
    let mut answer = json(status, &body);
    answer.insert_header("endivespur-outcome", "not-run");
    answer
}

fn kind(status: StatusCode) -> &'static str {
    if status.is_client_error() {
        "invalid_request_error"
    } else {
        "server_error"
    }
}

/// Makes a JSON answer.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
    let mut answer = Response::new(status);
    answer.set_body(value.to_string());
    answer.insert_header("content-type", "application/json");
    answer
}
