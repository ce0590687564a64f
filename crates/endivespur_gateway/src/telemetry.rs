//! Counters and latency histograms, in Prometheus' text form.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_http::connection::Connection;
use endivespur_http::head::Response;
use log::{info, warn};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::exchange::Ending;
use crate::state::State;
use crate::timer;

/// The bounds of latency histograms in seconds, around the objectives of 0.1 to 1 s.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 2.0, 4.0, 8.0,
];
/// The time between two looks at gauges and histograms.
const UPKEEP: Duration = Duration::from_secs(5);
/// The longest head of a question.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long a connection may idle between two questions.
const IDLE: Duration = Duration::from_secs(10);
/// The pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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

/// Serves the metrics until the future is dropped.
pub async fn serve(state: Rc<State>, address: SocketAddr, handle: PrometheusHandle) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(event = "metrics", address:% = address; "{error}");
            return;
        }
    };
    info!(event = "metrics", address:% = address; "served");
    state.spawn(keep_up(state.clone(), handle.clone()));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => state.spawn(answer(stream, handle.clone())),
            Err(error) => {
                info!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn keep_up(state: Rc<State>, handle: PrometheusHandle) {
    loop {
        handle.run_upkeep();
        {
            let catalog = state.catalog.borrow();
            let version = catalog.table().map_or(0, |table| table.version);
            gauge!("endivespur_gateway_configuration_version").set(version as f64);
            gauge!("endivespur_gateway_endpoints").set(catalog.endpoints().count() as f64);
            gauge!("endivespur_gateway_peers").set(catalog.peers().count() as f64);
        }
        gauge!("endivespur_gateway_owned_engines").set(state.owners.count() as f64);
        gauge!("endivespur_gateway_open_requests").set(state.open_requests.get() as f64);
        Timer::after(UPKEEP).await;
    }
}

async fn answer(stream: TcpStream, handle: PrometheusHandle) {
    let mut connection = Connection::new(stream);
    while let Some(Ok(Some((request, _)))) =
        timer::within(IDLE, connection.read_request(MAX_HEAD_BYTES)).await
    {
        let body = handle.render();
        let mut head = Response::new(200);
        head.headers
            .push("Content-Type", b"text/plain; version=0.0.4");
        head.headers
            .push("Content-Length", body.len().to_string().as_bytes());
        let mut message = head.encode();
        message.extend_from_slice(body.as_bytes());
        if connection.write(&message).await.is_err() || !request.keeps_connection() {
            return;
        }
    }
}
