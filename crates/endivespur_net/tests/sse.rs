//! The reader of server-sent events: no event takes more memory than the limit, and any bytes have an end.

use endivespur_net::sse::{Reader, event};
use futures_util::io::{AsyncReadExt, repeat};
use http_types::Body;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Reads the events of a body up to its end, or to an error.
fn read(body: Body) -> (Vec<String>, Result<(), String>) {
    smol::block_on(async {
        let mut reader = Reader::new(body);
        let mut events = Vec::new();
        loop {
            match reader.next().await {
                Ok(Some(event)) => events.push(event),
                Ok(None) => return (events, Ok(())),
                Err(error) => return (events, Err(error.to_string())),
            }
        }
    })
}

/// A line without an end was held whole, however long it was.
#[test]
fn read_endless_line() {
    for byte in [b'x', b':'] {
        let endless = repeat(byte).take(64 << 20);
        let body = Body::from_reader(futures_util::io::BufReader::new(endless), None);
        let (events, end) = read(body);
        assert_eq!(
            (events, end),
            (Vec::new(), Err("an event is too large".to_string()))
        );
    }
}

#[test]
fn read_any_bytes() {
    let byte = prop_oneof![
        any::<u8>(),
        proptest::sample::select(b"data:  \r\n\n{}id".to_vec()),
    ];
    let config = Config {
        cases: Config::default().cases.saturating_mul(8),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_205),
        ..Config::default()
    };
    let strategy = proptest::collection::vec(byte, 0..120);
    let checked = TestRunner::new(config).run(&strategy, |bytes| {
        let (events, _) = read(Body::from_bytes(bytes));
        let encoded: Vec<u8> = events.iter().flat_map(|data| event(data)).collect();
        // An event consists of one line, and the space before its data is not part of it.
        if events
            .iter()
            .all(|data| !data.contains('\r') && data.trim_start() == data)
        {
            assert_eq!(read(Body::from_bytes(encoded)), (events, Ok(())));
        }
        Ok(())
    });
    if let Err(error) = checked {
        panic!("{error}");
    }
}
