//! Acquires a grant for a request and sends the request to the granted endpoint.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::acquire::{MAX_CANDIDATES, Search, Step};
use endivespur_core::burn::Objective;
use endivespur_core::clock::Time;
use endivespur_core::config::{Class, Kind};
use endivespur_core::id::{Endpoint, Fence, Service};
use endivespur_core::owner::{Grant, Refusal};
use endivespur_core::queue;
use endivespur_core::route;
use endivespur_net::client;
use http_types::{Request, Response};

use crate::answer::Failure;
use crate::clock;
use crate::host::{self, Reply};
use crate::node::{Node, sleep};
use crate::peer;

/// The age after which a grant is no longer used.
///
/// Shorter than [`crate::engine::MAX_REPORT_AGE`], after which an owner clears the grants of a
/// dead process.
const MAX_GRANT_AGE: Duration = Duration::from_secs(3);
/// The maximum wait for the connection to an endpoint and the head of its response.
pub const HEAD_TIMEOUT: Duration = Duration::from_mins(2);

/// A request that needs a grant.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id of the request, shown to the caller and in the logs.
    pub id: String,
    /// The organisation, model or service, and zones that the request names.
    pub request: route::Request,
    /// The service that runs it.
    pub service: Service,
    /// The priority class of the service.
    pub class: Class,
    /// The expected number of tokens.
    pub cost: u32,
    /// When the request was received.
    pub received_at: Time,
    /// The time after which a grant is no longer needed.
    pub deadline: Time,
    /// Whether the request must be the only one that runs on its endpoint.
    pub alone: bool,
    /// Endpoints on which an attempt has failed; used only if no other is permitted.
    pub avoid: BTreeSet<Endpoint>,
}

/// A held grant; dropping it notifies the owner that the request has ended.
pub struct Permit {
    node: Rc<Node>,
    /// The address of the owner, `None` if this process is the owner.
    owner: Option<String>,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The endpoint's address.
    pub address: String,
    /// The grant.
    pub grant: Grant,
    /// Whether the owner must list the engine's adapters again, since an adapter or a response was
    /// missing.
    pub needs_relist: bool,
    /// Whether the end of the grant is already being reported.
    notified: bool,
    /// When the grant was received.
    received_at: Time,
}

impl Permit {
    /// Ends the grant and, if needed, waits until the owner has listed the endpoint again.
    ///
    /// The owner grants nothing in the meantime, so that a retry does not hit the same fault.
    pub async fn close(self) {
        let (node, owner, endpoint) =
            (self.node.clone(), self.owner.clone(), self.endpoint.clone());
        let grant = (self.grant.fence, self.grant.id);
        let needs_relist = self.needs_relist;
        self.disarm();
        end(node, owner, endpoint, grant, needs_relist).await;
    }

    /// Drops the permit without notifying the owner.
    fn disarm(mut self) {
        self.notified = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let grant = (self.grant.fence, self.grant.id);
        let key: (Endpoint, Fence, u64) = (self.endpoint.clone(), grant.0, grant.1);
        self.node.held.borrow_mut().remove(&key);
        if self.notified {
            return;
        }
        let (node, owner) = (self.node.clone(), self.owner.take());
        let task = end(node, owner, self.endpoint.clone(), grant, self.needs_relist);
        self.node.spawn(task);
    }
}

/// Notifies the owner that the granted request has ended.
async fn end(
    node: Rc<Node>,
    owner: Option<String>,
    endpoint: Endpoint,
    grant: (Fence, u64),
    needs_relist: bool,
) {
    match owner {
        None => host::end_and_relist(&node, &endpoint, grant, needs_relist).await,
        Some(address) => peer::end(&node, &address, &endpoint, grant, needs_relist).await,
    }
}

/// Waits for a grant on one of the permitted endpoints.
///
/// # Errors
///
/// Returns the final refusal; the request did not run.
pub async fn acquire(node: &Rc<Node>, job: &Job) -> Result<Permit, Failure> {
    let started_at = clock::now();
    let result = search(node, job).await;
    let waited = clock::now().saturating_sub(started_at);
    node.record_delay(
        &job.service,
        &job.request.organisation,
        Objective::LoadStall,
        waited,
    );
    metrics::histogram!("endivespur_grant_wait_seconds").record(waited.as_secs_f64());
    result
}

/// Requests a grant from the owners of the permitted endpoints, in rounds, until one grants it or
/// the search ends with a refusal.
async fn search(node: &Rc<Node>, job: &Job) -> Result<Permit, Failure> {
    loop {
        let mut search = Search::new(candidates(node, job)?, job.deadline);
        let pause = loop {
            match search.step(clock::now()) {
                Step::Request {
                    endpoint,
                    wait_if_busy,
                } => match request_grant(node, job, &endpoint, wait_if_busy).await {
                    Ok(permit) => return Ok(permit),
                    Err(refusal) => search.refused(refusal),
                },
                Step::Pause(time) => break time,
                Step::Refuse(refusal) => return Err(refusal.into()),
            }
        };
        sleep(pause).await;
    }
}

/// Returns the permitted endpoints; those that have failed only if there is no other.
///
/// # Errors
///
/// Returns the reason if no endpoint is permitted.
pub fn candidates(node: &Node, job: &Job) -> Result<Vec<Endpoint>, Failure> {
    let entry = (node.settings.region.as_str(), node.settings.zone.as_str());
    let config = node.config.borrow();
    let max = MAX_CANDIDATES + job.avoid.len();
    let leaving = |name: &str| node.is_leaving(name);
    let all = route::choose(&config, &job.request, entry, leaving, max)?;
    let untried: Vec<Endpoint> = all
        .iter()
        .filter(|name| !job.avoid.contains(*name))
        .cloned()
        .collect();
    Ok(if untried.is_empty() { all } else { untried })
}

/// Requests a grant from the owner of an endpoint, in this process or in another one.
async fn request_grant(
    node: &Rc<Node>,
    job: &Job,
    endpoint: &str,
    wait_if_busy: bool,
) -> Result<Permit, Refusal> {
    let weight = {
        let config = node.config.borrow();
        let organisation = config.organisations.get(&job.request.organisation);
        organisation.map_or(1, |organisation| organisation.weight)
    };
    let request = queue::Request {
        ticket: node.ticket(),
        entry: node.process(),
        organisation: job.request.organisation.clone(),
        weight,
        model: job.request.model.clone(),
        class: job.class,
        cost: job.cost,
        since: clock::now(),
        deadline: job.deadline,
        alone: job.alone,
        wait_if_busy,
    };
    let (vm, incarnation, address) = node.owner(endpoint).ok_or(Refusal::not_owner())?;
    let (reply, owner): (Reply, Option<String>) = if node.is_self(&vm, incarnation) {
        (host::request_grant(node, endpoint, request).await, None)
    } else {
        let reply = peer::ask(node, &address, endpoint, &request).await;
        (reply.unwrap_or(Err(Refusal::not_owner())), Some(address))
    };
    let grant = reply?;
    let target = node
        .config
        .borrow()
        .endpoints
        .get(endpoint)
        .map(|target| target.address.clone());
    let recorded = peer::record_grant(node, endpoint, &grant);
    let permit = Permit {
        node: node.clone(),
        owner,
        endpoint: endpoint.to_string(),
        address: target.unwrap_or_default(),
        grant,
        needs_relist: false,
        notified: false,
        received_at: clock::now(),
    };
    // A grant from an owner that has been replaced is returned unused.
    if recorded {
        Ok(permit)
    } else {
        Err(Refusal::not_owner())
    }
}

/// The reason why an attempt has no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The request did not run; it may be sent to another endpoint.
    NotRun(String),
    /// The request may have run.
    Lost(String),
}

impl AttemptError {
    /// Returns the outcome's name in log lines.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Lost(_) => "unknown",
        }
    }
}

/// Sends a request to the granted endpoint and returns the head of the response.
///
/// # Errors
///
/// Returns an [`AttemptError`] that says whether the request may have run.
pub async fn send(
    permit: &mut Permit,
    mut request: Request,
    attempt: &str,
) -> Result<Response, AttemptError> {
    let node = permit.node.clone();
    let grant = &permit.grant;
    request.insert_header("endivespur-attempt", attempt);
    request.insert_header("endivespur-fence", grant.fence.to_string());
    // If this process was suspended, the owner may have cleared the grant in the meantime.
    if permit.received_at + MAX_GRANT_AGE < clock::now() {
        return Err(AttemptError::NotRun(
            "the grant was not used in time".to_string(),
        ));
    }
    let response = match client::send(request, HEAD_TIMEOUT).await {
        Ok(response) => response,
        Err(error) if error.is_unsent() => return Err(AttemptError::NotRun(error.to_string())),
        Err(error) => return Err(AttemptError::Lost(error.to_string())),
    };
    let is_engine = node
        .config
        .borrow()
        .endpoints
        .get(&permit.endpoint)
        .is_some_and(|target| target.kind == Kind::Engine);
    let status = response.status() as u16;
    if is_engine && status == 404 {
        permit.needs_relist = true;
        return Err(AttemptError::NotRun(
            "the engine does not hold the adapter".to_string(),
        ));
    }
    let refused = response
        .header("endivespur-outcome")
        .is_some_and(|value| value.as_str() == "not-run");
    if refused {
        return Err(AttemptError::NotRun(format!("refused with {status}")));
    }
    let echoed = response
        .header("endivespur-attempt")
        .map(|value| value.as_str());
    if echoed.is_some_and(|echoed| echoed != attempt) || (is_engine && echoed.is_none()) {
        return Err(AttemptError::Lost(
            "the answer belongs to another attempt".to_string(),
        ));
    }
    Ok(response)
}
