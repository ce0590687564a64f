//! The engines owned by this VM, and the grants for requests to them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::clock::Time;
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::placement::{Decision, Engine, Request};
use endivespur_core::id::{Endpoint, Fence, Grant, Version};
use event_listener::Event;

use crate::{telemetry, timer};

/// The estimated delay at an engine that does not respond to its owner: until its registration
/// ends.
const UNREACHABLE_DELAY: Duration = Duration::from_secs(4);

/// One owned engine.
pub struct OwnedEngine {
    /// The fencing number of the claim.
    pub fence: Fence,
    /// The start time by which the registration identifies the engine's incarnation.
    pub started_ms: u64,
    /// Whether the last attempt to read its report failed.
    pub is_unreachable: Cell<bool>,
    /// The time until which the engine wants no orders.
    pub resting_until: Cell<Time>,
    /// The adapters that it holds and should hold.
    pub engine: RefCell<Engine>,
    /// Signals a change of what the engine should hold; wakes the task that sends orders.
    pub target_changed: Event,
    /// Signals a change of what the engine holds; wakes the requests that wait for a grant.
    pub state_changed: Event,
}

/// The engines owned by this VM.
#[derive(Default)]
pub struct OwnedEngines {
    engines: RefCell<BTreeMap<Endpoint, Rc<OwnedEngine>>>,
}

/// The reply to a request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request may be sent.
    Granted(Grant),
    /// Another engine should be tried; carries the estimated delay at this one.
    Busy(Duration),
    /// This VM does not own the engine.
    NotOwner,
    /// The adapter was not loaded in time.
    Late,
}

/// What a gateway tells an engine's owner of a granted request that has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    /// Whether the engine lacked the adapter.
    pub is_adapter_missing: bool,
    /// How long work takes at the engine now, in percent of the usual time; 0 if it is not known.
    pub slowdown: u32,
    /// The longest pause between two events of its stream; zero if it is not known.
    pub longest_pause: Duration,
}

impl OwnedEngines {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an adapter's newest version for every owned engine.
    pub fn announce(&self, weights: &Weights, version: Version) {
        for owned in self.engines.borrow().values() {
            owned.engine.borrow_mut().announce(weights, version);
            owned.target_changed.notify(usize::MAX);
        }
    }

    /// Adds an engine, replacing an earlier ownership of it.
    pub fn insert(&self, endpoint: &str, owned: Rc<OwnedEngine>) {
        self.engines
            .borrow_mut()
            .insert(endpoint.to_string(), owned);
    }

    /// Removes an engine, unless a newer ownership has replaced `owned`; wakes the requests that
    /// wait for a grant.
    pub fn remove(&self, endpoint: &str, owned: &Rc<OwnedEngine>) {
        let mut engines = self.engines.borrow_mut();
        if engines
            .get(endpoint)
            .is_some_and(|current| Rc::ptr_eq(current, owned))
        {
            engines.remove(endpoint);
        }
        drop(engines);
        owned.state_changed.notify(usize::MAX);
    }

    /// Returns the prompt tokens that the owned engines usually read in a second, together, and how long work takes now at
    /// the slowest one compared with its usual time.
    pub fn pace(&self) -> (f64, f64) {
        let now = clock::now();
        let engines = self.engines.borrow();
        engines.values().fold((0.0, 0.0), |(rate, slowest), owned| {
            let engine = owned.engine.borrow();
            let rate: f64 = rate + 1.0 / engine.pace(now).per_token;
            (rate, f64::max(slowest, engine.slowness(now)))
        })
    }

    /// Returns the number of owned engines.
    pub fn count(&self) -> usize {
        self.engines.borrow().len()
    }

    /// Returns an owned engine.
    pub fn get(&self, endpoint: &str) -> Option<Rc<OwnedEngine>> {
        self.engines.borrow().get(endpoint).cloned()
    }

    /// Records that the response to a granted request has started, and how long work takes at the engine now, in percent
    /// of the usual time; 0 if that is not known.
    pub fn response_started(&self, endpoint: &str, grant: Grant, slowdown: u32) {
        if let Some(owned) = self.get(endpoint) {
            let now = clock::now();
            let mut engine = owned.engine.borrow_mut();
            engine.record_slowdown(now, slowdown);
            engine.response_started(now, grant);
            owned.state_changed.notify(usize::MAX);
        }
    }

    /// Records that a granted request has ended.
    pub fn release(&self, endpoint: &str, weights: &Weights, grant: Grant, ended: Ended) {
        if let Some(owned) = self.get(endpoint) {
            let now = clock::now();
            let mut engine = owned.engine.borrow_mut();
            engine.record_slowdown(now, ended.slowdown);
            engine.record_end(now, grant, ended.longest_pause);
            engine.release(weights, grant);
            if ended.is_adapter_missing {
                engine.mark_missing(now, weights);
            }
            owned.target_changed.notify(usize::MAX);
        }
    }

    /// Requests a grant, waiting at most `wait` for the adapter.
    pub async fn request_grant(&self, endpoint: &str, request: &Request, wait: Duration) -> Reply {
        let Some(owned) = self.get(endpoint) else {
            return Reply::NotOwner;
        };
        let asked = clock::now();
        let deadline = asked + wait;
        let mut waiter: Option<Waiter> = None;
        let (mut request, end_in) = (request.clone(), request.end_in);
        loop {
            let listener = owned.state_changed.listen();
            let now = clock::now();
            request.end_in = end_in.map(|end_in| (asked + end_in).saturating_sub(now));
            let decision = owned.engine.borrow_mut().request(now, &request);
            match decision {
                Decision::Granted(grant) => {
                    let forecast = owned.engine.borrow().last_forecast();
                    telemetry::pause_recorded("predicted", forecast.caused);
                    return Reply::Granted(grant);
                }
                // A request that already waits here is not sent elsewhere, where its wait would
                // start over.
                Decision::Busy(delay) if waiter.is_none() || now + delay > deadline => {
                    return Reply::Busy(delay);
                }
                Decision::Deferred(delay) if waiter.is_none() || now + delay > deadline => {
                    telemetry::fairness_decided("deferred");
                    return Reply::Busy(delay);
                }
                // No adapter can be loaded there.
                Decision::Wait | Decision::Deferred(_) if owned.is_unreachable.get() => {
                    return Reply::Busy(UNREACHABLE_DELAY);
                }
                Decision::Wait | Decision::Deferred(_) if now < owned.resting_until.get() => {
                    return Reply::Busy(owned.resting_until.get().saturating_sub(now));
                }
                Decision::Busy(_) | Decision::Deferred(_) | Decision::Wait => {}
            }
            if now >= deadline {
                return Reply::Late;
            }
            waiter.get_or_insert_with(|| Waiter::new(&owned, &request));
            // It stays here, and no end of a stream would wake it.
            request.is_last = true;
            if timer::within(deadline.saturating_sub(now), listener)
                .await
                .is_none()
            {
                return Reply::Late;
            }
            if self
                .get(endpoint)
                .is_none_or(|current| !Rc::ptr_eq(&current, &owned))
            {
                return Reply::NotOwner;
            }
        }
    }
}

/// Registers a request as waiting for an adapter until dropped.
struct Waiter {
    owned: Rc<OwnedEngine>,
    request: Request,
}

impl Waiter {
    fn new(owned: &Rc<OwnedEngine>, request: &Request) -> Self {
        owned.engine.borrow_mut().add_waiter(clock::now(), request);
        owned.target_changed.notify(usize::MAX);
        Self {
            owned: owned.clone(),
            request: request.clone(),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.owned.engine.borrow_mut().remove_waiter(&self.request);
    }
}
