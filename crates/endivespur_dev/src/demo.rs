//! The demo: requests through a site of separate processes, printed line by line.

use std::time::Duration;

use http_types::Method;
use serde_json::json;

use crate::call::Response;
use crate::site::{EndpointSpec, Site};

/// The maximum time until each endpoint has an owner.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_secs(20);
/// The organisation of all calls.
const ORGANISATION: &str = "kilimani";

/// Runs the demo; with `keep`, the processes run on until a line is read from standard input.
///
/// # Errors
///
/// Returns a message if a process does not start or a response differs from the expected one.
pub fn run(keep: bool) -> Result<(), String> {
    println!("starting stand-ins and three daemons");
    let mut site = start_site()?;
    let took = site.wait_until_owned(OWNERSHIP_TIMEOUT)?;
    println!("each endpoint has an owner after {} ms", took.as_millis());

    let draft = site.complete(
        "vm-a",
        ORGANISATION,
        "hymnal/hymns@2",
        &json!({ "stream": true }),
    );
    print_response("streamed draft through vm-a", &draft);
    ensure(
        draft.text().contains("[DONE]"),
        "the streamed draft lacks its final [DONE] event",
    )?;
    ensure(
        draft.text().contains("[hymns@2."),
        "the draft ran on a different version",
    )?;

    let headers = [("endivespur-organisation", ORGANISATION)];
    let lookup = site.call(
        "vm-b",
        Method::Get,
        "/services/orders/status",
        &headers,
        None,
    );
    print_response("lookup through vm-b", &lookup);
    ensure(lookup.status == 200, "the lookup failed")?;

    let order = |daemon: &str| {
        let headers = [
            ("endivespur-organisation", ORGANISATION),
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
    print_response("order board-117 through vm-a", &first);
    let second = order("vm-b");
    print_response("order board-117 again through vm-b", &second);
    ensure(
        first.text() == second.text(),
        "the resent order got a different answer",
    )?;
    ensure(
        run_count(&site) == 1,
        "the orders service did not run the order exactly once",
    )?;
    println!("  the orders service ran it {} time", run_count(&site));

    let owner = site.owner_of(draft.header("endivespur-endpoint"));
    if let Some(mut daemon) = site.daemons.remove(&owner) {
        daemon.process.kill();
    }
    println!("killed {owner}, the owner of the engine that ran the draft");
    let remaining: Vec<String> = site.daemons.keys().cloned().collect();
    let draft = site.complete(
        &remaining[0],
        ORGANISATION,
        "hymnal/hymns@2",
        &json!({ "stream": true }),
    );
    print_response(&format!("the same draft through {}", remaining[0]), &draft);
    ensure(
        draft.text().contains("[DONE]"),
        "the streamed draft lacks its final [DONE] event",
    )?;
    let took = site.wait_until_owned(OWNERSHIP_TIMEOUT)?;
    println!(
        "each endpoint has a live owner again after {} ms more",
        took.as_millis()
    );
    let draft = site.complete(&remaining[1], ORGANISATION, "hymnal/psalms@1", &json!({}));
    print_response(&format!("whole draft through {}", remaining[1]), &draft);
    ensure(
        draft.text().contains("[psalms@1."),
        "the draft ran on a different version",
    )?;
    if keep {
        wait_for_line(&site)?;
    }
    println!("done");
    Ok(())
}

fn start_site() -> Result<Site, String> {
    let specs = vec![
        EndpointSpec::engine("engine-a", "nairobi-a"),
        EndpointSpec::engine("engine-b", "nairobi-b"),
        EndpointSpec::engine("engine-c", "nairobi-c"),
        EndpointSpec::plain("orders-a", "nairobi-a", "orders"),
        EndpointSpec::plain("orders-b", "nairobi-b", "orders"),
    ];
    let zones = ["nairobi-a", "nairobi-b", "nairobi-c"];
    let mut site = Site::start("demo", &zones, specs)?;
    site.write_organisation(ORGANISATION)?;
    site.write_adapter("hymns", ORGANISATION, &[])?;
    site.write_adapter("psalms", ORGANISATION, &[])?;
    site.write_services()?;
    for (name, zone) in ["vm-a", "vm-b", "vm-c"].into_iter().zip(zones) {
        site.start_daemon(name, zone)?;
    }
    Ok(site)
}

fn run_count(site: &Site) -> u64 {
    ["orders-a", "orders-b"]
        .iter()
        .map(|name| {
            site.counts_of(&site.endpoints[*name])["runs"]["board-117"]
                .as_u64()
                .unwrap_or(0)
        })
        .sum()
}

fn print_response(label: &str, response: &Response) {
    let origin = if response.header("endivespur-replayed") == "true" {
        "kept from the first run".to_string()
    } else {
        let (endpoint, why) = (
            response.header("endivespur-endpoint"),
            response.header("endivespur-why"),
        );
        format!("on {endpoint} ({why})")
    };
    println!(
        "{label}: {} {} in {} ms, {origin}",
        response.status,
        response.outcome(),
        response.elapsed.as_millis(),
    );
    let text = response
        .text()
        .lines()
        .find(|line| !line.is_empty())
        .unwrap_or("");
    println!("  {}", text.chars().take(120).collect::<String>());
}

fn ensure(condition: bool, message: &str) -> Result<(), String> {
    condition.then_some(()).ok_or_else(|| message.to_string())
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
