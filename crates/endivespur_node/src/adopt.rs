//! Keeping the owned endpoints in step with the store's records and the engines.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::id::{Endpoint, Fence, Process};
use endivespur_core::owner::Owner;
use log::info;

use crate::engine;
use crate::host::{self, Host};
use crate::node::{Node, sleep};
use crate::peer;

/// The time between two looks at an owned engine.
const LOOK: Duration = Duration::from_secs(1);
/// The time between two tries to learn a live node's held grants.
const REPORT_RETRY: Duration = Duration::from_millis(200);

/// Makes hosts for newly owned endpoints and ends those that are owned no more.
pub fn reconcile(node: &Rc<Node>) {
    node.table.borrow_mut().mark_changed();
    let owned = node
        .table
        .borrow()
        .owned(&node.settings.vm, node.incarnation.get());
    let stale: Vec<Endpoint> = node
        .hosts
        .borrow()
        .iter()
        .filter(|(name, host)| owned.get(*name) != Some(&host.owner.fence()))
        .map(|(name, _)| name.clone())
        .collect();
    for endpoint in stale {
        host::close(node, &endpoint);
    }
    for (endpoint, fence) in owned {
        if !node.hosts.borrow().contains_key(&endpoint) {
            open(node, &endpoint, fence);
        }
    }
    refresh(node);
    node.wake_loads();
}

fn open(node: &Rc<Node>, endpoint: &str, fence: Fence) {
    let config = node.config.borrow();
    let Some(spec) = host::spec(node, &config, endpoint) else {
        return;
    };
    let live = node.table.borrow().live(&node.settings.region);
    let fenced = config
        .endpoints
        .get(endpoint)
        .is_some_and(|target| target.fenced);
    let clean = node.clean.borrow().get(endpoint) == Some(&fence);
    let owner = Owner::new(spec, fence, live.clone())
        .with_pins(host::pins(&config, endpoint))
        .with_adopt(fenced || clean);
    drop(config);
    info!(event = "adopt", endpoint, fence; "owner");
    node.hosts
        .borrow_mut()
        .insert(endpoint.to_string(), Host::new(owner));
    node.spawn(look(node.clone(), endpoint.to_string(), fence));
    for process in live {
        let task = report(node.clone(), endpoint.to_string(), fence, process);
        node.spawn(task);
    }
}

/// Applies changed properties, drains and dead processes to the owned endpoints.
fn refresh(node: &Rc<Node>) {
    let live = node.table.borrow().live(&node.settings.region);
    let endpoints: Vec<Endpoint> = node.hosts.borrow().keys().cloned().collect();
    for endpoint in endpoints {
        let config = node.config.borrow();
        let spec = host::spec(node, &config, &endpoint);
        let pins = host::pins(&config, &endpoint);
        let drained = config
            .endpoints
            .get(&endpoint)
            .is_none_or(|target| target.drained);
        drop(config);
        let open = !drained && !node.is_leaving(&endpoint);
        host::change(node, &endpoint, |owner, now, _| {
            if let Some(spec) = spec {
                owner.configure(spec, pins);
            }
            for process in dead(owner, &live) {
                owner.mark_dead(now, &process);
            }
            owner.set_open(open)
        });
    }
}

fn dead(owner: &Owner, live: &BTreeSet<Process>) -> BTreeSet<Process> {
    let holders = owner.held().values().map(|held| &held.entry);
    holders
        .chain(owner.unreported())
        .filter(|process| !live.contains(*process))
        .cloned()
        .collect()
}

/// Asks a live node for the grants it holds on a taken-over endpoint.
async fn report(node: Rc<Node>, endpoint: Endpoint, fence: Fence, process: Process) {
    loop {
        let is_missing = node.hosts.borrow().get(&endpoint).is_some_and(|host| {
            host.owner.fence() == fence && host.owner.unreported().contains(&process)
        });
        if !is_missing {
            return;
        }
        if let Some(grants) = peer::held(&node, &process, &endpoint, fence).await {
            host::change(&node, &endpoint, |owner, now, authority| {
                owner.reported(now, &process, grants);
                owner.grant_waiting(now, authority)
            });
            return;
        }
        sleep(REPORT_RETRY).await;
    }
}

/// Looks at an owned engine until the ownership ends.
async fn look(node: Rc<Node>, endpoint: Endpoint, fence: Fence) {
    let is_engine = endivespur_core::route::is_engine(&node.config.borrow(), &endpoint);
    let mut absent = BTreeSet::new();
    loop {
        let owned = node
            .hosts
            .borrow()
            .get(&endpoint)
            .map(|host| host.owner.fence());
        if owned != Some(fence) {
            return;
        }
        let running = if is_engine {
            engine::relist(&node, &endpoint).await;
            engine::running(&node, &endpoint).await
        } else {
            Some(BTreeSet::new())
        };
        if let Some(running) = running {
            host::change(&node, &endpoint, |owner, now, authority| {
                owner.running_reported(now, authority, &running, engine::REPORT_LAG)
            });
        }
        absent = end_lost(&node, &endpoint, fence, &absent).await;
        sleep(LOOK).await;
    }
}

/// A grant of an entry that has been out for long.
type Old = (Process, Fence, u64);

/// Asks entries whether they still hold grants that have been out for long, and ends those
/// that were absent in the look before as well; returns the absent ones.
///
/// The end of a grant, or the grant itself, may have been lost with a connection. One look
/// is not enough: an entry that was suspended may answer before it reads a late grant.
async fn end_lost(
    node: &Rc<Node>,
    endpoint: &str,
    fence: Fence,
    before: &BTreeSet<Old>,
) -> BTreeSet<Old> {
    let old = old_grants(node, endpoint);
    let processes: BTreeSet<Process> = old.iter().map(|(process, _, _)| process.clone()).collect();
    let mut absent = BTreeSet::new();
    for process in processes {
        let Some(grants) = peer::held(node, &process, endpoint, fence).await else {
            continue;
        };
        let kept: BTreeSet<(Fence, u64)> = grants.iter().map(|(f, id, _)| (*f, *id)).collect();
        let lost = old
            .iter()
            .filter(|(holder, fence, id)| *holder == process && !kept.contains(&(*fence, *id)));
        absent.extend(lost.cloned());
    }
    for (_, fence, id) in absent.intersection(before) {
        host::end(node, endpoint, *fence, *id);
    }
    absent
}

fn old_grants(node: &Node, endpoint: &str) -> Vec<Old> {
    let now = crate::clock::now();
    let hosts = node.hosts.borrow();
    let Some(host) = hosts.get(endpoint) else {
        return Vec::new();
    };
    let held = host.owner.held().iter();
    held.filter(|(_, held)| held.since + engine::REPORT_LAG <= now && held.dead.is_none())
        .map(|((fence, id), held)| (held.entry.clone(), *fence, *id))
        .collect()
}
