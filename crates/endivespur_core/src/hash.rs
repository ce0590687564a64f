//! Rendezvous hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The hash of a key, which seeds the scores of nodes.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Seed {
    fn new(key: &str) -> Self {
        Self(xxh3_64(key.as_bytes()))
    }

    fn score(self, node: &str) -> f64 {
        // The top 53 bits as a number inside (0, 1).
        let hash = xxh3_64_with_seed(node.as_bytes(), self.0);
        let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -1.0 / unit.ln()
    }
}

/// Returns the node with the highest score for `key`, or `None` if there are no nodes.
pub fn winner<'a>(key: &str, nodes: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let seed = Seed::new(key);
    nodes
        .map(|node| (seed.score(node), node))
        .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)))
        .map(|(_, node)| node)
}

/// Returns the `max` nodes with the highest scores for `key`, the highest first.
pub fn rank<T>(key: &str, nodes: Vec<T>, name: impl Fn(&T) -> &str, max: usize) -> Vec<T> {
    let seed = Seed::new(key);
    let compare =
        |a: &(f64, T), b: &(f64, T)| b.0.total_cmp(&a.0).then_with(|| name(&a.1).cmp(name(&b.1)));
    let mut scored: Vec<(f64, T)> = nodes
        .into_iter()
        .map(|node| (seed.score(name(&node)), node))
        .collect();
    if max < scored.len() {
        scored.select_nth_unstable_by(max, compare);
        scored.truncate(max);
    }
    scored.sort_by(compare);
    scored.into_iter().map(|(_, node)| node).collect()
}

/// Returns a hash of several byte strings, which depends on their order.
pub fn digest(parts: &[&[u8]]) -> u64 {
    parts
        .iter()
        .fold(0, |seed, part| xxh3_64_with_seed(part, seed))
}

/// Returns a hash of `key` under `seed`.
pub fn mix(key: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), seed)
}
