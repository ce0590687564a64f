//! The requests that wait for the check whether an endpoint crashed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::feature::Feature;
use endivespur_core::gateway::crash::Crash;

/// The features of a request that was in flight during a crash, and when it was sent.
pub type InFlight = (Rc<[Feature]>, Time);

/// A request that may have crashed an endpoint.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// What may have crashed it.
    pub features: Rc<[Feature]>,
    /// The id of the attempt, for the log.
    pub request: String,
    /// What identifies the request, for the log.
    pub identity: String,
    /// When it was sent.
    pub sent: Time,
    /// How long the response had been arriving; `None` if it had not started.
    pub response_time: Option<Duration>,
    /// When the caller left or its deadline passed without a response; `None` if the response was
    /// lost. The request is cleared if the endpoint has sent anything since.
    pub silent_since: Option<Time>,
    /// Whether the response is complete if its endpoint is still up: it ended with its connection, as it
    /// would have in a crash.
    pub is_complete: bool,
}

/// How long after a lost response the endpoint's registration may show a restart.
pub const RESTART_TIME: Duration = Duration::from_secs(5);

/// A lost response of an endpoint that accepted connections when it was checked.
#[derive(Clone, Debug)]
struct Lost {
    run: InFlight,
    at: Time,
}

/// The requests to be checked, by the crash that they may have caused.
#[derive(Debug, Default)]
pub struct Checks {
    waiting: RefCell<BTreeMap<Crash, Vec<Suspect>>>,
    lost: RefCell<BTreeMap<Crash, Vec<Lost>>>,
}

impl Checks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request to the check of an endpoint; returns whether that check must be started.
    pub fn add(&self, crash: Crash, suspect: Suspect) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let suspects = waiting.entry(crash).or_default();
        suspects.push(suspect);
        suspects.len() == 1
    }

    /// Removes and returns the requests that wait for the check of an endpoint.
    pub fn take(&self, crash: &Crash) -> Vec<Suspect> {
        let suspects = self.waiting.borrow_mut().remove(crash);
        suspects.unwrap_or_default()
    }

    /// Keeps the requests whose responses were lost by an endpoint that accepts connections.
    pub fn add_lost(&self, now: Time, crash: &Crash, suspects: &[Suspect]) {
        let mut all = self.lost.borrow_mut();
        all.retain(|_, lost| {
            lost.retain(|lost| now < lost.at + RESTART_TIME);
            !lost.is_empty()
        });
        let lost = suspects
            .iter()
            .filter(|suspect| suspect.silent_since.is_none())
            .map(|suspect| Lost {
                run: (suspect.features.clone(), suspect.sent),
                at: now,
            });
        all.entry(crash.clone()).or_default().extend(lost);
    }

    /// Returns the recent lost responses of an endpoint that started again at `started_ms`, by the
    /// crash that caused them: the requests, and when they were sent.
    pub fn take_lost(
        &self,
        now: Time,
        endpoint: &str,
        started_ms: u64,
    ) -> Vec<(Crash, Vec<InFlight>)> {
        let from = Crash {
            endpoint: endpoint.to_string(),
            started_ms: 0,
            ordinal: 0,
        };
        let to = Crash {
            endpoint: endpoint.to_string(),
            started_ms,
            ordinal: 0,
        };
        let mut all = self.lost.borrow_mut();
        let crashes: Vec<Crash> = all
            .range(from..to)
            .map(|(crash, _)| crash.clone())
            .collect();
        let mut found = Vec::new();
        for crash in crashes {
            let lost = all.remove(&crash).unwrap_or_default();
            let recent = lost.iter().filter(|lost| now < lost.at + RESTART_TIME);
            found.push((crash, recent.map(|lost| lost.run.clone()).collect()));
        }
        found
    }
}
