//! Generated arrivals: skewed popularity, shifts, bursts, floods and faults.

use std::time::Duration;

use endivespur_core::config::Class;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The length of a trace.
pub const LENGTH: Duration = Duration::from_mins(20);
/// Organisations that share the adapters.
pub const ORGANISATIONS: usize = 30;

/// The sizes of a user and how its requests look.
#[derive(Clone, Debug)]
pub struct User {
    /// The name.
    pub name: &'static str,
    /// The engines.
    pub engines: usize,
    /// The adapters.
    pub adapters: usize,
    /// The slots of an engine.
    pub slots: usize,
    /// The most requests in an engine's step.
    pub batch: usize,
    /// The time that a draft runs.
    pub draft: Duration,
    /// The share of lookups.
    pub lookups: f64,
    /// The share of summaries.
    pub summaries: f64,
}

/// Returns the user with a name.
pub fn user(name: &str) -> Option<User> {
    let base = User {
        name: "association",
        engines: 9,
        adapters: 3000,
        slots: 8,
        batch: 8,
        draft: Duration::from_secs(4),
        lookups: 0.2,
        summaries: 0.0,
    };
    match name {
        "association" => Some(base),
        "kombucha" => Some(User {
            name: "kombucha",
            summaries: 0.2,
            ..base
        }),
        _ => None,
    }
}

/// What makes a trace differ from a steady one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twist {
    /// Nothing.
    Steady,
    /// A tenth of the adapters change place with popular ones every 300 s.
    Shifts,
    /// Three times the rate for 120 s.
    Burst,
    /// One organisation sends three times what all others send, for 200 s.
    Flood,
    /// Two engines are lost for 60 s and come back cold.
    Lost,
    /// The weight store gives half its rate for 200 s.
    Slow,
}

/// A kind of trace.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The name.
    pub name: &'static str,
    /// The exponent of the popularity.
    pub zipf: f64,
    /// What happens.
    pub twist: Twist,
}

/// The kinds of traces.
pub const KINDS: [Kind; 8] = [
    Kind {
        name: "zipf-0.9",
        zipf: 0.9,
        twist: Twist::Steady,
    },
    Kind {
        name: "zipf-1.0",
        zipf: 1.0,
        twist: Twist::Steady,
    },
    Kind {
        name: "zipf-1.2",
        zipf: 1.2,
        twist: Twist::Steady,
    },
    Kind {
        name: "shifts",
        zipf: 1.0,
        twist: Twist::Shifts,
    },
    Kind {
        name: "burst",
        zipf: 1.0,
        twist: Twist::Burst,
    },
    Kind {
        name: "flood",
        zipf: 1.0,
        twist: Twist::Flood,
    },
    Kind {
        name: "lost",
        zipf: 1.0,
        twist: Twist::Lost,
    },
    Kind {
        name: "slow",
        zipf: 1.0,
        twist: Twist::Slow,
    },
];

/// When the burst, flood, loss or slowness begins.
pub const TWIST_AT: Duration = Duration::from_secs(500);
/// The organisation that floods.
pub const FLOODER: usize = 7;

/// A request of a trace.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes.
    pub at: Duration,
    /// The organisation.
    pub organisation: usize,
    /// The adapter.
    pub adapter: usize,
    /// The class.
    pub class: Class,
    /// The time that it runs.
    pub run: Duration,
}

/// Generates the arrivals of a kind at `rate` requests a second.
pub fn generate(user: &User, kind: &Kind, rate: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sums = cumulated(user.adapters, kind.zipf);
    let mut places: Vec<usize> = (0..user.adapters).collect();
    shuffle(&mut rng, &mut places);
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    let mut shifts = 1;
    while now < LENGTH.as_secs_f64() {
        let at = Duration::from_secs_f64(now);
        if kind.twist == Twist::Shifts && now > f64::from(shifts) * 300.0 {
            shift(&mut rng, &mut places);
            shifts += 1;
        }
        let boost = boost(kind.twist, at);
        let adapter = places[rank(&mut rng, &sums)];
        let flooded = kind.twist == Twist::Flood && boost > 1.0 && rng.random::<f64>() < 0.75;
        let adapter = if flooded {
            adapter / ORGANISATIONS * ORGANISATIONS + FLOODER
        } else {
            adapter
        };
        let adapter = adapter.min(user.adapters - 1);
        let (class, run) = class(user, &mut rng);
        arrivals.push(Arrival {
            at,
            organisation: adapter % ORGANISATIONS,
            adapter,
            class,
            run,
        });
        now += -(1.0 - rng.random::<f64>()).ln() / (rate * boost);
    }
    arrivals
}

fn boost(twist: Twist, at: Duration) -> f64 {
    let since = at.checked_sub(TWIST_AT);
    match (twist, since) {
        (Twist::Burst, Some(since)) if since < Duration::from_mins(2) => 3.0,
        (Twist::Flood, Some(since)) if since < Duration::from_secs(200) => 4.0,
        _ => 1.0,
    }
}

fn class(user: &User, rng: &mut ChaCha8Rng) -> (Class, Duration) {
    let draw: f64 = rng.random();
    if draw < user.lookups {
        (Class::Lookup, user.draft / 4)
    } else if draw < user.lookups + user.summaries {
        (Class::Summary, user.draft * 3)
    } else {
        (Class::Draft, user.draft)
    }
}

fn cumulated(count: usize, exponent: f64) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        })
        .collect()
}

fn rank(rng: &mut ChaCha8Rng, sums: &[f64]) -> usize {
    let total = sums.last().copied().unwrap_or(1.0);
    let draw = rng.random::<f64>() * total;
    sums.partition_point(|sum| *sum < draw).min(sums.len() - 1)
}

fn shuffle(rng: &mut ChaCha8Rng, places: &mut [usize]) {
    for index in (1..places.len()).rev() {
        places.swap(index, below(rng, index + 1));
    }
}

/// Exchanges a tenth of the adapters with ones among the most popular tenth.
fn shift(rng: &mut ChaCha8Rng, places: &mut [usize]) {
    let tenth = (places.len() / 10).max(1);
    for _ in 0..tenth {
        let (popular, other) = (below(rng, tenth), below(rng, places.len()));
        places.swap(popular, other);
    }
}

fn below(rng: &mut impl Rng, limit: usize) -> usize {
    (rng.next_u64() % limit.max(1) as u64) as usize
}
