//! Generated arrivals: skewed popularity, popularity shifts, bursts, floods and faults.

use std::time::Duration;

use endivespur_core::clock;
use endivespur_core::config::Class;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The length of a trace.
pub const TRACE_LENGTH: Duration = Duration::from_mins(20);
/// The number of organisations; each adapter belongs to one of them.
pub const ORGANISATIONS: usize = 30;

/// The size of a user's installation and the mix of its requests.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The name of the user.
    pub name: &'static str,
    /// The number of engines.
    pub engines: usize,
    /// The number of adapters.
    pub adapters: usize,
    /// The number of slots of an engine.
    pub slots: usize,
    /// The maximum number of requests in an engine's step.
    pub batch: usize,
    /// The run time of a draft.
    pub draft_time: Duration,
    /// The share of lookups among the requests.
    pub lookup_share: f64,
    /// The share of summaries among the requests.
    pub summary_share: f64,
}

/// Returns the profile of the user with the given name.
pub fn profile(name: &str) -> Option<Profile> {
    let base = Profile {
        name: "association",
        engines: 9,
        adapters: 3000,
        slots: 8,
        batch: 8,
        draft_time: Duration::from_secs(4),
        lookup_share: 0.2,
        summary_share: 0.0,
    };
    match name {
        "association" => Some(base),
        "kombucha" => Some(Profile {
            name: "kombucha",
            summary_share: 0.2,
            ..base
        }),
        _ => None,
    }
}

/// A disturbance during a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// No disturbance.
    Steady,
    /// Every 300 s, a tenth of the adapters swap ranks with popular ones.
    PopularityShifts,
    /// The rate is three times as high for 120 s.
    Burst,
    /// One organisation sends three times as many requests as all others together, for 200 s.
    Flood,
    /// Two engines are lost for 60 s and recover without loaded adapters.
    EnginesLost,
    /// The weight store serves loads at half its rate for 200 s.
    SlowStore,
}

/// The popularity distribution and the disturbance of a trace.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// The name in the tables.
    pub name: &'static str,
    /// The exponent of the Zipf distribution of the adapters' popularity.
    pub zipf: f64,
    /// The disturbance during the trace.
    pub disturbance: Disturbance,
}

/// The patterns in the order of the table.
pub const PATTERNS: [Pattern; 8] = [
    Pattern {
        name: "zipf-0.9",
        zipf: 0.9,
        disturbance: Disturbance::Steady,
    },
    Pattern {
        name: "zipf-1.0",
        zipf: 1.0,
        disturbance: Disturbance::Steady,
    },
    Pattern {
        name: "zipf-1.2",
        zipf: 1.2,
        disturbance: Disturbance::Steady,
    },
    Pattern {
        name: "shifts",
        zipf: 1.0,
        disturbance: Disturbance::PopularityShifts,
    },
    Pattern {
        name: "burst",
        zipf: 1.0,
        disturbance: Disturbance::Burst,
    },
    Pattern {
        name: "flood",
        zipf: 1.0,
        disturbance: Disturbance::Flood,
    },
    Pattern {
        name: "lost",
        zipf: 1.0,
        disturbance: Disturbance::EnginesLost,
    },
    Pattern {
        name: "slow",
        zipf: 1.0,
        disturbance: Disturbance::SlowStore,
    },
];

/// When a burst, a flood, a loss of engines or a slow store begins.
pub const DISTURBANCE_START: Duration = Duration::from_secs(500);
/// The organisation that floods.
pub const FLOODING_ORGANISATION: usize = 7;

/// A request of a trace.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrives, as the time since the start of the trace.
    pub at: Duration,
    /// The organisation that sends it.
    pub organisation: usize,
    /// The adapter that it needs.
    pub adapter: usize,
    /// The class of the request.
    pub class: Class,
    /// How long it runs.
    pub run_time: Duration,
}

/// Generates the arrivals of a pattern at `rate` requests per second.
pub fn generate(profile: &Profile, pattern: &Pattern, rate: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sums = cumulative_weights(profile.adapters, pattern.zipf);
    let mut adapter_by_rank: Vec<usize> = (0..profile.adapters).collect();
    shuffle(&mut rng, &mut adapter_by_rank);
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    let mut shifts = 1;
    while now < TRACE_LENGTH.as_secs_f64() {
        let at = clock::from_secs(now);
        if pattern.disturbance == Disturbance::PopularityShifts && now > f64::from(shifts) * 300.0 {
            shift_popularity(&mut rng, &mut adapter_by_rank);
            shifts += 1;
        }
        let rate_factor = rate_factor(pattern.disturbance, at);
        let adapter = adapter_by_rank[draw_rank(&mut rng, &sums)];
        // The total rate is four times as high, so three quarters of it are the flood.
        let is_flood = pattern.disturbance == Disturbance::Flood
            && rate_factor > 1.0
            && rng.random::<f64>() < 0.75;
        let adapter = if is_flood {
            adapter / ORGANISATIONS * ORGANISATIONS + FLOODING_ORGANISATION
        } else {
            adapter
        };
        let adapter = adapter.min(profile.adapters - 1);
        let (class, run_time) = draw_class(profile, &mut rng);
        arrivals.push(Arrival {
            at,
            organisation: adapter % ORGANISATIONS,
            adapter,
            class,
            run_time,
        });
        // The times between Poisson arrivals are exponentially distributed.
        now += -(1.0 - rng.random::<f64>()).ln() / (rate * rate_factor);
    }
    arrivals
}

/// Returns the factor by which a burst or a flood raises the request rate at a time.
fn rate_factor(disturbance: Disturbance, at: Duration) -> f64 {
    let since = at.checked_sub(DISTURBANCE_START);
    match (disturbance, since) {
        (Disturbance::Burst, Some(since)) if since < Duration::from_mins(2) => 3.0,
        (Disturbance::Flood, Some(since)) if since < Duration::from_secs(200) => 4.0,
        _ => 1.0,
    }
}

fn draw_class(profile: &Profile, rng: &mut ChaCha8Rng) -> (Class, Duration) {
    let draw: f64 = rng.random();
    if draw < profile.lookup_share {
        (Class::Lookup, profile.draft_time / 4)
    } else if draw < profile.lookup_share + profile.summary_share {
        (Class::Summary, profile.draft_time * 3)
    } else {
        (Class::Draft, profile.draft_time)
    }
}

/// Returns the running sums of the unnormalised Zipf weights.
fn cumulative_weights(count: usize, exponent: f64) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        })
        .collect()
}

fn draw_rank(rng: &mut ChaCha8Rng, sums: &[f64]) -> usize {
    let total = sums.last().copied().unwrap_or(1.0);
    let draw = rng.random::<f64>() * total;
    sums.partition_point(|sum| *sum < draw).min(sums.len() - 1)
}

fn shuffle(rng: &mut ChaCha8Rng, adapter_by_rank: &mut [usize]) {
    for index in (1..adapter_by_rank.len()).rev() {
        adapter_by_rank.swap(index, random_below(rng, index + 1));
    }
}

/// Swaps a random one of the most popular tenth of the adapters with a random adapter, as many
/// times as a tenth has members.
fn shift_popularity(rng: &mut ChaCha8Rng, adapter_by_rank: &mut [usize]) {
    let tenth = (adapter_by_rank.len() / 10).max(1);
    for _ in 0..tenth {
        let (popular, other) = (
            random_below(rng, tenth),
            random_below(rng, adapter_by_rank.len()),
        );
        adapter_by_rank.swap(popular, other);
    }
}

fn random_below(rng: &mut impl Rng, limit: usize) -> usize {
    (rng.next_u64() % limit.max(1) as u64) as usize
}
