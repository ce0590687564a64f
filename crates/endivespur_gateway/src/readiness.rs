//! Tells the platform whether this VM takes new connections.

use std::rc::Rc;
use std::time::Duration;

use endivespur_http::connection::Connection;
use endivespur_http::head::Response;
use log::info;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::state::State;
use crate::timer;

/// The pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The longest head of a question.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long a connection may idle between two questions.
const IDLE: Duration = Duration::from_secs(10);

/// Answers until the future is dropped.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => state.spawn(answer(state.clone(), stream)),
            Err(error) => {
                info!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Tells whether this VM can serve.
fn is_ready(state: &State) -> bool {
    let catalog = state.catalog.borrow();
    !state.is_stopping.get() && catalog.table().is_some() && catalog.endpoints().next().is_some()
}

async fn answer(state: Rc<State>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Some(Ok(Some((request, _)))) =
        timer::within(IDLE, connection.read_request(MAX_HEAD_BYTES)).await
    {
        let mut head = Response::new(if is_ready(&state) { 200 } else { 503 });
        head.headers.push("Content-Length", b"0");
        if connection.write(&head.encode()).await.is_err() || !request.keeps_connection() {
            return;
        }
    }
}
