//! A TCP relay in front of another system that emulates network partitions.

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

/// The open connections, and whether the network is partitioned.
#[derive(Default)]
struct Relay {
    is_partitioned: bool,
    connections: Vec<Task<()>>,
}

type Shared = Rc<RefCell<Relay>>;

/// Runs the relay to `target` and prints its address and that of its control server.
///
/// `POST /cut` starts a partition: it drops all connections and leaves new ones unanswered.
/// `POST /heal` ends the partition and drops the unanswered connections.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a connection cannot be accepted.
pub async fn run(executor: Executor, target: &str) -> std::io::Result<()> {
    let data = TcpListener::bind("127.0.0.1:0").await?;
    let control = TcpListener::bind("127.0.0.1:0").await?;
    println!("{} {}", data.local_addr()?, control.local_addr()?);
    std::io::stdout().flush()?;
    let relay: Shared = Rc::default();
    let control_relay = relay.clone();
    let handler = http::handler(move |request| {
        let relay = control_relay.clone();
        async move {
            let mut relay = relay.borrow_mut();
            relay.is_partitioned = request.url().path() == "/cut";
            relay.connections.clear();
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
        let task = executor.spawn(forward(relay.clone(), stream, target.to_string()));
        relay.borrow_mut().connections.push(task);
    }
}

async fn forward(relay: Shared, client: TcpStream, target: String) {
    if relay.borrow().is_partitioned {
        // A partitioned network does not refuse connections: data sent gets no response.
        return std::future::pending().await;
    }
    let Ok(server) = TcpStream::connect(target.as_str()).await else {
        return;
    };
    copy(client.clone(), server.clone())
        .or(copy(server, client))
        .await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
