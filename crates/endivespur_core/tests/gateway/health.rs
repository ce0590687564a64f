//! Endpoints that fail although their registration says that they are ready.

use endivespur_core::gateway::health::Tracker;

use crate::ms;

#[test]
fn record_failure_now_and_then() {
    let mut tracker = Tracker::new();
    for now in 0..100 {
        tracker.record_success(ms(now * 10), "e", ms(5));
    }
    tracker.record_failure(ms(1000), "e");
    tracker.record_failure(ms(1001), "e");
    assert!(!tracker.is_avoided(ms(1002), "e"));
}

#[test]
fn record_failure_often() {
    let mut tracker = Tracker::new();
    for now in 0..10 {
        tracker.record_success(ms(now * 10), "e", ms(5));
        tracker.record_failure(ms(now * 10 + 5), "e");
    }
    assert!(tracker.is_avoided(ms(101), "e"));
    assert!(!tracker.is_avoided(ms(2000), "e"));
}

#[test]
fn record_timeout_behind_a_queue() {
    let mut tracker = Tracker::new();
    tracker.record_success(ms(900), "e", ms(5));
    for _ in 0..5 {
        tracker.record_timeout(ms(1000), "e");
    }
    assert!(!tracker.is_avoided(ms(1001), "e"));
}

#[test]
fn record_timeout_without_any_answer() {
    let mut tracker = Tracker::new();
    tracker.record_success(ms(100), "e", ms(5));
    for _ in 0..3 {
        tracker.record_timeout(ms(2000), "e");
    }
    assert!(tracker.is_avoided(ms(2001), "e"));
}

#[test]
fn record_unreachable_once() {
    let mut tracker = Tracker::new();
    tracker.record_success(ms(0), "e", ms(5));
    tracker.record_unreachable(ms(10), "e");
    assert!(tracker.is_avoided(ms(11), "e"));
}
