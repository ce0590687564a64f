//! Finds out whether this gateway's own links to endpoints work, or only those of other gateways.

use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::reach::{Reach, Survey};
use endivespur_core::hash;
use endivespur_http::pool;
use futures_util::future::join_all;
use log::info;
use smol::Timer;

use crate::catalog::Peer;
use crate::exchange::Outcome;
use crate::state::{DEFAULT_KEEP_ALIVE, State};
use crate::{member, peer, telemetry};

/// The maximum time to connect to an endpoint in a survey.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The number of further endpoints that a survey connects to if the suspected one is not reached.
const SURVEY_COUNT: usize = 3;
/// The number of endpoints that a survey connects to before it takes all links for cut though no other gateway reaches
/// an endpoint: most may have crashed, and stay registered for seconds.
const WIDE_SURVEY_COUNT: usize = 16;
/// The number of other gateways that are asked whether they reach an endpoint.
const ASKED_COUNT: usize = 3;
/// The time between two surveys while no endpoint is reached.
const SURVEY_INTERVAL: Duration = Duration::from_millis(500);
/// The time by which gateways differ in that interval, so that they do not come back at once.
const SURVEY_SPREAD: Duration = Duration::from_millis(250);
/// How often links are tried again before the claims of their endpoints are given up.
const CONFIRMATIONS: usize = 2;
/// The pause before each of these trials.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(150);
/// The delay after which a caller retries while no gateway reaches an endpoint.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Finds out why a connection or a response of an endpoint has failed: the endpoint may be down, its link may
/// be cut, or all links. Does nothing if that was done recently.
pub fn suspect(state: &Rc<State>, endpoint: &Rc<Instance>) {
    let now = clock::now();
    let mut reach = state.reach.borrow_mut();
    if reach.start_survey(now) && !state.is_surveying.replace(true) {
        state.spawn(survey_until_reached(state.clone(), endpoint.clone()));
    }
    if !reach.has_failed() && reach.start_question(now, &endpoint.id) {
        state.spawn(check_link(state.clone(), endpoint.clone()));
    }
}

/// Bypasses an endpoint if this gateway does not reach it and another one does.
async fn check_link(state: Rc<State>, endpoint: Rc<Instance>) {
    if probe(&state, &endpoint).await {
        return;
    }
    if ask_others(&state, &endpoint.id).await != Reach::Reached {
        state.reach.borrow_mut().end_bypass(&endpoint.id);
        return;
    }
    // The endpoint may have come back since.
    if probe(&state, &endpoint).await {
        return;
    }
    info!(event = "bypass", endpoint = endpoint.id.as_str(); "reached by other gateways only");
    state.reach.borrow_mut().bypass(clock::now(), &endpoint.id);
    if is_reached_again(&state, Some(&endpoint)).await {
        return;
    }
    if !state.reach.borrow().is_cut_off() {
        member::give_up(&state, &endpoint.id).await;
    }
}

/// Returns whether an endpoint, or else one of a few, is reached when it is tried again.
///
/// Endpoints that go down and come back over and over are tried at other moments by other gateways, while a link that
/// is cut never works.
async fn is_reached_again(state: &Rc<State>, endpoint: Option<&Instance>) -> bool {
    for _ in 0..CONFIRMATIONS {
        Timer::after(CONFIRMATION_PAUSE).await;
        let is_reached = match endpoint {
            Some(endpoint) => probe(state, endpoint).await,
            None => probe_sample(state, SURVEY_COUNT).await,
        };
        if is_reached {
            return true;
        }
    }
    false
}

/// Surveys the links until an endpoint is reached, and tells the other gateways.
async fn survey_until_reached(state: Rc<State>, suspected: Rc<Instance>) {
    let spread = SURVEY_SPREAD.as_millis() as u64;
    let pause = SURVEY_INTERVAL + Duration::from_millis(hash::mix(&state.process, 2) % spread);
    let mut suspected = Some(suspected);
    loop {
        survey(&state, suspected.take()).await;
        let is_published = state.is_published_cut_off.get();
        if state.reach.borrow().is_cut_off() && !is_published {
            is_reached_again(&state, None).await;
        }
        let is_cut_off = state.reach.borrow().is_cut_off();
        if is_cut_off != is_published {
            member::publish(&state, is_cut_off).await;
        }
        let has_failed = state.reach.borrow().has_failed();
        if !has_failed && !state.is_published_cut_off.get() {
            break;
        }
        Timer::after(pause).await;
    }
    state.is_surveying.set(false);
}

/// Connects to several endpoints, and asks other gateways if none is reached.
async fn survey(state: &Rc<State>, suspected: Option<Rc<Instance>>) {
    let started = clock::now();
    let was_failed = state.reach.borrow().has_failed();
    let result = if probe_any(state, suspected).await {
        Survey::Reached
    } else if others_reach_any(state).await {
        Survey::CutOff
    } else if probe_sample(state, WIDE_SURVEY_COUNT).await {
        Survey::Reached
    } else {
        Survey::Unknown
    };
    state.reach.borrow_mut().surveyed(started, result);
    let has_failed = state.reach.borrow().has_failed();
    if has_failed == was_failed {
        return;
    }
    telemetry::links_changed(has_failed);
    if has_failed {
        info!(event = "links-lost", result:? = result; "no endpoint reached; requests are forwarded");
        // Connections that are still open may hang.
        state.pool.borrow_mut().retain(|_| false);
    } else {
        info!(event = "links-regained"; "endpoints reached again");
    }
}

/// Returns whether an endpoint is reached over a new connection.
async fn probe_any(state: &Rc<State>, suspected: Option<Rc<Instance>>) -> bool {
    if let Some(suspected) = suspected
        && probe(state, &suspected).await
    {
        return true;
    }
    probe_sample(state, SURVEY_COUNT).await
}

/// Returns whether one of a few endpoints is reached over a new connection.
async fn probe_sample(state: &Rc<State>, count: usize) -> bool {
    let endpoints = sample(state, count);
    let probes = endpoints.iter().map(|endpoint| probe(state, endpoint));
    join_all(probes).await.contains(&true)
}

/// Returns whether an endpoint is reached over a new connection, which is kept for the next request.
async fn probe(state: &Rc<State>, endpoint: &Instance) -> bool {
    let Ok(connection) = pool::connect(endpoint.address, CONNECT_TIMEOUT).await else {
        return false;
    };
    state
        .reach
        .borrow_mut()
        .connected(clock::now(), &endpoint.id);
    state.keep(endpoint.address, connection, DEFAULT_KEEP_ALIVE);
    true
}

/// Returns a few endpoints, others with each survey.
fn sample(state: &State, count: usize) -> Vec<Rc<Instance>> {
    let catalog = state.catalog.borrow();
    let serving = catalog.endpoints().filter(|endpoint| !endpoint.is_draining);
    let key = format!("{}{}", state.process, clock::now().as_nanos());
    let serving = serving.cloned().collect();
    hash::rank(&key, serving, |endpoint: &Rc<Instance>| &endpoint.id, count)
}

/// Returns whether another gateway reaches an endpoint that this one does not.
async fn others_reach_any(state: &Rc<State>) -> bool {
    for endpoint in sample(state, SURVEY_COUNT) {
        let is_reached = ask_others(state, &endpoint.id).await == Reach::Reached;
        // The endpoint may have come back since it was probed.
        if is_reached && !probe(state, &endpoint).await {
            return true;
        }
    }
    false
}

/// Asks other gateways, until one knows, whether an endpoint accepts connections.
pub async fn ask_others(state: &Rc<State>, endpoint: &str) -> Reach {
    for other in others(state, endpoint).into_iter().take(ASKED_COUNT) {
        match peer::reach(state, other.address, endpoint).await {
            Some(Reach::Unknown) => state.peers.has_no_links(other.address),
            Some(reach) => return reach,
            None => {}
        }
    }
    Reach::Unknown
}

/// Returns the other gateways that may reach endpoints: those that have replied recently and are in this zone
/// first, and else in an order that depends on `key`.
pub fn others(state: &State, key: &str) -> Vec<Peer> {
    let catalog = state.catalog.borrow();
    let others = catalog.peers().filter(|(vm, peer)| {
        let is_usable = !peer.is_cut_off && !state.peers.is_without_links(peer.address);
        **vm != state.settings.vm && is_usable
    });
    let others: Vec<_> = others.collect();
    let count = others.len();
    let mut ranked = hash::rank(key, others, |(vm, _)| vm.as_str(), count);
    ranked.sort_by_key(|(_, peer)| {
        let is_unresponsive = state.peers.is_unresponsive(peer.address);
        (is_unresponsive, peer.zone != state.settings.zone)
    });
    ranked.into_iter().map(|(_, peer)| peer.clone()).collect()
}

/// Refuses a request at once if no gateway is known to reach an endpoint.
///
/// # Errors
///
/// Returns the refusal.
pub fn admit(state: &State) -> Result<(), Outcome> {
    let has_failed = state.reach.borrow().has_failed();
    if has_failed && others(state, "").is_empty() {
        return Err(Outcome::refused("cut-off", RETRY_AFTER));
    }
    Ok(())
}

/// Returns whether this gateway reaches an endpoint over its own links, for another gateway.
pub async fn check(state: &Rc<State>, endpoint: &str) -> Reach {
    let instance = state.catalog.borrow().endpoint(endpoint);
    let Some(instance) = instance else {
        return Reach::Unknown;
    };
    if probe(state, &instance).await {
        return Reach::Reached;
    }
    if have_links(state, &instance).await {
        Reach::Unreached
    } else {
        Reach::Unknown
    }
}

/// Returns whether this gateway's links work, after a connection to an endpoint has failed.
pub async fn have_links(state: &Rc<State>, endpoint: &Rc<Instance>) -> bool {
    let reach = || state.reach.borrow();
    if reach().has_failed() {
        return false;
    }
    if reach().has_evidence(clock::now()) {
        return true;
    }
    suspect(state, endpoint);
    probe_sample(state, SURVEY_COUNT).await
}
