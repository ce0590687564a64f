//! Benchmark of the load and eviction policy in virtual time.
//!
//! The project's own policy (`chosen`) is compared with a naive and a clairvoyant baseline
//! over the same generated traces.

mod chosen;
mod fake;
mod measure;
mod simple;
mod trace;

use std::collections::BTreeMap;
use std::io::IsTerminal;

use serde_json::{Value, json};

pub use chosen::Tuning;
use measure::{Figures, summarize};
use simple::Baseline;
use trace::{PATTERNS, Pattern, Profile};

/// The policies in the order of the table.
pub const POLICIES: [&str; 3] = ["naive", "chosen", "clairvoyant"];
/// The rates of the sweep, in requests per second.
const SWEEP_RATES: [f64; 9] = [1.0, 2.0, 2.5, 3.0, 3.25, 3.5, 3.75, 4.0, 4.5];
/// The rates at which the traces run, in requests per second: one below and one above the rate
/// that saturates the naive policy.
const TRACE_RATES: [f64; 2] = [2.0, 4.0];
/// The mean wait above which a rate counts as saturating a policy.
const SATURATION_WAIT_SECONDS: f64 = 5.0;

/// The runs to measure.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The name of the profile.
    pub profile: String,
    /// The policy, or `None` for all.
    pub policy: Option<String>,
    /// The seeds of the traces and of the random choices of the baselines.
    pub seeds: Vec<u64>,
    /// The file to which the figures are written as JSON.
    pub json: Option<String>,
    /// The number of slots of an engine, if it differs from the profile's.
    pub slots: Option<usize>,
}

/// Runs the benchmark and prints its tables.
///
/// # Errors
///
/// Returns a message if the profile or the policy is unknown, or if the file cannot be written.
pub fn run(plan: &Plan) -> Result<(), String> {
    let mut profile =
        trace::profile(&plan.profile).ok_or("unknown user: expected association or kombucha")?;
    profile.slots = plan.slots.unwrap_or(profile.slots);
    let policies: Vec<&str> = POLICIES
        .into_iter()
        .filter(|name| plan.policy.as_deref().is_none_or(|wanted| wanted == *name))
        .collect();
    if policies.is_empty() {
        return Err(format!(
            "unknown policy: expected one of {}",
            POLICIES.join(", ")
        ));
    }
    let mut rows = Vec::new();
    println!(
        "{} with {} slots, seeds {:?}",
        profile.name, profile.slots, plan.seeds
    );
    sweep_rates(&profile, &policies, plan, &mut rows);
    for rate in TRACE_RATES {
        run_traces(&profile, &policies, plan, rate, &mut rows);
    }
    if let Some(path) = &plan.json {
        std::fs::write(path, json!(rows).to_string()).map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn show_progress(text: &str) {
    if std::io::stderr().is_terminal() {
        eprint!("\r\x1b[K{text}");
    }
}

/// Runs one policy over one trace.
pub fn run_policy(
    profile: &Profile,
    pattern: &Pattern,
    rate: f64,
    seed: u64,
    policy: &str,
    tuning: &Tuning,
) -> Figures {
    let arrivals = trace::generate(profile, pattern, rate, seed);
    let (outcomes, usage) = match policy {
        "naive" => simple::run(Baseline::Naive, profile, pattern, &arrivals, seed),
        "clairvoyant" => simple::run(Baseline::Clairvoyant, profile, pattern, &arrivals, seed),
        _ => chosen::run(profile, pattern, &arrivals, tuning),
    };
    summarize(pattern, &arrivals, &outcomes, &usage)
}

/// Runs one policy over a trace for each seed, each in a thread of its own.
fn run_seeds(
    profile: &Profile,
    pattern: &Pattern,
    rate: f64,
    seeds: &[u64],
    policy: &str,
    tuning: &Tuning,
) -> Vec<Figures> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .iter()
            .map(|seed| {
                scope.spawn(move || run_policy(profile, pattern, rate, *seed, policy, tuning))
            })
            .collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

/// Measures the mean wait at each rate without deadlines, and prints for each policy the highest
/// rate that does not saturate it.
fn sweep_rates(profile: &Profile, policies: &[&str], plan: &Plan, rows: &mut Vec<Value>) {
    let without_deadlines = Tuning {
        enforces_deadlines: false,
        ..Tuning::default()
    };
    // The pattern with popularity shifts.
    let pattern = &PATTERNS[3];
    println!(
        "\nmean wait in s of the last third, no deadlines, trace {}",
        pattern.name
    );
    println!("| rate/s | {} |", policies.join(" | "));
    println!("|---|{}", "---|".repeat(policies.len()));
    let mut saturation_rates: BTreeMap<&str, f64> = BTreeMap::new();
    for rate in SWEEP_RATES {
        let mut cells = Vec::new();
        for policy in policies {
            show_progress(&format!("{policy} at {rate}/s"));
            let figures = run_seeds(
                profile,
                pattern,
                rate,
                &plan.seeds,
                policy,
                &without_deadlines,
            );
            let mean =
                figures.iter().map(|f| f.late_mean).sum::<f64>() / figures.len().max(1) as f64;
            cells.push(format!("{mean:.2}"));
            if mean <= SATURATION_WAIT_SECONDS {
                saturation_rates.insert(policy, rate);
            }
            rows.push(
                json!({ "sweep": pattern.name, "rate": rate, "policy": policy, "late_mean": mean }),
            );
        }
        show_progress("");
        println!("| {rate} | {} |", cells.join(" | "));
    }
    for (policy, rate) in saturation_rates {
        println!(
            "highest rate with a mean wait of at most {SATURATION_WAIT_SECONDS} s: {policy} {rate}/s"
        );
    }
}

fn run_traces(profile: &Profile, policies: &[&str], plan: &Plan, rate: f64, rows: &mut Vec<Value>) {
    println!("\n{rate} requests/s, mean of {} seeds", plan.seeds.len());
    println!(
        "| trace | policy | served | in time | loads | loads/req | stall s | p50 | p95 | p99 | max | batch | in time/load | Jain | worst/median p99 | median p99 | lookup p99 | loads in 10 s |"
    );
    println!("|{}", "---|".repeat(18));
    for pattern in &PATTERNS {
        for policy in policies {
            show_progress(&format!("{} {policy} at {rate}/s", pattern.name));
            let figures = run_seeds(
                profile,
                pattern,
                rate,
                &plan.seeds,
                policy,
                &Tuning::default(),
            );
            show_progress("");
            println!("{}", table_row(pattern.name, policy, &figures));
            for (seed, figures) in plan.seeds.iter().zip(&figures) {
                rows.push(json!({
                    "trace": pattern.name, "rate": rate, "policy": policy, "seed": seed,
                    "figures": figures,
                }));
            }
        }
    }
}

fn table_row(trace: &str, policy: &str, figures: &[Figures]) -> String {
    let mean = |value: fn(&Figures) -> f64| {
        figures.iter().map(value).sum::<f64>() / figures.len().max(1) as f64
    };
    format!(
        "| {trace} | {policy} | {:.0} | {:.0} | {:.0} | {:.3} | {:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {:.3} | {:.2} | {:.3} | {:.1} | {:.2} | {:.2} | {:.0} |",
        mean(|f| f.served as f64),
        mean(|f| f.in_time as f64),
        mean(|f| f.loads as f64),
        mean(|f| f.loads_per_request),
        mean(|f| f.stall_seconds),
        mean(|f| f.p50),
        mean(|f| f.p95),
        mean(|f| f.p99),
        mean(|f| f.max),
        mean(|f| f.batch),
        mean(|f| f.in_time_per_load),
        mean(|f| f.jain),
        mean(|f| f.worst_over_median),
        mean(|f| f.median_p99),
        mean(|f| f.lookup_p99),
        mean(|f| f.most_in_10s as f64),
    )
}
