//! Gives the orders of the engines that this VM owns: one task an engine.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::placement::{Action, Answer, Engine, Order, Step};
use endivespur_core::id::{Endpoint, Fence};
use endivespur_platform::engine::{self, Target};
use event_listener::Event;
use log::{info, warn};
use smol::Timer;

use crate::member;
use crate::owned::Owned;
use crate::state::State;
use crate::{telemetry, timer};

/// How long an engine may take to answer an order or a report: some twenty times what it
/// usually takes between zones.
const ORDER_TIMEOUT: Duration = Duration::from_millis(120);
/// The pause after an engine gave no usable answer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause of an owner that has nothing to do: it looks whether it still owns.
const IDLE: Duration = Duration::from_millis(500);

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
    state.owners.insert(&endpoint, owned.clone());
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
    state.owners.remove(&endpoint, &owned);
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
        engine::Outcome::Accepted => Answer::Accepted,
        engine::Outcome::AlreadyApplied => Answer::Holds,
        engine::Outcome::Conflict(_) => Answer::Conflict,
        engine::Outcome::NoResponse(_) => Answer::Lost,
        engine::Outcome::Failed(..) => {
            Timer::after(RETRY_PAUSE).await;
            Answer::Conflict
        }
        engine::Outcome::OtherInstance => {
            Timer::after(RETRY_PAUSE).await;
            return true;
        }
        engine::Outcome::StaleFence => {
            let mut claims = state.claims.borrow_mut();
            claims.set(now, &instance.id, owned.fence, None);
            return false;
        }
    };
    owned.engine.borrow_mut().record_answer(now, &order, answer);
    owned.changed.notify(usize::MAX);
    true
}

fn outcome(answer: &engine::Outcome) -> &'static str {
    match answer {
        engine::Outcome::Accepted => "accepted",
        engine::Outcome::AlreadyApplied => "holds",
        engine::Outcome::Conflict(_) => "conflict",
        engine::Outcome::StaleFence => "stale",
        engine::Outcome::OtherInstance => "other-instance",
        engine::Outcome::Failed(..) => "failed",
        engine::Outcome::NoResponse(_) => "lost",
    }
}

fn log_order(instance: &Instance, order: &Order, answer: &engine::Outcome, took: Time) {
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
