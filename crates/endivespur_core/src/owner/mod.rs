//! The owner of one endpoint: the only process that issues grants for it and orders its
//! loads and evictions.

mod load;
mod takeover;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::config::Class;
use crate::decay::Counter;
use crate::id::{Fence, Grant as GrantId, Model, Organisation, Process, Ticket};
use crate::lease::Authority;
use crate::queue::{Queue, Request};
use crate::slot::{Name, Phase, Slot};

/// The maximum age of the backlog that the scheduler reported; an older one is ignored.
const MAX_BACKLOG_AGE: Duration = Duration::from_secs(3);

/// How long a request that has to run alone waits before no other requests are granted, so that
/// the endpoint becomes idle.
const RESERVATION_DELAY: Duration = Duration::from_secs(1);

/// The limits of an endpoint.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The number of slots for adapters.
    pub slots: usize,
    /// The maximum number of requests that run at once.
    pub batch: usize,
    /// The maximum number of requests that wait.
    pub waiting: usize,
    /// The half-life of an adapter's popularity.
    pub half_life: Duration,
}

/// A permission to run one request on the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number, unique for the owner's fence.
    pub id: GrantId,
    /// The fencing number of the owner.
    pub fence: Fence,
    /// The slot's name, or `None` for a plain call.
    pub slot: Option<Name>,
}

/// Why a request was refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The deadline passed in the queue.
    Deadline,
    /// The queue is full.
    Full,
    /// The endpoint takes no new work.
    #[serde(rename = "leaving")]
    Draining,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The node does not own the endpoint.
    NotOwner,
    /// Every slot is in use; another endpoint may have a free one.
    Busy,
    /// So many loads wait that the adapter would be loaded after the deadline.
    Backlog,
}

impl Reason {
    const ALL: [Self; 7] = [
        Self::Deadline,
        Self::Full,
        Self::Draining,
        Self::LoadFailed,
        Self::NotOwner,
        Self::Busy,
        Self::Backlog,
    ];

    /// Returns the name of the reason in messages and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Full => "full",
            Self::Draining => "leaving",
            Self::LoadFailed => "load-failed",
            Self::NotOwner => "not-owner",
            Self::Busy => "busy",
            Self::Backlog => "backlog",
        }
    }

    /// Returns the reason with the given name, or [`Reason::NotOwner`] if the name is unknown.
    pub fn from_name(name: &str) -> Self {
        let found = Self::ALL.into_iter().find(|reason| reason.name() == name);
        found.unwrap_or(Self::NotOwner)
    }
}

/// A refusal with the delay before the next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The delay after which another attempt may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates the refusal of a node that does not own the endpoint or cannot be reached.
    pub fn not_owner() -> Self {
        Self {
            reason: Reason::NotOwner,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// An action that the caller of the state machine carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answers a request with a grant.
    Grant(Ticket, Grant),
    /// Answers a request with a refusal.
    Refuse(Ticket, Refusal),
    /// Orders the engine to load an adapter under a name.
    Load(Name),
    /// Orders the engine to unload a name.
    Unload(Name),
}

/// An adapter that waiting requests or a pin need loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The adapter and version.
    pub model: Model,
    /// The organisation of the request that has waited longest.
    pub organisation: Organisation,
    /// The most urgent class of the waiting requests.
    pub class: Class,
    /// The number of waiting requests.
    pub waiting: usize,
    /// When the oldest request arrived.
    pub since: Time,
    /// The earliest deadline.
    pub deadline: Time,
}

/// A grant that was issued and has not ended.
#[derive(Clone, Debug)]
pub struct HeldGrant {
    /// The entry process that holds it.
    pub entry: Process,
    /// The slot, or `None` for a plain call.
    pub slot: Option<Name>,
    /// When it was issued, or reported after a takeover.
    pub since: Time,
    /// Whether the request runs alone.
    pub alone: bool,
    /// When the entry process was found dead.
    pub dead: Option<Time>,
}

#[derive(Clone, Debug, Default)]
struct Failure {
    count: u32,
    retry_at: Time,
}

/// The state of an owned endpoint.
#[derive(Debug)]
pub struct Owner {
    spec: Spec,
    fence: Fence,
    next_grant: GrantId,
    open: bool,
    /// Whether the engine has listed its adapters; nothing is granted before.
    listed: bool,
    /// When the engine's adapters last became unknown; older lists are ignored.
    unconfirmed_since: Time,
    /// Processes that have not yet reported the grants they hold after a takeover.
    unreported: BTreeSet<Process>,
    slots: BTreeMap<Name, Slot>,
    /// Loads that wait until a victim is unloaded, by the victim's name.
    pending: BTreeMap<Name, Model>,
    held: BTreeMap<(Fence, GrantId), HeldGrant>,
    queue: Queue,
    popularity: BTreeMap<Model, Counter>,
    failures: BTreeMap<Model, Failure>,
    pins: BTreeSet<Model>,
    /// Whether requests may run on slots that the previous owner loaded.
    adopt: bool,
    /// How long a new load would wait, by class, and until when the report is valid.
    backlog: (BTreeMap<Class, Duration>, Time),
    /// When names were unloaded, so that an older list does not add them again.
    unloaded_at: BTreeMap<Name, Time>,
}

impl Owner {
    /// Creates the owner of an endpoint under `fence`; `live` are the processes that run at
    /// the takeover.
    ///
    /// Nothing is evicted until each process of `live` has reported the grants it holds and
    /// the engine has listed its adapters.
    pub fn new(spec: Spec, fence: Fence, live: BTreeSet<Process>) -> Self {
        let plain = spec.slots == 0;
        Self {
            spec,
            fence,
            next_grant: 1,
            open: true,
            listed: plain,
            unconfirmed_since: Time::ZERO,
            unreported: live,
            slots: BTreeMap::new(),
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            queue: Queue::default(),
            popularity: BTreeMap::new(),
            failures: BTreeMap::new(),
            pins: BTreeSet::new(),
            adopt: true,
            backlog: (BTreeMap::new(), Time::ZERO),
            unloaded_at: BTreeMap::new(),
        }
    }

    /// Sets whether requests may run on slots that the previous owner loaded.
    ///
    /// If the endpoint ignores fencing numbers and the previous owner may only be paused,
    /// a late unload by it could remove such a slot. The slot is then not used and is
    /// evicted once idle.
    pub fn with_adopt(mut self, adopt: bool) -> Self {
        self.adopt = adopt;
        self
    }

    /// Sets the adapters that are loaded without a request and never evicted.
    pub fn with_pins(mut self, pins: BTreeSet<Model>) -> Self {
        self.pins = pins;
        self
    }

    /// Replaces the limits and pins when the configuration changes.
    pub fn configure(&mut self, spec: Spec, pins: BTreeSet<Model>) {
        self.spec = spec;
        self.pins = pins;
    }

    /// Records how long a new load would wait, as reported by the scheduler.
    pub fn set_backlog(&mut self, now: Time, backlog: BTreeMap<Class, Duration>) {
        self.backlog = (backlog, now + MAX_BACKLOG_AGE);
    }

    /// Returns how long a load for the request would wait, if that is past its deadline.
    fn load_wait_past_deadline(&self, now: Time, request: &Request) -> Option<Duration> {
        let model = request.model.as_ref()?;
        if now >= self.backlog.1 || self.is_placed_or_requested(model) {
            return None;
        }
        let wait = *self.backlog.0.get(&request.class)?;
        (now + wait > request.deadline).then_some(wait)
    }

    /// Returns the fencing number.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the slots by name.
    pub fn slots(&self) -> &BTreeMap<Name, Slot> {
        &self.slots
    }

    /// Returns the grants that have not ended.
    pub fn held_grants(&self) -> &BTreeMap<(Fence, GrantId), HeldGrant> {
        &self.held
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the processes that have not yet reported the grants they hold.
    pub fn unreported(&self) -> &BTreeSet<Process> {
        &self.unreported
    }

    /// Returns whether the endpoint takes new work.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Returns the number of grants on a name that have not ended, including those from
    /// before a restart of the engine.
    pub fn users(&self, name: &Name) -> usize {
        let held = self.held.values();
        held.filter(|held| held.slot.as_ref() == Some(name)).count()
    }

    /// Queues a request for a grant, or refuses it.
    pub fn request(&mut self, now: Time, authority: Authority, request: Request) -> Vec<Action> {
        if let Some(refusal) = self.refusal(now, authority, &request) {
            return vec![Action::Refuse(request.ticket, refusal)];
        }
        if let Some(model) = &request.model {
            let counter = self.popularity.entry(model.clone()).or_default();
            counter.add(now, self.spec.half_life, 1.0);
        }
        self.queue.push(request);
        self.grant_waiting(now, authority)
    }

    fn refusal(&self, now: Time, authority: Authority, request: &Request) -> Option<Refusal> {
        let refuse = |reason, retry_after| {
            Some(Refusal {
                reason,
                retry_after,
            })
        };
        if authority == Authority::Lapsed {
            return Some(Refusal::not_owner());
        }
        if !self.open {
            return refuse(Reason::Draining, Duration::from_secs(1));
        }
        if request.deadline <= now {
            return refuse(Reason::Deadline, Duration::from_secs(1));
        }
        if self.queue.len() >= self.spec.waiting {
            return refuse(Reason::Full, Duration::from_secs(2));
        }
        if let Some(model) = &request.model
            && !self.is_placed_or_requested(model)
            && authority == Authority::Frozen
        {
            return refuse(Reason::Busy, Duration::from_secs(5));
        }
        if let Some(wait) = self.load_wait_past_deadline(now, request) {
            return refuse(Reason::Backlog, wait);
        }
        if !request.wait_if_busy && !self.could_serve(request) {
            return refuse(Reason::Busy, Duration::from_secs(1));
        }
        None
    }

    /// Returns whether the endpoint can serve a request, now or after a load.
    fn could_serve(&self, request: &Request) -> bool {
        let Some(model) = &request.model else {
            return true;
        };
        self.listed
            && (self.is_placed_or_requested(model)
                || self.is_settled() && self.has_available_slot())
    }

    /// Returns whether the adapter is loaded, being loaded, or needed by a waiting request.
    fn is_placed_or_requested(&self, model: &Model) -> bool {
        self.is_placed(model)
            || self
                .queue
                .iter()
                .any(|request| request.model.as_ref() == Some(model))
    }

    /// Returns whether a slot is free or could be evicted.
    pub fn has_available_slot(&self) -> bool {
        self.slots.len() < self.spec.slots || self.victim(Time::ZERO).is_some()
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(|request| request.ticket == ticket);
    }

    /// Records that the request of a grant has ended, with or without success.
    pub fn end(
        &mut self,
        now: Time,
        authority: Authority,
        fence: Fence,
        grant: GrantId,
    ) -> Vec<Action> {
        if self.held.remove(&(fence, grant)).is_none() {
            return Vec::new();
        }
        self.grant_waiting(now, authority)
    }

    /// Opens or closes the endpoint for new work; closing refuses every waiting request.
    pub fn set_open(&mut self, open: bool) -> Vec<Action> {
        self.open = open;
        if open {
            return Vec::new();
        }
        self.refuse_all(Reason::Draining, |_| true)
    }

    /// Refuses every waiting request, because the ownership has ended.
    pub fn close(&mut self) -> Vec<Action> {
        self.open = false;
        self.refuse_all(Reason::NotOwner, |_| true)
    }

    fn refuse_all(&mut self, reason: Reason, matches: impl Fn(&Request) -> bool) -> Vec<Action> {
        let refusal = Refusal {
            reason,
            retry_after: Duration::from_secs(1),
        };
        self.queue
            .remove(matches)
            .into_iter()
            .map(|request| Action::Refuse(request.ticket, refusal))
            .collect()
    }

    /// Issues grants to waiting requests that can run, and refuses those past their deadline.
    pub fn grant_waiting(&mut self, now: Time, authority: Authority) -> Vec<Action> {
        if authority == Authority::Lapsed {
            return self.refuse_all(Reason::NotOwner, |_| true);
        }
        let mut actions = self.refuse_all(Reason::Deadline, |request| request.deadline <= now);
        while self.listed && self.held.len() < self.spec.batch && !self.runs_alone() {
            let idle = self.held.is_empty();
            let reserved = self.is_reserved(now);
            let mut queue = std::mem::take(&mut self.queue);
            let next = queue.pop(|request| {
                let fits = if request.alone { idle } else { !reserved };
                fits && self.is_ready(request)
            });
            self.queue = queue;
            let Some(request) = next else { break };
            actions.push(self.grant(now, request));
        }
        actions
    }

    /// Returns whether no other requests are granted because one has to run alone.
    ///
    /// Otherwise a busy endpoint would never become idle for it.
    fn is_reserved(&self, now: Time) -> bool {
        let waits = |request: &Request| {
            request.alone && now.saturating_sub(request.since) >= RESERVATION_DELAY
        };
        self.queue
            .iter()
            .any(|request| waits(request) && self.is_ready(request))
    }

    fn runs_alone(&self) -> bool {
        self.held.values().any(|held| held.alone)
    }

    fn grant(&mut self, now: Time, request: Request) -> Action {
        let slot = request.model.as_ref().and_then(|m| self.ready_name(m));
        if let Some(name) = &slot
            && let Some(entry) = self.slots.get_mut(name)
        {
            entry.last_used = now;
        }
        let id = self.next_grant;
        self.next_grant += 1;
        let held = HeldGrant {
            entry: request.entry,
            slot: slot.clone(),
            since: now,
            alone: request.alone,
            dead: None,
        };
        self.held.insert((self.fence, id), held);
        let grant = Grant {
            id,
            fence: self.fence,
            slot,
        };
        Action::Grant(request.ticket, grant)
    }

    fn is_ready(&self, request: &Request) -> bool {
        request
            .model
            .as_ref()
            .is_none_or(|model| self.ready_name(model).is_some())
    }

    /// Returns whether requests may run on a slot's name.
    fn is_usable(&self, name: &Name) -> bool {
        self.adopt || name.fence == self.fence
    }

    /// Returns the usable copy of an adapter with the highest fencing number.
    fn ready_name(&self, model: &Model) -> Option<Name> {
        self.slots
            .iter()
            .filter(|(name, slot)| name.model == *model && slot.phase == Phase::Ready)
            .filter(|(name, _)| self.is_usable(name))
            .max_by_key(|(name, _)| name.fence)
            .map(|(name, _)| name.clone())
    }
}
