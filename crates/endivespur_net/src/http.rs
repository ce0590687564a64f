//! An HTTP server with limits on connections, body sizes and timeouts.

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

/// The bytes allowed besides the body: the head, chunk framing, and the decoder's read-ahead.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The maximum number of bytes that are read and discarded after an error response.
const MAX_LINGER_BYTES: usize = 8 << 20;
/// The maximum time for which bytes are read and discarded after an error response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits on the connections of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of open connections; any further one gets a 503 response.
    pub connections: usize,
    /// The maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// The maximum time to receive a request's head, including the idle time before it.
    pub head_timeout: Duration,
    /// The maximum time for which writing a response may make no progress.
    pub write_timeout: Duration,
}

/// A boxed future that stays on the server's thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
/// Answers a request.
pub type Handler = Rc<dyn Fn(Request) -> LocalFuture<Response>>;

/// Creates a handler from an async function.
pub fn handler<F, Fut>(function: F) -> Handler
where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Response> + 'static,
{
    Rc::new(move |request| Box::pin(function(request)))
}

/// Accepts and serves connections until the future is dropped.
pub async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    limits: Limits,
    handler: Handler,
) {
    let open_connections = Rc::new(Cell::new(0usize));
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            // Accepting fails while the process is out of file descriptors; the pause prevents a
            // busy loop.
            smol::Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        tcp.set_nodelay(true).ok();
        let task = serve_connection(
            tcp,
            limits.clone(),
            handler.clone(),
            open_connections.clone(),
        );
        executor.spawn(task).detach();
    }
}

async fn serve_connection(
    tcp: TcpStream,
    limits: Limits,
    handler: Handler,
    open_connections: Rc<Cell<usize>>,
) {
    let stream = Stream::new(tcp, MAX_HEAD_BYTES);
    if open_connections.get() >= limits.connections {
        let response = refusal(StatusCode::ServiceUnavailable, "too many connections");
        write(&stream, response, http_types::Method::Get, &limits).await;
        return;
    }
    open_connections.set(open_connections.get() + 1);
    while serve_request(&stream, &limits, &handler).await {}
    open_connections.set(open_connections.get() - 1);
}

/// Serves one request; returns whether the connection may carry another.
async fn serve_request(stream: &Stream, limits: &Limits, handler: &Handler) -> bool {
    use futures_util::AsyncReadExt;
    stream.set_read_limit(MAX_HEAD_BYTES + limits.body_bytes);
    let head = async { Some(decode(stream.clone()).await) };
    let timed_out = async {
        smol::Timer::after(limits.head_timeout).await;
        None
    };
    let (request, mut rest) = match head.or(timed_out).await {
        Some(Ok(Some(decoded))) => decoded,
        Some(Ok(None)) | None => return false,
        Some(Err(error)) => {
            let response = if stream.is_limit_reached() {
                refusal(
                    StatusCode::RequestHeaderFieldsTooLarge,
                    "the head is too large",
                )
            } else {
                refusal(StatusCode::BadRequest, &error.to_string())
            };
            write(stream, response, http_types::Method::Get, limits).await;
            linger(stream).await;
            return false;
        }
    };
    let method = request.method();
    let close_requested = requests_close(&request);
    let had_body = request.len() != Some(0) && !request.is_empty().unwrap_or(true);
    let completed = async { Some(handler(request).await) };
    let disconnected = async {
        stream.closed().await;
        None
    };
    let Some(response) = completed.or(disconnected).await else {
        return false;
    };
    if response.ext().get::<Disconnect>().is_some() {
        return false;
    }
    let body_unread = if response.status().is_server_error() {
        // A refusal may come while the body arrives; what is left of it must not be read as the next request.
        let end = smol::future::poll_once(rest.read(&mut [0])).await;
        had_body && !matches!(end, Some(Ok(0)))
    } else {
        had_body && response.status().is_client_error()
    };
    let written = write(stream, response, method, limits).await;
    if written && body_unread {
        linger(stream).await;
    }
    written && !close_requested && !body_unread
}

/// Reads and discards what the caller still sends.
///
/// Closing with unread bytes would reset the connection, and the caller could lose the
/// response.
async fn linger(stream: &Stream) {
    use futures_util::{AsyncReadExt, AsyncWriteExt};
    let mut stream = stream.clone();
    stream.set_read_limit(MAX_LINGER_BYTES);
    stream.close().await.ok();
    let drained = async {
        let mut buffer = vec![0; 16 << 10];
        while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    };
    let timed_out = async {
        smol::Timer::after(LINGER_TIMEOUT).await;
    };
    drained.or(timed_out).await;
}

fn requests_close(request: &Request) -> bool {
    request
        .header("connection")
        .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Writes a response; returns whether it was written completely.
async fn write(
    stream: &Stream,
    response: Response,
    method: http_types::Method,
    limits: &Limits,
) -> bool {
    use futures_util::{AsyncReadExt, AsyncWriteExt};
    let mut encoder = Encoder::new(response, method);
    let mut buffer = vec![0; 8 << 10];
    let mut writer = stream.clone();
    loop {
        let read = async { Some(encoder.read(&mut buffer).await) };
        let disconnected = async {
            stream.closed().await;
            None
        };
        let count = match read.or(disconnected).await {
            Some(Ok(0)) => return writer.flush().await.is_ok(),
            Some(Ok(count)) => count,
            Some(Err(_)) | None => return false,
        };
        let sent = async { writer.write_all(&buffer[..count]).await.is_ok() };
        let timed_out = async {
            smol::Timer::after(limits.write_timeout).await;
            false
        };
        if !sent.or(timed_out).await {
            return false;
        }
    }
}

/// Marks a response that is never written.
struct Disconnect;

/// Creates a response that is never written: the connection is closed without a response.
pub fn disconnect() -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.ext_mut().insert(Disconnect);
    response
}

/// Creates an error response in the form of `OpenAI`'s API, with a header that says that the
/// request was not run.
pub fn refusal(status: StatusCode, message: &str) -> Response {
    let body = serde_json::json!({
        "error": { "message": message, "type": error_type(status), "code": status as u16 }
    });
    let mut response = json(status, &body);
    response.insert_header("endivespur-outcome", "not-run");
    response
}

fn error_type(status: StatusCode) -> &'static str {
    if status.is_client_error() {
        "invalid_request_error"
    } else {
        "server_error"
    }
}

/// Creates a JSON response.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(value.to_string());
    response.insert_header("content-type", "application/json");
    response
}
