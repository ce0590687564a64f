//! Calls to other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::placement::Request;
use endivespur_core::id::Grant;
use endivespur_core::suspect::Fingerprint;
use endivespur_wire::gateway_capnp::gateway;
use futures_util::AsyncReadExt;
use log::info;
use smol::net::TcpStream;

use crate::message::{self, News};
use crate::owned::Reply;
use crate::state::State;
use crate::timer;

/// The longest time for a connection to another VM, a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long an answer may take beyond the wait that it was asked for.
const ANSWER_SLACK: Duration = Duration::from_millis(80);
/// The same for the changes of the store: twice the time in which a VM of 10 Mbit/s sends the
/// largest answer to all that follow it.
const FOLLOW_SLACK: Duration = Duration::from_millis(600);
/// The same for large values.
const WHOLE_SLACK: Duration = Duration::from_secs(2);

/// A VM that did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silent;

async fn client(state: &Rc<State>, address: SocketAddr) -> Result<gateway::Client, String> {
    if let Some(client) = state.peers.clients.borrow().get(&address) {
        return Ok(client.clone());
    }
    let stream = timer::within(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok_or("connect: timeout")?
        .map_err(|error| error.to_string())?;
    stream.set_nodelay(true).ok();
    let (reader, writer) = stream.split();
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        Side::Client,
        capnp::message::ReaderOptions::new(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: gateway::Client = system.bootstrap(Side::Server);
    let task_state = state.clone();
    state.spawn(async move {
        if let Err(error) = system.await {
            info!(event = "peer-connection", address:% = address; "{error}");
        }
        task_state.peers.clients.borrow_mut().remove(&address);
    });
    state
        .peers
        .clients
        .borrow_mut()
        .insert(address, client.clone());
    Ok(client)
}

/// Calls the gateway at an address within `limit`.
///
/// Returns nothing if the time is over.
async fn call<T>(
    state: &Rc<State>,
    address: SocketAddr,
    limit: Duration,
    send: impl AsyncFnOnce(gateway::Client) -> Result<T, capnp::Error>,
) -> Option<Result<T, String>> {
    let call = async {
        let client = client(state, address).await?;
        send(client).await.map_err(|error| error.to_string())
    };
    timer::within(limit, call).await
}

/// Asks the gateway at an address and notes whether it answered.
async fn question<T>(
    state: &Rc<State>,
    address: SocketAddr,
    limit: Duration,
    send: impl AsyncFnOnce(gateway::Client) -> Result<T, capnp::Error>,
) -> Result<T, Silent> {
    let result = call(state, address, limit, send).await;
    match result.unwrap_or_else(|| Err("timeout".to_string())) {
        Ok(reply) => {
            state.peers.answered(address);
            Ok(reply)
        }
        Err(message) => {
            state.peers.failed(address, &message);
            Err(Silent)
        }
    }
}

/// Tells the gateway at an address something that it learns in another way if this is lost.
async fn notice(
    state: &Rc<State>,
    address: SocketAddr,
    send: impl AsyncFnOnce(gateway::Client) -> Result<(), capnp::Error>,
) {
    if let Some(Err(message)) = call(state, address, ANSWER_SLACK, send).await {
        state.peers.failed(address, &message);
    }
}

/// Asks the owner at an address for a grant.
///
/// # Errors
///
/// Returns [`Silent`] if it does not answer.
pub async fn ask(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    ask: &Request,
    wait: Duration,
) -> Result<Reply, Silent> {
    if state.peers.is_silent(address) {
        return Err(Silent);
    }
    let send = async |client: gateway::Client| {
        let mut request = client.ask_request();
        message::write_ask(request.get().init_ask(), endpoint, ask, wait);
        let response = request.send().promise.await?;
        message::read_reply(response.get()?.get_reply()?)
    };
    question(state, address, wait + ANSWER_SLACK, send).await
}

/// Asks the gateway at an address for the store's changes after a revision, with large values
/// if `is_whole`.
///
/// # Errors
///
/// Returns [`Silent`] if it does not answer.
pub async fn follow(
    state: &Rc<State>,
    address: SocketAddr,
    after: u64,
    wait: Duration,
    is_whole: bool,
) -> Result<News, Silent> {
    let send = async |client: gateway::Client| {
        let mut request = client.follow_request();
        request.get().set_after(after);
        request.get().set_wait_ms(wait.as_millis() as u32);
        request.get().set_whole(is_whole);
        let response = request.send().promise.await?;
        message::read_news(response.get()?.get_news()?)
    };
    let slack = if is_whole { WHOLE_SLACK } else { FOLLOW_SLACK };
    question(state, address, wait + slack, send).await
}

/// Tells the owner at an address that the answer to a granted request has begun.
///
/// The end of the request tells the same if this is lost.
pub async fn began(state: &Rc<State>, address: SocketAddr, endpoint: &str, grant: Grant) {
    let send = async |client: gateway::Client| {
        let mut request = client.began_request();
        request.get().set_endpoint(endpoint);
        request.get().set_grant(grant);
        request.send().promise.await.map(drop)
    };
    notice(state, address, send).await;
}

/// Tells the gateway at an address that an endpoint crashed while it ran a request.
///
/// A gateway that misses it counts the next crash.
pub async fn crashed(state: &Rc<State>, address: SocketAddr, print: Fingerprint) {
    let send = async |client: gateway::Client| {
        let mut request = client.crashed_request();
        request.get().set_print(print);
        request.send().promise.await.map(drop)
    };
    notice(state, address, send).await;
}

/// Tells the owner at an address that a granted request has ended.
///
/// The owner forgets the grant by itself if this is lost.
pub async fn release(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    weights: &Weights,
    grant: Grant,
    is_missing: bool,
) {
    let send = async |client: gateway::Client| {
        let mut request = client.release_request();
        let mut to = request.get();
        to.set_endpoint(endpoint);
        to.set_base(&weights.base);
        to.set_adapter(&weights.adapter);
        to.set_grant(grant);
        to.set_missing(is_missing);
        request.send().promise.await.map(drop)
    };
    notice(state, address, send).await;
}
