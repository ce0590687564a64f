//! The chosen version: the core's own owners, scheduler and search.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use endivespur_core::acquire::{MAX_CANDIDATES, Search, Step};
use endivespur_core::hash;
use endivespur_core::id::Model;
use endivespur_core::lease::Authority;
use endivespur_core::owner::{Action, Owner, Spec};
use endivespur_core::queue;
use endivespur_core::schedule::{Limit, Scheduler};
use endivespur_core::slot::Name;

use super::fake::{Meter, Weights, is_lost};
use super::measure::{Fate, Usage, patience};
use super::trace::{Arrival, Kind, TWIST_AT, User};

/// What an operator may set.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// The time over which popularity halves.
    pub half_life: Duration,
    /// The age past which a waiting request goes before all younger ones.
    pub patience: Duration,
    /// Whether requests are refused at their deadline.
    pub refuses: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(150),
            patience: Duration::from_secs(30),
            refuses: true,
        }
    }
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    End(usize, u64),
    Loaded(usize, Name),
    Search(usize),
    Lost(usize),
    Back(usize),
    Tick,
}

struct World<'a> {
    user: &'a User,
    kind: &'a Kind,
    arrivals: &'a [Arrival],
    tuning: &'a Tuning,
    names: Vec<String>,
    owners: Vec<Owner>,
    meters: Vec<Meter>,
    scheduler: Scheduler,
    weights: Weights,
    searches: BTreeMap<usize, Search>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    changed: BTreeSet<usize>,
    fates: Vec<Fate>,
    usage: Usage,
}

/// Runs the chosen version over a trace.
pub fn run(user: &User, kind: &Kind, arrivals: &[Arrival], tuning: &Tuning) -> (Vec<Fate>, Usage) {
    let spec = Spec {
        slots: user.slots,
        batch: user.batch,
        waiting: 100_000,
        half_life: tuning.half_life,
    };
    let limit = Limit {
        interval: Duration::from_millis(500),
        transit: 8,
        patience: tuning.patience,
        timeout: Duration::from_secs(30),
    };
    let mut world = World {
        user,
        kind,
        arrivals,
        tuning,
        names: (0..user.engines)
            .map(|index| format!("engine-{index}"))
            .collect(),
        owners: (0..user.engines)
            .map(|_| Owner::new(spec.clone(), 1, BTreeSet::new()))
            .collect(),
        meters: (0..user.engines).map(|_| Meter::default()).collect(),
        scheduler: Scheduler::new(limit, Duration::ZERO),
        weights: Weights::new(kind.twist),
        searches: BTreeMap::new(),
        events: BTreeMap::new(),
        count: 0,
        changed: BTreeSet::new(),
        fates: vec![Fate::default(); arrivals.len()],
        usage: Usage::default(),
    };
    for owner in &mut world.owners {
        owner.listed(Duration::ZERO, Authority::Full, Duration::ZERO, &[]);
    }
    for (index, arrival) in arrivals.iter().enumerate() {
        world.push(arrival.at, Event::Arrive(index));
    }
    for engine in 0..2 {
        world.push(TWIST_AT, Event::Lost(engine));
        world.push(TWIST_AT + Duration::from_mins(1), Event::Back(engine));
    }
    world.push(Duration::ZERO, Event::Tick);
    while let Some(((now, _), event)) = world.events.pop_first() {
        world.handle(now, event);
    }
    (world.fates, world.usage)
}

impl World<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(request) | Event::Search(request) => {
                self.begin_search(now, request);
                self.search(now, request);
            }
            Event::End(engine, grant) => {
                self.change(now, engine, |owner| {
                    owner.end(now, Authority::Full, 1, grant)
                });
            }
            Event::Loaded(engine, name) => {
                let ok = !is_lost(self.kind.twist, engine, now);
                self.scheduler
                    .load_ended(&self.names[engine], &name.model, true);
                self.change(now, engine, |owner| {
                    owner.loaded(now, Authority::Full, &name, ok)
                });
            }
            Event::Lost(engine) if is_lost(self.kind.twist, engine, now) => {
                self.change(now, engine, |owner| {
                    let actions =
                        owner.listed(now, Authority::Full, now + Duration::from_nanos(1), &[]);
                    owner.listing_unavailable(now);
                    actions
                });
                self.change(now, engine, |owner| owner.set_open(false));
            }
            Event::Back(engine) => {
                self.change(now, engine, |owner| {
                    owner.set_open(true);
                    owner.listed(now, Authority::Full, now, &[])
                });
            }
            Event::Lost(_) => {}
            Event::Tick => self.tick(now),
        }
        self.permit(now);
    }

    fn tick(&mut self, now: Duration) {
        for engine in 0..self.owners.len() {
            if self.owners[engine].waiting() > 0 {
                self.change(now, engine, |owner| {
                    owner.grant_waiting(now, Authority::Full)
                });
            }
        }
        let busy = self.owners.iter().any(|owner| owner.waiting() > 0);
        let more = self
            .events
            .values()
            .any(|event| !matches!(event, Event::Tick));
        if busy || more {
            self.push(now + Duration::from_millis(25), Event::Tick);
        }
    }

    fn begin_search(&mut self, now: Duration, request: usize) {
        let arrival = &self.arrivals[request];
        let adapter = format!("x{}", arrival.adapter);
        let live: Vec<String> = (0..self.names.len())
            .filter(|engine| !is_lost(self.kind.twist, *engine, now))
            .map(|engine| self.names[engine].clone())
            .collect();
        let order = hash::rank(&adapter, live, String::as_str, MAX_CANDIDATES);
        self.searches
            .insert(request, Search::new(order, self.deadline(request)));
    }

    fn deadline(&self, request: usize) -> Duration {
        let arrival = &self.arrivals[request];
        if self.tuning.refuses {
            arrival.at + patience(arrival.class)
        } else {
            arrival.at + Duration::from_hours(10)
        }
    }

    fn search(&mut self, now: Duration, request: usize) {
        let Some(search) = self.searches.get_mut(&request) else {
            return;
        };
        match search.step(now) {
            Step::Request {
                endpoint,
                wait_if_busy,
            } => {
                let Some(engine) = self.names.iter().position(|name| *name == endpoint) else {
                    return;
                };
                let ask = self.ask(now, request, wait_if_busy);
                self.change(now, engine, |owner| {
                    owner.request(now, Authority::Full, ask)
                });
            }
            Step::Pause(time) => self.push(now + time, Event::Search(request)),
            Step::Refuse(refusal) => self.refuse(now, request, refusal.reason.name()),
        }
    }

    fn refuse(&mut self, now: Duration, request: usize, reason: &'static str) {
        self.searches.remove(&request);
        let fate = &mut self.fates[request];
        fate.wait = now.saturating_sub(self.arrivals[request].at);
        fate.stall = fate.wait;
        fate.reason = reason;
    }

    fn ask(&self, now: Duration, request: usize, wait_if_busy: bool) -> queue::Request {
        let arrival = &self.arrivals[request];
        queue::Request {
            ticket: request as u64,
            entry: format!("n{}#1", request % 8),
            organisation: format!("o{}", arrival.organisation),
            weight: 1,
            model: Some(Model::new(&format!("x{}", arrival.adapter), 1)),
            class: arrival.class,
            cost: (arrival.run.as_millis() / 50) as u32,
            since: now,
            deadline: self.deadline(request),
            alone: false,
            wait_if_busy,
        }
    }

    fn change(
        &mut self,
        now: Duration,
        engine: usize,
        change: impl FnOnce(&mut Owner) -> Vec<Action>,
    ) {
        self.changed.insert(engine);
        let actions = change(&mut self.owners[engine]);
        self.apply(now, engine, actions);
    }

    fn apply(&mut self, now: Duration, engine: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Grant(ticket, grant) => self.start(now, engine, ticket as usize, &grant),
                Action::Refuse(ticket, refusal) => {
                    let request = ticket as usize;
                    if let Some(search) = self.searches.get_mut(&request) {
                        search.refused(refusal);
                    }
                    self.search(now, request);
                }
                Action::Load(name) => {
                    let adapter = name.model.adapter[1..].parse().unwrap_or(0);
                    let end = self.weights.load(now, adapter, &mut self.usage);
                    self.push(end, Event::Loaded(engine, name));
                }
                Action::Unload(name) => {
                    self.change(now, engine, |owner| {
                        owner.unloaded(now, Authority::Full, &name, true)
                    });
                }
            }
        }
        let running = self.owners[engine].held_grants().len();
        self.meters[engine].change(now, running, self.user.batch, &mut self.usage);
    }

    fn start(
        &mut self,
        now: Duration,
        engine: usize,
        request: usize,
        grant: &endivespur_core::owner::Grant,
    ) {
        self.searches.remove(&request);
        let arrival = &self.arrivals[request];
        let loaded = grant
            .slot
            .as_ref()
            .and_then(|name| self.owners[engine].slots().get(name));
        let fate = &mut self.fates[request];
        fate.wait = now.saturating_sub(arrival.at);
        fate.stall = loaded.map_or(Duration::ZERO, |slot| slot.since.saturating_sub(arrival.at));
        fate.served = true;
        self.push(now + arrival.run, Event::End(engine, grant.id));
    }

    fn permit(&mut self, now: Duration) {
        loop {
            for engine in std::mem::take(&mut self.changed) {
                let wants = self.owners[engine].demands(now);
                let is_told = !wants.is_empty();
                self.scheduler.set("n", &self.names[engine], wants);
                if is_told {
                    self.owners[engine].set_backlog(now, self.scheduler.backlog());
                }
            }
            if self.weights.ready() > now {
                return;
            }
            let Some(entry) = self.scheduler.permit(now) else {
                return;
            };
            let engine = self
                .names
                .iter()
                .position(|name| *name == entry.endpoint)
                .unwrap_or(0);
            let mut started = false;
            self.change(now, engine, |owner| {
                let actions = owner.start_permitted_load(now, Authority::Full, &entry.demand.model);
                started = !actions.is_empty();
                actions
            });
            if !started {
                self.scheduler
                    .load_ended(&entry.endpoint, &entry.demand.model, false);
                return;
            }
        }
    }
}
