//! Calls to other daemons, over one pooled connection to each.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use endivespur_core::config::Class;
use endivespur_core::feature::Scope;
use endivespur_core::gateway::quota::keeper::Loan;
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
use crate::suspicion;

/// The maximum wait for a connection or a short call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum wait for the end of a grant, which may list the endpoint's adapters.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// The time that a request for a grant may take beyond the wait that it allows.
const GRANT_SLACK: Duration = Duration::from_secs(1);

/// The open connections by address.
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

/// Returns a timeout failure after a time.
async fn timed_out<T>(after: Duration) -> Result<T, Failure> {
    smol::Timer::after(after).await;
    Err(Failure::Lost("timeout".to_string()))
}

/// Returns the pooled client of an address; connects and logs in if there is none.
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
    let task_node = node.clone();
    let key = address.to_string();
    node.spawn(async move {
        system.await.ok();
        task_node.pool.clients.borrow_mut().remove(&key);
    });
    let mut login = gate.login_request();
    login.get().set_token(node.authenticator.node_token());
    let login_response = async { Ok(login.send().promise.await?) };
    let response = login_response.or(timed_out(CALL_TIMEOUT)).await?;
    let client = response.get()?.get_node()?;
    node.pool
        .clients
        .borrow_mut()
        .insert(address.to_string(), client.clone());
    Ok(client)
}

/// Calls the daemon at an address; a failure removes the connection from the pool.
async fn call<T, F>(
    node: &Rc<Node>,
    address: &str,
    timeout: Duration,
    send: impl FnOnce(wire::Client) -> F,
) -> Result<T, Failure>
where
    F: Future<Output = Result<T, Failure>>,
{
    let result = async {
        let client = client(node, address).await?;
        send(client).await
    }
    .or(timed_out(timeout))
    .await;
    if result.is_err() {
        node.pool.clients.borrow_mut().remove(address);
    }
    result
}

/// Returns the address of a process, if it is live.
fn process_address(node: &Node, process: &str) -> Option<String> {
    let (vm, incarnation) = process.rsplit_once('#')?;
    let table = node.table.borrow();
    let found = table.node(vm)?;
    (found.incarnation.to_string() == incarnation).then(|| found.address.clone())
}

/// Cancels a request for a grant, or returns the grant, if the requesting future is dropped.
struct CancelGuard {
    node: Rc<Node>,
    address: String,
    endpoint: String,
    grant_request: queue::Request,
    receiver: Receiver<Result<Reply, Failure>>,
    done: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let (node, address, endpoint) = (
            self.node.clone(),
            self.address.clone(),
            self.endpoint.clone(),
        );
        let received = self.receiver.try_recv();
        self.receiver.close();
        let grant_request = self.grant_request.clone();
        self.node.spawn(async move {
            match received {
                Ok(reply) => return_grant(&node, &address, &endpoint, reply).await,
                Err(_) => cancel(&node, &address, &endpoint, &grant_request).await,
            }
        });
    }
}

/// Requests a grant from the owner at an address and waits for the reply.
///
/// A grant that arrives after the wait has ended is returned to the owner.
pub async fn ask(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    grant_request: &queue::Request,
) -> Result<Reply, Failure> {
    let (sender, receiver) = bounded(1);
    let mut guard = CancelGuard {
        node: node.clone(),
        address: address.to_string(),
        endpoint: endpoint.to_string(),
        grant_request: grant_request.clone(),
        receiver,
        done: false,
    };
    let task = (
        node.clone(),
        guard.address.clone(),
        guard.endpoint.clone(),
        grant_request.clone(),
    );
    node.spawn(async move {
        let (node, address, endpoint, grant_request) = task;
        let reply = send_request(&node, &address, &endpoint, &grant_request).await;
        if let Err(unclaimed) = sender.try_send(reply) {
            return_grant(&node, &address, &endpoint, unclaimed.into_inner()).await;
        }
    });
    let reply = guard.receiver.recv().await;
    guard.done = true;
    reply.unwrap_or_else(|_| Err(Failure::Lost("closed".to_string())))
}

async fn return_grant(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    reply: Result<Reply, Failure>,
) {
    if let Ok(Ok(grant)) = reply {
        end(node, address, endpoint, (grant.fence, grant.id), false).await;
    }
}

async fn send_request(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    grant_request: &queue::Request,
) -> Result<Reply, Failure> {
    let wait = grant_request.deadline.saturating_sub(clock::now());
    call(node, address, wait + GRANT_SLACK, |client| {
        let mut request = client.ask_request();
        rpc::write_request(request.get().init_ask(), endpoint, grant_request, wait);
        async move {
            let response = request.send().promise.await?;
            rpc::read_answer(response.get()?.get_answer()?).map_err(Failure::from)
        }
    })
    .await
}

async fn cancel(node: &Rc<Node>, address: &str, endpoint: &str, grant_request: &queue::Request) {
    let result = call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.cancel_request();
        let mut params = request.get();
        params.set_endpoint(endpoint);
        params.set_entry(&grant_request.entry);
        params.set_id(grant_request.ticket);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    // If the cancel is lost, the request waits until its deadline, and a grant is returned.
    result.await.ok();
}

/// Notifies an owner that a granted request has ended, and whether the owner must list the engine's
/// adapters again.
pub async fn end(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    (fence, grant): (Fence, GrantId),
    needs_relist: bool,
) {
    let result = call(node, address, END_TIMEOUT, |client| {
        let mut request = client.end_request();
        let mut params = request.get();
        params.set_endpoint(endpoint);
        params.set_fence(fence);
        params.set_grant(grant);
        params.set_missing(needs_relist);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    // If the message is lost, the owner detects the end when it asks for old grants.
    result.await.ok();
}

/// A grant that a process holds: fencing number, id and slot.
pub type Held = (Fence, GrantId, Option<Name>);

/// Returns the grants that a process holds on an endpoint.
///
/// The process then accepts no grant with a fencing number below `fence`.
pub async fn held(
    node: &Rc<Node>,
    process: &Process,
    endpoint: &str,
    fence: Fence,
) -> Option<Vec<Held>> {
    if *process == node.process() {
        return Some(held_grants(node, endpoint, fence));
    }
    let address = process_address(node, process)?;
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

/// Returns the grants that this process holds on an endpoint, and refuses grants with a fencing
/// number below `fence` from now on.
pub fn held_grants(node: &Node, endpoint: &str, fence: Fence) -> Vec<Held> {
    let mut fences = node.fences.borrow_mut();
    let known = fences.entry(endpoint.to_string()).or_default();
    *known = (*known).max(fence);
    node.held
        .borrow()
        .iter()
        .filter(|((name, _, _), _)| name == endpoint)
        .map(|((_, fence, id), held_grant)| (*fence, *id, held_grant.slot.clone()))
        .collect()
}

/// Reports an endpoint's demands to the scheduler at an address; returns the scheduler's backlog.
pub async fn report_demands(
    node: &Rc<Node>,
    address: &str,
    endpoint: &str,
    demands: &[Demand],
) -> Result<BTreeMap<Class, Duration>, Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.wants_request();
        let mut params = request.get();
        params.set_vm(&node.settings.vm);
        params.set_endpoint(endpoint);
        rpc::write_demands(params.init_wants(demands.len() as u32), demands);
        async move {
            let response = request.send().promise.await?;
            let list = response.get()?.get_backlog_ms()?;
            let backlog = list.iter().map(|ms| Duration::from_millis(u64::from(ms)));
            Ok(Class::ALL.into_iter().zip(backlog).collect())
        }
    })
    .await
}

/// Sends an owner the permit for a load; returns whether the load was started.
pub async fn permit(
    node: &Rc<Node>,
    vm: &str,
    endpoint: &str,
    model: &Model,
) -> Result<bool, Failure> {
    if vm == node.settings.vm {
        return Ok(host::start_load(node, endpoint, model));
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

/// Notifies the scheduler at an address that a load has ended.
pub async fn load_ended(node: &Rc<Node>, address: &str, endpoint: &str, model: &Model) {
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
    // If the message is lost, the load counts as in progress until the scheduler's timeout.
    result.await.ok();
}

/// Asks the home of a fingerprint how a suspected request is to be run.
pub async fn admit(node: &Rc<Node>, address: &str, fingerprint: u64) -> Result<u8, Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.judge_request();
        request.get().set_print(fingerprint);
        async move {
            let response = request.send().promise.await?;
            Ok(response.get()?.get_verdict())
        }
    })
    .await
}

/// Notifies the home of a fingerprint that the request that it admitted to run alone did not run.
pub async fn abandon(node: &Rc<Node>, address: &str, fingerprint: u64) {
    let result = call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.give_up_request();
        request.get().set_print(fingerprint);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    // If the message is lost, requests with the same fingerprint wait for up to a minute.
    result.await.ok();
}

/// Notifies a node how a run of a suspected request ended.
pub async fn report_run(node: &Rc<Node>, address: &str, run: &suspicion::Record) {
    let result = call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.ran_request();
        let mut params = request.get();
        params.set_print(run.feature.fingerprint);
        params.set_message(match run.feature.scope {
            Scope::Address | Scope::Request => 0,
            Scope::Part(position) => position as u32 + 1,
        });
        params.set_request(run.request);
        params.set_endpoint(run.endpoint.as_str());
        params.set_attempt(run.attempt);
        params.set_crashed(run.crashed);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    result.await.ok();
}

/// Returns a node's revision, and its records after a given revision as JSON.
pub async fn changes(node: &Rc<Node>, address: &str, after: u64) -> Result<(u64, String), Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.changes_request();
        request.get().set_after(after);
        async move {
            let response = request.send().promise.await?;
            let results = response.get()?;
            Ok((results.get_revision(), results.get_entries()?.to_string()?))
        }
    })
    .await
}

/// Returns for how long a node promises to take no endpoint over, and its revision.
pub async fn promise(node: &Rc<Node>, address: &str) -> Result<(Duration, u64), Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.promise_request();
        request.get().set_vm(&node.settings.vm);
        async move {
            let response = request.send().promise.await?;
            let results = response.get()?;
            let time = Duration::from_millis(u64::from(results.get_ms()));
            Ok((time, results.get_revision()))
        }
    })
    .await
}

/// Borrows an amount of an organisation's quota from the node at an address.
pub async fn borrow(
    node: &Rc<Node>,
    address: &str,
    organisation: &str,
    needed: u64,
    wanted: u64,
) -> Result<Loan, Failure> {
    call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.borrow_request();
        let mut params = request.get();
        params.set_organisation(organisation);
        params.set_needed(needed);
        params.set_wanted(wanted);
        async move {
            let response = request.send().promise.await?;
            Ok(rpc::read_loan(response.get()?.get_loan()?)?)
        }
    })
    .await
}

/// Gives an amount of an organisation's quota that was not used back to the node at an address.
pub async fn give_back(node: &Rc<Node>, address: &str, organisation: &str, amount: u64) {
    let result = call(node, address, CALL_TIMEOUT, |client| {
        let mut request = client.give_back_request();
        let mut params = request.get();
        params.set_organisation(organisation);
        params.set_amount(amount);
        async move {
            request.send().promise.await?;
            Ok(())
        }
    });
    // If the message is lost, the amount counts as used.
    result.await.ok();
}

/// Sends an operator's query to a node and returns its part of the answer as JSON.
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

/// Records a grant as held by this process, unless a newer owner is known; returns whether it was
/// recorded.
pub fn record_grant(node: &Node, endpoint: &str, grant: &Grant) -> bool {
    let newest = node.fences.borrow().get(endpoint).copied().unwrap_or(0);
    if grant.fence < newest {
        return false;
    }
    let key = (endpoint.to_string(), grant.fence, grant.id);
    let held_grant = crate::node::HeldGrant {
        slot: grant.slot.clone(),
    };
    node.held.borrow_mut().insert(key, held_grant);
    true
}
