//! Serves calls from other daemons, and converts their messages from and to Cap'n Proto.

use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use endivespur_core::clock::millis;
use endivespur_core::config::Class;
use endivespur_core::feature::{Feature, Scope};
use endivespur_core::gateway::quota::keeper::Loan;
use endivespur_core::id::Model;
use endivespur_core::owner::{Demand, Grant, Reason, Refusal};
use endivespur_core::queue;
use endivespur_core::slot::Name;
use endivespur_wire::{answer, ask, gate, held, loan, node as wire, want};
use futures_util::AsyncReadExt;
use smol::net::{TcpListener, TcpStream};

use crate::counted::Counted;
use crate::host::Reply;
use crate::node::Node;
use crate::{clock, host, loads, operator, peer, quota, suspicion, sync};

/// Serves other daemons until the future is dropped.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        node.spawn(serve_connection(node.clone(), stream));
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    let (reader, writer) = Counted(stream).split();
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        Side::Server,
        capnp::message::ReaderOptions::new(),
    );
    let gate: gate::Client = capnp_rpc::new_client(LoginServer { node });
    RpcSystem::new(Box::new(network), Some(gate.client))
        .await
        .ok();
}

/// Gives access to the node's calls after a login with the nodes' token.
struct LoginServer {
    node: Rc<Node>,
}

impl gate::Server for LoginServer {
    async fn login(
        self: Rc<Self>,
        params: gate::LoginParams,
        mut results: gate::LoginResults,
    ) -> Result<(), capnp::Error> {
        if !self
            .node
            .authenticator
            .is_node(params.get()?.get_token()?.to_str()?)
        {
            return Err(capnp::Error::failed("wrong token".to_string()));
        }
        let server = NodeServer {
            node: self.node.clone(),
        };
        results.get().set_node(capnp_rpc::new_client(server));
        Ok(())
    }
}

/// Serves the calls of a peer that has logged in.
struct NodeServer {
    node: Rc<Node>,
}

fn owned_text(reader: capnp::text::Reader<'_>) -> Result<String, capnp::Error> {
    Ok(reader.to_string()?)
}

impl wire::Server for NodeServer {
    async fn ask(
        self: Rc<Self>,
        params: wire::AskParams,
        mut results: wire::AskResults,
    ) -> Result<(), capnp::Error> {
        let (endpoint, request) = read_request(params.get()?.get_ask()?)?;
        let reply = host::request_grant(&self.node, &endpoint, request).await;
        write_answer(results.get().init_answer(), &reply);
        Ok(())
    }

    async fn end(
        self: Rc<Self>,
        params: wire::EndParams,
        _: wire::EndResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = owned_text(params.get_endpoint()?)?;
        let grant = (params.get_fence(), params.get_grant());
        host::end_and_relist(&self.node, &endpoint, grant, params.get_missing()).await;
        Ok(())
    }

    async fn held(
        self: Rc<Self>,
        params: wire::HeldParams,
        mut results: wire::HeldResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = owned_text(params.get_endpoint()?)?;
        let grants = peer::held_grants(&self.node, &endpoint, params.get_fence());
        let mut list = results.get().init_grants(grants.len() as u32);
        for (index, (fence, id, slot)) in grants.iter().enumerate() {
            write_held(
                list.reborrow().get(index as u32),
                *fence,
                *id,
                slot.as_ref(),
            );
        }
        Ok(())
    }

    async fn wants(
        self: Rc<Self>,
        params: wire::WantsParams,
        mut results: wire::WantsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let vm = owned_text(params.get_vm()?)?;
        let endpoint = owned_text(params.get_endpoint()?)?;
        let demands = read_demands(params.get_wants()?)?;
        loads::set_demands(&self.node, &vm, &endpoint, demands);
        let backlog = self.node.scheduler.borrow().backlog();
        let mut list = results.get().init_backlog_ms(backlog.len() as u32);
        for (index, wait) in backlog.values().enumerate() {
            list.set(index as u32, millis(*wait));
        }
        Ok(())
    }

    async fn permit(
        self: Rc<Self>,
        params: wire::PermitParams,
        mut results: wire::PermitResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = owned_text(params.get_endpoint()?)?;
        let model = Model::new(params.get_adapter()?.to_str()?, params.get_version());
        let started = host::start_load(&self.node, &endpoint, &model);
        results.get().set_started(started);
        Ok(())
    }

    async fn landed(
        self: Rc<Self>,
        params: wire::LandedParams,
        _: wire::LandedResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = owned_text(params.get_endpoint()?)?;
        let model = Model::new(params.get_adapter()?.to_str()?, params.get_version());
        self.node
            .scheduler
            .borrow_mut()
            .load_ended(&endpoint, &model, true);
        Ok(())
    }

    async fn judge(
        self: Rc<Self>,
        params: wire::JudgeParams,
        mut results: wire::JudgeResults,
    ) -> Result<(), capnp::Error> {
        let fingerprint = params.get()?.get_print();
        let admission = self
            .node
            .suspect_tracker
            .borrow_mut()
            .admit(clock::now(), fingerprint);
        results.get().set_verdict(suspicion::to_number(admission));
        Ok(())
    }

    async fn give_up(
        self: Rc<Self>,
        params: wire::GiveUpParams,
        _: wire::GiveUpResults,
    ) -> Result<(), capnp::Error> {
        let fingerprint = params.get()?.get_print();
        self.node
            .suspect_tracker
            .borrow_mut()
            .abandoned(fingerprint);
        Ok(())
    }

    async fn ran(
        self: Rc<Self>,
        params: wire::RanParams,
        _: wire::RanResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let scope = match params.get_message() {
            0 => Scope::Request,
            number => Scope::Part(number as usize - 1),
        };
        let run = suspicion::Record {
            feature: Feature {
                fingerprint: params.get_print(),
                scope,
            },
            request: params.get_request(),
            endpoint: owned_text(params.get_endpoint()?)?,
            attempt: params.get_attempt(),
            crashed: params.get_crashed(),
        };
        suspicion::record_run(&self.node, &run);
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: wire::ChangesParams,
        mut results: wire::ChangesResults,
    ) -> Result<(), capnp::Error> {
        let (revision, entries) = sync::changes(&self.node, params.get()?.get_after());
        results.get().set_revision(revision);
        results.get().set_entries(&entries);
        Ok(())
    }

    async fn promise(
        self: Rc<Self>,
        _: wire::PromiseParams,
        mut results: wire::PromiseResults,
    ) -> Result<(), capnp::Error> {
        let time = self.node.lease.borrow_mut().promise(clock::now());
        results.get().set_ms(millis(time));
        results
            .get()
            .set_revision(self.node.config.borrow().revision);
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: wire::CancelParams,
        _: wire::CancelResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (endpoint, entry) = (
            owned_text(params.get_endpoint()?)?,
            owned_text(params.get_entry()?)?,
        );
        host::cancel(&self.node, &endpoint, &entry, params.get_id());
        Ok(())
    }

    async fn query(
        self: Rc<Self>,
        params: wire::QueryParams,
        mut results: wire::QueryResults,
    ) -> Result<(), capnp::Error> {
        let line = owned_text(params.get()?.get_line()?)?;
        let answer = operator::local_answer(&self.node, &line);
        results.get().set_result(answer.to_string());
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: wire::BorrowParams,
        mut results: wire::BorrowResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let organisation = params.get_organisation()?.to_str()?;
        let (needed, wanted) = (params.get_needed(), params.get_wanted());
        let loan = quota::lend(&self.node, organisation, needed, wanted);
        write_loan(results.get().init_loan(), loan);
        Ok(())
    }

    async fn give_back(
        self: Rc<Self>,
        params: wire::GiveBackParams,
        _: wire::GiveBackResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let organisation = params.get_organisation()?.to_str()?;
        let mut tracker = self.node.quotas.tracker.borrow_mut();
        tracker.give_back(clock::now(), organisation, params.get_amount());
        Ok(())
    }
}

/// Writes a request for a grant that may wait for `wait`.
pub fn write_request(
    mut to: ask::Builder<'_>,
    endpoint: &str,
    request: &queue::Request,
    wait: Duration,
) {
    to.set_endpoint(endpoint);
    to.set_entry(&request.entry);
    to.set_organisation(&request.organisation);
    to.set_weight(request.weight);
    if let Some(model) = &request.model {
        to.set_adapter(&model.adapter);
        to.set_version(model.version);
    }
    to.set_class(request.class as u8);
    to.set_cost(request.cost);
    to.set_wait_ms(millis(wait));
    to.set_alone(request.alone);
    to.set_patient(request.wait_if_busy);
    to.set_id(request.ticket);
}

fn read_request(from: ask::Reader<'_>) -> Result<(String, queue::Request), capnp::Error> {
    let now = clock::now();
    let adapter = owned_text(from.get_adapter()?)?;
    let model = (!adapter.is_empty()).then(|| Model::new(&adapter, from.get_version()));
    let request = queue::Request {
        ticket: from.get_id(),
        entry: owned_text(from.get_entry()?)?,
        organisation: owned_text(from.get_organisation()?)?,
        weight: from.get_weight(),
        model,
        class: Class::from_number(from.get_class()),
        cost: from.get_cost(),
        since: now,
        deadline: now + Duration::from_millis(u64::from(from.get_wait_ms())),
        alone: from.get_alone(),
        wait_if_busy: from.get_patient(),
    };
    Ok((owned_text(from.get_endpoint()?)?, request))
}

fn write_answer(to: answer::Builder<'_>, reply: &Reply) {
    match reply {
        Ok(grant) => {
            let mut to = to.init_grant();
            to.set_id(grant.id);
            to.set_fence(grant.fence);
            if let Some(slot) = &grant.slot {
                to.set_slot(slot.to_string());
            }
        }
        Err(refusal) => {
            let mut to = to.init_refusal();
            to.set_reason(refusal.reason.name());
            to.set_retry_ms(millis(refusal.retry_after));
        }
    }
}

/// Reads the reply to a request for a grant.
pub fn read_answer(from: answer::Reader<'_>) -> Result<Reply, capnp::Error> {
    match from.which()? {
        answer::Which::Grant(grant) => {
            let grant = grant?;
            Ok(Ok(Grant {
                id: grant.get_id(),
                fence: grant.get_fence(),
                slot: Name::parse(grant.get_slot()?.to_str()?),
            }))
        }
        answer::Which::Refusal(refusal) => {
            let refusal = refusal?;
            Ok(Err(Refusal {
                reason: Reason::from_name(refusal.get_reason()?.to_str()?),
                retry_after: Duration::from_millis(u64::from(refusal.get_retry_ms())),
            }))
        }
    }
}

fn write_loan(mut to: loan::Builder<'_>, loan: Loan) {
    match loan {
        Loan::Amount(amount, validity) => {
            to.set_amount(amount);
            to.set_valid_ms(millis(validity));
        }
        // A wait of a part of a millisecond is none for the borrower.
        Loan::Wait(wait) => to.set_wait_ms(millis(wait).saturating_add(1)),
        Loan::Unknown => to.set_unknown(()),
    }
}

/// Reads the reply to a request for an amount of a quota.
pub fn read_loan(from: loan::Reader<'_>) -> Result<Loan, capnp::Error> {
    let validity = Duration::from_millis(u64::from(from.get_valid_ms()));
    Ok(match from.which()? {
        loan::Which::Amount(amount) => Loan::Amount(amount, validity),
        loan::Which::WaitMs(wait) => Loan::Wait(Duration::from_millis(u64::from(wait))),
        loan::Which::Unknown(()) => Loan::Unknown,
    })
}

fn write_held(mut to: held::Builder<'_>, fence: u64, id: u64, slot: Option<&Name>) {
    to.set_fence(fence);
    to.set_id(id);
    if let Some(slot) = slot {
        to.set_slot(slot.to_string());
    }
}

/// Writes an endpoint's demands; times are sent as durations from now, since clocks differ.
pub fn write_demands(mut to: capnp::struct_list::Builder<'_, want::Owned>, demands: &[Demand]) {
    let now = clock::now();
    for (index, demand) in demands.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_adapter(&demand.model.adapter);
        to.set_version(demand.model.version);
        to.set_organisation(&demand.organisation);
        to.set_class(demand.class as u8);
        to.set_waiting(demand.waiting as u32);
        to.set_age_ms(millis(now.saturating_sub(demand.since)));
        to.set_left_ms(millis(demand.deadline.saturating_sub(now)));
    }
}

fn read_demands(
    from: capnp::struct_list::Reader<'_, want::Owned>,
) -> Result<Vec<Demand>, capnp::Error> {
    let now = clock::now();
    from.iter()
        .map(|demand| {
            Ok(Demand {
                model: Model::new(demand.get_adapter()?.to_str()?, demand.get_version()),
                organisation: owned_text(demand.get_organisation()?)?,
                class: Class::from_number(demand.get_class()),
                waiting: demand.get_waiting() as usize,
                since: now.saturating_sub(Duration::from_millis(u64::from(demand.get_age_ms()))),
                deadline: now + Duration::from_millis(u64::from(demand.get_left_ms())),
            })
        })
        .collect()
}
