//! The state that the parts of a daemon share on its one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::burn::{Burn, Objective};
use endivespur_core::clock::Time;
use endivespur_core::config::Snapshot;
use endivespur_core::id::{Endpoint, Fence, Grant, Organisation, Process, Vm};
use endivespur_core::lease::{Authority, Lease};
use endivespur_core::member::{Table, process};
use endivespur_core::retry::Budget;
use endivespur_core::schedule::Scheduler;
use endivespur_core::slot::Name;
use endivespur_core::suspect::Tracker;
use endivespur_net::store;
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};

use crate::clock;
use crate::host::Host;
use crate::once::Ledger;
use crate::peer::Pool;
use crate::settings::Settings;

/// The time within which an accepted configuration is in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(7);

/// A grant that this entry holds.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The slot, or nothing for a plain call.
    pub slot: Option<Name>,
}

/// Which grants are held, by endpoint, fencing number and grant.
pub type Holdings = BTreeMap<(Endpoint, Fence, Grant), Holding>;

/// The state of a daemon.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Runs the daemon's tasks on its one thread.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The platform's store.
    pub store: store::Client,
    /// The number of this process; a new one after a lapsed lease.
    pub incarnation: Cell<u64>,
    /// The bound address for calls between nodes.
    pub address: String,
    /// The bound address for callers.
    pub callers: String,
    /// The operators' configuration.
    pub config: RefCell<Snapshot>,
    /// Nodes and owners.
    pub table: RefCell<Table>,
    /// The store's number of the lease, 0 while there is none.
    pub lease_id: Cell<u64>,
    /// What the node may do with its endpoints.
    pub lease: RefCell<Lease>,
    /// When the store or most peers last confirmed the configuration.
    pub config_heard: Cell<Time>,
    /// The owned endpoints.
    pub hosts: RefCell<BTreeMap<Endpoint, Host>>,
    /// Endpoints whose takeover was clean, by fencing number.
    pub clean: RefCell<BTreeMap<Endpoint, Fence>>,
    /// The grants that this entry holds.
    pub held: RefCell<Holdings>,
    /// The highest fencing number seen for each endpoint.
    pub fences: RefCell<BTreeMap<Endpoint, Fence>>,
    /// Connections to other daemons.
    pub pool: Pool,
    /// The load scheduler, used while this node has the role.
    pub scheduler: RefCell<Scheduler>,
    /// Wakes the task that tells wants and gives permits.
    pub wake: (Sender<()>, Receiver<()>),
    /// The ledger of calls that run at most once.
    pub ledger: Ledger,
    /// Suspected requests.
    pub court: RefCell<Tracker>,
    /// Fingerprints that are suspected somewhere in the region.
    pub suspects: RefCell<BTreeMap<u64, Time>>,
    /// VMs that the platform lists as leaving or gone.
    pub leaving: RefCell<BTreeSet<Vm>>,
    /// VMs that the platform lists as gone.
    pub gone: RefCell<BTreeSet<Vm>>,
    /// The retry budgets.
    pub budgets: RefCell<BTreeMap<Organisation, Budget>>,
    /// The requests in flight, by organisation.
    pub inflight: RefCell<BTreeMap<Organisation, usize>>,
    /// Whether a planned stop is under way.
    pub stopping: Cell<bool>,
    /// The next number of a waiting request.
    pub tickets: Cell<u64>,
    /// Renders the metrics.
    pub metrics: metrics_exporter_prometheus::PrometheusHandle,
    /// The counts against the service-level objectives.
    pub burn: RefCell<Burn>,
    /// The secrets.
    pub guard: crate::guard::Guard,
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

    /// Notes that the store has answered.
    pub fn heard_store(&self) {
        self.lease.borrow_mut().store_answered(clock::now());
    }

    /// Tells whether the known configuration may be acted on.
    pub fn is_current(&self) -> bool {
        self.config_heard.get() + IN_FORCE > clock::now()
    }

    /// Tells whether an endpoint's VM leaves or the endpoint is drained.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        self.leaving.borrow().contains(endpoint)
    }

    /// Returns the address of the owner of an endpoint, if a live process owns it.
    pub fn owner(&self, endpoint: &str) -> Option<(Vm, u64, String)> {
        let table = self.table.borrow();
        let (_, claim) = table.owner(endpoint)?;
        (!claim.released).then(|| (claim.vm.clone(), claim.incarnation, claim.address.clone()))
    }

    /// Tells whether a process name is this process.
    pub fn is_me(&self, vm: &str, incarnation: u64) -> bool {
        vm == self.settings.vm && incarnation == self.incarnation.get()
    }

    /// Returns a number for the next waiting request.
    pub fn ticket(&self) -> u64 {
        let ticket = self.tickets.get();
        self.tickets.set(ticket + 1);
        ticket
    }

    /// Takes one retry from an organisation's budget.
    pub fn may_retry(&self, organisation: &str) -> bool {
        self.budget(organisation, Budget::withdraw)
    }

    /// Applies a change to an organisation's retry budget.
    pub fn budget<T>(&self, organisation: &str, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(organisation.to_string())
            .or_insert_with(|| Budget::new(0.1, 10.0));
        change(budget)
    }

    /// Counts a delay of an organisation's request against its objective.
    pub fn delayed(
        &self,
        service: &str,
        organisation: &str,
        objective: Objective,
        delay: Duration,
    ) {
        let mut burn = self.burn.borrow_mut();
        burn.delayed(clock::now(), service, organisation, objective, delay);
    }

    /// Lets wants be told and permits be given soon.
    pub fn wake_loads(&self) {
        self.wake.0.try_send(()).ok();
    }

    /// Runs a task on the daemon's thread.
    pub fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// Waits for a time.
pub async fn sleep(time: Duration) {
    smol::Timer::after(time).await;
}
