//! Suspected requests: how often one may crash endpoints, whatever the order.

use std::time::Duration;

use endivespur_core::suspect::{Admission, CRASH_LIMIT, Tracker};
use proptest::prelude::*;

use crate::fixed;

const MEMORY: Duration = Duration::from_mins(10);

proptest! {
    #![proptest_config(fixed(2000))]

    /// Callers send one crashing request again and again; each run that is let through
    /// crashes its endpoint, is left by its caller, or is given up before it begins.
    #[test]
    fn judge_resent_request_crashes_at_most_two(
        steps in prop::collection::vec((0u8..4, 1u64..20_000), 1..60),
    ) {
        let mut tracker = Tracker::new(MEMORY);
        let mut now = Duration::ZERO;
        let mut crashes = 0;
        let mut alone_until = Duration::ZERO;
        for (what, ms) in steps {
            now += Duration::from_millis(ms);
            let admission = tracker.admit(now, 7);
            match admission {
                Admission::Clear => prop_assert_eq!(crashes, 0),
                Admission::Alone => prop_assert!(now >= alone_until, "two runs alone at once"),
                Admission::Wait => {
                    prop_assert!(now < alone_until, "held back without a run");
                    continue;
                }
                Admission::Quarantined => {
                    prop_assert!(crashes >= CRASH_LIMIT);
                    continue;
                }
            }
            match what {
                0 | 1 => {
                    crashes += 1;
                    tracker.crashed(now, 7, &format!("e{crashes}"), crashes as u64);
                    alone_until = Duration::ZERO;
                }
                2 if admission == Admission::Alone => {
                    tracker.abandoned(7);
                    alone_until = Duration::ZERO;
                }
                _ if admission == Admission::Alone => alone_until = now + Duration::from_mins(1),
                _ => {}
            }
            prop_assert!(crashes <= CRASH_LIMIT, "{} endpoints fell", crashes);
        }
    }
}
