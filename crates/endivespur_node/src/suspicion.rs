//! Shares within the region which requests are suspected of crashing endpoints.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::hash;
use endivespur_core::suspect::{Admission, Fingerprint};
use endivespur_net::store::{Error, Write};
use log::warn;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::node::{Node, sleep};
use crate::peer;

/// The time for which a suspected request is remembered.
pub const RETENTION: Duration = Duration::from_hours(24);
/// The prefix of the stored records; it is not watched, since crashes are also broadcast.
const PREFIX: &str = "endivespur-suspects/";
/// The delay before a record is written again.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The delay before a suspected request asks again for its admission.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the number that stands for an admission on the wire.
pub fn to_number(admission: Admission) -> u8 {
    match admission {
        Admission::Clear => 0,
        Admission::Alone => 1,
        Admission::Quarantined => 2,
        Admission::Wait => 3,
    }
}

/// Returns the admission for a number on the wire.
fn from_number(number: u8) -> Admission {
    match number {
        0 => Admission::Clear,
        1 => Admission::Alone,
        2 => Admission::Quarantined,
        _ => Admission::Wait,
    }
}

/// Returns the fingerprint of a request.
pub fn fingerprint(organisation: &str, adapter: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [organisation.as_bytes(), adapter.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Returns the address of the node that tracks a fingerprint, `None` if it is this node.
///
/// Rendezvous hashing over the region's nodes selects the node, the fingerprint's home.
fn home_address(node: &Node, fingerprint: Fingerprint) -> Option<String> {
    let table = node.table.borrow();
    let region = &node.settings.region;
    let live: Vec<&str> = table
        .nodes()
        .filter(|(_, record)| record.region == *region)
        .map(|(vm, _)| vm.as_str())
        .collect();
    let vm = hash::winner(&fingerprint.to_string(), live.into_iter())?;
    if vm == node.settings.vm {
        return None;
    }
    table.node(vm).map(|record| record.address.clone())
}

/// Decides how a request is run; waits while a suspected request with the same fingerprint runs.
///
/// Returns [`Admission::Wait`] if that request still runs at `deadline`.
pub async fn admit(node: &Rc<Node>, fingerprint: Fingerprint, deadline: Time) -> Admission {
    let suspected = node.suspects.borrow().contains_key(&fingerprint);
    if !suspected {
        return Admission::Clear;
    }
    loop {
        let admission = match home_address(node, fingerprint) {
            None => node
                .suspect_tracker
                .borrow_mut()
                .admit(clock::now(), fingerprint),
            Some(address) => match peer::admit(node, &address, fingerprint).await {
                Ok(number) => from_number(number),
                // If the home is unreachable, a suspected request still runs alone.
                Err(_) => Admission::Alone,
            },
        };
        if admission != Admission::Wait || clock::now() >= deadline {
            return admission;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Unblocks requests with the same fingerprint if the one that was admitted to run alone did not
/// run.
pub async fn abandon(node: &Rc<Node>, fingerprint: Fingerprint) {
    match home_address(node, fingerprint) {
        None => node.suspect_tracker.borrow_mut().abandoned(fingerprint),
        Some(address) => peer::abandon(node, &address, fingerprint).await,
    }
}

/// Records in this node whether a run crashed its endpoint.
pub fn record_run(
    node: &Node,
    fingerprint: Fingerprint,
    endpoint: &str,
    attempt: u64,
    crashed: bool,
) {
    let now = clock::now();
    let mut suspects = node.suspects.borrow_mut();
    suspects.retain(|_, at| *at + RETENTION > now);
    if crashed {
        suspects.insert(fingerprint, now);
        node.suspect_tracker
            .borrow_mut()
            .crashed(now, fingerprint, endpoint, attempt);
    } else {
        suspects.remove(&fingerprint);
        node.suspect_tracker.borrow_mut().completed(fingerprint);
    }
}

/// A run of a suspected request, as stored for the daemons that start later.
#[derive(Serialize, Deserialize)]
struct Record {
    fingerprint: Fingerprint,
    endpoint: String,
    attempt: u64,
    crashed: bool,
}

impl Record {
    /// Returns the key in the store; a run without a crash replaces the one before it.
    fn key(&self) -> String {
        if self.crashed {
            // Attempts are numbered for each endpoint.
            let Self {
                fingerprint,
                endpoint,
                attempt,
                ..
            } = self;
            format!("{PREFIX}{fingerprint:016x}/{endpoint}/{attempt}")
        } else {
            format!("{PREFIX}{:016x}/completed", self.fingerprint)
        }
    }
}

/// Writes a record to the store, and retries while the store is unavailable.
async fn store_record(node: Rc<Node>, record: Record) {
    let value = serde_json::json!(record).to_string();
    let mut is_first = true;
    loop {
        match write(&node, &record.key(), &value).await {
            Ok(()) => return,
            Err(error) if is_first => warn!(event = "suspect"; "record not stored: {error}"),
            Err(_) => {}
        }
        is_first = false;
        sleep(STORE_RETRY_DELAY).await;
    }
}

async fn write(node: &Node, key: &str, value: &str) -> Result<(), Error> {
    let lease = node.store.grant(RETENTION).await?;
    let write = Write::new(key, value).with_lease(lease);
    node.store.write_one(write).await?;
    Ok(())
}

/// Loads the stored records of suspected requests, in the order in which they were written.
///
/// # Errors
///
/// Returns the cause if the store does not respond.
pub async fn load(node: &Node) -> Result<(), Error> {
    let (_, mut pairs) = node.store.list(PREFIX).await?;
    pairs.sort_by_key(|pair| pair.revision);
    for text in pairs.into_iter().filter_map(|pair| pair.value) {
        match serde_json::from_str::<Record>(&text) {
            Ok(run) => {
                record_run(
                    node,
                    run.fingerprint,
                    &run.endpoint,
                    run.attempt,
                    run.crashed,
                );
            }
            Err(error) => warn!(event = "suspect"; "unreadable record: {error}"),
        }
    }
    Ok(())
}

/// Notifies each node of the region whether a run crashed its endpoint.
///
/// Crashes are rare, so that notifying every node is cheap.
pub async fn broadcast_run(
    node: &Rc<Node>,
    fingerprint: Fingerprint,
    endpoint: &str,
    attempt: u64,
    crashed: bool,
) {
    record_run(node, fingerprint, endpoint, attempt, crashed);
    let record = Record {
        fingerprint,
        endpoint: endpoint.to_string(),
        attempt,
        crashed,
    };
    node.spawn(store_record(node.clone(), record));
    let region = &node.settings.region;
    let addresses: Vec<String> = node
        .table
        .borrow()
        .nodes()
        .filter(|(vm, record)| record.region == *region && **vm != node.settings.vm)
        .map(|(_, record)| record.address.clone())
        .collect();
    let calls = addresses
        .iter()
        .map(|address| peer::report_run(node, address, fingerprint, endpoint, attempt, crashed));
    futures_util::future::join_all(calls).await;
}
