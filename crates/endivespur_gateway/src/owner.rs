//! The engines that this VM owns: one task an engine gives its orders.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::{Instance, Weights};
use endivespur_core::gateway::placement::{Action, Answer, Ask, Engine, Order, Step, Verdict};
use endivespur_core::id::{Endpoint, Fence, Grant, Version};
use endivespur_platform::engine::{self, Target};
use event_listener::Event;
use log::{info, warn};
use smol::Timer;

use crate::member;
use crate::state::State;
use crate::{telemetry, timer};

/// How long an engine may take to answer an order or a report: some twenty times what it
/// usually takes between zones.
const ORDER_TIMEOUT: Duration = Duration::from_millis(120);
/// The pause after an engine gave no usable answer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause of an owner that has nothing to do: it looks whether it still owns.
const IDLE: Duration = Duration::from_millis(500);

/// One owned engine.
struct Owned {
    fence: Fence,
    born: u64,
    engine: RefCell<Engine>,
    /// Signals a change of what the engine should hold; wakes the task that orders.
    wanted: Event,
    /// Signals a change of what the engine holds; wakes the asks that wait.
    changed: Event,
}

/// The owned engines.
#[derive(Default)]
pub struct Owners {
    owned: RefCell<BTreeMap<Endpoint, Rc<Owned>>>,
}

/// The answer to a request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request may be sent.
    Granted(Grant),
    /// Another engine should be tried; the estimated delay at this one.
    Busy(Duration),
    /// This VM does not own the engine.
    NotOwner,
    /// The adapter did not come in time.
    Late,
}

impl Owners {
    /// Makes an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Passes on an adapter's newest version.
    pub fn announce(&self, weights: &Weights, version: Version) {
        for owned in self.owned.borrow().values() {
            owned.engine.borrow_mut().announce(weights, version);
            owned.wanted.notify(usize::MAX);
        }
    }

    /// Returns the number of owned engines.
    pub fn count(&self) -> usize {
        self.owned.borrow().len()
    }

    fn get(&self, endpoint: &str) -> Option<Rc<Owned>> {
        self.owned.borrow().get(endpoint).cloned()
    }

    /// Notes that the answer to a granted request has begun.
    pub fn began(&self, endpoint: &str, grant: Grant) {
        if let Some(owned) = self.get(endpoint) {
            owned.engine.borrow_mut().began(clock::now(), grant);
            owned.changed.notify(usize::MAX);
        }
    }

    /// Notes that a granted request has ended, and whether the engine lacked the adapter.
    pub fn release(&self, endpoint: &str, weights: &Weights, grant: Grant, is_missing: bool) {
        if let Some(owned) = self.get(endpoint) {
            let mut engine = owned.engine.borrow_mut();
            engine.release(weights, grant);
            if is_missing {
                engine.missing(clock::now(), weights);
            }
            owned.wanted.notify(usize::MAX);
        }
    }

    /// Asks for a grant, and waits at most `wait` for the adapter.
    pub async fn ask(&self, endpoint: &str, ask: &Ask, wait: Duration) -> Reply {
        let Some(owned) = self.get(endpoint) else {
            return Reply::NotOwner;
        };
        let deadline = clock::now() + wait;
        let mut waiting: Option<Waiting> = None;
        loop {
            let listener = owned.changed.listen();
            let now = clock::now();
            match owned.engine.borrow_mut().ask(now, ask) {
                Verdict::Granted(grant) => return Reply::Granted(grant),
                // Once it waits, a request is not sent elsewhere, where it would wait anew.
                Verdict::Busy(delay) if waiting.is_none() || now + delay > deadline => {
                    return Reply::Busy(delay);
                }
                Verdict::Busy(_) | Verdict::Wait => {}
            }
            if now >= deadline {
                return Reply::Late;
            }
            waiting.get_or_insert_with(|| Waiting::new(&owned, ask));
            if timer::within(deadline.saturating_sub(now), listener)
                .await
                .is_none()
            {
                return Reply::Late;
            }
            if self
                .get(endpoint)
                .is_none_or(|now| !Rc::ptr_eq(&now, &owned))
            {
                return Reply::NotOwner;
            }
        }
    }
}

/// A request that waits for an adapter until it is dropped.
struct Waiting {
    owned: Rc<Owned>,
    weights: Weights,
}

impl Waiting {
    fn new(owned: &Rc<Owned>, ask: &Ask) -> Self {
        owned.engine.borrow_mut().join(clock::now(), ask);
        owned.wanted.notify(usize::MAX);
        Self {
            owned: owned.clone(),
            weights: ask.weights.clone(),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.owned.engine.borrow_mut().leave(&self.weights);
    }
}

/// Starts and ends the tasks of engines as claims come and go.
pub fn start(state: &Rc<State>) {
    state.spawn(supervise(state.clone()));
}

async fn supervise(state: Rc<State>) {
    loop {
        let listener = state.changed.listen();
        let wanted: Vec<(Rc<Instance>, Fence)> = state
            .catalog
            .borrow()
            .endpoints()
            .filter_map(|instance| Some((instance.clone(), member::fence(&state, &instance.id)?)))
            .collect();
        for (instance, fence) in wanted {
            adopt(&state, &instance, fence);
        }
        timer::within(IDLE, listener).await;
        state.catalog.borrow_mut().expire(clock::now());
    }
}

fn adopt(state: &Rc<State>, instance: &Instance, fence: Fence) {
    if instance.is_leaving {
        return;
    }
    let known = state.owners.get(&instance.id);
    if known.is_some_and(|owned| owned.fence == fence && owned.born == instance.born) {
        return;
    }
    let Some(table) = state.catalog.borrow().table() else {
        return;
    };
    let class = table
        .services
        .get(&instance.service)
        .and_then(|group| group.engine.as_ref());
    let Some(class) = class else {
        return;
    };
    let mut engine = Engine::new(clock::now(), class);
    for (weights, version) in state.catalog.borrow().versions() {
        engine.announce(weights, *version);
    }
    let owned = Rc::new(Owned {
        fence,
        born: instance.born,
        engine: RefCell::new(engine),
        wanted: Event::new(),
        changed: Event::new(),
    });
    info!(event = "adopt", endpoint = instance.id.as_str(), fence, born = instance.born; "owner");
    let endpoint = instance.id.clone();
    state
        .owners
        .owned
        .borrow_mut()
        .insert(endpoint.clone(), owned.clone());
    state.spawn(run(state.clone(), endpoint, owned));
}

/// Gives one engine its orders until it, or the claim, is gone.
async fn run(state: Rc<State>, endpoint: Endpoint, owned: Rc<Owned>) {
    loop {
        let is_current = state
            .owners
            .get(&endpoint)
            .is_some_and(|current| Rc::ptr_eq(&current, &owned));
        let instance = state.catalog.borrow().endpoint(&endpoint);
        let fence = member::fence(&state, &endpoint);
        let is_served =
            |instance: &Rc<Instance>| instance.born == owned.born && !instance.is_leaving;
        let Some(instance) = instance.filter(is_served) else {
            break;
        };
        if !is_current || fence != Some(owned.fence) {
            break;
        }
        let listener = owned.wanted.listen();
        let now = clock::now();
        let step = owned.engine.borrow_mut().step(now);
        match step {
            Step::Sleep(until) => {
                let wait = until.map_or(IDLE, |at| at.saturating_sub(now).min(IDLE));
                timer::within(wait.max(Duration::from_millis(1)), listener).await;
            }
            Step::Report => read_report(&state, &instance, &owned).await,
            Step::Order(order) => {
                if !give_order(&state, &instance, &owned, order).await {
                    break;
                }
            }
        }
    }
    info!(event = "disown", endpoint = endpoint.as_str(), fence = owned.fence; "no longer owner");
    let mut all = state.owners.owned.borrow_mut();
    if all
        .get(&endpoint)
        .is_some_and(|current| Rc::ptr_eq(current, &owned))
    {
        all.remove(&endpoint);
    }
    drop(all);
    owned.changed.notify(usize::MAX);
}

fn target(instance: &Instance) -> Target {
    Target {
        endpoint: instance.id.clone(),
        address: instance.address,
    }
}

async fn read_report(state: &State, instance: &Instance, owned: &Owned) {
    let result = engine::report(&state.engines, &target(instance), ORDER_TIMEOUT).await;
    match result {
        Ok((report, born)) if born == 0 || born == owned.born => {
            info!(
                event = "report", endpoint = instance.id.as_str(), orders = report.orders,
                adapters = report.bases.values().map(|base| base.adapters.len()).sum::<usize>(),
                loading = report.loading.len(); "reconciled"
            );
            owned.engine.borrow_mut().reconcile(clock::now(), &report);
            owned.changed.notify(usize::MAX);
        }
        Ok((_, born)) => {
            info!(event = "report", endpoint = instance.id.as_str(), born; "another start");
            Timer::after(RETRY_PAUSE).await;
        }
        Err(error) => {
            warn!(event = "report", endpoint = instance.id.as_str(); "{error}");
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// Gives an order; tells whether this VM is still the owner.
async fn give_order(state: &State, instance: &Instance, owned: &Owned, order: Order) -> bool {
    let sent = clock::now();
    let answer = engine::order(
        &state.engines,
        &target(instance),
        &state.process,
        owned.fence,
        &order,
        ORDER_TIMEOUT,
    )
    .await;
    let now = clock::now();
    log_order(instance, &order, &answer, now.saturating_sub(sent));
    let answer = match answer {
        engine::Answer::Accepted => Answer::Accepted,
        engine::Answer::Holds => Answer::Holds,
        engine::Answer::Conflict(_) => Answer::Conflict,
        engine::Answer::Lost(_) => Answer::Lost,
        engine::Answer::Failed(..) => {
            Timer::after(RETRY_PAUSE).await;
            Answer::Conflict
        }
        engine::Answer::OtherInstance => {
            Timer::after(RETRY_PAUSE).await;
            return true;
        }
        engine::Answer::Stale => {
            let mut claims = state.claims.borrow_mut();
            claims.set(now, &instance.id, owned.fence, None);
            return false;
        }
    };
    owned.engine.borrow_mut().answered(now, &order, answer);
    owned.changed.notify(usize::MAX);
    true
}

fn outcome(answer: &engine::Answer) -> &'static str {
    match answer {
        engine::Answer::Accepted => "accepted",
        engine::Answer::Holds => "holds",
        engine::Answer::Conflict(_) => "conflict",
        engine::Answer::Stale => "stale",
        engine::Answer::OtherInstance => "other-instance",
        engine::Answer::Failed(..) => "failed",
        engine::Answer::Lost(_) => "lost",
    }
}

fn log_order(instance: &Instance, order: &Order, answer: &engine::Answer, took: Time) {
    let action = match order.action {
        Action::Load => "load",
        Action::Unload => "unload",
    };
    telemetry::ordered(action, outcome(answer));
    info!(
        event = "order", endpoint = instance.id.as_str(), action,
        adapter = order.weights.to_string(), version:? = order.version,
        expected = order.expected, outcome = outcome(answer), took_ms = took.as_millis() as u64; "order"
    );
}
