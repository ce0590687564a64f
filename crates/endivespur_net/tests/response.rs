//! An endpoint closes its connection in the middle of its response: the caller must not get what has arrived as a whole
//! response.

use std::time::{Duration, Instant};

use endivespur_net::{body, client};
use futures_util::{AsyncReadExt, AsyncWriteExt};
use http_types::Method;
use serde_json::json;
use smol::net::TcpListener;

/// The maximum wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the status and the body of a response, of which an endpoint sends these bytes before it closes.
fn exchange(bytes: &[u8]) -> Result<(u16, Vec<u8>), String> {
    let bytes = bytes.to_vec();
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(&bytes).await.unwrap();
        })
        .detach();
        let request = client::request(Method::Get, &address, "/").unwrap();
        let mut response = client::send(request, TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        let mut content = response.take_body();
        let body = body::read(&mut content, 1 << 10).await;
        let body = body.map_err(|error| error.to_string())?;
        Ok((response.status().into(), body))
    })
}

/// Checks that no beginning of a response is taken for a whole one, before the byte at which its body is complete.
fn check_beginnings(response: &str, complete_at: usize) {
    let whole = exchange(response.as_bytes());
    let whole_body = whole.as_ref().map(|(_, body)| body.clone());
    assert_eq!(whole_body, Ok(b"body".to_vec()), "{response:?}");
    for end in 0..complete_at {
        let result = exchange(&response.as_bytes()[..end]);
        assert!(result.is_err(), "{:?}: {result:?}", &response[..end]);
    }
}

#[test]
fn response_with_a_length_cut() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Last: field\r\n\r\nbody";
    check_beginnings(response, response.len());
}

#[test]
fn response_in_chunks_cut() {
    let response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    // After the last chunk, only trailers could be missing.
    check_beginnings(response, response.len() - "\r\n".len());
}

/// A body without a length ends with its connection, also if it is cut; the client took it for empty.
#[test]
fn response_without_a_length() {
    for body in ["", "body"] {
        let result = exchange(format!("HTTP/1.1 200 OK\r\n\r\n{body}").as_bytes());
        assert!(result.is_err(), "{result:?}");
    }
}

/// Responses that have no body need no length.
#[test]
fn response_without_a_body() {
    let result = exchange(b"HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(result, Ok((204, Vec::new())));
}

/// The kind of a call.
#[derive(Clone, Copy)]
enum Call {
    /// A short one.
    Get,
    /// One that may list stored values.
    Post,
}

/// Returns the JSON that an endpoint sends in parts, each after a pause, or the error, and the time that it took.
fn exchange_slowly(
    call: Call,
    part: &'static [u8],
    count: usize,
    pause: Duration,
    timeout: Duration,
) -> (Result<serde_json::Value, String>, Duration) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            let length = part.len() * count + 2;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n\"");
            stream.write_all(head.as_bytes()).await.unwrap();
            for _ in 0..count {
                smol::Timer::after(pause).await;
                if stream.write_all(part).await.is_err() {
                    return;
                }
            }
            stream.write_all(b"\"").await.ok();
        })
        .detach();
        let started = Instant::now();
        let value = match call {
            Call::Get => client::get_json(&address, "/", timeout).await,
            Call::Post => client::post_json(&address, "/", &json!({}), timeout).await,
        };
        (value.map_err(|error| error.to_string()), started.elapsed())
    })
}

/// A listing of the store that took longer over a slow link than the timeout of a call never arrived.
#[test]
fn response_longer_than_the_timeout() {
    const PART: &[u8] = &[b'x'; 32 << 10];
    let pause = Duration::from_millis(100);
    let (value, _) = exchange_slowly(Call::Post, PART, 12, pause, Duration::from_millis(400));
    assert_eq!(value.unwrap().as_str().map(str::len), Some(12 * PART.len()));
}

/// An endpoint that keeps sending next to nothing must not hold a call.
#[test]
fn response_that_drips() {
    let pause = Duration::from_millis(50);
    for call in [Call::Get, Call::Post] {
        let (value, took) = exchange_slowly(call, b"x", 100, pause, Duration::from_millis(300));
        assert!(value.is_err());
        assert!(took < Duration::from_secs(1), "{took:?}");
    }
}

/// An endpoint that sends a head without an end of a line: the caller kept all of it until its timeout, which is two
/// minutes for the head of a completion.
#[test]
fn response_head_without_end() {
    let (sent, received) = std::sync::mpsc::channel();
    let error = smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let block = [b'x'; 16 << 10];
            let mut bytes = 0;
            while stream.write_all(&block).await.is_ok() {
                bytes += block.len();
            }
            sent.send(bytes).unwrap();
        })
        .detach();
        let request = client::request(Method::Get, &address, "/").unwrap();
        client::send(request, TIMEOUT).await.err().unwrap()
    });
    let bytes = received.recv_timeout(TIMEOUT).unwrap();
    // The kernel takes some megabytes that nobody reads.
    assert!(bytes < 32 << 20, "{bytes} bytes, {error}");
}

/// An engine that sends its list of adapters in parts, each before the timeout of a part has passed, held the step of its
/// owner for as long as it kept sending.
#[test]
fn response_that_drips_in_large_parts() {
    const PART: &[u8] = &[b'x'; 16 << 10];
    let pause = Duration::from_millis(100);
    let (value, took) = exchange_slowly(Call::Get, PART, 40, pause, Duration::from_millis(300));
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert!(value.is_err());
}

/// An engine that sends a body without an end in response to a short call: the caller kept 64 MiB of it a call, and its time
/// grew with the square of that.
#[test]
fn response_body_without_end() {
    let (sent, received) = std::sync::mpsc::channel();
    let error = smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            stream.write_all(head).await.unwrap();
            let mut chunk = b"4000\r\n".to_vec();
            chunk.extend([b'x'; 16 << 10]);
            chunk.extend(b"\r\n");
            let mut bytes = 0;
            while stream.write_all(&chunk).await.is_ok() {
                bytes += chunk.len();
            }
            sent.send(bytes).unwrap();
        })
        .detach();
        client::get_json(&address, "/", TIMEOUT).await.unwrap_err()
    });
    let bytes = received.recv_timeout(TIMEOUT).unwrap();
    // The kernel takes some megabytes that nobody reads.
    assert!(bytes < 32 << 20, "{bytes} bytes, {error}");
}
