//! The load that endpoints report.

use endivespur_core::gateway::load::{Report, Tracker};

use crate::ms;

fn report(running: usize, waiting: usize, in_flight: usize) -> Report {
    Report {
        running,
        waiting,
        slots: 6,
        in_flight,
    }
}

/// A figure of a moment ago must not be taken for the load of now.
#[test]
fn estimate_old_report() {
    let mut loads = Tracker::new();
    for number in 0..50 {
        loads.record(ms(number * 10), "p", report(2, 0, 0));
    }
    loads.record(ms(1_000), "p", report(6, 24, 0));
    let at = |now| loads.estimate(ms(now), "p", 0).unwrap().requests;
    assert!(at(1_000) > 29.0 && at(1_300) < 18.0 && at(5_000) < 6.0);
    assert_eq!(loads.estimate(ms(1_000), "unknown", 3), None);
}

/// Requests that this gateway has sent since a report must count, and others only once.
#[test]
fn estimate_own_requests() {
    let mut loads = Tracker::new();
    loads.record(ms(0), "p", report(4, 0, 2));
    let requests = |in_flight| {
        let load = loads.estimate(ms(0), "p", in_flight).unwrap();
        load.requests
    };
    let counts = [requests(2), requests(5), requests(0)];
    assert_eq!(counts.map(|count| count.round() as u64), [4, 7, 2]);
}

/// A long queue must not make an endpoint count as slow, and one that was slow must be tried again.
#[test]
fn estimate_work() {
    let mut loads = Tracker::new();
    loads.record(ms(0), "p", report(6, 6, 0));
    loads.record_time(ms(0), "p", ms(40));
    let load = loads.estimate(ms(0), "p", 0).unwrap();
    assert!((load.work - 0.02).abs() < 0.001, "{load:?}");
    let load = loads.estimate(ms(20_000), "p", 0).unwrap();
    assert!(load.work_weight < 0.05, "{load:?}");
}
