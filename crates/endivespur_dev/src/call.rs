//! Calls to daemons as a caller makes them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use endivespur_net::{body, client};
use http_types::{Method, Request};
use serde_json::Value;
use smol::future::FutureExt;

/// The longest wait for an answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest answer that is read.
const ANSWER_BYTES: usize = 8 << 20;

/// An answer to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that tell what became of the request.
    pub headers: BTreeMap<String, String>,
    /// The body; nothing if it was cut off.
    pub body: Option<String>,
    /// The time until the whole answer was there.
    pub took: Duration,
}

impl Answer {
    /// Returns a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the outcome that the daemon tells.
    pub fn outcome(&self) -> &str {
        self.header("endivespur-outcome")
    }

    /// Returns the body's text.
    pub fn text(&self) -> &str {
        self.body.as_deref().unwrap_or("")
    }
}

/// Calls a daemon and waits for the whole answer; status 0 means that there was none.
pub async fn call(
    address: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    value: Option<&Value>,
) -> Answer {
    let begun = Instant::now();
    let missing = || Answer {
        status: 0,
        headers: BTreeMap::new(),
        body: None,
        took: begun.elapsed(),
    };
    let Ok(mut request) = client::request(method, address, path) else {
        return missing();
    };
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    if let Some(value) = value {
        request.set_body(value.to_string());
        request.insert_header("content-type", "application/json");
    }
    exchange(request).await.map_or_else(missing, |mut answer| {
        answer.took = begun.elapsed();
        answer
    })
}

async fn exchange(request: Request) -> Option<Answer> {
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
    let late = async {
        smol::Timer::after(CALL_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let body = body::read(&mut content, ANSWER_BYTES).or(late).await.ok();
    Some(Answer {
        status,
        headers,
        body: body.and_then(|bytes| String::from_utf8(bytes).ok()),
        took: Duration::ZERO,
    })
}
