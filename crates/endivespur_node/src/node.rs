//! The state that the daemon's tasks share on its one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::burn::{self, Objective};
use endivespur_core::clock::Time;
use endivespur_core::config::Snapshot;
use endivespur_core::id::{Endpoint, Fence, Grant, Organisation, Process, Vm};
use endivespur_core::lease::{Authority, Lease};
use endivespur_core::member::{Table, process};
use endivespur_core::retry::Budget;
use endivespur_core::schedule::Scheduler;
use endivespur_core::slot::Name;
use endivespur_core::suspect::Tracker;
use endivespur_core::throttle::Throttle;
use endivespur_net::store;
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};

use crate::clock;
use crate::host::Ownership;
use crate::once::Ledger;
use crate::peer::Pool;
use crate::quotas::Quotas;
use crate::settings::Settings;

/// The time after its last confirmation for which the configuration is acted on.
///
/// An accepted change is in force on every node within this time, since a node that has not
/// received it accepts no more requests.
pub const MAX_CONFIG_AGE: Duration = Duration::from_secs(7);

/// A grant that this process holds.
#[derive(Clone, Debug)]
pub struct HeldGrant {
    /// The granted slot, `None` for a call to a plain service.
    pub slot: Option<Name>,
}

/// The held grants by endpoint, fencing number and grant id.
pub type HeldGrants = BTreeMap<(Endpoint, Fence, Grant), HeldGrant>;

/// The state of a daemon.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Runs the daemon's tasks on its one thread.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The platform's store.
    pub store: store::Client,
    /// The incarnation of this process; it increases after each lapsed lease.
    pub incarnation: Cell<u64>,
    /// The address that listens for calls from other nodes.
    pub address: String,
    /// The address that listens for callers.
    pub caller_address: String,
    /// The operators' configuration.
    pub config: RefCell<Snapshot>,
    /// The records of nodes and owners.
    pub table: RefCell<Table>,
    /// The store's id of the lease, 0 while there is none.
    pub lease_id: Cell<u64>,
    /// The local view of the lease, which decides what the node may do with its endpoints.
    pub lease: RefCell<Lease>,
    /// When the store or a majority of the peers last confirmed the configuration.
    pub config_confirmed_at: Cell<Time>,
    /// The owned endpoints.
    pub ownerships: RefCell<BTreeMap<Endpoint, Ownership>>,
    /// The fencing numbers of the endpoints whose takeover was clean.
    pub clean_takeovers: RefCell<BTreeMap<Endpoint, Fence>>,
    /// The grants that this process holds.
    pub held: RefCell<HeldGrants>,
    /// The highest fencing number by endpoint for which an owner has asked for held grants.
    pub fences: RefCell<BTreeMap<Endpoint, Fence>>,
    /// Connections to other daemons.
    pub pool: Pool,
    /// The load scheduler, used while this node has the role.
    pub scheduler: RefCell<Scheduler>,
    /// Wakes the task that reports demands and issues load permits.
    pub load_wake: (Sender<()>, Receiver<()>),
    /// The ledger of calls that run at most once.
    pub ledger: Ledger,
    /// Tracks the suspected features of the region, and admits requests with those whose home is this
    /// node.
    pub suspect_tracker: RefCell<Tracker>,
    /// VMs that the platform lists as leaving or gone.
    pub leaving: RefCell<BTreeSet<Vm>>,
    /// VMs that the platform lists as gone.
    pub gone: RefCell<BTreeSet<Vm>>,
    /// The retry budgets by organisation.
    pub retry_budgets: RefCell<BTreeMap<Organisation, Budget>>,
    /// The number of requests in flight by organisation.
    pub in_flight: RefCell<BTreeMap<Organisation, usize>>,
    /// Bounds the log lines of requests that are not authorised.
    pub unauthorized: RefCell<Throttle>,
    /// The quotas of organisations.
    pub quotas: Quotas,
    /// The bytes of the request bodies that are held.
    pub body_bytes: Cell<usize>,
    /// Whether a planned stop is in progress.
    pub stopping: Cell<bool>,
    /// The number of the next ticket.
    pub next_ticket: Cell<u64>,
    /// Renders the metrics.
    pub metrics: metrics_exporter_prometheus::PrometheusHandle,
    /// The counts against the service-level objectives.
    pub burn: RefCell<burn::Tracker>,
    /// Authenticates callers, operators and nodes.
    pub authenticator: crate::guard::Authenticator,
}

impl Node {
    /// Returns the name of this process.
    pub fn process(&self) -> Process {
        process(&self.settings.vm, self.incarnation.get())
    }

    /// Returns what this node may do with the endpoints it owns.
    pub fn authority(&self) -> Authority {
        self.lease.borrow().authority(clock::now())
    }

    /// Records that the store has answered.
    pub fn record_store_answer(&self) {
        self.lease.borrow_mut().store_answered(clock::now());
    }

    /// Returns whether the local configuration is recent enough to be acted on.
    pub fn is_current(&self) -> bool {
        self.config_confirmed_at.get() + MAX_CONFIG_AGE > clock::now()
    }

    /// Returns whether the platform lists an endpoint's VM as leaving or gone.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        self.leaving.borrow().contains(endpoint)
    }

    /// Returns the VM, incarnation and address of an endpoint's owner, unless it has released the
    /// endpoint.
    pub fn owner(&self, endpoint: &str) -> Option<(Vm, u64, String)> {
        let table = self.table.borrow();
        let (_, claim) = table.owner(endpoint)?;
        (!claim.released).then(|| (claim.vm.clone(), claim.incarnation, claim.address.clone()))
    }

    /// Returns whether a VM and incarnation identify this process.
    pub fn is_self(&self, vm: &str, incarnation: u64) -> bool {
        vm == self.settings.vm && incarnation == self.incarnation.get()
    }

    /// Returns a new ticket, a number that is unique within this process.
    pub fn ticket(&self) -> u64 {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        ticket
    }

    /// Withdraws one retry from an organisation's budget; returns whether the budget allows it.
    pub fn withdraw_retry(&self, organisation: &str) -> bool {
        self.update_retry_budget(organisation, Budget::withdraw)
    }

    /// Applies a change to an organisation's retry budget.
    pub fn update_retry_budget<T>(
        &self,
        organisation: &str,
        change: impl FnOnce(&mut Budget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets
            .entry(organisation.to_string())
            .or_insert_with(|| Budget::new(0.1, 10.0));
        change(budget)
    }

    /// Counts a delay of an organisation's request against its objective.
    pub fn record_delay(
        &self,
        service: &str,
        organisation: &str,
        objective: Objective,
        delay: Duration,
    ) {
        let mut burn = self.burn.borrow_mut();
        burn.delayed(clock::now(), service, organisation, objective, delay);
    }

    /// Wakes the task that reports demands and issues load permits.
    pub fn wake_loads(&self) {
        self.load_wake.0.try_send(()).ok();
    }

    /// Runs a task on the daemon's thread.
    pub fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// Suspends the calling task for a duration.
pub async fn sleep(duration: Duration) {
    smol::Timer::after(duration).await;
}
