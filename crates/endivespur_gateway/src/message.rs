//! The messages between gateways, written and read.

use std::time::Duration;

use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::feed::{Change, Item, Page};
use endivespur_core::gateway::placement::Request;
use endivespur_core::gateway::prefix::Part;
use endivespur_wire::gateway_capnp::{ask, changes, news, reply};

use crate::owned::Reply;

/// What a gateway that watches the store tells one that follows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// The store's changes, and for how long registrations that have ended may come back.
    Told(Change, Duration),
    /// It does not hear the store itself.
    Away,
}

/// Writes an ask that may wait for `wait`.
pub fn write_ask(mut to: ask::Builder<'_>, endpoint: &str, ask: &Request, wait: Duration) {
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
pub fn read_ask(from: ask::Reader<'_>) -> Result<(String, Request, Duration), capnp::Error> {
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
    let ask = Request {
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

/// Writes what a follower is told.
pub fn write_news(mut to: news::Builder<'_>, news: &News) {
    match news {
        News::Away => to.set_away(()),
        News::Told(Change::Compacted, _) => to.set_compacted(()),
        News::Told(Change::Changes(page), settling) => {
            let mut to = to.init_changes();
            to.set_revision(page.revision);
            to.set_settling_ms(settling.as_millis() as u32);
            let mut large = to.reborrow().init_large(page.large_keys.len() as u32);
            for (index, key) in page.large_keys.iter().enumerate() {
                large.set(index as u32, key);
            }
            let mut items = to.init_items(page.items.len() as u32);
            for (index, item) in page.items.iter().enumerate() {
                let mut to = items.reborrow().get(index as u32);
                to.set_key(&item.key);
                to.set_present(item.value.is_some());
                to.set_value(item.value.as_deref().unwrap_or_default());
                to.set_revision(item.revision);
            }
        }
    }
}

/// Reads what a watcher tells.
///
/// # Errors
///
/// Returns an error if the message has an unknown form.
pub fn read_news(from: news::Reader<'_>) -> Result<News, capnp::Error> {
    Ok(match from.which()? {
        news::Which::Away(()) => News::Away,
        news::Which::Compacted(()) => News::Told(Change::Compacted, Duration::ZERO),
        news::Which::Changes(from) => {
            let from = from?;
            let settling = Duration::from_millis(u64::from(from.get_settling_ms()));
            News::Told(Change::Changes(read_page(from)?), settling)
        }
    })
}

fn read_page(from: changes::Reader<'_>) -> Result<Page, capnp::Error> {
    let items: Result<Vec<Item>, capnp::Error> = from
        .get_items()?
        .iter()
        .map(|item| {
            let value = item.get_present().then(|| item.get_value()).transpose()?;
            Ok(Item {
                key: item.get_key()?.to_string()?,
                value: value.map(<[u8]>::to_vec),
                revision: item.get_revision(),
            })
        })
        .collect();
    let large_keys: Result<Vec<String>, capnp::Error> = from
        .get_large()?
        .iter()
        .map(|key| Ok(key?.to_string()?))
        .collect();
    Ok(Page {
        items: items?,
        large_keys: large_keys?,
        revision: from.get_revision(),
    })
}
