//! An HTTP client that opens a new connection for each call.
//!
//! Connections are not reused, so a late response cannot be mistaken for the response to
//! another call.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode, Url};
use smol::future::FutureExt;
use smol::net::TcpStream;
use snafu::{ResultExt, Snafu};

use crate::stream::Stream;

/// Why a call has no usable response.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address or path is malformed; nothing was sent.
    #[snafu(display("malformed address {address}"))]
    Address {
        /// The address, as passed in.
        address: String,
    },
    /// The connection could not be established; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// There is no usable response, but the server may have received the call.
    #[snafu(display("no answer: {message}"))]
    Response {
        /// The cause.
        message: String,
    },
}

impl Error {
    /// Returns whether the server cannot have received the call.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::Response { .. })
    }
}

/// Creates a request to `http://ADDRESS/PATH`.
///
/// # Errors
///
/// Returns [`Error::Address`] if the address and path do not form a URL.
pub fn request(method: Method, address: &str, path: &str) -> Result<Request, Error> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(|_| Error::Address {
        address: address.to_string(),
    })?;
    Ok(Request::new(method, url))
}

/// Connects to `address` within `timeout`.
///
/// # Errors
///
/// Returns [`Error::Address`] or [`Error::Connect`].
pub async fn connect(address: &str, timeout: Duration) -> Result<TcpStream, Error> {
    let socket: SocketAddr = address.parse().map_err(|_| Error::Address {
        address: address.to_string(),
    })?;
    let stream = TcpStream::connect(socket)
        .or(time_out(timeout))
        .await
        .context(ConnectSnafu { address })?;
    stream.set_nodelay(true).ok();
    Ok(stream)
}

/// Fails with `TimedOut` after `timeout`.
async fn time_out<T>(timeout: Duration) -> std::io::Result<T> {
    smol::Timer::after(timeout).await;
    Err(std::io::ErrorKind::TimedOut.into())
}

/// The maximum number of bytes that are read before the head of a response is complete: the 8 KiB to which `async-h1`
/// limits a head, which it checks at the end of each line only, and one more read.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Sends a request on a new connection and returns the response, whose body is not read yet.
///
/// Connecting and waiting for the response head take at most `timeout` each.
///
/// # Errors
///
/// Returns an [`Error`]; if [`Error::is_unsent`] holds, the call has not run.
pub async fn send(request: Request, timeout: Duration) -> Result<Response, Error> {
    let address = request
        .url()
        .socket_addrs(|| None)
        .ok()
        .and_then(|addresses| addresses.first().copied())
        .ok_or_else(|| Error::Address {
            address: request.url().to_string(),
        })?;
    let stream = connect(&address.to_string(), timeout).await?;
    let stream = Stream::new(stream, MAX_HEAD_BYTES);
    let response = async {
        let response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(|error| Error::Response {
                message: error.to_string(),
            })?;
        check_framing(&response)?;
        stream.set_read_limit(usize::MAX);
        Ok(response)
    };
    let timed_out = async {
        smol::Timer::after(timeout).await;
        Err(Error::Response {
            message: "timeout".to_string(),
        })
    };
    response.or(timed_out).await
}

/// Checks that a response tells where its body ends: `async-h1` takes a body that ends with its connection for empty.
fn check_framing(response: &Response) -> Result<(), Error> {
    let has_no_body = response.status().is_informational()
        || matches!(
            response.status(),
            StatusCode::NoContent | StatusCode::NotModified
        );
    let is_framed = ["content-length", "transfer-encoding"]
        .into_iter()
        .any(|name| response.header(name).is_some());
    if has_no_body || is_framed {
        return Ok(());
    }
    Err(Error::Response {
        message: "neither a length nor chunks".to_string(),
    })
}

/// Posts JSON and returns the JSON response, which may list stored values: its body may take longer than `timeout` as long
/// as it keeps coming.
///
/// # Errors
///
/// Returns an [`Error`]; a status of 400 or more is [`Error::Response`], which contains the
/// body.
pub async fn post_json(
    address: &str,
    path: &str,
    value: &serde_json::Value,
    timeout: Duration,
) -> Result<serde_json::Value, Error> {
    let mut request = request(Method::Post, address, path)?;
    request.set_body(value.to_string());
    request.insert_header("content-type", "application/json");
    let mut response = send(request, timeout).await?;
    let mut body = response.take_body();
    let bytes = crate::body::read_within(&mut body, MAX_LISTING_BYTES, timeout).await;
    decode(response.status(), bytes)
}

/// Gets a short JSON response, within `timeout` for the whole call.
///
/// # Errors
///
/// Returns an [`Error`] as [`post_json`] does.
pub async fn get_json(
    address: &str,
    path: &str,
    timeout: Duration,
) -> Result<serde_json::Value, Error> {
    let request = request(Method::Get, address, path)?;
    let received = async {
        let mut response = send(request, timeout).await?;
        let mut body = response.take_body();
        let bytes = crate::body::read(&mut body, MAX_JSON_BYTES).await;
        decode(response.status(), bytes)
    };
    let timed_out = async {
        smol::Timer::after(timeout).await;
        Err(Error::Response {
            message: "timeout".to_string(),
        })
    };
    received.or(timed_out).await
}

/// The maximum size in bytes of a short JSON response: a list of 7,000 VMs takes about 1 MB.
const MAX_JSON_BYTES: usize = 4 << 20;
/// The maximum size in bytes of a JSON response that lists stored values.
const MAX_LISTING_BYTES: usize = 64 << 20;

/// Decodes the body of a JSON response.
fn decode(status: StatusCode, body: std::io::Result<Vec<u8>>) -> Result<serde_json::Value, Error> {
    let failed = |message: String| Error::Response { message };
    let bytes = body.map_err(|error| failed(error.to_string()))?;
    if status.is_client_error() || status.is_server_error() {
        return Err(failed(format!(
            "{status}: {}",
            String::from_utf8_lossy(&bytes)
        )));
    }
    serde_json::from_slice(&bytes).map_err(|error| failed(error.to_string()))
}
