//! Engines of different pace that serve many adapters, and the pauses in their streams.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use endivespur_core::clock;
use endivespur_core::gateway::choice::{self, Group, Pass};
use endivespur_core::gateway::endpoint::{Base, Instance, Weights};
use endivespur_core::gateway::placement::{
    Action, Answer, Decision, Engine, Order, Report, Request, Step,
};
use endivespur_core::gateway::table::EngineClass;
use endivespur_core::hash;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::{self, Class, Moment, Run};
use crate::popular::{LENGTH, arrivals};

const BASE: &str = "base";
/// How often owners send orders and waiting requests ask again.
const TICK: Duration = Duration::from_millis(10);
/// The duration of a fetch from the weight store.
const FETCH_TIME: Duration = Duration::from_millis(250);
/// The pause before a caller repeats a refused request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between two events that meets the objective.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// The engines and the adapters.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The number of engines.
    pub engines: usize,
    /// The number of adapters; each is named half as often as the one of half its number.
    pub adapters: usize,
    /// The range of the engines' usual paces.
    pub paces: (f64, f64),
    /// Whether engines are slow for moments.
    pub has_moments: bool,
    /// Whether gateways pass on the teams of callers.
    pub has_teams: bool,
}

/// What gateways tell owners.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Whether they pass on how long work takes at an engine now.
    pub tells_slowdown: bool,
    /// Whether they pass on the longest pauses that meet the objectives.
    pub tells_pauses: bool,
    /// Whether they pass on the time left.
    pub tells_end: bool,
}

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Complete responses that met both objectives.
    pub in_time: usize,
    /// Other complete responses that began late.
    pub late: usize,
    /// Other complete responses with too long a pause.
    pub paused: usize,
    /// Requests that no engine took.
    pub refused: usize,
    /// Requests that an engine had taken when their callers left.
    pub given_up: usize,
    /// Fetches of adapters from the weight store.
    pub fetches: usize,
    /// The requests of the busiest engine.
    pub busiest: usize,
    /// The requests for grants.
    pub asks: usize,
    /// The requests, each counted once, and the complete responses of each team, by the size of the prompt.
    pub teams: BTreeMap<(&'static str, u64), (usize, usize)>,
    /// The engines whose pace the owner misjudges by more than 40 % in the end.
    pub misjudged: usize,
}

/// An engine, its owner's view of it, and its registration.
struct Place {
    owner: Engine,
    engine: model::Engine,
    now: Duration,
    cached: BTreeSet<(Weights, u32)>,
    instance: Instance,
    /// The adapters that are being loaded, with the end of each load.
    loads: BTreeMap<Weights, Duration>,
    granted: usize,
}

impl Place {
    /// Makes one step, and tells the owner what it learns from the gateways.
    fn step(&mut self, policy: Policy, outcome: &mut Outcome) {
        let slowness = self.engine.slowness(self.now);
        let (end, events) = self.engine.step(self.now);
        self.now = end;
        for run in &events.started {
            if policy.tells_slowdown {
                self.owner.record_slowdown(end, (slowness * 100.0) as u32);
            }
            self.owner.response_started(end, run.grant);
        }
        for run in events.completed.iter().chain(&events.given_up) {
            if policy.tells_pauses {
                self.owner.record_end(end, run.grant, run.longest_pause);
            }
            self.owner.release(&run.weights, run.grant);
        }
        outcome.given_up += events.given_up.len();
        for run in &events.completed {
            let is_paused = run.longest_pause > MAX_PAUSE;
            outcome.late += usize::from(run.is_late);
            outcome.paused += usize::from(!run.is_late && is_paused);
            outcome.in_time += usize::from(!run.is_late && !is_paused);
            outcome.teams.entry((run.team, run.tokens)).or_default().1 += 1;
        }
    }

    fn is_misjudged(&self, now: Duration) -> bool {
        let estimate = self.owner.pace(now).read_time(model::TOKENS_PER_SECOND);
        let ratio = estimate.as_secs_f64() * self.engine.pace();
        !(0.6..1.4).contains(&ratio)
    }

    /// Carries out the owner's orders.
    fn orders(&mut self, now: Duration, outcome: &mut Outcome) {
        while let Step::Order(order) = self.owner.step(now) {
            let answer = self.answer(now, &order, outcome);
            self.owner.record_answer(now, &order, answer);
        }
    }

    fn answer(&mut self, now: Duration, order: &Order, outcome: &mut Outcome) -> Answer {
        let base = self.instance.bases.get_mut(BASE).unwrap();
        if order.action == Action::Unload {
            base.adapters.remove(&order.weights.adapter);
            return Answer::AlreadyApplied;
        }
        let end = *self.loads.entry(order.weights.clone()).or_insert_with(|| {
            outcome.fetches += 1;
            now + FETCH_TIME
        });
        if now < end {
            return Answer::Accepted;
        }
        self.loads.remove(&order.weights);
        base.adapters.insert(order.weights.adapter.clone(), 1);
        Answer::AlreadyApplied
    }

    /// Adds a granted request that arrived at `at`.
    fn add(&mut self, at: Duration, grant: u64, weights: &Weights, class: &Class) {
        self.granted += 1;
        let shared = (weights.clone(), class.shared_tokens);
        let is_cached = !self.cached.insert(shared);
        let shared_tokens = if is_cached { 0 } else { class.shared_tokens };
        self.engine.add(Run {
            grant,
            weights: weights.clone(),
            objective: at + class.objective,
            deadline: at + class.deadline,
            prompt_left: u64::from(shared_tokens + class.own_tokens),
            output_left: class.output_tokens,
            team: class.team,
            tokens: u64::from(class.shared_tokens + class.own_tokens),
            is_late: false,
            pending_tokens: 0,
            last_event: None,
            longest_pause: Duration::ZERO,
        });
    }
}

/// A request that waits for an adapter at an engine.
struct Waiter {
    place: usize,
    request: Request,
    at: Duration,
    class: Class,
}

/// Plays requests, of which each names one of the adapters.
pub fn play(seed: u64, fleet: Fleet, classes: &[Class], policy: Policy) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut places = places(&mut random, fleet);
    let mut outcome = Outcome::default();
    let mut waiters: Vec<Waiter> = Vec::new();
    let mut tick = Duration::ZERO;
    let arrivals = arrivals(&mut random, classes).into_iter();
    let mut arrivals: BTreeMap<(Duration, usize), (&Class, u32)> = arrivals
        .enumerate()
        .map(|(number, (at, class))| ((at, number), (class, 0)))
        .collect();
    while let Some(((at, number), (class, attempt))) = arrivals.pop_first() {
        advance(
            &mut places,
            &mut waiters,
            &mut tick,
            at,
            policy,
            &mut outcome,
        );
        // An adapter is named in inverse proportion to its number.
        let adapter = (fleet.adapters as f64).powf(random.random::<f64>()) as usize;
        let request = Request {
            weights: Weights::new(BASE, &format!("a{adapter}")),
            tokens: class.shared_tokens + class.own_tokens,
            parts: class.parts(number as u64),
            max_delay: None,
            only_resident: false,
            due_in: choice::due_in(class.objective, class.deadline, false),
            max_pause: policy.tells_pauses.then_some(MAX_PAUSE),
            output_tokens: class.output_tokens as u32,
            end_in: policy.tells_end.then_some(class.deadline),
            is_last: false,
            team_share: 1.0,
            team: if fleet.has_teams {
                class.team.to_string()
            } else {
                String::new()
            },
        };
        let size = u64::from(request.tokens);
        if attempt == 0 {
            outcome.teams.entry((class.team, size)).or_default().0 += 1;
        }
        let chosen = search(&mut places, at, &request, class, &mut outcome);
        match chosen {
            Some((place, Some(grant))) => places[place].add(at, grant, &request.weights, class),
            Some((place, None)) => {
                places[place].owner.add_waiter(at, &request);
                let (class, mut request) = (class.clone(), request);
                request.is_last = true;
                waiters.push(Waiter {
                    place,
                    request,
                    at,
                    class,
                });
            }
            None if attempt < class.retries => {
                arrivals.insert((at + RETRY_PAUSE, number), (class, attempt + 1));
            }
            None => outcome.refused += 1,
        }
    }
    // The shares of teams count what is complete when the last callers have left.
    if classes.iter().any(|class| !class.team.is_empty()) {
        let longest = classes.iter().map(|class| class.deadline).max();
        let end = LENGTH + longest.unwrap_or_default() + TICK;
        advance(
            &mut places,
            &mut waiters,
            &mut tick,
            end,
            policy,
            &mut outcome,
        );
    }
    let misjudged = places.iter().filter(|place| place.is_misjudged(LENGTH));
    outcome.misjudged = misjudged.count();
    outcome.busiest = places.iter().map(|place| place.granted).max().unwrap();
    outcome
}

/// Lets time pass until `at`.
fn advance(
    places: &mut [Place],
    waiters: &mut Vec<Waiter>,
    tick: &mut Duration,
    at: Duration,
    policy: Policy,
    outcome: &mut Outcome,
) {
    while *tick < at {
        *tick += TICK;
        for place in &mut *places {
            while place.now < (*tick).min(at) {
                place.step(policy, outcome);
            }
            place.orders(*tick, outcome);
        }
        retry(places, waiters, *tick, outcome);
    }
}

/// Asks again for the requests that wait for adapters.
fn retry(places: &mut [Place], waiters: &mut Vec<Waiter>, now: Duration, outcome: &mut Outcome) {
    waiters.retain(|waiter| {
        let (place, weights) = (&mut places[waiter.place], &waiter.request.weights);
        let decision = place.owner.request(now, &waiter.request);
        if let Decision::Granted(grant) = decision {
            place.add(waiter.at, grant, weights, &waiter.class);
        }
        let is_late = now > waiter.at + waiter.class.deadline;
        outcome.refused += usize::from(is_late && !matches!(decision, Decision::Granted(_)));
        let is_done = is_late || matches!(decision, Decision::Granted(_));
        if is_done {
            place.owner.remove_waiter(&waiter.request);
        }
        !is_done
    });
}

/// Returns the engine that grants a request or loads its adapter, and the grant.
fn search(
    places: &mut [Place],
    now: Duration,
    request: &Request,
    class: &Class,
    outcome: &mut Outcome,
) -> Option<(usize, Option<u64>)> {
    let instances: Vec<Instance> = places.iter().map(|place| place.instance.clone()).collect();
    let ranked = choice::rank_all(&request.weights, 1, "za", instances.iter().collect());
    let [ranked, further] = [ranked.0, ranked.1].map(|engines| -> Vec<usize> {
        let ids = engines.iter().map(|engine| engine.id.parse().unwrap());
        ids.collect()
    });
    let mut busy: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut ask = |place: usize, pass: Pass| {
        let mut request = request.clone();
        request.max_delay = Some(pass.max_delay);
        request.only_resident = pass.only_resident;
        request.is_last = pass.max_delay >= class.deadline;
        outcome.asks += 1;
        match places[place].owner.request(now, &request) {
            Decision::Granted(grant) => Ok((place, Some(grant))),
            Decision::Wait => Ok((place, None)),
            Decision::Busy(delay) | Decision::Deferred(delay) => Err(delay),
        }
    };
    for pass in choice::passes(class.objective, class.deadline) {
        for position in pass.group.positions(ranked.len(), &busy) {
            match ask(ranked[position], pass) {
                Ok(chosen) => return Some(chosen),
                Err(delay) if pass.group != Group::Busy => {
                    busy.insert(position, delay);
                }
                Err(_) => {}
            }
        }
    }
    if request.team.is_empty() {
        return None;
    }
    let pass = choice::further_pass(class.objective, class.deadline);
    let mut further = further.into_iter();
    further.find_map(|place| ask(place, pass).ok())
}

fn places(random: &mut ChaCha8Rng, fleet: Fleet) -> Vec<Place> {
    let names: Vec<String> = (0..fleet.engines)
        .map(|number| number.to_string())
        .collect();
    let mut bases = vec![Base::default(); fleet.engines];
    for adapter in (1..fleet.adapters).map(|number| format!("a{number}")) {
        let key = Weights::new(BASE, &adapter).to_string();
        let engines = names.iter().enumerate().collect();
        for (home, _) in hash::rank(&key, engines, |engine| engine.1, 2) {
            if bases[home].adapters.len() < 6 {
                bases[home].adapters.insert(adapter.clone(), 1);
            }
        }
    }
    let places = names.iter().zip(bases).map(|(id, base)| {
        let (slowest, fastest) = fleet.paces;
        let pace = slowest + (fastest - slowest) * random.random::<f64>();
        let moments = if fleet.has_moments {
            moments(random)
        } else {
            Vec::new()
        };
        Place {
            owner: owner(&base),
            engine: model::Engine::new().with_pace(pace, moments),
            now: Duration::ZERO,
            cached: BTreeSet::new(),
            instance: Instance {
                id: id.clone(),
                started_ms: 1,
                service: "s".to_string(),
                software: String::new(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: "za".to_string(),
                slots: 48,
                is_draining: false,
                cold: Duration::ZERO,
                bases: [(BASE.to_string(), base)].into(),
                orders: 0,
            },
            loads: BTreeMap::new(),
            granted: 0,
        }
    });
    places.collect()
}

/// Returns slow moments of a few hundred milliseconds, a quarter of the time.
fn moments(random: &mut ChaCha8Rng) -> Vec<Moment> {
    let mut moments = Vec::new();
    let mut now = 0.0;
    while now < LENGTH.as_secs_f64() {
        let start = now + 0.4 + 1.6 * random.random::<f64>();
        now = start + 0.2 + 0.4 * random.random::<f64>();
        moments.push(Moment {
            start: clock::from_secs(start),
            end: clock::from_secs(now),
            factor: 2.5 + 2.0 * random.random::<f64>(),
        });
    }
    moments
}

fn owner(base: &Base) -> Engine {
    let class = EngineClass {
        batch_size: 48,
        adapter_slots: 7,
        memory_tokens: 273_006,
        tokens_per_event: 8,
        bases: [(BASE.to_string(), Duration::from_secs(4))].into(),
    };
    let report = Report {
        bases: [(BASE.to_string(), base.clone())].into(),
        ..Report::default()
    };
    let mut owner = Engine::new(Duration::ZERO, &class);
    owner.reconcile(Duration::ZERO, &report);
    owner
}
