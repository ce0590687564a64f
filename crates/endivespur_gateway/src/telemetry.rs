//! Counters and latency histograms, in Prometheus' text form.

use std::time::Duration;

use log::warn;
use metrics::{counter, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::exchange::Ending;

/// The bounds of latency histograms in seconds, around the objectives of 0.1 to 1 s.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 2.0, 4.0, 8.0,
];

/// Installs the recorder; nothing is returned if another is installed.
pub fn install() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .inspect_err(|error| warn!(event = "metrics"; "no recorder: {error}"))
        .ok()
}

/// Counts how a caller's request ended.
pub fn answered(service: &str, ending: &Ending, took: Duration) {
    let (outcome, reason) = match ending {
        Ending::Own { status, reason, .. } if *status == 503 => ("refused", reason.as_str()),
        Ending::Own { reason, .. } => ("failed", reason.as_str()),
        Ending::Relayed(status) if *status < 500 => ("relayed", ""),
        Ending::Relayed(_) => ("relayed-failure", ""),
        Ending::Broken(_) => ("broken", ""),
    };
    // Texts of the operating system would make a series each.
    let is_name = reason
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
    let reason = if is_name { reason } else { "connection" };
    counter!(
        "endivespur_gateway_requests_total", "service" => service.to_string(),
        "outcome" => outcome, "reason" => reason.to_string()
    )
    .increment(1);
    histogram!("endivespur_gateway_request_seconds", "service" => service.to_string())
        .record(took.as_secs_f64());
}

/// Records the wait for an engine's grant.
pub fn granted(waited: Duration) {
    histogram!("endivespur_gateway_grant_wait_seconds").record(waited.as_secs_f64());
}

/// Records the time until an endpoint began to answer.
pub fn began(took: Duration) {
    histogram!("endivespur_gateway_endpoint_wait_seconds").record(took.as_secs_f64());
}

/// Counts an attempt that an endpoint did not answer.
pub fn attempt_failed(outcome: &'static str) {
    counter!("endivespur_gateway_failed_attempts_total", "outcome" => outcome).increment(1);
}

/// Counts an order to an engine.
pub fn ordered(action: &'static str, outcome: &'static str) {
    counter!("endivespur_gateway_orders_total", "action" => action, "outcome" => outcome)
        .increment(1);
}

/// Counts a retry that the shared budget permitted, or did not.
pub fn retried(is_permitted: bool) {
    counter!("endivespur_gateway_retries_total", "permitted" => is_permitted.to_string())
        .increment(1);
}

/// Counts calls to the store that failed.
pub fn store_failed(call: &'static str) {
    counter!("endivespur_gateway_store_failures_total", "call" => call).increment(1);
}
