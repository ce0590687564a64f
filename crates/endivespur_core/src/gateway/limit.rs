//! The request rates that endpoints ask all gateways together to keep to, and the rests that they ask single
//! gateways for.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::{self, Time};
use crate::gateway::endpoint::Responder;
use crate::id::Endpoint;

/// The lowest rate at which requests are sent: the endpoint says in its responses when it takes more.
const MIN_RATE: Rate = 0.1;
/// The time whose requests may be sent at once.
const BURST_TIME: Duration = Duration::from_millis(200);
/// How long a token may be kept for another request.
const TOKEN_TIME: Duration = Duration::from_millis(500);

/// Requests a second.
pub type Rate = f64;

/// A limit that an endpoint has named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The requests a second that the endpoint takes from all gateways together.
    pub rate: Rate,
    /// When a response last named it.
    pub named_at: Time,
}

/// The time in which one incarnation of an endpoint wants no requests from this gateway.
#[derive(Clone, Copy, Debug)]
struct Rest {
    responder: Responder,
    until: Time,
}

/// The tokens of one endpoint, each for one request.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    limit: Limit,
    tokens: f64,
    updated_at: Time,
}

impl Bucket {
    /// Creates an empty bucket: another gateway may have given out tokens before.
    fn new(now: Time, limit: Limit) -> Self {
        Self {
            limit,
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Takes a token, or returns the time until the next one.
    fn take(&mut self, now: Time) -> Result<(), Duration> {
        let rate = self.limit.rate.max(MIN_RATE);
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.updated_at = now;
        if self.tokens < 1.0 {
            return Err(clock::from_secs((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// The answer to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// One request may be sent.
    Granted,
    /// The next token is available after this time.
    Wait(Duration),
    /// The endpoint no longer has a limit.
    Unlimited,
}

/// The limits that endpoints have named to this gateway, and the tokens that it gives out to all
/// gateways for the endpoints assigned to it.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    limits: BTreeMap<Endpoint, Limit>,
    /// The tokens that were not used yet, by the time until which they are valid.
    tokens: BTreeMap<Endpoint, Vec<Time>>,
    /// The time until which there is no token for this gateway.
    exhausted_until: BTreeMap<Endpoint, Time>,
    /// The rests that endpoints have asked this gateway for.
    rests: BTreeMap<Endpoint, Rest>,
    /// The tokens that this gateway gives out.
    buckets: BTreeMap<Endpoint, Bucket>,
    /// When another gateway reported that an endpoint no longer names a limit.
    ended: BTreeMap<Endpoint, Time>,
}

impl Tracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the limit that a response names, or that it names none; returns whether the limit
    /// has changed.
    ///
    /// Responses may overtake each other: one without a limit ends the limit only if its request was
    /// sent after the limit was last named.
    pub fn record_response(
        &mut self,
        now: Time,
        endpoint: &str,
        sent: Time,
        rate: Option<Rate>,
    ) -> bool {
        let current = self.limits.get(endpoint).copied();
        let Some(rate) = rate else {
            let has_ended = current.is_some_and(|current| current.named_at < sent);
            if has_ended {
                self.remove(endpoint);
            }
            return has_ended;
        };
        let limit = Limit {
            rate,
            named_at: now,
        };
        self.limits.insert(endpoint.to_string(), limit);
        current.is_none_or(|current| (current.rate - rate).abs() > f64::EPSILON)
    }

    /// Returns the limit that an endpoint has named.
    pub fn limit(&self, endpoint: &str) -> Option<Limit> {
        self.limits.get(endpoint).copied()
    }

    /// Forgets the limit that an endpoint has named.
    pub fn remove(&mut self, endpoint: &str) {
        self.limits.remove(endpoint);
        self.tokens.remove(endpoint);
        self.exhausted_until.remove(endpoint);
    }

    /// Takes a token that another request has not used; returns the time until which it is valid.
    pub fn take_unused(&mut self, now: Time, endpoint: &str) -> Option<Time> {
        let tokens = self.tokens.get_mut(endpoint)?;
        tokens.retain(|valid_until| now < *valid_until);
        tokens.pop()
    }

    /// Keeps a token that was not used.
    pub fn keep_unused(&mut self, endpoint: &str, valid_until: Time) {
        let tokens = self.tokens.entry(endpoint.to_string()).or_default();
        tokens.push(valid_until);
    }

    /// Returns the time until which a token obtained now is valid.
    pub fn valid_until(now: Time) -> Time {
        now + TOKEN_TIME
    }

    /// Records that there is no token before a time.
    pub fn exhausted(&mut self, endpoint: &str, until: Time) {
        self.exhausted_until.insert(endpoint.to_string(), until);
    }

    /// Returns the time until a token may be available, if there is none now.
    pub fn wait(&self, now: Time, endpoint: &str) -> Option<Duration> {
        let until = *self.exhausted_until.get(endpoint)?;
        (now < until).then(|| until.saturating_sub(now))
    }

    /// Records that an endpoint wants no requests for the time `rest`. An earlier rest that lasts longer remains, since
    /// responses may overtake each other.
    pub fn record_rest(&mut self, now: Time, endpoint: &str, responder: Responder, rest: Duration) {
        let until = now + rest;
        let current = self.rests.get(endpoint).copied();
        let current =
            current.filter(|current| current.responder.started_ms >= responder.started_ms);
        let is_later = |current: Rest| {
            current.responder.started_ms == responder.started_ms && current.until < until
        };
        if current.is_none_or(is_later) {
            let rest = Rest { responder, until };
            self.rests.insert(endpoint.to_string(), rest);
        }
    }

    /// Returns for how long an endpoint, as registered by its start at `started_ms`, still wants no requests.
    pub fn rest_left(&self, now: Time, endpoint: &str, started_ms: u64) -> Option<Duration> {
        let rest = self.rests.get(endpoint)?;
        let is_resting = rest.responder.is_reached_by(started_ms) && now < rest.until;
        is_resting.then(|| rest.until.saturating_sub(now))
    }

    /// Decides as the gateway that gives out an endpoint's tokens, by the limit that the requesting
    /// gateway knows.
    pub fn decide(&mut self, now: Time, endpoint: &str, limit: Limit) -> Decision {
        let ended_at = self.ended.get(endpoint);
        if ended_at.is_some_and(|ended_at| limit.named_at <= *ended_at) {
            return Decision::Unlimited;
        }
        let bucket = self
            .buckets
            .entry(endpoint.to_string())
            .or_insert_with(|| Bucket::new(now, limit));
        if limit.named_at >= bucket.limit.named_at {
            bucket.limit = limit;
        }
        match bucket.take(now) {
            Ok(()) => Decision::Granted,
            Err(wait) => Decision::Wait(wait),
        }
    }

    /// Records, for the gateways that ask this one for tokens, that an endpoint no longer names a
    /// limit.
    pub fn ended(&mut self, now: Time, endpoint: &str) {
        self.buckets.remove(endpoint);
        self.ended.insert(endpoint.to_string(), now);
    }

    /// Removes the endpoints for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.limits.retain(|endpoint, _| keep(endpoint));
        self.tokens.retain(|endpoint, _| keep(endpoint));
        self.exhausted_until.retain(|endpoint, _| keep(endpoint));
        self.rests.retain(|endpoint, _| keep(endpoint));
        self.buckets.retain(|endpoint, _| keep(endpoint));
        self.ended.retain(|endpoint, _| keep(endpoint));
    }
}
