//! Server-sent events, read one by one.

use std::io;

use futures_util::AsyncBufReadExt;
use http_types::Body;

/// The largest event in bytes.
const EVENT_BYTES: usize = 1 << 20;

/// A reader of a body's events.
pub struct Reader {
    body: Body,
}

impl Reader {
    /// Makes a reader of the events in `body`.
    pub fn new(body: Body) -> Self {
        Self { body }
    }

    /// Returns the data of the next event, or nothing at the body's end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or an event is too large.
    pub async fn next(&mut self) -> io::Result<Option<String>> {
        let mut data = String::new();
        loop {
            let mut line = String::new();
            if self.body.read_line(&mut line).await? == 0 {
                return Ok(None);
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if line.is_empty() && !data.is_empty() {
                return Ok(Some(data));
            }
            if let Some(text) = line.strip_prefix("data:") {
                data.push_str(text.trim_start());
            }
            if data.len() > EVENT_BYTES {
                return Err(io::Error::other("an event is too large"));
            }
        }
    }
}

/// Returns the text of an event with `data`.
pub fn event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}
