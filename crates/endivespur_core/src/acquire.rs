//! The search for a grant: which endpoint is tried next, and when the search ends.

use std::time::Duration;

use crate::clock::Time;
use crate::id::Endpoint;
use crate::owner::{Reason, Refusal};

/// The maximum number of endpoints that are tried before a request waits at one.
pub const MAX_CANDIDATES: usize = 12;
/// The pause before endpoints that all refused are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The next step of an entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Requests a grant from the owner of an endpoint.
    Request {
        /// The endpoint.
        endpoint: Endpoint,
        /// Whether the request waits even if no slot can be freed.
        wait_if_busy: bool,
    },
    /// Pauses; then a new search over the endpoints permitted at that time starts.
    Pause(Duration),
    /// Ends the search; the request did not run.
    Refuse(Refusal),
}

/// The state of a search.
#[derive(Clone, Debug)]
pub struct Search {
    candidates: Vec<Endpoint>,
    next_candidate: usize,
    /// The first endpoint that refused as busy; the request waits there if all refuse.
    first_busy: Option<Endpoint>,
    /// Whether the request was sent to the first busy endpoint again, to wait there.
    has_waited: bool,
    last_refusal: Refusal,
    deadline: Time,
}

impl Search {
    /// Creates a search that tries `candidates` in order.
    pub fn new(candidates: Vec<Endpoint>, deadline: Time) -> Self {
        Self {
            candidates,
            next_candidate: 0,
            first_busy: None,
            has_waited: false,
            last_refusal: Refusal::not_owner(),
            deadline,
        }
    }

    /// Returns the next step.
    pub fn step(&mut self, now: Time) -> Step {
        if self.last_refusal.reason == Reason::Backlog {
            return Step::Refuse(self.last_refusal);
        }
        if self.last_refusal.reason == Reason::Deadline || now >= self.deadline {
            return Step::Refuse(Refusal {
                reason: Reason::Deadline,
                ..self.last_refusal
            });
        }
        if let Some(endpoint) = self.candidates.get(self.next_candidate).cloned() {
            self.next_candidate += 1;
            return Step::Request {
                endpoint,
                wait_if_busy: false,
            };
        }
        if let Some(endpoint) = self.first_busy.take() {
            self.has_waited = true;
            return Step::Request {
                endpoint,
                wait_if_busy: true,
            };
        }
        let is_transient = matches!(
            self.last_refusal.reason,
            Reason::NotOwner | Reason::Draining | Reason::Busy
        );
        if is_transient && now + RETRY_PAUSE < self.deadline {
            return Step::Pause(RETRY_PAUSE);
        }
        Step::Refuse(self.last_refusal)
    }

    /// Records that the endpoint tried last refused, or could not be reached.
    pub fn refused(&mut self, refusal: Refusal) {
        let last_tried = self
            .next_candidate
            .checked_sub(1)
            .and_then(|i| self.candidates.get(i));
        if refusal.reason == Reason::Busy && !self.has_waited && self.first_busy.is_none() {
            self.first_busy = last_tried.cloned();
        }
        self.last_refusal = refusal;
    }
}
