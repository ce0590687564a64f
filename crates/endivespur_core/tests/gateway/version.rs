//! New versions of adapters that are in use.

use endivespur_core::gateway::placement::{Answer, Decision, Step};

use crate::{answer, engine, grant, ms, order, request, weights};

#[test]
fn announce_replaces_at_once() {
    let mut engine = engine(2, &["a", "b"]);
    grant(&mut engine, ms(0), "a");
    engine.announce(&weights("a"), 2);
    let order = order(&mut engine, ms(1));
    assert_eq!((order.weights, order.version), (weights("a"), Some(2)));
}

#[test]
fn announce_stops_grants_of_the_old_version() {
    let mut engine = engine(2, &["a"]);
    engine.announce(&weights("a"), 2);
    assert_eq!(engine.request(ms(0), &request("a")), Decision::Wait);
    answer(&mut engine, ms(0), Answer::Accepted);
    assert_eq!(engine.request(ms(100), &request("a")), Decision::Wait);
    answer(&mut engine, ms(260), Answer::AlreadyApplied);
    grant(&mut engine, ms(261), "a");
}

/// An adapter is loaded without a version just before its new version is announced. The engine
/// answers that it holds the new version already, and must not receive the order repeatedly.
#[test]
fn announce_version_already_loaded() {
    let mut engine = engine(2, &[]);
    engine.add_waiter(ms(0), &request("a"));
    assert_eq!(answer(&mut engine, ms(0), Answer::Accepted).version, None);
    answer(&mut engine, ms(260), Answer::AlreadyApplied);
    engine.announce(&weights("a"), 2);
    let second = answer(&mut engine, ms(300), Answer::AlreadyApplied);
    assert_eq!(second.version, Some(2));
    assert_eq!(engine.step(ms(301)), Step::Sleep(None));
    grant(&mut engine, ms(301), "a");
}

#[test]
fn announce_most_used_first() {
    let mut engine = engine(2, &["a", "b"]);
    grant(&mut engine, ms(0), "b");
    engine.announce(&weights("a"), 2);
    engine.announce(&weights("b"), 2);
    assert_eq!(order(&mut engine, ms(1)).weights, weights("b"));
}

#[test]
fn announce_older_changes_nothing() {
    let mut engine = engine(2, &["a"]);
    engine.announce(&weights("a"), 1);
    grant(&mut engine, ms(0), "a");
}

#[test]
fn announce_absent_adapter_loads_the_newest() {
    let mut engine = engine(2, &[]);
    engine.announce(&weights("a"), 3);
    engine.add_waiter(ms(0), &request("a"));
    assert_eq!(order(&mut engine, ms(0)).version, Some(3));
}
