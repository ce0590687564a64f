//! The region's load scheduler: reports demands to it and issues its load permits.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::id::{Endpoint, Model};
use endivespur_core::owner::Demand;
use endivespur_core::schedule::{Limit, Scheduler};

use smol::future::FutureExt;

use crate::clock;
use crate::host;
use crate::node::{Node, sleep};
use crate::peer;
use crate::settings::Settings;

/// The key of the rendezvous hash that selects the scheduler's node.
const ROLE: &str = "load-scheduler";
/// The interval at which demands and permits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The interval at which unchanged demands are reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The time after which a load without an outcome no longer counts as in progress.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Creates a scheduler with the limits of the settings.
pub fn scheduler(settings: &Settings) -> Scheduler {
    let limit = Limit {
        interval: settings.weights.interval,
        transit: settings.weights.transit,
        patience: settings.weights.patience,
        timeout: LOAD_TIMEOUT,
    };
    Scheduler::new(limit, clock::now())
}

/// Reports demands and issues permits until the future is dropped.
pub async fn run(node: Rc<Node>) {
    let mut fallback = Fallback::new(&node);
    loop {
        if is_idle(&node, &fallback) {
            let woken = async {
                node.load_wake.1.recv().await.ok();
            };
            woken.or(sleep(REPORT_INTERVAL)).await;
        } else {
            sleep(CHECK_INTERVAL).await;
        }
        host::refuse_expired(&node);
        report_demands(&node, &mut fallback).await;
        issue_permits(&node);
        fallback.issue_permit(&node);
    }
}

/// Returns whether no request waits in this process and no load waits for a permit.
fn is_idle(node: &Node, fallback: &Fallback) -> bool {
    let ownerships = node.ownerships.borrow();
    let mut busy = ownerships
        .values()
        .any(|ownership| ownership.owner.waiting() > 0 || !ownership.reported.0.is_empty());
    busy |= node.scheduler.borrow().demands().next().is_some();
    !busy && fallback.scheduler.demands().next().is_none()
}

/// Schedules loads while the region's scheduler is unreachable: each live node uses an equal
/// share of the region's load rate.
struct Fallback {
    scheduler: Scheduler,
    next_permit_at: Duration,
}

impl Fallback {
    fn new(node: &Node) -> Self {
        Self {
            scheduler: scheduler(&node.settings),
            next_permit_at: clock::now(),
        }
    }

    fn issue_permit(&mut self, node: &Rc<Node>) {
        let now = clock::now();
        if now < self.next_permit_at {
            return;
        }
        let Some(entry) = self.scheduler.permit(now) else {
            return;
        };
        let nodes = node.table.borrow().live(&node.settings.region).len().max(1);
        self.next_permit_at = now + node.settings.weights.interval * nodes as u32;
        host::start_load(node, &entry.endpoint, &entry.demand.model);
        self.scheduler
            .load_ended(&entry.endpoint, &entry.demand.model, true);
    }
}

/// Reports changed demands, and unchanged ones at [`REPORT_INTERVAL`], to the scheduler.
async fn report_demands(node: &Rc<Node>, fallback: &mut Fallback) {
    let now = clock::now();
    let changed: Vec<(Endpoint, Vec<Demand>)> = node
        .ownerships
        .borrow_mut()
        .iter_mut()
        .filter_map(|(name, ownership)| {
            let demands = ownership.owner.demands(now);
            let (reported, at) = &ownership.reported;
            let is_due = !reported.is_empty() && *at + REPORT_INTERVAL <= now;
            if demands == *reported && !is_due {
                return None;
            }
            ownership.reported = (demands.clone(), now);
            Some((name.clone(), demands))
        })
        .collect();
    for (endpoint, demands) in changed {
        report_endpoint(node, fallback, &endpoint, demands).await;
    }
}

/// Reports an endpoint's demands to the region's scheduler, or to the fallback if that is
/// unreachable.
async fn report_endpoint(
    node: &Rc<Node>,
    fallback: &mut Fallback,
    endpoint: &str,
    demands: Vec<Demand>,
) {
    let vm = node.settings.vm.clone();
    let backlog = match scheduler_address(node) {
        Some(None) => {
            set_demands(node, &vm, endpoint, demands);
            node.scheduler.borrow().backlog()
        }
        Some(Some(address)) => match peer::report_demands(node, &address, endpoint, &demands).await
        {
            Ok(backlog) => {
                fallback.scheduler.set(&vm, endpoint, Vec::new());
                backlog
            }
            Err(_) => return fallback.scheduler.set(&vm, endpoint, demands),
        },
        None => return fallback.scheduler.set(&vm, endpoint, demands),
    };
    host::change(node, endpoint, |owner, now, _| {
        owner.set_backlog(now, backlog);
        Vec::new()
    });
}

/// Returns the scheduler's address; `Some(None)` if this node is the scheduler, `None` if the
/// scheduler is unknown.
#[allow(clippy::option_option)]
fn scheduler_address(node: &Node) -> Option<Option<String>> {
    let table = node.table.borrow();
    let vm = table.winner(ROLE, &node.settings.region)?;
    if vm == node.settings.vm {
        return Some(None);
    }
    Some(Some(table.node(vm)?.address.clone()))
}

/// Records an endpoint's demands in the scheduler of this node.
pub fn set_demands(node: &Node, vm: &str, endpoint: &str, demands: Vec<Demand>) {
    node.scheduler.borrow_mut().set(vm, endpoint, demands);
    node.wake_loads();
}

/// Issues the permits that are due.
fn issue_permits(node: &Rc<Node>) {
    loop {
        let permitted = node.scheduler.borrow_mut().permit(clock::now());
        let Some(entry) = permitted else { return };
        let node = node.clone();
        node.clone().spawn(async move {
            let model = entry.demand.model;
            let started = peer::permit(&node, &entry.vm, &entry.endpoint, &model).await;
            if !matches!(started, Ok(true)) {
                let mut scheduler = node.scheduler.borrow_mut();
                scheduler.load_ended(&entry.endpoint, &model, false);
            }
        });
    }
}

/// Notifies the scheduler that a load has ended.
pub async fn load_ended(node: &Rc<Node>, endpoint: &str, model: &Model) {
    match scheduler_address(node) {
        Some(Some(address)) => peer::load_ended(node, &address, endpoint, model).await,
        _ => node
            .scheduler
            .borrow_mut()
            .load_ended(endpoint, model, true),
    }
}
