//! A gateway must tell its own cut from endpoints that are down, also while its old connections live on.

use endivespur_core::gateway::reach::{Survey, Tracker};

use crate::ms;

/// One engine crashes: connections to others show that the links work.
#[test]
fn start_survey_while_links_work() {
    let mut tracker = Tracker::new();
    tracker.connected(ms(0), "e");
    assert!(tracker.has_evidence(ms(900)));
    assert!(!tracker.start_survey(ms(900)));
}

/// Many requests fail at the same time, and each would start a survey.
#[test]
fn start_survey_for_many_failures() {
    let mut tracker = Tracker::new();
    assert!(tracker.start_survey(ms(0)));
    let count = (1..1000)
        .filter(|now| tracker.start_survey(ms(*now)))
        .count();
    assert_eq!(count, 0);
    assert!(tracker.start_survey(ms(1000)));
}

#[test]
fn needs_forwarding_until_connected() {
    for survey in [Survey::CutOff, Survey::Unknown] {
        let mut tracker = Tracker::new();
        tracker.surveyed(ms(0), survey);
        assert!(tracker.needs_forwarding(ms(100), "e"));
        assert_eq!(tracker.is_cut_off(), survey == Survey::CutOff);
        tracker.connected(ms(500), "e");
        assert!(!tracker.needs_forwarding(ms(500), "e"));
        assert!(!tracker.is_cut_off());
    }
}

/// All engines crash together: a gateway must not take itself for cut off.
#[test]
fn is_cut_off_if_nobody_reaches_an_endpoint() {
    let mut tracker = Tracker::new();
    tracker.surveyed(ms(0), Survey::Unknown);
    assert!(!tracker.is_cut_off());
}

/// Only the links to some endpoints are cut: connections to others show nothing about them.
#[test]
fn needs_forwarding_to_some_endpoints() {
    let mut tracker = Tracker::new();
    tracker.connected(ms(0), "f");
    assert!(tracker.start_question(ms(100), "e"));
    assert!(!tracker.start_question(ms(200), "e"));
    tracker.bypass(ms(100), "e");
    assert!(tracker.needs_forwarding(ms(2_000), "e"));
    assert!(!tracker.needs_forwarding(ms(2_000), "f"));
    // The link is tried again, but the endpoint has another owner until it works.
    assert!(!tracker.needs_forwarding(ms(2_100), "e"));
    assert!(tracker.is_unreached("e"));
    tracker.connected(ms(2_100), "e");
    assert!(!tracker.is_unreached("e"));
}

/// The cut ends during a survey.
#[test]
fn surveyed_after_connection() {
    let mut tracker = Tracker::new();
    tracker.connected(ms(100), "e");
    tracker.surveyed(ms(50), Survey::CutOff);
    assert!(!tracker.has_failed());
}
