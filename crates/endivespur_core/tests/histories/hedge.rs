//! The two runs of a hedged request, and the share of extra requests, in any order of events.

use std::time::Duration;

use endivespur_core::gateway::hedge::{End, Race, Run, Step, Tracker, Waiting};
use proptest::prelude::*;

use crate::fixed_seed;

fn run() -> impl Strategy<Value = Run> {
    prop_oneof![Just(Run::First), Just(Run::Hedge)]
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![Just(End::Good), Just(End::Failed), Just(End::NotRun)]
}

proptest! {
    #![proptest_config(fixed_seed(2000))]

    /// In no order of answers, losses and late winners may two answers be taken, or a request that may have run
    /// count as one that has not.
    #[test]
    fn race_any_order(
        events in prop::collection::vec(prop::option::of((run(), end())), 0..12)
    ) {
        let mut race = Race::new();
        let (mut taken, mut hedges, mut running, mut has_run) = (0, 0, vec![Run::First], false);
        for event in events {
            let Some((run, end)) = event else {
                if race.start_hedge() {
                    prop_assert!(running == [Run::First]);
                    hedges += 1;
                    running.push(Run::Hedge);
                }
                continue;
            };
            let was_running = running.contains(&run);
            let step = race.ended(run, end);
            has_run |= was_running && end != End::NotRun;
            running.retain(|other| *other != run);
            if step == Step::Take {
                prop_assert!(was_running && end == End::Good);
                taken += 1;
                running.clear();
            }
            prop_assert_eq!(step == Step::Wait, !running.is_empty());
            prop_assert_eq!(race.may_have_run(), has_run || !running.is_empty());
        }
        prop_assert!(taken <= 1 && hedges <= 1);
    }

    /// At no time may there be more extra requests than the share of the requests until then.
    #[test]
    fn withdraw_share(
        share in 0.0..0.3f64,
        steps in prop::collection::vec((any::<bool>(), 0..2_000u64), 1..400),
    ) {
        let mut hedges = Tracker::new(share);
        let (mut now, mut requests, mut extra) = (0, 0, 0);
        for (is_request, pause) in steps {
            now += pause;
            if is_request {
                hedges.request(Duration::from_millis(now), "s");
                requests += 1;
            } else if hedges.withdraw(Duration::from_millis(now), "s", Waiting::default()).is_ok() {
                extra += 1;
            }
            prop_assert!(f64::from(extra) <= share.min(0.2) * f64::from(requests) + 1e-9);
        }
    }
}
