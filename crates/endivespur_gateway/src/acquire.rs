//! Selects an engine for a request by requesting a grant from the owners of the candidates.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::choice::{self, Group, Pass};
use endivespur_core::gateway::endpoint::{Instance, Weights};
use endivespur_core::gateway::placement::Request;
use endivespur_core::id::{Endpoint, Grant, Software, Version};
use log::info;
use smol::Timer;

use crate::authorize;
use crate::exchange::Call;
use crate::limit::{self, Token};
use crate::owned::{Ended, Reply};
use crate::peer;
use crate::state::{InFlight, State};

/// The delay added to engines in another zone when they are compared for fetching an adapter:
/// sending the prompts between zones is billed.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(40);
/// The time kept before the deadline to respond to a request that cannot be served.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// The pause before engines without an owner are tried again.
const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The largest share of a service's engines that may be avoided: beyond it, the remaining
/// engines would have to fetch the adapters of too many others.
const MAX_AVOIDED_SHARE: f64 = 0.34;

/// The location of an engine's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// In this process.
    Here,
    /// On another VM, whose gateway listens at this address.
    Peer(SocketAddr),
}

/// Permission to send a request to an engine; dropping it releases the owner's grant.
pub struct Permit {
    state: Rc<State>,
    /// The engine.
    pub instance: Rc<Instance>,
    /// The weights named by the request.
    pub weights: Weights,
    /// The owner's grant; `None` if the permit relies on the engine's registration alone.
    pub grant: Option<(Location, Grant)>,
    /// The adapter version that the engine must hold, if the permit relies on its registration.
    pub version: Option<Version>,
    /// The token for an engine with a limit.
    pub token: Option<Token>,
    /// Whether the engine responded that it lacks the adapter.
    pub is_adapter_missing: bool,
    /// How long work takes at the engine now, in percent of the usual time, until the owner has been told; 0 if it is not
    /// known.
    pub slowdown: u32,
    /// The longest pause between two events of its stream; zero if it is not known.
    pub longest_pause: Duration,
    _in_flight: InFlight,
}

impl Permit {
    /// Notifies the owner that the response has started.
    pub fn response_started(&mut self) {
        let slowdown = std::mem::take(&mut self.slowdown);
        let Some((location, grant)) = self.grant else {
            return;
        };
        let Location::Peer(address) = location else {
            self.state
                .owned_engines
                .response_started(&self.instance.id, grant, slowdown);
            return;
        };
        let (state, id) = (self.state.clone(), self.instance.id.clone());
        self.state.spawn(async move {
            peer::response_started(&state, address, &id, grant, slowdown).await;
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some((location, grant)) = self.grant else {
            return;
        };
        let id = self.instance.id.clone();
        let ended = Ended {
            is_adapter_missing: self.is_adapter_missing,
            slowdown: self.slowdown,
            longest_pause: self.longest_pause,
        };
        let Location::Peer(address) = location else {
            self.state
                .owned_engines
                .release(&id, &self.weights, grant, ended);
            return;
        };
        let (state, weights) = (self.state.clone(), self.weights.clone());
        self.state.spawn(async move {
            peer::release(&state, address, &id, &weights, grant, ended).await;
        });
    }
}

/// Why no engine can run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// The reason, for the log and the metrics.
    pub reason: &'static str,
    /// The time after which an engine may run it, if it is known.
    pub retry_after: Option<Duration>,
}

impl Unavailable {
    fn new(reason: &'static str) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

/// Waits until an engine may run the request, and returns a permit for it. If `software` is given, only
/// engines of that software version may.
///
/// # Errors
///
/// Returns the reason if no engine can run it in time.
pub async fn acquire(
    state: &Rc<State>,
    call: &Call,
    tried: &BTreeSet<Endpoint>,
    software: Option<&Software>,
) -> Result<Permit, Unavailable> {
    let weights = call
        .fields
        .weights
        .clone()
        .unwrap_or_else(|| Weights::new("", ""));
    loop {
        let engines = candidates(state, call, &weights.base, tried, software);
        if engines.is_empty() {
            return Err(Unavailable::new("no-engine"));
        }
        let borrowed = engines.iter().map(Rc::as_ref).collect();
        let version = state.catalog.borrow().version(&weights).unwrap_or_default();
        let zone = &state.settings.zone;
        let (ranked, further) = choice::rank_all(&weights, version, zone, borrowed);
        let find = |chosen: &&Instance| engines.iter().find(|engine| engine.id == chosen.id);
        let ranked: Vec<Rc<Instance>> = ranked.iter().filter_map(find).cloned().collect();
        let search = Search {
            state,
            call,
            weights: &weights,
            has_begun: software.is_some() || call.fields.last_event_id.is_some(),
            refusals: RefCell::new(BTreeMap::new()),
        };
        let mut outcome = search.run(&ranked).await;
        if matches!(outcome, Outcome::Busy) && search.may_be_deferred() {
            let further: Vec<_> = further.iter().filter_map(find).cloned().collect();
            outcome = search.run_further(&further).await;
        }
        match outcome {
            // The engine may have started to drain while the request waited.
            Outcome::Permit(permit) if is_serving(state, &permit.instance) => return Ok(*permit),
            Outcome::Permit(_) => continue,
            Outcome::Busy => return Err(search.log_failure("busy")),
            Outcome::NoOwner if call.objective_left().is_zero() => {
                return Err(search.log_failure("no-owner"));
            }
            Outcome::NoOwner => Timer::after(OWNER_RETRY_PAUSE).await,
        };
    }
}

fn is_serving(state: &State, instance: &Instance) -> bool {
    let current = state.catalog.borrow().endpoint(&instance.id);
    current.is_some_and(|current| current.started_ms == instance.started_ms && !current.is_draining)
}

/// The search for an engine that grants a request.
struct Search<'a> {
    state: &'a Rc<State>,
    call: &'a Call,
    weights: &'a Weights,
    /// Whether its caller has got a part of the stream.
    has_begun: bool,
    /// The last refusal for each engine, for the log.
    refusals: RefCell<BTreeMap<Endpoint, Refusal>>,
}

/// The reason why an engine was not granted.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    Unowned,
    /// It takes no more requests before this time.
    Limited(Duration),
    /// Its owner did not reply.
    Unresponsive,
    Refused(Reply),
}

impl Refusal {
    /// Returns the text that is logged.
    fn text(self) -> String {
        match self {
            Self::Unowned => "unowned".to_string(),
            Self::Limited(wait) => format!("limited for {} ms", wait.as_millis()),
            Self::Unresponsive => "silent".to_string(),
            Self::Refused(Reply::Granted(_)) => "granted".to_string(),
            Self::Refused(Reply::Busy(delay)) => format!("busy for {} ms", delay.as_millis()),
            Self::Refused(Reply::NotOwner) => "no longer owned".to_string(),
            Self::Refused(Reply::Late) => "adapter late".to_string(),
        }
    }
}

/// The outcome of a search.
enum Outcome {
    Permit(Box<Permit>),
    /// No engine can run the request in time.
    Busy,
    /// No engine has an owner that replied.
    NoOwner,
}

impl Search<'_> {
    /// Requests a grant in the passes of [`choice::passes`].
    async fn run(&self, ranked: &[Rc<Instance>]) -> Outcome {
        let mut busy: BTreeMap<usize, Duration> = BTreeMap::new();
        for pass in choice::passes(self.call.route.objective, self.max_wait()) {
            for position in pass.group.positions(ranked.len(), &busy) {
                let Some(engine) = ranked.get(position) else {
                    continue;
                };
                match self.request_grant(engine, pass).await {
                    Some(Ok(permit)) => return Outcome::Permit(Box::new(permit)),
                    Some(Err(Reply::Late)) => return Outcome::Busy,
                    Some(Err(Reply::Busy(delay))) if pass.group != Group::Busy => {
                        busy.insert(position, delay + self.zone_penalty(engine));
                    }
                    Some(Err(_)) | None if pass.group != Group::Busy => {
                        if let Some(permit) = permit_without_owner(self.state, engine, self.weights)
                        {
                            return Outcome::Permit(Box::new(permit));
                        }
                    }
                    Some(Err(_)) | None => {}
                }
            }
            if busy.is_empty() {
                return Outcome::NoOwner;
            }
        }
        Outcome::Busy
    }

    /// Returns whether an owner may have deferred the request in favour of other teams, while time is left to ask others.
    fn may_be_deferred(&self) -> bool {
        let refusals = self.refusals.borrow();
        let mut refusals = refusals.values();
        let is_busy = |refusal: &Refusal| matches!(refusal, Refusal::Refused(Reply::Busy(_)));
        self.call.team.is_some() && !self.max_wait().is_zero() && refusals.any(is_busy)
    }

    /// Requests a grant from engines that are usually not asked.
    async fn run_further(&self, engines: &[Rc<Instance>]) -> Outcome {
        let pass = choice::further_pass(self.call.route.objective, self.max_wait());
        for engine in engines {
            match self.request_grant(engine, pass).await {
                Some(Ok(permit)) => return Outcome::Permit(Box::new(permit)),
                Some(Err(Reply::Late)) => return Outcome::Busy,
                Some(Err(_)) | None => {}
            }
        }
        Outcome::Busy
    }

    /// Returns what is added to the delay of an engine in another zone.
    fn zone_penalty(&self, engine: &Instance) -> Duration {
        if engine.zone == self.state.settings.zone {
            Duration::ZERO
        } else {
            CROSS_ZONE_PENALTY
        }
    }

    /// Logs why no engine was found, and returns the reason.
    fn log_failure(&self, reason: &'static str) -> Unavailable {
        let refusals = self.refusals.borrow();
        let waits = refusals.values().map(|refusal| match refusal {
            Refusal::Limited(wait) => Some(*wait),
            _ => None,
        });
        // The time to the next token helps only if no engine is busy for another reason.
        let waits: Option<Vec<Duration>> = waits.collect();
        let retry_after = waits.and_then(|waits| waits.into_iter().min());
        let reason = retry_after.map_or(reason, |_| "limited");
        let refusals = refusals
            .iter()
            .map(|(endpoint, refusal)| format!("{endpoint} {}", refusal.text()));
        let refusals: Vec<String> = refusals.collect();
        info!(
            event = "not-acquired", request = self.call.fields.attempt_id.as_str(),
            team = self.call.team.as_deref().unwrap_or_default(),
            adapter = self.weights.to_string(), reason, answers = refusals.join(", ");
            "no engine can run it in time"
        );
        Unavailable {
            reason,
            retry_after,
        }
    }

    /// Returns how long the request may wait and still get a response.
    fn max_wait(&self) -> Duration {
        self.call
            .caller_timeout_left()
            .saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns the longest pause between two events that meets the objective; `None` if the response is no stream.
    fn max_pause(&self) -> Option<Duration> {
        let (route, is_stream) = (&self.call.route, self.call.route.retry_policy.is_stream());
        (is_stream && !route.max_pause.is_zero()).then_some(route.max_pause)
    }

    /// Requests a grant from an engine's owner, and first a token if the engine has a limit; returns
    /// `None` if it has no owner, or one that does not reply.
    async fn request_grant(
        &self,
        instance: &Rc<Instance>,
        pass: Pass,
    ) -> Option<Result<Permit, Reply>> {
        let fields = &self.call.fields;
        let wait = self.max_wait();
        let request = Request {
            weights: self.weights.clone(),
            tokens: fields.prompt_tokens,
            parts: fields.parts.clone(),
            max_delay: Some(pass.max_delay),
            only_resident: pass.only_resident,
            due_in: choice::due_in(self.call.objective_left(), wait, self.has_begun),
            max_pause: self.max_pause(),
            output_tokens: fields.max_output_tokens,
            end_in: (!self.has_begun).then(|| self.call.time_left()),
            is_last: pass.max_delay >= wait,
            team: self.call.team.clone().unwrap_or_default(),
            team_share: authorize::share(self.state, self.call.team.as_deref()),
        };
        let state = self.state;
        let record = |refusal: Refusal| {
            let mut refusals = self.refusals.borrow_mut();
            refusals.insert(instance.id.clone(), refusal);
        };
        let token = match limit::acquire(state, instance).await {
            Ok(token) => token,
            Err(wait) => {
                record(Refusal::Limited(wait));
                return Some(Err(Reply::Busy(wait)));
            }
        };
        let Some(location) = locate_owner(state, &instance.id) else {
            record(Refusal::Unowned);
            return None;
        };
        let reply = match location {
            Location::Here => Ok(state
                .owned_engines
                .request_grant(&instance.id, &request, wait)
                .await),
            Location::Peer(address) => {
                peer::ask(state, address, &instance.id, &request, wait).await
            }
        };
        match reply {
            Ok(Reply::Granted(grant)) => {
                let grant = Some((location, grant));
                let mut permit = new_permit(state, instance, self.weights, grant);
                permit.token = token;
                Some(Ok(permit))
            }
            Ok(refused) => {
                record(Refusal::Refused(refused));
                Some(Err(refused))
            }
            Err(peer::Unresponsive) => {
                record(Refusal::Unresponsive);
                None
            }
        }
    }
}

/// Returns the service's engines of a software version, if one is given, that were not tried yet.
///
/// Engines that still load the base model are left out if another one holds it. Avoided engines
/// are left out unless they exceed [`MAX_AVOIDED_SHARE`].
fn candidates(
    state: &State,
    call: &Call,
    base: &str,
    tried: &BTreeSet<Endpoint>,
    software: Option<&Software>,
) -> Vec<Rc<Instance>> {
    let now = clock::now();
    let mut engines = state.catalog.borrow().serving(&call.service);
    engines.retain(|instance| !tried.contains(&instance.id));
    engines.retain(|instance| software.is_none_or(|software| instance.software == *software));
    let has_base = |instance: &Rc<Instance>| instance.bases.contains_key(base);
    if engines.iter().any(has_base) {
        engines.retain(has_base);
    }
    let health = state.health.borrow();
    let healthy: Vec<_> = engines
        .iter()
        .filter(|instance| !health.is_avoided(now, &instance.id))
        .cloned()
        .collect();
    let avoided = engines.len() - healthy.len();
    if avoided as f64 > engines.len() as f64 * MAX_AVOIDED_SHARE {
        engines
    } else {
        healthy
    }
}

/// Returns the location of an engine's owner, if it has one that is known.
fn locate_owner(state: &State, endpoint: &str) -> Option<Location> {
    let claims = state.claims.borrow();
    let claim = claims.get(endpoint)?;
    if claim.process == state.process {
        return Some(Location::Here);
    }
    let catalog = state.catalog.borrow();
    let peer = catalog.peer(&claim.vm)?;
    (peer.process == claim.process).then_some(Location::Peer(peer.address))
}

/// Returns a permit for an engine whose owner does not reply, if the engine's registration lists
/// the adapter in its newest version.
fn permit_without_owner(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    weights: &Weights,
) -> Option<Permit> {
    let base = instance.bases.get(&weights.base)?;
    let newest = state.catalog.borrow().version(weights);
    let mut permit = new_permit(state, instance, weights, None);
    if !weights.adapter.is_empty() {
        let resident_version = *base.adapters.get(&weights.adapter)?;
        if newest.is_some_and(|newest| resident_version < newest) {
            return None;
        }
        permit.version = (resident_version > 0).then_some(resident_version);
    }
    Some(permit)
}

fn new_permit(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    weights: &Weights,
    grant: Option<(Location, Grant)>,
) -> Permit {
    Permit {
        state: state.clone(),
        instance: instance.clone(),
        weights: weights.clone(),
        grant,
        token: None,
        version: None,
        is_adapter_missing: false,
        slowdown: 0,
        longest_pause: Duration::ZERO,
        _in_flight: InFlight::new(state, &instance.id),
    }
}
