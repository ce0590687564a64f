//! Gateways share which software versions began streams, so that each can tell where a stream may be resumed.

use std::collections::BTreeSet;
use std::time::Duration;

use endivespur_core::gateway::stream::{self, Origin, RETENTION, Start, Tracker};

use crate::ms;

const KEY: u64 = 7;

fn origin(software: &str) -> Origin {
    Origin::new("s", software)
}

fn versions(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn origin_of_shared_stream() {
    let (mut first, mut second) = (Tracker::new(), Tracker::new());
    first.began(ms(0), KEY, origin("v1"));
    for (origin, keys) in first.take_unshared() {
        for key in keys {
            second.learned(ms(1), key, origin.clone());
        }
    }
    assert_eq!(second.origin(ms(2), KEY), Some(&origin("v1")));
    assert!(!first.has_unshared() && !second.has_unshared());
}

/// Two callers use the same id for an attempt.
#[test]
fn origin_of_two_streams_with_one_key() {
    let mut tracker = Tracker::new();
    tracker.began(ms(0), KEY, origin("v1"));
    tracker.learned(ms(1), KEY, origin("v2"));
    assert_eq!(tracker.origin(ms(2), KEY), None);
    tracker.learned(ms(3), KEY, origin("v1"));
    assert_eq!(tracker.origin(ms(4), KEY), None);
}

fn start(started_ms: u64) -> Start {
    ("e".to_string(), started_ms)
}

/// An engine wrote under the registration of a former start, however long that was out of date, and all streams but the
/// most recent ones kept the former version.
#[test]
fn origin_of_restarted_engine() {
    let (mut tracker, mut replica) = (Tracker::new(), Tracker::new());
    let (registered, unregistered, unnamed) = (1, 2, 3);
    tracker.began(ms(0), registered, origin("v1"));
    tracker.began_unregistered(ms(0), unregistered, "s", Some(start(8)));
    tracker.began_unregistered(ms(0), unnamed, "s", None);
    let share = |tracker: &mut Tracker, replica: &mut Tracker| {
        for (origin, keys) in tracker.take_unshared() {
            for key in keys {
                replica.learned(ms(9_500), key, origin.clone());
            }
        }
    };
    share(&mut tracker, &mut replica);
    assert!(tracker.is_unresolved(ms(9_500), unregistered));
    assert_eq!(replica.find(ms(9_500), unregistered), None);
    // The registrations of a former start, and of a later one with the former version, say nothing.
    assert!(!tracker.start_registered(&start(7), "v1"));
    assert!(!tracker.start_registered(&start(9), "v1"));
    assert_eq!(tracker.origin(ms(9_500), unregistered), None);
    assert!(tracker.start_registered(&start(8), "v2"));
    share(&mut tracker, &mut replica);
    for tracker in [&mut tracker, &mut replica] {
        assert_eq!(tracker.origin(ms(9_500), registered), Some(&origin("v1")));
        assert_eq!(tracker.origin(ms(9_500), unregistered), Some(&origin("v2")));
        assert_eq!(tracker.origin(ms(9_500), unnamed), None);
    }
    assert!(tracker.is_unresolved(ms(9_500), unnamed));
    assert!(!tracker.is_unresolved(ms(9_500), unregistered));
}

/// Two callers use the same id for an attempt, and the version that began one of the streams is not known yet.
#[test]
fn origin_of_two_streams_at_an_unregistered_start() {
    for is_first in [true, false] {
        let mut tracker = Tracker::new();
        if is_first {
            tracker.began(ms(0), KEY, origin("v1"));
        }
        tracker.began_unregistered(ms(0), KEY, "s", Some(start(8)));
        if !is_first {
            tracker.learned(ms(1), KEY, origin("v1"));
        }
        tracker.start_registered(&start(8), "v2");
        assert_eq!(tracker.origin(ms(2), KEY), None);
        assert!(tracker.is_unresolved(ms(2), KEY));
    }
}

/// Another gateway knows a stream, and will learn its version only later.
#[test]
fn origin_that_another_gateway_does_not_know_yet() {
    let mut tracker = Tracker::new();
    tracker.known_unresolved(ms(0), KEY);
    assert!(tracker.is_unresolved(ms(1), KEY));
    assert_eq!(tracker.find(ms(1), KEY), None);
    tracker.resumed(ms(2), KEY, origin("v2"));
    assert!(!tracker.is_unresolved(ms(3), KEY));
    assert_eq!(tracker.origin(ms(3), KEY), Some(&origin("v2")));
    tracker.known_unresolved(ms(0), KEY + 1);
    assert!(!tracker.is_unresolved(RETENTION, KEY + 1));
}

/// The gateway that began a stream may have ended: the one that resumes it shares it again.
#[test]
fn origin_of_resumed_stream_is_shared() {
    let mut tracker = Tracker::new();
    tracker.resumed(ms(0), KEY, origin("v1"));
    assert_eq!(tracker.take_unshared()[&origin("v1")], [KEY]);
    tracker.resumed(ms(1), KEY, origin("v1"));
    assert!(!tracker.has_unshared());
}

#[test]
fn origin_after_retention() {
    let mut tracker = Tracker::new();
    tracker.began(ms(0), KEY, origin("v1"));
    let last = RETENTION.saturating_sub(ms(1));
    assert_eq!(tracker.origin(last, KEY), Some(&origin("v1")));
    assert_eq!(tracker.origin(RETENTION, KEY), None);
    assert!(!tracker.has_unshared());
}

/// Streams arrive faster than they are forgotten: the memory stays bounded.
#[test]
fn origin_of_oldest_of_many_streams() {
    const COUNT: u64 = 100_000;
    let mut tracker = Tracker::new();
    for number in 0..COUNT {
        let key = stream::key(&number.to_string());
        tracker.learned(ms(number / 100), key, origin("v1"));
    }
    let now = ms(COUNT / 100);
    assert_eq!(tracker.origin(now, stream::key("0")), None);
    let newest = stream::key(&(COUNT - 1).to_string());
    assert_eq!(tracker.origin(now, newest), Some(&origin("v1")));
}

#[test]
fn sole_software_while_versions_change() {
    let mut tracker = Tracker::new();
    tracker.started(ms(0), true);
    let sole = |tracker: &mut Tracker, now: Duration, current: &[&str]| {
        tracker.sole_software(now, "s", versions(current))
    };
    assert_eq!(sole(&mut tracker, ms(0), &[]), None);
    assert_eq!(sole(&mut tracker, ms(0), &["v1"]), Some("v1".to_string()));
    assert_eq!(sole(&mut tracker, ms(0), &["v1", "v2"]), None);
    // The last engine of `v1` leaves.
    tracker.registered(ms(10), "s", "v1");
    assert_eq!(sole(&mut tracker, ms(20), &["v2"]), None);
    let later = RETENTION + ms(10);
    assert_eq!(sole(&mut tracker, later, &["v2"]), Some("v2".to_string()));
}

/// An engine whose registration is not known may have any version.
#[test]
fn sole_software_beside_an_unregistered_start() {
    let mut tracker = Tracker::new();
    tracker.started(ms(0), true);
    let sole =
        |tracker: &mut Tracker, now: Duration| tracker.sole_software(now, "s", versions(&["v1"]));
    tracker.start_met(ms(0), "t", start(8));
    assert_eq!(sole(&mut tracker, ms(1)), Some("v1".to_string()));
    tracker.start_met(ms(2), "s", start(8));
    assert_eq!(sole(&mut tracker, ms(3)), None);
    assert_eq!(sole(&mut tracker, RETENTION), None);
    let later = RETENTION + ms(2);
    assert_eq!(sole(&mut tracker, later), Some("v1".to_string()));
    tracker.start_met(later, "s", start(9));
    tracker.start_registered(&start(9), "v1");
    assert_eq!(sole(&mut tracker, later), Some("v1".to_string()));
}

/// A process that had just started saw one version only, and took it for the one that had begun a stream at a process
/// which had ended.
#[test]
fn sole_software_after_a_restart() {
    let mut tracker = Tracker::new();
    let sole =
        |tracker: &mut Tracker, now: Duration| tracker.sole_software(now, "s", versions(&["v2"]));
    assert_eq!(sole(&mut tracker, ms(0)), None);
    tracker.started(ms(5), false);
    assert_eq!(sole(&mut tracker, ms(10)), None);
    assert_eq!(sole(&mut tracker, RETENTION), None);
    let later = RETENTION + ms(5);
    assert_eq!(sole(&mut tracker, later), Some("v2".to_string()));
}

/// Streams that began while a service had one version are kept once there are two, since they can still be resumed.
/// Those of other services are not.
#[test]
fn kept_streams_of_mixed_services() {
    let mut tracker = Tracker::new();
    tracker.registered(ms(0), "s", "v1");
    tracker.registered(ms(0), "t", "v1");
    tracker.began(ms(0), KEY, origin("v1"));
    tracker.began(ms(0), KEY + 1, Origin::new("t", "v1"));
    let current = [origin("v1"), Origin::new("t", "v1")].into();
    assert_eq!(tracker.mixed_services(ms(1), &current), versions(&[]));
    tracker.registered(ms(2), "s", "v2");
    let mixed = tracker.mixed_services(ms(3), &current);
    assert_eq!(mixed, versions(&["s"]));
    let expected = [(origin("v1"), vec![KEY])].into();
    assert_eq!(tracker.take_unkept(&mixed), expected);
    assert_eq!(tracker.take_unstored(&mixed, 9), expected);
    assert!(tracker.take_unkept(&mixed).is_empty());
    assert!(tracker.take_unstored(&mixed, 9).is_empty());
    // The engines of the former version may have begun streams until a moment ago.
    let after = RETENTION + ms(3);
    let last = [origin("v2")].into();
    assert_eq!(tracker.mixed_services(after, &last), versions(&[]));
}

/// What is in the store already was written again by each gateway that read it.
#[test]
fn kept_streams_of_other_gateways() {
    let mixed = versions(&["s"]);
    let mut tracker = Tracker::new();
    tracker.learned(ms(0), 1, origin("v1"));
    tracker.learned(ms(0), 2, origin("v1"));
    tracker.stored(ms(1), 1, &origin("v1"));
    tracker.stored(ms(1), 3, &origin("v1"));
    assert_eq!(tracker.origin(ms(1), 3), Some(&origin("v1")));
    let expected = [(origin("v1"), vec![2])].into();
    assert_eq!(tracker.take_unstored(&mixed, 9), expected);
    // The store names another version than the one that is known: neither is, and the store must learn that.
    tracker.learned(ms(2), 3, origin("v2"));
    let expected = [(origin(""), vec![3])].into();
    assert_eq!(tracker.take_unstored(&mixed, 9), expected);
    // No more than fit: the newest.
    for key in 10..14 {
        tracker.began(ms(key), key, origin("v1"));
    }
    let newest = tracker.take_unstored(&mixed, 2);
    assert_eq!(newest, [(origin("v1"), vec![13, 12])].into());
    assert!(tracker.take_unstored(&mixed, 9).is_empty());
}
