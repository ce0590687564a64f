//! The policy bench: the chosen version against the naive and the clairvoyant one.

mod chosen;
mod fake;
mod measure;
mod simple;
mod trace;

use std::collections::BTreeMap;
use std::io::IsTerminal;

use serde_json::{Value, json};

pub use chosen::Tuning;
use measure::{Figures, sum_up};
use simple::Version;
use trace::{KINDS, Kind, User};

/// The policies in the order of the table.
pub const POLICIES: [&str; 3] = ["naive", "chosen", "clairvoyant"];
/// The rates of the sweep in requests a second.
const RATES: [f64; 9] = [1.0, 2.0, 2.5, 3.0, 3.25, 3.5, 3.75, 4.0, 4.5];
/// The rates at which the traces run: below and past the naive version's knee.
const TRACE_RATES: [f64; 2] = [2.0, 4.0];
/// The mean wait in seconds past which a rate lies behind the knee.
const KNEE_SECONDS: f64 = 5.0;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The user's name.
    pub user: String,
    /// The policy, or all.
    pub policy: Option<String>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Where the figures are written as JSON.
    pub json: Option<String>,
    /// The slots of an engine, if another number is wanted.
    pub slots: Option<usize>,
}

/// Runs the bench and prints its tables.
///
/// # Errors
///
/// Returns a message for an unknown user or policy, or if the file is not written.
pub fn run(plan: &Plan) -> Result<(), String> {
    let mut user = trace::user(&plan.user).ok_or("the users are association and kombucha")?;
    user.slots = plan.slots.unwrap_or(user.slots);
    let policies: Vec<&str> = POLICIES
        .into_iter()
        .filter(|name| plan.policy.as_deref().is_none_or(|wanted| wanted == *name))
        .collect();
    if policies.is_empty() {
        return Err(format!("the policies are {}", POLICIES.join(", ")));
    }
    let mut rows = Vec::new();
    println!(
        "{} with {} slots, seeds {:?}",
        user.name, user.slots, plan.seeds
    );
    knees(&user, &policies, plan, &mut rows);
    for rate in TRACE_RATES {
        traces(&user, &policies, plan, rate, &mut rows);
    }
    if let Some(path) = &plan.json {
        std::fs::write(path, json!(rows).to_string()).map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn progress(text: &str) {
    if std::io::stderr().is_terminal() {
        eprint!("\r\x1b[K{text}");
    }
}

/// Runs one policy over one trace.
pub fn one(
    user: &User,
    kind: &Kind,
    rate: f64,
    seed: u64,
    policy: &str,
    tuning: &Tuning,
) -> Figures {
    let arrivals = trace::generate(user, kind, rate, seed);
    let (fates, usage) = match policy {
        "naive" => simple::run(Version::Naive, user, kind, &arrivals, seed),
        "clairvoyant" => simple::run(Version::Clairvoyant, user, kind, &arrivals, seed),
        _ => chosen::run(user, kind, &arrivals, tuning),
    };
    sum_up(kind, &arrivals, &fates, &usage)
}

/// Runs one policy over a trace for each seed, side by side.
fn each(
    user: &User,
    kind: &Kind,
    rate: f64,
    seeds: &[u64],
    policy: &str,
    tuning: &Tuning,
) -> Vec<Figures> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .iter()
            .map(|seed| scope.spawn(move || one(user, kind, rate, *seed, policy, tuning)))
            .collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

/// Sweeps the rate without deadlines and prints where each knee lies.
fn knees(user: &User, policies: &[&str], plan: &Plan, rows: &mut Vec<Value>) {
    let patient = Tuning {
        refuses: false,
        ..Tuning::default()
    };
    let kind = &KINDS[3];
    println!(
        "\nmean wait in s of the last third, no deadlines, trace {}",
        kind.name
    );
    println!("| rate/s | {} |", policies.join(" | "));
    println!("|---|{}", "---|".repeat(policies.len()));
    let mut knees: BTreeMap<&str, f64> = BTreeMap::new();
    for rate in RATES {
        let mut cells = Vec::new();
        for policy in policies {
            progress(&format!("{policy} at {rate}/s"));
            let figures = each(user, kind, rate, &plan.seeds, policy, &patient);
            let mean =
                figures.iter().map(|f| f.late_mean).sum::<f64>() / figures.len().max(1) as f64;
            cells.push(format!("{mean:.2}"));
            if mean <= KNEE_SECONDS {
                knees.insert(policy, rate);
            }
            rows.push(
                json!({ "sweep": kind.name, "rate": rate, "policy": policy, "late_mean": mean }),
            );
        }
        progress("");
        println!("| {rate} | {} |", cells.join(" | "));
    }
    for (policy, rate) in knees {
        println!("highest rate with a mean wait of at most {KNEE_SECONDS} s: {policy} {rate}/s");
    }
}

fn traces(user: &User, policies: &[&str], plan: &Plan, rate: f64, rows: &mut Vec<Value>) {
    println!("\n{rate} requests/s, mean of {} seeds", plan.seeds.len());
    println!(
        "| trace | policy | served | in time | loads | loads/req | stall s | p50 | p95 | p99 | max | batch | in time/load | Jain | worst/median p99 | median p99 | lookup p99 | loads in 10 s |"
    );
    println!("|{}", "---|".repeat(18));
    for kind in &KINDS {
        for policy in policies {
            progress(&format!("{} {policy} at {rate}/s", kind.name));
            let figures = each(user, kind, rate, &plan.seeds, policy, &Tuning::default());
            progress("");
            println!("{}", row(kind.name, policy, &figures));
            for (seed, figures) in plan.seeds.iter().zip(&figures) {
                rows.push(json!({
                    "trace": kind.name, "rate": rate, "policy": policy, "seed": seed,
                    "figures": figures,
                }));
            }
        }
    }
}

fn row(trace: &str, policy: &str, figures: &[Figures]) -> String {
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
