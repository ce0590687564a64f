//! A relay before another system, whose connections can be cut.

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use endivespur_net::http::{self, Limits};
use http_types::StatusCode;
use serde_json::json;
use smol::Task;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use super::Executor;

/// The connections that are open, and whether the relay is cut.
#[derive(Default)]
struct Relay {
    cut: bool,
    tasks: Vec<Task<()>>,
}

type Shared = Rc<RefCell<Relay>>;

/// Runs the relay to `target` and prints its address and that of its switch.
///
/// `POST /cut` ends all connections and lets new ones hang; `POST /heal` ends that.
///
/// # Errors
///
/// Returns an error if no address can be bound.
pub async fn run(executor: Executor, target: &str) -> std::io::Result<()> {
    let data = TcpListener::bind("127.0.0.1:0").await?;
    let control = TcpListener::bind("127.0.0.1:0").await?;
    println!("{} {}", data.local_addr()?, control.local_addr()?);
    std::io::stdout().flush()?;
    let relay: Shared = Rc::default();
    let switched = relay.clone();
    let handler = http::handler(move |request| {
        let relay = switched.clone();
        async move {
            let mut relay = relay.borrow_mut();
            relay.cut = request.url().path() == "/cut";
            relay.tasks.clear();
            http::json(StatusCode::Ok, &json!({}))
        }
    });
    let limits = Limits {
        connections: 100,
        body_bytes: 1 << 10,
        head_timeout: Duration::from_mins(1),
        write_timeout: Duration::from_mins(1),
    };
    let control = http::serve(executor.clone(), control, limits, handler);
    executor.spawn(control).detach();
    loop {
        let (stream, _) = data.accept().await?;
        let task = executor.spawn(carry(relay.clone(), stream, target.to_string()));
        relay.borrow_mut().tasks.push(task);
    }
}

async fn carry(relay: Shared, near: TcpStream, target: String) {
    if relay.borrow().cut {
        // A cut network does not refuse: what is sent gets no answer.
        return std::future::pending().await;
    }
    let Ok(far) = TcpStream::connect(target.as_str()).await else {
        return;
    };
    copy(near.clone(), far.clone()).or(copy(far, near)).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
