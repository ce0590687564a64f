//! Requests that are suspected of crashing the endpoints that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Time;
use crate::id::Endpoint;

/// Endpoints that one request may crash before it is refused for good.
pub const CRASH_LIMIT: usize = 2;

/// The hash of organisation, adapter and body.
pub type Fingerprint = u64;

/// How a request with a fingerprint is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It runs with no other request beside it.
    Alone,
    /// It is refused for good.
    Quarantined,
    /// Another run of it is under way alone; this one waits.
    Wait,
}

/// The time after which a run alone no longer holds back its twins.
const RUN_BOUND: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Case {
    crashes: BTreeSet<(Endpoint, u64)>,
    /// Until when a run alone holds back its twins.
    running: Time,
    at: Time,
}

/// The fingerprints under suspicion, kept by the node that is home to them.
#[derive(Debug)]
pub struct Court {
    cases: BTreeMap<Fingerprint, Case>,
    memory: Duration,
}

impl Court {
    /// Makes an empty list that forgets a suspicion after `memory`.
    pub fn new(memory: Duration) -> Self {
        Self {
            cases: BTreeMap::new(),
            memory,
        }
    }

    /// Returns how a request is to be run; an `Alone` run ends by `crashed`, `clean` or
    /// `given_up`, or holds back its twins for a minute.
    pub fn judge(&mut self, now: Time, print: Fingerprint) -> Verdict {
        let memory = self.memory;
        self.cases.retain(|_, case| case.at + memory > now);
        let mut case = self.cases.get_mut(&print);
        if let Some(case) = &mut case {
            // A caller that goes on sending keeps the suspicion alive.
            case.at = now;
        }
        match case {
            None => Verdict::Clear,
            Some(case) if case.crashes.len() >= CRASH_LIMIT => Verdict::Quarantined,
            Some(case) if now < case.running => Verdict::Wait,
            Some(case) => {
                case.running = now + RUN_BOUND;
                Verdict::Alone
            }
        }
    }

    /// Notes that the request was in flight on an endpoint when it crashed.
    ///
    /// A request that runs alone has crashed the endpoint for certain.
    pub fn crashed(&mut self, now: Time, print: Fingerprint, endpoint: &str, attempt: u64) {
        let case = self.cases.entry(print).or_insert_with(|| Case {
            crashes: BTreeSet::new(),
            running: Time::ZERO,
            at: now,
        });
        case.crashes.insert((endpoint.to_string(), attempt));
        case.running = Time::ZERO;
        case.at = now;
    }

    /// Notes that a run alone was given up before it began.
    pub fn given_up(&mut self, print: Fingerprint) {
        if let Some(case) = self.cases.get_mut(&print) {
            case.running = Time::ZERO;
        }
    }

    /// Notes that the request ran without a crash.
    pub fn clean(&mut self, print: Fingerprint) {
        self.cases.remove(&print);
    }

    /// Iterates over the suspected fingerprints and the crashes of each.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.cases
            .iter()
            .map(|(print, case)| (*print, case.crashes.len()))
    }
}
