//! The messages between gateways, written and read.

use std::time::Duration;

use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::placement::Ask;
use endivespur_core::gateway::prefix::Part;
use endivespur_wire::gateway_capnp::{ask, reply};

use crate::owned::Reply;

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

/// Reads an ask: the engine, what is asked, and how long it may wait.
///
/// # Errors
///
/// Returns an error if the message has an unknown form.
pub fn read_ask(from: ask::Reader<'_>) -> Result<(String, Ask, Duration), capnp::Error> {
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
