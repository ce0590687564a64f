//! Detects requests that crash endpoints, and refuses them.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::feature::{Feature, Scope};
use endivespur_core::gateway::crash::{Crash, Record};
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::reach::Reach;
use endivespur_http::head::Framing;
use endivespur_http::pool;
use endivespur_platform::engine::{self, Target};
use log::info;
use smol::Timer;

use crate::checks::{self, Suspect};
use crate::exchange::{Call, Outcome};
use crate::state::State;
use crate::{reach, record, telemetry, timer};

/// The delay between the end of a run and the check of the endpoint, which may only have reset the
/// connection.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// The maximum time to connect to a live endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The pauses after which an engine that accepts connections is asked again for its start, if it has not answered: each is
/// twice as long as the one before. A crashed engine is back after some seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// The delay after which a caller may retry a request that crashes endpoints.
const RETRY_AFTER: Duration = Duration::from_mins(2);

/// Decides whether a request may run; one with a quarantined feature may take its trial.
///
/// # Errors
///
/// Returns the refusal of a request with a quarantined feature.
pub async fn admit(state: &State, call: &Call) -> Result<(), Outcome> {
    let Some(feature) = find_quarantined(state, call) else {
        return Ok(());
    };
    let now = clock::now();
    let trial = state.crashes.borrow().available_trial(now, &call.features);
    if let Some((fingerprint, trial)) = trial
        && record::claim_trial(state, fingerprint, trial).await
    {
        call.is_trial.set(true);
        return Ok(());
    }
    Err(refuse(state, call, feature))
}

/// Checks again, right before a request is sent, that it may run: one of its features may have been
/// quarantined since it was admitted.
///
/// # Errors
///
/// Returns the refusal of a request with a quarantined feature.
pub fn check_before_send(state: &State, call: &Call) -> Result<(), Outcome> {
    match find_quarantined(state, call) {
        Some(feature) if !call.is_trial.get() => Err(refuse(state, call, feature)),
        _ => Ok(()),
    }
}

/// Returns whether a feature of a request is quarantined, without refusing the request.
pub fn is_quarantined(state: &State, call: &Call) -> bool {
    find_quarantined(state, call).is_some()
}

fn find_quarantined(state: &State, call: &Call) -> Option<Feature> {
    record::log_quarantine(state);
    state.crashes.borrow().find_quarantined(&call.features)
}

fn refuse(state: &State, call: &Call, feature: Feature) -> Outcome {
    let request = call.fields.attempt_id.as_str();
    let part = match feature.scope {
        Scope::Part(position) => call.fields.parts.get(position),
        Scope::Address | Scope::Request => None,
    };
    let part = part.map_or("none", |part| part.id.as_str());
    info!(
        event = "quarantined", request, print = feature.fingerprint, part, identity = call.identity();
        "has crashed endpoints"
    );
    let mut crashes = state.crashes.borrow_mut();
    let records = crashes.refused(clock::now(), feature.fingerprint);
    drop(crashes);
    record::share(state, records);
    Outcome::refused("crashes-endpoints", RETRY_AFTER)
}

/// A request on its way to an endpoint. If it is dropped before it has ended, its caller has left
/// or its deadline has passed, and the endpoint may have crashed unnoticed.
pub struct Run {
    state: Rc<State>,
    instance: Rc<Instance>,
    /// The start of the endpoint that has received the request, if it is known.
    started_ms: Cell<Option<u64>>,
    features: Rc<[Feature]>,
    request: String,
    /// What identifies the request, for the log.
    identity: String,
    sent: Time,
    /// When the response started.
    started: Option<Time>,
    has_ended: bool,
}

impl Run {
    /// Records that a request is about to be sent to an endpoint.
    pub fn new(state: &Rc<State>, call: &Call, instance: &Rc<Instance>) -> Self {
        Self {
            state: state.clone(),
            instance: instance.clone(),
            started_ms: Cell::new(None),
            features: call.features.clone(),
            request: call.fields.attempt_id.clone(),
            identity: call.identity(),
            sent: clock::now(),
            started: None,
            has_ended: false,
        }
    }

    /// Records the start of the endpoint that receives the request, if it is known. Until then the registered one is
    /// assumed.
    pub fn identified(&self, started_ms: Option<u64>) {
        if started_ms.is_some() {
            self.started_ms.set(started_ms);
        }
    }

    /// Records that the head of the response has arrived.
    pub fn response_started(&mut self) {
        self.started = Some(clock::now());
    }

    /// Records that the request was not run.
    pub fn ended(mut self) {
        self.has_ended = true;
    }

    /// Records that the request has a complete response. A successful one voids earlier crashes.
    pub fn responded(mut self, status: u16, framing: Framing) {
        self.has_ended = true;
        if status >= 300 {
            return;
        }
        if framing == Framing::Close {
            // A crash of the endpoint ends the connection too.
            self.check(None, true);
        } else {
            record::complete(&self.state, &self.features);
        }
    }

    /// Records that the response was lost, and checks whether the endpoint crashed.
    pub fn lost(mut self) {
        self.has_ended = true;
        self.check(None, false);
    }

    fn check(&self, silent_since: Option<Time>, is_complete: bool) {
        let suspect = Suspect {
            features: self.features.clone(),
            request: self.request.clone(),
            identity: self.identity.clone(),
            sent: self.sent,
            response_time: self
                .started
                .map(|started| clock::now().saturating_sub(started)),
            silent_since,
            is_complete,
        };
        let crash = Crash {
            endpoint: self.instance.id.clone(),
            started_ms: self.started_ms.get().unwrap_or(self.instance.started_ms),
            ordinal: 0,
        };
        let is_first = self.state.checks.add(crash.clone(), suspect);
        if is_first {
            let (state, instance) = (self.state.clone(), self.instance.clone());
            self.state.spawn(check(state, crash, instance));
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.has_ended {
            self.check(Some(clock::now()), false);
        }
    }
}

/// Checks whether an endpoint crashed, for all requests that wait for the check.
async fn check(state: Rc<State>, crash: Crash, instance: Rc<Instance>) {
    Timer::after(CHECK_DELAY).await;
    let mut suspects = state.checks.take(&crash);
    let last_activity = state.health.borrow().last_activity(&crash.endpoint);
    suspects.retain(|suspect| {
        let silent_since = suspect.silent_since;
        silent_since.is_none_or(|silent_since| last_activity <= silent_since)
    });
    if suspects.is_empty() {
        return;
    }
    let outcome = find_outcome(&state, &crash, &instance).await;
    telemetry::crash_checked(outcome);
    for suspect in &suspects {
        info!(
            event = "crash-check", request = suspect.request.as_str(),
            prints = prints(&suspect.features), identity = suspect.identity.as_str(),
            endpoint = crash.endpoint.as_str(), born = crash.started_ms, outcome,
            response_ms:? = suspect.response_time.map(|time| time.as_millis());
            "checked for a crash"
        );
    }
    if outcome == "up" || outcome == "unknown" {
        state.checks.add_lost(clock::now(), &crash, &suspects);
        suspects.retain(|suspect| suspect.is_complete);
        complete_unless_restarted(&state, &crash, &suspects).await;
        return;
    }
    let runs = suspects
        .iter()
        .map(|suspect| (suspect.features.clone(), suspect.sent));
    share_crash(&state, &crash, &runs.collect::<Vec<_>>());
}

/// Returns what has become of a start of an endpoint, as far as this gateway or another one can tell: `restarted`, `down`, `up`
/// or `unknown`. What accepts connections for an engine that has crashed, such as a proxy, does not answer for it: the engine
/// is asked for its start, a few times if need be.
async fn find_outcome(state: &Rc<State>, crash: &Crash, instance: &Rc<Instance>) -> &'static str {
    let mut pause = FIRST_PAUSE;
    loop {
        let registered = registered_start(state, &crash.endpoint);
        if registered.is_some_and(|started_ms| started_ms > crash.started_ms) {
            return "restarted";
        }
        match find_condition(state, instance).await {
            Condition::Started(started_ms) if started_ms > crash.started_ms => return "restarted",
            Condition::Accepts if pause <= MAX_PAUSE && state.is_engine(&instance.service) => {
                Timer::after(pause).await;
                pause *= 2;
            }
            Condition::Started(_) | Condition::Accepts => return "up",
            Condition::Down => return "down",
            Condition::Unknown => return "unknown",
        }
    }
}

/// What can be told of an endpoint by a connection.
enum Condition {
    /// It has named its start.
    Started(u64),
    /// It accepts connections.
    Accepts,
    Down,
    Unknown,
}

/// Returns the condition of an endpoint, as far as this gateway or another one can tell: its own link may be cut.
async fn find_condition(state: &Rc<State>, instance: &Rc<Instance>) -> Condition {
    if let Ok(mut connection) = pool::connect(instance.address, CONNECT_TIMEOUT).await {
        if !state.is_engine(&instance.service) {
            return Condition::Accepts;
        }
        let target = Target {
            endpoint: instance.id.clone(),
            address: instance.address,
        };
        let identity = engine::identify(&mut connection, &target);
        let identity = timer::within(CONNECT_TIMEOUT, identity).await;
        let started_ms = identity.and_then(|identity| identity.ok()?.started_ms);
        return started_ms.map_or(Condition::Accepts, Condition::Started);
    }
    match reach::ask_others(state, &instance.id).await {
        Reach::Reached => Condition::Accepts,
        Reach::Unreached => Condition::Down,
        Reach::Unknown if reach::have_links(state, instance).await => Condition::Down,
        Reach::Unknown => Condition::Unknown,
    }
}

/// Records the completion of requests whose responses ended with their connections, unless the
/// endpoint turns out to have restarted.
async fn complete_unless_restarted(state: &State, crash: &Crash, suspects: &[Suspect]) {
    if suspects.is_empty() {
        return;
    }
    Timer::after(checks::RESTART_TIME).await;
    let registered = registered_start(state, &crash.endpoint);
    if registered.is_some_and(|started_ms| started_ms <= crash.started_ms) {
        for suspect in suspects {
            record::complete(state, &suspect.features);
        }
    }
}

/// Returns the start time in an endpoint's registration.
fn registered_start(state: &State, endpoint: &str) -> Option<u64> {
    let catalog = state.catalog.borrow();
    let current = catalog.endpoint(endpoint);
    current.map(|current| current.started_ms)
}

/// Returns the fingerprints of features, for the log.
fn prints(features: &[Feature]) -> String {
    let prints = features
        .iter()
        .map(|feature| feature.fingerprint.to_string());
    prints.collect::<Vec<_>>().join(",")
}

/// Records that an endpoint's registration shows a start at `started_ms`: the responses that it
/// lost shortly before were lost by a crash, after which it was back before it was checked.
pub fn record_restart(state: &State, endpoint: &str, started_ms: u64) {
    let lost = state.checks.take_lost(clock::now(), endpoint, started_ms);
    for (crash, runs) in lost {
        share_crash(state, &crash, &runs);
    }
}

/// Shares a crash for each feature of the requests that were in flight, unless it has completed
/// recently.
fn share_crash(state: &State, crash: &Crash, runs: &[checks::InFlight]) {
    let now = clock::now();
    let mut records: BTreeMap<(Crash, Feature), Record> = BTreeMap::new();
    for (features, sent) in runs {
        let crashes = state.crashes.borrow();
        let crash = crashes.identify(crash, *sent);
        let request = features.last().map(|whole| whole.fingerprint);
        let suspected = features
            .iter()
            .filter(|feature| !crashes.has_completed(now, feature.fingerprint));
        for feature in suspected {
            let record = records
                .entry((crash.clone(), *feature))
                .or_insert_with(|| Record {
                    feature: *feature,
                    crash: crash.clone(),
                    requests: BTreeSet::new(),
                    is_void: false,
                });
            record.requests.extend(request);
        }
    }
    record::share(state, records.into_values().collect());
}
