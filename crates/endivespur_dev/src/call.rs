//! Calls to daemons from a caller's side.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use endivespur_net::{body, client};
use http_types::{Method, Request};
use serde_json::Value;
use smol::future::FutureExt;

/// The timeout for the head of a response, and again for its body.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The size limit of a response's body.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A response to a caller.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body; `None` if it was incomplete.
    pub body: Option<String>,
    /// The time until the response was complete.
    pub elapsed: Duration,
}

impl Response {
    /// Returns a header, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the outcome that the daemon reports.
    pub fn outcome(&self) -> &str {
        self.header("endivespur-outcome")
    }

    /// Returns the body, or an empty text if it was incomplete.
    pub fn text(&self) -> &str {
        self.body.as_deref().unwrap_or("")
    }
}

/// Calls a daemon and waits for the complete response; status 0 stands for no response.
pub async fn call(
    address: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    value: Option<&Value>,
) -> Response {
    let started = Instant::now();
    let no_response = || Response {
        status: 0,
        headers: BTreeMap::new(),
        body: None,
        elapsed: started.elapsed(),
    };
    let Ok(mut request) = client::request(method, address, path) else {
        return no_response();
    };
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    if let Some(value) = value {
        request.set_body(value.to_string());
        request.insert_header("content-type", "application/json");
    }
    exchange(request)
        .await
        .map_or_else(no_response, |mut response| {
            response.elapsed = started.elapsed();
            response
        })
}

async fn exchange(request: Request) -> Option<Response> {
    let mut response = client::send(request, CALL_TIMEOUT).await.ok()?;
    let headers = response
        .iter()
        .map(|(name, values)| {
            (
                name.as_str().to_string(),
                values.last().as_str().to_string(),
            )
        })
        .collect();
    let status = response.status() as u16;
    let mut content = response.take_body();
    let timeout = async {
        smol::Timer::after(CALL_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let body = body::read(&mut content, MAX_RESPONSE_BYTES)
        .or(timeout)
        .await
        .ok();
    Some(Response {
        status,
        headers,
        body: body.and_then(|bytes| String::from_utf8(bytes).ok()),
        elapsed: Duration::ZERO,
    })
}
