//! The body decoder: the result does not depend on how the bytes are split, and no byte after
//! the body is consumed.

use endivespur_http::body::{Decoder, LAST_CHUNK, Malformed, encode_chunk};
use endivespur_http::head::Framing;

/// Decodes bytes that arrive in segments of the given size; returns the body and the bytes after
/// it.
fn decode(framing: Framing, bytes: &[u8], segment: usize) -> Result<(Vec<u8>, Vec<u8>), Malformed> {
    let mut decoder = Decoder::new(framing);
    let mut buffer = Vec::new();
    let mut body = Vec::new();
    for bytes in bytes.chunks(segment) {
        buffer.extend_from_slice(bytes);
        let consumed = decoder.decode(&buffer, &mut body)?;
        buffer.drain(..consumed);
    }
    Ok((body, buffer))
}

#[test]
fn decode_chunks_in_any_segments() {
    let mut bytes = encode_chunk(b"hello ");
    bytes.extend_from_slice(b"5;name=value\r\nworld\r\n");
    bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\nNEXT");
    for segment in 1..bytes.len() {
        let (body, rest) = decode(Framing::Chunked, &bytes, segment).unwrap();
        assert_eq!(body, b"hello world");
        assert_eq!(rest, b"NEXT");
    }
}

#[test]
fn decode_length_leaves_the_rest() {
    let (body, rest) = decode(Framing::Length(3), b"abcdef", 2).unwrap();
    assert_eq!(
        (body.as_slice(), rest.as_slice()),
        (&b"abc"[..], &b"def"[..])
    );
}

#[test]
fn decode_malformed_chunks() {
    for bytes in [
        &b"x\r\nabc\r\n"[..],
        b"\r\nabc\r\n",
        b"3\nabc\r\n",
        b"3\r\nabcd\r\n",
        b"-3\r\nabc\r\n",
        b"0x3\r\nabc\r\n",
        b"ffffffffffffffffff\r\n",
    ] {
        assert_eq!(decode(Framing::Chunked, bytes, 64), Err(Malformed));
    }
}

#[test]
fn decode_unfinished_is_not_done() {
    let mut decoder = Decoder::new(Framing::Chunked);
    let mut body = Vec::new();
    decoder.decode(&encode_chunk(b"abc"), &mut body).unwrap();
    assert!(!decoder.is_done());
    decoder.decode(LAST_CHUNK, &mut body).unwrap();
    assert!(decoder.is_done());
}
