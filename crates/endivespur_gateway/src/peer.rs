//! Calls to other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::placement::Ask;
use endivespur_core::id::Grant;
use endivespur_core::suspect::Fingerprint;
use endivespur_wire::gateway_capnp::owner;
use futures_util::AsyncReadExt;
use log::info;
use smol::net::TcpStream;

use crate::message;
use crate::owned::Reply;
use crate::state::State;
use crate::timer;

/// The longest time for a connection to another VM, a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long an answer may take beyond the wait that it was asked for.
const ANSWER_SLACK: Duration = Duration::from_millis(80);

/// A VM that did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silent;

async fn client(state: &Rc<State>, address: SocketAddr) -> Result<owner::Client, String> {
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
    let client: owner::Client = system.bootstrap(Side::Server);
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

/// Asks the owner at an address for a grant.
///
/// # Errors
///
/// Returns [`Silent`] if it does not answer.
pub async fn ask(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    ask: &Ask,
    wait: Duration,
) -> Result<Reply, Silent> {
    if state.peers.is_silent(address) {
        return Err(Silent);
    }
    let call = async {
        let client = client(state, address).await?;
        let mut request = client.ask_request();
        message::write_ask(request.get().init_ask(), endpoint, ask, wait);
        let response = request
            .send()
            .promise
            .await
            .map_err(|error| error.to_string())?;
        let reply = response
            .get()
            .and_then(owner::ask_results::Reader::get_reply)
            .and_then(message::read_reply);
        reply.map_err(|error| error.to_string())
    };
    let result = timer::within(wait + ANSWER_SLACK, call)
        .await
        .unwrap_or_else(|| Err("timeout".to_string()));
    match result {
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

/// Asks the gateway at an address what it knows from the store.
///
/// # Errors
///
/// Returns [`Silent`] if it does not answer.
pub async fn known(state: &Rc<State>, address: SocketAddr) -> Result<String, Silent> {
    if state.peers.is_silent(address) {
        return Err(Silent);
    }
    let call = async {
        let client = client(state, address).await?;
        let response = client
            .known_request()
            .send()
            .promise
            .await
            .map_err(|error| error.to_string())?;
        let text = response
            .get()
            .and_then(owner::known_results::Reader::get_text);
        let text = text.map_err(|error| error.to_string())?;
        text.to_string().map_err(|error| error.to_string())
    };
    let result = timer::within(ANSWER_SLACK, call).await;
    match result.unwrap_or_else(|| Err("timeout".to_string())) {
        Ok(text) => Ok(text),
        Err(message) => {
            state.peers.failed(address, &message);
            Err(Silent)
        }
    }
}

/// Tells the owner at an address that the answer to a granted request has begun.
pub async fn began(state: &Rc<State>, address: SocketAddr, endpoint: &str, grant: Grant) {
    let call = async {
        let client = client(state, address).await?;
        let mut request = client.began_request();
        request.get().set_endpoint(endpoint);
        request.get().set_grant(grant);
        request
            .send()
            .promise
            .await
            .map_err(|error| error.to_string())
    };
    // The end of the request tells the same if this is lost.
    if let Some(Err(message)) = timer::within(ANSWER_SLACK, call).await {
        state.peers.failed(address, &message);
    }
}

/// Tells the gateway at an address that an endpoint crashed while it ran a request.
pub async fn crashed(state: &Rc<State>, address: SocketAddr, print: Fingerprint) {
    let call = async {
        let client = client(state, address).await?;
        let mut request = client.crashed_request();
        request.get().set_print(print);
        request
            .send()
            .promise
            .await
            .map_err(|error| error.to_string())
    };
    // A gateway that misses it counts the next crash.
    if let Some(Err(message)) = timer::within(ANSWER_SLACK, call).await {
        state.peers.failed(address, &message);
    }
}

/// Tells the owner at an address that a granted request has ended.
pub async fn release(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    weights: &Weights,
    grant: Grant,
    is_missing: bool,
) {
    let call = async {
        let client = client(state, address).await?;
        let mut request = client.release_request();
        let mut to = request.get();
        to.set_endpoint(endpoint);
        to.set_base(&weights.base);
        to.set_adapter(&weights.adapter);
        to.set_grant(grant);
        to.set_missing(is_missing);
        request
            .send()
            .promise
            .await
            .map_err(|error| error.to_string())
    };
    // The owner forgets the grant by itself if this is lost.
    if let Some(Err(message)) = timer::within(ANSWER_SLACK, call).await {
        state.peers.failed(address, &message);
    }
}
