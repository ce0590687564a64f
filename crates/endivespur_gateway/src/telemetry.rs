//! Counters and latency histograms, exported in the Prometheus text format.

use std::time::Duration;

use log::warn;
use metrics::{counter, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::exchange::Outcome;

/// The bucket bounds of the latency histograms in seconds, denser around the objectives of 0.1 to
/// 1 s.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 2.0, 4.0, 8.0,
];

/// Installs the recorder; returns `None` if another one is installed.
pub fn install() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .inspect_err(|error| warn!(event = "metrics"; "no recorder: {error}"))
        .ok()
}

/// Records the outcome and latency of a caller's request.
pub fn request_finished(service: &str, request_outcome: &Outcome, took: Duration) {
    let (outcome, reason) = match request_outcome {
        Outcome::Generated { status, reason, .. } if matches!(*status, 429 | 503) => {
            ("refused", reason.as_str())
        }
        Outcome::Generated { reason, .. } => ("failed", reason.as_str()),
        Outcome::Relayed(status) if *status < 500 => ("relayed", ""),
        Outcome::Relayed(_) => ("relayed-failure", ""),
        Outcome::Aborted(_) => ("broken", ""),
    };
    // Error messages of the operating system would create a time series each.
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

/// Counts a request that is not authorised.
pub fn request_unauthorized(reason: &'static str) {
    counter!("endivespur_gateway_unauthorized_total", "reason" => reason).increment(1);
}

/// Records the wait for an engine's grant.
pub fn engine_granted(waited: Duration) {
    histogram!("endivespur_gateway_grant_wait_seconds").record(waited.as_secs_f64());
}

/// Records the time until an endpoint started its response.
pub fn response_started(took: Duration) {
    histogram!("endivespur_gateway_endpoint_wait_seconds").record(took.as_secs_f64());
}

/// Counts a failed attempt at an endpoint.
pub fn attempt_failed(outcome: &'static str) {
    counter!("endivespur_gateway_failed_attempts_total", "outcome" => outcome).increment(1);
}

/// Counts a check of an endpoint that gave no response.
pub fn crash_checked(outcome: &'static str) {
    counter!("endivespur_gateway_crash_checks_total", "outcome" => outcome).increment(1);
}

/// Counts a connection to an engine by the start that the engine says it has: `registered`, `other-start` or `unknown`;
/// or by why it did not say: `failed` or `misdirected`.
pub fn connection_identified(outcome: &'static str) {
    counter!("endivespur_gateway_identified_total", "outcome" => outcome).increment(1);
}

/// Counts a request for a token of an endpoint with a limit.
pub fn token_requested(outcome: &'static str) {
    counter!("endivespur_gateway_tokens_total", "outcome" => outcome).increment(1);
}

/// Counts a decision by a team's quota: `admitted`, `refused`, `fallback` or `returned`.
pub fn quota_decided(outcome: &'static str) {
    counter!("endivespur_gateway_quota_total", "outcome" => outcome).increment(1);
}

/// Counts a request for a loan of a team's quota: `lent`, `exhausted`, `unknown` or `no-reply`.
pub fn quota_borrowed(outcome: &'static str) {
    counter!("endivespur_gateway_quota_loans_total", "outcome" => outcome).increment(1);
}

/// Counts an answer to a request of a team beyond its share of an engine: `deferred`, if another team's request would not
/// have been sent elsewhere.
pub fn fairness_decided(outcome: &'static str) {
    counter!("endivespur_gateway_fairness_total", "outcome" => outcome).increment(1);
}

/// Counts a request for the store's changes to a source, the store or another gateway.
pub fn source_asked(outcome: &'static str) {
    counter!("endivespur_gateway_sources_total", "outcome" => outcome).increment(1);
}

/// Counts that this gateway's own links to endpoints failed, or work again.
pub fn links_changed(is_lost: bool) {
    let state = if is_lost { "lost" } else { "regained" };
    counter!("endivespur_gateway_links_total", "state" => state).increment(1);
}

/// Counts a request that another gateway was asked to forward.
pub fn request_forwarded(result: &str) {
    let result = if result.is_empty() { "sent" } else { result };
    counter!("endivespur_gateway_forwarded_total", "result" => result.to_string()).increment(1);
}

/// Counts an order sent to an engine.
pub fn order_sent(action: &'static str, outcome: &'static str) {
    counter!("endivespur_gateway_orders_total", "action" => action, "outcome" => outcome)
        .increment(1);
}

/// Counts a retry that the shared budget permitted or denied.
pub fn retry_requested(is_permitted: bool) {
    counter!("endivespur_gateway_retries_total", "permitted" => is_permitted.to_string())
        .increment(1);
}

/// Counts a second run that was sent beside a slow first one, or denied.
pub fn hedged(outcome: &'static str) {
    counter!("endivespur_gateway_hedges_total", "outcome" => outcome).increment(1);
}

/// Counts an era of the store after the first one.
pub fn era_entered() {
    counter!("endivespur_gateway_store_eras_total").increment(1);
}

/// Counts the bytes of a large value that were received; packed, if from another gateway.
pub fn value_received(from: &'static str, bytes: usize) {
    counter!("endivespur_gateway_value_received_bytes_total", "from" => from)
        .increment(bytes as u64);
}

/// Counts the packed bytes of a large value that were sent to another gateway.
pub fn value_sent(bytes: usize) {
    counter!("endivespur_gateway_value_sent_bytes_total").increment(bytes as u64);
}

/// Counts a call to the store that is about to be made, by its cause.
pub fn store_called(call: &'static str, cause: &'static str) {
    counter!("endivespur_gateway_store_calls_total", "call" => call, "cause" => cause).increment(1);
}

/// Counts a failed call to the store.
pub fn store_failed(call: &'static str) {
    counter!("endivespur_gateway_store_failures_total", "call" => call).increment(1);
}

/// Records the longest pause of a stream: the one `observed` by the gateway that passed it on, or that which an engine's
/// owner `predicted` for the engine's streams when it granted a prompt.
pub fn pause_recorded(kind: &'static str, pause: Duration) {
    if !pause.is_zero() {
        histogram!("endivespur_gateway_pause_seconds", "kind" => kind).record(pause.as_secs_f64());
    }
}
