//! The measured pace of an engine.

use std::time::Duration;

use endivespur_core::clock;
use endivespur_core::gateway::pace::{Figures, Pace, Slowness};

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

/// An engine of which nothing was known was taken for one of a certain deployment, whatever it turned out to be.
#[test]
fn pace_follows_the_engine() {
    for factor in [0.4, 1.0, 2.5] {
        let mut pace = Pace::new(ms(0), None);
        for number in 0..60 {
            let tokens = [300, 900, 3_000, 9_000][number as usize % 4];
            // One in twelve is held up by something else.
            let disturbance = if number % 12 == 5 { 3.0 } else { 1.0 };
            let usual = (0.015 + tokens as f64 / 40_000.0) * factor;
            let took = clock::from_secs(usual * disturbance);
            pace.record_prefill(ms(number * 100), tokens, took, 1.0);
            pace.record_pause(ms(number * 100), 8, clock::scale(ms(40), factor), 1.0);
        }
        let figures = pace.figures(ms(6_000));
        let ratio = figures.prefill_time(9_000).as_secs_f64() / (0.24 * factor);
        assert!((0.85..1.3).contains(&ratio), "{factor}: {figures:?}");
        let ratio = figures.step_time().as_secs_f64() / (0.005 * factor);
        assert!((0.8..1.25).contains(&ratio), "{factor}: {figures:?}");
    }
}

/// A slow moment that the engine names is not its usual pace.
#[test]
fn pace_without_slow_moments() {
    let mut pace = Pace::new(ms(0), None);
    let before = pace.figures(ms(0));
    for number in 0..20 {
        let usual = before.prefill_time(9_000);
        pace.record_prefill(ms(number), 9_000, usual * 4, 4.0);
    }
    let after = pace.figures(ms(20));
    assert_eq!(after.prefill_time(9_000), before.prefill_time(9_000));
}

/// Old figures fall back to those of the service's other engines, and unusual ones stay within a range.
#[test]
fn pace_ages_to_the_prior() {
    let other = Figures {
        first_token: 0.03,
        per_token: 0.000_05,
        step: 0.01,
    };
    let prior = Figures::mean(&[other, other]);
    assert_eq!(prior, Some(other));
    let mut pace = Pace::new(ms(0), prior);
    assert_eq!((pace.figures(ms(0)), pace.observed(ms(0))), (other, None));
    for number in 0..1_000 {
        pace.record_prefill(ms(number), u64::MAX, Duration::from_secs(1), 1.0);
        pace.record_prefill(ms(number), 0, Duration::MAX, 1.0);
        pace.record_pause(ms(number), 0, Duration::MAX, 0.2);
    }
    let extreme = pace.observed(ms(1_000)).unwrap();
    assert!(
        extreme.first_token < 1.0 && extreme.step <= 0.1,
        "{extreme:?}"
    );
    let old = pace.figures(Duration::from_hours(2));
    assert!(old.step < 0.010_1, "{old:?}");
}
