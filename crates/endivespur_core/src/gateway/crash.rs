//! Requests that crash the endpoints that run them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::suspect::Fingerprint;

/// The crashes after which a request is refused. Neighbours of such a request share one
/// crash with it, seldom two.
const CRASH_LIMIT: u32 = 3;
/// How long crashes are remembered after the last one, or after the last refusal.
const MEMORY: Duration = Duration::from_mins(2);

#[derive(Clone, Copy, Debug)]
struct Case {
    crashes: u32,
    at: Time,
}

/// The crashes of endpoints, by the requests that were running.
#[derive(Clone, Debug, Default)]
pub struct Record {
    cases: BTreeMap<Fingerprint, Case>,
}

impl Record {
    /// Makes an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an endpoint crashed while it ran a request.
    pub fn crashed(&mut self, now: Time, print: Fingerprint) {
        self.cases.retain(|_, case| now < case.at + MEMORY);
        let case = self.cases.entry(print).or_insert(Case {
            crashes: 0,
            at: now,
        });
        case.crashes += 1;
        case.at = now;
    }

    /// Tells whether a request is to be refused.
    pub fn is_quarantined(&mut self, now: Time, print: Fingerprint) -> bool {
        match self.cases.get_mut(&print) {
            Some(case) if now < case.at + MEMORY && case.crashes >= CRASH_LIMIT => {
                case.at = now;
                true
            }
            _ => false,
        }
    }
}
