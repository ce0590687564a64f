//! The queue of an endpoint: classes, then deficit round robin over organisations.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Time;
use crate::config::Class;
use crate::id::{Model, Organisation, Process, Ticket};

/// Tokens added per round to the deficit of a flow of weight 1.
const QUANTUM_TOKENS: u64 = 256;

/// A request for a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The number that identifies the answer.
    pub ticket: Ticket,
    /// The entry process that sent the request.
    pub entry: Process,
    /// The calling organisation.
    pub organisation: Organisation,
    /// The weight of the organisation in deficit round robin.
    pub weight: u32,
    /// The adapter and version, or `None` for a plain call.
    pub model: Option<Model>,
    /// The class.
    pub class: Class,
    /// The expected number of tokens, prompt and completion.
    pub cost: u32,
    /// When the request arrived.
    pub since: Time,
    /// The latest time at which a grant is still useful.
    pub deadline: Time,
    /// Whether the request must run alone because it is suspected of crashing endpoints.
    pub alone: bool,
    /// Whether the request waits even if no slot can be freed.
    pub wait_if_busy: bool,
}

#[derive(Debug, Default)]
struct Flow {
    deficit: u64,
    requests: VecDeque<Request>,
}

#[derive(Debug, Default)]
struct Lane {
    flows: BTreeMap<Organisation, Flow>,
    /// The organisations with waiting requests, in the order in which they are served.
    turns: VecDeque<Organisation>,
}

/// The waiting requests of one endpoint.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Class, Lane>,
    len: usize,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request behind those of its class and organisation.
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

    /// Iterates over the waiting requests in the order of class and organisation.
    pub fn iter(&self) -> impl Iterator<Item = &Request> {
        self.lanes
            .values()
            .flat_map(|lane| lane.flows.values())
            .flat_map(|flow| flow.requests.iter())
    }

    /// Removes the next request for which `ready` holds.
    pub fn pop(&mut self, ready: impl Fn(&Request) -> bool) -> Option<Request> {
        let request = self.lanes.values_mut().find_map(|lane| lane.pop(&ready))?;
        self.len -= 1;
        Some(request)
    }

    /// Removes and returns each request for which `matches` holds.
    pub fn remove(&mut self, matches: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            for flow in lane.flows.values_mut() {
                let (out, keep): (VecDeque<Request>, VecDeque<Request>) = flow
                    .requests
                    .drain(..)
                    .partition(|request| matches(request));
                flow.requests = keep;
                removed.extend(out);
            }
            lane.remove_empty_flows();
        }
        self.len -= removed.len();
        removed
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
                self.remove_empty_flows();
                return Some(request);
            }
            // A flow with no ready request loses its deficit, so it cannot accumulate one while
            // its requests wait for a load.
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

    fn remove_empty_flows(&mut self) {
        self.flows.retain(|_, flow| !flow.requests.is_empty());
        self.turns.retain(|name| self.flows.contains_key(name));
    }
}
