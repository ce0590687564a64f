//! The engines that this VM owns, and the grants that are asked of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::placement::{Decision, Engine, Request};
use endivespur_core::id::{Endpoint, Fence, Grant, Version};
use event_listener::Event;

use crate::timer;

/// One owned engine.
pub struct Owned {
    /// The fencing number of the claim.
    pub fence: Fence,
    /// The engine's start.
    pub born: u64,
    /// What it holds and should hold.
    pub engine: RefCell<Engine>,
    /// Signals a change of what the engine should hold; wakes the task that orders.
    pub wanted: Event,
    /// Signals a change of what the engine holds; wakes the asks that wait.
    pub changed: Event,
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

    /// Takes an engine over.
    pub fn insert(&self, endpoint: &str, owned: Rc<Owned>) {
        self.owned.borrow_mut().insert(endpoint.to_string(), owned);
    }

    /// Lets go of an engine, unless it was taken over anew; wakes the asks that wait.
    pub fn remove(&self, endpoint: &str, owned: &Rc<Owned>) {
        let mut all = self.owned.borrow_mut();
        if all
            .get(endpoint)
            .is_some_and(|current| Rc::ptr_eq(current, owned))
        {
            all.remove(endpoint);
        }
        drop(all);
        owned.changed.notify(usize::MAX);
    }

    /// Returns the number of owned engines.
    pub fn count(&self) -> usize {
        self.owned.borrow().len()
    }

    /// Returns an owned engine.
    pub fn get(&self, endpoint: &str) -> Option<Rc<Owned>> {
        self.owned.borrow().get(endpoint).cloned()
    }

    /// Notes that the answer to a granted request has begun.
    pub fn began(&self, endpoint: &str, grant: Grant) {
        if let Some(owned) = self.get(endpoint) {
            owned
                .engine
                .borrow_mut()
                .response_started(clock::now(), grant);
            owned.changed.notify(usize::MAX);
        }
    }

    /// Notes that a granted request has ended, and whether the engine lacked the adapter.
    pub fn release(&self, endpoint: &str, weights: &Weights, grant: Grant, is_missing: bool) {
        if let Some(owned) = self.get(endpoint) {
            let mut engine = owned.engine.borrow_mut();
            engine.release(weights, grant);
            if is_missing {
                engine.mark_missing(clock::now(), weights);
            }
            owned.wanted.notify(usize::MAX);
        }
    }

    /// Asks for a grant, and waits at most `wait` for the adapter.
    pub async fn ask(&self, endpoint: &str, ask: &Request, wait: Duration) -> Reply {
        let Some(owned) = self.get(endpoint) else {
            return Reply::NotOwner;
        };
        let deadline = clock::now() + wait;
        let mut waiting: Option<Waiting> = None;
        loop {
            let listener = owned.changed.listen();
            let now = clock::now();
            match owned.engine.borrow_mut().request(now, ask) {
                Decision::Granted(grant) => return Reply::Granted(grant),
                // Once it waits, a request is not sent elsewhere, where it would wait anew.
                Decision::Busy(delay) if waiting.is_none() || now + delay > deadline => {
                    return Reply::Busy(delay);
                }
                Decision::Busy(_) | Decision::Wait => {}
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
    fn new(owned: &Rc<Owned>, ask: &Request) -> Self {
        owned.engine.borrow_mut().add_waiter(clock::now(), ask);
        owned.wanted.notify(usize::MAX);
        Self {
            owned: owned.clone(),
            weights: ask.weights.clone(),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.owned.engine.borrow_mut().remove_waiter(&self.weights);
    }
}
