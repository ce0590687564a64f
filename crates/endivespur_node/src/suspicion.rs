//! Shares within the region which requests are suspected of crashing endpoints.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::hash;
use endivespur_core::suspect::{Admission, Fingerprint};

use crate::clock;
use crate::node::{Node, sleep};
use crate::peer;

/// The time for which a suspected request is remembered.
pub const RETENTION: Duration = Duration::from_hours(24);
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
