//! Chooses an endpoint of a plain service, and sends it a request.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::choice::{self, Candidate};
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::hedge::End;
use endivespur_core::gateway::load::Report;
use endivespur_core::hash;
use endivespur_core::id::Endpoint;
use endivespur_http::head::{Framing, Response};
use endivespur_platform::header::{self, Dispatch};

use crate::body::{Body, Unread};
use crate::crash::Run;
use crate::exchange::Call;
use crate::relay::{Failure, Outgoing};
use crate::room::Held;
use crate::state::{InFlight, State};
use crate::{authorize, limit, link, timer};

/// The maximum size of a response, which is read completely before it is relayed.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// The outcome of one attempt at one endpoint.
pub enum Attempt {
    /// The endpoint's complete response, and its framing.
    Complete(Response, Body, Framing),
    /// The endpoint was not reached.
    NotSent(String),
    /// The endpoint did not run the request.
    NotRun(String),
    /// The endpoint may have run the request.
    Unknown(String),
    /// The endpoint ran the request, and there was no memory for its response.
    Shed(Response, Framing),
    /// There was no complete response in time; the endpoint may have run the request.
    Timeout,
}

impl Attempt {
    /// Returns how it ends one of the runs of a request.
    pub fn end(&self) -> End {
        match self {
            Self::Complete(head, ..) if head.status < 500 => End::Good,
            Self::NotSent(_) | Self::NotRun(_) => End::NotRun,
            Self::Complete(..) | Self::Unknown(_) | Self::Shed(..) | Self::Timeout => End::Failed,
        }
    }
}

/// Chooses an endpoint, uses up a token if it has a limit, and takes room if it is brittle.
///
/// # Errors
///
/// Returns an error if there is no endpoint, with the time until the next token or room if there
/// are only endpoints with a limit or brittle ones.
pub async fn acquire_endpoint(
    state: &Rc<State>,
    call: &Call,
    tried: &BTreeSet<Endpoint>,
) -> Result<(Rc<Instance>, Option<Held>), Option<Duration>> {
    let mut excluded = tried.clone();
    let mut next_token: Option<Duration> = None;
    while let Some(instance) = choose_endpoint(state, call, &excluded) {
        match limit::consume(state, &instance, None, call).await {
            Ok(room) => return Ok((instance, room)),
            Err(wait) => {
                next_token = Some(next_token.map_or(wait, |next| next.min(wait)));
                excluded.insert(instance.id.clone());
            }
        }
    }
    Err(next_token)
}

/// Returns the endpoint of a request's service that is ranked first, of those that were not tried.
pub fn choose_endpoint(
    state: &State,
    call: &Call,
    tried: &BTreeSet<Endpoint>,
) -> Option<Rc<Instance>> {
    let now = clock::now();
    let catalog = state.catalog.borrow();
    let health = state.health.borrow();
    let loads = state.loads.borrow();
    let in_flight = state.in_flight.borrow();
    let serving = catalog.serving(&call.service);
    let candidates = serving
        .iter()
        .filter(|instance| !tried.contains(&instance.id))
        .map(|instance| {
            let running = in_flight.get(&instance.id).copied().unwrap_or_default();
            Candidate {
                endpoint: instance.id.clone(),
                running,
                slots: instance.slots,
                is_same_zone: instance.zone == state.settings.zone,
                is_avoided: health.is_avoided(now, &instance.id),
                latency: health.latency(&instance.id).as_secs_f64(),
                load: loads.estimate(now, &instance.id, running),
            }
        })
        .collect();
    let seed = hash::mix(&call.fields.attempt_id, 0);
    let best = choice::rank_endpoints(candidates, seed)
        .into_iter()
        .next()?;
    catalog.endpoint(&best)
}

/// Sends the request to one endpoint, and records how its run ended for the detection of crashes. If the future is
/// dropped, the run is cancelled and its connection closed.
pub async fn run(
    state: &Rc<State>,
    call: &Call,
    instance: &Rc<Instance>,
    room: Option<Held>,
) -> Attempt {
    let run = Run::new(state, call, instance);
    let attempt = send(state, call, instance, room).await;
    match &attempt {
        Attempt::Complete(head, _, framing) | Attempt::Shed(head, framing) => {
            run.responded(head.status, *framing);
        }
        Attempt::NotSent(_) | Attempt::NotRun(_) => run.ended(),
        Attempt::Unknown(_) => run.lost(),
        // The endpoint may have crashed without a reset of its connections.
        Attempt::Timeout => drop(run),
    }
    attempt
}

/// Sends the request to one endpoint and reads its response.
async fn send(
    state: &Rc<State>,
    call: &Call,
    instance: &Rc<Instance>,
    mut room: Option<Held>,
) -> Attempt {
    let _in_flight = InFlight::new(state, &instance.id);
    let left = call.time_left();
    let request = call.endpoint_request(&Dispatch {
        endpoint: instance.id.clone(),
        timeout: left,
        ..Dispatch::default()
    });
    let may_send = |_| authorize::is_authorized(state, call);
    let outgoing = Outgoing {
        request: &request,
        body: &call.body,
        attempt_id: &call.fields.attempt_id,
        limit: left,
        expected_start: None,
        may_send: &may_send,
    };
    let mut response = match link::send(state, instance, outgoing).await {
        Ok(response) => response,
        Err(failure @ (Failure::NotSent(_) | Failure::OtherStart | Failure::Denied)) => {
            return Attempt::NotSent(failure.reason());
        }
        Err(Failure::Lost(reason)) => return Attempt::Unknown(reason),
        Err(Failure::Timeout) => return Attempt::Timeout,
    };
    record_load(state, instance, &response.fields);
    if response.fields.is_not_executed {
        let status = response.head.status;
        if status == 503
            && let Some(room) = &mut room
        {
            room.reject();
        }
        return Attempt::NotRun(format!("endpoint-status-{status}"));
    }
    if !response.fields.is_signed {
        return Attempt::Unknown(format!("unsigned-status-{}", response.head.status));
    }
    match timer::within(call.time_left(), response.read_all(state, MAX_BODY_BYTES)).await {
        None => Attempt::Timeout,
        Some(Ok(body)) => {
            let (head, framing) = (response.head.clone(), response.framing);
            response.recycle(state);
            Attempt::Complete(head, body, framing)
        }
        Some(Err(Unread::TooLong)) => Attempt::Unknown("answer-too-long".to_string()),
        Some(Err(Unread::Shed | Unread::Slow)) => {
            Attempt::Shed(response.head.clone(), response.framing)
        }
        Some(Err(Unread::Connection(error))) => Attempt::Unknown(error.to_string()),
    }
}

/// Records the load that a response of an endpoint reports, if it does.
fn record_load(state: &State, instance: &Instance, fields: &header::Response) {
    let Some((running, waiting)) = fields.load else {
        return;
    };
    let in_flight = state.in_flight.borrow().get(&instance.id).copied();
    let report = Report {
        running,
        waiting,
        slots: instance.slots,
        // The request that this is the response to is counted too.
        in_flight: in_flight.unwrap_or_default().saturating_sub(1),
    };
    let mut loads = state.loads.borrow_mut();
    loads.record(clock::now(), &instance.id, report);
}
