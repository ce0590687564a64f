//! Packs a large value against an earlier one, so that its size is that of what changed.

use std::io::{self, Read, Write};

use zstd::stream::{read, write};

/// The compression level: higher ones take longer and gain nothing on configurations.
const LEVEL: i32 = 1;
/// The base-2 logarithm of the distance over which equal parts are found: an earlier and a current value of the
/// largest size that the store accepts, with room to spare.
const WINDOW_LOG: u32 = 23;
/// The maximum size of a value in bytes.
const MAX_VALUE_BYTES: u64 = 16 << 20;

/// Packs a value, given one that the receiver has; empty for none.
///
/// # Errors
///
/// Returns an error if the compressor fails.
pub fn pack(base: &[u8], value: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.window_log(WINDOW_LOG)?;
    encoder.long_distance_matching(true)?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    encoder.finish()
}

/// Returns the value that was packed against `base`.
///
/// # Errors
///
/// Returns an error if the bytes are not those of a value that was packed against `base`, or the value is too large.
pub fn unpack(base: &[u8], packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut decoder = read::Decoder::with_ref_prefix(packed, base)?;
    decoder.window_log_max(WINDOW_LOG)?;
    let mut value = Vec::new();
    let size = decoder.take(MAX_VALUE_BYTES + 1).read_to_end(&mut value)? as u64;
    if size > MAX_VALUE_BYTES {
        return Err(io::Error::other("value too large"));
    }
    Ok(value)
}
