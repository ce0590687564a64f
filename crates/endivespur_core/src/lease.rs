//! What a node may do with the endpoints it owns, given its lease and its peers' promises.

use std::time::Duration;

use crate::clock::{self, Time};

/// The share of a lease's time to live that is used, because clocks run at different rates.
const TRUSTED_TTL_SHARE: f64 = 0.9;
/// The time without an answer of the store after which the peers' promises are requested.
pub const STORE_SILENCE: Duration = Duration::from_millis(1500);
/// How long a node promises not to take over endpoints; less than the takeover margin.
pub const PROMISE_DURATION: Duration = Duration::from_millis(1500);

/// What an owner may do at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The lease is valid: grants, loads and evictions.
    Full,
    /// The store is unavailable to every peer, so no node can take over: grants only on
    /// adapters that are loaded.
    Frozen,
    /// Another node may own the endpoint: no actions.
    Lapsed,
}

/// The times that determine a node's authority.
#[derive(Clone, Debug)]
pub struct Lease {
    ttl: Duration,
    valid_until: Time,
    /// Until when every peer has promised not to take over endpoints.
    peers_promised_until: Time,
    /// Until when this node has promised not to take over endpoints.
    no_claims_until: Time,
    last_store_answer: Time,
}

impl Lease {
    /// Creates the state of a node without a lease.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            valid_until: Time::ZERO,
            peers_promised_until: Time::ZERO,
            no_claims_until: Time::ZERO,
            last_store_answer: Time::ZERO,
        }
    }

    /// Records that a renewal, sent at `sent`, was answered at `now`.
    pub fn renewed(&mut self, sent: Time, now: Time) {
        self.valid_until = sent + clock::scale(self.ttl, TRUSTED_TTL_SHARE);
        self.last_store_answer = now;
    }

    /// Records that the lease has expired or was revoked.
    pub fn lapsed(&mut self) {
        self.valid_until = Time::ZERO;
        self.peers_promised_until = Time::ZERO;
    }

    /// Records that the store has answered.
    pub fn store_answered(&mut self, now: Time) {
        self.last_store_answer = now;
    }

    /// Returns whether the store has not answered for [`STORE_SILENCE`].
    pub fn is_silent(&self, now: Time) -> bool {
        self.last_store_answer + STORE_SILENCE <= now
    }

    /// Records that every peer has promised not to take over endpoints; the promises were
    /// requested at `requested_at` or later.
    pub fn promised(&mut self, requested_at: Time) {
        self.peers_promised_until = requested_at + PROMISE_DURATION;
    }

    /// Promises a peer not to take over endpoints, unless the store answers this node.
    ///
    /// Returns how long the promise holds, zero if it is not made.
    pub fn promise(&mut self, now: Time) -> Duration {
        if !self.is_silent(now) {
            return Duration::ZERO;
        }
        self.no_claims_until = now + PROMISE_DURATION;
        PROMISE_DURATION
    }

    /// Returns what the node may do with its endpoints.
    pub fn authority(&self, now: Time) -> Authority {
        if now < self.valid_until {
            Authority::Full
        } else if now < self.peers_promised_until {
            Authority::Frozen
        } else {
            Authority::Lapsed
        }
    }

    /// Returns whether the node may claim endpoints.
    pub fn may_claim(&self, now: Time) -> bool {
        now < self.valid_until && now > self.no_claims_until
    }
}
