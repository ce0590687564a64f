//! Endpoints owned by this process: runs each owner state machine and carries out its actions.

use std::collections::BTreeMap;
use std::rc::Rc;

use endivespur_core::clock::Time;
use endivespur_core::config::{Kind, Snapshot, Stage};
use endivespur_core::id::{Endpoint, Fence, Grant as GrantId, Model, Process, Ticket};
use endivespur_core::lease::Authority;
use endivespur_core::owner::{Action, Demand, Grant, Owner, Refusal, Spec};
use endivespur_core::queue;
use log::{debug, info, warn};
use smol::channel::{Sender, bounded};

use crate::clock;
use crate::engine;
use crate::node::Node;

/// The reply to a request for a grant.
pub type Reply = Result<Grant, Refusal>;

/// The requester of a grant, which waits for the reply.
struct Requester {
    /// The process that received the caller's request.
    entry: Process,
    /// The number of the request in the entry process.
    id: u64,
    sender: Sender<Reply>,
}

/// The ownership of one endpoint by this process.
pub struct Ownership {
    /// The state machine that decides on grants, loads and unloads.
    pub owner: Owner,
    /// The demands last reported to the load scheduler, and the time of the report.
    pub reported: (Vec<Demand>, Time),
    /// The requesters that wait for a reply, by the local ticket of their request.
    requesters: BTreeMap<Ticket, Requester>,
}

impl Ownership {
    /// Creates an ownership without waiting requests.
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            reported: (Vec::new(), Time::ZERO),
            requesters: BTreeMap::new(),
        }
    }
}

/// Returns the configured properties of an endpoint that its owner needs for its decisions.
pub fn spec(node: &Node, config: &Snapshot, endpoint: &str) -> Option<Spec> {
    let target = config.endpoints.get(endpoint)?;
    let slots = match target.kind {
        Kind::Engine => target.slots,
        Kind::Plain => 0,
    };
    Some(Spec {
        slots,
        batch: target.batch,
        waiting: node.settings.waiting.queue,
        half_life: node.settings.weights.half_life,
    })
}

/// Returns the newest active versions of the adapters that are pinned to an endpoint.
pub fn pins(config: &Snapshot, endpoint: &str) -> std::collections::BTreeSet<Model> {
    config
        .pinned_to(endpoint)
        .filter_map(|name| {
            let versions = &config.adapters.get(name)?.versions;
            let mut newest = versions.iter().rev();
            let (version, _) = newest.find(|(_, stage)| **stage == Stage::Active)?;
            Some(Model::new(name, *version))
        })
        .collect()
}

/// Cancels a waiting request, or ends its grant, if the requesting future is dropped.
struct CancelGuard {
    node: Rc<Node>,
    endpoint: Endpoint,
    ticket: Ticket,
    receiver: smol::channel::Receiver<Reply>,
    done: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        if let Some(ownership) = self.node.ownerships.borrow_mut().get_mut(&self.endpoint) {
            ownership.owner.cancel(self.ticket);
            ownership.requesters.remove(&self.ticket);
        }
        if let Ok(Ok(grant)) = self.receiver.try_recv() {
            end(&self.node, &self.endpoint, grant.fence, grant.id);
        }
    }
}

/// Requests a grant from the owner in this process and waits for the reply.
pub async fn request_grant(node: &Rc<Node>, endpoint: &str, mut request: queue::Request) -> Reply {
    let (sender, receiver) = bounded(1);
    let requester = Requester {
        entry: request.entry.clone(),
        id: request.ticket,
        sender,
    };
    request.ticket = node.ticket();
    let ticket = request.ticket;
    let actions = {
        let mut ownerships = node.ownerships.borrow_mut();
        let Some(ownership) = ownerships.get_mut(endpoint) else {
            return Err(Refusal::not_owner());
        };
        ownership.requesters.insert(ticket, requester);
        ownership
            .owner
            .request(clock::now(), node.authority(), request)
    };
    let mut guard = CancelGuard {
        node: node.clone(),
        endpoint: endpoint.to_string(),
        ticket,
        receiver,
        done: false,
    };
    apply(node, endpoint, actions);
    if guard.receiver.is_empty() {
        node.wake_loads();
    }
    let reply = guard
        .receiver
        .recv()
        .await
        .unwrap_or(Err(Refusal::not_owner()));
    guard.done = true;
    reply
}

/// Cancels a waiting request whose caller has disconnected.
pub fn cancel(node: &Node, endpoint: &str, entry: &str, id: u64) {
    let mut ownerships = node.ownerships.borrow_mut();
    let Some(ownership) = ownerships.get_mut(endpoint) else {
        return;
    };
    let is_same = |requester: &Requester| requester.entry == entry && requester.id == id;
    let found = ownership
        .requesters
        .iter()
        .find(|(_, requester)| is_same(requester));
    if let Some(ticket) = found.map(|(ticket, _)| *ticket) {
        ownership.owner.cancel(ticket);
        ownership.requesters.remove(&ticket);
    }
}

/// Records that a granted request has ended.
pub fn end(node: &Rc<Node>, endpoint: &str, fence: Fence, grant: GrantId) {
    debug!(event = "released", endpoint, grant; "grant ended");
    change(node, endpoint, |owner, now, authority| {
        owner.end(now, authority, fence, grant)
    });
}

/// Ends a granted request; with `needs_relist`, the owner grants nothing more until the engine's
/// list of adapters has been read again.
pub async fn end_and_relist(
    node: &Rc<Node>,
    endpoint: &str,
    (fence, grant): (Fence, GrantId),
    needs_relist: bool,
) {
    if needs_relist {
        change(node, endpoint, |owner, now, _| {
            owner.listing_unavailable(now);
            Vec::new()
        });
    }
    end(node, endpoint, fence, grant);
    if needs_relist {
        engine::relist(node, endpoint).await;
    }
}

/// Applies a change to an owner and carries out the actions that follow.
pub fn change(
    node: &Rc<Node>,
    endpoint: &str,
    change: impl FnOnce(&mut Owner, Time, Authority) -> Vec<Action>,
) {
    let actions = {
        let mut ownerships = node.ownerships.borrow_mut();
        let Some(ownership) = ownerships.get_mut(endpoint) else {
            return;
        };
        change(&mut ownership.owner, clock::now(), node.authority())
    };
    apply(node, endpoint, actions);
}

/// Starts a load that the scheduler permits; returns whether the owner started it.
pub fn start_load(node: &Rc<Node>, endpoint: &str, model: &Model) -> bool {
    let mut started = false;
    change(node, endpoint, |owner, now, authority| {
        let actions = owner.start_permitted_load(now, authority, model);
        started = !actions.is_empty();
        actions
    });
    started
}

/// Carries out an owner's actions.
fn apply(node: &Rc<Node>, endpoint: &str, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Grant(ticket, grant) => {
                debug!(event = "granted", endpoint, grant = grant.id, ask = ticket; "granted");
                reply(node, endpoint, ticket, Ok(grant));
            }
            Action::Refuse(ticket, refusal) => reply(node, endpoint, ticket, Err(refusal)),
            Action::Load(name) => {
                info!(event = "order", endpoint, action = "load", adapter = name.to_string(); "sending order");
                node.spawn(engine::load(node.clone(), endpoint.to_string(), name));
            }
            Action::Unload(name) => {
                info!(event = "order", endpoint, action = "unload", adapter = name.to_string(); "sending order");
                node.spawn(engine::unload(node.clone(), endpoint.to_string(), name));
            }
        }
    }
}

/// Sends a requester its reply; ends the grant if the requester no longer waits.
fn reply(node: &Rc<Node>, endpoint: &str, ticket: Ticket, reply: Reply) {
    let requester = node
        .ownerships
        .borrow_mut()
        .get_mut(endpoint)
        .and_then(|ownership| ownership.requesters.remove(&ticket));
    let grant = reply.as_ref().ok().map(|grant| (grant.fence, grant.id));
    let sent = requester.is_some_and(|requester| requester.sender.try_send(reply).is_ok());
    if let (false, Some((fence, id))) = (sent, grant) {
        end(node, endpoint, fence, id);
    }
}

/// Ends the ownership of an endpoint in this process.
pub fn close(node: &Rc<Node>, endpoint: &str) {
    change(node, endpoint, |owner, _, _| owner.close());
    if node.ownerships.borrow_mut().remove(endpoint).is_some() {
        warn!(event = "disown", endpoint; "no longer owner");
    }
}

/// Refuses expired requests on each owned endpoint with waiting requests.
pub fn refuse_expired(node: &Rc<Node>) {
    let endpoints: Vec<Endpoint> = node
        .ownerships
        .borrow()
        .iter()
        .filter(|(_, ownership)| ownership.owner.waiting() > 0)
        .map(|(name, _)| name.clone())
        .collect();
    for endpoint in endpoints {
        change(node, &endpoint, Owner::grant_waiting);
    }
}
