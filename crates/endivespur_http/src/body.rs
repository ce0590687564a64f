//! The decoder of bodies: bytes of a connection go in, bytes of the body come out.

use snafu::Snafu;

use crate::head::Framing;

/// The longest line of a chunk's size or of a trailer, in bytes.
const MAX_LINE_BYTES: usize = 4096;

/// A body whose chunks are malformed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("malformed chunk"))]
pub struct Malformed;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Data(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// What remains of a body.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Makes a decoder of a body with that framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::Size,
            Framing::Close => State::UntilClose,
        };
        Self { state }
    }

    /// Tells whether the whole body was decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Tells whether the end of the connection is the end of the body.
    pub fn ends_at_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Decodes what it can of `bytes` into `out`; returns how many bytes were used.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the chunks are not well-formed.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Malformed> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self.state {
                State::Done => return Ok(used),
                State::UntilClose => {
                    out.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                State::Data(left) | State::Chunk(left) => {
                    if rest.is_empty() {
                        return Ok(used);
                    }
                    let take = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                    out.extend_from_slice(&rest[..take]);
                    used += take;
                    let left = left - take as u64;
                    self.state = match (self.state, left) {
                        (State::Data(_), 0) => State::Done,
                        (State::Data(_), left) => State::Data(left),
                        (_, 0) => State::ChunkEnd,
                        (_, left) => State::Chunk(left),
                    };
                }
                State::Size => {
                    let Some((line, size)) = line(rest)? else {
                        return Ok(used);
                    };
                    used += size;
                    self.state = match chunk_size(line)? {
                        0 => State::Trailer,
                        length => State::Chunk(length),
                    };
                }
                State::ChunkEnd => {
                    let Some((line, size)) = line(rest)? else {
                        return Ok(used);
                    };
                    if !line.is_empty() {
                        return Err(Malformed);
                    }
                    used += size;
                    self.state = State::Size;
                }
                State::Trailer => {
                    let Some((line, size)) = line(rest)? else {
                        return Ok(used);
                    };
                    used += size;
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }
}

fn line(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, Malformed> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() > MAX_LINE_BYTES {
            Err(Malformed)
        } else {
            Ok(None)
        };
    };
    let line = bytes[..end].strip_suffix(b"\r").ok_or(Malformed)?;
    Ok(Some((line, end + 1)))
}

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

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
