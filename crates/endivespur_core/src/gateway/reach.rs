//! Whether this gateway's own links to endpoints work.
//!
//! A failed connection does not tell an endpoint that is down from a link that is cut. Other gateways do: an
//! endpoint that they reach is bypassed, so that they forward its requests. If no connection to any endpoint
//! was established recently, a survey connects to several, and all requests are forwarded if none is reached.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Endpoint;

/// How long a connection that was established shows that the links work.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);
/// The minimum time between two surveys while the links work: each opens a connection to an endpoint.
const SURVEY_INTERVAL: Duration = Duration::from_secs(1);

/// How long the requests of an endpoint are forwarded before its link is tried again.
const BYPASS_TIME: Duration = Duration::from_secs(2);
/// The minimum time between two questions to other gateways whether they reach an endpoint.
const QUESTION_INTERVAL: Duration = Duration::from_secs(1);

/// What a gateway says about its link to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The endpoint accepts connections.
    Reached,
    /// The endpoint does not accept connections, and others do.
    Unreached,
    /// The gateway may be cut off itself.
    Unknown,
}

/// The result of a survey.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Survey {
    /// An endpoint was reached.
    Reached,
    /// No endpoint was reached, but another gateway reaches one.
    CutOff,
    /// No endpoint was reached, and no other gateway is known to reach one.
    Unknown,
}

/// What is known about the links.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// When a connection to an endpoint was last established.
    connected_at: Option<Time>,
    /// When the last survey started.
    surveyed_at: Option<Time>,
    /// The result of the last survey, unless a connection was established since it started.
    failed: Option<Survey>,
    /// The endpoints that other gateways reach and this one does not, with the time until which their
    /// requests are forwarded.
    bypassed: BTreeMap<Endpoint, Time>,
    /// When other gateways were last asked for an endpoint.
    asked_at: BTreeMap<Endpoint, Time>,
}

impl Tracker {
    /// Creates a tracker that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a connection to an endpoint was established.
    pub fn connected(&mut self, now: Time, endpoint: &str) {
        self.connected_at = Some(now);
        self.failed = None;
        self.bypassed.remove(endpoint);
    }

    /// Records that another gateway reaches an endpoint, and this one does not.
    pub fn bypass(&mut self, now: Time, endpoint: &str) {
        let until = now + BYPASS_TIME;
        self.bypassed.insert(endpoint.to_string(), until);
    }

    /// Records that another gateway does not reach an endpoint either.
    pub fn end_bypass(&mut self, endpoint: &str) {
        self.bypassed.remove(endpoint);
    }

    /// Returns whether an endpoint was bypassed when its link was last tried.
    pub fn was_bypassed(&self, endpoint: &str) -> bool {
        self.bypassed.contains_key(endpoint)
    }

    /// Returns whether other gateways should be asked for an endpoint to which a connection has failed.
    pub fn start_question(&mut self, now: Time, endpoint: &str) -> bool {
        let asked_at = self.asked_at.get(endpoint);
        let is_due = asked_at.is_none_or(|at| now.saturating_sub(*at) >= QUESTION_INTERVAL);
        if is_due {
            self.asked_at.insert(endpoint.to_string(), now);
        }
        is_due
    }

    /// Removes the endpoints for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.bypassed.retain(|endpoint, _| keep(endpoint));
        self.asked_at.retain(|endpoint, _| keep(endpoint));
    }

    /// Returns whether a connection was established so recently that the links work.
    pub fn has_evidence(&self, now: Time) -> bool {
        self.connected_at
            .is_some_and(|at| now.saturating_sub(at) < EVIDENCE_TIME)
    }

    /// Starts a survey if one is due after a connection or a response has failed; returns whether it
    /// is.
    pub fn start_survey(&mut self, now: Time) -> bool {
        let is_recent = self
            .surveyed_at
            .is_some_and(|at| now.saturating_sub(at) < SURVEY_INTERVAL);
        let is_due = !is_recent && !self.has_evidence(now);
        if is_due {
            self.surveyed_at = Some(now);
        }
        is_due
    }

    /// Records the result of a survey that started at `started`.
    pub fn surveyed(&mut self, started: Time, survey: Survey) {
        let is_outdated = self.connected_at.is_some_and(|at| at >= started);
        if survey != Survey::Reached && !is_outdated {
            self.failed = Some(survey);
        }
    }

    /// Returns whether this gateway reaches no endpoint.
    pub fn has_failed(&self) -> bool {
        self.failed.is_some()
    }

    /// Returns whether the requests of an endpoint should be forwarded by other gateways.
    pub fn needs_forwarding(&self, now: Time, endpoint: &str) -> bool {
        self.has_failed()
            || self
                .bypassed
                .get(endpoint)
                .is_some_and(|until| now < *until)
    }

    /// Returns whether this gateway reaches no endpoint, and others do.
    pub fn is_cut_off(&self) -> bool {
        self.failed == Some(Survey::CutOff)
    }

    /// Returns whether another gateway should send the orders of an endpoint.
    pub fn is_unreached(&self, endpoint: &str) -> bool {
        self.is_cut_off() || self.was_bypassed(endpoint)
    }
}
