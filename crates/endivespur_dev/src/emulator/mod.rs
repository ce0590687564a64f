//! Emulators of the external systems that daemons talk to, with fault injection over HTTP.

pub mod engine;
pub mod plain;
pub mod relay;
pub mod store;
pub mod vms;
pub mod weights;

use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use endivespur_net::http::{self, Handler, Limits};
use http_types::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use smol::LocalExecutor;
use smol::net::TcpListener;

/// The executor of an emulator's single thread.
pub type Executor = Rc<LocalExecutor<'static>>;

/// The maximum number of chunks of a streamed body buffered for a slow reader.
const BUFFERED_CHUNKS: usize = 4096;
/// The size limit of request bodies.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Serves `handler` on `listen` and prints the bound address as the first line.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(executor: Executor, listen: &str, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("{}", listener.local_addr()?);
    std::io::stdout().flush()?;
    let limits = Limits {
        connections: 20_000,
        body_bytes: MAX_BODY_BYTES,
        head_timeout: Duration::from_mins(1),
        write_timeout: Duration::from_mins(1),
    };
    http::serve(executor, listener, limits, handler).await;
    Ok(())
}

/// Reads a JSON request body.
///
/// # Errors
///
/// Returns a 400 response if the body cannot be read or does not deserialize as `T`.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response> {
    let mut body = request.take_body();
    let bytes = endivespur_net::body::read(&mut body, MAX_BODY_BYTES)
        .await
        .map_err(|error| http::refusal(StatusCode::BadRequest, &error.to_string()))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| http::refusal(StatusCode::BadRequest, &error.to_string()))
}

/// Returns a response that closes the connection instead of being sent.
pub fn dropped_connection() -> Response {
    http::disconnect()
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Sleeps for `ms` milliseconds; returns at once for 0.
pub async fn sleep_ms(ms: u64) {
    if ms > 0 {
        smol::Timer::after(Duration::from_millis(ms)).await;
    }
}
