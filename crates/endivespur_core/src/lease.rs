//! What a node may do with the endpoints it owns, by its lease and its peers' promises.

use std::time::Duration;

use crate::clock::Time;

/// The part of a lease that is relied on, because clocks run at different rates.
const TRUSTED_TTL_SHARE: f64 = 0.9;
/// The silence of the store after which peers are asked.
pub const STORE_SILENCE: Duration = Duration::from_millis(1500);
/// For how long a node promises to take nothing over; less than a takeover's margin.
pub const PROMISE_DURATION: Duration = Duration::from_millis(1500);

/// What an owner may do at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The lease holds: grants, loads and evictions.
    Full,
    /// The store is out for every peer, so nobody can take over: grants on what is loaded.
    Frozen,
    /// Another node may own the endpoint: nothing.
    Lapsed,
}

/// The times that a node's authority rests on.
#[derive(Clone, Debug)]
pub struct Lease {
    ttl: Duration,
    valid_until: Time,
    promised: Time,
    bound_until: Time,
    last_store_answer: Time,
}

impl Lease {
    /// Makes the state of a node without a lease.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            valid_until: Time::ZERO,
            promised: Time::ZERO,
            bound_until: Time::ZERO,
            last_store_answer: Time::ZERO,
        }
    }

    /// Notes that a renewal, sent at `sent`, was answered at `now`.
    pub fn renewed(&mut self, sent: Time, now: Time) {
        self.valid_until = sent + self.ttl.mul_f64(TRUSTED_TTL_SHARE);
        self.last_store_answer = now;
    }

    /// Notes that the lease has lapsed or was given back.
    pub fn lapsed(&mut self) {
        self.valid_until = Time::ZERO;
        self.promised = Time::ZERO;
    }

    /// Notes that the store has answered.
    pub fn store_answered(&mut self, now: Time) {
        self.last_store_answer = now;
    }

    /// Tells whether the store has been silent for long.
    pub fn is_silent(&self, now: Time) -> bool {
        self.last_store_answer + STORE_SILENCE <= now
    }

    /// Notes that each peer, asked at `asked` or later, has promised to take nothing over.
    pub fn promised(&mut self, asked: Time) {
        self.promised = asked + PROMISE_DURATION;
    }

    /// Promises a peer to take nothing over, unless the store answers this node.
    pub fn promise(&mut self, now: Time) -> Duration {
        if !self.is_silent(now) {
            return Duration::ZERO;
        }
        self.bound_until = now + PROMISE_DURATION;
        PROMISE_DURATION
    }

    /// Returns what the node may do with its endpoints.
    pub fn authority(&self, now: Time) -> Authority {
        if now < self.valid_until {
            Authority::Full
        } else if now < self.promised {
            Authority::Frozen
        } else {
            Authority::Lapsed
        }
    }

    /// Tells whether the node may claim endpoints.
    pub fn may_claim(&self, now: Time) -> bool {
        now < self.valid_until && now > self.bound_until
    }
}
