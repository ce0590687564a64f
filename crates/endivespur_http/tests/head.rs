//! The parser of heads rejects every malformed head and every ambiguous body length.

use assert_matches::assert_matches;
use endivespur_http::head::{Error, Framing, Headers, Request, Response};

fn request(fields: &str) -> Result<Option<(Request, Framing, usize)>, Error> {
    Request::parse(format!("POST /a/ HTTP/1.1\r\nHost: a\r\n{fields}\r\n").as_bytes())
}

#[test]
fn parse_differing_lengths() {
    let result = request("Content-Length: 3\r\nContent-Length: 4\r\n");
    assert_eq!(result, Err(Error::Ambiguous));
}

#[test]
fn parse_repeated_length() {
    let result = request("Content-Length: 3\r\nContent-Length: 3\r\n");
    assert_eq!(result, Err(Error::Ambiguous));
}

#[test]
fn parse_length_and_chunks() {
    let result = request("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n");
    assert_eq!(result, Err(Error::Ambiguous));
}

#[test]
fn parse_unusual_lengths() {
    for length in ["+3", "-1", "3 4", "0x3", "", "3, 3", "99999999999999999999"] {
        let result = request(&format!("Content-Length: {length}\r\n"));
        assert_eq!(result, Err(Error::Ambiguous), "{length}");
    }
}

#[test]
fn parse_unusual_codings() {
    for coding in [
        "gzip, chunked",
        "chunked, chunked",
        "xchunked",
        "identity",
        "chunked\x0b",
    ] {
        let result = request(&format!("Transfer-Encoding: {coding}\r\n"));
        assert_matches!(result, Err(_), "{coding:?}");
    }
}

#[test]
fn parse_repeated_coding() {
    let result = request("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n");
    assert_eq!(result, Err(Error::Ambiguous));
}

#[test]
fn parse_chunks_in_old_version() {
    let bytes = b"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(Request::parse(bytes), Err(Error::Ambiguous));
}

#[test]
fn parse_host_missing_or_repeated() {
    assert_matches!(
        Request::parse(b"GET / HTTP/1.1\r\n\r\n"),
        Err(Error::Malformed { .. })
    );
    assert_matches!(request("Host: b\r\n"), Err(Error::Malformed { .. }));
}

#[test]
fn parse_folded_and_spaced_fields() {
    assert_matches!(request("X: a\r\n b\r\n"), Err(Error::Malformed { .. }));
    assert_matches!(
        request("Content-Length : 3\r\n"),
        Err(Error::Malformed { .. })
    );
}

#[test]
fn parse_incomplete() {
    let whole = b"GET /a/b?c=d HTTP/1.1\r\nHost: a\r\n\r\n";
    for end in 0..whole.len() {
        assert_eq!(Request::parse(&whole[..end]), Ok(None), "{end}");
    }
    let (head, framing, size) = Request::parse(whole).unwrap().unwrap();
    assert_eq!(head.target, "/a/b?c=d");
    assert_eq!(framing, Framing::Length(0));
    assert_eq!(size, whole.len());
}

/// A status below 100 was taken, and its encoding has no three digits, which is no head.
#[test]
fn parse_response_low_status() {
    for status in ["000", "007", "099"] {
        let bytes = format!("HTTP/1.1 {status} OK\r\n\r\n");
        let result = Response::parse(bytes.as_bytes(), "GET");
        assert_matches!(result, Err(Error::Malformed { .. }), "{status}");
    }
}

#[test]
fn parse_response_framings() {
    let framing = |bytes: &[u8], method: &str| Response::parse(bytes, method).unwrap().unwrap().1;
    let plain = b"HTTP/1.1 200 OK\r\n\r\n";
    assert_eq!(framing(plain, "GET"), Framing::Close);
    assert_eq!(framing(plain, "HEAD"), Framing::Length(0));
    let empty = b"HTTP/1.1 204 No Content\r\n\r\n";
    assert_eq!(framing(empty, "GET"), Framing::Length(0));
}

#[test]
fn remove_hop_by_hop_listed_fields() {
    let mut headers = Headers::new()
        .with_field("Connection", "close, X-One")
        .with_field("x-one", "1")
        .with_field("Keep-Alive", "timeout=3")
        .with_field("Transfer-Encoding", "chunked")
        .with_field("X-Two", "2");
    headers.remove_hop_by_hop();
    assert_eq!(headers, Headers::new().with_field("X-Two", "2"));
}
