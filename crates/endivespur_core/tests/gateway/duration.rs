//! A VM that stops begins no request that is not likely to end before its process does.

use endivespur_core::gateway::duration::Tracker;

use crate::ms;

#[test]
fn expected_without_requests() {
    assert_eq!(Tracker::new().expected("draft"), ms(0));
}

#[test]
fn expected_equal_requests() {
    let mut tracker = Tracker::new();
    for _ in 0..100 {
        tracker.record("order", ms(20));
        tracker.record("draft", ms(4000));
    }
    assert!(tracker.expected("order") >= ms(20));
    assert!(tracker.expected("order") < ms(30));
    assert!(tracker.expected("draft") >= ms(4000));
}

/// A stream of many events may take ten times as long as the mean of its route.
#[test]
fn expected_covers_most_of_spread_requests() {
    let mut tracker = Tracker::new();
    let durations = || (0..200_u64).map(|number| ms(200 + number * 37 % 1000 * 4));
    for took in durations() {
        tracker.record("draft", took);
    }
    let expected = tracker.expected("draft");
    let covered = durations().filter(|took| *took <= expected).count();
    assert!(covered >= 180, "{covered} of 200 within {expected:?}");
}

#[test]
fn expected_follows_a_change() {
    let mut tracker = Tracker::new();
    for _ in 0..100 {
        tracker.record("order", ms(20));
    }
    for _ in 0..100 {
        tracker.record("order", ms(2000));
    }
    assert!(tracker.expected("order") >= ms(2000));
}
