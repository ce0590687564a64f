//! Measures daemons as separate processes: added latency, throughput, and resource use.

use std::time::{Duration, Instant};

use endivespur_net::client;
use hdrhistogram::Histogram;
use http_types::Method;
use serde_json::{Value, json};

use crate::call;
use crate::process::Process;
use crate::site::{EndpointSpec, Site};

/// The number of requests sent one after the other.
const SEQUENTIAL_REQUESTS: usize = 2000;
/// The number of requests in flight while the rate is measured.
const CONCURRENCY: usize = 32;
/// The duration of a measurement of the rate.
const RATE_DURATION: Duration = Duration::from_secs(4);
/// The duration of the measurement of idle daemons.
const IDLE_DURATION: Duration = Duration::from_secs(20);
/// The number of tokens of a streamed response.
const STREAM_TOKENS: u64 = 200;
/// The unit of process times in `/proc`: clock ticks per second (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// The organisation of all calls.
const ORGANISATION: &str = "kilimani";

/// Runs all measurements and prints them.
///
/// # Errors
///
/// Returns a message if a process does not start or a request fails.
pub fn run() -> Result<(), String> {
    let site = start_site()?;
    let owner = site.owner_of("engine-a");
    let non_owner = if owner == "vm-a" { "vm-b" } else { "vm-a" };
    let engine = site.endpoints["engine-a"].clone();
    let slot = load_adapter(&site, &owner)?;
    println!("one token, whole answer; p50 and p99 in µs, one after the other");
    println!(
        "| path | p50 | p99 | requests/s at {CONCURRENCY} at once | CPU µs a request of each daemon | node bytes a request |"
    );
    println!("|---|---|---|---|---|---|");
    measure_path("engine directly", &site, &engine, &slot)?;
    measure_path(
        "through the owner",
        &site,
        &site.daemons[&owner].callers,
        "hymnal/hymns@1",
    )?;
    measure_path(
        "through another daemon",
        &site,
        &site.daemons[non_owner].callers,
        "hymnal/hymns@1",
    )?;
    measure_streams(&site, &owner)?;
    measure_idle(&site);
    Ok(())
}

fn start_site() -> Result<Site, String> {
    let mut spec = EndpointSpec::engine("engine-a", "za")
        .with_step_ms(0)
        .with_slots(8);
    spec.batch = 4096;
    let mut site = Site::start("measure", &["za", "zb"], vec![spec])?;
    site.write_organisation(ORGANISATION)?;
    site.write_adapter("hymns", ORGANISATION, &[])?;
    site.write_services()?;
    site.start_daemon("vm-a", "za")?;
    site.start_daemon("vm-b", "zb")?;
    site.wait_until_owned(Duration::from_secs(20))?;
    Ok(site)
}

/// Loads the adapter through a daemon and returns its name on the engine.
fn load_adapter(site: &Site, daemon: &str) -> Result<String, String> {
    let response = site.complete(daemon, ORGANISATION, "hymnal/hymns@1", &json!({}));
    let why = response.header("endivespur-why").to_string();
    let slot = why
        .split("slot ")
        .nth(1)
        .and_then(|rest| rest.split(';').next());
    slot.map(ToString::to_string)
        .ok_or(format!("{} {}", response.status, response.text()))
}

async fn complete(address: &str, model: &str, options: &Value) -> Result<Duration, String> {
    let mut payload = json!({ "model": model, "prompt": "draft", "max_tokens": 1 });
    if let (Some(payload), Some(options)) = (payload.as_object_mut(), options.as_object()) {
        payload.extend(options.clone());
    }
    let headers = [("endivespur-organisation", ORGANISATION)];
    let response = call::call(
        address,
        Method::Post,
        "/v1/completions",
        &headers,
        Some(&payload),
    )
    .await;
    if response.status != 200 || response.body.is_none() {
        return Err(format!(
            "{address}: {} {}",
            response.status,
            response.text()
        ));
    }
    Ok(response.elapsed)
}

fn measure_path(name: &str, site: &Site, address: &str, model: &str) -> Result<(), String> {
    let no_options = json!({});
    let mut latencies = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    for _ in 0..SEQUENTIAL_REQUESTS {
        let elapsed = smol::block_on(complete(address, model, &no_options))?;
        latencies.saturating_record(elapsed.as_micros() as u64);
    }
    let before = daemon_costs(site);
    let (count, time) = measure_rate(address, model)?;
    let after = daemon_costs(site);
    let cpu: Vec<String> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| {
            format!(
                "{:.0}",
                (after.cpu_seconds - before.cpu_seconds) / count as f64 * 1e6
            )
        })
        .collect();
    let bytes: f64 = before
        .iter()
        .zip(&after)
        .map(|(b, a)| a.node_bytes - b.node_bytes)
        .sum();
    println!(
        "| {name} | {} | {} | {:.0} | {} | {:.0} |",
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        count as f64 / time.as_secs_f64(),
        cpu.join(", "),
        // Both daemons count each byte: one as sent, the other as received.
        bytes / 2.0 / count as f64,
    );
    Ok(())
}

/// Keeps requests in flight for [`RATE_DURATION`]; returns the number of responses and the
/// time that they took.
fn measure_rate(address: &str, model: &str) -> Result<(usize, Duration), String> {
    let started = Instant::now();
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = (0..CONCURRENCY)
        .map(|_| {
            let (address, model) = (address.to_string(), model.to_string());
            executor.spawn(async move {
                let mut count = 0;
                while started.elapsed() < RATE_DURATION {
                    complete(&address, &model, &json!({})).await?;
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
    Ok((count, started.elapsed()))
}

/// Measures the CPU time per streamed token in the daemon that receives the calls.
fn measure_streams(site: &Site, owner: &str) -> Result<(), String> {
    let address = &site.daemons[owner].callers;
    let options = json!({ "stream": true, "max_tokens": STREAM_TOKENS });
    let before = daemon_costs(site);
    let request_count = 200;
    for _ in 0..request_count {
        smol::block_on(complete(address, "hymnal/hymns@1", &options))?;
    }
    let after = daemon_costs(site);
    let index = site
        .daemons
        .keys()
        .position(|name| name == owner)
        .unwrap_or(0);
    let cpu = after[index].cpu_seconds - before[index].cpu_seconds;
    let tokens = f64::from(request_count) * STREAM_TOKENS as f64;
    println!(
        "\nstreamed: {:.1} µs of CPU a token in the entry",
        cpu / tokens * 1e6
    );
    Ok(())
}

/// Measures the resource use of daemons without requests.
fn measure_idle(site: &Site) {
    let calls = || {
        let counts = site.counts_of(&site.store);
        ["reads", "writes", "leases"].map(|kind| counts[kind].as_f64().unwrap_or(0.0))
    };
    let (before, calls_before) = (daemon_costs(site), calls());
    std::thread::sleep(IDLE_DURATION);
    let (after, calls_after) = (daemon_costs(site), calls());
    let seconds = IDLE_DURATION.as_secs_f64();
    let nodes = after.len() as f64;
    println!("\nidle, for each of {nodes} daemons, one endpoint in all");
    for ((before, after), name) in before.iter().zip(&after).zip(site.daemons.keys()) {
        println!(
            "{name}: {:.2}% of a core, {:.0} node bytes/s, {:.1} MB resident",
            (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
            (after.node_bytes - before.node_bytes) / seconds,
            after.resident_bytes / 1e6,
        );
    }
    for (kind, index) in ["reads", "writes", "lease calls"].iter().zip(0..) {
        let rate = (calls_after[index] - calls_before[index]) / seconds / nodes;
        println!("store: {rate:.2} {kind}/s a daemon");
    }
}

/// The resources that a daemon has used so far.
#[derive(Clone, Debug, Default)]
struct Cost {
    /// Seconds of CPU time.
    cpu_seconds: f64,
    /// Bytes sent to and received from other daemons.
    node_bytes: f64,
    /// Resident memory in bytes.
    resident_bytes: f64,
}

fn daemon_costs(site: &Site) -> Vec<Cost> {
    let daemons = site.daemons.values();
    daemons
        .map(|daemon| Cost {
            cpu_seconds: cpu_seconds(&daemon.process),
            node_bytes: node_bytes(&daemon.operators),
            resident_bytes: resident_bytes(&daemon.process),
        })
        .collect()
}

fn cpu_seconds(process: &Process) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap_or_default();
    let after_name = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    // User and system time: fields 14 and 15 of the line, counted from 1.
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn resident_bytes(process: &Process) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/statm", process.id())).unwrap_or_default();
    // The second field is the number of resident pages of 4096 bytes.
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
        let mut response = client::send(request, Duration::from_secs(5)).await.ok()?;
        let mut content = response.take_body();
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
