//! Remote calls to other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use endivespur_core::clock::millis;
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::feed::{Change, Cursor};
use endivespur_core::gateway::limit::{Decision, Rate};
use endivespur_core::gateway::placement::Request;
use endivespur_core::gateway::quota::keeper::Loan;
use endivespur_core::gateway::reach::Reach;
use endivespur_core::gateway::room::{self, Hold};
use endivespur_core::gateway::stream::{Batch, Key};
use endivespur_core::gateway::transfer::PIECE_BYTES;
use endivespur_core::id::Grant;
use endivespur_wire::gateway_capnp::gateway;
use futures_util::AsyncReadExt;
use log::{debug, info};
use smol::net::TcpStream;

use crate::message::{self, Update};
use crate::owned::{Ended, Reply};
use crate::state::State;
use crate::timer;
use crate::values::Answer;

/// The maximum time to connect to another VM: a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a reply may take beyond the wait that the call permits.
const REPLY_SLACK: Duration = Duration::from_millis(80);
/// How long a gateway may take to find out whether it reaches an endpoint: two rounds of connections.
const REACH_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a reply with changes of the store may take: twice the time in which a VM with 10 Mbit/s sends the
/// largest reply to all its followers.
pub const FOLLOW_SLACK: Duration = Duration::from_millis(600);
/// How long a reply of an older release with large values may take.
const LARGE_VALUES_SLACK: Duration = Duration::from_secs(2);
/// How long a reply with a piece of a large value may take, including the delay by which the sender keeps to its rate.
const PIECE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a gateway may take to reply to a request for the changes that it has, beyond the time to connect.
pub const TRIAL_TIME: Duration = Duration::from_millis(400);

/// How long a gateway may take to reply to a request for a loan. The borrower asks another keeper earlier, and a loan that
/// comes later than it may be used is given back.
const LOAN_TIMEOUT: Duration = Duration::from_secs(1);

/// The VM did not reply, or was not called because it did not reply recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unresponsive;

async fn client(state: &Rc<State>, address: SocketAddr) -> Result<gateway::Client, String> {
    if let Some(client) = state.peers.clients.borrow().get(&address) {
        return Ok(client.clone());
    }
    let (client, system) = connect(address).await?;
    let task_state = state.clone();
    state.spawn(async move {
        if let Err(error) = system.await {
            info!(event = "peer-connection", address:% = address; "{error}");
        }
        task_state.peers.clients.borrow_mut().remove(&address);
        task_state.peers.disconnected(address);
    });
    let mut clients = state.peers.clients.borrow_mut();
    clients.insert(address, client.clone());
    Ok(client)
}

/// As [`client`], for the connection that carries large values.
async fn value_client(state: &Rc<State>, address: SocketAddr) -> Result<gateway::Client, String> {
    if let Some(client) = state.peers.value_clients.borrow().get(&address) {
        return Ok(client.clone());
    }
    let (client, system) = connect(address).await?;
    let task_state = state.clone();
    state.spawn(async move {
        if let Err(error) = system.await {
            debug!(event = "peer-connection", address:% = address; "{error}");
        }
        task_state.peers.value_clients.borrow_mut().remove(&address);
    });
    let mut clients = state.peers.value_clients.borrow_mut();
    clients.insert(address, client.clone());
    Ok(client)
}

/// Connects to the gateway at an address; returns the client and the system that runs it.
async fn connect(address: SocketAddr) -> Result<(gateway::Client, RpcSystem<Side>), String> {
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
    let client = system.bootstrap(Side::Server);
    Ok((client, system))
}

/// Calls the gateway at an address; returns `None` if it does not reply within `limit`.
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

/// Calls the gateway at an address and records whether it replied.
async fn request<T>(
    state: &Rc<State>,
    address: SocketAddr,
    limit: Duration,
    send: impl AsyncFnOnce(gateway::Client) -> Result<T, capnp::Error>,
) -> Result<T, Unresponsive> {
    let result = call(state, address, limit, send).await;
    match result.unwrap_or_else(|| Err("timeout".to_string())) {
        Ok(reply) => {
            state.peers.replied(address);
            Ok(reply)
        }
        Err(message) => {
            state.peers.failed(address, &message);
            Err(Unresponsive)
        }
    }
}

/// Sends the gateway at an address a notification, whose loss the protocol tolerates.
async fn notify(
    state: &Rc<State>,
    address: SocketAddr,
    send: impl AsyncFnOnce(gateway::Client) -> Result<(), capnp::Error>,
) {
    if let Some(Err(message)) = call(state, address, REPLY_SLACK, send).await {
        state.peers.failed(address, &message);
    }
}

/// Requests a grant from the owner at an address.
///
/// # Errors
///
/// Returns [`Unresponsive`] if it does not reply.
pub async fn ask(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    grant_request: &Request,
    wait: Duration,
) -> Result<Reply, Unresponsive> {
    if state.peers.is_unresponsive(address) {
        return Err(Unresponsive);
    }
    let send = async |client: gateway::Client| {
        let mut request = client.ask_request();
        message::write_request(request.get().init_ask(), endpoint, grant_request, wait);
        let response = request.send().promise.await?;
        message::read_reply(response.get()?.get_reply()?)
    };
    request(state, address, wait + REPLY_SLACK, send).await
}

/// Requests the store's changes after a position, without large values, from the gateway at an address. It may wait
/// for changes for `wait`, and must reply within `limit`. A gateway of an older release gets `complete` as the position,
/// up to which no large value is missing.
///
/// # Errors
///
/// Returns [`Unresponsive`] if it does not reply.
pub async fn changes(
    state: &Rc<State>,
    address: SocketAddr,
    after: Cursor,
    complete: u64,
    wait: Duration,
    limit: Duration,
) -> Result<Update, Unresponsive> {
    if !state.peers.is_older(address) {
        let send = async |client: gateway::Client| {
            let mut request = client.changes_request();
            let mut to = request.get();
            to.set_after(after.revision);
            to.set_after_small(after.small_revision);
            to.set_wait_ms(millis(wait));
            let response = request.send().promise.await;
            let update = response
                .and_then(|response| message::read_update(response.get()?.get_update()?).map(Some));
            unless_unimplemented(update, None)
        };
        if let Some(update) = request(state, address, limit, send).await? {
            return Ok(update);
        }
        state.peers.found_older(address);
    }
    let send = async |client: gateway::Client| {
        let mut request = client.follow_request();
        request.get().set_after(complete);
        request.get().set_wait_ms(millis(wait));
        let response = request.send().promise.await?;
        message::read_news(response.get()?.get_news()?)
    };
    let (mut update, large_keys) = request(state, address, limit, send).await?;
    if let Update::Changes(Change::Changes(page), _) = &mut update {
        // It does not tell at which revisions they have changed.
        page.large = large_keys
            .into_iter()
            .map(|key| (key, complete + 1))
            .collect();
    }
    Ok(update)
}

/// Requests all changes after a revision, with large values, from a gateway of an older release at an address.
///
/// # Errors
///
/// Returns [`Unresponsive`] if it does not reply.
pub async fn whole_changes(
    state: &Rc<State>,
    address: SocketAddr,
    after: u64,
) -> Result<Update, Unresponsive> {
    let send = async |client: gateway::Client| {
        let mut request = client.follow_request();
        request.get().set_after(after);
        request.get().set_whole(true);
        let response = request.send().promise.await?;
        message::read_news(response.get()?.get_news()?)
    };
    let reply = request(state, address, LARGE_VALUES_SLACK, send).await?;
    Ok(reply.0)
}

/// Requests the piece at an offset of a packed large value, of a revision at least, from the gateway at an address.
/// This gateway has the value at the revision `base`.
///
/// # Errors
///
/// Returns [`Unresponsive`] if it does not reply.
pub async fn value(
    state: &Rc<State>,
    address: SocketAddr,
    key: &str,
    revision: u64,
    base: u64,
    offset: usize,
) -> Result<Answer, Unresponsive> {
    let call = async {
        let client = value_client(state, address).await?;
        let mut request = client.value_request();
        let mut to = request.get();
        to.set_key(key);
        to.set_revision(revision);
        to.set_base(base);
        to.set_offset(offset as u32);
        let response = request.send().promise.await;
        let answer = response
            .and_then(|response| message::read_value(response.get()?.get_reply()?, PIECE_BYTES));
        unless_unimplemented(answer, Answer::Missing).map_err(|error| error.to_string())
    };
    let reply = timer::within(PIECE_TIMEOUT, call).await;
    reply
        .unwrap_or_else(|| Err("timeout".to_string()))
        .map_err(|message| {
            info!(event = "large-value", key, address:% = address; "{message}");
            state.peers.value_clients.borrow_mut().remove(&address);
            Unresponsive
        })
}

/// Notifies the owner at an address that the response to a granted request has started.
///
/// If this is lost, the release of the grant has the same effect later.
pub async fn response_started(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    grant: Grant,
    slowdown: u32,
) {
    let send = async |client: gateway::Client| {
        let mut request = client.began_request();
        request.get().set_endpoint(endpoint);
        request.get().set_grant(grant);
        request.get().set_slowdown(slowdown);
        request.send().promise.await.map(drop)
    };
    notify(state, address, send).await;
}

/// Sends encoded records of crashes to the gateway at an address.
///
/// If this is lost, that gateway receives them from the store.
pub async fn crashed(state: &Rc<State>, address: SocketAddr, records: &[u8]) {
    let send = async |client: gateway::Client| {
        let mut request = client.crashed_request();
        request.get().set_records(records);
        request.send().promise.await.map(drop)
    };
    notify(state, address, send).await;
}

/// Requests a token for an endpoint that named a limit `age` ago from the gateway at an address; returns
/// `None` without a reply.
pub async fn token(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    rate: Rate,
    age: Duration,
) -> Option<Decision> {
    if state.peers.is_unresponsive(address) {
        return None;
    }
    let send = async |client: gateway::Client| {
        let mut request = client.token_request();
        let mut to = request.get();
        to.set_endpoint(endpoint);
        to.set_rate(rate);
        to.set_age_ms(u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        let response = request.send().promise.await?;
        message::read_decision(response.get()?.get_reply()?)
    };
    let reply = call(state, address, REPLY_SLACK, send).await?;
    reply
        .inspect_err(|error| info!(event = "token", endpoint; "no token: {error}"))
        .ok()
}

/// Requests room of an endpoint, until `hold_time` has passed at the latest, from the gateway at an address;
/// returns `None` without a reply.
pub async fn hold_room(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    room: &room::Request,
    hold_time: Duration,
) -> Option<Result<Hold, Duration>> {
    if state.peers.is_unresponsive(address) {
        return None;
    }
    let send = async |client: gateway::Client| {
        let mut request = client.hold_room_request();
        let mut to = request.get();
        to.set_endpoint(endpoint);
        to.set_share(room.share);
        to.set_max_rejections(room.max_rejections);
        to.set_hold_ms(u32::try_from(hold_time.as_millis()).unwrap_or(u32::MAX));
        let response = request.send().promise.await?;
        message::read_room(response.get()?.get_reply()?)
    };
    let reply = call(state, address, REPLY_SLACK, send).await?;
    reply
        .inspect_err(|error| info!(event = "token", endpoint; "no room: {error}"))
        .ok()
}

/// Notifies the gateway at an address that a request which holds room has ended.
///
/// If this is lost, the room is free once the request must have ended.
pub async fn release_room(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    hold: Hold,
    is_rejected: bool,
) {
    let send = async |client: gateway::Client| {
        let mut request = client.release_room_request();
        let mut to = request.get();
        to.set_endpoint(endpoint);
        to.set_hold(hold);
        to.set_rejected(is_rejected);
        request.send().promise.await.map(drop)
    };
    notify(state, address, send).await;
}

/// A request for an amount of a team's quota.
pub struct Borrowing<'a> {
    /// The team.
    pub team: &'a str,
    /// The version of the configuration that this gateway knows.
    pub version: u64,
    /// The least amount.
    pub needed: u64,
    /// The greatest amount.
    pub wanted: u64,
    /// What this gateway has used in the window of the quota.
    pub used: u64,
}

/// Borrows an amount of a team's quota from the gateway at an address; returns `None` without a reply, as from a gateway
/// of an older release. The gateway does not count as unresponsive then: borrowers and probes go on without it, and must
/// not keep requests for grants from it.
pub async fn borrow(
    state: &Rc<State>,
    address: SocketAddr,
    borrowing: &Borrowing<'_>,
) -> Option<Loan> {
    if state.peers.is_unresponsive(address) {
        return None;
    }
    let send = async |client: gateway::Client| {
        let mut request = client.borrow_request();
        let mut to = request.get();
        to.set_team(borrowing.team);
        to.set_version(borrowing.version);
        to.set_needed(borrowing.needed);
        to.set_wanted(borrowing.wanted);
        to.set_used(borrowing.used);
        let response = request.send().promise.await;
        let loan =
            response.and_then(|response| message::read_loan(response.get()?.get_loan()?).map(Some));
        unless_unimplemented(loan, None)
    };
    match call(state, address, LOAN_TIMEOUT, send).await {
        Some(Ok(loan)) => {
            state.peers.replied(address);
            loan
        }
        reply => {
            let message = reply
                .and_then(Result::err)
                .unwrap_or_else(|| "timeout".to_string());
            debug!(event = "borrow", address:% = address; "no loan: {message}");
            // The connection may be broken without notice.
            state.peers.clients.borrow_mut().remove(&address);
            None
        }
    }
}

/// Gives an amount of a team's quota that was not used back to the gateway at an address.
///
/// If this is lost, the amount is lost too, as if it had been used.
pub async fn give_back(state: &Rc<State>, address: SocketAddr, team: &str, amount: u64) {
    let send = async |client: gateway::Client| {
        let mut request = client.give_back_request();
        let mut to = request.get();
        to.set_team(team);
        to.set_amount(amount);
        let response = request.send().promise.await;
        unless_unimplemented(response.map(drop), ())
    };
    notify(state, address, send).await;
}

/// Notifies the gateway at an address that an endpoint no longer names a limit.
///
/// If this is lost, gateways keep to the limit until they have a response of the endpoint themselves.
pub async fn limit_ended(state: &Rc<State>, address: SocketAddr, endpoint: &str) {
    let send = async |client: gateway::Client| {
        let mut request = client.limit_ended_request();
        request.get().set_endpoint(endpoint);
        request.send().promise.await.map(drop)
    };
    notify(state, address, send).await;
}

/// Returns `default` if a gateway of an older release does not know the call.
fn unless_unimplemented<T>(reply: Result<T, capnp::Error>, default: T) -> Result<T, capnp::Error> {
    match reply {
        Err(error) if error.kind == capnp::ErrorKind::Unimplemented => Ok(default),
        reply => reply,
    }
}

/// Notifies the gateway at an address which software versions began streams.
///
/// If this is lost, that gateway does not know them.
pub async fn streams_began(state: &Rc<State>, address: SocketAddr, batch: &Batch) {
    let send = async |client: gateway::Client| {
        let mut request = client.streams_began_request();
        message::write_streams(request.get().init_streams(batch.len() as u32), batch)?;
        let response = request.send().promise.await;
        unless_unimplemented(response.map(drop), ())
    };
    notify(state, address, send).await;
}

/// Requests which software versions began streams, as far as the gateway at an address knows.
///
/// # Errors
///
/// Returns [`Unresponsive`] if it does not reply.
pub async fn locate_streams(
    state: &Rc<State>,
    address: SocketAddr,
    keys: &[Key],
) -> Result<Batch, Unresponsive> {
    if state.peers.is_unresponsive(address) {
        return Err(Unresponsive);
    }
    let send = async |client: gateway::Client| {
        let mut request = client.locate_streams_request();
        request.get().set_keys(keys)?;
        let response = request.send().promise.await;
        let streams = response.and_then(|response| {
            let streams = response.get()?.get_streams()?;
            message::read_streams(streams)
        });
        unless_unimplemented(streams, Batch::new())
    };
    request(state, address, REPLY_SLACK, send).await
}

/// Asks the gateway at an address whether it reaches an endpoint; returns `None` without a reply.
pub async fn reach(state: &Rc<State>, address: SocketAddr, endpoint: &str) -> Option<Reach> {
    let send = async |client: gateway::Client| {
        let mut request = client.reach_request();
        request.get().set_endpoint(endpoint);
        let response = request.send().promise.await?;
        Ok(message::decode_reach(response.get()?.get_reach()?))
    };
    let reply = call(state, address, REACH_TIMEOUT, send).await?;
    reply
        .inspect_err(|error| info!(event = "reach", endpoint; "not known: {error}"))
        .ok()
}

/// Notifies the owner at an address that a granted request has ended.
///
/// If this is lost, the grant expires at the owner.
pub async fn release(
    state: &Rc<State>,
    address: SocketAddr,
    endpoint: &str,
    weights: &Weights,
    grant: Grant,
    ended: Ended,
) {
    let send = async |client: gateway::Client| {
        let mut request = client.release_request();
        let mut to = request.get();
        to.set_endpoint(endpoint);
        to.set_base(&weights.base);
        to.set_adapter(&weights.adapter);
        to.set_grant(grant);
        to.set_missing(ended.is_adapter_missing);
        to.set_slowdown(ended.slowdown);
        to.set_longest_pause_ms(millis(ended.longest_pause));
        request.send().promise.await.map(drop)
    };
    notify(state, address, send).await;
}
