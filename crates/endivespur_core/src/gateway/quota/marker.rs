//! When a gateway writes and renews its marker in the store.
//!
//! The marker outlasts a restart. While it exists, the gateway is a member for quotas ([`super::members`]), and no other
//! gateway can have begun to lend the shards that it keeps: the next process goes on with them ([`Tracker::resume`]).

use std::time::Duration;

use super::tracker::Tracker;
use crate::clock::Time;
use crate::hash;

/// The time to live of the marker's lease. 1.4 s without power and a start take less, also after a late renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(5);
/// The time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);
/// The pause after a failed call, and between two checks whether all shards are lent.
const PAUSE: Duration = Duration::from_millis(200);
/// The pause after a failed call while there is no marker that could lapse.
const LAPSED_PAUSE: Duration = Duration::from_millis(800);

/// How long the number of members must differ from that in the marker before the marker is written again, and the time over
/// which the gateways spread these writes: each reaches all gateways.
const REWRITE_DELAY: Duration = Duration::from_secs(10);
const REWRITE_SPREAD_MS: u64 = 50_000;
/// One in this many members may be missing or new.
const TOLERANCE: usize = 64;

/// Returns whether a number of members is that in a marker, or nearly so.
pub fn is_near(members: usize, written: usize) -> bool {
    members.abs_diff(written) <= written / TOLERANCE
}

/// What is to be done next for the marker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing until the configuration changes: no team has a quota.
    Rest,
    /// Nothing for this time.
    Wait(Duration),
    /// Look for the marker of the former process, and replace it if it exists.
    Find,
    /// Write the marker with the number of members under a new lease.
    Write,
    /// Write the marker with the changed number of members under its lease.
    Rewrite,
    /// Renew the marker's lease.
    Renew,
}

/// The marker of one process.
#[derive(Clone, Debug)]
pub struct Marker {
    /// Whether there may be a marker of a former process, or of this one after a call without a response.
    is_sought: bool,
    /// When the lease was granted or last renewed; `None` while this process has none.
    renewed_at: Option<Time>,
    /// The number of members that the marker names, and since when it has been another one.
    members: usize,
    differs_from: Option<Time>,
    rewrite_delay: Duration,
    retry_at: Time,
}

impl Marker {
    /// Creates the state of a process that starts now. No process ran before at the first start of the whole system.
    pub fn new(vm: &str, is_first_start: bool) -> Self {
        let spread = Duration::from_millis(hash::mix(vm, 0) % REWRITE_SPREAD_MS);
        Self {
            is_sought: !is_first_start,
            renewed_at: None,
            members: 0,
            differs_from: None,
            rewrite_delay: REWRITE_DELAY + spread,
            retry_at: Time::ZERO,
        }
    }

    /// Returns what is to be done now, given the quotas at this gateway.
    pub fn next(&mut self, now: Time, tracker: &Tracker) -> Step {
        if tracker.is_empty() {
            // A process that runs without quotas lends new ones at once, and what it had is left to expire.
            self.is_sought &= tracker.version().is_none();
            self.renewed_at = None;
            return Step::Rest;
        }
        if now < self.retry_at {
            return Step::Wait(self.retry_at.saturating_sub(now));
        }
        if is_near(tracker.member_count(), self.members) {
            self.differs_from = None;
        } else {
            self.differs_from.get_or_insert(now);
        }
        let differs_from = self.differs_from;
        let is_outdated = differs_from.is_some_and(|from| from + self.rewrite_delay <= now);
        match self.renewed_at {
            _ if self.is_sought => Step::Find,
            Some(_) if is_outdated && tracker.lends_all(now) => Step::Rewrite,
            Some(at) if now < at + RENEW_INTERVAL => {
                Step::Wait((at + RENEW_INTERVAL).saturating_sub(now))
            }
            Some(_) => Step::Renew,
            None if tracker.lends_all(now) => Step::Write,
            None => Step::Wait(PAUSE),
        }
    }

    /// Records that there is no marker of a former process.
    pub fn missed(&mut self) {
        self.is_sought = false;
    }

    /// Returns whether this process has written its marker, which has not lapsed as far as it knows.
    pub fn is_held(&self) -> bool {
        self.renewed_at.is_some()
    }

    /// Records that it is not known whether the marker was written again.
    pub fn seek(&mut self) {
        self.is_sought = true;
    }

    /// Records that the marker was written with another number of members under its lease.
    pub fn rewritten(&mut self, members: usize) {
        self.members = members;
    }

    /// Records that the marker was written with a number of members, under a lease that was requested at `sent`.
    pub fn written(&mut self, sent: Time, members: usize) {
        self.is_sought = false;
        self.members = members;
        self.renewed(sent);
    }

    /// Records that the lease was renewed by a call that was sent at `sent`.
    pub fn renewed(&mut self, sent: Time) {
        self.renewed_at = Some(sent);
    }

    /// Records that the marker's lease has ended.
    pub fn lapsed(&mut self) {
        self.is_sought = false;
        self.renewed_at = None;
    }

    /// Records that the store responds again: what failed may be tried at once.
    pub fn store_regained(&mut self) {
        self.retry_at = Time::ZERO;
    }

    /// Records that a call failed.
    pub fn failed(&mut self, now: Time) {
        let is_held = self.renewed_at.is_some_and(|at| now < at + LEASE_TTL);
        let pause = if self.is_sought || is_held {
            PAUSE
        } else {
            LAPSED_PAUSE
        };
        self.retry_at = now + pause;
    }
}
