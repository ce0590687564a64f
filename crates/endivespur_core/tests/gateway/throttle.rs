//! The bound on what callers cause.

use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::throttle::Throttle;

/// A flood was logged line by line, or a second that began in the middle of a flood had twice the lines.
#[test]
fn throttle_any_second() {
    let mut throttle = Throttle::new(20);
    let mut admitted: Vec<Time> = Vec::new();
    let mut skipped = 0;
    for step in 0..1000 {
        // Bursts with pauses, so that seconds begin within them.
        let pause = Duration::from_millis(700 * (step / 50));
        let now = Time::ZERO + Duration::from_millis(3 * step) + pause;
        if let Some(count) = throttle.admit(now) {
            skipped += count;
            admitted.push(now);
        }
    }
    let is_bounded = |pair: &[Time]| pair[20].saturating_sub(pair[0]) >= Duration::from_secs(1);
    assert!(admitted.windows(21).all(is_bounded), "{admitted:?}");
    assert!(admitted.len() >= 200);
    let last = throttle.admit(Time::ZERO + Duration::from_hours(1));
    assert_eq!(skipped + last.unwrap(), 1000 - admitted.len() as u64);
}
