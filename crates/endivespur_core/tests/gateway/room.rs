//! One gateway gives out the room of a brittle endpoint.

use endivespur_core::gateway::room::{Request, Tracker};

use crate::ms;

fn request(share: f64) -> Request {
    Request {
        share,
        max_rejections: 4,
        until: ms(60_000),
    }
}

/// A tracker that has given out all room of `e` without a rejection.
fn tracker() -> Tracker {
    let mut tracker = Tracker::new();
    let holds: Vec<_> = (0..10)
        .map(|number| tracker.hold(ms(number * 100), "e", &request(0.1)).unwrap())
        .collect();
    for hold in holds {
        tracker.release(ms(1_500), "e", hold, false);
    }
    tracker
}

#[test]
fn hold_until_full() {
    let mut tracker = tracker();
    let holds: Vec<_> = (0..10)
        .map_while(|_| tracker.hold(ms(2_000), "e", &request(0.25)).ok())
        .collect();
    assert_eq!(holds.len(), 4);
    tracker.release(ms(2_000), "e", holds[0], false);
    assert!(tracker.hold(ms(2_000), "e", &request(0.25)).is_ok());
    assert!(tracker.hold(ms(2_000), "e", &request(0.25)).is_err());
}

/// The release of a request was lost with its gateway.
#[test]
fn hold_after_lost_release() {
    let mut tracker = tracker();
    let short = Request {
        until: ms(3_000),
        ..request(1.0)
    };
    tracker.hold(ms(2_000), "e", &short).unwrap();
    assert!(tracker.hold(ms(2_999), "e", &request(1.0)).is_err());
    assert!(tracker.hold(ms(3_000), "e", &request(1.0)).is_ok());
}

/// A prompt that is larger than the memory is rejected as if the engine were full, but must not wait for
/// ever.
#[test]
fn hold_more_than_all_room() {
    let mut tracker = tracker();
    assert!(tracker.hold(ms(2_000), "e", &request(3.0)).is_ok());
}

/// A gateway that takes over does not know what its predecessor has given out: no more requests may be on
/// their way than the endpoint can reject.
#[test]
fn hold_as_successor() {
    let mut tracker = Tracker::new();
    let mut count = |now: u64| {
        let holds = (0..10).filter(|_| tracker.hold(ms(now), "e", &request(0.1)).is_ok());
        holds.count()
    };
    assert_eq!([0, 50, 100, 200].map(&mut count), [2, 0, 2, 2]);
}

/// The gateway has started again, and requests end that held room before.
#[test]
fn release_after_restart() {
    let mut before = Tracker::new();
    let old = before.hold(ms(0), "e", &request(1.0)).unwrap();
    let mut tracker = Tracker::new();
    tracker.hold(ms(500), "e", &request(1.0)).unwrap();
    tracker.release(ms(600), "e", old, false);
    assert!(tracker.hold(ms(700), "e", &request(1.0)).is_err());
}

/// The endpoint has less room than is known: no more is given out before it can reject again.
#[test]
fn release_rejected() {
    let mut tracker = tracker();
    for _ in 0..2 {
        let hold = tracker.hold(ms(2_000), "e", &request(0.1)).unwrap();
        tracker.release(ms(2_010), "e", hold, true);
    }
    assert_eq!(tracker.hold(ms(2_510), "e", &request(0.1)), Err(ms(500)));
    assert!(tracker.hold(ms(3_010), "e", &request(0.1)).is_ok());
}

/// As above: what is given out later must stay below what was in use.
#[test]
fn hold_after_rejection() {
    let mut tracker = tracker();
    let mut holds: Vec<_> = (0..5)
        .map(|_| tracker.hold(ms(2_000), "e", &request(0.1)).unwrap())
        .collect();
    tracker.release(ms(2_010), "e", holds.pop().unwrap(), true);
    for hold in holds {
        tracker.release(ms(2_500), "e", hold, false);
    }
    let count = |tracker: &mut Tracker, now: u64| {
        let holds = (0..20).filter_map(|_| tracker.hold(ms(now), "e", &request(0.1)).ok());
        let holds: Vec<_> = holds.collect();
        for hold in &holds {
            tracker.release(ms(now), "e", *hold, false);
        }
        holds.len()
    };
    assert_eq!(count(&mut tracker, 3_100), 3);
    let later = (0..4).map(|_| count(&mut tracker, 59_000)).max();
    assert_eq!(later, Some(10));
}

#[test]
fn record_response_of_service() {
    let mut tracker = Tracker::new();
    assert!(tracker.record_response(ms(10), "s", ms(0), Some(4)));
    assert!(!tracker.record_response(ms(11), "s", ms(0), Some(4)));
    assert_eq!(tracker.max_rejections("s"), Some(4));
    assert_eq!(tracker.max_rejections("t"), None);
    // The response to an earlier request arrives late.
    assert!(!tracker.record_response(ms(12), "s", ms(5), None));
    assert!(tracker.record_response(ms(30), "s", ms(20), None));
    assert_eq!(tracker.max_rejections("s"), None);
}
