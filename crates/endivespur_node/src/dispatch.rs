//! Getting a grant for a request, and sending the request under it.

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

/// The time within which a grant is used; shorter than an engine's report may lag, after
/// which the grants of a dead process are cleared.
const GRANT_USE: Duration = Duration::from_secs(3);
/// The longest wait for an endpoint's connection and the head of its answer.
pub const HEAD_TIMEOUT: Duration = Duration::from_mins(2);

/// A request that needs a grant.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id of the request, shown to the caller and in the logs.
    pub id: String,
    /// What the request names.
    pub request: route::Request,
    /// The service that runs it.
    pub service: Service,
    /// The class.
    pub class: Class,
    /// The expected tokens.
    pub cost: u32,
    /// When the request came.
    pub since: Time,
    /// The latest time at which a grant still helps.
    pub deadline: Time,
    /// Whether the request must run alone.
    pub alone: bool,
    /// Endpoints that were tried in vain.
    pub avoid: BTreeSet<Endpoint>,
}

/// A grant that is held; dropping it tells the owner that the request has ended.
pub struct Permit {
    node: Rc<Node>,
    owner: Option<String>,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The endpoint's address.
    pub address: String,
    /// The grant.
    pub grant: Grant,
    /// Whether the owner has to look at the endpoint, since a slot or an answer was missing.
    pub missing: bool,
    told: bool,
    taken: Time,
}

impl Permit {
    /// Ends the grant and waits until the owner has looked at the endpoint again.
    ///
    /// Until then the owner grants nothing, so that a retry does not meet the same fault.
    pub async fn close(self) {
        let (node, owner, endpoint) =
            (self.node.clone(), self.owner.clone(), self.endpoint.clone());
        let key = (self.grant.fence, self.grant.id);
        let missing = self.missing;
        self.forget();
        end(node, owner, endpoint, key, missing).await;
    }

    /// Drops the permit without telling the owner.
    fn forget(mut self) {
        self.told = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let key = (self.grant.fence, self.grant.id);
        let holding: (Endpoint, Fence, u64) = (self.endpoint.clone(), key.0, key.1);
        self.node.held.borrow_mut().remove(&holding);
        if self.told {
            return;
        }
        let (node, owner) = (self.node.clone(), self.owner.take());
        let task = end(node, owner, self.endpoint.clone(), key, self.missing);
        self.node.spawn(task);
    }
}

async fn end(
    node: Rc<Node>,
    owner: Option<String>,
    endpoint: Endpoint,
    key: (Fence, u64),
    missing: bool,
) {
    match owner {
        None => host::end_and_look(&node, &endpoint, key, missing).await,
        Some(address) => peer::end(&node, &address, &endpoint, key, missing).await,
    }
}

/// Waits for a grant on one of the permitted endpoints.
///
/// # Errors
///
/// Returns the final refusal; the request did not run.
pub async fn acquire(node: &Rc<Node>, job: &Job) -> Result<Permit, Failure> {
    let asked = clock::now();
    let result = search(node, job).await;
    let waited = clock::now().saturating_sub(asked);
    node.delayed(
        &job.service,
        &job.request.organisation,
        Objective::LoadStall,
        waited,
    );
    metrics::histogram!("endivespur_grant_wait_seconds").record(waited.as_secs_f64());
    result
}

async fn search(node: &Rc<Node>, job: &Job) -> Result<Permit, Failure> {
    loop {
        let mut search = Search::new(candidates(node, job)?, job.deadline);
        let pause = loop {
            match search.step(clock::now()) {
                Step::Request { endpoint, patient } => {
                    match ask(node, job, &endpoint, patient).await {
                        Ok(permit) => return Ok(permit),
                        Err(refusal) => search.refused(refusal),
                    }
                }
                Step::Pause(time) => break time,
                Step::Refuse(refusal) => return Err(refusal.into()),
            }
        };
        sleep(pause).await;
    }
}

/// Returns the permitted endpoints, those tried in vain only if there is no other.
///
/// # Errors
///
/// Returns the refusal if none is permitted.
pub fn candidates(node: &Node, job: &Job) -> Result<Vec<Endpoint>, Failure> {
    let entry = (node.settings.region.as_str(), node.settings.zone.as_str());
    let config = node.config.borrow();
    let most = MAX_CANDIDATES + job.avoid.len();
    let leaving = |name: &str| node.is_leaving(name);
    let all = route::choose(&config, &job.request, entry, leaving, most)?;
    let fresh: Vec<Endpoint> = all
        .iter()
        .filter(|name| !job.avoid.contains(*name))
        .cloned()
        .collect();
    Ok(if fresh.is_empty() { all } else { fresh })
}

async fn ask(node: &Rc<Node>, job: &Job, endpoint: &str, patient: bool) -> Result<Permit, Refusal> {
    let weight = {
        let config = node.config.borrow();
        let tenant = config.organisations.get(&job.request.organisation);
        tenant.map_or(1, |tenant| tenant.weight)
    };
    let ask = queue::Request {
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
        patient,
    };
    let (vm, incarnation, address) = node.owner(endpoint).ok_or(Refusal::not_owner())?;
    let (reply, owner): (Reply, Option<String>) = if node.is_me(&vm, incarnation) {
        (host::ask(node, endpoint, ask).await, None)
    } else {
        let reply = peer::ask(node, &address, endpoint, &ask).await;
        (reply.unwrap_or(Err(Refusal::not_owner())), Some(address))
    };
    let grant = reply?;
    let target = node
        .config
        .borrow()
        .endpoints
        .get(endpoint)
        .map(|target| target.address.clone());
    let taken = peer::take(node, endpoint, &grant);
    let permit = Permit {
        node: node.clone(),
        owner,
        endpoint: endpoint.to_string(),
        address: target.unwrap_or_default(),
        grant,
        missing: false,
        told: false,
        taken: clock::now(),
    };
    // A grant of an owner that has been replaced is given back unused.
    if taken {
        Ok(permit)
    } else {
        Err(Refusal::not_owner())
    }
}

/// Why a dispatched request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Miss {
    /// It did not run; it may be sent elsewhere.
    NotRun(String),
    /// It may have run.
    Lost(String),
}

impl Miss {
    /// Returns what the logs call it.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Lost(_) => "unknown",
        }
    }
}

/// Sends a request to the granted endpoint and returns the head of the answer.
///
/// # Errors
///
/// Returns a [`Miss`] that tells whether the request may have run.
pub async fn send(
    permit: &mut Permit,
    mut request: Request,
    attempt: &str,
) -> Result<Response, Miss> {
    let node = permit.node.clone();
    let grant = &permit.grant;
    request.insert_header("endivespur-attempt", attempt);
    request.insert_header("endivespur-fence", grant.fence.to_string());
    // A process that was suspended may have lost the grant meanwhile.
    if permit.taken + GRANT_USE < clock::now() {
        return Err(Miss::NotRun("the grant was not used in time".to_string()));
    }
    let answer = match client::send(request, HEAD_TIMEOUT).await {
        Ok(answer) => answer,
        Err(error) if error.is_unsent() => return Err(Miss::NotRun(error.to_string())),
        Err(error) => return Err(Miss::Lost(error.to_string())),
    };
    let is_engine = node
        .config
        .borrow()
        .endpoints
        .get(&permit.endpoint)
        .is_some_and(|target| target.kind == Kind::Engine);
    let status = answer.status() as u16;
    if is_engine && status == 404 {
        permit.missing = true;
        return Err(Miss::NotRun(
            "the engine does not hold the adapter".to_string(),
        ));
    }
    let refused = answer
        .header("endivespur-outcome")
        .is_some_and(|value| value.as_str() == "not-run");
    if refused {
        return Err(Miss::NotRun(format!("refused with {status}")));
    }
    let echoed = answer
        .header("endivespur-attempt")
        .map(|value| value.as_str());
    if echoed.is_some_and(|echoed| echoed != attempt) || (is_engine && echoed.is_none()) {
        return Err(Miss::Lost(
            "the answer belongs to another attempt".to_string(),
        ));
    }
    Ok(answer)
}
