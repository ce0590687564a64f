//! Starts and stops a daemon.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use endivespur_core::burn::{self, Objective, Target};
use endivespur_core::config::Snapshot;
use endivespur_core::id::Endpoint;
use endivespur_core::lease::Lease;
use endivespur_core::member::Table;
use endivespur_core::suspect::Tracker;
use endivespur_core::throttle::Throttle;
use endivespur_net::{http, store};
use log::{info, warn};
use metrics_exporter_prometheus::PrometheusBuilder;
use serde::Serialize;
use smol::LocalExecutor;
use smol::channel::bounded;
use smol::net::TcpListener;
use snafu::Snafu;

use crate::guard::Authenticator;
use crate::node::{Node, sleep};
use crate::quotas::Quotas;
use crate::settings::{Finding, Settings};
use crate::{claim, clock, entry, loads, once, operator, peer, quota, rpc, suspicion, sync, vms};

/// The maximum number of log lines a second about requests that are not authorised.
const MAX_UNAUTHORIZED_LINES: usize = 20;

/// The reason why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings cannot be used on this machine.
    #[snafu(display("{} findings in the settings", findings.len()))]
    Settings {
        /// All faults, each with its place in the settings.
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
/// Returns an [`Error`] with all findings in the settings, such as an address that is in use or a
/// secret that cannot be read.
pub async fn start(
    executor: Rc<LocalExecutor<'static>>,
    settings: Settings,
) -> Result<Running, Error> {
    let mut findings = Vec::new();
    let authenticator =
        Authenticator::read(&settings.tokens).map_err(|found| findings.extend(found));
    let listeners = bind(&settings)
        .await
        .map_err(|found| findings.extend(found));
    let (Ok(authenticator), Ok(listeners)) = (authenticator, listeners) else {
        return Err(Error::Settings { findings });
    };
    let addresses = Addresses {
        callers: local_address(&listeners.callers, settings.listen.callers),
        operators: local_address(&listeners.operators, settings.listen.operators),
        nodes: local_address(&listeners.nodes, settings.listen.nodes),
    };
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| Error::Metrics {
            message: error.to_string(),
        })?;
    let node = Rc::new(new_node(
        executor,
        settings,
        &addresses,
        authenticator,
        metrics,
    ));
    spawn(&node, listeners);
    info!(
        event = "start", process = node.process(), address:% = addresses.callers;
        "listening for callers"
    );
    Ok(Running { node, addresses })
}

fn local_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

async fn bind(settings: &Settings) -> Result<Listeners, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut listeners = Vec::new();
    let requested = [
        ("callers", settings.listen.callers),
        ("operators", settings.listen.operators),
        ("nodes", settings.listen.nodes),
    ];
    for (name, address) in requested {
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

fn new_node(
    executor: Rc<LocalExecutor<'static>>,
    settings: Settings,
    addresses: &Addresses,
    authenticator: Authenticator,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) -> Node {
    let store = store::Client::new(&settings.store.address.to_string(), settings.store.timeout);
    let scheduler = loads::scheduler(&settings);
    // Differs for each start, even if a new VM reuses the name of an earlier one.
    let incarnation = clock::unix_seconds() * 1000 + u64::from(std::process::id() % 1000);
    Node {
        executor,
        store,
        incarnation: Cell::new(incarnation),
        address: addresses.nodes.to_string(),
        caller_address: addresses.callers.to_string(),
        config: RefCell::new(Snapshot::default()),
        table: RefCell::new(Table::default()),
        lease_id: Cell::new(0),
        lease: RefCell::new(Lease::new(settings.lease.ttl)),
        config_confirmed_at: Cell::default(),
        ownerships: RefCell::new(BTreeMap::new()),
        clean_takeovers: RefCell::new(BTreeMap::new()),
        held: RefCell::new(BTreeMap::new()),
        fences: RefCell::new(BTreeMap::new()),
        pool: peer::Pool::default(),
        scheduler: RefCell::new(scheduler),
        load_wake: bounded(1),
        ledger: once::Ledger::new(),
        suspect_tracker: RefCell::new(Tracker::new(suspicion::RETENTION)),
        leaving: RefCell::new(BTreeSet::new()),
        gone: RefCell::new(BTreeSet::new()),
        retry_budgets: RefCell::new(BTreeMap::new()),
        in_flight: RefCell::new(BTreeMap::new()),
        unauthorized: RefCell::new(Throttle::new(MAX_UNAUTHORIZED_LINES)),
        quotas: Quotas::new(clock::now(), &settings.vm),
        body_bytes: Cell::new(0),
        stopping: Cell::new(false),
        next_ticket: Cell::new(1),
        metrics,
        authenticator,
        burn: RefCell::new(burn::Tracker::new(burn_target(&settings), clock::now())),
        settings,
    }
}

fn burn_target(settings: &Settings) -> Target {
    let objectives = &settings.objectives;
    let limits = BTreeMap::from([
        (Objective::FirstToken, objectives.first_token),
        (Objective::BetweenTokens, objectives.between_tokens),
        (Objective::LoadStall, objectives.load_stall),
    ]);
    Target::new(objectives.availability, limits)
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
    node.spawn(once::write_batches(node.clone()));
    node.spawn(vms::follow(node.clone()));
    node.spawn(quota::follow(node.clone()));
    node.spawn(quota::confirm_views(node.clone()));
}

impl Running {
    /// Hands the endpoints over and waits for the requests in flight.
    ///
    /// Returns the number of requests that were aborted because the wait reached `stop.bound`.
    pub async fn stop(self) -> usize {
        let node = self.node;
        node.stopping.set(true);
        info!(event = "stop"; "stopping");
        let lease = node.lease_id.get();
        if let Err(error) = sync::write_record(&node, lease).await {
            warn!(event = "stop"; "could not write the node's record: {error}");
        }
        let owned: Vec<Endpoint> = node.ownerships.borrow().keys().cloned().collect();
        claim::release(&node, owned).await;
        let stopped_at = clock::now();
        let stop = node.settings.stop.clone();
        loop {
            let waited = clock::now().saturating_sub(stopped_at);
            let busy = node.in_flight.borrow().values().sum::<usize>() + node.held.borrow().len();
            if waited >= stop.grace && busy == 0 || waited >= stop.bound {
                if busy > 0 {
                    warn!(event = "stop", open = busy; "requests aborted");
                }
                node.store.revoke(lease).await.ok();
                return busy;
            }
            sleep(std::time::Duration::from_millis(50)).await;
        }
    }
}
