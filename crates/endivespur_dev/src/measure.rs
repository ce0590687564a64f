//! Measures daemons as separate processes: added delay, requests a second, and costs.

use std::time::{Duration, Instant};

use endivespur_net::client;
use hdrhistogram::Histogram;
use http_types::Method;
use serde_json::{Value, json};

use crate::call;
use crate::process::Process;
use crate::site::{Site, Spot};

/// Requests sent one after the other.
const SEQUENTIAL: usize = 2000;
/// Requests in flight for the rate.
const AT_ONCE: usize = 32;
/// The time for which the rate is measured.
const RATE_TIME: Duration = Duration::from_secs(4);
/// The time for which idle costs are measured.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// The tokens of a streamed answer.
const TOKENS: u64 = 200;
/// Clock ticks a second of the kernel's process times.
const TICKS: f64 = 100.0;
/// The organisation that calls.
const CALLER: &str = "kilimani";

/// Runs all measurements and prints them.
///
/// # Errors
///
/// Returns a message if a process does not start or a request fails.
pub fn run() -> Result<(), String> {
    let site = start()?;
    let owner = site.owner("engine-a");
    let other = if owner == "vm-a" { "vm-b" } else { "vm-a" };
    let direct = site.endpoints["engine-a"].clone();
    let slot = warm(&site, &owner)?;
    println!("one token, whole answer; p50 and p99 in µs, one after the other");
    println!(
        "| path | p50 | p99 | requests/s at {AT_ONCE} at once | CPU µs a request of each daemon | node bytes a request |"
    );
    println!("|---|---|---|---|---|---|");
    report("engine directly", &site, &direct, &slot)?;
    report(
        "through the owner",
        &site,
        &site.daemons[&owner].callers,
        "hymnal/hymns@1",
    )?;
    report(
        "through another daemon",
        &site,
        &site.daemons[other].callers,
        "hymnal/hymns@1",
    )?;
    streams(&site, &owner)?;
    idle(&site);
    Ok(())
}

fn start() -> Result<Site, String> {
    let mut spot = Spot::new("engine-a", "za").with_step_ms(0).with_slots(8);
    spot.batch = 4096;
    let mut site = Site::start("measure", &["za", "zb"], vec![spot])?;
    site.organisation(CALLER)?;
    site.adapter("hymns", CALLER, &[])?;
    site.services()?;
    site.daemon("vm-a", "za")?;
    site.daemon("vm-b", "zb")?;
    site.wait_owned(Duration::from_secs(20))?;
    Ok(site)
}

/// Loads the adapter and returns the name under which the engine holds it.
fn warm(site: &Site, daemon: &str) -> Result<String, String> {
    let answer = site.complete(daemon, CALLER, "hymnal/hymns@1", &json!({}));
    let why = answer.header("endivespur-why").to_string();
    let slot = why
        .split("slot ")
        .nth(1)
        .and_then(|rest| rest.split(';').next());
    slot.map(ToString::to_string)
        .ok_or(format!("{} {}", answer.status, answer.text()))
}

async fn ask(address: &str, model: &str, options: &Value) -> Result<Duration, String> {
    let mut call = json!({ "model": model, "prompt": "draft", "max_tokens": 1 });
    if let (Some(call), Some(options)) = (call.as_object_mut(), options.as_object()) {
        call.extend(options.clone());
    }
    let headers = [("endivespur-organisation", CALLER)];
    let answer = call::call(
        address,
        Method::Post,
        "/v1/completions",
        &headers,
        Some(&call),
    )
    .await;
    if answer.status != 200 || answer.body.is_none() {
        return Err(format!("{address}: {} {}", answer.status, answer.text()));
    }
    Ok(answer.took)
}

fn report(name: &str, site: &Site, address: &str, model: &str) -> Result<(), String> {
    let none = json!({});
    let mut delays = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    for _ in 0..SEQUENTIAL {
        let took = smol::block_on(ask(address, model, &none))?;
        delays.saturating_record(took.as_micros() as u64);
    }
    let before = costs(site);
    let (count, time) = rate(address, model)?;
    let after = costs(site);
    let cpu: Vec<String> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| format!("{:.0}", (after.cpu - before.cpu) / count as f64 * 1e6))
        .collect();
    let bytes: f64 = before
        .iter()
        .zip(&after)
        .map(|(b, a)| a.bytes - b.bytes)
        .sum();
    println!(
        "| {name} | {} | {} | {:.0} | {} | {:.0} |",
        delays.value_at_quantile(0.5),
        delays.value_at_quantile(0.99),
        count as f64 / time.as_secs_f64(),
        cpu.join(", "),
        bytes / 2.0 / count as f64,
    );
    Ok(())
}

/// Keeps requests in flight for a while and returns how many were answered.
fn rate(address: &str, model: &str) -> Result<(usize, Duration), String> {
    let begun = Instant::now();
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = (0..AT_ONCE)
        .map(|_| {
            let (address, model) = (address.to_string(), model.to_string());
            executor.spawn(async move {
                let mut count = 0;
                while begun.elapsed() < RATE_TIME {
                    ask(&address, &model, &json!({})).await?;
                    count += 1;
                }
                Ok::<usize, String>(count)
            })
        })
        .collect();
    let count = smol::block_on(executor.run(async {
        let mut sum = 0;
        for task in tasks {
            sum += task.await?;
        }
        Ok::<usize, String>(sum)
    }))?;
    Ok((count, begun.elapsed()))
}

/// Measures the processor time of streamed tokens.
fn streams(site: &Site, owner: &str) -> Result<(), String> {
    let address = &site.daemons[owner].callers;
    let options = json!({ "stream": true, "max_tokens": TOKENS });
    let before = costs(site);
    let answers = 200;
    for _ in 0..answers {
        smol::block_on(ask(address, "hymnal/hymns@1", &options))?;
    }
    let after = costs(site);
    let index = site
        .daemons
        .keys()
        .position(|name| name == owner)
        .unwrap_or(0);
    let cpu = after[index].cpu - before[index].cpu;
    let tokens = f64::from(answers) * TOKENS as f64;
    println!(
        "\nstreamed: {:.1} µs of CPU a token in the entry",
        cpu / tokens * 1e6
    );
    Ok(())
}

/// Measures what daemons cost while nothing is asked of them.
fn idle(site: &Site) {
    let calls = || {
        let counts = site.counts(&site.store);
        ["reads", "writes", "leases"].map(|kind| counts[kind].as_f64().unwrap_or(0.0))
    };
    let (before, calls_before) = (costs(site), calls());
    std::thread::sleep(IDLE_TIME);
    let (after, calls_after) = (costs(site), calls());
    let seconds = IDLE_TIME.as_secs_f64();
    let nodes = after.len() as f64;
    println!("\nidle, for each of {nodes} daemons, one endpoint in all");
    for ((before, after), name) in before.iter().zip(&after).zip(site.daemons.keys()) {
        println!(
            "{name}: {:.2}% of a core, {:.0} node bytes/s, {:.1} MB resident",
            (after.cpu - before.cpu) / seconds * 100.0,
            (after.bytes - before.bytes) / seconds,
            after.resident / 1e6,
        );
    }
    for (kind, index) in ["reads", "writes", "lease calls"].iter().zip(0..) {
        let rate = (calls_after[index] - calls_before[index]) / seconds / nodes;
        println!("store: {rate:.2} {kind}/s a daemon");
    }
}

/// What a daemon has used so far.
#[derive(Clone, Debug, Default)]
struct Cost {
    /// Seconds of processor time.
    cpu: f64,
    /// Bytes to and from other daemons.
    bytes: f64,
    /// Bytes of resident memory.
    resident: f64,
}

fn costs(site: &Site) -> Vec<Cost> {
    let daemons = site.daemons.values();
    daemons
        .map(|daemon| Cost {
            cpu: cpu(&daemon.process),
            bytes: node_bytes(&daemon.operators),
            resident: resident(&daemon.process),
        })
        .collect()
}

fn cpu(process: &Process) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let after_name = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS
}

fn resident(process: &Process) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/statm", process.id())).unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|f| f.parse::<f64>().ok())
        .unwrap_or(0.0);
    pages * 4096.0
}

fn node_bytes(operators: &str) -> f64 {
    let page = smol::block_on(async {
        let request = client::request(Method::Get, operators, "/metrics").ok()?;
        let mut answer = client::send(request, Duration::from_secs(5)).await.ok()?;
        let mut content = answer.take_body();
        let bytes = endivespur_net::body::read(&mut content, 1 << 20)
            .await
            .ok()?;
        String::from_utf8(bytes).ok()
    });
    let page = page.unwrap_or_default();
    let lines = page
        .lines()
        .filter(|line| line.starts_with("endivespur_node_bytes_total"));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
