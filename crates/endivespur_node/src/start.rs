//! Starting and stopping a daemon.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use endivespur_core::burn::{Burn, Objective, Target};
use endivespur_core::config::Snapshot;
use endivespur_core::id::Endpoint;
use endivespur_core::lease::Lease;
use endivespur_core::member::Table;
use endivespur_core::suspect::Tracker;
use endivespur_net::{http, store};
use log::{info, warn};
use metrics_exporter_prometheus::PrometheusBuilder;
use serde::Serialize;
use smol::LocalExecutor;
use smol::channel::bounded;
use smol::net::TcpListener;
use snafu::Snafu;

use crate::guard::Guard;
use crate::node::{Node, sleep};
use crate::settings::{Finding, Settings};
use crate::{claim, clock, entry, loads, once, operator, peer, rpc, suspicion, sync, vms};

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings cannot be used here; all findings are given.
    #[snafu(display("{} findings in the settings", findings.len()))]
    Settings {
        /// What is wrong, with its place.
        findings: Vec<Finding>,
    },
    /// The metrics recorder was not installed.
    #[snafu(display("the metrics recorder: {message}"))]
    Metrics {
        /// The cause.
        message: String,
    },
}

/// The addresses that a daemon is bound to.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub nodes: SocketAddr,
}

/// A started daemon.
pub struct Running {
    node: Rc<Node>,
    /// The bound addresses.
    pub addresses: Addresses,
}

struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    nodes: TcpListener,
}

/// Binds the addresses and starts the daemon's tasks on `executor`.
///
/// # Errors
///
/// Returns an [`Error`] with everything that is wrong with the settings on this machine.
pub async fn start(
    executor: Rc<LocalExecutor<'static>>,
    settings: Settings,
) -> Result<Running, Error> {
    let mut findings = Vec::new();
    let guard = Guard::read(&settings.tokens).map_err(|found| findings.extend(found));
    let listeners = bind(&settings)
        .await
        .map_err(|found| findings.extend(found));
    let (Ok(guard), Ok(listeners)) = (guard, listeners) else {
        return Err(Error::Settings { findings });
    };
    let addresses = Addresses {
        callers: local(&listeners.callers, settings.listen.callers),
        operators: local(&listeners.operators, settings.listen.operators),
        nodes: local(&listeners.nodes, settings.listen.nodes),
    };
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| Error::Metrics {
            message: error.to_string(),
        })?;
    let node = Rc::new(make(executor, settings, &addresses, guard, metrics));
    spawn(&node, listeners);
    info!(
        event = "start", process = node.process(), address:% = addresses.callers;
        "serves callers"
    );
    Ok(Running { node, addresses })
}

fn local(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

async fn bind(settings: &Settings) -> Result<Listeners, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut listeners = Vec::new();
    let wanted = [
        ("callers", settings.listen.callers),
        ("operators", settings.listen.operators),
        ("nodes", settings.listen.nodes),
    ];
    for (name, address) in wanted {
        match TcpListener::bind(address).await {
            Ok(listener) => listeners.push(listener),
            Err(error) => findings.push(Finding {
                place: format!("listen.{name}"),
                message: format!("{address}: {error}"),
            }),
        }
    }
    let mut listeners = listeners.into_iter();
    match (listeners.next(), listeners.next(), listeners.next()) {
        (Some(callers), Some(operators), Some(nodes)) => Ok(Listeners {
            callers,
            operators,
            nodes,
        }),
        _ => Err(findings),
    }
}

fn make(
    executor: Rc<LocalExecutor<'static>>,
    settings: Settings,
    addresses: &Addresses,
    guard: Guard,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) -> Node {
    let store = store::Client::new(&settings.store.address.to_string(), settings.store.timeout);
    let scheduler = loads::scheduler(&settings);
    // Differs for each start, also of a VM that gets an old name.
    let incarnation = clock::unix_seconds() * 1000 + u64::from(std::process::id() % 1000);
    Node {
        executor,
        store,
        incarnation: Cell::new(incarnation),
        address: addresses.nodes.to_string(),
        callers: addresses.callers.to_string(),
        config: RefCell::new(Snapshot::default()),
        table: RefCell::new(Table::default()),
        lease_id: Cell::new(0),
        lease: RefCell::new(Lease::new(settings.lease.ttl)),
        config_heard: Cell::default(),
        hosts: RefCell::new(BTreeMap::new()),
        clean: RefCell::new(BTreeMap::new()),
        held: RefCell::new(BTreeMap::new()),
        fences: RefCell::new(BTreeMap::new()),
        pool: peer::Pool::default(),
        scheduler: RefCell::new(scheduler),
        wake: bounded(1),
        ledger: once::Ledger::new(),
        court: RefCell::new(Tracker::new(suspicion::MEMORY)),
        suspects: RefCell::new(BTreeMap::new()),
        leaving: RefCell::new(BTreeSet::new()),
        gone: RefCell::new(BTreeSet::new()),
        budgets: RefCell::new(BTreeMap::new()),
        inflight: RefCell::new(BTreeMap::new()),
        stopping: Cell::new(false),
        tickets: Cell::new(1),
        metrics,
        guard,
        burn: RefCell::new(Burn::new(target(&settings), clock::now())),
        settings,
    }
}

fn target(settings: &Settings) -> Target {
    let objectives = &settings.objectives;
    let bounds = BTreeMap::from([
        (Objective::FirstToken, objectives.first_token),
        (Objective::BetweenTokens, objectives.between_tokens),
        (Objective::LoadStall, objectives.load_stall),
    ]);
    Target::new(objectives.availability, bounds)
}

fn spawn(node: &Rc<Node>, listeners: Listeners) {
    let limits = http::Limits {
        connections: node.settings.limits.connections,
        body_bytes: node.settings.limits.body,
        head_timeout: node.settings.limits.head,
        write_timeout: node.settings.limits.write,
    };
    let callers = node.clone();
    let callers = http::handler(move |request| entry::answer(callers.clone(), request));
    let operators = node.clone();
    let operators = http::handler(move |request| operator::answer(operators.clone(), request));
    let executor = node.executor.clone();
    node.spawn(http::serve(
        executor.clone(),
        listeners.callers,
        limits.clone(),
        callers,
    ));
    node.spawn(http::serve(
        executor,
        listeners.operators,
        limits,
        operators,
    ));
    node.spawn(rpc::serve(node.clone(), listeners.nodes));
    node.spawn(sync::keep_lease(node.clone()));
    node.spawn(sync::follow(node.clone()));
    node.spawn(sync::consult_peers(node.clone()));
    node.spawn(claim::run(node.clone()));
    node.spawn(loads::run(node.clone()));
    node.spawn(once::run_groups(node.clone()));
    node.spawn(vms::follow(node.clone()));
}

impl Running {
    /// Stops: hands the endpoints over and waits for what runs.
    ///
    /// Returns the number of requests that were cut off because the settings' bound was
    /// reached.
    pub async fn stop(self) -> usize {
        let node = self.node;
        node.stopping.set(true);
        info!(event = "stop"; "asked to stop");
        let lease = node.lease_id.get();
        if let Err(error) = sync::write_record(&node, lease).await {
            warn!(event = "stop"; "the record is not written: {error}");
        }
        let owned: Vec<Endpoint> = node.hosts.borrow().keys().cloned().collect();
        claim::release(&node, owned).await;
        let begun = clock::now();
        let stop = node.settings.stop.clone();
        loop {
            let waited = clock::now().saturating_sub(begun);
            let busy = node.inflight.borrow().values().sum::<usize>() + node.held.borrow().len();
            if waited >= stop.grace && busy == 0 || waited >= stop.bound {
                if busy > 0 {
                    warn!(event = "stop", open = busy; "requests are cut off");
                }
                node.store.revoke(lease).await.ok();
                return busy;
            }
            sleep(std::time::Duration::from_millis(50)).await;
        }
    }
}
