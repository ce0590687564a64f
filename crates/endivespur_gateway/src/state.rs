//! The state shared by the gateway's tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::crash;
use endivespur_core::gateway::duration;
use endivespur_core::gateway::feed::Feed;
use endivespur_core::gateway::health;
use endivespur_core::gateway::hedge;
use endivespur_core::gateway::limit;
use endivespur_core::gateway::load;
use endivespur_core::gateway::ownership::Claims;
use endivespur_core::gateway::reach;
use endivespur_core::gateway::room;
use endivespur_core::gateway::source::Source;
use endivespur_core::id::{Endpoint, Process};
use endivespur_core::retry::Budget;
use endivespur_core::throttle::Throttle;
use endivespur_http::connection::Connection;
use endivespur_http::pool::Pool;
use endivespur_platform::Client;
use endivespur_platform::settings::Settings;
use endivespur_platform::store::Store;
use event_listener::Event;
use smol::Timer;

use crate::budget::Budget as Holdings;
use crate::catalog::Catalog;
use crate::checks::Checks;
use crate::confirmations::Confirmations;
use crate::lease::Lease;
use crate::outbox::Outbox;
use crate::owned::OwnedEngines;
use crate::peers::Peers;
use crate::quotas::Quotas;
use crate::streams::Streams;
use crate::task::Tasks;
use crate::telemetry;
use crate::values::Values;

/// How long an idle connection is kept if the endpoint sends no keep-alive timeout.
pub const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(800);
/// The maximum number of idle connections to one endpoint.
const MAX_IDLE: usize = 8;
/// The maximum number of refusals for want of a valid API key that are logged in a second: anyone can cause them.
const MAX_UNAUTHORIZED_LINES: usize = 20;
/// The share of the permitted retries that this VM uses, because callers are spread unevenly over
/// the VMs.
const RETRY_SHARE: f64 = 0.6;
/// The number of VMs assumed to share the retry budget until more are known: after a start, the
/// records of the others may be missing.
const MIN_VMS: usize = 6;

/// The state shared by the gateway's tasks, which all run on one thread.
pub struct State {
    /// The settings, as read at the start.
    pub settings: Settings,
    /// The name of this process: its VM and start time.
    pub process: Process,
    /// Runs the tasks.
    pub tasks: Tasks,
    /// The client of the platform's store.
    pub store: Store,
    /// The client for orders and reports of engines.
    pub engines: Client,
    /// The cached state of the store.
    pub catalog: RefCell<Catalog>,
    /// The store's keys and changes, for the gateways that follow this one.
    pub feed: RefCell<Feed>,
    /// The large values that are sent to other gateways.
    pub values: Values,
    /// The source that answered last, if it has not failed since.
    pub source: RefCell<Option<Source>>,
    /// The requests to confirm this gateway's view of the store.
    pub confirmations: Confirmations,
    /// When the store last responded to this gateway, if it watches the store.
    pub store_responded_at: Cell<Option<Time>>,
    /// The pause after the last response of the store, if its changes were urgent.
    pub urgent_pause: Cell<Duration>,
    /// When this gateway last received the store's changes, possibly none, from a source.
    pub updated_at: Cell<Time>,
    /// The owners of the engines.
    pub claims: RefCell<Claims>,
    /// Signals a change of the catalog or the claims.
    pub changed: Event,
    /// Signals that another configuration is in force.
    pub configured: Event,
    /// Bounds the log lines of requests that are not authorised.
    pub unauthorized_lines: RefCell<Throttle>,
    /// Bounds the log lines of responses to them that are sent before the body is read.
    pub early_answer_lines: RefCell<Throttle>,
    /// Signals that the store's changes are received again.
    pub store_regained: Event,
    /// This VM's lease.
    pub lease: RefCell<Lease>,
    /// Since when this VM has received changes neither from the store nor from another gateway.
    pub store_lost_at: Cell<Option<Time>>,
    /// The engines that this VM owns.
    pub owned_engines: OwnedEngines,
    /// The connections to other VMs.
    pub peers: Peers,
    /// The idle connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Whether this VM's own links to endpoints work.
    pub reach: RefCell<reach::Tracker>,
    /// Whether the links are being surveyed.
    pub is_surveying: Cell<bool>,
    /// Whether this VM's record says that it is cut off from all endpoints.
    pub is_published_cut_off: Cell<bool>,
    /// The number of requests that are forwarded for other gateways.
    pub forwarded: Cell<usize>,
    /// The recent failures and latencies of endpoints.
    pub health: RefCell<health::Tracker>,
    /// The load that endpoints of plain services report.
    pub loads: RefCell<load::Tracker>,
    /// The latencies of plain services, and the share of hedged requests.
    pub hedges: RefCell<hedge::Tracker>,
    /// The brittle services, and the room that this gateway gives out.
    pub rooms: RefCell<room::Tracker>,
    /// The limits that endpoints have named.
    pub limits: RefCell<limit::Tracker>,
    /// The quotas of teams.
    pub quotas: Quotas,
    /// The streams that began recently.
    pub streams: Streams,
    /// The requests that crashed endpoints.
    pub crashes: RefCell<crash::Tracker>,
    /// The requests that wait for the check whether an endpoint crashed.
    pub checks: Checks,
    /// The records of crashes to be shared.
    pub records: Outbox,
    /// The number of requests in flight, by endpoint.
    pub in_flight: RefCell<BTreeMap<Endpoint, usize>>,
    /// The largest number of VMs that were known at a time. Their records end with their leases,
    /// also while the store is unavailable and the VMs go on.
    most_vms: Cell<usize>,
    /// The retry budgets, by service.
    retries: RefCell<BTreeMap<String, Budget>>,
    /// Set once the process has been asked to stop.
    pub is_stopping: Cell<bool>,
    /// The time by which all requests must have been answered, once the process has been asked to stop.
    pub stop_at: Cell<Option<Time>>,
    /// Signals that [`State::stop_at`] is set.
    pub stopping: Event,
    /// How long requests take.
    pub durations: RefCell<duration::Tracker>,
    /// Signals that no more requests are accepted; [`State::is_closing`] is set before.
    pub closing: Event,
    /// Set once no more requests are accepted.
    pub is_closing: Cell<bool>,
    /// The number of callers' requests in flight.
    pub open_requests: Cell<usize>,
    /// The memory and the connections that are held for others.
    pub budget: Rc<Holdings>,
}

impl State {
    /// Creates the state of a process that has not yet read the store, and polls small changes of the keys with these
    /// prefixes.
    pub fn new(
        settings: Settings,
        process: Process,
        tasks: Tasks,
        polled_prefixes: &[&str],
    ) -> Self {
        let store = Store::new(Client::new(), settings.store_address);
        let claims = if settings.is_fencing_enforced {
            Claims::new()
        } else {
            Claims::with_turn_time(settings.order_turn_time)
        };
        Self {
            process,
            tasks,
            store,
            engines: Client::new(),
            catalog: RefCell::new(Catalog::new()),
            feed: RefCell::new(Feed::with_polled_prefixes(polled_prefixes)),
            values: Values::new(settings.link_rate),
            source: RefCell::new(None),
            confirmations: Confirmations::new(),
            store_responded_at: Cell::new(None),
            urgent_pause: Cell::new(Duration::ZERO),
            updated_at: Cell::new(Time::ZERO),
            claims: RefCell::new(claims),
            changed: Event::new(),
            configured: Event::new(),
            unauthorized_lines: RefCell::new(Throttle::new(MAX_UNAUTHORIZED_LINES)),
            early_answer_lines: RefCell::new(Throttle::new(MAX_UNAUTHORIZED_LINES)),
            store_regained: Event::new(),
            lease: RefCell::new(Lease::new()),
            store_lost_at: Cell::new(None),
            owned_engines: OwnedEngines::new(),
            peers: Peers::new(),
            pool: RefCell::new(Pool::new()),
            reach: RefCell::new(reach::Tracker::new()),
            is_surveying: Cell::new(false),
            is_published_cut_off: Cell::new(false),
            forwarded: Cell::new(0),
            health: RefCell::new(health::Tracker::new()),
            loads: RefCell::new(load::Tracker::new()),
            hedges: RefCell::new(hedge::Tracker::new(settings.hedge_share)),
            rooms: RefCell::new(room::Tracker::new()),
            limits: RefCell::new(limit::Tracker::new()),
            quotas: Quotas::new(&settings),
            streams: Streams::new(),
            crashes: RefCell::new(crash::Tracker::new()),
            checks: Checks::new(),
            records: Outbox::new(),
            in_flight: RefCell::new(BTreeMap::new()),
            most_vms: Cell::new(MIN_VMS),
            retries: RefCell::new(BTreeMap::new()),
            is_stopping: Cell::new(false),
            stop_at: Cell::new(None),
            stopping: Event::new(),
            durations: RefCell::new(duration::Tracker::new()),
            closing: Event::new(),
            is_closing: Cell::new(false),
            open_requests: Cell::new(0),
            budget: Rc::new(Holdings::new(&settings)),
            settings,
        }
    }

    /// Spawns a detached task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task);
    }

    /// Returns whether the endpoints of a service are model engines.
    pub fn is_engine(&self, service: &str) -> bool {
        let table = self.catalog.borrow().table();
        let group = table.as_ref().and_then(|table| table.services.get(service));
        group.is_some_and(|group| group.engine.is_some())
    }

    /// Keeps an idle connection to an endpoint for another request.
    pub fn keep(&self, address: SocketAddr, connection: Connection, idle_timeout: Duration) {
        let mut pool = self.pool.borrow_mut();
        pool.put(address, connection, idle_timeout, MAX_IDLE);
    }

    /// Returns when the process has been asked to stop and all requests must have been answered.
    pub async fn must_answer(&self) {
        loop {
            let listener = self.stopping.listen();
            if let Some(at) = self.stop_at.get() {
                Timer::after(at.saturating_sub(clock::now())).await;
                return;
            }
            listener.await;
        }
    }

    /// Wakes all tasks that wait for a change of the catalog or the claims.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Records a request for a service, which adds a fraction of a retry to its budget.
    pub fn deposit_retry(&self, service: &str) {
        self.with_budget(service, Budget::deposit);
    }

    /// Takes one retry from a service's budget; returns whether one was left.
    pub fn withdraw_retry(&self, service: &str) -> bool {
        let is_permitted = self.with_budget(service, Budget::withdraw);
        telemetry::retry_requested(is_permitted);
        is_permitted
    }

    fn with_budget<T>(&self, service: &str, use_budget: impl FnOnce(&mut Budget) -> T) -> T {
        let vms = self.catalog.borrow().peers().count();
        let vms = vms.max(self.most_vms.get());
        self.most_vms.set(vms);
        let limit = (self.settings.retry_reserve * RETRY_SHARE / vms as f64).max(1.0);
        let share = self.settings.retry_ratio * RETRY_SHARE;
        let mut retries = self.retries.borrow_mut();
        let budget = retries
            .entry(service.to_string())
            .or_insert_with(|| Budget::new(share, limit));
        budget.set_limit(limit);
        use_budget(budget)
    }
}

/// Counts a request as in flight at an endpoint until dropped.
pub struct InFlight {
    state: Rc<State>,
    endpoint: Endpoint,
}

impl InFlight {
    /// Counts a request as in flight.
    pub fn new(state: &Rc<State>, endpoint: &str) -> Self {
        *state
            .in_flight
            .borrow_mut()
            .entry(endpoint.to_string())
            .or_default() += 1;
        Self {
            state: state.clone(),
            endpoint: endpoint.to_string(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut in_flight = self.state.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(&self.endpoint) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.endpoint);
            }
        }
    }
}
