//! Requests that crash endpoints come again, while their neighbours come back once.

use endivespur_core::gateway::crash::Record;

use crate::ms;

#[test]
fn is_quarantined_after_three() {
    let mut record = Record::new();
    for now in 0..2 {
        record.crashed(ms(now), 7);
    }
    assert!(!record.is_quarantined(ms(10), 7));
    record.crashed(ms(11), 7);
    assert!(record.is_quarantined(ms(12), 7));
    assert!(!record.is_quarantined(ms(12), 8));
}

#[test]
fn is_quarantined_while_it_comes() {
    let mut record = Record::new();
    for now in 0..3 {
        record.crashed(ms(now), 7);
    }
    for minute in 1..10 {
        assert!(record.is_quarantined(ms(minute * 60_000), 7));
    }
    assert!(!record.is_quarantined(ms(20 * 60_000), 7));
}
