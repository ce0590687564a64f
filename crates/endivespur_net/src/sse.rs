//! Reading and encoding server-sent events.

use std::io;

use futures_util::AsyncBufReadExt;
use http_types::Body;

/// The maximum size of an event's data.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reads the events of a body.
pub struct Reader {
    body: Body,
}

impl Reader {
    /// Creates a reader of the events in `body`.
    pub fn new(body: Body) -> Self {
        Self { body }
    }

    /// Returns the data of the next event, or `None` at the end of the body.
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
            if data.len() > MAX_EVENT_BYTES {
                return Err(io::Error::other("an event is too large"));
            }
        }
    }
}

/// Encodes an event with `data`.
pub fn event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}
