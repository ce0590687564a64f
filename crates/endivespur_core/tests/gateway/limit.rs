//! One gateway gives out the tokens of an endpoint that names a limit, to gateways that come and go.

use assert_matches::assert_matches;
use endivespur_core::gateway::endpoint::Responder;
use endivespur_core::gateway::limit::{Decision, Limit, Tracker};

use crate::ms;

fn limit(rate: f64, named_at: u64) -> Limit {
    Limit {
        rate,
        named_at: ms(named_at),
    }
}

/// Returns the responder of one start to a request that was addressed by the registration of another.
fn responder(started_ms: u64, registered_ms: u64) -> Responder {
    Responder::new(registered_ms, Some(started_ms))
}

/// Asks for a token each 10 ms, and returns the number of tokens given out.
fn count_tokens(tracker: &mut Tracker, from: u64, to: u64, limit: Limit) -> usize {
    let times = (from..to).step_by(10);
    let granted = times.filter(|now| tracker.decide(ms(*now), "e", limit) == Decision::Granted);
    granted.count()
}

#[test]
fn decide_keeps_to_the_rate() {
    for rate in [0.5, 1.0, 3.0, 40.0] {
        let mut tracker = Tracker::new();
        let count = count_tokens(&mut tracker, 0, 10_000, limit(rate, 0));
        let permitted = (10.0 * rate) as usize;
        assert!(count <= permitted, "{count} tokens at {rate}");
        assert!(count + 2 >= permitted * 9 / 10, "{count} tokens at {rate}");
    }
}

/// After an idle time, or a suspension of the gateway, tokens must not have added up.
#[test]
fn decide_after_idle_time() {
    let mut tracker = Tracker::new();
    count_tokens(&mut tracker, 0, 1_000, limit(1.0, 0));
    let count = count_tokens(&mut tracker, 60_000, 60_500, limit(1.0, 0));
    assert_eq!(count, 1);
}

/// A gateway that takes over starts without tokens: its predecessor may have just given some out.
#[test]
fn decide_as_successor() {
    let mut tracker = Tracker::new();
    assert_matches!(tracker.decide(ms(0), "e", limit(1.0, 0)), Decision::Wait(_));
}

/// A gateway with an older value must not undo a newer one.
#[test]
fn decide_by_the_newest_rate() {
    let mut tracker = Tracker::new();
    tracker.decide(ms(0), "e", limit(1.0, 0));
    let low = count_tokens(&mut tracker, 0, 4_000, limit(1.0, 0));
    tracker.decide(ms(4_000), "e", limit(0.25, 4_000));
    let lower = count_tokens(&mut tracker, 4_000, 8_000, limit(1.0, 0));
    assert!(lower < low, "{lower} tokens after {low}");
}

/// The endpoint says in its responses when it takes more, so that it must get a request now and then.
#[test]
fn decide_limit_of_zero() {
    let mut tracker = Tracker::new();
    assert_eq!(count_tokens(&mut tracker, 0, 60_000, limit(0.0, 0)), 5);
}

#[test]
fn decide_after_the_end_of_the_limit() {
    let mut tracker = Tracker::new();
    tracker.ended(ms(5_000), "e");
    let decision = tracker.decide(ms(5_100), "e", limit(1.0, 4_000));
    assert_eq!(decision, Decision::Unlimited);
    let named_again = tracker.decide(ms(7_000), "e", limit(1.0, 6_000));
    assert_matches!(named_again, Decision::Wait(_));
}

/// A response whose request was sent before the limit was named may arrive after it.
#[test]
fn record_response_overtaken() {
    let mut tracker = Tracker::new();
    assert!(tracker.record_response(ms(100), "e", ms(50), Some(2.0)));
    assert!(!tracker.record_response(ms(110), "e", ms(40), None));
    assert!(tracker.limit("e").is_some());
    assert!(!tracker.record_response(ms(120), "e", ms(60), Some(2.0)));
    assert!(tracker.record_response(ms(300), "e", ms(200), None));
    assert!(tracker.limit("e").is_none());
}

#[test]
fn take_unused_until_it_is_invalid() {
    let mut tracker = Tracker::new();
    let valid_until = Tracker::valid_until(ms(0));
    tracker.keep_unused("e", valid_until);
    tracker.keep_unused("e", valid_until);
    assert_eq!(tracker.take_unused(ms(100), "e"), Some(valid_until));
    assert_eq!(tracker.take_unused(ms(2_000), "e"), None);
}

#[test]
fn wait_until_the_next_token() {
    let mut tracker = Tracker::new();
    tracker.exhausted("e", ms(900));
    assert_eq!(tracker.wait(ms(400), "e"), Some(ms(500)));
    assert_eq!(tracker.wait(ms(900), "e"), None);
}

/// Responses overtake each other: a shorter rest must not end a longer one.
#[test]
fn record_rest_overlapping() {
    let mut tracker = Tracker::new();
    tracker.record_rest(ms(100), "e", responder(7, 7), ms(3_000));
    tracker.record_rest(ms(200), "e", responder(7, 7), ms(500));
    assert_eq!(tracker.rest_left(ms(1_100), "e", 7), Some(ms(2_000)));
    tracker.record_rest(ms(1_100), "e", responder(7, 7), ms(4_000));
    assert_eq!(tracker.rest_left(ms(1_100), "e", 7), Some(ms(4_000)));
    assert_eq!(tracker.rest_left(ms(5_100), "e", 7), None);
}

/// A restart ends the rest, also if the last response of the former process arrives after it.
#[test]
fn record_rest_of_a_former_process() {
    let mut tracker = Tracker::new();
    tracker.record_rest(ms(100), "e", responder(7, 7), ms(3_000));
    assert_eq!(tracker.rest_left(ms(200), "e", 9), None);
    tracker.record_rest(ms(300), "e", responder(9, 9), ms(400));
    tracker.record_rest(ms(310), "e", responder(7, 9), ms(3_000));
    assert_eq!(tracker.rest_left(ms(400), "e", 9), Some(ms(300)));
}

/// A new process asked for rest before its registration arrived: the rest was filed under the former process, and ended
/// with the registration.
#[test]
fn record_rest_before_its_registration() {
    let mut tracker = Tracker::new();
    tracker.record_rest(ms(100), "e", responder(9, 7), ms(3_000));
    assert_eq!(tracker.rest_left(ms(200), "e", 7), Some(ms(2_900)));
    assert_eq!(tracker.rest_left(ms(200), "e", 9), Some(ms(2_900)));
    assert_eq!(tracker.rest_left(ms(200), "e", 11), None);
    // The registration of the process after it was known when a former one's response arrived.
    tracker.record_rest(ms(300), "f", responder(7, 9), ms(3_000));
    assert_eq!(tracker.rest_left(ms(400), "f", 9), None);
}
