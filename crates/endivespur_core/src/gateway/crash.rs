//! Quarantines what crashes the endpoints that run it: a request, or a part of prompts.
//!
//! Gateways exchange [`Record`]s. They are only ever added: neither their order nor receiving one
//! twice makes a difference.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::feature::{self, Candidate, Feature, Fingerprint, Scope};
use crate::id::Endpoint;

/// The number of crashes after which a feature is quarantined. A harmless request may share an
/// endpoint with the request that crashes it, usually during one crash and rarely during two.
const CRASH_LIMIT: usize = 3;
/// The number of crashes from which a completion is shared: below it, the next crash does not
/// quarantine the feature.
const DOUBT_LIMIT: usize = 2;
/// How long records are kept after the last crash or the last refusal.
pub const RETENTION: Duration = Duration::from_mins(10);
/// How long after the last crash a request with a quarantined feature may run once more, in case the
/// feature is harmless and was in flight on several endpoints that crashed at the same time.
const TRIAL_DELAY: Duration = Duration::from_secs(8);

/// How recently a request must have completed for a crash not to count against its features: a
/// feature that crashes endpoints never completes.
const COMPLETION_TIME: Duration = Duration::from_secs(3);

/// The maximum size in bytes of all endpoints' names in decoded records: an encoded value names an endpoint once, but
/// each record has a copy.
const MAX_NAME_BYTES: usize = 16 << 20;

/// The minimum time between two removals of expired records: each goes through all of them.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A crash of one incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The start time of the incarnation, in Unix milliseconds, as the endpoint has named it on the connection; of endpoints
    /// that do not, the one in the registration that was known when the request was sent.
    pub started_ms: u64,
    /// Distinguishes crashes of later incarnations whose registration was not known yet.
    pub ordinal: u32,
}

/// A crash during which a request with a feature was in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The feature.
    pub feature: Feature,
    /// The crash.
    pub crash: Crash,
    /// The fingerprints of the requests with the feature that were in flight.
    pub requests: BTreeSet<Fingerprint>,
    /// Whether a request with the feature has completed since, so that the crash no longer counts.
    pub is_void: bool,
}

/// The records of one crash as they are encoded, which names the crash and each request once.
#[derive(Serialize, Deserialize)]
struct Batch {
    crash: Crash,
    is_void: bool,
    /// The fingerprints of the requests that were in flight; none if the crash no longer counts.
    requests: Vec<Fingerprint>,
    /// The features, each with the positions of its requests.
    features: Vec<(Feature, Vec<usize>)>,
}

/// Encodes records for the store and for other gateways.
///
/// # Errors
///
/// Returns a message if they cannot be encoded.
pub fn encode(records: &[Record]) -> Result<Vec<u8>, String> {
    let mut by_crash: BTreeMap<(&Crash, bool), Vec<&Record>> = BTreeMap::new();
    for record in records {
        let batch = by_crash.entry((&record.crash, record.is_void));
        batch.or_default().push(record);
    }
    let batches = by_crash.into_iter().map(|((crash, is_void), records)| {
        let requests: BTreeSet<Fingerprint> = records
            .iter()
            .filter(|record| !record.is_void)
            .flat_map(|record| record.requests.iter().copied())
            .collect();
        let requests: Vec<Fingerprint> = requests.into_iter().collect();
        let features = records.iter().map(|record| {
            let positions = record.requests.iter();
            let positions = positions.filter_map(|request| requests.binary_search(request).ok());
            (record.feature, positions.collect())
        });
        Batch {
            crash: crash.clone(),
            is_void,
            features: features.collect(),
            requests,
        }
    });
    let batches: Vec<Batch> = batches.collect();
    postcard::to_allocvec(&batches).map_err(|error| error.to_string())
}

/// Decodes records; those of crashes that no longer count come without their requests.
///
/// # Errors
///
/// Returns a message if the bytes are no records.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>, String> {
    let batches: Vec<Batch> = postcard::from_bytes(bytes).map_err(|error| error.to_string())?;
    let sizes = batches
        .iter()
        .map(|batch| batch.crash.endpoint.len() * batch.features.len());
    if sizes.sum::<usize>() > MAX_NAME_BYTES {
        return Err("too large".to_string());
    }
    let records = batches.into_iter().flat_map(|batch| {
        let Batch {
            crash,
            is_void,
            requests,
            features,
        } = batch;
        features
            .into_iter()
            .map(move |(feature, positions)| Record {
                feature,
                crash: crash.clone(),
                requests: positions
                    .iter()
                    .filter_map(|position| requests.get(*position).copied())
                    .collect(),
                is_void,
            })
    });
    Ok(records.collect())
}

/// The number of a trial of one feature. A feature has one trial until it completes.
pub type Trial = usize;

/// Whether a crash counts against a feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Status {
    #[default]
    Valid,
    /// This gateway has seen a completion that the others may not know of.
    Refuted,
    Void,
}

/// A crash during which requests with a feature were in flight.
#[derive(Clone, Debug, Default)]
struct Observation {
    status: Status,
    requests: BTreeSet<Fingerprint>,
    /// Whether the store has a record of it.
    is_stored: bool,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// `None` if only a trial is known.
    scope: Option<Scope>,
    crashes: BTreeMap<Crash, Observation>,
    /// The trials that have been taken.
    trials: BTreeSet<Trial>,
    last_crash: Time,
    /// When the feature last crashed an endpoint or was last refused.
    last_seen: Time,
    /// When its records were last shared with other gateways.
    shared_at: Time,
}

impl Suspect {
    fn with_status(&self, status: Status) -> impl Iterator<Item = (&Crash, &Observation)> {
        let crashes = self.crashes.iter();
        crashes.filter(move |(_, observation)| observation.status == status)
    }

    fn count(&self) -> usize {
        self.with_status(Status::Valid).count()
    }

    /// Returns whether the other gateways may count enough crashes to need the refutations.
    fn has_unshared_refutations(&self) -> bool {
        let refuted = self.with_status(Status::Refuted).count();
        refuted > 0 && refuted + self.count() >= DOUBT_LIMIT
    }

    fn feature(&self, fingerprint: Fingerprint) -> Feature {
        Feature {
            fingerprint,
            scope: self.scope.unwrap_or_default(),
        }
    }

    fn records(&self, fingerprint: Fingerprint, status: Status) -> Vec<Record> {
        let crashes = self.with_status(status);
        let records = crashes.map(|(crash, observation)| Record {
            feature: self.feature(fingerprint),
            crash: crash.clone(),
            requests: observation.requests.clone(),
            is_void: status != Status::Valid,
        });
        records.collect()
    }
}

/// The features of requests that were in flight when endpoints crashed, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The features that must not run, as of when they were last asked for: finding them takes the records
    /// of all crashes, and many records arrive at once.
    quarantined: RefCell<BTreeSet<Fingerprint>>,
    /// Whether records have changed since.
    is_outdated: Cell<bool>,
    /// The features with refuted crashes.
    refuted: BTreeSet<Fingerprint>,
    /// When this gateway learned of each crash.
    crashes: BTreeMap<Crash, Time>,
    /// When requests with each feature last completed through this gateway.
    completions: BTreeMap<Fingerprint, Time>,
    /// When outdated completions were last removed.
    pruned_at: Time,
    /// When expired records were last removed.
    expired_at: Time,
}

impl Tracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the crash that a request sent at `sent` was in flight for: a later one than those
    /// that were known by then.
    pub fn identify(&self, crash: &Crash, sent: Time) -> Crash {
        let mut crash = crash.clone();
        while self
            .crashes
            .get(&crash)
            .is_some_and(|learned_at| *learned_at < sent)
        {
            crash.ordinal += 1;
        }
        crash
    }

    /// Adds a record; returns whether it was new.
    pub fn add(&mut self, now: Time, record: &Record) -> bool {
        if now >= self.expired_at + EXPIRY_INTERVAL {
            self.expire(now);
        }
        self.crashes.entry(record.crash.clone()).or_insert(now);
        let Feature { fingerprint, scope } = record.feature;
        let status = if record.is_void {
            Status::Void
        } else if self.has_completed(now, fingerprint) {
            Status::Refuted
        } else {
            Status::Valid
        };
        if status == Status::Refuted {
            self.refuted.insert(fingerprint);
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.scope = suspect.scope.max(Some(scope));
        suspect.last_seen = now;
        suspect.shared_at = now;
        let is_known = suspect.crashes.contains_key(&record.crash);
        if !is_known {
            suspect.last_crash = now;
        }
        let observation = suspect.crashes.entry(record.crash.clone()).or_default();
        let was_void = observation.status == Status::Void;
        if !is_known || record.is_void {
            observation.status = status;
        }
        let request_count = observation.requests.len();
        observation.requests.extend(&record.requests);
        if observation.requests.is_empty() {
            observation.requests.insert(fingerprint);
        }
        let has_new_requests = observation.requests.len() > request_count;
        let is_new = !is_known || (record.is_void && !was_void);
        let is_relevant = record.is_void || suspect.count() >= CRASH_LIMIT;
        let may_quarantine = (is_new || has_new_requests) && is_relevant;
        if may_quarantine {
            self.is_outdated.set(true);
        }
        is_new
    }

    fn expire(&mut self, now: Time) {
        self.expired_at = now;
        let suspect_count = self.suspects.len();
        self.suspects
            .retain(|_, suspect| now < suspect.last_seen + RETENTION);
        if self.suspects.len() < suspect_count {
            self.is_outdated.set(true);
        }
        self.refuted
            .retain(|fingerprint| self.suspects.contains_key(fingerprint));
        self.crashes
            .retain(|_, learned_at| now < *learned_at + RETENTION);
    }

    /// Returns the features to be quarantined.
    fn find_causes(&self) -> BTreeSet<Fingerprint> {
        let suspects = self.suspects.iter();
        let candidates = suspects
            .filter(|(_, suspect)| suspect.count() >= CRASH_LIMIT)
            .map(|(fingerprint, suspect)| Candidate {
                feature: suspect.feature(*fingerprint),
                observations: suspect
                    .with_status(Status::Valid)
                    .map(|(crash, observation)| (crash, observation.requests.clone()))
                    .collect(),
                limit: CRASH_LIMIT,
            });
        feature::find_causes(candidates.collect())
    }

    /// Returns the number of crashes that count against a feature.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, Suspect::count)
    }

    /// Returns the fingerprints of the quarantined features.
    pub fn quarantined(&self) -> Ref<'_, BTreeSet<Fingerprint>> {
        if self.is_outdated.replace(false) {
            *self.quarantined.borrow_mut() = self.find_causes();
        }
        self.quarantined.borrow()
    }

    /// Returns the first of a request's features for which it must be refused.
    pub fn find_quarantined(&self, features: &[Feature]) -> Option<Feature> {
        let quarantined = self.quarantined();
        let mut features = features.iter();
        features
            .find(|feature| quarantined.contains(&feature.fingerprint))
            .copied()
    }

    /// Records that a request was refused for a feature, which extends the quarantine; returns the
    /// records that must be shared again before the other gateways forget them.
    pub fn refused(&mut self, now: Time, fingerprint: Fingerprint) -> Vec<Record> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        suspect.last_seen = now;
        if now < suspect.shared_at + RETENTION / 2 {
            return Vec::new();
        }
        suspect.shared_at = now;
        suspect.records(fingerprint, Status::Valid)
    }

    /// Returns whether a request with a feature has completed recently through this gateway.
    pub fn has_completed(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let completed_at = self.completions.get(&fingerprint);
        completed_at.is_some_and(|completed_at| now < *completed_at + COMPLETION_TIME)
    }

    /// Records that a request with these features has completed on an endpoint.
    pub fn completed(&mut self, now: Time, features: &[Feature]) {
        if now >= self.pruned_at + COMPLETION_TIME {
            self.pruned_at = now;
            self.completions
                .retain(|_, completed_at| now < *completed_at + COMPLETION_TIME);
        }
        let mut is_changed = false;
        for feature in features {
            self.completions.insert(feature.fingerprint, now);
            let Some(suspect) = self.suspects.get_mut(&feature.fingerprint) else {
                continue;
            };
            for observation in suspect.crashes.values_mut() {
                if observation.status == Status::Valid {
                    observation.status = Status::Refuted;
                    self.refuted.insert(feature.fingerprint);
                    is_changed = true;
                }
            }
        }
        if is_changed {
            self.is_outdated.set(true);
        }
    }

    /// Returns whether there are refutations to be shared.
    pub fn has_refutations(&self) -> bool {
        self.unshared_refutations().next().is_some()
    }

    /// Returns the records by which the other gateways learn of completions seen by this one.
    pub fn refutations(&self) -> Vec<Record> {
        let records = self
            .unshared_refutations()
            .flat_map(|(fingerprint, suspect)| suspect.records(fingerprint, Status::Refuted));
        records.collect()
    }

    fn unshared_refutations(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let refuted = self.refuted.iter();
        let suspects =
            refuted.filter_map(|fingerprint| Some((*fingerprint, self.suspects.get(fingerprint)?)));
        suspects.filter(|(_, suspect)| suspect.has_unshared_refutations())
    }

    /// Records that the store has lost what was written to it.
    pub fn forget_stored(&mut self) {
        for suspect in self.suspects.values_mut() {
            for observation in suspect.crashes.values_mut() {
                observation.is_stored = false;
            }
        }
    }

    /// Records that the store has a record.
    pub fn stored(&mut self, record: &Record) {
        let suspect = self.suspects.get_mut(&record.feature.fingerprint);
        let observation = suspect.and_then(|suspect| suspect.crashes.get_mut(&record.crash));
        if let Some(observation) = observation {
            observation.is_stored = true;
        }
    }

    /// Returns the records that the store does not have.
    pub fn unstored(&self) -> Vec<Record> {
        let records = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            let crashes = suspect.crashes.iter();
            let unstored = crashes.filter(|(_, observation)| !observation.is_stored);
            unstored.map(|(crash, observation)| Record {
                feature: suspect.feature(*fingerprint),
                crash: crash.clone(),
                requests: observation.requests.clone(),
                is_void: observation.status != Status::Valid,
            })
        });
        records.collect()
    }

    /// Iterates over the trials that have been taken.
    pub fn trials(&self) -> impl Iterator<Item = (Fingerprint, Trial)> {
        self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            let trials = suspect.trials.iter();
            trials.map(|trial| (*fingerprint, *trial))
        })
    }

    /// Returns the trial that a request may take now for its only quarantined feature. It must be
    /// claimed first, so that only one gateway runs it.
    ///
    /// If a feature with a greater scope is suspected too, a crash would not show which of them caused
    /// it.
    pub fn available_trial(&self, now: Time, features: &[Feature]) -> Option<(Fingerprint, Trial)> {
        let feature = self.find_quarantined(features)?;
        let mut others = features.iter().filter(|other| **other != feature);
        let is_ambiguous = others.any(|other| {
            self.quarantined().contains(&other.fingerprint)
                || (other.scope > feature.scope && self.count(other.fingerprint) > 0)
        });
        let suspect = self.suspects.get(&feature.fingerprint)?;
        let trial = suspect.with_status(Status::Void).count();
        let is_due = now >= suspect.last_crash + TRIAL_DELAY;
        (!is_ambiguous && is_due && !suspect.trials.contains(&trial))
            .then_some((feature.fingerprint, trial))
    }

    /// Records that a trial was taken, by this gateway or another one.
    pub fn take_trial(&mut self, now: Time, fingerprint: Fingerprint, trial: Trial) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.last_seen = suspect.last_seen.max(now);
        suspect.trials.insert(trial);
    }
}
