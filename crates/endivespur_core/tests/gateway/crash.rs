//! Callers keep sending the requests that crash endpoints. A harmless request that was in flight
//! during a crash is sent again once and must not be refused.

use endivespur_core::gateway::crash::Tracker;

use crate::ms;

#[test]
fn is_quarantined_after_three() {
    let mut tracker = Tracker::new();
    for now in 0..2 {
        tracker.record_crash(ms(now), 7);
    }
    assert!(!tracker.is_quarantined(ms(10), 7));
    tracker.record_crash(ms(11), 7);
    assert!(tracker.is_quarantined(ms(12), 7));
    assert!(!tracker.is_quarantined(ms(12), 8));
}

#[test]
fn is_quarantined_while_it_is_sent() {
    let mut tracker = Tracker::new();
    for now in 0..3 {
        tracker.record_crash(ms(now), 7);
    }
    for minute in 1..10 {
        assert!(tracker.is_quarantined(ms(minute * 60_000), 7));
    }
    assert!(!tracker.is_quarantined(ms(20 * 60_000), 7));
}
