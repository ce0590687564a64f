//! The demo: the whole path with separate processes, told line by line.

use std::time::Duration;

use http_types::Method;
use serde_json::json;

use crate::call::Answer;
use crate::site::{Site, Spot};

/// The longest wait for an owner of each endpoint.
const OWNED: Duration = Duration::from_secs(20);
/// The organisation that calls.
const CALLER: &str = "kilimani";

/// Runs the demo and ends by itself; with `keep` only after a line from standard input.
///
/// # Errors
///
/// Returns a message if an answer is not as it must be.
pub fn run(keep: bool) -> Result<(), String> {
    println!("starting stand-ins and three daemons");
    let mut site = start()?;
    let took = site.wait_owned(OWNED)?;
    println!("each endpoint has an owner after {} ms", took.as_millis());

    let draft = site.complete("vm-a", CALLER, "hymnal/hymns@2", &json!({ "stream": true }));
    show("streamed draft through vm-a", &draft);
    require(
        draft.text().contains("[DONE]"),
        "the draft lacks its end mark",
    )?;
    require(
        draft.text().contains("[hymns@2."),
        "the draft ran on another version",
    )?;

    let headers = [("endivespur-organisation", CALLER)];
    let lookup = site.call(
        "vm-b",
        Method::Get,
        "/services/orders/status",
        &headers,
        None,
    );
    show("lookup through vm-b", &lookup);
    require(lookup.status == 200, "the lookup failed")?;

    let order = |daemon: &str| {
        let headers = [
            ("endivespur-organisation", CALLER),
            ("idempotency-key", "board-117"),
        ];
        let boards = json!({ "boards": 2 });
        site.call(
            daemon,
            Method::Post,
            "/services/orders/confirm",
            &headers,
            Some(&boards),
        )
    };
    let first = order("vm-a");
    show("order board-117 through vm-a", &first);
    let second = order("vm-b");
    show("order board-117 again through vm-b", &second);
    require(
        first.text() == second.text(),
        "the resend got another answer",
    )?;
    require(runs(&site) == 1, "the order did not run exactly once")?;
    println!("  the orders service ran it {} time", runs(&site));

    let killed = site.owner(draft.header("endivespur-endpoint"));
    if let Some(mut daemon) = site.daemons.remove(&killed) {
        daemon.process.kill();
    }
    println!("killed {killed}, the owner of the engine that ran the draft");
    let left: Vec<String> = site.daemons.keys().cloned().collect();
    let draft = site.complete(
        &left[0],
        CALLER,
        "hymnal/hymns@2",
        &json!({ "stream": true }),
    );
    show(&format!("the same draft through {}", left[0]), &draft);
    require(
        draft.text().contains("[DONE]"),
        "the draft lacks its end mark",
    )?;
    let took = site.wait_owned(OWNED)?;
    println!(
        "each endpoint has a live owner again after {} ms more",
        took.as_millis()
    );
    let draft = site.complete(&left[1], CALLER, "hymnal/psalms@1", &json!({}));
    show(&format!("whole draft through {}", left[1]), &draft);
    require(
        draft.text().contains("[psalms@1."),
        "the draft ran on another version",
    )?;
    if keep {
        wait_for_line(&site)?;
    }
    println!("done");
    Ok(())
}

fn start() -> Result<Site, String> {
    let spots = vec![
        Spot::new("engine-a", "nairobi-a"),
        Spot::new("engine-b", "nairobi-b"),
        Spot::new("engine-c", "nairobi-c"),
        Spot::plain("orders-a", "nairobi-a", "orders"),
        Spot::plain("orders-b", "nairobi-b", "orders"),
    ];
    let zones = ["nairobi-a", "nairobi-b", "nairobi-c"];
    let mut site = Site::start("demo", &zones, spots)?;
    site.organisation(CALLER)?;
    site.adapter("hymns", CALLER, &[])?;
    site.adapter("psalms", CALLER, &[])?;
    site.services()?;
    for (name, zone) in ["vm-a", "vm-b", "vm-c"].into_iter().zip(zones) {
        site.daemon(name, zone)?;
    }
    Ok(site)
}

fn runs(site: &Site) -> u64 {
    ["orders-a", "orders-b"]
        .iter()
        .map(|name| {
            site.counts(&site.endpoints[*name])["runs"]["board-117"]
                .as_u64()
                .unwrap_or(0)
        })
        .sum()
}

fn show(what: &str, answer: &Answer) {
    let place = if answer.header("endivespur-replayed") == "true" {
        "kept from the first run".to_string()
    } else {
        let (endpoint, why) = (
            answer.header("endivespur-endpoint"),
            answer.header("endivespur-why"),
        );
        format!("on {endpoint} ({why})")
    };
    println!(
        "{what}: {} {} in {} ms, {place}",
        answer.status,
        answer.outcome(),
        answer.took.as_millis(),
    );
    let text = answer
        .text()
        .lines()
        .find(|line| !line.is_empty())
        .unwrap_or("");
    println!("  {}", text.chars().take(120).collect::<String>());
}

fn require(holds: bool, message: &str) -> Result<(), String> {
    holds.then_some(()).ok_or_else(|| message.to_string())
}

fn wait_for_line(site: &Site) -> Result<(), String> {
    for (name, daemon) in &site.daemons {
        println!(
            "{name}: callers {}, operators {}",
            daemon.callers, daemon.operators
        );
    }
    println!("press return to end");
    let mut line = String::new();
    std::io::stdin()
        .read_line(&mut line)
        .map_err(|error| error.to_string())?;
    Ok(())
}
