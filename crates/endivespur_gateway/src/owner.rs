//! Sends orders to the engines owned by this VM, with one task for each engine.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Instance;
use endivespur_core::gateway::pace::Figures;
use endivespur_core::gateway::placement::{Action, Answer, Engine, Order, Step};
use endivespur_core::id::{Endpoint, Fence};
use endivespur_platform::engine::{self, Target};
use event_listener::Event;
use log::{info, warn};
use smol::Timer;

use crate::member;
use crate::owned::OwnedEngine;
use crate::state::State;
use crate::{limit, notice, reach, telemetry, timer};

/// How long an engine may take to respond to an order or a request for its report: about twenty times
/// what it usually takes between zones.
const ORDER_TIMEOUT: Duration = Duration::from_millis(120);
/// The pause after an engine returned no usable response.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause of an idle owner before it checks whether it still owns the engine.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// The shortest time between two lines of the log with the pace of an engine.
const PACE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The share by which the time per prompt token must change for the next line.
const LOGGED_CHANGE: f64 = 0.1;

/// Starts the task that runs an owner for each claimed engine.
pub fn start(state: &Rc<State>) {
    state.spawn(supervise(state.clone()));
}

async fn supervise(state: Rc<State>) {
    loop {
        let listener = state.changed.listen();
        let claimed: Vec<(Rc<Instance>, Fence)> = state
            .catalog
            .borrow()
            .endpoints()
            .filter_map(|instance| Some((instance.clone(), member::fence(&state, &instance.id)?)))
            .collect();
        for (instance, fence) in claimed {
            start_owner(&state, &instance, fence);
        }
        timer::within(IDLE_PAUSE, listener).await;
        state.catalog.borrow_mut().expire(clock::now());
    }
}

fn start_owner(state: &Rc<State>, instance: &Instance, fence: Fence) {
    if instance.is_draining {
        return;
    }
    let current = state.owned_engines.get(&instance.id);
    if current.is_some_and(|owned| owned.fence == fence && owned.started_ms == instance.started_ms)
    {
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
    let now = clock::now();
    let mut engine = Engine::new(now, class).with_pace(now, usual_pace(state, instance));
    for (weights, version) in state.catalog.borrow().versions() {
        engine.announce(weights, *version);
    }
    let owned = Rc::new(OwnedEngine {
        fence,
        started_ms: instance.started_ms,
        is_unreachable: Cell::new(false),
        resting_until: Cell::new(Time::ZERO),
        engine: RefCell::new(engine),
        target_changed: Event::new(),
        state_changed: Event::new(),
    });
    info!(event = "adopt", endpoint = instance.id.as_str(), fence, born = instance.started_ms; "now owner");
    let endpoint = instance.id.clone();
    state.owned_engines.insert(&endpoint, owned.clone());
    state.spawn(run(state.clone(), endpoint, owned));
}

/// Logs the usual pace of an engine when it has changed since it was `logged`, and the figures of this moment.
fn log_pace(endpoint: &str, owned: &OwnedEngine, logged: &mut (Time, Option<Figures>)) {
    let now = clock::now();
    let engine = owned.engine.borrow();
    let Some(pace) = engine.observed_pace(now) else {
        return;
    };
    let has_changed = logged.1.is_none_or(|last| {
        let ratio = pace.per_token / last.per_token;
        (ratio - 1.0).abs() > LOGGED_CHANGE
    });
    if !has_changed || now < logged.0 + PACE_LOG_INTERVAL {
        return;
    }
    *logged = (now, Some(pace));
    let forecast = engine.last_forecast();
    info!(
        event = "pace", endpoint, tokens_per_s = (1.0 / pace.per_token) as u64,
        first_token_us = (pace.first_token * 1e6) as u64, step_us = (pace.step * 1e6) as u64,
        slowdown = (engine.slowness(now) * 100.0) as u64, streams = engine.stream_count(),
        pause_ms = forecast.caused.as_millis() as u64, harm = forecast.harm; "usual pace"
    );
}

/// Returns the mean pace of the other engines of a service that this VM owns, as far as it was observed.
fn usual_pace(state: &State, instance: &Instance) -> Option<Figures> {
    let now = clock::now();
    let engines = state.catalog.borrow().serving(&instance.service);
    let owned = engines
        .iter()
        .filter_map(|other| state.owned_engines.get(&other.id));
    let paces = owned.filter_map(|owned| owned.engine.borrow().observed_pace(now));
    let paces: Vec<Figures> = paces.collect();
    Figures::mean(&paces)
}

/// Sends one engine its orders until the engine stops serving or the claim ends.
async fn run(state: Rc<State>, endpoint: Endpoint, owned: Rc<OwnedEngine>) {
    let mut logged = (Time::ZERO, None);
    loop {
        log_pace(&endpoint, &owned, &mut logged);
        let is_current = state
            .owned_engines
            .get(&endpoint)
            .is_some_and(|current| Rc::ptr_eq(&current, &owned));
        let instance = state.catalog.borrow().endpoint(&endpoint);
        let fence = member::fence(&state, &endpoint);
        let is_serving = |instance: &Rc<Instance>| {
            instance.started_ms == owned.started_ms && !instance.is_draining
        };
        let Some(instance) = instance.filter(is_serving) else {
            break;
        };
        if !is_current || fence != Some(owned.fence) {
            break;
        }
        let listener = owned.target_changed.listen();
        let now = clock::now();
        if let Some(rest) = limit::rest_left(&state, &instance) {
            // Requests that wait for an adapter must be sent elsewhere.
            owned.resting_until.set(now + rest);
            owned.state_changed.notify(usize::MAX);
            Timer::after(rest.min(IDLE_PAUSE)).await;
            continue;
        }
        let step = owned.engine.borrow_mut().step(now);
        match step {
            Step::Sleep(until) => {
                let wait = until.map_or(IDLE_PAUSE, |at| at.saturating_sub(now).min(IDLE_PAUSE));
                timer::within(wait.max(Duration::from_millis(1)), listener).await;
            }
            Step::Report => fetch_report(&state, &instance, &owned).await,
            Step::Order(order) => {
                if !send_order(&state, &instance, &owned, order).await {
                    break;
                }
            }
        }
    }
    info!(event = "disown", endpoint = endpoint.as_str(), fence = owned.fence; "no longer owner");
    state.owned_engines.remove(&endpoint, &owned);
}

fn target(instance: &Instance) -> Target {
    Target {
        endpoint: instance.id.clone(),
        address: instance.address,
    }
}

async fn fetch_report(state: &Rc<State>, instance: &Rc<Instance>, owned: &OwnedEngine) {
    let (result, fields) = engine::report(&state.engines, &target(instance), ORDER_TIMEOUT).await;
    let started_ms = result.as_ref().ok().map(|(_, started_ms)| *started_ms);
    let started_ms = started_ms.filter(|started_ms| *started_ms > 0);
    notice::record_of_call(state, instance, started_ms, &fields);
    match result {
        Ok((report, started_ms)) if started_ms == 0 || started_ms == owned.started_ms => {
            owned.is_unreachable.set(false);
            let mut engine = owned.engine.borrow_mut();
            let (known_orders, used_slots) = (engine.orders(), engine.used_slots());
            engine.reconcile(clock::now(), &report);
            info!(
                event = "report", endpoint = instance.id.as_str(), orders = report.orders,
                known_orders,
                adapters = report.bases.values().map(|base| base.adapters.len()).sum::<usize>(),
                loading = report.loading.len(), slots_before = used_slots,
                slots_after = engine.used_slots(); "reconciled"
            );
            drop(engine);
            owned.state_changed.notify(usize::MAX);
        }
        Ok((_, started_ms)) => {
            info!(event = "report", endpoint = instance.id.as_str(), born = started_ms; "report from another incarnation");
            Timer::after(RETRY_PAUSE).await;
        }
        Err(error) => {
            warn!(event = "report", endpoint = instance.id.as_str(); "{error}");
            reach::suspect(state, instance);
            owned.is_unreachable.set(true);
            owned.state_changed.notify(usize::MAX);
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// Sends an order; returns whether this VM is still the owner.
async fn send_order(
    state: &Rc<State>,
    instance: &Rc<Instance>,
    owned: &OwnedEngine,
    order: Order,
) -> bool {
    let sent = clock::now();
    let (outcome, fields) = engine::order(
        &state.engines,
        &target(instance),
        &state.process,
        owned.fence,
        &order,
        ORDER_TIMEOUT,
    )
    .await;
    // An engine's responses to orders do not name its start.
    notice::record_of_call(state, instance, None, &fields);
    let now = clock::now();
    log_order(instance, &order, &outcome, now.saturating_sub(sent));
    let answer = match outcome {
        engine::Outcome::Accepted => Answer::Accepted,
        engine::Outcome::AlreadyApplied => Answer::AlreadyApplied,
        engine::Outcome::Conflict(_) => Answer::Conflict,
        engine::Outcome::NoResponse(_) => {
            reach::suspect(state, instance);
            Answer::NoResponse
        }
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
    owned.state_changed.notify(usize::MAX);
    true
}

fn outcome_name(outcome: &engine::Outcome) -> &'static str {
    match outcome {
        engine::Outcome::Accepted => "accepted",
        engine::Outcome::AlreadyApplied => "holds",
        engine::Outcome::Conflict(_) => "conflict",
        engine::Outcome::StaleFence => "stale",
        engine::Outcome::OtherInstance => "other-instance",
        engine::Outcome::Failed(..) => "failed",
        engine::Outcome::NoResponse(_) => "lost",
    }
}

fn log_order(instance: &Instance, order: &Order, outcome: &engine::Outcome, took: Time) {
    let action = match order.action {
        Action::Load => "load",
        Action::Unload => "unload",
    };
    telemetry::order_sent(action, outcome_name(outcome));
    info!(
        event = "order", endpoint = instance.id.as_str(), action,
        adapter = order.weights.to_string(), version:? = order.version,
        expected = order.expected, outcome = outcome_name(outcome), took_ms = took.as_millis() as u64; "order sent"
    );
}
