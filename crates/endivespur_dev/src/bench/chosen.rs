//! The `chosen` policy: the core's own owners, load scheduler and search for an endpoint.

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

use super::fake::{Meter, WeightStore, is_lost};
use super::measure::{Outcome, Usage, max_useful_wait};
use super::trace::{Arrival, DISTURBANCE_START, Pattern, Profile};

/// The settings of the policy.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// The half-life of an adapter's popularity.
    pub half_life: Duration,
    /// The age from which a waiting request is served before all younger ones.
    pub patience: Duration,
    /// Whether requests are refused at their deadline.
    pub enforces_deadlines: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(150),
            patience: Duration::from_secs(30),
            enforces_deadlines: true,
        }
    }
}

#[derive(Debug)]
enum Event {
    /// A request arrives.
    Arrive(usize),
    /// The request of a grant ends: engine and grant.
    End(usize, u64),
    /// A load ends: engine and loaded name.
    Loaded(usize, Name),
    /// A request starts a new search after a pause.
    Search(usize),
    /// An engine is lost.
    Lost(usize),
    /// A lost engine is available again, without its adapters.
    Recovered(usize),
    /// The owners refuse requests past their deadline and grant what can run.
    Tick,
}

struct Simulation<'a> {
    profile: &'a Profile,
    pattern: &'a Pattern,
    arrivals: &'a [Arrival],
    tuning: &'a Tuning,
    engine_names: Vec<String>,
    owners: Vec<Owner>,
    meters: Vec<Meter>,
    scheduler: Scheduler,
    weight_store: WeightStore,
    /// The searches of requests that have no grant yet, by request.
    searches: BTreeMap<usize, Search>,
    /// The scheduled events by time, then by the order in which they were scheduled.
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    /// Engines whose demands have not been sent to the scheduler since their last change.
    changed_engines: BTreeSet<usize>,
    outcomes: Vec<Outcome>,
    usage: Usage,
}

/// Runs the `chosen` policy over a trace.
pub fn run(
    profile: &Profile,
    pattern: &Pattern,
    arrivals: &[Arrival],
    tuning: &Tuning,
) -> (Vec<Outcome>, Usage) {
    let spec = Spec {
        slots: profile.slots,
        batch: profile.batch,
        waiting: 100_000,
        half_life: tuning.half_life,
    };
    let limit = Limit {
        interval: Duration::from_millis(500),
        transit: 8,
        patience: tuning.patience,
        timeout: Duration::from_secs(30),
    };
    let mut simulation = Simulation {
        profile,
        pattern,
        arrivals,
        tuning,
        engine_names: (0..profile.engines)
            .map(|index| format!("engine-{index}"))
            .collect(),
        owners: (0..profile.engines)
            .map(|_| Owner::new(spec.clone(), 1, BTreeSet::new()))
            .collect(),
        meters: (0..profile.engines).map(|_| Meter::default()).collect(),
        scheduler: Scheduler::new(limit, Duration::ZERO),
        weight_store: WeightStore::new(pattern.disturbance),
        searches: BTreeMap::new(),
        events: BTreeMap::new(),
        event_count: 0,
        changed_engines: BTreeSet::new(),
        outcomes: vec![Outcome::default(); arrivals.len()],
        usage: Usage::default(),
    };
    for owner in &mut simulation.owners {
        owner.listed(Duration::ZERO, Authority::Full, Duration::ZERO, &[]);
    }
    for (index, arrival) in arrivals.iter().enumerate() {
        simulation.schedule(arrival.at, Event::Arrive(index));
    }
    for engine in 0..2 {
        simulation.schedule(DISTURBANCE_START, Event::Lost(engine));
        simulation.schedule(
            DISTURBANCE_START + Duration::from_mins(1),
            Event::Recovered(engine),
        );
    }
    simulation.schedule(Duration::ZERO, Event::Tick);
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        simulation.handle(now, event);
    }
    (simulation.outcomes, simulation.usage)
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(request) | Event::Search(request) => {
                self.begin_search(now, request);
                self.search(now, request);
            }
            Event::End(engine, grant) => {
                self.update_owner(now, engine, |owner| {
                    owner.end(now, Authority::Full, 1, grant)
                });
            }
            Event::Loaded(engine, name) => {
                let succeeded = !is_lost(self.pattern.disturbance, engine, now);
                self.scheduler
                    .load_ended(&self.engine_names[engine], &name.model, true);
                self.update_owner(now, engine, |owner| {
                    owner.loaded(now, Authority::Full, &name, succeeded)
                });
            }
            Event::Lost(engine) if is_lost(self.pattern.disturbance, engine, now) => {
                // The empty list removes every loaded adapter from the owner's view. It is dated
                // 1 ns ahead, as an adapter loaded at the time of the list or later is kept.
                self.update_owner(now, engine, |owner| {
                    let actions =
                        owner.listed(now, Authority::Full, now + Duration::from_nanos(1), &[]);
                    owner.listing_unavailable(now);
                    actions
                });
                self.update_owner(now, engine, |owner| owner.set_open(false));
            }
            Event::Recovered(engine) => {
                self.update_owner(now, engine, |owner| {
                    owner.set_open(true);
                    owner.listed(now, Authority::Full, now, &[])
                });
            }
            Event::Lost(_) => {}
            Event::Tick => self.tick(now),
        }
        self.start_permitted_loads(now);
    }

    fn tick(&mut self, now: Duration) {
        for engine in 0..self.owners.len() {
            if self.owners[engine].waiting() > 0 {
                self.update_owner(now, engine, |owner| {
                    owner.grant_waiting(now, Authority::Full)
                });
            }
        }
        let has_waiting = self.owners.iter().any(|owner| owner.waiting() > 0);
        let has_events = self
            .events
            .values()
            .any(|event| !matches!(event, Event::Tick));
        if has_waiting || has_events {
            self.schedule(now + Duration::from_millis(25), Event::Tick);
        }
    }

    /// Creates a search over the available engines in the order of rendezvous hashing.
    fn begin_search(&mut self, now: Duration, request: usize) {
        let arrival = &self.arrivals[request];
        let adapter = format!("x{}", arrival.adapter);
        let available: Vec<String> = (0..self.engine_names.len())
            .filter(|engine| !is_lost(self.pattern.disturbance, *engine, now))
            .map(|engine| self.engine_names[engine].clone())
            .collect();
        let candidates = hash::rank(&adapter, available, String::as_str, MAX_CANDIDATES);
        self.searches
            .insert(request, Search::new(candidates, self.deadline(request)));
    }

    fn deadline(&self, request: usize) -> Duration {
        let arrival = &self.arrivals[request];
        if self.tuning.enforces_deadlines {
            arrival.at + max_useful_wait(arrival.class)
        } else {
            // Longer than a trace lasts.
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
                let Some(engine) = self.engine_names.iter().position(|name| *name == endpoint)
                else {
                    return;
                };
                let grant_request = self.grant_request(now, request, wait_if_busy);
                self.update_owner(now, engine, |owner| {
                    owner.request(now, Authority::Full, grant_request)
                });
            }
            Step::Pause(time) => self.schedule(now + time, Event::Search(request)),
            Step::Refuse(refusal) => self.refuse(now, request, refusal.reason.name()),
        }
    }

    fn refuse(&mut self, now: Duration, request: usize, reason: &'static str) {
        self.searches.remove(&request);
        let outcome = &mut self.outcomes[request];
        outcome.wait = now.saturating_sub(self.arrivals[request].at);
        outcome.stall = outcome.wait;
        outcome.reason = reason;
    }

    fn grant_request(&self, now: Duration, request: usize, wait_if_busy: bool) -> queue::Request {
        let arrival = &self.arrivals[request];
        queue::Request {
            ticket: request as u64,
            entry: format!("n{}#1", request % 8),
            organisation: format!("o{}", arrival.organisation),
            weight: 1,
            model: Some(Model::new(&format!("x{}", arrival.adapter), 1)),
            class: arrival.class,
            // One token takes 50 ms.
            cost: (arrival.run_time.as_millis() / 50) as u32,
            since: now,
            deadline: self.deadline(request),
            alone: false,
            wait_if_busy,
        }
    }

    /// Applies a change to the owner of an engine and executes the resulting actions.
    fn update_owner(
        &mut self,
        now: Duration,
        engine: usize,
        change: impl FnOnce(&mut Owner) -> Vec<Action>,
    ) {
        self.changed_engines.insert(engine);
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
                    // An adapter is named `x` and its index.
                    let adapter = name.model.adapter[1..].parse().unwrap_or(0);
                    let end = self.weight_store.load(now, adapter, &mut self.usage);
                    self.schedule(end, Event::Loaded(engine, name));
                }
                Action::Unload(name) => {
                    self.update_owner(now, engine, |owner| {
                        owner.unloaded(now, Authority::Full, &name, true)
                    });
                }
            }
        }
        let running = self.owners[engine].held_grants().len();
        self.meters[engine].record(now, running, self.profile.batch, &mut self.usage);
    }

    /// Starts a request that has received a grant.
    fn start(
        &mut self,
        now: Duration,
        engine: usize,
        request: usize,
        grant: &endivespur_core::owner::Grant,
    ) {
        self.searches.remove(&request);
        let arrival = &self.arrivals[request];
        let loaded_slot = grant
            .slot
            .as_ref()
            .and_then(|name| self.owners[engine].slots().get(name));
        let outcome = &mut self.outcomes[request];
        outcome.wait = now.saturating_sub(arrival.at);
        outcome.stall =
            loaded_slot.map_or(Duration::ZERO, |slot| slot.since.saturating_sub(arrival.at));
        outcome.served = true;
        self.schedule(now + arrival.run_time, Event::End(engine, grant.id));
    }

    /// Sends changed demands to the scheduler and starts loads as it permits them.
    fn start_permitted_loads(&mut self, now: Duration) {
        loop {
            for engine in std::mem::take(&mut self.changed_engines) {
                let demands = self.owners[engine].demands(now);
                let has_demands = !demands.is_empty();
                self.scheduler.set("n", &self.engine_names[engine], demands);
                if has_demands {
                    self.owners[engine].set_backlog(now, self.scheduler.backlog());
                }
            }
            if self.weight_store.next_load_at() > now {
                return;
            }
            let Some(entry) = self.scheduler.permit(now) else {
                return;
            };
            let engine = self
                .engine_names
                .iter()
                .position(|name| *name == entry.endpoint)
                .unwrap_or(0);
            let mut started = false;
            self.update_owner(now, engine, |owner| {
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
