//! The queue is compared with a naive deficit round robin over plain lists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use endivespur_core::config::Class;
use endivespur_core::queue::{Queue, Request};
use proptest::prelude::*;

use crate::fixed_seed;

/// Tokens added per round to the deficit of a flow of weight 1.
const QUANTUM: u64 = 256;

fn request(ticket: u64, organisation: usize, class: u8, cost: u32) -> Request {
    Request {
        ticket,
        entry: "n#1".to_string(),
        organisation: format!("o{organisation}"),
        weight: 1 + organisation as u32 % 2,
        model: None,
        class: Class::from_number(class),
        cost,
        since: Duration::ZERO,
        deadline: Duration::MAX,
        alone: false,
        wait_if_busy: false,
    }
}

/// All waiting requests in order of arrival, with the turns and deficits of each class.
#[derive(Default)]
struct Naive {
    requests: Vec<Request>,
    turns: BTreeMap<Class, Vec<String>>,
    deficits: BTreeMap<(Class, String), u64>,
}

impl Naive {
    fn push(&mut self, request: Request) {
        let turns = self.turns.entry(request.class).or_default();
        if !turns.contains(&request.organisation) {
            turns.push(request.organisation.clone());
            self.deficits
                .insert((request.class, request.organisation.clone()), 0);
        }
        self.requests.push(request);
    }

    fn first(&self, class: Class, organisation: &str, ready: &BTreeSet<u64>) -> Option<usize> {
        self.requests.iter().position(|request| {
            request.class == class
                && request.organisation == organisation
                && ready.contains(&request.ticket)
        })
    }

    fn pop(&mut self, ready: &BTreeSet<u64>) -> Option<Request> {
        let ready_requests = self
            .requests
            .iter()
            .filter(|request| ready.contains(&request.ticket));
        let class = ready_requests.map(|request| request.class).min()?;
        loop {
            let name = self.turns[&class][0].clone();
            let index = self.first(class, &name, ready);
            let deficit = self.deficits.get_mut(&(class, name.clone()))?;
            if let Some(index) = index {
                let cost = u64::from(self.requests[index].cost);
                if cost <= *deficit {
                    *deficit -= cost;
                    let request = self.requests.remove(index);
                    self.drop_empty(class, &name);
                    return Some(request);
                }
                *deficit += QUANTUM * u64::from(self.requests[index].weight);
            } else {
                *deficit = 0;
            }
            let turns = self.turns.get_mut(&class)?;
            let first = turns.remove(0);
            turns.push(first);
        }
    }

    fn drop_empty(&mut self, class: Class, name: &str) {
        let waits = |request: &Request| request.class == class && request.organisation == name;
        if !self.requests.iter().any(waits) {
            self.turns
                .entry(class)
                .or_default()
                .retain(|other| other != name);
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(3000))]

    #[test]
    fn pop_same_as_naive(
        steps in prop::collection::vec((any::<bool>(), 0usize..4, 0u8..4, 1u32..900, any::<u8>()), 1..60),
    ) {
        let mut queue = Queue::default();
        let mut naive = Naive::default();
        let mut next = 0;
        for (push, organisation, class, cost, mask) in steps {
            if push {
                next += 1;
                queue.push(request(next, organisation, class, cost));
                naive.push(request(next, organisation, class, cost));
                continue;
            }
            // Some requests wait for a load and are not ready.
            let ready: BTreeSet<u64> = (0..=next).filter(|t| mask >> (t % 8) & 1 == 1).collect();
            let popped = queue.pop(|request| ready.contains(&request.ticket));
            prop_assert_eq!(popped, naive.pop(&ready));
            prop_assert_eq!(queue.len(), naive.requests.len());
        }
    }
}

#[test]
fn pop_flooding_organisation_shares_tokens() {
    let mut queue = Queue::default();
    for ticket in 0..400 {
        queue.push(request(ticket, 0, 2, 100));
    }
    for ticket in 400..420 {
        queue.push(request(ticket, 2, 2, 100));
    }
    let first: Vec<u64> = (0..44)
        .filter_map(|_| queue.pop(|_| true))
        .map(|request| request.ticket)
        .collect();
    let quiet = first.iter().filter(|ticket| **ticket >= 400).count();
    assert_eq!(
        quiet, 20,
        "the quiet organisation waited behind the flood: {first:?}"
    );
}
