//! Serves the metrics over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use endivespur_http::connection::Connection;
use endivespur_http::head::Response;
use log::{info, warn};
use metrics::gauge;
use metrics_exporter_prometheus::PrometheusHandle;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::budget::Client;
use crate::state::State;
use crate::timer;

/// The time between two updates of the histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// The maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long a connection may be idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the metrics until the future is dropped.
pub async fn serve(state: Rc<State>, address: SocketAddr, handle: PrometheusHandle) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(event = "metrics", address:% = address; "cannot listen: {error}");
            return;
        }
    };
    info!(event = "metrics", address:% = address; "served");
    state.spawn(run_upkeep(handle.clone()));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                state.spawn(serve_connection(state.clone(), stream, handle.clone()));
            }
            Err(error) => {
                info!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn run_upkeep(handle: PrometheusHandle) {
    loop {
        handle.run_upkeep();
        Timer::after(UPKEEP_INTERVAL).await;
    }
}

/// Sets the gauges to the current state.
fn update_gauges(state: &State) {
    {
        let catalog = state.catalog.borrow();
        let version = catalog.table().map_or(0, |table| table.version);
        gauge!("endivespur_gateway_configuration_version").set(version as f64);
        gauge!("endivespur_gateway_endpoints").set(catalog.endpoints().count() as f64);
        gauge!("endivespur_gateway_peers").set(catalog.peers().count() as f64);
    }
    gauge!("endivespur_gateway_owned_engines").set(state.owned_engines.count() as f64);
    let (rate, slowest) = state.owned_engines.pace();
    gauge!("endivespur_gateway_owned_tokens_per_second").set(rate);
    gauge!("endivespur_gateway_slowest_engine_ratio").set(slowest);
    gauge!("endivespur_gateway_open_requests").set(state.open_requests.get() as f64);
    gauge!("endivespur_gateway_held_bytes").set(state.budget.held() as f64);
    let callers = state.budget.connection_count(Client::Caller);
    gauge!("endivespur_gateway_caller_connections").set(callers as f64);
}

async fn serve_connection(state: Rc<State>, stream: TcpStream, handle: PrometheusHandle) {
    let mut connection = Connection::new(stream);
    while let Some(Ok(Some((request, _)))) =
        timer::within(IDLE_TIMEOUT, connection.read_request(MAX_HEAD_BYTES)).await
    {
        update_gauges(&state);
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
