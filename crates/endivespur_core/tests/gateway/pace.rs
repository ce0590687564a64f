//! The measured pace of an engine.

use std::time::Duration;

use endivespur_core::gateway::pace::Slowness;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn percent(slowness: &Slowness, now: u64) -> u32 {
    (slowness.factor(ms(now)) * 100.0) as u32
}

/// A figure that outlived the slow moment would keep requests from a fast engine.
#[test]
fn slowness_fades() {
    let mut slowness = Slowness::default();
    assert_eq!(percent(&slowness, 9_000), 100);
    slowness.record(ms(10_000), 400);
    assert_eq!(percent(&slowness, 10_000), 400);
    assert!(slowness.factor(ms(10_500)) < 2.0);
    assert!(slowness.factor(ms(11_000)) < 1.4);
    slowness.record(ms(11_100), 100);
    assert_eq!(percent(&slowness, 11_100), 100);
}

/// Gateways of older releases send 0, and figures may be any number.
#[test]
fn slowness_any_figure() {
    let mut slowness = Slowness::default();
    slowness.record(ms(10), 300);
    slowness.record(ms(10), 0);
    assert_eq!(percent(&slowness, 10), 300);
    for percent in [1, u32::MAX] {
        slowness.record(ms(20), percent);
        let work = slowness.stretch(ms(20), Duration::from_secs(10_000));
        assert!(work > Duration::from_secs(9_990), "{work:?}");
        assert_eq!(slowness.stretch(ms(20), ms(0)), ms(0));
    }
}

/// Long work would count as slow until its end, although the slow moment ends before.
#[test]
fn stretch_ends_with_the_moment() {
    let mut slowness = Slowness::default();
    slowness.record(ms(0), 400);
    let short = slowness.stretch(ms(0), ms(10));
    assert!(short > ms(38) && short <= ms(40), "{short:?}");
    let long = slowness.stretch(ms(0), ms(2_000));
    assert!(long > ms(2_500) && long < ms(2_700), "{long:?}");
}
