//! The load scheduler: its order is compared with a sort of all demands, and its limits are
//! checked.

use std::collections::BTreeSet;
use std::time::Duration;

use endivespur_core::config::Class;
use endivespur_core::id::Model;
use endivespur_core::owner::Demand;
use endivespur_core::schedule::{Limit, Scheduler};
use proptest::prelude::*;

use crate::fixed_seed;

const INTERVAL: Duration = Duration::from_millis(500);
const TRANSIT: usize = 8;
const PATIENCE: Duration = Duration::from_secs(10);

fn limit() -> Limit {
    Limit {
        interval: INTERVAL,
        transit: TRANSIT,
        patience: PATIENCE,
        timeout: Duration::from_secs(30),
    }
}

fn demand(adapter: usize, class: u8, waiting: usize, since_ms: u64) -> Demand {
    Demand {
        model: Model::new(&format!("x{adapter}"), 1),
        organisation: format!("o{}", adapter % 3),
        class: Class::from_number(class),
        waiting,
        since: Duration::from_millis(since_ms),
        deadline: Duration::from_secs(100),
    }
}

proptest! {
    #![proptest_config(fixed_seed(3000))]

    #[test]
    fn permit_same_order_as_sorting(
        demands in prop::collection::vec((0u8..4, 1usize..6, 0u64..20_000), 1..12),
    ) {
        let now = Duration::from_secs(20);
        let mut scheduler = Scheduler::new(limit(), now);
        let mut naive: Vec<Demand> = Vec::new();
        for (index, (class, waiting, since)) in demands.iter().enumerate() {
            let demand = demand(index, *class, *waiting, *since);
            naive.push(demand.clone());
            scheduler.set("n", &format!("e{index:02}"), vec![demand]);
        }
        let mut at = now;
        let mut used: Vec<(String, Duration)> = Vec::new();
        while !naive.is_empty() {
            let Some(entry) = scheduler.permit(at) else {
                at += INTERVAL;
                continue;
            };
            scheduler.load_ended(&entry.endpoint, &entry.demand.model, true);
            // Overdue demands first, by age; then by class, by waiting requests over the excess
            // share, and by age.
            let loads = |name: &str| -> f64 {
                let own = used.iter().filter(|(other, _)| other == name);
                let half_lives = own.map(|(_, then)| at.saturating_sub(*then).as_secs_f64() / 30.0);
                half_lives.map(|half_lives| (-half_lives).exp2()).sum()
            };
            let names: BTreeSet<&String> = used.iter().map(|(name, _)| name).collect();
            let sum: f64 = names.iter().map(|name| loads(name)).sum();
            let mean = (sum / names.len().max(1) as f64).max(1.0);
            let score = |demand: &Demand| {
                demand.waiting as f64 / (loads(&demand.organisation) / mean / 2.0).max(1.0)
            };
            naive.sort_by(|a, b| {
                let overdue = |demand: &Demand| at.saturating_sub(demand.since) >= PATIENCE;
                let age = |demand: &Demand| if overdue(demand) { demand.since } else { Duration::ZERO };
                let urgent = (!overdue(a), age(a)).cmp(&(!overdue(b), age(b)));
                let class = if overdue(a) { std::cmp::Ordering::Equal } else { a.class.cmp(&b.class) };
                urgent
                    .then(class)
                    .then(score(b).total_cmp(&score(a)))
                    .then(a.since.cmp(&b.since))
            });
            used.push((entry.demand.organisation.clone(), at));
            prop_assert_eq!(entry.demand.since, naive.remove(0).since);
        }
    }

    #[test]
    fn permit_rate_and_transit_never_exceeded(
        steps in prop::collection::vec((0u64..400, 0usize..20, 0u8..4, any::<bool>()), 1..200),
    ) {
        let mut scheduler = Scheduler::new(limit(), Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut permitted_at: Vec<Duration> = Vec::new();
        let mut in_transit: BTreeSet<(String, Model)> = BTreeSet::new();
        for (step, adapter, class, ended) in steps {
            now += Duration::from_millis(step);
            scheduler.set("n", &format!("e{adapter}"), vec![demand(adapter, class, 1, now.as_millis() as u64)]);
            while let Some(entry) = scheduler.permit(now) {
                permitted_at.push(now);
                let key = (entry.endpoint.clone(), entry.demand.model.clone());
                prop_assert!(in_transit.insert(key), "a load was permitted twice");
                prop_assert!(in_transit.len() <= TRANSIT);
            }
            if let (true, Some((endpoint, model))) = (ended, in_transit.iter().next().cloned()) {
                scheduler.load_ended(&endpoint, &model, true);
                in_transit.remove(&(endpoint, model));
            }
        }
        // At two loads per second, a window of 10 s has at most 20 and the one that opens it.
        for first in 0..permitted_at.len() {
            let window = permitted_at[first..].iter().take_while(|at| **at < permitted_at[first] + Duration::from_secs(10));
            prop_assert!(window.count() <= 21);
        }
    }
}

#[test]
fn permit_not_started_gives_rate_back() {
    let mut scheduler = Scheduler::new(limit(), Duration::ZERO);
    scheduler.set("n", "e1", vec![demand(1, 0, 1, 0)]);
    scheduler.set("n", "e2", vec![demand(2, 1, 1, 0)]);
    let first = scheduler.permit(Duration::ZERO).map(|entry| entry.endpoint);
    assert_eq!(first.as_deref(), Some("e1"));
    assert!(scheduler.permit(Duration::ZERO).is_none());
    scheduler.load_ended("e1", &Model::new("x1", 1), false);
    let second = scheduler.permit(Duration::ZERO).map(|entry| entry.endpoint);
    assert_eq!(second.as_deref(), Some("e2"));
}
