//! Weighted rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the score of `node` for `key`; the highest score wins.
pub fn score(key: &str, node: &str, weight: f64) -> f64 {
    let mut bytes = Vec::with_capacity(key.len() + node.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(node.as_bytes());
    // The top 53 bits as a number inside (0, 1).
    let unit = ((xxh3_64(&bytes) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}

/// Returns the node with the highest score for `key`, or nothing if there is none.
pub fn winner<'a>(key: &str, nodes: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    nodes.max_by(|a, b| {
        score(key, a, 1.0)
            .total_cmp(&score(key, b, 1.0))
            .then_with(|| b.cmp(a))
    })
}

/// Sorts `nodes` by descending score for `key`.
pub fn rank<T>(key: &str, nodes: Vec<T>, name: impl Fn(&T) -> &str) -> Vec<T> {
    let mut scored: Vec<(f64, T)> = nodes
        .into_iter()
        .map(|node| (score(key, name(&node), 1.0), node))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| name(&a.1).cmp(name(&b.1))));
    scored.into_iter().map(|(_, node)| node).collect()
}
