//! Quarantines requests that crash the endpoints that run them.
//!
//! Gateways exchange [`Record`]s. They are only ever added: neither their order nor receiving one
//! twice makes a difference.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::id::Endpoint;
use crate::suspect::Fingerprint;

/// The number of crashes after which a request is refused. A harmless request may share an endpoint
/// with the request that crashes it, usually during one crash and rarely during two.
const CRASH_LIMIT: usize = 3;
/// The number of crashes from which a completed run is recorded: below it, the next crash does not
/// quarantine the request.
const DOUBT_LIMIT: usize = 2;
/// How long records are kept after the last crash or the last refusal of a request.
pub const RETENTION: Duration = Duration::from_mins(10);
/// How long after the last crash a quarantined request may run once more, in case it is harmless
/// and was in flight on several endpoints that crashed at the same time.
const TRIAL_DELAY: Duration = Duration::from_secs(8);

/// How recently a request must have completed for a crash not to count against it: a request that
/// crashes endpoints never completes.
const COMPLETION_TIME: Duration = Duration::from_secs(3);

/// A crash of one incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The start time of the incarnation, in Unix milliseconds, as known when the request was sent.
    pub started_ms: u64,
    /// Distinguishes crashes of later incarnations whose registration was not known yet.
    #[serde(default)]
    pub ordinal: u32,
}

/// A crash during which a request was in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crash.
    pub crash: Crash,
    /// Whether the request has completed since, so that the crash no longer counts.
    pub is_void: bool,
}

/// The number of a trial of one request. A request has one trial until it completes.
pub type Trial = usize;

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Whether each crash is void.
    crashes: BTreeMap<Crash, bool>,
    /// The trials that have been taken.
    trials: BTreeSet<Trial>,
    last_crash: Time,
    /// When the request last crashed an endpoint or was last refused.
    last_seen: Time,
    /// When its records were last shared with other gateways.
    shared_at: Time,
}

impl Suspect {
    fn count(&self) -> usize {
        self.crashes.values().filter(|is_void| !**is_void).count()
    }

    fn records(&self, fingerprint: Fingerprint) -> Vec<Record> {
        let valid = self.crashes.iter().filter(|(_, is_void)| !**is_void);
        let records = valid.map(|(crash, _)| Record {
            fingerprint,
            crash: crash.clone(),
            is_void: false,
        });
        records.collect()
    }
}

/// The requests that were in flight when endpoints crashed, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When this gateway learned of each crash.
    crashes: BTreeMap<Crash, Time>,
    /// When requests last completed through this gateway.
    completions: BTreeMap<Fingerprint, Time>,
    /// When outdated completions were last removed.
    pruned_at: Time,
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
        self.suspects
            .retain(|_, suspect| now < suspect.last_seen + RETENTION);
        self.crashes
            .retain(|_, learned_at| now < *learned_at + RETENTION);
        self.crashes.entry(record.crash.clone()).or_insert(now);
        let suspect = self.suspects.entry(record.fingerprint).or_default();
        suspect.last_seen = now;
        suspect.shared_at = now;
        let Some(is_void) = suspect.crashes.get_mut(&record.crash) else {
            suspect.crashes.insert(record.crash.clone(), record.is_void);
            suspect.last_crash = now;
            return true;
        };
        let is_new = record.is_void && !*is_void;
        *is_void |= record.is_void;
        is_new
    }

    /// Returns the number of crashes that count against a request.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, Suspect::count)
    }

    /// Returns whether a request must be refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.count(fingerprint) >= CRASH_LIMIT
    }

    /// Records that a request was refused, which extends its quarantine; returns the records that
    /// must be shared again before the other gateways forget them.
    pub fn refused(&mut self, now: Time, fingerprint: Fingerprint) -> Vec<Record> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        suspect.last_seen = now;
        if now < suspect.shared_at + RETENTION / 2 {
            return Vec::new();
        }
        suspect.shared_at = now;
        suspect.records(fingerprint)
    }

    /// Returns whether a request has completed recently through this gateway.
    pub fn has_completed(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let completed_at = self.completions.get(&fingerprint);
        completed_at.is_some_and(|completed_at| now < *completed_at + COMPLETION_TIME)
    }

    /// Records that a request has completed on an endpoint; returns the records to be added and
    /// shared.
    pub fn completed(&mut self, now: Time, fingerprint: Fingerprint) -> Vec<Record> {
        if now >= self.pruned_at + COMPLETION_TIME {
            self.pruned_at = now;
            self.completions
                .retain(|_, completed_at| now < *completed_at + COMPLETION_TIME);
        }
        self.completions.insert(fingerprint, now);
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Vec::new();
        };
        if suspect.count() < DOUBT_LIMIT {
            return Vec::new();
        }
        let mut records = suspect.records(fingerprint);
        for record in &mut records {
            record.is_void = true;
        }
        records
    }

    /// Returns the trial that a quarantined request may take now. It must be claimed first, so that
    /// only one gateway runs it.
    pub fn available_trial(&self, now: Time, fingerprint: Fingerprint) -> Option<Trial> {
        let suspect = self.suspects.get(&fingerprint)?;
        let trial = suspect.crashes.len() - suspect.count();
        let is_due = now >= suspect.last_crash + TRIAL_DELAY;
        (is_due && !suspect.trials.contains(&trial)).then_some(trial)
    }

    /// Records that a trial was taken, by this gateway or another one.
    pub fn take_trial(&mut self, now: Time, fingerprint: Fingerprint, trial: Trial) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.last_seen = suspect.last_seen.max(now);
        suspect.trials.insert(trial);
    }
}
