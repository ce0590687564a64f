//! The request rates that endpoints ask all gateways together to keep to.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id::Endpoint;

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

/// The limits that endpoints have named in their responses to this gateway.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    limits: BTreeMap<Endpoint, Limit>,
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
                self.limits.remove(endpoint);
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

    /// Removes the endpoints for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.limits.retain(|endpoint, _| keep(endpoint));
    }
}
