//! Encodes and decodes the messages between gateways.

use std::time::Duration;

use capnp::struct_list;
use endivespur_core::clock::millis;
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::feed::{Change, Item, Page};
use endivespur_core::gateway::limit::Decision;
use endivespur_core::gateway::placement::Request;
use endivespur_core::gateway::prefix::{MAX_PROMPT_PARTS, Part};
use endivespur_core::gateway::quota::keeper::Loan;
use endivespur_core::gateway::reach::Reach;
use endivespur_core::gateway::room::Hold;
use endivespur_core::gateway::stream::{Batch, Origin};
use endivespur_core::gateway::transfer::Packed;
use endivespur_wire::gateway_capnp::{
    self, ask, item, loan, news, reply, room_reply, streams, token_reply, update, value_reply,
};

use crate::owned::Reply;
use crate::values::Answer;

/// An update from a watcher to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The store's changes, and the time left in which ended registrations may be renewed.
    Changes(Change, Duration),
    /// The watcher has no recent response from the store itself.
    Stale,
}

/// Writes a request for a grant that may wait for `wait`.
pub fn write_request(mut to: ask::Builder<'_>, endpoint: &str, request: &Request, wait: Duration) {
    to.set_endpoint(endpoint);
    to.set_base(&request.weights.base);
    to.set_adapter(&request.weights.adapter);
    to.set_tokens(u64::from(request.tokens));
    to.set_bounded(request.max_delay.is_some());
    let max_delay = request.max_delay.unwrap_or_default();
    to.set_max_backlog_ms(millis(max_delay));
    to.set_wait_ms(millis(wait));
    to.set_only_resident(request.only_resident);
    to.set_due_ms(millis(request.due_in));
    to.set_max_pause_ms(millis(request.max_pause.unwrap_or_default()));
    to.set_output_tokens(u64::from(request.output_tokens));
    to.set_end_ms(millis(request.end_in.unwrap_or_default()));
    to.set_team(&request.team);
    let mut parts = to.init_parts(request.parts.len() as u32);
    for (index, part) in request.parts.iter().enumerate() {
        let mut to = parts.reborrow().get(index as u32);
        to.set_id(&part.id);
        to.set_tokens(u64::from(part.tokens));
    }
}

/// Reads a request for a grant: the engine, the request, and how long it may wait.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_request(from: ask::Reader<'_>) -> Result<(String, Request, Duration), capnp::Error> {
    let parts: Result<Vec<Part>, capnp::Error> = from
        .get_parts()?
        .iter()
        .take(MAX_PROMPT_PARTS)
        .map(|part| {
            Ok(Part {
                id: part.get_id()?.to_string()?,
                tokens: read_tokens(part.get_tokens()),
            })
        })
        .collect();
    let max_delay = Duration::from_millis(u64::from(from.get_max_backlog_ms()));
    let wait = Duration::from_millis(u64::from(from.get_wait_ms()));
    let request = Request {
        weights: Weights::new(from.get_base()?.to_str()?, from.get_adapter()?.to_str()?),
        tokens: read_tokens(from.get_tokens()),
        parts: parts?,
        max_delay: from.get_bounded().then_some(max_delay),
        only_resident: from.get_only_resident(),
        due_in: Duration::from_millis(u64::from(from.get_due_ms())),
        max_pause: read_time(from.get_max_pause_ms()),
        output_tokens: read_tokens(from.get_output_tokens()),
        end_in: read_time(from.get_end_ms()),
        is_last: !from.get_bounded() || max_delay >= wait,
        team: from.get_team()?.to_string()?,
        // The owner knows it by its own configuration.
        team_share: 1.0,
    };
    Ok((from.get_endpoint()?.to_string()?, request, wait))
}

/// Reads a number of tokens, which older gateways pass on as a caller named it: as when it is decoded, larger numbers
/// than `u32::MAX` count as that.
fn read_tokens(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Reads a time that is 0 if the sender does not know it, as gateways of older releases send.
fn read_time(ms: u32) -> Option<Duration> {
    (ms > 0).then(|| Duration::from_millis(u64::from(ms)))
}

/// Reads the reply to a request for a grant.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_reply(from: reply::Reader<'_>) -> Result<Reply, capnp::Error> {
    Ok(match from.which()? {
        reply::Which::Granted(grant) => Reply::Granted(grant),
        reply::Which::BusyMs(backlog) => Reply::Busy(Duration::from_millis(u64::from(backlog))),
        reply::Which::NotOwner(()) => Reply::NotOwner,
        reply::Which::Late(()) => Reply::Late,
    })
}

/// Writes the reply to a request for a token.
pub fn write_decision(mut to: token_reply::Builder<'_>, decision: Decision) {
    match decision {
        Decision::Granted => to.set_granted(()),
        Decision::Wait(wait) => to.set_wait_ms(millis(wait)),
        Decision::Unlimited => to.set_unlimited(()),
    }
}

/// Reads the reply to a request for a token.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_decision(from: token_reply::Reader<'_>) -> Result<Decision, capnp::Error> {
    Ok(match from.which()? {
        token_reply::Which::Granted(()) => Decision::Granted,
        token_reply::Which::WaitMs(wait) => Decision::Wait(Duration::from_millis(u64::from(wait))),
        token_reply::Which::Unlimited(()) => Decision::Unlimited,
    })
}

/// Writes the reply to a request for an amount of a quota.
pub fn write_loan(mut to: loan::Builder<'_>, loan: Loan) {
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
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_loan(from: loan::Reader<'_>) -> Result<Loan, capnp::Error> {
    let validity = Duration::from_millis(u64::from(from.get_valid_ms()));
    Ok(match from.which()? {
        loan::Which::Amount(amount) => Loan::Amount(amount, validity),
        loan::Which::WaitMs(wait) => Loan::Wait(Duration::from_millis(u64::from(wait))),
        loan::Which::Unknown(()) => Loan::Unknown,
    })
}

/// Encodes what a gateway says about its link to an endpoint.
pub fn encode_reach(reach: Reach) -> gateway_capnp::Reach {
    match reach {
        Reach::Reached => gateway_capnp::Reach::Reached,
        Reach::Unreached => gateway_capnp::Reach::Unreached,
        Reach::Unknown => gateway_capnp::Reach::Unknown,
    }
}

/// Decodes what a gateway says about its link to an endpoint.
pub fn decode_reach(reach: gateway_capnp::Reach) -> Reach {
    match reach {
        gateway_capnp::Reach::Reached => Reach::Reached,
        gateway_capnp::Reach::Unreached => Reach::Unreached,
        gateway_capnp::Reach::Unknown => Reach::Unknown,
    }
}

/// Writes the reply to a request for room.
pub fn write_room(mut to: room_reply::Builder<'_>, reply: Result<Hold, Duration>) {
    match reply {
        Ok(hold) => to.set_held(hold),
        Err(wait) => to.set_wait_ms(millis(wait)),
    }
}

/// Reads the reply to a request for room.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_room(from: room_reply::Reader<'_>) -> Result<Result<Hold, Duration>, capnp::Error> {
    Ok(match from.which()? {
        room_reply::Which::Held(hold) => Ok(hold),
        room_reply::Which::WaitMs(wait) => Err(Duration::from_millis(u64::from(wait))),
    })
}

/// Writes streams by the version that began them.
///
/// # Errors
///
/// Returns an error if the message is too large.
pub fn write_streams(
    mut to: struct_list::Builder<'_, streams::Owned>,
    batch: &Batch,
) -> Result<(), capnp::Error> {
    for (index, (origin, keys)) in batch.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_service(&origin.service);
        to.set_software(&origin.software);
        to.set_keys(&keys[..])?;
    }
    Ok(())
}

/// Reads streams by the version that began them.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_streams(from: struct_list::Reader<'_, streams::Owned>) -> Result<Batch, capnp::Error> {
    from.iter()
        .map(|from| {
            let (service, software) = (from.get_service()?, from.get_software()?);
            let origin = Origin::new(service.to_str()?, software.to_str()?);
            Ok((origin, from.get_keys()?.iter().collect()))
        })
        .collect()
}

/// Writes an update for a follower of an older release, which reads large values from the store.
pub fn write_news(mut to: news::Builder<'_>, update: &Update) {
    match update {
        Update::Stale => to.set_away(()),
        Update::Changes(Change::Compacted, _) => to.set_compacted(()),
        Update::Changes(Change::Changes(page), grace) => {
            let mut to = to.init_changes();
            to.set_revision(page.revision);
            to.set_settling_ms(millis(*grace));
            let mut large = to.reborrow().init_large(page.large.len() as u32);
            for (index, (key, _)) in page.large.iter().enumerate() {
                large.set(index as u32, key);
            }
            write_items(to.init_items(page.items.len() as u32), &page.items);
        }
    }
}

/// Reads an update and the keys of large values from a gateway of an older release.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_news(from: news::Reader<'_>) -> Result<(Update, Vec<String>), capnp::Error> {
    Ok(match from.which()? {
        news::Which::Away(()) => (Update::Stale, Vec::new()),
        news::Which::Compacted(()) => {
            let update = Update::Changes(Change::Compacted, Duration::ZERO);
            (update, Vec::new())
        }
        news::Which::Changes(from) => {
            let from = from?;
            let grace = Duration::from_millis(u64::from(from.get_settling_ms()));
            let keys = from.get_large()?.iter();
            let keys: Result<Vec<String>, capnp::Error> =
                keys.map(|key| Ok(key?.to_string()?)).collect();
            let page = Page {
                items: read_items(from.get_items()?)?,
                revision: from.get_revision(),
                ..Page::default()
            };
            (Update::Changes(Change::Changes(page), grace), keys?)
        }
    })
}

/// Writes an update for a follower.
pub fn write_update(mut to: update::Builder<'_>, update: &Update) {
    match update {
        Update::Stale => to.set_stale(()),
        Update::Changes(Change::Compacted, _) => to.set_compacted(()),
        Update::Changes(Change::Changes(page), grace) => {
            let mut to = to.init_changes();
            to.set_revision(page.revision);
            to.set_small_revision(page.small_revision);
            to.set_grace_ms(millis(*grace));
            to.set_gap_start(page.gap.start);
            to.set_gap_end(page.gap.end);
            let mut large = to.reborrow().init_large(page.large.len() as u32);
            for (index, (key, revision)) in page.large.iter().enumerate() {
                let mut to = large.reborrow().get(index as u32);
                to.set_key(key);
                to.set_revision(*revision);
            }
            write_items(to.init_items(page.items.len() as u32), &page.items);
        }
    }
}

/// Reads an update from a watcher.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn read_update(from: update::Reader<'_>) -> Result<Update, capnp::Error> {
    Ok(match from.which()? {
        update::Which::Stale(()) => Update::Stale,
        update::Which::Compacted(()) => Update::Changes(Change::Compacted, Duration::ZERO),
        update::Which::Changes(from) => {
            let grace = Duration::from_millis(u64::from(from.get_grace_ms()));
            let large: Result<Vec<(String, u64)>, capnp::Error> = from
                .get_large()?
                .iter()
                .map(|large| Ok((large.get_key()?.to_string()?, large.get_revision())))
                .collect();
            let page = Page {
                items: read_items(from.get_items()?)?,
                large: large?,
                revision: from.get_revision(),
                small_revision: from.get_small_revision(),
                gap: from.get_gap_start()..from.get_gap_end(),
            };
            Update::Changes(Change::Changes(page), grace)
        }
    })
}

fn write_items(mut to: struct_list::Builder<'_, item::Owned>, items: &[Item]) {
    for (index, item) in items.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_key(&item.key);
        to.set_present(item.value.is_some());
        to.set_value(item.value.as_deref().unwrap_or_default());
        to.set_revision(item.revision);
    }
}

fn read_items(from: struct_list::Reader<'_, item::Owned>) -> Result<Vec<Item>, capnp::Error> {
    from.iter()
        .map(|item| {
            let value = item.get_present().then(|| item.get_value()).transpose()?;
            Ok(Item {
                key: item.get_key()?.to_string()?,
                value: value.map(<[u8]>::to_vec),
                revision: item.get_revision(),
            })
        })
        .collect()
}

/// Writes the answer to a request for a piece of a large value.
pub fn write_value(mut to: value_reply::Builder<'_>, answer: &Answer) {
    match answer {
        Answer::Piece(packed, bytes) => {
            let mut to = to.init_piece();
            to.set_revision(packed.revision);
            to.set_base(packed.base);
            to.set_digest(packed.digest);
            to.set_size(packed.size as u32);
            to.set_bytes(bytes);
        }
        Answer::Busy(wait) => to.set_busy_ms(millis(*wait)),
        Answer::Missing => to.set_missing(()),
    }
}

/// Reads the answer to a request for a piece of at most `max_bytes`.
///
/// # Errors
///
/// Returns an error if the message is malformed or the piece is larger.
pub fn read_value(from: value_reply::Reader<'_>, max_bytes: usize) -> Result<Answer, capnp::Error> {
    Ok(match from.which()? {
        value_reply::Which::BusyMs(ms) => Answer::Busy(Duration::from_millis(u64::from(ms))),
        value_reply::Which::Missing(()) => Answer::Missing,
        value_reply::Which::Piece(from) => {
            let bytes = from.get_bytes()?;
            if bytes.len() > max_bytes {
                return Err(capnp::Error::failed("piece too large".to_string()));
            }
            let packed = Packed {
                revision: from.get_revision(),
                base: from.get_base(),
                digest: from.get_digest(),
                size: from.get_size() as usize,
            };
            Answer::Piece(packed, bytes.to_vec())
        }
    })
}
