//! An owned endpoint: the core's owner with the tasks that carry out its actions.

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

/// The answer to an ask.
pub type Reply = Result<Grant, Refusal>;

/// An ask that waits for its answer.
struct Waiting {
    entry: Process,
    /// The number that the entry gave the ask.
    id: u64,
    sender: Sender<Reply>,
}

/// An owned endpoint.
pub struct Host {
    /// The decisions.
    pub owner: Owner,
    /// The wants that the scheduler was told last, and when.
    pub told: (Vec<Demand>, Time),
    tickets: BTreeMap<Ticket, Waiting>,
}

impl Host {
    /// Makes a host of an owner.
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            told: (Vec::new(), Time::ZERO),
            tickets: BTreeMap::new(),
        }
    }
}

/// Returns the properties of an endpoint on which its owner decides.
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

/// Drops a waiting request, or returns its grant, if the asker goes away.
struct Waiter {
    node: Rc<Node>,
    endpoint: Endpoint,
    ticket: Ticket,
    receiver: smol::channel::Receiver<Reply>,
    done: bool,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        if let Some(host) = self.node.hosts.borrow_mut().get_mut(&self.endpoint) {
            host.owner.cancel(self.ticket);
            host.tickets.remove(&self.ticket);
        }
        if let Ok(Ok(grant)) = self.receiver.try_recv() {
            end(&self.node, &self.endpoint, grant.fence, grant.id);
        }
    }
}

/// Asks the owner in this process for a grant and waits for the answer.
pub async fn ask(node: &Rc<Node>, endpoint: &str, mut ask: queue::Request) -> Reply {
    let (sender, receiver) = bounded(1);
    let waiting = Waiting {
        entry: ask.entry.clone(),
        id: ask.ticket,
        sender,
    };
    ask.ticket = node.ticket();
    let ticket = ask.ticket;
    let actions = {
        let mut hosts = node.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(endpoint) else {
            return Err(Refusal::not_owner());
        };
        host.tickets.insert(ticket, waiting);
        host.owner.request(clock::now(), node.authority(), ask)
    };
    let mut waiter = Waiter {
        node: node.clone(),
        endpoint: endpoint.to_string(),
        ticket,
        receiver,
        done: false,
    };
    apply(node, endpoint, actions);
    if waiter.receiver.is_empty() {
        node.wake_loads();
    }
    let reply = waiter
        .receiver
        .recv()
        .await
        .unwrap_or(Err(Refusal::not_owner()));
    waiter.done = true;
    reply
}

/// Drops a waiting request whose caller has left.
pub fn cancel(node: &Node, endpoint: &str, entry: &str, id: u64) {
    let mut hosts = node.hosts.borrow_mut();
    let Some(host) = hosts.get_mut(endpoint) else {
        return;
    };
    let is_it = |waiting: &Waiting| waiting.entry == entry && waiting.id == id;
    let found = host.tickets.iter().find(|(_, waiting)| is_it(waiting));
    if let Some(ticket) = found.map(|(ticket, _)| *ticket) {
        host.owner.cancel(ticket);
        host.tickets.remove(&ticket);
    }
}

/// Notes that a granted request has ended.
pub fn end(node: &Rc<Node>, endpoint: &str, fence: Fence, grant: GrantId) {
    debug!(event = "released", endpoint, grant; "grant ended");
    change(node, endpoint, |owner, now, authority| {
        owner.end(now, authority, fence, grant)
    });
}

/// Ends a granted request; with `missing`, looks at the engine before anything is granted.
pub async fn end_and_look(
    node: &Rc<Node>,
    endpoint: &str,
    (fence, grant): (Fence, GrantId),
    missing: bool,
) {
    if missing {
        change(node, endpoint, |owner, now, _| {
            owner.listing_unavailable(now);
            Vec::new()
        });
    }
    end(node, endpoint, fence, grant);
    if missing {
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
        let mut hosts = node.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(endpoint) else {
            return;
        };
        change(&mut host.owner, clock::now(), node.authority())
    };
    apply(node, endpoint, actions);
}

/// Starts a permitted load; tells whether it was started.
pub fn permit(node: &Rc<Node>, endpoint: &str, model: &Model) -> bool {
    let mut started = false;
    change(node, endpoint, |owner, now, authority| {
        let actions = owner.permit(now, authority, model);
        started = !actions.is_empty();
        actions
    });
    started
}

fn apply(node: &Rc<Node>, endpoint: &str, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Grant(ticket, grant) => {
                debug!(event = "granted", endpoint, grant = grant.id, ask = ticket; "granted");
                reply(node, endpoint, ticket, Ok(grant));
            }
            Action::Refuse(ticket, refusal) => reply(node, endpoint, ticket, Err(refusal)),
            Action::Load(name) => {
                info!(event = "order", endpoint, action = "load", adapter = name.to_string(); "order");
                node.spawn(engine::load(node.clone(), endpoint.to_string(), name));
            }
            Action::Unload(name) => {
                info!(event = "order", endpoint, action = "unload", adapter = name.to_string(); "order");
                node.spawn(engine::unload(node.clone(), endpoint.to_string(), name));
            }
        }
    }
}

fn reply(node: &Rc<Node>, endpoint: &str, ticket: Ticket, reply: Reply) {
    let waiting = node
        .hosts
        .borrow_mut()
        .get_mut(endpoint)
        .and_then(|host| host.tickets.remove(&ticket));
    let grant = reply.as_ref().ok().map(|grant| (grant.fence, grant.id));
    let sent = waiting.is_some_and(|waiting| waiting.sender.try_send(reply).is_ok());
    if let (false, Some((fence, id))) = (sent, grant) {
        end(node, endpoint, fence, id);
    }
}

/// Ends the ownership of an endpoint in this process.
pub fn close(node: &Rc<Node>, endpoint: &str) {
    change(node, endpoint, |owner, _, _| owner.close());
    if node.hosts.borrow_mut().remove(endpoint).is_some() {
        warn!(event = "disown", endpoint; "no longer owner");
    }
}

/// Refuses what has waited too long, in each owned endpoint with waiting requests.
pub fn tick(node: &Rc<Node>) {
    let waiting: Vec<Endpoint> = node
        .hosts
        .borrow()
        .iter()
        .filter(|(_, host)| host.owner.waiting() > 0)
        .map(|(name, _)| name.clone())
        .collect();
    for endpoint in waiting {
        change(node, &endpoint, Owner::grant_waiting);
    }
}
