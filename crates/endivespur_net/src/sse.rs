//! Reading and encoding server-sent events.

use std::io;

use futures_util::{AsyncBufReadExt, AsyncReadExt};
use http_types::Body;

/// The maximum size of an event's data.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The maximum size of a line: the largest event in one line, with room for the field's name and spaces.
const MAX_LINE_BYTES: u64 = MAX_EVENT_BYTES as u64 + 1024;

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
            let mut body = AsyncReadExt::take(&mut self.body, MAX_LINE_BYTES);
            if body.read_line(&mut line).await? == 0 {
                return Ok(None);
            }
            if body.limit() == 0 && !line.ends_with('\n') {
                return Err(io::Error::other("an event is too large"));
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
