//! Estimates which prompt parts are in an engine's prefix cache.

use lru::LruCache;

use crate::gateway::endpoint::Weights;
use crate::hash;

/// The maximum number of parts of one prompt that are told apart: a head holds thousands, and each is looked up at
/// each engine that is asked.
pub const MAX_PROMPT_PARTS: usize = 256;
/// The maximum number of parts that are remembered for one engine. Engines keep several hundred of the shortest prompts.
const MAX_CACHED_PARTS: usize = 2048;
/// The share of an engine's memory that is assumed to hold cached parts; running requests use the
/// rest.
const CACHE_SHARE: f64 = 0.7;

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The part's name.
    pub id: String,
    /// The number of tokens.
    pub tokens: u32,
}

/// A part that is probably cached.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    /// The digest of the weights that it was read for.
    weights: u64,
}

/// An estimate of an engine's prefix cache, based on the requests that were sent to it.
///
/// Evicts the least recently used parts.
#[derive(Debug)]
pub struct Cache {
    /// The parts by the digest of their weights and name.
    parts: LruCache<u64, Entry>,
    tokens: u64,
    limit: u64,
}

impl Cache {
    /// Creates the estimate for an engine with an empty cache.
    pub fn new(memory_tokens: u64) -> Self {
        Self {
            parts: LruCache::unbounded(),
            tokens: 0,
            limit: (memory_tokens as f64 * CACHE_SHARE) as u64,
        }
    }

    /// Returns the number of parts that are remembered.
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Returns the number of leading prompt tokens that are cached.
    pub fn cached_tokens(&self, weights: &Weights, parts: &[Part]) -> u64 {
        let weights = digest(weights);
        parts
            .iter()
            .take(MAX_PROMPT_PARTS)
            .take_while(|part| self.parts.contains(&key(weights, part)))
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// Records that a prompt was sent to the engine.
    pub fn record(&mut self, weights: &Weights, parts: &[Part]) {
        let weights = digest(weights);
        // The first parts are evicted last: without them the engine reads the others again.
        for part in parts.iter().take(MAX_PROMPT_PARTS).rev() {
            let entry = Entry {
                tokens: part.tokens,
                weights,
            };
            let replaced = self.parts.put(key(weights, part), entry);
            self.tokens += u64::from(part.tokens);
            self.tokens -= replaced.map_or(0, |entry| u64::from(entry.tokens));
        }
        while self.tokens > self.limit || self.parts.len() > MAX_CACHED_PARTS {
            let Some((_, entry)) = self.parts.pop_lru() else {
                return;
            };
            self.tokens -= u64::from(entry.tokens);
        }
    }

    /// Removes the parts that were cached for a base model or adapter.
    pub fn invalidate(&mut self, weights: &Weights) {
        let weights = digest(weights);
        let outdated = self
            .parts
            .iter()
            .filter(|(_, entry)| entry.weights == weights);
        let outdated: Vec<u64> = outdated.map(|(key, _)| *key).collect();
        for key in outdated {
            let entry = self.parts.pop(&key);
            self.tokens -= entry.map_or(0, |entry| u64::from(entry.tokens));
        }
    }
}

fn digest(weights: &Weights) -> u64 {
    hash::digest(&[weights.base.as_bytes(), weights.adapter.as_bytes()])
}

fn key(weights: u64, part: &Part) -> u64 {
    hash::digest(&[&weights.to_be_bytes(), part.id.as_bytes()])
}
