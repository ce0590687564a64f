//! Whether this gateway's own links to endpoints work.
//!
//! A failed connection does not tell an endpoint that is down from a link that is cut. Connections to other
//! endpoints do: if one was established recently, the links work. Otherwise a survey connects to several
//! endpoints, and asks other gateways which of them they reach.

use std::time::Duration;

use crate::clock::Time;

/// How long a connection that was established shows that the links work.
const EVIDENCE_TIME: Duration = Duration::from_secs(1);
/// The minimum time between two surveys while the links work: each opens a connection to an endpoint.
const SURVEY_INTERVAL: Duration = Duration::from_secs(1);

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
}

impl Tracker {
    /// Creates a tracker that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a connection to an endpoint was established.
    pub fn connected(&mut self, now: Time) {
        self.connected_at = Some(now);
        self.failed = None;
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

    /// Returns whether requests should be forwarded by other gateways, as this one reaches no endpoint.
    pub fn needs_forwarding(&self) -> bool {
        self.failed.is_some()
    }

    /// Returns whether only this gateway's links have failed.
    pub fn is_cut_off(&self) -> bool {
        self.failed == Some(Survey::CutOff)
    }
}
