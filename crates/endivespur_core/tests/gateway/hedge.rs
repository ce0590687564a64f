//! When a second endpoint is asked.

use endivespur_core::gateway::hedge::{Denial, Tracker, Waiting};

use crate::ms;

/// Returns a tracker that knows latencies of 10 ms and a tenth of 91 to 100 ms, and has hedges left.
fn tracker(share: f64) -> Tracker {
    let mut hedges = Tracker::new(share);
    for number in 1..=100 {
        hedges.request(ms(number), "s");
        let latency = if number > 90 { number } else { 10 };
        hedges.record_latency(ms(number), "s", ms(latency));
    }
    hedges
}

/// Latencies of a time when the service was slower must not delay hedges for good.
#[test]
fn request_forgets_latencies() {
    let mut hedges = tracker(0.1);
    let delay = hedges.request(ms(1_000), "s").unwrap();
    assert!(delay > ms(93) && delay < ms(97), "{delay:?}");
    for number in 0..50 {
        hedges.record_latency(ms(40_000 + number), "s", ms(10));
    }
    assert!(hedges.request(ms(61_000), "s").unwrap() > ms(90));
    for number in 0..50 {
        hedges.record_latency(ms(75_000 + number), "s", ms(10));
    }
    // Equal latencies: twice the median.
    let delay = hedges.request(ms(76_000), "s").unwrap();
    assert!(delay > ms(19) && delay < ms(21), "{delay:?}");
    assert_eq!(hedges.request(ms(200_000), "s"), None);
}

/// Without the option nothing is recorded, and no request is hedged.
#[test]
fn request_disabled() {
    let mut hedges = tracker(0.0);
    assert_eq!(hedges.request(ms(1_000), "s"), None);
    let denied = hedges.withdraw(ms(1_000), "s", Waiting::default());
    assert_eq!(denied, Err(Denial::Share));
}

/// Extra work must not make others wait.
#[test]
fn withdraw_overload() {
    let waiting = |waiting, is_target_full| Waiting {
        endpoints: 3,
        waiting,
        is_target_full,
    };
    for (waiting, is_denied) in [
        (waiting(0, false), false),
        (waiting(1, false), false),
        (waiting(2, false), true),
        (waiting(0, true), true),
    ] {
        let denied = tracker(0.1).withdraw(ms(1_000), "s", waiting);
        assert_eq!(denied == Err(Denial::Overload), is_denied, "{waiting:?}");
    }
    let mut hedges = tracker(0.1);
    hedges.record_refusal(ms(1_000), "s");
    let waiting = waiting(0, false);
    assert_eq!(
        hedges.withdraw(ms(2_900), "s", waiting),
        Err(Denial::Overload)
    );
    assert_eq!(hedges.withdraw(ms(3_100), "s", waiting), Ok(()));
}
