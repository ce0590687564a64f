//! Engines that differ in pace and are slow for moments.

use std::time::Duration;

use crate::fleet::{Fleet, Outcome, Policy, play};
use crate::model::Class;
use crate::popular::{SEEDS, classes};

/// Engines of the paces that were observed.
const FLEET: Fleet = Fleet {
    engines: 20,
    adapters: 60,
    paces: (0.55, 1.2),
    has_moments: true,
    has_teams: false,
};

/// Returns the sum of the outcomes of all seeds.
fn play_all(fleet: Fleet, classes: &[Class], policy: Policy) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = play(seed, fleet, classes, policy);
        sum.in_time += outcome.in_time;
        sum.late += outcome.late;
        sum.paused += outcome.paused;
        sum.refused += outcome.refused;
        sum.given_up += outcome.given_up;
        sum.fetches += outcome.fetches;
        sum.asks += outcome.asks;
        sum.misjudged += outcome.misjudged;
        sum.busiest += outcome.busiest;
    }
    sum
}

/// Without the engines' figures, prompts are sent to engines that are slow at the moment, while others are not.
#[test]
fn slow_moments() {
    let policy = |tells_slowdown| Policy {
        tells_slowdown,
        tells_pauses: false,
        tells_end: false,
    };
    let before = play_all(FLEET, &classes(20.0), policy(false));
    let after = play_all(FLEET, &classes(20.0), policy(true));
    println!("slow moments: {before:?} {after:?}");
    assert!(after.paused < before.paused, "{before:?} {after:?}");
    assert!(after.in_time > before.in_time, "{before:?} {after:?}");
}

/// Prompts were read beside streams that they held up, while other engines that hold the adapter had none.
#[test]
fn long_prompts_beside_streams() {
    let policy = |tells_pauses| Policy {
        tells_slowdown: true,
        tells_pauses,
        tells_end: true,
    };
    let before = play_all(FLEET, &classes(20.0), policy(false));
    let after = play_all(FLEET, &classes(20.0), policy(true));
    println!("long prompts: {before:?} {after:?}");
    assert!(after.paused < before.paused, "{before:?} {after:?}");
    assert!(after.in_time > before.in_time, "{before:?} {after:?}");
}

/// The homes of popular adapters were filled while other engines that hold them idled.
#[test]
fn busiest_engine() {
    let policy = |tells_pauses| Policy {
        tells_slowdown: true,
        tells_pauses,
        tells_end: true,
    };
    let before = play_all(FLEET, &classes(20.0), policy(false));
    let after = play_all(FLEET, &classes(20.0), policy(true));
    println!("busiest: {before:?} {after:?}");
    assert!(
        after.busiest * 5 < before.busiest * 4,
        "{before:?} {after:?}"
    );
}

/// Where all engines are equal and never slow, there is little to gain, and adapters are not to be fetched for it.
#[test]
fn equal_engines() {
    let equal = Fleet {
        paces: (1.0, 1.0),
        has_moments: false,
        ..FLEET
    };
    let policy = |tells_pauses| Policy {
        tells_slowdown: true,
        tells_pauses,
        tells_end: true,
    };
    let before = play_all(equal, &classes(20.0), policy(false));
    let after = play_all(equal, &classes(20.0), policy(true));
    println!("equal engines: {before:?} {after:?}");
    assert!(after.in_time >= before.in_time, "{before:?} {after:?}");
    assert!(after.fetches <= before.fetches + 5, "{before:?} {after:?}");
}

/// The pace of engines of another kind than the usual one was taken from a data sheet.
#[test]
fn another_kind_of_engines() {
    let policy = Policy {
        tells_slowdown: true,
        tells_pauses: true,
        tells_end: true,
    };
    for (paces, rate) in [((0.25, 0.5), 8.0), ((1.6, 3.0), 40.0)] {
        let fleet = Fleet { paces, ..FLEET };
        let outcome = play_all(fleet, &classes(rate), policy);
        println!("another kind: {paces:?} {outcome:?}");
        let engines = fleet.engines * SEEDS as usize;
        assert!(outcome.misjudged * 5 <= engines, "{paces:?} {outcome:?}");
    }
}

/// Streams were begun at engines that are too slow to end them before their callers leave.
#[test]
fn deadlines_beyond_slow_engines() {
    let fleet = Fleet {
        paces: (0.25, 1.2),
        has_moments: false,
        ..FLEET
    };
    let mut classes = classes(24.0);
    classes[1].deadline = Duration::from_millis(2_200);
    let policy = |tells_end| Policy {
        tells_slowdown: true,
        tells_pauses: true,
        tells_end,
    };
    let before = play_all(fleet, &classes, policy(false));
    let after = play_all(fleet, &classes, policy(true));
    println!("deadlines: {before:?} {after:?}");
    assert!(after.given_up < before.given_up, "{before:?} {after:?}");
    assert!(after.in_time >= before.in_time, "{before:?} {after:?}");
}
