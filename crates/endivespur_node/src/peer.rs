//! Calls to other daemons, each over one connection that is kept.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use endivespur_core::config::Class;
use endivespur_core::id::{Fence, Grant as GrantId, Model, Process};
use endivespur_core::owner::{Demand, Grant};
use endivespur_core::queue;
use endivespur_core::slot::Name;
use endivespur_net::client;
use endivespur_wire::{gate, node as wire};
use futures_util::AsyncReadExt;
use smol::channel::{Receiver, bounded};
use smol::future::FutureExt;

use crate::clock;
use crate::counted::Counted;
use crate::host::{self, Reply};
use crate::node::Node;
use crate::rpc;

/// The longest wait for a connection or a short call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest wait for the end of a grant, with a look at the endpoint.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// The time beyond a request's own wait after which a grant is given up.
const ASK_SLACK: Duration = Duration::from_secs(1);

/// The kept connections by address.
#[derive(Default)]
pub struct Pool {
    clients: RefCell<BTreeMap<String, wire::Client>>,
}

/// A call that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing listens at the address.
    Refused,
    /// The call or its answer was lost.
    Lost(String),
}

impl From<capnp::Error> for Failure {
    fn from(error: capnp::Error) -> Self {
        Self::Lost(error.to_string())
    }
}

impl From<capnp::NotInSchema> for Failure {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Lost(error.to_string())
    }
}

impl From<std::str::Utf8Error> for Failure {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Lost(error.to_string())
    }
}

async fn late<T>(after: Duration) -> Result<T, Failure> {
    smol::Timer::after(after).await;
    Err(Failure::Lost("timeout".to_string()))
}

async fn client(node: &Rc<Node>, address: &str) -> Result<wire::Client, Failure> {
    if let Some(client) = node.pool.clients.borrow().get(address) {
        return Ok(client.clone());
    }
    let stream = client::connect(address, CALL_TIMEOUT)
        .await
        .map_err(|error| {
            let refused = matches!(&error, client::Error::Connect { source, .. }
            if source.kind() == std::io::ErrorKind::ConnectionRefused);
            if refused {
                Failure::Refused
            } else {
                Failure::Lost(error.to_string())
            }
        })?;
    let (reader, writer) = Counted(stream).split();
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        Side::Client,
        capnp::message::ReaderOptions::new(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    let pool = node.clone();
    let key = address.to_string();
    node.spawn(async move {
        system.await.ok();
        pool.pool.clients.borrow_mut().remove(&key);
    });
    let mut login = gate.login_request();
    login.get().set_token(node.guard.node());
    let answered = async { Ok(login.send().promise.await?) };
    let response = answered.or(late(CALL_TIMEOUT)).await?;
    let client = response.get()?.get_node()?;
    node.pool
        .clients
        .borrow_mut()
        .insert(address.to_string(), client.clone());
    Ok(client)
}

/// Makes a call to the daemon at an address; a failure drops the kept connection.
async fn call<T, F>(
    node: &Rc<Node>,
    address: &str,
    timeout: Duration,
    make: impl FnOnce(wire::Client) -> F,
) -> Result<T, Failure>
where
    F: Future<Output = Result<T, Failure>>,
{
    let result = async {
        let client = client(node, address).await?;
        make(client).await
    }
    .or(late(timeout))
    .await;
    if result.is_err() {
        node.pool.clients.borrow_mut().remove(address);
    }
    result
}

/// Returns the address of a live process, unless it is this one.
fn address(node: &Node, process: &str) -> Option<String> {
    let (vm, incarnation) = process.rsplit_once('#')?;
    let table = node.table.borrow();
    let found = table.node(vm)?;
    (found.incarnation.to_string() == incarnation).then(|| found.address.clone())
}

/// Cancels an ask whose answer is no longer waited for.
struct Asked {
    node: Rc<Node>,
    address: String,
    endpoint: String,
    ask: queue::Request,
    receiver: Receiver<Result<Reply, Failure>>,
    done: bool,
}

impl Drop for Asked {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let (node, address, endpoint) = (
            self.node.clone(),
            self.address.clone(),
            self.endpoint.clone(),
        );
        let answered = self.receiver.try_recv();
        self.receiver.close();
        let ask = self.ask.clone();
        self.node.spawn(async move {
            match answered {
                Ok(reply) => give_back(&node, &address, &endpoint, reply).await,
                Err(_) => cancel(&node, &address, &endpoint, &ask).await,
            }
        });
    }
}

/// Asks the owner at an address for a grant and waits for the answer.
///
/// A grant that comes after the waiting has ended is given back.
pub async fn ask(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    ask: &queue::Request,
) -> Result<Reply, Failure> {
    let (sender, receiver) = bounded(1);
    let mut asked = Asked {
        node: node.clone(),
        address: address.to_string(),
        endpoint: endpoint.to_string(),
        ask: ask.clone(),
        receiver,
        done: false,
    };
    let task = (
        node.clone(),
        asked.address.clone(),
        asked.endpoint.clone(),
        ask.clone(),
    );
    node.spawn(async move {
        let (node, address, endpoint, ask) = task;
        let reply = send_ask(&node, &address, &endpoint, &ask).await;
        if let Err(unwanted) = sender.try_send(reply) {
            give_back(&node, &address, &endpoint, unwanted.into_inner()).await;
        }
    });
    let reply = asked.receiver.recv().await;
    asked.done = true;
    reply.unwrap_or_else(|_| Err(Failure::Lost("closed".to_string())))
}

async fn give_back(node: &Rc<Node>, address: &str, endpoint: &str, reply: Result<Reply, Failure>) {
    if let Ok(Ok(grant)) = reply {
        end(node, address, endpoint, (grant.fence, grant.id), false).await;
    }
}

async fn send_ask(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    ask: &queue::Request,
) -> Result<Reply, Failure> {
    let wait = ask.deadline.saturating_sub(clock::now());
    call(node, address, wait + ASK_SLACK, |client| {
        let mut request = client.ask_request();
        rpc::write_ask(request.get().init_ask(), endpoint, ask, wait);
        async move {
            let response = request.send().promise.await?;
            rpc::read_answer(response.get()?.get_answer()?).map_err(Failure::from)
        }
    })
    .await
}

async fn cancel(node: &Rc<Node>, address: &str, endpoint: &str, ask: &queue::Request) {
    let result = call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.cancel_request();
        let mut params = request.get();
        params.set_endpoint(endpoint);
        params.set_entry(&ask.entry);
        params.set_id(ask.ticket);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    // A lost cancel leaves the ask to its deadline, and its grant is given back.
    result.await.ok();
}

/// Tells an owner that a granted request has ended, and whether its slot was missing.
pub async fn end(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    (fence, grant): (Fence, GrantId),
    missing: bool,
) {
    let result = call(node, address, END_TIMEOUT, |client| {
        let mut request = client.end_request();
        let mut params = request.get();
        params.set_endpoint(endpoint);
        params.set_fence(fence);
        params.set_grant(grant);
        params.set_missing(missing);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    // A lost end is found when the owner asks for old grants.
    result.await.ok();
}

/// A grant that a process holds, with its slot.
pub type Held = (Fence, GrantId, Option<Name>);

/// Returns the grants that a process holds on an endpoint; it then takes no older grant.
pub async fn held(
    node: &Rc<Node>,
    process: &Process,
    endpoint: &str,
    fence: Fence,
) -> Option<Vec<Held>> {
    if *process == node.process() {
        return Some(holdings(node, endpoint, fence));
    }
    let address = address(node, process)?;
    call(node, &address, CALL_TIMEOUT, |client| {
        let mut request = client.held_request();
        request.get().set_endpoint(endpoint);
        request.get().set_fence(fence);
        async move {
            let response = request.send().promise.await?;
            let grants = response.get()?.get_grants()?;
            grants
                .iter()
                .map(|held| {
                    let slot = Name::parse(held.get_slot()?.to_str()?);
                    Ok((held.get_fence(), held.get_id(), slot))
                })
                .collect()
        }
    })
    .await
    .ok()
}

/// Returns the grants that this process holds, and refuses older ones from now on.
pub fn holdings(node: &Node, endpoint: &str, fence: Fence) -> Vec<Held> {
    let mut fences = node.fences.borrow_mut();
    let known = fences.entry(endpoint.to_string()).or_default();
    *known = (*known).max(fence);
    node.held
        .borrow()
        .iter()
        .filter(|((name, _, _), _)| name == endpoint)
        .map(|((_, fence, id), holding)| (*fence, *id, holding.slot.clone()))
        .collect()
}

/// Tells the scheduler at an address what an endpoint wants, and learns its backlog.
pub async fn wants(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    wants: &[Demand],
) -> Result<BTreeMap<Class, Duration>, Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.wants_request();
        let mut params = request.get();
        params.set_vm(&node.settings.vm);
        params.set_endpoint(endpoint);
        rpc::write_wants(params.init_wants(wants.len() as u32), wants);
        async move {
            let response = request.send().promise.await?;
            let list = response.get()?.get_backlog_ms()?;
            let backlog = list.iter().map(|ms| Duration::from_millis(u64::from(ms)));
            Ok(Class::ALL.into_iter().zip(backlog).collect())
        }
    })
    .await
}

/// Gives an owner the permit for a load; tells whether it was started.
pub async fn permit(
    node: &Rc<Node>,
    vm: &str,
    endpoint: &str,
    model: &Model,
) -> Result<bool, Failure> {
    if vm == node.settings.vm {
        return Ok(host::permit(node, endpoint, model));
    }
    let address = node
        .table
        .borrow()
        .node(vm)
        .map(|found| found.address.clone());
    let address = address.ok_or(Failure::Refused)?;
    call(node, &address, CALL_TIMEOUT, |client| {
        let mut request = client.permit_request();
        let mut params = request.get();
        params.set_endpoint(endpoint);
        params.set_adapter(&model.adapter);
        params.set_version(model.version);
        async move {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_started())
        }
    })
    .await
}

/// Tells the scheduler at an address that a load has ended.
pub async fn landed(node: &Rc<Node>, address: &str, endpoint: &str, model: &Model) {
    let result = call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.landed_request();
        let mut params = request.get();
        params.set_endpoint(endpoint);
        params.set_adapter(&model.adapter);
        params.set_version(model.version);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    // A lost message only keeps the load counted until the scheduler's own timeout.
    result.await.ok();
}

/// Asks a fingerprint's home how a suspected request is to be run.
pub async fn judge(node: &Rc<Node>, address: &str, print: u64) -> Result<u8, Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.judge_request();
        request.get().set_print(print);
        async move {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_verdict())
        }
    })
    .await
}

/// Tells a fingerprint's home that a run alone never began.
pub async fn give_up(node: &Rc<Node>, address: &str, print: u64) {
    let result = call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.give_up_request();
        request.get().set_print(print);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    // Lost, the run holds back its twins for a minute at most.
    result.await.ok();
}

/// Tells a node how the run of a suspected request went.
pub async fn ran(
    node: &Rc<Node>,
    address: &str,
    print: u64,
    endpoint: &str,
    attempt: u64,
    crashed: bool,
) {
    let result = call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.ran_request();
        let mut params = request.get();
        params.set_print(print);
        params.set_endpoint(endpoint);
        params.set_attempt(attempt);
        params.set_crashed(crashed);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    result.await.ok();
}

/// Returns what a node knows of the configuration after a revision, as JSON.
pub async fn changes(node: &Rc<Node>, address: &str, after: u64) -> Result<(u64, String), Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.changes_request();
        request.get().set_after(after);
        async move {
            let response = request.send().promise.await?;
            let answer = response.get()?;
            Ok((answer.get_revision(), answer.get_entries()?.to_string()?))
        }
    })
    .await
}

/// Asks a node for how long it promises to take nothing over, and for its revision.
pub async fn promise(node: &Rc<Node>, address: &str) -> Result<(Duration, u64), Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.promise_request();
        request.get().set_vm(&node.settings.vm);
        async move {
            let response = request.send().promise.await?;
            let answer = response.get()?;
            let time = Duration::from_millis(u64::from(answer.get_ms()));
            Ok((time, answer.get_revision()))
        }
    })
    .await
}

/// Asks a node the operators' question and returns its part of the answer as JSON.
pub async fn query(node: &Rc<Node>, address: &str, line: &str) -> Result<String, Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.query_request();
        request.get().set_line(line);
        async move {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_result()?.to_string()?)
        }
    })
    .await
}

/// Marks a grant as held by this entry, unless a newer owner is known.
pub fn take(node: &Node, endpoint: &str, grant: &Grant) -> bool {
    let newest = node.fences.borrow().get(endpoint).copied().unwrap_or(0);
    if grant.fence < newest {
        return false;
    }
    let key = (endpoint.to_string(), grant.fence, grant.id);
    let holding = crate::node::Holding {
        slot: grant.slot.clone(),
    };
    node.held.borrow_mut().insert(key, holding);
    true
}
