//! The search for a grant: which endpoint is asked next, and when to give up.

use std::time::Duration;

use crate::clock::Time;
use crate::id::Endpoint;
use crate::owner::{Reason, Refusal};

/// The most endpoints that are asked before a request waits at one.
pub const MAX_CANDIDATES: usize = 12;
/// The pause before endpoints that took nothing are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What an entry does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Asks the owner of an endpoint; a patient ask waits where no slot can be freed.
    Request {
        /// The endpoint.
        endpoint: Endpoint,
        /// Whether to wait.
        patient: bool,
    },
    /// Pauses, then starts anew with the endpoints that are permitted then.
    Pause(Duration),
    /// Gives up; the request did not run.
    Refuse(Refusal),
}

/// The state of a search.
#[derive(Clone, Debug)]
pub struct Search {
    candidates: Vec<Endpoint>,
    next: usize,
    room: Option<Endpoint>,
    waited: bool,
    last: Refusal,
    deadline: Time,
}

impl Search {
    /// Makes a search over endpoints in the order in which they are asked.
    pub fn new(candidates: Vec<Endpoint>, deadline: Time) -> Self {
        Self {
            candidates,
            next: 0,
            room: None,
            waited: false,
            last: Refusal::not_owner(),
            deadline,
        }
    }

    /// Returns the next step.
    pub fn step(&mut self, now: Time) -> Step {
        if self.last.reason == Reason::Backlog {
            return Step::Refuse(self.last);
        }
        if self.last.reason == Reason::Deadline || now >= self.deadline {
            return Step::Refuse(Refusal {
                reason: Reason::Deadline,
                ..self.last
            });
        }
        if let Some(endpoint) = self.candidates.get(self.next).cloned() {
            self.next += 1;
            return Step::Request {
                endpoint,
                patient: false,
            };
        }
        if let Some(endpoint) = self.room.take() {
            self.waited = true;
            return Step::Request {
                endpoint,
                patient: true,
            };
        }
        let passing = matches!(
            self.last.reason,
            Reason::NotOwner | Reason::Leaving | Reason::Busy
        );
        if passing && now + RETRY_PAUSE < self.deadline {
            return Step::Pause(RETRY_PAUSE);
        }
        Step::Refuse(self.last)
    }

    /// Notes that the endpoint asked last refused, or could not be asked.
    pub fn refused(&mut self, refusal: Refusal) {
        let asked = self
            .next
            .checked_sub(1)
            .and_then(|i| self.candidates.get(i));
        if refusal.reason == Reason::Busy && !self.waited && self.room.is_none() {
            self.room = asked.cloned();
        }
        self.last = refusal;
    }
}
