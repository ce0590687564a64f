//! The region's load scheduler: telling it what is wanted, and giving its permits.

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

/// The name under which the scheduler's node is chosen.
const ROLE: &str = "load-scheduler";
/// The time between two looks at wants and permits.
const LOOK: Duration = Duration::from_millis(25);
/// The time after which unchanged wants are told again.
const REPEAT: Duration = Duration::from_secs(1);
/// The time after which a load without an outcome no longer counts.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes a scheduler with the settings' limits.
pub fn scheduler(settings: &Settings) -> Scheduler {
    let limit = Limit {
        interval: settings.weights.interval,
        transit: settings.weights.transit,
        patience: settings.weights.patience,
        timeout: LOAD_TIMEOUT,
    };
    Scheduler::new(limit, clock::now())
}

/// Tells wants and gives permits until the future is dropped.
pub async fn run(node: Rc<Node>) {
    let mut fallback = Fallback::new(&node);
    loop {
        if is_quiet(&node, &fallback) {
            let woken = async {
                node.wake.1.recv().await.ok();
            };
            woken.or(sleep(REPEAT)).await;
        } else {
            sleep(LOOK).await;
        }
        host::tick(&node);
        tell(&node, &mut fallback).await;
        permit(&node);
        fallback.permit(&node);
    }
}

/// Tells whether no request waits here and no load waits for a permit.
fn is_quiet(node: &Node, fallback: &Fallback) -> bool {
    let hosts = node.hosts.borrow();
    let mut busy = hosts
        .values()
        .any(|host| host.owner.waiting() > 0 || !host.told.0.is_empty());
    busy |= node.scheduler.borrow().demands().next().is_some();
    !busy && fallback.scheduler.demands().next().is_none()
}

/// Loads without a reachable scheduler: each node takes its share of the rate.
struct Fallback {
    scheduler: Scheduler,
    next: Duration,
}

impl Fallback {
    fn new(node: &Node) -> Self {
        Self {
            scheduler: scheduler(&node.settings),
            next: clock::now(),
        }
    }

    fn permit(&mut self, node: &Rc<Node>) {
        let now = clock::now();
        if now < self.next {
            return;
        }
        let Some(entry) = self.scheduler.permit(now) else {
            return;
        };
        let nodes = node.table.borrow().live(&node.settings.region).len().max(1);
        self.next = now + node.settings.weights.interval * nodes as u32;
        host::permit(node, &entry.endpoint, &entry.demand.model);
        self.scheduler
            .load_ended(&entry.endpoint, &entry.demand.model, true);
    }
}

/// Tells the scheduler each changed want.
async fn tell(node: &Rc<Node>, fallback: &mut Fallback) {
    let now = clock::now();
    let changed: Vec<(Endpoint, Vec<Demand>)> = node
        .hosts
        .borrow_mut()
        .iter_mut()
        .filter_map(|(name, host)| {
            let wants = host.owner.demands(now);
            let (told, at) = &host.told;
            let stale = !told.is_empty() && *at + REPEAT <= now;
            if wants == *told && !stale {
                return None;
            }
            host.told = (wants.clone(), now);
            Some((name.clone(), wants))
        })
        .collect();
    for (endpoint, wants) in changed {
        tell_one(node, fallback, &endpoint, wants).await;
    }
}

async fn tell_one(node: &Rc<Node>, fallback: &mut Fallback, endpoint: &str, wants: Vec<Demand>) {
    let vm = node.settings.vm.clone();
    let backlog = match scheduler_address(node) {
        Some(None) => {
            set(node, &vm, endpoint, wants);
            node.scheduler.borrow().backlog()
        }
        Some(Some(address)) => match peer::wants(node, &address, endpoint, &wants).await {
            Ok(backlog) => {
                fallback.scheduler.set(&vm, endpoint, Vec::new());
                backlog
            }
            Err(_) => return fallback.scheduler.set(&vm, endpoint, wants),
        },
        None => return fallback.scheduler.set(&vm, endpoint, wants),
    };
    host::change(node, endpoint, |owner, now, _| {
        owner.set_backlog(now, backlog);
        Vec::new()
    });
}

/// Returns the scheduler's address, nothing inside if this node is the scheduler.
#[allow(clippy::option_option)]
fn scheduler_address(node: &Node) -> Option<Option<String>> {
    let table = node.table.borrow();
    let vm = table.winner(ROLE, &node.settings.region)?;
    if vm == node.settings.vm {
        return Some(None);
    }
    Some(Some(table.node(vm)?.address.clone()))
}

/// Notes what an endpoint wants, in the scheduler of this node.
pub fn set(node: &Node, vm: &str, endpoint: &str, wants: Vec<Demand>) {
    node.scheduler.borrow_mut().set(vm, endpoint, wants);
    node.wake_loads();
}

/// Gives the permits that are due.
fn permit(node: &Rc<Node>) {
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

/// Tells the scheduler that a load has ended.
pub async fn landed(node: &Rc<Node>, endpoint: &str, model: &Model) {
    match scheduler_address(node) {
        Some(Some(address)) => peer::landed(node, &address, endpoint, model).await,
        _ => node
            .scheduler
            .borrow_mut()
            .load_ended(endpoint, model, true),
    }
}
