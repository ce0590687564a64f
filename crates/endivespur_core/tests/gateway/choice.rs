//! The order in which the endpoints of a plain service are tried.

use endivespur_core::gateway::choice::{self, Load};

fn load(endpoint: &str, running: usize, is_near: bool) -> Load {
    Load {
        endpoint: endpoint.to_string(),
        running,
        slots: 6,
        is_near,
        is_avoided: false,
        latency: 0.03,
    }
}

#[test]
fn order_near_while_idle() {
    let order = choice::order(vec![load("far", 0, false), load("near", 1, true)], 1);
    assert_eq!(order, ["near", "far"]);
}

#[test]
fn order_far_when_near_is_busy() {
    let order = choice::order(vec![load("near", 4, true), load("far", 0, false)], 1);
    assert_eq!(order, ["far", "near"]);
}

#[test]
fn order_avoided_last() {
    let mut failing = load("near", 0, true);
    failing.is_avoided = true;
    let order = choice::order(vec![failing, load("far", 5, false)], 1);
    assert_eq!(order, ["far", "near"]);
}

#[test]
fn order_equals_are_spread() {
    let first: std::collections::BTreeSet<_> = (0..50)
        .map(|hash| choice::order(vec![load("a", 0, true), load("b", 0, true)], hash)[0].clone())
        .collect();
    assert_eq!(first.len(), 2);
}
