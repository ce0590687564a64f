//! Callers keep sending the requests that crash endpoints. A harmless request that was in flight
//! during a crash is sent again once and must not be refused.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use endivespur_core::feature::{Feature, Scope};
use endivespur_core::gateway::crash::{Crash, Record, Tracker, decode, encode};

use crate::ms;

/// Returns the feature of a whole request.
fn request(fingerprint: u64) -> Feature {
    Feature {
        fingerprint,
        scope: Scope::Request,
    }
}

fn part(fingerprint: u64, position: usize) -> Feature {
    Feature {
        fingerprint,
        scope: Scope::Part(position),
    }
}

fn record(fingerprint: u64, started_ms: u64) -> Record {
    feature_record(request(fingerprint), started_ms)
}

/// Returns the record of a crash during which a request with only this feature was in flight.
fn feature_record(feature: Feature, started_ms: u64) -> Record {
    request_record(feature, feature.fingerprint, started_ms)
}

fn request_record(feature: Feature, request: u64, started_ms: u64) -> Record {
    Record {
        feature,
        requests: [request].into(),
        crash: Crash {
            endpoint: "e".to_string(),
            started_ms,
            ordinal: 0,
        },
        is_void: false,
    }
}

fn is_quarantined(tracker: &Tracker, fingerprint: u64) -> bool {
    tracker.find_quarantined(&[request(fingerprint)]).is_some()
}

/// Records that a request has completed, and shares what refutes its crashes with both trackers.
fn complete(now: u64, fingerprint: u64, tracker: &mut Tracker, other: &mut Tracker) {
    tracker.completed(ms(now), &[request(fingerprint)]);
    for record in tracker.refutations() {
        tracker.add(ms(now), &record);
        other.add(ms(now), &record);
    }
}

/// Returns a tracker of a request 7 that crashed three endpoints at 0, 1 and 2 ms.
fn quarantined() -> Tracker {
    let mut tracker = Tracker::new();
    for now in 0..3 {
        tracker.add(ms(now), &record(7, now));
    }
    tracker
}

#[test]
fn is_quarantined_after_three() {
    let mut tracker = Tracker::new();
    for now in 0..2 {
        tracker.add(ms(now), &record(7, now));
    }
    assert!(!is_quarantined(&tracker, 7));
    tracker.add(ms(11), &record(7, 2));
    assert!(is_quarantined(&tracker, 7));
    assert!(!is_quarantined(&tracker, 8));
}

#[test]
fn is_quarantined_while_it_is_sent() {
    let mut tracker = quarantined();
    for minute in 1..30 {
        tracker.refused(ms(minute * 60_000), 7);
        tracker.add(ms(minute * 60_000), &record(8, minute));
        assert!(is_quarantined(&tracker, 7));
    }
    tracker.add(ms(50 * 60_000), &record(8, 99));
    assert!(!is_quarantined(&tracker, 7));
}

/// Several gateways may observe one crash, and the store and another gateway may report it.
#[test]
fn add_crash_twice() {
    let mut tracker = Tracker::new();
    assert!(tracker.add(ms(0), &record(7, 0)));
    assert!(!tracker.add(ms(1), &record(7, 0)));
    assert_eq!(tracker.count(7), 1);
}

/// Records may arrive in any order: a crash must not count again once it is void.
#[test]
fn add_void_before_crash() {
    let mut tracker = Tracker::new();
    let mut void = record(7, 0);
    void.is_void = true;
    tracker.add(ms(0), &void);
    assert!(!tracker.add(ms(1), &record(7, 0)));
    assert_eq!(tracker.count(7), 0);
}

#[test]
fn completed_voids_the_crashes() {
    let mut tracker = Tracker::new();
    let mut other = Tracker::new();
    for now in 0..2 {
        tracker.add(ms(now), &record(7, now));
        other.add(ms(now), &record(7, now));
    }
    complete(3, 7, &mut tracker, &mut other);
    for tracker in [&mut tracker, &mut other] {
        tracker.add(ms(4_000), &record(7, 4));
        assert_eq!(tracker.count(7), 1);
    }
}

/// A trial may crash one more endpoint, so that a request must not get a second one.
#[test]
fn available_trial_once_until_completed() {
    let mut tracker = quarantined();
    let features = [request(7)];
    assert_eq!(tracker.available_trial(ms(5_000), &features), None);
    let (_, trial) = tracker.available_trial(ms(20_000), &features).unwrap();
    tracker.take_trial(ms(20_000), 7, trial);
    tracker.add(ms(20_100), &record(7, 3));
    assert_eq!(tracker.available_trial(ms(90_000), &features), None);
    complete(90_000, 7, &mut tracker, &mut Tracker::new());
    for crash in 4..7 {
        tracker.add(ms(100_000), &record(7, crash));
    }
    let trial = tracker.available_trial(ms(120_000), &features);
    assert!(trial.is_some());
}

/// The records in the store expire, but a caller may send the request for hours.
#[test]
fn refused_shares_records_again() {
    let mut tracker = quarantined();
    assert_eq!(tracker.refused(ms(60_000), 7), []);
    assert_eq!(tracker.refused(ms(6 * 60_000), 7).len(), 3);
    assert_eq!(tracker.refused(ms(7 * 60_000), 7), []);
}

/// A caller that polls a path has a request on every endpoint that crashes.
#[test]
fn has_completed_recently() {
    let mut tracker = Tracker::new();
    assert!(!tracker.has_completed(ms(0), 7));
    tracker.completed(ms(10), &[request(7)]);
    assert!(tracker.has_completed(ms(2_000), 7));
    assert!(!tracker.has_completed(ms(5_000), 7));
}

/// An endpoint that has started again is registered some time later. A request sent to it meanwhile
/// must count a crash of its own, but not one that was in flight during the first crash.
#[test]
fn identify_crash_before_registration() {
    let mut tracker = Tracker::new();
    let crash = record(7, 17).crash;
    assert_eq!(tracker.identify(&crash, ms(10)), crash);
    tracker.add(ms(50), &record(7, 17));
    assert_eq!(tracker.identify(&crash, ms(20)), crash);
    assert_eq!(tracker.identify(&crash, ms(100)).ordinal, 1);
}

/// The number of crashes that a part causes before it is quarantined.
const CRASHES: u64 = 3;

/// Adds crashes of requests with these parts, each with a fingerprint of its own.
fn crash_requests(tracker: &mut Tracker, from: u64, count: u64, parts: &[Feature]) {
    for number in from..from + count {
        let request = request(1_000 + number);
        for feature in parts.iter().chain([&request]) {
            let record = request_record(*feature, request.fingerprint, number);
            tracker.add(ms(number), &record);
        }
    }
}

/// No two requests are alike, so that only the part that they share recurs. Their first part is that
/// of sound requests too, and none of these has completed yet.
#[test]
fn find_quarantined_part_of_unlike_requests() {
    let mut tracker = Tracker::new();
    crash_requests(&mut tracker, 0, CRASHES, &[part(1, 0), part(2, 1)]);
    let crashing = [part(1, 0), part(2, 1), request(9)];
    assert_eq!(tracker.find_quarantined(&crashing), Some(part(2, 1)));
    assert_eq!(tracker.find_quarantined(&[part(1, 0), request(9)]), None);
}

/// The part that crashes endpoints comes before one that sound requests share too: it has more
/// crashes once requests without that other part have crashed endpoints.
#[test]
fn find_quarantined_part_before_a_shared_one() {
    let mut tracker = Tracker::new();
    crash_requests(&mut tracker, 0, CRASHES, &[part(2, 0), part(3, 1)]);
    crash_requests(&mut tracker, 10, 1, &[part(2, 0), part(4, 1)]);
    assert_eq!(tracker.find_quarantined(&[part(2, 0)]), Some(part(2, 0)));
    assert_eq!(tracker.find_quarantined(&[part(1, 0), part(3, 1)]), None);
}

#[test]
fn find_quarantined_two_parts_at_once() {
    let mut tracker = Tracker::new();
    for round in 0..CRASHES {
        crash_requests(&mut tracker, round * 10, 1, &[part(1, 0), part(2, 1)]);
        crash_requests(&mut tracker, round * 10 + 5, 1, &[part(1, 0), part(3, 1)]);
    }
    // The shared first part has all crashes until one of its requests completes.
    tracker.completed(ms(40), &[part(1, 0), request(9)]);
    let quarantined = tracker.quarantined();
    let quarantined = quarantined.iter().copied();
    assert_eq!(quarantined.collect::<Vec<_>>(), [2, 3]);
}

/// A whole zone is lost: the first part of most requests was in flight on each of its endpoints, but
/// has just completed.
#[test]
fn find_quarantined_lost_zone() {
    let mut tracker = Tracker::new();
    tracker.completed(ms(0), &[part(1, 0), request(9)]);
    for number in 0..20 {
        let features = [part(1, 0), part(100 + number, 1)];
        crash_requests(&mut tracker, number, 1, &features);
    }
    assert!(tracker.quarantined().is_empty());
}

/// Another gateway has seen the part complete.
#[test]
fn refutations_of_another_gateway() {
    let mut tracker = Tracker::new();
    let mut other = Tracker::new();
    other.completed(ms(0), &[part(1, 0), request(9)]);
    for tracker in [&mut tracker, &mut other] {
        crash_requests(tracker, 1, CRASHES, &[part(1, 0)]);
    }
    assert!(!tracker.quarantined().is_empty());
    assert!(other.quarantined().is_empty() && other.has_refutations());
    for record in other.refutations() {
        tracker.add(ms(9), &record);
        other.add(ms(9), &record);
    }
    assert!(tracker.quarantined().is_empty());
    assert!(!other.has_refutations());
}

/// A crash in the trial of a request with two suspected features would not show which of them is
/// harmless.
#[test]
fn available_trial_of_an_ambiguous_request() {
    let mut tracker = Tracker::new();
    crash_requests(&mut tracker, 0, CRASHES, &[part(1, 0), part(2, 1)]);
    crash_requests(&mut tracker, 10, 1, &[part(1, 0)]);
    // The first part has one crash more, and is taken for the cause.
    assert_eq!(tracker.find_quarantined(&[part(1, 0)]), Some(part(1, 0)));
    let now = ms(20_000);
    let crashing = [part(1, 0), part(2, 1), request(9)];
    assert_eq!(tracker.available_trial(now, &crashing), None);
    let sound = [part(1, 0), part(3, 1), request(9)];
    assert_eq!(tracker.available_trial(now, &sound), Some((1, 0)));
    tracker.completed(now, &sound);
    assert_eq!(tracker.find_quarantined(&crashing), Some(part(2, 1)));
    assert_eq!(tracker.find_quarantined(&sound), None);
}

/// A request that is repeated and unlike requests with one part crash the same endpoints. Neither must
/// be released because the other one explains its crashes.
#[test]
fn find_quarantined_in_flight_beside_another() {
    let mut tracker = Tracker::new();
    for number in 0..CRASHES {
        crash_requests(&mut tracker, number, 1, &[part(1, 0), part(2, 1)]);
        tracker.add(ms(number), &record(7, number));
    }
    tracker.add(ms(50), &record(7, 50));
    assert!(is_quarantined(&tracker, 7));
    assert_eq!(tracker.find_quarantined(&[part(2, 1)]), Some(part(2, 1)));
}

/// The store has lost the records of its last seconds. Those that it still lacks are written again, with
/// what was refuted.
#[test]
fn unstored_after_lost_records() {
    let mut tracker = quarantined();
    for number in 0..3 {
        tracker.stored(&record(7, number));
    }
    assert_eq!(tracker.unstored(), []);
    tracker.forget_stored();
    assert_eq!(tracker.unstored().len(), 3);
    tracker.stored(&record(7, 0));
    tracker.completed(ms(9), &[request(7)]);
    let unstored = tracker.unstored();
    assert_eq!(unstored.len(), 2);
    assert!(unstored.iter().all(|record| record.is_void));
}

/// Engines crash together, several times, and each of many gateways records the requests that it had in
/// flight. The work grew with the square of the records: gateways applied configurations seconds late.
#[test]
fn add_many_records_of_joint_crashes() {
    const GATEWAY_COUNT: u64 = 84;
    const ENGINE_COUNT: u64 = 12;
    const ROUND_COUNT: u64 = 3;
    const PART_COUNT: u64 = 40;
    // Within this time gateways must also apply what the records arrive beside, on a quarter of a core.
    const LIMIT: Duration = Duration::from_millis(500);
    let mut records = Vec::new();
    for round in 0..ROUND_COUNT {
        for engine in 0..ENGINE_COUNT {
            for gateway in 0..GATEWAY_COUNT {
                let request = 1_000 + (round * ENGINE_COUNT + engine) * GATEWAY_COUNT + gateway;
                let features = [
                    (gateway % PART_COUNT, Scope::Part(0)),
                    (100 + request % PART_COUNT, Scope::Part(1)),
                    (request, Scope::Request),
                ];
                records.extend(features.map(|(fingerprint, scope)| Record {
                    feature: Feature { fingerprint, scope },
                    crash: Crash {
                        endpoint: format!("e{engine}"),
                        started_ms: round,
                        ordinal: 0,
                    },
                    requests: BTreeSet::from([request]),
                    is_void: false,
                }));
            }
        }
    }
    let mut tracker = Tracker::new();
    let started = Instant::now();
    for (number, record) in records.iter().enumerate() {
        tracker.add(ms(number as u64), record);
    }
    let quarantined = tracker.quarantined().len();
    let elapsed = started.elapsed();
    assert!(quarantined > 0);
    assert!(
        elapsed < LIMIT,
        "{} records took {elapsed:?}",
        records.len()
    );
}

/// Many engines crash at the same time, and each gateway records the requests that it had in flight, and
/// later the completions of their features. A watcher that sends all records to its followers over a link
/// of 10 Mbit/s kept the configurations back for as long: it must be done within the 3 s in which these
/// must be in force.
#[test]
fn encode_records_of_many_crashes() {
    const GATEWAYS: u64 = 70;
    const ENGINES: u64 = 28;
    const REQUESTS_PER_ENGINE: u64 = 35;
    const FOLLOWERS: usize = 11;
    const BYTES_PER_SECOND: usize = 10_000_000 / 8;
    let fingerprint = |request: u64, position: u64| u64::MAX / 3 + request * 4 + position;
    let mut bytes = 0;
    for gateway in 0..GATEWAYS {
        for is_void in [false, true] {
            let mut records = Vec::new();
            for engine in 0..ENGINES {
                let requests = (0..REQUESTS_PER_ENGINE).map(|n| engine * REQUESTS_PER_ENGINE + n);
                for request in requests.filter(|request| request % GATEWAYS == gateway) {
                    let whole = fingerprint(request, 3);
                    records.extend((0..4).map(|position| Record {
                        feature: Feature {
                            fingerprint: fingerprint(request, position),
                            scope: if position == 3 {
                                Scope::Request
                            } else {
                                Scope::Part(position as usize)
                            },
                        },
                        crash: Crash {
                            endpoint: format!("i-{engine:010}"),
                            started_ms: 1_796_000_000_000 + engine,
                            ordinal: 0,
                        },
                        requests: BTreeSet::from([whole]),
                        is_void,
                    }));
                }
            }
            let encoded = encode(&records).unwrap();
            bytes += encoded.len();
            assert_eq!(decode(&encoded).unwrap().len(), records.len());
            for record in decode(&encoded).unwrap() {
                let sent = records
                    .iter()
                    .find(|sent| sent.feature == record.feature && sent.crash == record.crash);
                let mut sent = sent.unwrap().clone();
                if is_void {
                    sent.requests.clear();
                }
                assert_eq!(sent, record);
            }
        }
    }
    let took_s = (bytes * FOLLOWERS) as f64 / BYTES_PER_SECOND as f64;
    assert!(took_s < 3.0, "{bytes} bytes take {took_s:.1} s");
}
