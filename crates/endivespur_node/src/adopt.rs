//! Keeps the owned endpoints consistent with the store's records and the engines' state.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::id::{Endpoint, Fence, Process};
use endivespur_core::owner::Owner;
use log::info;

use crate::engine;
use crate::host::{self, Ownership};
use crate::node::{Node, sleep};
use crate::peer;

/// The interval at which an owned engine is polled.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The delay before a live node is asked again for the grants that it holds.
const HELD_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Creates the ownerships of newly owned endpoints and ends those of endpoints that are no longer
/// owned.
pub fn reconcile(node: &Rc<Node>) {
    node.table.borrow_mut().mark_changed();
    let owned = node
        .table
        .borrow()
        .owned(&node.settings.vm, node.incarnation.get());
    let ended: Vec<Endpoint> = node
        .ownerships
        .borrow()
        .iter()
        .filter(|(name, ownership)| owned.get(*name) != Some(&ownership.owner.fence()))
        .map(|(name, _)| name.clone())
        .collect();
    for endpoint in ended {
        host::close(node, &endpoint);
    }
    for (endpoint, fence) in owned {
        if !node.ownerships.borrow().contains_key(&endpoint) {
            adopt(node, &endpoint, fence);
        }
    }
    refresh(node);
    node.wake_loads();
}

/// Creates the ownership of an endpoint and starts its tasks.
fn adopt(node: &Rc<Node>, endpoint: &str, fence: Fence) {
    let config = node.config.borrow();
    let Some(spec) = host::spec(node, &config, endpoint) else {
        return;
    };
    let live = node.table.borrow().live(&node.settings.region);
    let fenced = config
        .endpoints
        .get(endpoint)
        .is_some_and(|target| target.fenced);
    let clean = node.clean_takeovers.borrow().get(endpoint) == Some(&fence);
    let owner = Owner::new(spec, fence, live.clone())
        .with_pins(host::pins(&config, endpoint))
        .with_adopt(fenced || clean);
    drop(config);
    info!(event = "adopt", endpoint, fence; "now owner");
    node.ownerships
        .borrow_mut()
        .insert(endpoint.to_string(), Ownership::new(owner));
    node.spawn(monitor(node.clone(), endpoint.to_string(), fence));
    for process in live {
        let task = collect_held(node.clone(), endpoint.to_string(), fence, process);
        node.spawn(task);
    }
}

/// Applies changed properties and drains to the owned endpoints, and marks processes as dead that
/// are no longer live.
fn refresh(node: &Rc<Node>) {
    let live = node.table.borrow().live(&node.settings.region);
    let endpoints: Vec<Endpoint> = node.ownerships.borrow().keys().cloned().collect();
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
            for process in dead_holders(owner, &live) {
                owner.mark_dead(now, &process);
            }
            owner.set_open(open)
        });
    }
}

/// Returns the processes that hold grants, or still have to report theirs, but are not live.
fn dead_holders(owner: &Owner, live: &BTreeSet<Process>) -> BTreeSet<Process> {
    let holders = owner.held_grants().values().map(|held| &held.entry);
    holders
        .chain(owner.unreported())
        .filter(|process| !live.contains(*process))
        .cloned()
        .collect()
}

/// Asks a live node for the grants that it holds on an endpoint that was taken over, until it
/// answers.
async fn collect_held(node: Rc<Node>, endpoint: Endpoint, fence: Fence, process: Process) {
    loop {
        let is_unreported = node
            .ownerships
            .borrow()
            .get(&endpoint)
            .is_some_and(|ownership| {
                ownership.owner.fence() == fence && ownership.owner.unreported().contains(&process)
            });
        if !is_unreported {
            return;
        }
        if let Some(grants) = peer::held(&node, &process, &endpoint, fence).await {
            host::change(&node, &endpoint, |owner, now, authority| {
                owner.reported(now, &process, grants);
                owner.grant_waiting(now, authority)
            });
            return;
        }
        sleep(HELD_RETRY_DELAY).await;
    }
}

/// Polls an owned endpoint until the ownership ends.
async fn monitor(node: Rc<Node>, endpoint: Endpoint, fence: Fence) {
    let is_engine = endivespur_core::route::is_engine(&node.config.borrow(), &endpoint);
    let mut absent = BTreeSet::new();
    loop {
        let owned = node
            .ownerships
            .borrow()
            .get(&endpoint)
            .map(|ownership| ownership.owner.fence());
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
                owner.running_reported(now, authority, &running, engine::MAX_REPORT_AGE)
            });
        }
        absent = end_lost_grants(&node, &endpoint, fence, &absent).await;
        sleep(CHECK_INTERVAL).await;
    }
}

/// A grant that has been held for more than [`engine::MAX_REPORT_AGE`]: the holding process, the
/// fencing number and the grant's id.
type OldGrant = (Process, Fence, u64);

/// Asks processes whether they still hold their old grants, and ends those grants that were also
/// absent in the previous check; returns the absent ones.
///
/// The end of a grant, or the grant itself, may have been lost with a connection. One check is not
/// enough: a process that was suspended may answer before it reads a late grant.
async fn end_lost_grants(
    node: &Rc<Node>,
    endpoint: &str,
    fence: Fence,
    previously_absent: &BTreeSet<OldGrant>,
) -> BTreeSet<OldGrant> {
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
    for (_, fence, id) in absent.intersection(previously_absent) {
        host::end(node, endpoint, *fence, *id);
    }
    absent
}

/// Returns the old grants of processes that are not known to be dead.
fn old_grants(node: &Node, endpoint: &str) -> Vec<OldGrant> {
    let now = crate::clock::now();
    let ownerships = node.ownerships.borrow();
    let Some(ownership) = ownerships.get(endpoint) else {
        return Vec::new();
    };
    let held = ownership.owner.held_grants().iter();
    held.filter(|(_, held)| held.since + engine::MAX_REPORT_AGE <= now && held.dead.is_none())
        .map(|((fence, id), held)| (held.entry.clone(), *fence, *id))
        .collect()
}
