//! A popular adapter: more requests name it than the engines that are tried first for it can serve.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use endivespur_core::clock;
use endivespur_core::gateway::choice::{self, Group, MAX_HOMES, MAX_SPARES, Pass};
use endivespur_core::gateway::endpoint::{Base, Weights};
use endivespur_core::gateway::placement::{Decision, Engine, Report, Request};
use endivespur_core::gateway::table::EngineClass;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::{self, Class, Run};

/// How long requests arrive.
pub const LENGTH: Duration = Duration::from_secs(15);
/// The share of the requests that may end at their deadline.
pub const MAX_GIVEN_UP_SHARE: f64 = 0.015;
/// The time of a burst, in seconds.
const BURST_START: f64 = 5.0;
/// How many times as many requests usually arrive in a burst.
const BURST_FACTOR: f64 = 5.0;
/// The number of seeds.
pub const SEEDS: u64 = 3;

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests that no engine took.
    pub refused: usize,
    /// Complete responses that began within the objective.
    pub in_time: usize,
    /// Other complete responses.
    pub late: usize,
    /// Requests that an engine had taken when their callers left.
    pub given_up: usize,
}

impl Outcome {
    /// Returns the share of all requests that a number is.
    pub fn share(&self, count: usize) -> f64 {
        count as f64 / (self.refused + self.in_time + self.late + self.given_up) as f64
    }
}

/// An engine and its owner's view of it.
struct Place {
    owner: Engine,
    engine: model::Engine,
    /// The end of its current step.
    now: Duration,
    /// The shared parts of prompts that it has read, by their size.
    cached: BTreeSet<u32>,
}

impl Place {
    fn new(weights: &Weights) -> Self {
        Self {
            owner: owner(weights),
            engine: model::Engine::new(),
            now: Duration::ZERO,
            cached: BTreeSet::new(),
        }
    }

    /// Adds a granted request.
    fn add(&mut self, at: Duration, grant: u64, weights: &Weights, class: &Class) {
        let is_cached = !self.cached.insert(class.shared_tokens);
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

    /// Makes one step, and tells the owner what it learns from the gateways.
    fn step(&mut self, outcome: &mut Outcome) {
        let (end, events) = self.engine.step(self.now);
        self.now = end;
        for run in &events.started {
            self.owner.response_started(end, run.grant);
        }
        for run in events.completed.iter().chain(&events.given_up) {
            self.owner.release(&run.weights, run.grant);
        }
        outcome.given_up += events.given_up.len();
        let late = events.completed.iter().filter(|run| run.is_late).count();
        outcome.late += late;
        outcome.in_time += events.completed.len() - late;
    }
}

/// How gateways and owners choose.
pub struct Policy {
    /// Returns the order in which engines are asked, for an objective and the longest wait.
    pub passes: fn(Duration, Duration) -> [Pass; 4],
    /// Whether an overloaded engine takes only prompts that it can begin in time.
    pub bounds_overload: bool,
}

/// Plays requests for one adapter.
pub fn play(seed: u64, classes: &[Class], policy: &Policy) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let weights = Weights::new("base", "popular");
    let mut places: Vec<Place> = (0..MAX_HOMES + MAX_SPARES)
        .map(|_| Place::new(&weights))
        .collect();
    let mut outcome = Outcome::default();
    for (number, (at, class)) in arrivals(&mut random, classes).into_iter().enumerate() {
        for place in &mut places {
            while place.now < at {
                place.step(&mut outcome);
            }
        }
        let request = Request {
            weights: weights.clone(),
            tokens: class.shared_tokens + class.own_tokens,
            parts: class.parts(number as u64),
            max_delay: None,
            only_resident: false,
            due_in: choice::due_in(class.objective, class.deadline, !policy.bounds_overload),
            max_pause: None,
            output_tokens: 0,
            end_in: None,
            is_last: false,
            team: String::new(),
            team_share: 1.0,
        };
        let passes = (policy.passes)(class.objective, class.deadline);
        match search(&mut places, at, &request, &passes) {
            Some((place, grant)) => places[place].add(at, grant, &weights, class),
            None => outcome.refused += 1,
        }
    }
    outcome
}

/// Returns the engine that grants a request, and the grant.
fn search(
    places: &mut [Place],
    now: Duration,
    request: &Request,
    passes: &[Pass],
) -> Option<(usize, u64)> {
    let mut busy: BTreeMap<usize, Duration> = BTreeMap::new();
    for pass in passes {
        for place in pass.group.positions(places.len(), &busy) {
            let mut request = request.clone();
            request.max_delay = Some(pass.max_delay);
            request.only_resident = pass.only_resident;
            match places[place].owner.request(now, &request) {
                Decision::Granted(grant) => return Some((place, grant)),
                Decision::Busy(delay) if pass.group != Group::Busy => {
                    busy.insert(place, delay);
                }
                Decision::Busy(_) | Decision::Deferred(_) | Decision::Wait => {}
            }
        }
    }
    None
}

pub fn arrivals<'a>(random: &mut ChaCha8Rng, classes: &'a [Class]) -> Vec<(Duration, &'a Class)> {
    let mut arrivals = Vec::new();
    for class in classes {
        let mut at = 0.0;
        while at < LENGTH.as_secs_f64() {
            let burst = BURST_START..BURST_START + class.burst.as_secs_f64();
            let factor = if burst.contains(&at) {
                class.burst_factor
            } else {
                1.0
            };
            let gap = -random.random::<f64>().max(f64::MIN_POSITIVE).ln();
            at += gap / class.rate / factor;
            arrivals.push((clock::from_secs(at), class));
        }
    }
    arrivals.sort_by_key(|(at, _)| *at);
    arrivals
}

fn owner(weights: &Weights) -> Engine {
    let class = EngineClass {
        batch_size: 48,
        adapter_slots: 7,
        memory_tokens: 273_006,
        tokens_per_event: 0,
        bases: [(weights.base.clone(), Duration::from_secs(4))].into(),
    };
    let base = Base {
        version: 1,
        adapters: [(weights.adapter.clone(), 1)].into(),
    };
    let report = Report {
        bases: [(weights.base.clone(), base)].into(),
        ..Report::default()
    };
    let mut owner = Engine::new(Duration::ZERO, &class);
    owner.reconcile(Duration::ZERO, &report);
    owner
}

/// Returns classes of long prompts with short responses, and short prompts with long ones, in the same number a second.
pub fn classes(rate: f64) -> [Class; 2] {
    let drafts = Class {
        rate,
        burst: Duration::ZERO,
        burst_factor: BURST_FACTOR,
        shared_tokens: 6_300,
        own_tokens: 2_890,
        output_tokens: 52,
        objective: Duration::from_millis(800),
        deadline: Duration::from_secs(5),
        team: "",
        retries: 0,
    };
    let suggestions = Class {
        rate,
        burst: Duration::ZERO,
        burst_factor: BURST_FACTOR,
        shared_tokens: 198,
        own_tokens: 628,
        output_tokens: 292,
        objective: Duration::from_millis(600),
        deadline: Duration::from_secs(15),
        team: "",
        retries: 0,
    };
    [drafts, suggestions]
}

/// The order in which requests waited at the homes until their deadline before a spare was asked.
fn homes_until_the_deadline(objective: Duration, max_wait: Duration) -> [Pass; 4] {
    let [homes, busy_homes, spares, any] = choice::passes(objective, max_wait);
    [homes, busy_homes, any, spares]
}

/// The homes of an adapter would need half as much time again as they have; its spares are idle.
#[test]
fn popular_beyond_its_homes() {
    for seed in 0..SEEDS {
        let policy = |passes| Policy {
            passes,
            bounds_overload: false,
        };
        let before = play(seed, &classes(60.0), &policy(homes_until_the_deadline));
        let after = play(seed, &classes(60.0), &policy(choice::passes));
        let given_up = after.share(after.given_up);
        assert!(given_up <= MAX_GIVEN_UP_SHARE, "{seed}: {after:?}");
        assert!(
            after.in_time > before.in_time,
            "{seed}: {before:?} {after:?}"
        );
    }
}
