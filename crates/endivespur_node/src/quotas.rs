//! The quotas of organisations at this node, what was used of them here, and the organisations that are refused.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::gateway::quota::tracker::Tracker;
use endivespur_core::gateway::team::Teams;
use endivespur_core::id::{Organisation, Revision};
use endivespur_core::quota::EXCESS;
use endivespur_core::usage::Usage;
use event_listener::Event;
use log::info;

/// For how long an organisation must not be refused before that is logged as the end of its refusals.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// The age that a view may have when lending begins: comparisons each 0.7 s with a round trip of 0.3 s keep it below for
/// longer than the 0.2 s by which lending is postponed. The source of a view is the store, so a predecessor stops 1.7 s
/// after its record has ended, before the last view from which a successor begins.
const SETTLED_VIEW_AGE: Duration = Duration::from_millis(600);

/// The refusals of one organisation at this node.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    since: Time,
    last: Time,
    count: u64,
}

/// The quotas of organisations.
pub struct Quotas {
    /// The decisions.
    pub tracker: RefCell<Tracker>,
    /// Until when this node and others may settle; `None` until the view is confirmed first after this node's record was
    /// written.
    pub start_end: Cell<Option<Time>>,
    /// When the local view of the nodes was last the same as the store's.
    pub confirmed_at: Cell<Time>,
    /// The incarnation of the process under which its shards are kept.
    pub incarnation: Cell<u64>,
    /// The revision of the configuration whose quotas were read last.
    pub revision: Cell<Revision>,
    /// The quotas in force.
    pub teams: RefCell<Teams>,
    /// Notified when requests that wait may find an amount.
    pub changed: Event,
    usage: RefCell<BTreeMap<Organisation, Usage>>,
    refusals: RefCell<BTreeMap<Organisation, Refusals>>,
}

impl Quotas {
    /// Creates the quotas of a node that starts now, before there is a configuration.
    pub fn new(now: Time, vm: &str) -> Self {
        let tracker = Tracker::new(now, vm, EXCESS, false);
        Self {
            tracker: RefCell::new(tracker.with_settled_view_age(SETTLED_VIEW_AGE)),
            start_end: Cell::new(None),
            confirmed_at: Cell::new(Time::ZERO),
            incarnation: Cell::new(0),
            revision: Cell::new(0),
            teams: RefCell::new(Teams::new()),
            changed: Event::new(),
            usage: RefCell::new(BTreeMap::new()),
            refusals: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns the age of the local view of the nodes.
    pub fn view_age(&self, now: Time) -> Duration {
        now.saturating_sub(self.confirmed_at.get())
    }

    /// Removes the counts of organisations that have no quota any longer.
    pub fn forget_others(&self, teams: &Teams) {
        let is_limited = |name: &Organisation| teams.get(name).is_some();
        self.usage.borrow_mut().retain(|name, _| is_limited(name));
    }

    /// Reads or changes what was used of an organisation's quota.
    pub fn usage<T>(&self, organisation: &str, with: impl FnOnce(&mut Usage) -> T) -> T {
        let mut usage = self.usage.borrow_mut();
        with(usage.entry(organisation.to_string()).or_default())
    }

    /// Records a refusal, and logs the first one.
    pub fn refused(&self, now: Time, organisation: &str, amount: u64, wait: Duration) {
        self.usage(organisation, |usage| usage.refuse(now));
        let mut all = self.refusals.borrow_mut();
        let refusals = all.entry(organisation.to_string()).or_insert_with(|| {
            info!(
                event = "quota", organisation, state = "refused", amount,
                wait_ms = wait.as_millis() as u64; "over the quota"
            );
            Refusals {
                since: now,
                last: now,
                count: 0,
            }
        });
        refusals.last = now;
        refusals.count += 1;
    }

    /// Logs the organisations that are no longer refused.
    pub fn check_refusals(&self, now: Time) {
        self.refusals.borrow_mut().retain(|organisation, refusals| {
            let is_refused = now < refusals.last + REFUSAL_TIME;
            if !is_refused {
                let lasted = refusals.last.saturating_sub(refusals.since);
                info!(
                    event = "quota", organisation = organisation.as_str(), state = "admitted",
                    refused = refusals.count, lasted_ms = lasted.as_millis() as u64;
                    "no longer over the quota"
                );
            }
            is_refused
        });
    }
}
