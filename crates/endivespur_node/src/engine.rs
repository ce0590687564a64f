//! Sends orders to engines and reads their reports.

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

/// The maximum wait for the outcome of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of an engine's metrics page.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// The maximum age of the load figures that an engine reports.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

fn address(node: &Node, endpoint: &str) -> Option<String> {
    let config = node.config.borrow();
    config
        .endpoints
        .get(endpoint)
        .map(|target| target.address.clone())
}

/// Why an order was not carried out, or may not have been.
enum Failure {
    /// It was not sent, or the engine rejected it; with the reason or the status.
    Rejected(String),
    /// The engine may have carried it out, or may still do so; with the cause.
    NoResponse(String),
}

impl Failure {
    fn message(&self) -> &str {
        match self {
            Self::Rejected(message) | Self::NoResponse(message) => message,
        }
    }
}

/// Sends an order with a fencing number, right after a last check of the lease.
async fn order(
    node: &Node,
    endpoint: &str,
    path: &str,
    value: &Value,
    fence: u64,
) -> Result<(), Failure> {
    let rejected = |message: &str| Failure::Rejected(message.to_string());
    let address =
        address(node, endpoint).ok_or_else(|| rejected("the endpoint is not configured"))?;
    let mut request = client::request(Method::Post, &address, path)
        .map_err(|error| Failure::Rejected(error.to_string()))?;
    request.set_body(value.to_string());
    request.insert_header("content-type", "application/json");
    request.insert_header("endivespur-fence", fence.to_string());
    if node.authority() != Authority::Full {
        return Err(rejected("the lease has lapsed"));
    }
    let response = client::send(request, ORDER_TIMEOUT)
        .await
        .map_err(|error| Failure::NoResponse(error.to_string()))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(Failure::Rejected(response.status().to_string()))
}

/// Loads an adapter, and reports the outcome to the owner and the end to the scheduler.
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
    if let Err(failure) = &result {
        warn!(
            event = "order", endpoint, action = "load", adapter = name.to_string(),
            outcome = "failed"; "{}", failure.message()
        );
    }
    metrics::counter!("endivespur_loads_total", "ok" => result.is_ok().to_string()).increment(1);
    host::change(&node, &endpoint, |owner, now, authority| {
        if matches!(result, Err(Failure::NoResponse(_))) {
            return owner.load_unanswered(&name);
        }
        owner.loaded(now, authority, &name, result.is_ok())
    });
    loads::load_ended(&node, &endpoint, &name.model).await;
}

/// Unloads an adapter and reports the outcome to the owner.
pub async fn unload(node: Rc<Node>, endpoint: Endpoint, name: Name) {
    let fence = {
        let ownerships = node.ownerships.borrow();
        ownerships
            .get(&endpoint)
            .map_or(name.fence, |ownership| ownership.owner.fence())
    };
    let value = json!({ "lora_name": name.to_string() });
    let result = order(&node, &endpoint, "/v1/unload_lora_adapter", &value, fence).await;
    let gone = match &result {
        Ok(()) => true,
        // The engine was restarted and no longer has the adapter.
        Err(failure) => failure.message() == "404",
    };
    if let Err(failure) = &result {
        warn!(
            event = "order", endpoint, action = "unload", adapter = name.to_string(),
            outcome = "failed"; "{}", failure.message()
        );
    }
    host::change(&node, &endpoint, |owner, now, authority| {
        owner.unloaded(now, authority, &name, gone)
    });
}

/// Returns the adapters that an engine lists as loaded.
pub async fn list(node: &Node, endpoint: &str) -> Option<Vec<Name>> {
    let address = address(node, endpoint)?;
    let response = client::get_json(&address, "/v1/models", REPORT_TIMEOUT)
        .await
        .ok()?;
    let data = response["data"].as_array()?;
    Some(
        data.iter()
            .filter_map(|model| Name::parse(model["id"].as_str()?))
            .collect(),
    )
}

/// Returns the adapters with running requests, read from the engine's metrics page.
pub async fn running(node: &Node, endpoint: &str) -> Option<BTreeSet<Name>> {
    let address = address(node, endpoint)?;
    let request = client::request(Method::Get, &address, "/metrics").ok()?;
    let mut response = client::send(request, REPORT_TIMEOUT).await.ok()?;
    let mut page = response.take_body();
    let timeout = async {
        smol::Timer::after(REPORT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let bytes = body::read(&mut page, MAX_REPORT_BYTES)
        .or(timeout)
        .await
        .ok()?;
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

/// Lists an engine's adapters and passes them to the owner.
///
/// Called at an interval, and at once after a request found its adapter missing.
pub async fn relist(node: &Rc<Node>, endpoint: &str) {
    let requested_at = clock::now();
    let names = list(node, endpoint).await;
    host::change(node, endpoint, |owner, now, authority| {
        let Some(names) = &names else {
            owner.listing_unavailable(now);
            return Vec::new();
        };
        owner.listed(now, authority, requested_at, names)
    });
}
