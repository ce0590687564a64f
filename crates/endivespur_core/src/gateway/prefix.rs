//! An estimate of the prompt parts that an engine keeps.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::gateway::endpoint::Weights;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's name.
    pub id: String,
    /// Its tokens.
    pub tokens: u64,
}

/// The share of an engine's memory that is counted on for kept parts; running requests
/// take the rest.
const CACHE_SHARE: f64 = 0.7;

/// The parts that an engine keeps, by the requests that were sent to it.
#[derive(Clone, Debug)]
pub struct Cache {
    parts: BTreeMap<(Weights, String), (u64, Time)>,
    tokens: u64,
    limit: u64,
}

impl Cache {
    /// Makes the estimate of an empty engine with that memory.
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            parts: BTreeMap::new(),
            tokens: 0,
            limit: (memory_tokens as f64 * CACHE_SHARE) as u64,
        }
    }

    /// Returns the tokens at the front of a prompt that need not be read again.
    pub fn cached_tokens(&self, weights: &Weights, parts: &[Part]) -> u64 {
        parts
            .iter()
            .take_while(|part| self.parts.contains_key(&(weights.clone(), part.id.clone())))
            .map(|part| part.tokens)
            .sum()
    }

    /// Notes that the engine reads a prompt.
    pub fn record(&mut self, now: Time, weights: &Weights, parts: &[Part]) {
        for part in parts {
            let key = (weights.clone(), part.id.clone());
            if self.parts.insert(key, (part.tokens, now)).is_none() {
                self.tokens += part.tokens;
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
            self.tokens = self.tokens.saturating_sub(tokens);
        }
    }

    /// Forgets the parts that were read with these weights.
    pub fn invalidate(&mut self, weights: &Weights) {
        let mut freed = 0;
        self.parts.retain(|(other, _), (tokens, _)| {
            let keep = other != weights;
            freed += if keep { 0 } else { *tokens };
            keep
        });
        self.tokens = self.tokens.saturating_sub(freed);
    }
}
