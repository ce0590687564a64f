//! The features of requests that may crash endpoints.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The hash by which a feature is recognised in other requests.
pub type Fingerprint = u64;

/// What a fingerprint identifies. Of features that explain crashes equally well, the one with the greatest
/// scope is the cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// A part of the prompt, at this position.
    Part(usize),
    /// The whole request, if it comes from one address.
    Address,
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

/// The crashes during which requests with a feature were in flight, with these requests.
pub type Observations<Crash> = BTreeMap<Crash, BTreeSet<Fingerprint>>;

/// A feature that may have caused crashes.
#[derive(Clone, Debug)]
pub struct Candidate<Crash> {
    /// The feature.
    pub feature: Feature,
    /// The crashes that no other cause explains.
    pub observations: Observations<Crash>,
    /// The number of crashes from which it is a cause.
    pub limit: usize,
}

impl<Crash: Ord> Candidate<Crash> {
    /// Removes the requests that `cause` explains, and the crashes without any other request.
    fn remove_explained(&mut self, cause: &Self) {
        self.observations.retain(|crash, requests| {
            let Some(explained) = cause.observations.get(crash) else {
                return true;
            };
            requests.retain(|request| !explained.contains(request));
            !requests.is_empty()
        });
    }
}

/// Returns the features that explain the crashes.
///
/// A request that crashes an endpoint has other features too. The feature with the most crashes
/// explains those of its requests, so that they do not count against its companions. Of features with
/// the same number of crashes, the one with the greatest scope is the cause. Requests that were in
/// flight beside each other do not explain each other: both may crash endpoints.
pub fn find_causes<Crash: Clone + Ord>(
    mut candidates: Vec<Candidate<Crash>>,
) -> BTreeSet<Fingerprint> {
    let mut causes = BTreeSet::new();
    loop {
        candidates.retain(|candidate| candidate.observations.len() >= candidate.limit.max(1));
        let cause = candidates
            .iter()
            .max_by_key(|candidate| {
                let Feature { fingerprint, scope } = candidate.feature;
                (candidate.observations.len(), scope, fingerprint)
            })
            .cloned();
        let Some(cause) = cause else {
            return causes;
        };
        causes.insert(cause.feature.fingerprint);
        for candidate in &mut candidates {
            candidate.remove_explained(&cause);
        }
    }
}
