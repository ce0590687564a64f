//! Suspected requests: how many endpoints one may crash, in any order of events.

use std::time::Duration;

use endivespur_core::suspect::{Admission, CRASH_LIMIT, Tracker};
use proptest::prelude::*;

use crate::fixed_seed;

const RETENTION: Duration = Duration::from_mins(10);

proptest! {
    #![proptest_config(fixed_seed(2000))]

    /// Callers repeat one crashing request; each admitted run crashes its endpoint, loses its
    /// caller, or is abandoned before it starts.
    #[test]
    fn admit_resent_request_crashes_at_most_two(
        steps in prop::collection::vec((0u8..4, 1u64..20_000), 1..60),
    ) {
        let mut tracker = Tracker::new(RETENTION);
        let mut now = Duration::ZERO;
        let mut crashes = 0;
        let mut alone_until = Duration::ZERO;
        for (outcome, ms) in steps {
            now += Duration::from_millis(ms);
            let admission = tracker.admit(now, 7);
            match admission {
                Admission::Clear => prop_assert_eq!(crashes, 0),
                Admission::Alone => prop_assert!(now >= alone_until, "two runs alone at once"),
                Admission::Wait => {
                    prop_assert!(now < alone_until, "waits without a run alone");
                    continue;
                }
                Admission::Quarantined => {
                    prop_assert!(crashes >= CRASH_LIMIT);
                    continue;
                }
            }
            match outcome {
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
            prop_assert!(crashes <= CRASH_LIMIT, "{} endpoints crashed", crashes);
        }
    }
}
