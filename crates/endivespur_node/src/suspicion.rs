//! Sharing which requests are suspected of crashing endpoints.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::hash;
use endivespur_core::suspect::{Admission, Fingerprint};

use crate::clock;
use crate::node::{Node, sleep};
use crate::peer;

/// The time for which a suspicion is kept.
pub const MEMORY: Duration = Duration::from_hours(24);
/// The pause before a suspect asks again whether it may run.
const WAIT: Duration = Duration::from_millis(200);

/// Returns the number of a verdict on the wire.
pub fn number(verdict: Admission) -> u8 {
    match verdict {
        Admission::Clear => 0,
        Admission::Alone => 1,
        Admission::Quarantined => 2,
        Admission::Wait => 3,
    }
}

fn verdict(number: u8) -> Admission {
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

/// Returns the address of a fingerprint's home, nothing if it is this node.
fn home(node: &Node, print: Fingerprint) -> Option<String> {
    let table = node.table.borrow();
    let region = &node.settings.region;
    let live: Vec<&str> = table
        .nodes()
        .filter(|(_, record)| record.region == *region)
        .map(|(vm, _)| vm.as_str())
        .collect();
    let vm = hash::winner(&print.to_string(), live.into_iter())?;
    if vm == node.settings.vm {
        return None;
    }
    table.node(vm).map(|record| record.address.clone())
}

/// Decides how a request is run, waiting while a suspected twin of it runs.
///
/// Returns [`Admission::Wait`] if the twin still runs at `deadline`.
pub async fn judge(node: &Rc<Node>, print: Fingerprint, deadline: Time) -> Admission {
    let known = node.suspects.borrow().contains_key(&print);
    if !known {
        return Admission::Clear;
    }
    loop {
        let judged = match home(node, print) {
            None => node.court.borrow_mut().admit(clock::now(), print),
            Some(address) => match peer::judge(node, &address, print).await {
                Ok(number) => verdict(number),
                // Without its home a suspect still runs alone.
                Err(_) => Admission::Alone,
            },
        };
        if judged != Admission::Wait || clock::now() >= deadline {
            return judged;
        }
        sleep(WAIT).await;
    }
}

/// Lets twins of a suspect go on, since its run alone never began.
pub async fn give_up(node: &Rc<Node>, print: Fingerprint) {
    match home(node, print) {
        None => node.court.borrow_mut().abandoned(print),
        Some(address) => peer::give_up(node, &address, print).await,
    }
}

/// Notes in this node how a run went.
pub fn note(node: &Node, print: Fingerprint, endpoint: &str, attempt: u64, crashed: bool) {
    let now = clock::now();
    let mut suspects = node.suspects.borrow_mut();
    suspects.retain(|_, at| *at + MEMORY > now);
    if crashed {
        suspects.insert(print, now);
        node.court
            .borrow_mut()
            .crashed(now, print, endpoint, attempt);
    } else {
        suspects.remove(&print);
        node.court.borrow_mut().completed(print);
    }
}

/// Tells each node of the region how a run went; crashes are rare, so that this is cheap.
pub async fn spread(
    node: &Rc<Node>,
    print: Fingerprint,
    endpoint: &str,
    attempt: u64,
    crashed: bool,
) {
    note(node, print, endpoint, attempt, crashed);
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
        .map(|address| peer::ran(node, address, print, endpoint, attempt, crashed));
    futures_util::future::join_all(calls).await;
}
