//! Callers keep sending the requests that crash endpoints. A harmless request that was in flight
//! during a crash is sent again once and must not be refused.

use endivespur_core::gateway::crash::{Crash, Record, Tracker};

use crate::ms;

fn record(fingerprint: u64, started_ms: u64) -> Record {
    Record {
        fingerprint,
        crash: Crash {
            endpoint: "e".to_string(),
            started_ms,
            ordinal: 0,
        },
        is_void: false,
    }
}

/// Returns a tracker of a request 7 that crashed three endpoints at 0, 1 and 2 ms.
fn quarantined() -> Tracker {
    let mut tracker = Tracker::new();
    for now in 0..3 {
        tracker.add(ms(now), &record(7, now));
    }
    tracker
}

#[test]
fn is_quarantined_after_three() {
    let mut tracker = Tracker::new();
    for now in 0..2 {
        tracker.add(ms(now), &record(7, now));
    }
    assert!(!tracker.is_quarantined(7));
    tracker.add(ms(11), &record(7, 2));
    assert!(tracker.is_quarantined(7));
    assert!(!tracker.is_quarantined(8));
}

#[test]
fn is_quarantined_while_it_is_sent() {
    let mut tracker = quarantined();
    for minute in 1..30 {
        tracker.refused(ms(minute * 60_000), 7);
        tracker.add(ms(minute * 60_000), &record(8, minute));
        assert!(tracker.is_quarantined(7));
    }
    tracker.add(ms(50 * 60_000), &record(8, 99));
    assert!(!tracker.is_quarantined(7));
}

/// Several gateways may observe one crash, and the store and another gateway may report it.
#[test]
fn add_crash_twice() {
    let mut tracker = Tracker::new();
    assert!(tracker.add(ms(0), &record(7, 0)));
    assert!(!tracker.add(ms(1), &record(7, 0)));
    assert_eq!(tracker.count(7), 1);
}

/// Records may arrive in any order: a crash must not count again once it is void.
#[test]
fn add_void_before_crash() {
    let mut tracker = Tracker::new();
    let mut void = record(7, 0);
    void.is_void = true;
    tracker.add(ms(0), &void);
    assert!(!tracker.add(ms(1), &record(7, 0)));
    assert_eq!(tracker.count(7), 0);
}

#[test]
fn completed_voids_the_crashes() {
    let mut tracker = Tracker::new();
    let mut other = Tracker::new();
    for now in 0..2 {
        tracker.add(ms(now), &record(7, now));
        other.add(ms(now), &record(7, now));
    }
    for record in tracker.completed(ms(3), 7) {
        tracker.add(ms(3), &record);
        other.add(ms(3), &record);
    }
    for tracker in [&mut tracker, &mut other] {
        tracker.add(ms(4), &record(7, 4));
        assert_eq!(tracker.count(7), 1);
    }
}

/// A trial may crash one more endpoint, so that a request must not get a second one.
#[test]
fn available_trial_once_until_completed() {
    let mut tracker = quarantined();
    assert_eq!(tracker.available_trial(ms(5_000), 7), None);
    let trial = tracker.available_trial(ms(20_000), 7).unwrap();
    tracker.take_trial(ms(20_000), 7, trial);
    tracker.add(ms(20_100), &record(7, 3));
    assert_eq!(tracker.available_trial(ms(90_000), 7), None);
    for record in tracker.completed(ms(90_000), 7) {
        tracker.add(ms(90_000), &record);
    }
    for crash in 4..7 {
        tracker.add(ms(100_000), &record(7, crash));
    }
    assert!(tracker.available_trial(ms(120_000), 7).is_some());
}

/// The records in the store expire, but a caller may send the request for hours.
#[test]
fn refused_shares_records_again() {
    let mut tracker = quarantined();
    assert_eq!(tracker.refused(ms(60_000), 7), []);
    assert_eq!(tracker.refused(ms(6 * 60_000), 7).len(), 3);
    assert_eq!(tracker.refused(ms(7 * 60_000), 7), []);
}

/// A caller that polls a path has a request on every endpoint that crashes.
#[test]
fn has_completed_recently() {
    let mut tracker = Tracker::new();
    assert!(!tracker.has_completed(ms(0), 7));
    tracker.completed(ms(10), 7);
    assert!(tracker.has_completed(ms(2_000), 7));
    assert!(!tracker.has_completed(ms(5_000), 7));
}

/// An endpoint that has started again is registered some time later. A request sent to it meanwhile
/// must count a crash of its own, but not one that was in flight during the first crash.
#[test]
fn identify_crash_before_registration() {
    let mut tracker = Tracker::new();
    let crash = record(7, 17).crash;
    assert_eq!(tracker.identify(&crash, ms(10)), crash);
    tracker.add(ms(50), &record(7, 17));
    assert_eq!(tracker.identify(&crash, ms(20)), crash);
    assert_eq!(tracker.identify(&crash, ms(100)).ordinal, 1);
}
