//! The features of requests that may crash endpoints.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The hash by which a feature is recognised in other requests.
pub type Fingerprint = u64;

/// What a fingerprint identifies. A greater scope is shared by fewer requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// A part of the prompt, at this position.
    Part(usize),
    /// The whole request.
    #[default]
    Request,
}

/// A property of a request that may crash the endpoints that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Feature {
    /// Identifies the feature in other requests.
    pub fingerprint: Fingerprint,
    /// What the fingerprint identifies.
    #[serde(default)]
    pub scope: Scope,
}

/// A feature that was in flight during crashes.
#[derive(Clone, Debug)]
pub struct Candidate<Crash> {
    /// The feature.
    pub feature: Feature,
    /// The crashes that no other cause explains.
    pub crashes: BTreeSet<Crash>,
    /// The number of crashes from which it is a cause.
    pub limit: usize,
}

/// Returns the features that explain the crashes.
///
/// A request that crashes an endpoint has other features too, and others are in flight beside it.
/// The feature with the most crashes explains all of them, so that they do not count against its
/// companions. Of features with the same crashes, the one that fewer requests share is the cause.
pub fn find_causes<Crash: Clone + Ord>(
    mut candidates: Vec<Candidate<Crash>>,
) -> BTreeSet<Fingerprint> {
    let mut causes = BTreeSet::new();
    loop {
        candidates.retain(|candidate| candidate.crashes.len() >= candidate.limit.max(1));
        let cause = candidates
            .iter()
            .max_by_key(|candidate| {
                let Feature { fingerprint, scope } = candidate.feature;
                (candidate.crashes.len(), scope, fingerprint)
            })
            .cloned();
        let Some(cause) = cause else {
            return causes;
        };
        causes.insert(cause.feature.fingerprint);
        for candidate in &mut candidates {
            candidate
                .crashes
                .retain(|crash| !cause.crashes.contains(crash));
        }
    }
}
