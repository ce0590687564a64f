//! Calls to HTTP servers, one connection each.
//!
//! A connection is never used twice, so no late answer can be taken for another
//! call's.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request, Response, Url};
use smol::future::FutureExt;
use smol::net::TcpStream;
use snafu::{ResultExt, Snafu};

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address or path is malformed; nothing was sent.
    #[snafu(display("malformed address {address}"))]
    Address {
        /// The address as given.
        address: String,
    },
    /// No connection was made; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The call may have been received, but its answer was lost.
    #[snafu(display("no answer: {message}"))]
    Response {
        /// The cause.
        message: String,
    },
}

impl Error {
    /// Tells whether the server cannot have received the call.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::Response { .. })
    }
}

/// Makes a request to `http://ADDRESS/PATH`.
///
/// # Errors
///
/// Returns [`Error::Address`] if they do not form a URL.
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
/// Returns [`Error::Address`] or [`Error::Connect`]; nothing was sent.
pub async fn connect(address: &str, timeout: Duration) -> Result<TcpStream, Error> {
    let socket: SocketAddr = address.parse().map_err(|_| Error::Address {
        address: address.to_string(),
    })?;
    let stream = TcpStream::connect(socket)
        .or(expire(timeout))
        .await
        .context(ConnectSnafu { address })?;
    stream.set_nodelay(true).ok();
    Ok(stream)
}

async fn expire<T>(timeout: Duration) -> std::io::Result<T> {
    smol::Timer::after(timeout).await;
    Err(std::io::ErrorKind::TimedOut.into())
}

/// Sends a request on a new connection and returns the head of the answer.
///
/// # Errors
///
/// Returns an [`Error`]; [`Error::is_unsent`] tells whether the call may have run.
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
    let answer = async {
        async_h1::connect(stream, request)
            .await
            .map_err(|error| Error::Response {
                message: error.to_string(),
            })
    };
    let late = async {
        smol::Timer::after(timeout).await;
        Err(Error::Response {
            message: "timeout".to_string(),
        })
    };
    answer.or(late).await
}

/// Posts JSON and reads the JSON answer whole.
///
/// # Errors
///
/// Returns an [`Error`]; a status of 400 or more is [`Error::Response`] with the body.
pub async fn post_json(
    address: &str,
    path: &str,
    value: &serde_json::Value,
    timeout: Duration,
) -> Result<serde_json::Value, Error> {
    let mut call = request(Method::Post, address, path)?;
    call.set_body(value.to_string());
    call.insert_header("content-type", "application/json");
    json(call, timeout).await
}

/// Gets a JSON answer.
///
/// # Errors
///
/// Returns an [`Error`] as [`post_json`] does.
pub async fn get_json(
    address: &str,
    path: &str,
    timeout: Duration,
) -> Result<serde_json::Value, Error> {
    json(request(Method::Get, address, path)?, timeout).await
}

/// Largest JSON answer that is read.
const JSON_LIMIT_BYTES: usize = 64 << 20;

async fn json(call: Request, timeout: Duration) -> Result<serde_json::Value, Error> {
    let lost = |message: String| Error::Response { message };
    let mut answer = send(call, timeout).await?;
    let status = answer.status();
    let mut body = answer.take_body();
    let bytes = crate::body::read(&mut body, JSON_LIMIT_BYTES)
        .or(expire(timeout))
        .await
        .map_err(|error| lost(error.to_string()))?;
    if status.is_client_error() || status.is_server_error() {
        return Err(lost(format!(
            "{status}: {}",
            String::from_utf8_lossy(&bytes)
        )));
    }
    serde_json::from_slice(&bytes).map_err(|error| lost(error.to_string()))
}
