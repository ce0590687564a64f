//! The state that the gateway's parts share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use endivespur_core::clock::Time;
use endivespur_core::gateway::crash;
use endivespur_core::gateway::feed::Feed;
use endivespur_core::gateway::health;
use endivespur_core::gateway::ownership::Claims;
use endivespur_core::id::{Endpoint, Process};
use endivespur_core::retry::Budget;
use endivespur_http::pool::Pool;
use endivespur_platform::Client;
use endivespur_platform::settings::Settings;
use endivespur_platform::store::Store;
use event_listener::Event;
use smol::LocalExecutor;

use crate::catalog::Catalog;
use crate::lease::Lease;
use crate::owned::Owners;
use crate::peers::Peers;
use crate::telemetry;

/// The share of the permitted retries that this VM counts on: callers reach VMs unevenly.
const RETRY_SHARE: f64 = 0.6;
/// The VMs assumed to share the retry budget while none is known.
const ASSUMED_VMS: f64 = 6.0;

/// What the gateway's parts share; all run on one thread.
pub struct State {
    /// The settings.
    pub settings: Settings,
    /// This process.
    pub process: Process,
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The client of the platform's store.
    pub store: Store,
    /// The client of engines' own calls.
    pub engines: Client,
    /// What the store last told.
    pub catalog: RefCell<Catalog>,
    /// The store's keys, for the gateways that follow this one.
    pub feed: RefCell<Feed>,
    /// When the store last answered a watch, if this gateway watches it.
    pub heard: Cell<Option<Time>>,
    /// Who owns which engine.
    pub claims: RefCell<Claims>,
    /// Signals a change of catalog or claims.
    pub changed: Event,
    /// This VM's lease.
    pub lease: RefCell<Lease>,
    /// Since when this VM has not heard of the store, nor from others that have.
    pub store_lost: Cell<Option<Time>>,
    /// The engines that this VM owns.
    pub owners: Owners,
    /// The connections to other VMs.
    pub peers: Peers,
    /// The idle connections to endpoints.
    pub pool: RefCell<Pool>,
    /// How endpoints answered.
    pub health: RefCell<health::Tracker>,
    /// The requests that crashed endpoints.
    pub crashes: RefCell<crash::Tracker>,
    /// The requests under way, by endpoint.
    pub running: RefCell<BTreeMap<Endpoint, usize>>,
    /// The retries that are left, by service.
    retries: RefCell<BTreeMap<String, Budget>>,
    /// Set once the process was asked to stop.
    pub is_stopping: Cell<bool>,
    /// Signals that no more requests are taken; [`State::is_closing`] is then set.
    pub closing: Event,
    /// Set once no more requests are taken.
    pub is_closing: Cell<bool>,
    /// The callers' requests under way.
    pub open_requests: Cell<usize>,
}

impl State {
    /// Makes the state of a process that knows nothing yet.
    pub fn new(settings: Settings, process: Process, executor: Rc<LocalExecutor<'static>>) -> Self {
        let store = Store::new(Client::new(), settings.store_address);
        Self {
            process,
            executor,
            store,
            engines: Client::new(),
            catalog: RefCell::new(Catalog::new()),
            feed: RefCell::new(Feed::new()),
            heard: Cell::new(None),
            claims: RefCell::new(Claims::new()),
            changed: Event::new(),
            lease: RefCell::new(Lease::new()),
            store_lost: Cell::new(None),
            owners: Owners::new(),
            peers: Peers::new(),
            pool: RefCell::new(Pool::new()),
            health: RefCell::new(health::Tracker::new()),
            crashes: RefCell::new(crash::Tracker::new()),
            running: RefCell::new(BTreeMap::new()),
            retries: RefCell::new(BTreeMap::new()),
            is_stopping: Cell::new(false),
            closing: Event::new(),
            is_closing: Cell::new(false),
            open_requests: Cell::new(0),
            settings,
        }
    }

    /// Runs a task until it ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Wakes all that wait for a change of catalog or claims.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Notes a request for a service, which earns a share of a retry.
    pub fn deposit_retry(&self, service: &str) {
        self.with_budget(service, Budget::deposit);
    }

    /// Takes one retry at a service; tells whether one was left.
    pub fn withdraw_retry(&self, service: &str) -> bool {
        let is_permitted = self.with_budget(service, Budget::withdraw);
        telemetry::retried(is_permitted);
        is_permitted
    }

    fn with_budget<T>(&self, service: &str, use_budget: impl FnOnce(&mut Budget) -> T) -> T {
        let vms = self.catalog.borrow().peers().count();
        let vms = if vms == 0 { ASSUMED_VMS } else { vms as f64 };
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.to_string()).or_insert_with(|| {
            Budget::new(
                self.settings.retry_ratio * RETRY_SHARE,
                (self.settings.retry_reserve * RETRY_SHARE / vms).max(1.0),
            )
        });
        use_budget(budget)
    }
}

/// Counts a request under way at an endpoint until it is dropped.
pub struct Running {
    state: Rc<State>,
    endpoint: Endpoint,
}

impl Running {
    /// Counts a request.
    pub fn new(state: &Rc<State>, endpoint: &str) -> Self {
        *state
            .running
            .borrow_mut()
            .entry(endpoint.to_string())
            .or_default() += 1;
        Self {
            state: state.clone(),
            endpoint: endpoint.to_string(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut running = self.state.running.borrow_mut();
        if let Some(count) = running.get_mut(&self.endpoint) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.endpoint);
            }
        }
    }
}
