//! Orders to engines and what they report.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::id::Endpoint;
use endivespur_core::lease::Authority;
use endivespur_core::slot::Name;
use endivespur_net::{body, client};
use http_types::Method;
use log::warn;
use serde_json::{Value, json};
use smol::future::FutureExt;

use crate::clock;
use crate::host;
use crate::loads;
use crate::node::Node;

/// The longest wait for the outcome of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest metrics page that is read.
const REPORT_BYTES: usize = 1 << 20;
/// The age that an engine's load report may have.
pub const REPORT_LAG: Duration = Duration::from_secs(5);

fn address(node: &Node, endpoint: &str) -> Option<String> {
    let config = node.config.borrow();
    config
        .endpoints
        .get(endpoint)
        .map(|target| target.address.clone())
}

/// Sends an order with a fencing number, right after a last look at the lease.
async fn order(
    node: &Node,
    endpoint: &str,
    path: &str,
    value: &Value,
    fence: u64,
) -> Result<(), String> {
    let address = address(node, endpoint).ok_or("the endpoint is not configured")?;
    let mut call = client::request(Method::Post, &address, path).map_err(|e| e.to_string())?;
    call.set_body(value.to_string());
    call.insert_header("content-type", "application/json");
    call.insert_header("endivespur-fence", fence.to_string());
    if node.authority() != Authority::Full {
        return Err("the lease has lapsed".to_string());
    }
    let answer = client::send(call, ORDER_TIMEOUT)
        .await
        .map_err(|e| e.to_string())?;
    if answer.status().is_success() {
        return Ok(());
    }
    Err(answer.status().to_string())
}

/// Loads an adapter and tells the owner and the scheduler how it went.
pub async fn load(node: Rc<Node>, endpoint: Endpoint, name: Name) {
    let value = json!({
        "lora_name": name.to_string(),
        "lora_path": format!("weights/{}/{}", name.model.adapter, name.model.version),
    });
    let result = order(
        &node,
        &endpoint,
        "/v1/load_lora_adapter",
        &value,
        name.fence,
    )
    .await;
    if let Err(message) = &result {
        warn!(
            event = "order", endpoint, action = "load", adapter = name.to_string(),
            outcome = "failed"; "{message}"
        );
    }
    metrics::counter!("endivespur_loads_total", "ok" => result.is_ok().to_string()).increment(1);
    host::change(&node, &endpoint, |owner, now, authority| {
        owner.loaded(now, authority, &name, result.is_ok())
    });
    loads::landed(&node, &endpoint, &name.model).await;
}

/// Unloads a name and tells the owner how it went.
pub async fn unload(node: Rc<Node>, endpoint: Endpoint, name: Name) {
    let fence = {
        let hosts = node.hosts.borrow();
        hosts
            .get(&endpoint)
            .map_or(name.fence, |host| host.owner.fence())
    };
    let value = json!({ "lora_name": name.to_string() });
    let result = order(&node, &endpoint, "/v1/unload_lora_adapter", &value, fence).await;
    let gone = match &result {
        Ok(()) => true,
        // The engine does not hold the name: it was restarted.
        Err(message) => message == "404",
    };
    if let Err(message) = &result {
        warn!(
            event = "order", endpoint, action = "unload", adapter = name.to_string(),
            outcome = "failed"; "{message}"
        );
    }
    host::change(&node, &endpoint, |owner, now, authority| {
        owner.unloaded(now, authority, &name, gone)
    });
}

/// Returns the names that an engine lists as loaded.
pub async fn list(node: &Node, endpoint: &str) -> Option<Vec<Name>> {
    let address = address(node, endpoint)?;
    let answer = client::get_json(&address, "/v1/models", REPORT_TIMEOUT)
        .await
        .ok()?;
    let data = answer["data"].as_array()?;
    Some(
        data.iter()
            .filter_map(|model| Name::parse(model["id"].as_str()?))
            .collect(),
    )
}

/// Returns the names with running requests, as the engine's metrics page shows them.
pub async fn running(node: &Node, endpoint: &str) -> Option<BTreeSet<Name>> {
    let address = address(node, endpoint)?;
    let call = client::request(Method::Get, &address, "/metrics").ok()?;
    let mut answer = client::send(call, REPORT_TIMEOUT).await.ok()?;
    let mut page = answer.take_body();
    let late = async {
        smol::Timer::after(REPORT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let bytes = body::read(&mut page, REPORT_BYTES).or(late).await.ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let line = text
        .lines()
        .find(|line| line.starts_with("vllm:lora_requests_info"))?;
    let names = line
        .split("running_lora_adapters=\"")
        .nth(1)?
        .split('"')
        .next()?;
    Some(names.split(',').filter_map(Name::parse).collect())
}

/// Lists an engine's names now, because a request has met a missing one.
pub async fn relist(node: &Rc<Node>, endpoint: &str) {
    let asked = clock::now();
    let names = list(node, endpoint).await;
    host::change(node, endpoint, |owner, now, authority| {
        let Some(names) = &names else {
            owner.listing_unavailable(now);
            return Vec::new();
        };
        owner.listed(now, authority, asked, names)
    });
}
