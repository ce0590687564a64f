//! An incremental decoder of message bodies, and the encoding of chunks.

use snafu::Snafu;

use crate::head::Framing;

/// The maximum length of a chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 4096;

/// The error for a malformed chunked body.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("malformed chunk"))]
pub struct Malformed;

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes of a body with `Content-Length`.
    Data(u64),
    /// A chunk-size line.
    Size,
    /// This many bytes of a chunk.
    Chunk(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// A trailer field, or the empty line that ends the body.
    Trailer,
    /// Bytes up to the end of the connection.
    UntilClose,
    /// Nothing; the body is complete.
    Done,
}

/// Decodes one body.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::Size,
            Framing::Close => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns whether the body ends when the connection is closed.
    pub fn ends_at_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Appends the decoded part of `bytes` to `out`; returns how many bytes were consumed.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the chunks are not well-formed.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Malformed> {
        let mut consumed = 0;
        loop {
            let rest = &bytes[consumed..];
            match self.state {
                State::Done => return Ok(consumed),
                State::UntilClose => {
                    out.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                State::Data(remaining) | State::Chunk(remaining) => {
                    if rest.is_empty() {
                        return Ok(consumed);
                    }
                    let take = usize::try_from(remaining)
                        .unwrap_or(usize::MAX)
                        .min(rest.len());
                    out.extend_from_slice(&rest[..take]);
                    consumed += take;
                    let remaining = remaining - take as u64;
                    self.state = match (self.state, remaining) {
                        (State::Data(_), 0) => State::Done,
                        (State::Data(_), remaining) => State::Data(remaining),
                        (_, 0) => State::ChunkEnd,
                        (_, remaining) => State::Chunk(remaining),
                    };
                }
                State::Size => {
                    let Some((line, size)) = line(rest)? else {
                        return Ok(consumed);
                    };
                    consumed += size;
                    self.state = match chunk_size(line)? {
                        0 => State::Trailer,
                        length => State::Chunk(length),
                    };
                }
                State::ChunkEnd => {
                    let Some((line, size)) = line(rest)? else {
                        return Ok(consumed);
                    };
                    if !line.is_empty() {
                        return Err(Malformed);
                    }
                    consumed += size;
                    self.state = State::Size;
                }
                State::Trailer => {
                    let Some((line, size)) = line(rest)? else {
                        return Ok(consumed);
                    };
                    consumed += size;
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }
}

/// Returns the first line without its line end, and its size with it; `None` while it is
/// incomplete.
fn line(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, Malformed> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() > MAX_LINE_BYTES {
            Err(Malformed)
        } else {
            Ok(None)
        };
    };
    if end > MAX_LINE_BYTES {
        return Err(Malformed);
    }
    let line = bytes[..end].strip_suffix(b"\r").ok_or(Malformed)?;
    Ok(Some((line, end + 1)))
}

/// Parses a chunk-size line; chunk extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| Malformed)
}

/// Encodes one chunk.
pub fn encode_chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The last chunk, which ends a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
