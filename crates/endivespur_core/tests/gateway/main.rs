//! Tests of the gateway's decisions under the loads and failures that they handle.

mod budget;
mod choice;
mod clock;
mod crash;
mod duration;
mod feed;
mod health;
mod hedge;
mod limit;
mod load;
mod origins;
mod ownership;
mod pace;
mod placement;
mod prefix;
mod quota;
mod quota_mix;
mod reach;
mod room;
mod source;
mod stream;
mod table;
mod team;
mod throttle;
mod transfer;
mod version;

use std::collections::BTreeMap;
use std::time::Duration;

use endivespur_core::gateway::endpoint::{Base, Weights};
use endivespur_core::gateway::placement::{Answer, Decision, Engine, Order, Report, Request, Step};
use endivespur_core::gateway::table::EngineClass;

/// The base model of all tests.
const BASE: &str = "base";

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn weights(adapter: &str) -> Weights {
    Weights::new(BASE, adapter)
}

fn class(slots: usize) -> EngineClass {
    EngineClass {
        batch_size: 64,
        adapter_slots: slots,
        memory_tokens: 280_000,
        tokens_per_event: 0,
        bases: BTreeMap::from([(BASE.to_string(), ms(3800))]),
    }
}

fn report(adapters: &[(&str, u32)], orders: u64) -> Report {
    let base = Base {
        version: 1,
        adapters: adapters
            .iter()
            .map(|(name, version)| (name.to_string(), *version))
            .collect(),
    };
    Report {
        bases: BTreeMap::from([(BASE.to_string(), base)]),
        loading: BTreeMap::new(),
        orders,
        is_loading_base: false,
    }
}

/// Returns an engine that holds these adapters in version 1.
fn engine(slots: usize, adapters: &[&str]) -> Engine {
    let mut engine = Engine::new(ms(0), &class(slots));
    let held: Vec<_> = adapters.iter().map(|name| (*name, 1)).collect();
    engine.reconcile(ms(0), &report(&held, 0));
    engine
}

fn request(adapter: &str) -> Request {
    Request {
        weights: weights(adapter),
        tokens: 1000,
        parts: Vec::new(),
        max_delay: None,
        only_resident: false,
        due_in: ms(500),
        max_pause: None,
        output_tokens: 0,
        end_in: None,
        is_last: false,
        team: String::new(),
        team_share: 1.0,
    }
}

fn grant(engine: &mut Engine, now: Duration, adapter: &str) -> u64 {
    match engine.request(now, &request(adapter)) {
        Decision::Granted(grant) => grant,
        other => panic!("{adapter}: {other:?}"),
    }
}

fn order(engine: &mut Engine, now: Duration) -> Order {
    match engine.step(now) {
        Step::Order(order) => order,
        other => panic!("no order: {other:?}"),
    }
}

/// Takes the next order and records the engine's answer to it.
fn answer(engine: &mut Engine, now: Duration, answer: Answer) -> Order {
    let order = order(engine, now);
    engine.record_answer(now, &order, answer);
    order
}
