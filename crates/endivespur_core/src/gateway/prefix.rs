//! Estimates which prompt parts are in an engine's prefix cache.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::gateway::endpoint::Weights;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's name.
    pub id: String,
    /// The number of tokens.
    pub tokens: u32,
}

/// The share of an engine's memory that is assumed to hold cached parts; running requests use the
/// rest.
const CACHE_SHARE: f64 = 0.7;

/// An estimate of an engine's prefix cache, based on the requests that were sent to it.
///
/// Evicts the least recently used parts.
#[derive(Clone, Debug)]
pub struct Cache {
    parts: BTreeMap<(Weights, String), (u32, Time)>,
    tokens: u64,
    limit: u64,
}

impl Cache {
    /// Creates the estimate for an engine with an empty cache.
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            parts: BTreeMap::new(),
            tokens: 0,
            limit: (memory_tokens as f64 * CACHE_SHARE) as u64,
        }
    }

    /// Returns the number of leading prompt tokens that are cached.
    pub fn cached_tokens(&self, weights: &Weights, parts: &[Part]) -> u64 {
        parts
            .iter()
            .take_while(|part| self.parts.contains_key(&(weights.clone(), part.id.clone())))
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// Records that a prompt was sent to the engine.
    pub fn record(&mut self, now: Time, weights: &Weights, parts: &[Part]) {
        for part in parts {
            let key = (weights.clone(), part.id.clone());
            if self.parts.insert(key, (part.tokens, now)).is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        while self.tokens > self.limit {
            let oldest = self
                .parts
                .iter()
                .min_by_key(|(_, (_, at))| *at)
                .map(|(key, _)| key.clone());
            let Some((tokens, _)) = oldest.and_then(|key| self.parts.remove(&key)) else {
                return;
            };
            self.tokens = self.tokens.saturating_sub(u64::from(tokens));
        }
    }

    /// Removes the parts that were cached for a base model or adapter.
    pub fn invalidate(&mut self, weights: &Weights) {
        let mut freed = 0;
        self.parts.retain(|(other, _), (tokens, _)| {
            let keep = other != weights;
            freed += if keep { 0 } else { u64::from(*tokens) };
            keep
        });
        self.tokens = self.tokens.saturating_sub(freed);
    }
}
