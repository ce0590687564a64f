//! More requests than all engines can serve.

use std::time::Duration;

use endivespur_core::gateway::choice;

use crate::popular::{MAX_GIVEN_UP_SHARE, Outcome, Policy, SEEDS, classes, play};

/// The largest part of the old policy's wasted runs that may remain.
const MAX_WASTE: f64 = 0.1;
/// The worth of a late response.
const LATE_WORTH: f64 = 0.5;

fn worth(outcome: &Outcome) -> f64 {
    outcome.in_time as f64 + outcome.late as f64 * LATE_WORTH
}

/// If all wait for as long as they may, all are late, and most that have waited are given up.
#[test]
fn overload_of_all_engines() {
    let policy = |bounds_overload| Policy {
        passes: choice::passes,
        bounds_overload,
    };
    for (seed, rate) in (0..SEEDS).zip([90.0, 120.0, 180.0]) {
        let before = play(seed, &classes(rate), &policy(false));
        let after = play(seed, &classes(rate), &policy(true));
        let limit = before.given_up as f64 * MAX_WASTE;
        assert!(
            after.given_up as f64 <= limit,
            "{rate}: {before:?} {after:?}"
        );
        assert!(
            after.share(after.given_up) <= MAX_GIVEN_UP_SHARE,
            "{rate}: {after:?}"
        );
        assert!(
            worth(&after) > worth(&before),
            "{rate}: {before:?} {after:?}"
        );
    }
}

/// A burst that ends soon is served, late where it must be.
#[test]
fn overload_for_a_moment() {
    let policy = Policy {
        passes: choice::passes,
        bounds_overload: true,
    };
    for seed in 0..SEEDS {
        let mut classes = classes(30.0);
        for class in &mut classes {
            class.burst = Duration::from_millis(800);
        }
        let outcome = play(seed, &classes, &policy);
        assert!(
            outcome.share(outcome.refused + outcome.given_up) <= MAX_GIVEN_UP_SHARE,
            "{seed}: {outcome:?}"
        );
    }
}
