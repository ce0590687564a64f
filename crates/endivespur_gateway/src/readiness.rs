//! Reports to the platform whether this VM accepts new connections.

use std::rc::Rc;
use std::time::Duration;

use endivespur_http::connection::Connection;
use endivespur_http::head::Response;
use log::info;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::state::State;
use crate::timer;

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long a connection may be idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves readiness probes until the future is dropped.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => state.spawn(serve_connection(state.clone(), stream)),
            Err(error) => {
                info!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns whether this VM can serve callers.
fn is_ready(state: &State) -> bool {
    let catalog = state.catalog.borrow();
    !state.is_stopping.get() && catalog.table().is_some() && catalog.endpoints().next().is_some()
}

async fn serve_connection(state: Rc<State>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Some(Ok(Some((request, _)))) =
        timer::within(IDLE_TIMEOUT, connection.read_request(MAX_HEAD_BYTES)).await
    {
        let mut head = Response::new(if is_ready(&state) { 200 } else { 503 });
        head.headers.push("Content-Length", b"0");
        if connection.write(&head.encode()).await.is_err() || !request.keeps_connection() {
            return;
        }
    }
}
