//! Suspected requests: how many endpoints one may crash, in any order of events.

use std::time::Duration;

use endivespur_core::feature::{Feature, Scope};
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
                    let feature = Feature { fingerprint: 7, scope: Scope::Request };
                    tracker.crashed(now, feature, 7, &format!("e{crashes}"), crashes as u64);
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

/// A message of a chat, at a position.
fn message(fingerprint: u64, position: usize) -> Feature {
    Feature {
        fingerprint,
        scope: Scope::Part(position),
    }
}

/// Crashes an endpoint by requests that share two messages; `run` is 0 unless the request ran alone.
fn crash(tracker: &mut Tracker, number: u64, run: u64) {
    let request = Feature {
        fingerprint: 100 + number,
        scope: Scope::Request,
    };
    for feature in [message(1, 0), message(2, 1), request] {
        let now = Duration::from_secs(number);
        tracker.crashed(
            now,
            feature,
            request.fingerprint,
            &format!("e{number}"),
            run,
        );
    }
}

/// Requests that are not alike share a message that crashes endpoints. Their first message, which sound
/// requests share too, must not be refused.
#[test]
fn admit_shared_message() {
    let mut tracker = Tracker::new(RETENTION);
    let now = Duration::from_secs(9);
    crash(&mut tracker, 1, 0);
    assert_eq!(tracker.admit(now, 2), Admission::Clear);
    crash(&mut tracker, 2, 0);
    assert_eq!(tracker.admit(now, 2), Admission::Alone);
    crash(&mut tracker, 3, 7);
    assert_eq!(tracker.admit(now, 2), Admission::Quarantined);
    assert_eq!(tracker.admit(now, 1), Admission::Alone);
    tracker.completed(1);
    assert_eq!(tracker.admit(now, 1), Admission::Clear);
}

/// A rack is lost, and one message was in flight on all of its endpoints. Requests with it run alone
/// until one completes, and are not refused.
#[test]
fn admit_message_after_lost_rack() {
    let mut tracker = Tracker::new(RETENTION);
    for number in 1..9 {
        crash(&mut tracker, number, 0);
    }
    assert_eq!(tracker.admit(Duration::from_secs(9), 1), Admission::Alone);
}
