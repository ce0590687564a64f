//! Requests to model engines: the adapter's home is tried first.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::choice;
use endivespur_core::gateway::endpoint::{Instance, Weights};
use endivespur_core::gateway::placement::Ask;
use endivespur_core::gateway::table::Repeat;
use endivespur_core::id::{Endpoint, Grant, Version};
use endivespur_http::head::Framing;
use endivespur_platform::header::Dispatch;
use log::info;
use smol::Timer;

use crate::exchange::{Call, Caller, Ending};
use crate::owned::Reply;
use crate::relay::{self, Failure};
use crate::state::{Running, State};
use crate::{crash, peer, telemetry, timer};

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
/// When a caller should come back that found no engine: a takeover of an owner.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// The most engines that are offered a request that none of them ran.
const MAX_OFFERS: usize = 6;
/// The largest share of a service's engines that is avoided: the others would have to fetch
/// the adapters of more.
const MAX_AVOIDED_SHARE: f64 = 0.34;
/// The longest body of a refusal that is read to keep the connection.
const MAX_REFUSAL_BYTES: usize = 4096;
/// How long after the deadline a stream may still end by itself.
const STREAM_SLACK: Duration = Duration::from_millis(300);

/// Where an engine's owner is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seat {
    /// In this process.
    Here,
    /// On another VM.
    Peer(SocketAddr),
}

/// Permission to send a request to an engine; the owner is told when it is dropped.
struct Permit {
    state: Rc<State>,
    instance: Rc<Instance>,
    weights: Weights,
    grant: Option<(Seat, Grant)>,
    version: Option<Version>,
    is_missing: bool,
    _running: Running,
}

impl Permit {
    /// Tells the owner that the answer has begun.
    fn began(&self) {
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

/// The events of a stream that were passed on.
struct Progress {
    last_event: Option<u64>,
    /// The bytes of an event that is not whole yet.
    partial: Vec<u8>,
}

/// How the answer of one engine ended.
enum Passed {
    Whole,
    /// It broke off; another engine may go on.
    Broken(String),
    /// The caller has left.
    Left(String),
}

/// What is to be done after one engine was offered the request.
enum Offer {
    /// The request has ended.
    Ended(Ending),
    /// The engine was not reached.
    NotSent(String),
    /// The engine did not run it.
    NotRun(String),
    /// The engine ran it, or may have, and another may go on.
    Failed(Ending),
}

/// What is known of a request so far.
struct Course {
    tried: BTreeSet<Endpoint>,
    /// The sends that reached an engine; each beyond the first is paid from the retry budget.
    arrivals: u32,
    /// The engines that ran it, or may have.
    runs: u32,
    progress: Progress,
}

/// Answers a request to a model engine.
pub async fn answer(state: &Rc<State>, call: &Call, caller: &mut Caller<'_>) -> Ending {
    let mut course = Course {
        tried: BTreeSet::new(),
        arrivals: 0,
        runs: 0,
        progress: Progress {
            last_event: call.fields.last_event,
            partial: Vec::new(),
        },
    };
    let mut last = Ending::refused("late", RETRY_AFTER);
    for offer in 0..MAX_OFFERS {
        if call.left().is_zero() {
            break;
        }
        let permit = match acquire(state, call, &course.tried).await {
            Ok(permit) => permit,
            Err(reason) => {
                if course.runs == 0 {
                    last = Ending::refused(reason, RETRY_AFTER);
                }
                break;
            }
        };
        if course.arrivals > 0 && !state.withdraw_retry(&call.service) {
            break;
        }
        log_permit(call, &permit, offer);
        let offered = offer_to(state, call, caller, permit, &mut course).await;
        if !matches!(offered, Offer::NotSent(_)) {
            course.arrivals += 1;
        }
        match offered {
            Offer::Ended(ending) => return ending,
            Offer::NotSent(reason) | Offer::NotRun(reason) if course.runs == 0 => {
                last = Ending::refused(&reason, RETRY_AFTER);
            }
            Offer::NotSent(_) | Offer::NotRun(_) => {}
            Offer::Failed(ending) => {
                last = ending;
                let may_resume = call.route.repeat == Repeat::ResumableStream;
                if !may_resume || course.runs >= call.route.max_endpoints {
                    break;
                }
            }
        }
    }
    if caller.has_begun {
        return Ending::Broken("stream not resumed".to_string());
    }
    last
}

/// Sends the request to one engine and passes its answer on.
async fn offer_to(
    state: &Rc<State>,
    call: &Call,
    caller: &mut Caller<'_>,
    mut permit: Permit,
    course: &mut Course,
) -> Offer {
    let instance = permit.instance.clone();
    let now = clock::now();
    let sent = send(state, call, &permit, course.progress.last_event, caller).await;
    let failure = match sent {
        Ok(reply) if reply.answer.is_not_run => {
            return not_run(state, call, &mut permit, course, reply).await;
        }
        Ok(mut reply) if reply.answer.is_signed => {
            telemetry::began(clock::now().saturating_sub(now));
            info!(
                event = "head", request = call.fields.attempt.as_str(),
                endpoint = instance.id.as_str(), status = reply.head.status,
                took_ms = clock::now().saturating_sub(now).as_millis() as u64; "answer began"
            );
            permit.began();
            let is_failure = reply.head.status >= 500;
            let may_resume = call.route.repeat == Repeat::ResumableStream
                && course.runs + 1 < call.route.max_endpoints;
            if is_failure && (caller.has_begun || may_resume) {
                format!("engine-status-{}", reply.head.status)
            } else {
                if !is_failure {
                    let took = clock::now().saturating_sub(now);
                    let mut health = state.health.borrow_mut();
                    health.answered(clock::now(), &instance.id, took);
                }
                match pass_on(call, caller, &mut reply, &mut course.progress).await {
                    Passed::Whole => {
                        let status = reply.head.status;
                        reply.finish(state);
                        return Offer::Ended(Ending::Relayed(status));
                    }
                    Passed::Left(reason) => return Offer::Ended(Ending::Broken(reason)),
                    Passed::Broken(reason) => reason,
                }
            }
        }
        Ok(reply) => format!("unsigned-status-{}", reply.head.status),
        Err(Failure::Down(reason)) => {
            log_attempt(call, &instance, "not-sent", &reason);
            state.health.borrow_mut().down(clock::now(), &instance.id);
            course.tried.insert(instance.id.clone());
            return Offer::NotSent(reason);
        }
        Err(Failure::NotSent(reason)) => {
            log_attempt(call, &instance, "not-sent", &reason);
            state.health.borrow_mut().failed(clock::now(), &instance.id);
            course.tried.insert(instance.id.clone());
            return Offer::NotSent(reason);
        }
        Err(Failure::Late) => {
            log_attempt(call, &instance, "late", "no answer in time");
            state.health.borrow_mut().late(clock::now(), &instance.id);
            return Offer::Ended(Ending::unknown(504, "late"));
        }
        Err(Failure::Lost(reason)) => reason,
    };
    course.runs += 1;
    crash::suspect(state, call, instance.address);
    log_attempt(call, &instance, "unknown", &failure);
    state.health.borrow_mut().failed(clock::now(), &instance.id);
    course.tried.insert(instance.id.clone());
    Offer::Failed(Ending::unknown(502, &failure))
}

/// Notes that an engine did not run the request; one that lacks the adapter is asked again.
async fn not_run(
    state: &Rc<State>,
    call: &Call,
    permit: &mut Permit,
    course: &mut Course,
    mut reply: relay::Reply,
) -> Offer {
    let status = reply.head.status;
    permit.is_missing = status == 421;
    if status != 421 || permit.grant.is_none() {
        course.tried.insert(permit.instance.id.clone());
    }
    let reason = format!("engine-status-{status}");
    log_attempt(call, &permit.instance, "not-run", &reason);
    if let Ok(Some(_)) = reply.whole(MAX_REFUSAL_BYTES).await {
        reply.finish(state);
    }
    Offer::NotRun(reason)
}

fn log_permit(call: &Call, permit: &Permit, offer: usize) {
    let waited = clock::now().saturating_sub(call.started);
    telemetry::granted(waited);
    info!(
        event = "granted", request = call.fields.attempt.as_str(),
        endpoint = permit.instance.id.as_str(), adapter = permit.weights.to_string(),
        owner:? = permit.grant.map(|(seat, _)| seat), version = permit.version, offer,
        tokens = call.fields.prompt_tokens,
        waited_ms = waited.as_millis() as u64; "granted"
    );
}

fn log_attempt(call: &Call, instance: &Instance, outcome: &'static str, reason: &str) {
    telemetry::attempt_failed(outcome);
    info!(
        event = "attempt", request = call.fields.attempt.as_str(),
        endpoint = instance.id.as_str(), outcome, reason; "engine gave no answer"
    );
}

async fn send(
    state: &Rc<State>,
    call: &Call,
    permit: &Permit,
    last_event: Option<u64>,
    caller: &Caller<'_>,
) -> Result<relay::Reply, Failure> {
    let left = call.left();
    let request = call.dispatch(&Dispatch {
        endpoint: permit.instance.id.clone(),
        deadline: left,
        version: permit.version,
        priority: Some(call.route.priority.min(9)),
        resume_after: last_event.filter(|_| caller.has_begun),
    });
    relay::send(
        state,
        &permit.instance,
        &request,
        &call.body,
        &call.fields.attempt,
        left,
    )
    .await
}

/// Passes an engine's answer on, whole events at a time.
async fn pass_on(
    call: &Call,
    caller: &mut Caller<'_>,
    reply: &mut relay::Reply,
    progress: &mut Progress,
) -> Passed {
    let is_stream = call.route.repeat.is_stream() && reply.head.status == 200;
    let limit = call.left() + STREAM_SLACK;
    let work = async {
        if !caller.has_begun {
            let framing = if is_stream {
                Framing::Chunked
            } else {
                reply.framing
            };
            if let Err(error) = caller.begin(&reply.head, framing).await {
                return Passed::Left(error.to_string());
            }
        }
        progress.partial.clear();
        loop {
            let bytes = match reply.next().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(error) => return Passed::Broken(error.to_string()),
            };
            let written = if is_stream {
                let events = whole_events(progress, &bytes);
                caller.piece(&events).await
            } else {
                caller.piece(&bytes).await
            };
            if let Err(error) = written {
                return Passed::Left(error.to_string());
            }
        }
        if is_stream && !progress.partial.is_empty() {
            return Passed::Broken("stream ended inside an event".to_string());
        }
        match caller.end().await {
            Ok(()) => Passed::Whole,
            Err(error) => Passed::Left(error.to_string()),
        }
    };
    timer::within(limit, work)
        .await
        .unwrap_or_else(|| Passed::Left("deadline".to_string()))
}

/// Returns the events that are whole with these bytes, less those passed on before.
fn whole_events(progress: &mut Progress, bytes: &[u8]) -> Vec<u8> {
    progress.partial.extend_from_slice(bytes);
    let mut events = Vec::new();
    while let Some(end) = progress.partial.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = progress.partial.drain(..end + 2).collect();
        let id = event_id(&event);
        let is_repeated = matches!((id, progress.last_event), (Some(id), Some(last)) if id <= last);
        if is_repeated {
            continue;
        }
        progress.last_event = id.or(progress.last_event);
        events.extend_from_slice(&event);
    }
    events
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}

/// Finds an engine that may run the request now.
async fn acquire(
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
        let homes: Vec<Rc<Instance>> = choice::engines(&weights, version, zone, borrowed)
            .into_iter()
            .filter_map(|home| engines.iter().find(|engine| engine.id == home.id))
            .cloned()
            .collect();
        let search = Search {
            state,
            call,
            weights: &weights,
        };
        let (homes, spares) = homes.split_at(homes.len().min(choice::HOMES));
        let mut found = search.run(homes).await;
        if matches!(found, Found::Busy) && !spares.is_empty() {
            found = search.run(spares).await;
        }
        match found {
            // The engine may have begun to leave while the request waited.
            Found::Permit(permit) if is_serving(state, &permit.instance) => return Ok(*permit),
            Found::Permit(_) => continue,
            Found::Busy => return Err("busy"),
            Found::NoOwner if call.objective_left().is_zero() => return Err("no-owner"),
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
        let ask = Ask {
            weights: self.weights.clone(),
            tokens: fields.prompt_tokens,
            parts: fields.parts.clone(),
            max_delay,
            only_resident,
            due: self.call.objective_left().mul_f64(DUE_SHARE),
        };
        let state = self.state;
        let wait = self.wait();
        let seat = seat(state, &instance.id)?;
        let reply = match seat {
            Seat::Here => state.owners.ask(&instance.id, &ask, wait).await,
            Seat::Peer(address) => peer::ask(state, address, &instance.id, &ask, wait)
                .await
                .ok()?,
        };
        Some(match reply {
            Reply::Granted(grant) => Ok(permit(state, instance, self.weights, Some((seat, grant)))),
            other => Err(other),
        })
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
