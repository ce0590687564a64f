//! Finds the engine for a request: asks the owners of those that may run it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::choice;
use endivespur_core::gateway::endpoint::{Instance, Weights};
use endivespur_core::gateway::placement::Request;
use endivespur_core::id::{Endpoint, Grant, Version};
use log::info;
use smol::Timer;

use crate::exchange::Call;
use crate::owned::Reply;
use crate::peer;
use crate::state::{Running, State};

/// The share of the objective that a request may wait behind other prompts before an
/// engine is preferred that also holds its adapter.
const SHORT_DELAY_SHARE: f64 = 0.2;
/// The share of the objective that a request may wait for its adapter, or behind other
/// prompts, before another engine fetches the adapter too; the rest is for reading the prompt.
const LONG_DELAY_SHARE: f64 = 0.6;
/// The delay that an engine in another zone counts for when an adapter is to be fetched: the
/// prompts' bytes between zones are paid for.
const FAR_DELAY: Duration = Duration::from_millis(40);
/// The share of the objective within which a prompt must be sent: reading it takes the rest.
const DUE_SHARE: f64 = 0.7;
/// The part of the deadline that is left to answer a request that cannot be served.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// The pause before engines without an owner are tried again.
const OWNER_PAUSE: Duration = Duration::from_millis(60);
/// The largest share of a service's engines that is avoided: the others would have to fetch
/// the adapters of more.
const MAX_AVOIDED_SHARE: f64 = 0.34;

/// Where an engine's owner is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seat {
    /// In this process.
    Here,
    /// On another VM.
    Peer(SocketAddr),
}

/// Permission to send a request to an engine; the owner is told when it is dropped.
pub struct Permit {
    state: Rc<State>,
    /// The engine.
    pub instance: Rc<Instance>,
    /// The weights that the request names.
    pub weights: Weights,
    /// The owner's grant; none if the engine's own word is relied on.
    pub grant: Option<(Seat, Grant)>,
    /// The adapter's version that must be there.
    pub version: Option<Version>,
    /// Whether the engine said that it lacks the weights.
    pub is_missing: bool,
    _running: Running,
}

impl Permit {
    /// Tells the owner that the answer has begun.
    pub fn began(&self) {
        let Some((seat, grant)) = self.grant else {
            return;
        };
        let Seat::Peer(address) = seat else {
            self.state.owners.began(&self.instance.id, grant);
            return;
        };
        let (state, id) = (self.state.clone(), self.instance.id.clone());
        self.state.spawn(async move {
            peer::began(&state, address, &id, grant).await;
        });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some((seat, grant)) = self.grant else {
            return;
        };
        let (id, is_missing) = (self.instance.id.clone(), self.is_missing);
        let Seat::Peer(address) = seat else {
            self.state
                .owners
                .release(&id, &self.weights, grant, is_missing);
            return;
        };
        let (state, weights) = (self.state.clone(), self.weights.clone());
        self.state.spawn(async move {
            peer::release(&state, address, &id, &weights, grant, is_missing).await;
        });
    }
}

/// Finds an engine that may run the request now.
///
/// # Errors
///
/// Returns why there is none.
pub async fn acquire(
    state: &Rc<State>,
    call: &Call,
    tried: &BTreeSet<Endpoint>,
) -> Result<Permit, &'static str> {
    let weights = call
        .fields
        .weights
        .clone()
        .unwrap_or_else(|| Weights::new("", ""));
    loop {
        let engines = candidates(state, call, &weights.base, tried);
        if engines.is_empty() {
            return Err("no-engine");
        }
        let borrowed = engines.iter().map(Rc::as_ref).collect();
        let version = state.catalog.borrow().version(&weights).unwrap_or_default();
        let zone = &state.settings.zone;
        let homes: Vec<Rc<Instance>> = choice::rank_engines(&weights, version, zone, borrowed)
            .into_iter()
            .filter_map(|home| engines.iter().find(|engine| engine.id == home.id))
            .cloned()
            .collect();
        let search = Search {
            state,
            call,
            weights: &weights,
            answers: RefCell::new(BTreeMap::new()),
        };
        let (homes, spares) = homes.split_at(homes.len().min(choice::MAX_HOMES));
        let mut found = search.run(homes).await;
        if matches!(found, Found::Busy) && !spares.is_empty() {
            found = search.run(spares).await;
        }
        match found {
            // The engine may have begun to leave while the request waited.
            Found::Permit(permit) if is_serving(state, &permit.instance) => return Ok(*permit),
            Found::Permit(_) => continue,
            Found::Busy => return Err(search.give_up("busy")),
            Found::NoOwner if call.objective_left().is_zero() => {
                return Err(search.give_up("no-owner"));
            }
            Found::NoOwner => Timer::after(OWNER_PAUSE).await,
        };
    }
}

fn is_serving(state: &State, instance: &Instance) -> bool {
    let known = state.catalog.borrow().endpoint(&instance.id);
    known.is_some_and(|known| known.born == instance.born && !known.is_leaving)
}

/// The search of an engine among an adapter's homes.
struct Search<'a> {
    state: &'a Rc<State>,
    call: &'a Call,
    weights: &'a Weights,
    /// The last answer for each engine, for the log.
    answers: RefCell<BTreeMap<Endpoint, Answer>>,
}

/// Why an engine was not granted.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Unowned,
    /// Its owner did not answer.
    Silent,
    Refused(Reply),
}

impl Answer {
    /// Returns what the log calls it.
    fn text(self) -> String {
        match self {
            Self::Unowned => "unowned".to_string(),
            Self::Silent => "silent".to_string(),
            Self::Refused(Reply::Granted(_)) => "granted".to_string(),
            Self::Refused(Reply::Busy(delay)) => format!("busy for {} ms", delay.as_millis()),
            Self::Refused(Reply::NotOwner) => "no longer owned".to_string(),
            Self::Refused(Reply::Late) => "adapter late".to_string(),
        }
    }
}

/// What a search found.
enum Found {
    Permit(Box<Permit>),
    /// No engine can run the request in time.
    Busy,
    /// No owner answered.
    NoOwner,
}

impl Search<'_> {
    /// Asks the homes: first for a short delay where the adapter is, then for a longer one
    /// or a fetch, then for what is shortest.
    async fn run(&self, homes: &[Rc<Instance>]) -> Found {
        let objective = self.call.route.objective;
        let short = Some(objective.mul_f64(SHORT_DELAY_SHARE));
        let long = Some(objective.mul_f64(LONG_DELAY_SHARE));
        let mut delays: Vec<(Duration, Rc<Instance>)> = Vec::new();
        for home in homes {
            match self.ask(home, short, true).await {
                Some(Ok(permit)) => return Found::Permit(Box::new(permit)),
                Some(Err(Reply::Busy(delay))) => {
                    let is_near = home.zone == self.state.settings.zone;
                    let far = if is_near { Duration::ZERO } else { FAR_DELAY };
                    delays.push((delay + far, home.clone()));
                }
                Some(Err(Reply::Late)) => return Found::Busy,
                Some(Err(_)) | None => {
                    if let Some(permit) = unowned(self.state, home, self.weights) {
                        return Found::Permit(Box::new(permit));
                    }
                }
            }
        }
        if delays.is_empty() {
            return Found::NoOwner;
        }
        delays.sort_by_key(|(delay, _)| *delay);
        for (_, home) in &delays {
            match self.ask(home, long, false).await {
                Some(Ok(permit)) => return Found::Permit(Box::new(permit)),
                Some(Err(Reply::Late)) => return Found::Busy,
                Some(Err(_)) | None => {}
            }
        }
        for (_, home) in &delays {
            if let Some(Ok(permit)) = self.ask(home, Some(self.wait()), false).await {
                return Found::Permit(Box::new(permit));
            }
        }
        Found::Busy
    }

    /// Logs why no engine was found, and returns the reason.
    fn give_up(&self, reason: &'static str) -> &'static str {
        let answers = self.answers.borrow();
        let answers = answers
            .iter()
            .map(|(endpoint, answer)| format!("{endpoint} {}", answer.text()));
        let answers: Vec<String> = answers.collect();
        info!(
            event = "not-acquired", request = self.call.fields.attempt.as_str(),
            adapter = self.weights.to_string(), reason, answers = answers.join(", ");
            "no engine can run it in time"
        );
        reason
    }

    /// Returns how long the request may wait and still be answered.
    fn wait(&self) -> Duration {
        self.call.patience_left().saturating_sub(ANSWER_MARGIN)
    }

    /// Asks an engine's owner; nothing if it has none, or that is silent.
    async fn ask(
        &self,
        instance: &Rc<Instance>,
        max_delay: Option<Duration>,
        only_resident: bool,
    ) -> Option<Result<Permit, Reply>> {
        let fields = &self.call.fields;
        let ask = Request {
            weights: self.weights.clone(),
            tokens: fields.prompt_tokens,
            parts: fields.parts.clone(),
            max_delay,
            only_resident,
            due: self.call.objective_left().mul_f64(DUE_SHARE),
        };
        let state = self.state;
        let wait = self.wait();
        let note = |answer: Answer| {
            let mut answers = self.answers.borrow_mut();
            answers.insert(instance.id.clone(), answer);
        };
        let Some(seat) = seat(state, &instance.id) else {
            note(Answer::Unowned);
            return None;
        };
        let reply = match seat {
            Seat::Here => Ok(state.owners.ask(&instance.id, &ask, wait).await),
            Seat::Peer(address) => peer::ask(state, address, &instance.id, &ask, wait).await,
        };
        match reply {
            Ok(Reply::Granted(grant)) => {
                let grant = Some((seat, grant));
                Some(Ok(permit(state, instance, self.weights, grant)))
            }
            Ok(refused) => {
                note(Answer::Refused(refused));
                Some(Err(refused))
            }
            Err(peer::Silent) => {
                note(Answer::Silent);
                None
            }
        }
    }
}

/// Returns the service's engines less those tried, less those that still load their base
/// model, and less those avoided if others remain.
fn candidates(
    state: &State,
    call: &Call,
    base: &str,
    tried: &BTreeSet<Endpoint>,
) -> Vec<Rc<Instance>> {
    let now = clock::now();
    let mut engines = state.catalog.borrow().serving(&call.service);
    engines.retain(|instance| !tried.contains(&instance.id));
    let holds = |instance: &Rc<Instance>| instance.bases.contains_key(base);
    if engines.iter().any(holds) {
        engines.retain(holds);
    }
    let health = state.health.borrow();
    let sound: Vec<_> = engines
        .iter()
        .filter(|instance| !health.is_avoided(now, &instance.id))
        .cloned()
        .collect();
    let avoided = engines.len() - sound.len();
    if avoided as f64 > engines.len() as f64 * MAX_AVOIDED_SHARE {
        engines
    } else {
        sound
    }
}

/// Returns where an engine's owner is, if it has one that is known.
fn seat(state: &State, endpoint: &str) -> Option<Seat> {
    let claims = state.claims.borrow();
    let claim = claims.get(endpoint)?;
    if claim.process == state.process {
        return Some(Seat::Here);
    }
    let catalog = state.catalog.borrow();
    let peer = catalog.peer(&claim.vm)?;
    (peer.process == claim.process).then_some(Seat::Peer(peer.address))
}

/// Permits an engine whose owner does not answer, if it holds the adapter by its own word.
fn unowned(state: &Rc<State>, instance: &Rc<Instance>, weights: &Weights) -> Option<Permit> {
    let base = instance.bases.get(&weights.base)?;
    let newest = state.catalog.borrow().version(weights);
    let mut permit = permit(state, instance, weights, None);
    if !weights.adapter.is_empty() {
        let held = *base.adapters.get(&weights.adapter)?;
        if newest.is_some_and(|newest| held < newest) {
            return None;
        }
        permit.version = (held > 0).then_some(held);
    }
    Some(permit)
}

fn permit(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    weights: &Weights,
    grant: Option<(Seat, Grant)>,
) -> Permit {
    Permit {
        state: state.clone(),
        instance: instance.clone(),
        weights: weights.clone(),
        grant,
        version: None,
        is_missing: false,
        _running: Running::new(state, &instance.id),
    }
}
