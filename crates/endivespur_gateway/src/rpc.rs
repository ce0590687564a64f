//! Serves the calls of other gateways, and writes and reads their messages.

use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use endivespur_clock as clock;
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::placement::Ask;
use endivespur_core::gateway::prefix::Part;
use endivespur_wire::gateway_capnp::{ask, owner, reply};
use futures_util::AsyncReadExt;
use log::debug;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::gossip;
use crate::owner::Reply;
use crate::state::State;

/// The pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves other gateways until the future is dropped.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                stream.set_nodelay(true).ok();
                state.spawn(connection(state.clone(), stream));
            }
            Err(error) => {
                debug!(event = "accept"; "{error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(state: Rc<State>, stream: TcpStream) {
    let (reader, writer) = stream.split();
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        Side::Server,
        capnp::message::ReaderOptions::new(),
    );
    let server: owner::Client = capnp_rpc::new_client(Server { state });
    let system = RpcSystem::new(Box::new(network), Some(server.client));
    if let Err(error) = system.await {
        debug!(event = "peer-connection"; "{error}");
    }
}

struct Server {
    state: Rc<State>,
}

impl owner::Server for Server {
    async fn ask(
        self: Rc<Self>,
        params: owner::AskParams,
        mut results: owner::AskResults,
    ) -> Result<(), capnp::Error> {
        let (endpoint, ask, wait) = read_ask(params.get()?.get_ask()?)?;
        let reply = self.state.owners.ask(&endpoint, &ask, wait).await;
        let mut to = results.get().init_reply();
        match reply {
            Reply::Granted(grant) => to.set_granted(grant),
            Reply::Busy(backlog) => to.set_busy_ms(backlog.as_millis() as u32),
            Reply::NotOwner => to.set_not_owner(()),
            Reply::Late => to.set_late(()),
        }
        Ok(())
    }

    async fn began(
        self: Rc<Self>,
        params: owner::BeganParams,
        _: owner::BeganResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = params.get_endpoint()?.to_str()?;
        self.state.owners.began(endpoint, params.get_grant());
        Ok(())
    }

    async fn crashed(
        self: Rc<Self>,
        params: owner::CrashedParams,
        _: owner::CrashedResults,
    ) -> Result<(), capnp::Error> {
        let print = params.get()?.get_print();
        let mut crashes = self.state.crashes.borrow_mut();
        crashes.crashed(clock::now(), print);
        Ok(())
    }

    async fn known(
        self: Rc<Self>,
        _: owner::KnownParams,
        mut results: owner::KnownResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_text(gossip::known(&self.state));
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: owner::ReleaseParams,
        _: owner::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let weights = Weights::new(
            params.get_base()?.to_str()?,
            params.get_adapter()?.to_str()?,
        );
        self.state.owners.release(
            params.get_endpoint()?.to_str()?,
            &weights,
            params.get_grant(),
            params.get_missing(),
        );
        Ok(())
    }
}

/// Writes an ask that may wait for `wait`.
pub fn write_ask(mut to: ask::Builder<'_>, endpoint: &str, ask: &Ask, wait: Duration) {
    to.set_endpoint(endpoint);
    to.set_base(&ask.weights.base);
    to.set_adapter(&ask.weights.adapter);
    to.set_tokens(ask.tokens);
    to.set_bounded(ask.max_delay.is_some());
    let most = ask.max_delay.unwrap_or_default();
    to.set_max_backlog_ms(most.as_millis() as u32);
    to.set_wait_ms(wait.as_millis() as u32);
    to.set_only_resident(ask.only_resident);
    to.set_due_ms(ask.due.as_millis() as u32);
    let mut parts = to.init_parts(ask.parts.len() as u32);
    for (index, part) in ask.parts.iter().enumerate() {
        let mut to = parts.reborrow().get(index as u32);
        to.set_id(&part.id);
        to.set_tokens(part.tokens);
    }
}

fn read_ask(from: ask::Reader<'_>) -> Result<(String, Ask, Duration), capnp::Error> {
    let parts: Result<Vec<Part>, capnp::Error> = from
        .get_parts()?
        .iter()
        .map(|part| {
            Ok(Part {
                id: part.get_id()?.to_string()?,
                tokens: part.get_tokens(),
            })
        })
        .collect();
    let most = Duration::from_millis(u64::from(from.get_max_backlog_ms()));
    let ask = Ask {
        weights: Weights::new(from.get_base()?.to_str()?, from.get_adapter()?.to_str()?),
        tokens: from.get_tokens(),
        parts: parts?,
        max_delay: from.get_bounded().then_some(most),
        only_resident: from.get_only_resident(),
        due: Duration::from_millis(u64::from(from.get_due_ms())),
    };
    let wait = Duration::from_millis(u64::from(from.get_wait_ms()));
    Ok((from.get_endpoint()?.to_string()?, ask, wait))
}

/// Reads the answer to an ask.
///
/// # Errors
///
/// Returns an error if the message has an unknown form.
pub fn read_reply(from: reply::Reader<'_>) -> Result<Reply, capnp::Error> {
    Ok(match from.which()? {
        reply::Which::Granted(grant) => Reply::Granted(grant),
        reply::Which::BusyMs(backlog) => Reply::Busy(Duration::from_millis(u64::from(backlog))),
        reply::Which::NotOwner(()) => Reply::NotOwner,
        reply::Which::Late(()) => Reply::Late,
    })
}
