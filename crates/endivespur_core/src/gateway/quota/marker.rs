//! When a gateway writes and renews its marker in the store.
//!
//! The marker outlasts a restart. While it exists, the gateway is a member for quotas ([`super::members`]), and no other
//! gateway can have begun to lend the shards that it keeps: the next process goes on with them ([`Tracker::resume`]).

use std::time::Duration;

use super::tracker::Tracker;
use crate::clock::Time;

/// The time to live of the marker's lease. 1.4 s without power and a start take less, also after a late renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(5);
/// The time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);
/// The pause after a failed call, and between two checks whether all shards are lent.
const PAUSE: Duration = Duration::from_millis(200);
/// The pause after a failed call while there is no marker that could lapse.
const LAPSED_PAUSE: Duration = Duration::from_millis(800);

/// What is to be done next for the marker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing until the configuration changes: no team has a quota.
    Rest,
    /// Nothing for this time.
    Wait(Duration),
    /// Look for the marker of the former process, and replace it if it exists.
    Find,
    /// Write the marker under a new lease.
    Write,
    /// Renew the marker's lease.
    Renew,
}

/// The marker of one process.
#[derive(Clone, Debug)]
pub struct Marker {
    /// Whether there may be a marker of a former process.
    may_have_former: bool,
    /// When the lease was granted or last renewed; `None` while this process has none.
    renewed_at: Option<Time>,
    retry_at: Time,
}

impl Marker {
    /// Creates the state of a process that starts now. No process ran before at the first start of the whole system.
    pub fn new(is_first_start: bool) -> Self {
        Self {
            may_have_former: !is_first_start,
            renewed_at: None,
            retry_at: Time::ZERO,
        }
    }

    /// Returns what is to be done now, given the quotas at this gateway.
    pub fn next(&mut self, now: Time, tracker: &Tracker) -> Step {
        if tracker.is_empty() {
            // A process that runs without quotas lends new ones at once, and what it had is left to expire.
            self.may_have_former &= tracker.version().is_none();
            self.renewed_at = None;
            return Step::Rest;
        }
        if now < self.retry_at {
            return Step::Wait(self.retry_at.saturating_sub(now));
        }
        match self.renewed_at {
            _ if self.may_have_former => Step::Find,
            Some(at) if now < at + RENEW_INTERVAL => {
                Step::Wait((at + RENEW_INTERVAL).saturating_sub(now))
            }
            Some(_) => Step::Renew,
            None if tracker.lends_all(now) => Step::Write,
            None => Step::Wait(PAUSE),
        }
    }

    /// Records that the marker of a former process does not exist, or no longer.
    pub fn missed(&mut self) {
        self.may_have_former = false;
    }

    /// Records that the marker is in the store, by a call that was sent at `sent`.
    pub fn renewed(&mut self, sent: Time) {
        self.may_have_former = false;
        self.renewed_at = Some(sent);
    }

    /// Records that the marker's lease has ended.
    pub fn lapsed(&mut self) {
        self.renewed_at = None;
    }

    /// Records that a call failed.
    pub fn failed(&mut self, now: Time) {
        let is_held = self.renewed_at.is_some_and(|at| now < at + LEASE_TTL);
        let pause = if self.may_have_former || is_held {
            PAUSE
        } else {
            LAPSED_PAUSE
        };
        self.retry_at = now + pause;
    }
}
