//! The queue of an endpoint: classes, then deficit round robin over organisations.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Time;
use crate::config::Class;
use crate::id::{Model, Organisation, Process, Ticket};

/// Tokens that a flow of weight 1 may spend more in each round.
const QUANTUM_TOKENS: u64 = 256;

/// A request that asks for a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The number under which the answer is returned.
    pub ticket: Ticket,
    /// The entry process that asks.
    pub entry: Process,
    /// The calling organisation.
    pub organisation: Organisation,
    /// The share of the organisation against others.
    pub weight: u32,
    /// The adapter and version, or nothing for a plain call.
    pub model: Option<Model>,
    /// The class.
    pub class: Class,
    /// The expected tokens, read and generated.
    pub cost: u32,
    /// When the request came.
    pub since: Time,
    /// The latest time at which a grant still helps.
    pub deadline: Time,
    /// Whether the request must run alone because it is suspected of crashing endpoints.
    pub alone: bool,
    /// Whether the request waits even where no slot can be freed.
    pub patient: bool,
}

#[derive(Debug, Default)]
struct Flow {
    deficit: u64,
    requests: VecDeque<Request>,
}

#[derive(Debug, Default)]
struct Lane {
    flows: BTreeMap<Organisation, Flow>,
    /// The organisations with waiting asks, the next one to serve first.
    turns: VecDeque<Organisation>,
}

/// The waiting asks of one endpoint.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Class, Lane>,
    len: usize,
}

impl Queue {
    /// Returns the number of waiting asks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no ask waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an ask behind those of its class and organisation.
    pub fn push(&mut self, request: Request) {
        let lane = self.lanes.entry(request.class).or_default();
        let name = request.organisation.clone();
        let flow = lane.flows.entry(name.clone()).or_default();
        if flow.requests.is_empty() {
            lane.turns.push_back(name);
        }
        flow.requests.push_back(request);
        self.len += 1;
    }

    /// Iterates over the waiting asks in the order of class and organisation.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.lanes
            .values()
            .flat_map(|lane| lane.flows.values())
            .flat_map(|flow| flow.requests.iter())
    }

    /// Removes the next ask for which `ready` holds.
    pub fn pop(&mut self, ready: impl Fn(&Request) -> bool) -> Option<Request> {
        let request = self.lanes.values_mut().find_map(|lane| lane.pop(&ready))?;
        self.len -= 1;
        Some(request)
    }

    /// Removes each ask for which `take` holds.
    pub fn remove(&mut self, take: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            for flow in lane.flows.values_mut() {
                let (out, keep): (VecDeque<Request>, VecDeque<Request>) =
                    flow.requests.drain(..).partition(|request| take(request));
                flow.requests = keep;
                taken.extend(out);
            }
            lane.tidy();
        }
        self.len -= taken.len();
        taken
    }
}

impl Lane {
    fn pop(&mut self, ready: &impl Fn(&Request) -> bool) -> Option<Request> {
        if !self
            .flows
            .values()
            .any(|flow| flow.requests.iter().any(ready))
        {
            return None;
        }
        loop {
            let name = self.turns.front()?.clone();
            let flow = self.flows.get_mut(&name)?;
            let next = flow.requests.iter().position(ready);
            if let Some(index) = next
                && u64::from(flow.requests[index].cost) <= flow.deficit
            {
                let request = flow.requests.remove(index)?;
                flow.deficit -= u64::from(request.cost);
                self.tidy();
                return Some(request);
            }
            // A flow whose asks all wait for a load saves no deficit for later.
            flow.deficit = match next {
                Some(index) => {
                    let weight = u64::from(flow.requests[index].weight.max(1));
                    flow.deficit + QUANTUM_TOKENS * weight
                }
                None => 0,
            };
            self.turns.rotate_left(1);
        }
    }

    fn tidy(&mut self) {
        self.flows.retain(|_, flow| !flow.requests.is_empty());
        self.turns.retain(|name| self.flows.contains_key(name));
    }
}
