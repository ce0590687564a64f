//! The owner of an engine over generated histories of orders, runs, callers that leave, reports of any
//! age, takeovers and restarts: the engine is never ordered to load more adapters than it has slots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use endivespur_core::gateway::endpoint::{Base, Weights};
use endivespur_core::gateway::placement::{
    Action, Answer, Decision, Engine, Order, Report, Request, Step,
};
use endivespur_core::gateway::table::EngineClass;
use endivespur_core::id::Grant;
use proptest::prelude::*;

use crate::fixed_seed;

const BASE: &str = "base";
const SLOTS: usize = 3;
const ADAPTERS: u8 = 7;
/// The time between two moments at which the owner acts.
const TICK: Duration = Duration::from_millis(10);
/// The time within which all waiting requests are granted once all trouble has ended.
const SETTLING_TICKS: usize = 1500;
const FETCH_TIME: Duration = Duration::from_millis(250);
const RELOAD_TIME: Duration = Duration::from_millis(25);
/// How long the owner waits after it could not read a report, or an order had no response.
const PAUSE: Duration = Duration::from_millis(150);
/// The orders that an owner may send within one tick; more are a loop without a pause.
const MAX_ORDERS_PER_TICK: usize = 2 * SLOTS + 4;

/// What happens to an order on its way.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// It is carried out, and its response is lost.
    AnswerLost,
    /// It is never carried out.
    Lost,
    /// It has no response, and is carried out later.
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Wait(u64),
    /// A request that needs an adapter arrives.
    Arrive(u8),
    /// The caller of a request leaves, and the engine goes on with its run.
    Leave(usize),
    /// The engine ends a run.
    End(usize),
    NextOrder(Fate),
    ReportAge(u64),
    /// A late order is carried out.
    CarryOut(usize),
    Takeover,
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let fate = prop_oneof![
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        2 => Just(Fate::Late),
        1 => Just(Fate::Answered),
    ];
    prop_oneof![
        8 => (1_u64..400).prop_map(Event::Wait),
        10 => (0..ADAPTERS).prop_map(Event::Arrive),
        5 => (0_usize..8).prop_map(Event::Leave),
        5 => (0_usize..8).prop_map(Event::End),
        2 => fate.prop_map(Event::NextOrder),
        2 => (0_u64..1000).prop_map(Event::ReportAge),
        2 => (0_usize..4).prop_map(Event::CarryOut),
        1 => Just(Event::Takeover),
        1 => Just(Event::Restart),
    ]
}

/// How an engine answers orders whose expected count is wrong.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// It first answers that an order already holds, or is being carried out.
    StateFirst,
    /// It first compares the count.
    CountFirst,
}

/// The engine itself.
struct Truth {
    manner: Manner,
    orders: u64,
    fence: u64,
    resident: BTreeSet<u8>,
    loading: BTreeMap<u8, Duration>,
    unloading: BTreeSet<u8>,
    held_before: BTreeSet<u8>,
    /// The adapter of each run.
    runs: Vec<(u64, u8)>,
    snapshots: Vec<(Duration, Report)>,
    overload: Option<String>,
}

fn weights(adapter: u8) -> Weights {
    Weights::new(BASE, &format!("a{adapter}"))
}

fn adapter_of(weights: &Weights) -> u8 {
    let number = weights.adapter.trim_start_matches('a').parse();
    number.expect("an adapter of this test")
}

impl Truth {
    fn new(now: Duration, manner: Manner) -> Self {
        let mut truth = Self {
            manner,
            orders: 0,
            fence: 0,
            resident: BTreeSet::new(),
            loading: BTreeMap::new(),
            unloading: BTreeSet::new(),
            held_before: BTreeSet::new(),
            runs: Vec::new(),
            snapshots: Vec::new(),
            overload: None,
        };
        truth.record(now);
        truth
    }

    fn report(&self) -> Report {
        let adapters = self.resident.iter();
        let base = Base {
            version: 1,
            adapters: adapters
                .map(|adapter| (weights(*adapter).adapter, 1))
                .collect(),
        };
        let loading = self.loading.keys();
        Report {
            bases: BTreeMap::from([(BASE.to_string(), base)]),
            loading: loading.map(|adapter| (weights(*adapter), 1)).collect(),
            orders: self.orders,
            is_loading_base: false,
        }
    }

    fn record(&mut self, now: Duration) {
        self.snapshots.push((now, self.report()));
    }

    /// Returns the report as of `age` ago.
    fn report_of_age(&self, now: Duration, age: Duration) -> Report {
        let at = now.saturating_sub(age);
        let found = self.snapshots.iter().rev().find(|(time, _)| *time <= at);
        let (_, report) = found
            .or(self.snapshots.first())
            .expect("recorded at the start");
        report.clone()
    }

    fn advance(&mut self, now: Duration) {
        let done: Vec<u8> = self
            .loading
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(adapter, _)| *adapter)
            .collect();
        for adapter in &done {
            self.loading.remove(adapter);
            self.resident.insert(*adapter);
            self.held_before.insert(*adapter);
        }
        if !done.is_empty() {
            self.record(now);
        }
    }

    /// Carries out an order; returns `None` if its fencing number is too low.
    fn apply(&mut self, now: Duration, order: &Order, fence: u64) -> Option<Answer> {
        if fence < self.fence {
            return None;
        }
        self.fence = fence;
        let adapter = adapter_of(&order.weights);
        let is_expected = order.expected == self.orders;
        if matches!(self.manner, Manner::CountFirst) && !is_expected {
            return Some(Answer::Conflict);
        }
        let is_load = order.action == Action::Load;
        let is_resident = self.resident.contains(&adapter);
        if is_load && self.loading.contains_key(&adapter) {
            return Some(Answer::Accepted);
        }
        if is_load && is_resident && !self.unloading.contains(&adapter) || !is_load && !is_resident
        {
            return Some(Answer::AlreadyApplied);
        }
        if !is_expected {
            return Some(Answer::Conflict);
        }
        self.orders += 1;
        let answer = if is_load {
            self.load(now, adapter);
            Answer::Accepted
        } else if self.runs.iter().any(|(_, used)| *used == adapter) {
            self.unloading.insert(adapter);
            Answer::Accepted
        } else {
            self.resident.remove(&adapter);
            Answer::AlreadyApplied
        };
        self.record(now);
        Some(answer)
    }

    fn load(&mut self, now: Duration, adapter: u8) {
        let mut used: BTreeSet<u8> = self.resident.clone();
        used.extend(self.loading.keys());
        used.insert(adapter);
        if used.len() > SLOTS {
            self.overload = Some(format!("a{adapter} makes {used:?} at {now:?}"));
        }
        let time = if self.held_before.contains(&adapter) {
            RELOAD_TIME
        } else {
            FETCH_TIME
        };
        self.loading.insert(adapter, now + time);
    }

    fn end(&mut self, now: Duration, run: u64) {
        let Some(position) = self.runs.iter().position(|(id, _)| *id == run) else {
            return;
        };
        let (_, adapter) = self.runs.remove(position);
        let is_used = self.runs.iter().any(|(_, used)| *used == adapter);
        if !is_used && self.unloading.remove(&adapter) {
            self.resident.remove(&adapter);
        }
        self.record(now);
    }
}

/// An engine, its owner, and the requests.
struct World {
    now: Duration,
    truth: Truth,
    owner: Engine,
    fence: u64,
    paused_until: Duration,
    next_fate: Fate,
    report_age: Duration,
    /// The orders that are carried out late, with their fencing numbers.
    late: Vec<(Order, u64)>,
    waiting: Vec<u8>,
    granted: Vec<(u64, u8, Grant)>,
    next_run: u64,
    /// The most orders within one tick.
    most_orders: usize,
}

fn request(adapter: u8) -> Request {
    Request {
        weights: weights(adapter),
        tokens: 1000,
        parts: Vec::new(),
        max_delay: None,
        only_resident: false,
        due_in: Duration::from_millis(500),
        max_pause: None,
        output_tokens: 0,
        end_in: None,
        is_last: false,
        team: String::new(),
        team_share: 1.0,
    }
}

impl World {
    fn new(manner: Manner) -> Self {
        let now = Duration::from_secs(1);
        Self {
            now,
            truth: Truth::new(now, manner),
            owner: owner(now),
            fence: 1,
            paused_until: Duration::ZERO,
            next_fate: Fate::Answered,
            report_age: Duration::from_millis(200),
            late: Vec::new(),
            waiting: Vec::new(),
            granted: Vec::new(),
            next_run: 0,
            most_orders: 0,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Wait(time) => {
                let until = self.now + Duration::from_millis(time);
                while self.now < until {
                    self.tick();
                }
            }
            Event::Arrive(adapter) => {
                self.owner.add_waiter(self.now, &request(adapter));
                self.waiting.push(adapter);
            }
            Event::Leave(index) => {
                if index < self.granted.len() {
                    let (_, adapter, grant) = self.granted.remove(index);
                    self.owner.release(&weights(adapter), grant);
                } else if index - self.granted.len() < self.waiting.len() {
                    let adapter = self.waiting.remove(index - self.granted.len());
                    self.owner.remove_waiter(&request(adapter));
                }
            }
            Event::End(index) => {
                if let Some((run, _)) = self.truth.runs.get(index).copied() {
                    self.end(run);
                }
            }
            Event::NextOrder(fate) => self.next_fate = fate,
            Event::ReportAge(age) => self.report_age = Duration::from_millis(age),
            Event::CarryOut(index) => {
                if index < self.late.len() {
                    let (order, fence) = self.late.remove(index);
                    self.truth.apply(self.now, &order, fence);
                }
            }
            Event::Takeover => {
                self.fence += 1;
                self.replace_owner();
            }
            Event::Restart => {
                // Orders name the process that they are for, so that none arrives after its end.
                self.late.clear();
                self.truth = Truth::new(self.now, self.truth.manner);
                self.replace_owner();
            }
        }
        self.drive();
    }

    /// Creates an owner that knows nothing, as after a takeover or a restart of the engine.
    fn replace_owner(&mut self) {
        self.owner = owner(self.now);
        self.granted.clear();
        self.paused_until = Duration::ZERO;
        for adapter in &self.waiting {
            self.owner.add_waiter(self.now, &request(*adapter));
        }
    }

    fn end(&mut self, run: u64) {
        self.truth.end(self.now, run);
        if let Some(position) = self.granted.iter().position(|(id, _, _)| *id == run) {
            let (_, adapter, grant) = self.granted.remove(position);
            self.owner.release(&weights(adapter), grant);
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.truth.advance(self.now);
        self.drive();
    }

    /// Lets the owner act until it waits, and begins the requests that it grants.
    fn drive(&mut self) {
        let mut orders = 0;
        loop {
            self.grant();
            if self.now < self.paused_until {
                break;
            }
            match self.owner.step(self.now) {
                Step::Sleep(_) => break,
                Step::Report => {
                    let report = self.truth.report_of_age(self.now, self.report_age);
                    self.owner.reconcile(self.now, &report);
                }
                Step::Order(order) => {
                    self.send(&order);
                    orders += 1;
                }
            }
            if orders > MAX_ORDERS_PER_TICK {
                break;
            }
        }
        self.most_orders = self.most_orders.max(orders);
    }

    fn send(&mut self, order: &Order) {
        let fate = std::mem::replace(&mut self.next_fate, Fate::Answered);
        let answer = match fate {
            Fate::Answered => self.truth.apply(self.now, order, self.fence),
            Fate::AnswerLost => {
                self.truth.apply(self.now, order, self.fence);
                Some(Answer::NoResponse)
            }
            Fate::Lost => Some(Answer::NoResponse),
            Fate::Late => {
                self.late.push((order.clone(), self.fence));
                Some(Answer::NoResponse)
            }
        };
        if answer == Some(Answer::NoResponse) {
            self.paused_until = self.now + PAUSE;
        }
        if let Some(answer) = answer {
            self.owner.record_answer(self.now, order, answer);
        }
    }

    fn grant(&mut self) {
        let mut index = 0;
        while let Some(adapter) = self.waiting.get(index).copied() {
            let decision = self.owner.request(self.now, &request(adapter));
            let Decision::Granted(grant) = decision else {
                index += 1;
                continue;
            };
            self.waiting.remove(index);
            self.owner.remove_waiter(&request(adapter));
            if !self.truth.resident.contains(&adapter) {
                self.owner.mark_missing(self.now, &weights(adapter));
                self.owner.release(&weights(adapter), grant);
            } else if self.truth.unloading.contains(&adapter) {
                self.owner.release(&weights(adapter), grant);
            } else {
                self.truth.runs.push((self.next_run, adapter));
                self.granted.push((self.next_run, adapter, grant));
                self.owner.response_started(self.now, grant);
                self.next_run += 1;
                self.truth.record(self.now);
            }
        }
    }

    /// Ends all trouble and all runs; returns whether all waiting requests are granted in a while.
    fn settles(&mut self) -> bool {
        self.next_fate = Fate::Answered;
        self.late.clear();
        for _ in 0..SETTLING_TICKS {
            if self.waiting.is_empty() {
                break;
            }
            let runs: Vec<u64> = self.truth.runs.iter().map(|(run, _)| *run).collect();
            for run in runs {
                self.end(run);
            }
            self.tick();
        }
        self.waiting.is_empty()
    }
}

fn owner(now: Duration) -> Engine {
    let class = EngineClass {
        batch_size: 64,
        adapter_slots: SLOTS,
        memory_tokens: 280_000,
        tokens_per_event: 0,
        bases: BTreeMap::from([(BASE.to_string(), Duration::from_millis(600))]),
    };
    Engine::new(now, &class)
}

fn manner() -> impl Strategy<Value = Manner> {
    prop_oneof![Just(Manner::StateFirst), Just(Manner::CountFirst)]
}

/// An engine crashes if it is ordered to load more adapters than it has slots, and its streams are cut.
/// A report from before an adapter was loaded must not free the adapter's slot.
#[test]
fn reconcile_never_more_than_the_slots() {
    let histories = (manner(), prop::collection::vec(event(), 1..160));
    proptest!(fixed_seed(1200), |((manner, events) in histories)| {
        let mut world = World::new(manner);
        for event in events {
            world.apply(event);
            prop_assert_eq!(&world.truth.overload, &None);
        }
        prop_assert!(world.settles(), "waiting: {:?}", world.waiting);
        prop_assert_eq!(&world.truth.overload, &None);
        prop_assert!(world.most_orders <= MAX_ORDERS_PER_TICK, "{} orders", world.most_orders);
    });
}
