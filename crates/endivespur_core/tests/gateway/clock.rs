//! Durations computed from numbers of any size.

use std::time::Duration;

use endivespur_core::clock::{from_secs, millis, scale};

/// The conversions of the standard library panic on these numbers.
#[test]
fn from_secs_out_of_range() {
    assert_eq!(from_secs(f64::NAN), Duration::ZERO);
    assert_eq!(from_secs(-1.0), Duration::ZERO);
    assert_eq!(from_secs(f64::NEG_INFINITY), Duration::ZERO);
    let longest = from_secs(f64::INFINITY);
    assert_eq!(from_secs(1e300), longest);
    assert!(longest.checked_mul(1_000_000).is_some());
}

#[test]
fn from_secs_in_range() {
    assert_eq!(from_secs(0.25), Duration::from_millis(250));
}

#[test]
fn scale_out_of_range() {
    assert_eq!(scale(Duration::MAX, 12.0), from_secs(f64::MAX));
    assert_eq!(scale(Duration::from_secs(1), -0.5), Duration::ZERO);
    assert_eq!(scale(Duration::from_secs(4), 0.25), Duration::from_secs(1));
}

/// A caller's wait of 2^32 ms and more became a short one at the gateway that was asked.
#[test]
fn millis_out_of_range() {
    assert_eq!(millis(Duration::from_millis((1 << 32) + 5)), u32::MAX);
    assert_eq!(millis(Duration::from_micros(1999)), 1);
}
