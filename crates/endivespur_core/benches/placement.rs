//! The cost of a choice of an engine: the order in which engines are asked, and the answer of one that runs streams.

use std::hint::black_box;
use std::time::{Duration, Instant};

use endivespur_core::gateway::choice;
use endivespur_core::gateway::endpoint::{Base, Instance, Weights};
use endivespur_core::gateway::placement::{Decision, Engine, Report, Request};
use endivespur_core::gateway::prefix::Part;
use endivespur_core::gateway::table::EngineClass;

const BASE: &str = "base";
const ROUNDS: u32 = 2_000;
/// The teams that share it.
const TEAMS: u64 = 16;
/// The streams that run on the engine that is asked.
const STREAMS: u64 = 16;

fn main() {
    for count in [140, 6_300] {
        let engines: Vec<Instance> = (0..count).map(instance).collect();
        let rank = measure(|| {
            let weights = Weights::new(BASE, "a7");
            let ranked = choice::rank_engines(&weights, 1, "za", engines.iter().collect());
            black_box(ranked.len());
        });
        let mut owner = busy_owner();
        let plain = measure_request(&mut owner, None);
        let paused = measure_request(&mut owner, Some(Duration::from_millis(400)));
        let team = measure_teams(&mut owner);
        println!(
            "{count} engines: rank {rank:?}, request {plain:?}, with pauses {paused:?}, of {TEAMS} teams {team:?}"
        );
    }
}

/// Returns the mean duration of a request for a grant of one of many teams, which is released again.
fn measure_teams(owner: &mut Engine) -> Duration {
    let now = Duration::from_secs(1);
    let of_team = |number| Request {
        team: format!("team-{number}"),
        ..request(STREAMS, Some(Duration::from_millis(400)))
    };
    let requests: Vec<Request> = (0..TEAMS).map(of_team).collect();
    let mut requests = requests.iter().cycle();
    measure(|| {
        let Some(request) = requests.next() else {
            return;
        };
        if let Decision::Granted(grant) = owner.request(now, request) {
            owner.response_started(now, grant);
            owner.release(&request.weights, grant);
        }
    })
}

/// Returns the mean duration of a request for a grant, which is released again.
fn measure_request(owner: &mut Engine, max_pause: Option<Duration>) -> Duration {
    let now = Duration::from_secs(1);
    let request = request(STREAMS, max_pause);
    measure(|| {
        if let Decision::Granted(grant) = owner.request(now, &request) {
            owner.response_started(now, grant);
            owner.release(&request.weights, grant);
        }
    })
}

fn measure(mut action: impl FnMut()) -> Duration {
    for _ in 0..ROUNDS / 10 {
        action();
    }
    let start = Instant::now();
    for _ in 0..ROUNDS {
        action();
    }
    start.elapsed() / ROUNDS
}

fn instance(number: usize) -> Instance {
    Instance {
        id: format!("i-{number}"),
        started_ms: 1,
        service: "s".to_string(),
        software: String::new(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "za".to_string(),
        slots: 48,
        is_draining: false,
        cold: Duration::ZERO,
        bases: [(BASE.to_string(), base(&format!("a{}", number % 60)))].into(),
        orders: 0,
    }
}

fn base(adapter: &str) -> Base {
    Base {
        version: 1,
        adapters: [(adapter.to_string(), 1)].into(),
    }
}

fn request(number: u64, max_pause: Option<Duration>) -> Request {
    let part = |id: String, tokens| Part { id, tokens };
    Request {
        weights: Weights::new(BASE, "a7"),
        tokens: 1_000,
        parts: vec![
            part("shared".to_string(), 800),
            part(format!("own-{number}"), 200),
        ],
        max_delay: Some(Duration::from_secs(5)),
        only_resident: true,
        due_in: Duration::from_secs(1),
        max_pause,
        output_tokens: 300,
        end_in: max_pause.map(|_| Duration::from_secs(15)),
        is_last: false,
        team: String::new(),
        team_share: 1.0,
    }
}

/// Returns the owner's view of an engine that runs streams.
fn busy_owner() -> Engine {
    let class = EngineClass {
        batch_size: 48,
        adapter_slots: 7,
        memory_tokens: 273_006,
        tokens_per_event: 8,
        bases: [(BASE.to_string(), Duration::from_secs(4))].into(),
    };
    let report = Report {
        bases: [(BASE.to_string(), base("a7"))].into(),
        ..Report::default()
    };
    let mut owner = Engine::new(Duration::ZERO, &class);
    owner.reconcile(Duration::ZERO, &report);
    for number in 0..STREAMS {
        let request = request(number, Some(Duration::from_millis(400)));
        if let Decision::Granted(grant) = owner.request(Duration::ZERO, &request) {
            owner.response_started(Duration::from_millis(30), grant);
        }
    }
    owner
}
