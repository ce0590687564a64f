//! The order in which engines and endpoints are tried.

use std::collections::BTreeMap;

use endivespur_core::gateway::choice::{self, Candidate, Group, MAX_HOMES, MAX_SPARES};
use endivespur_core::gateway::endpoint::{Base, Instance};

use crate::{BASE, ms, weights};

fn engine(id: &str, zone: &str, held: Option<u32>) -> Instance {
    let adapters = held.map(|version| ("a".to_string(), version));
    let base = Base {
        version: 1,
        adapters: adapters.into_iter().collect(),
    };
    Instance {
        id: id.to_string(),
        started_ms: 1,
        service: "s".to_string(),
        software: "v1".to_string(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.to_string(),
        slots: 64,
        is_draining: false,
        cold: ms(0),
        bases: BTreeMap::from([(BASE.to_string(), base)]),
        orders: 0,
    }
}

fn engines(zone: &str, version: u32, engines: &[Instance]) -> Vec<String> {
    let all = engines.iter().collect();
    choice::rank_engines(&weights("a"), version, zone, all)
        .into_iter()
        .map(|engine| engine.id.clone())
        .collect()
}

#[test]
fn rank_engines_holding_in_this_zone_first() {
    let all: Vec<_> = (0..9)
        .map(|number| {
            let zone = ["x", "y", "z"][number % 3];
            engine(&format!("e{number}"), zone, (number > 6).then_some(1))
        })
        .collect();
    let found = engines("z", 0, &all);
    assert_eq!(found[..2], ["e8", "e7"]);
    assert_eq!(found.len(), MAX_HOMES + MAX_SPARES);
}

#[test]
fn rank_engines_same_homes_for_all_zones() {
    let all: Vec<_> = (0..9)
        .map(|number| engine(&format!("e{number}"), ["x", "y"][number % 2], None))
        .collect();
    assert_eq!(engines("x", 0, &all), engines("y", 0, &all));
}

#[test]
fn rank_engines_holding_an_older_version() {
    let all = [engine("old", "x", Some(1)), engine("new", "y", Some(2))];
    assert_eq!(engines("x", 2, &all)[0], "new");
}

/// A popular adapter must spread before requests wait at its homes for longer than they may.
#[test]
fn passes_spares_before_waiting() {
    let passes = choice::passes(ms(800), ms(5_000));
    let spares = passes.iter().position(|pass| pass.group == Group::Spares);
    let long = passes.iter().position(|pass| pass.max_delay > ms(800));
    assert!(spares < long, "{passes:?}");
}

#[test]
fn positions_fewer_engines_than_homes() {
    let busy = BTreeMap::from([(0, ms(9)), (1, ms(5))]);
    assert_eq!(Group::Homes.positions(2, &busy), [0, 1]);
    assert!(Group::Spares.positions(2, &busy).is_empty());
    assert_eq!(Group::Busy.positions(2, &busy), [1, 0]);
}

#[test]
fn due_in_of_a_stream_that_has_begun() {
    assert_eq!(choice::due_in(ms(1_000), ms(5_000), false), ms(700));
    assert_eq!(choice::due_in(ms(0), ms(5_000), true), ms(5_000));
}

#[test]
fn passes_short_wait() {
    let passes = choice::passes(ms(800), ms(100));
    assert!(passes.iter().all(|pass| pass.max_delay <= ms(100)));
}

fn candidate(endpoint: &str, running: usize, is_same_zone: bool) -> Candidate {
    Candidate {
        endpoint: endpoint.to_string(),
        running,
        slots: 6,
        is_same_zone,
        is_avoided: false,
        latency: 0.03,
        load: None,
    }
}

#[test]
fn rank_endpoints_near_while_idle() {
    let order = choice::rank_endpoints(
        vec![candidate("far", 0, false), candidate("near", 1, true)],
        1,
    );
    assert_eq!(order, ["near", "far"]);
}

#[test]
fn rank_endpoints_far_when_near_is_busy() {
    let order = choice::rank_endpoints(
        vec![candidate("near", 4, true), candidate("far", 0, false)],
        1,
    );
    assert_eq!(order, ["far", "near"]);
}

#[test]
fn rank_endpoints_avoided_last() {
    let mut failing = candidate("near", 0, true);
    failing.is_avoided = true;
    let order = choice::rank_endpoints(vec![failing, candidate("far", 5, false)], 1);
    assert_eq!(order, ["far", "near"]);
}

#[test]
fn rank_endpoints_equals_are_spread() {
    let first: std::collections::BTreeSet<_> = (0..50)
        .map(|hash| {
            choice::rank_endpoints(vec![candidate("a", 0, true), candidate("b", 0, true)], hash)[0]
                .clone()
        })
        .collect();
    assert_eq!(first.len(), 2);
}
