//! Keeps the lease, and follows the store's records of configuration, nodes and owners.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::config::{self, Entry};
use endivespur_core::lease::PROMISE_DURATION;
use endivespur_core::member::{Claim, NODES_PREFIX, Node as Record, OWNERS_PREFIX};
use endivespur_net::store::{Error, Pair, Update, Write};
use futures_util::future::join_all;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use crate::adopt;
use crate::clock;
use crate::node::{Node, sleep};
use crate::peer::{self, Failure};
use crate::suspicion;

/// The prefix of the watched keys.
const PREFIX: &str = "endivespur/";
/// The delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The interval at which peers are asked while the store is silent.
const PEER_INTERVAL: Duration = Duration::from_millis(500);
/// The silence after which a watch is closed and opened again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum time until the watch delivers a write.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// Renews the lease, which holds the node's record, until the future is dropped.
pub async fn keep_lease(node: Rc<Node>) {
    loop {
        let id = node.lease_id.get();
        let result = if id == 0 {
            register(&node).await
        } else {
            renew(&node, id).await
        };
        match result {
            Ok(()) => sleep(node.settings.lease.renew).await,
            Err(error) => {
                warn!(event = "lease"; "{error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Acquires a lease and writes the node's record under it.
async fn register(node: &Rc<Node>) -> Result<(), Error> {
    let sent = clock::now();
    let id = node.store.grant(node.settings.lease.ttl).await?;
    write_record(node, id).await?;
    node.lease_id.set(id);
    node.lease.borrow_mut().renewed(sent, clock::now());
    info!(event = "lease", process = node.process(); "registered");
    adopt::reconcile(node);
    Ok(())
}

/// Writes the node's record under the lease.
pub async fn write_record(node: &Node, lease: u64) -> Result<(), Error> {
    let record = Record {
        incarnation: node.incarnation.get(),
        address: node.address.clone(),
        callers: node.caller_address.clone(),
        region: node.settings.region.clone(),
        zone: node.settings.zone.clone(),
        leaving: node.stopping.get(),
        keeps_quotas: true,
    };
    let key = format!("{NODES_PREFIX}{}", node.settings.vm);
    let value = serde_json::json!(record).to_string();
    let write = Write::new(&key, &value).with_lease(lease);
    node.store.write_one(write).await?;
    Ok(())
}

/// Renews the lease; starts a new incarnation if the lease has lapsed.
async fn renew(node: &Rc<Node>, id: u64) -> Result<(), Error> {
    let sent = clock::now();
    if node.store.renew(id).await? {
        node.lease.borrow_mut().renewed(sent, clock::now());
        return Ok(());
    }
    // Other nodes may have taken over the endpoints, so this process continues under a new
    // incarnation.
    warn!(event = "lease-lapsed"; "claims have ended");
    node.lease_id.set(0);
    node.lease.borrow_mut().lapsed();
    node.incarnation.set(node.incarnation.get() + 1);
    adopt::reconcile(node);
    Ok(())
}

/// Keeps the configuration and the table consistent with the store.
pub async fn follow(node: Rc<Node>) {
    loop {
        if let Err(error) = follow_once(&node).await {
            warn!(event = "store-lost"; "{error}");
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Lists all records and follows the watch until it fails or misses a write.
async fn follow_once(node: &Rc<Node>) -> Result<(), Error> {
    let (revision, pairs) = node.store.list(PREFIX).await?;
    suspicion::load(node).await?;
    replace(node, revision, pairs);
    let mut watch = node.store.watch(PREFIX, revision + 1).await?;
    loop {
        let received = smol::future::or(async { Some(watch.next(WATCH_TIMEOUT).await) }, async {
            detect_missed_write(node).await;
            None
        });
        let Some(update) = received.await else {
            warn!(event = "configuration"; "watch missed a write, listing the records again");
            return Ok(());
        };
        advance(node, update?)?;
    }
}

/// Applies the records that the watch has delivered.
fn advance(node: &Rc<Node>, update: Update) -> Result<(), Error> {
    node.record_store_answer();
    if update.compacted {
        return Err(Error::Malformed {
            field: "the requested revision".to_string(),
        });
    }
    for pair in update.pairs {
        apply(node, pair);
    }
    node.config.borrow_mut().advance(update.revision);
    node.config_confirmed_at.set(clock::now());
    adopt::reconcile(node);
    Ok(())
}

/// Returns once the store holds a write that the watch has not delivered.
async fn detect_missed_write(node: &Rc<Node>) {
    loop {
        sleep(node.settings.store.check).await;
        let known = node.config.borrow().revision;
        let Ok(summary) = node.store.peek(PREFIX, known).await else {
            continue;
        };
        node.record_store_answer();
        if !summary.changed && summary.key_count == known_keys(node) {
            node.config.borrow_mut().advance(summary.revision);
            node.config_confirmed_at.set(clock::now());
            continue;
        }
        sleep(WATCH_DELAY).await;
        let behind = node.config.borrow().revision < summary.revision;
        let differs = node
            .store
            .peek(PREFIX, known)
            .await
            .is_ok_and(|latest| latest.key_count != known_keys(node));
        if behind || differs {
            return;
        }
    }
}

/// Returns the number of watched keys in this node's local view.
fn known_keys(node: &Node) -> u64 {
    let config = node.config.borrow().len();
    let table = node.table.borrow().len();
    (config + table) as u64
}

/// Compares the known nodes with the store's records; returns when the comparison was sent if they were the same.
pub async fn compare_nodes(node: &Node) -> Option<Time> {
    let sent = clock::now();
    let known = node.config.borrow().revision;
    // Only the nodes' records: the store reads all that lie under the prefix.
    let summary = node.store.peek(NODES_PREFIX, known).await.ok()?;
    // A store that came back from an older copy has a lower revision.
    let is_same = !summary.changed
        && summary.revision >= known
        && summary.key_count == node.table.borrow().node_count() as u64;
    is_same.then_some(sent)
}

/// Replaces the local view by a listing of all records.
fn replace(node: &Rc<Node>, revision: u64, pairs: Vec<Pair>) {
    node.record_store_answer();
    if revision < node.config.borrow().revision {
        warn!(event = "configuration"; "ignored a listing older than the current configuration");
        return;
    }
    let listed: Vec<String> = pairs.iter().map(|pair| pair.key.clone()).collect();
    let known = node.table.borrow().known_nodes();
    for vm in known {
        if !listed.contains(&format!("{NODES_PREFIX}{vm}")) {
            node.table.borrow_mut().set_node(&vm, revision, None);
        }
    }
    let (config, rest): (Vec<Pair>, Vec<Pair>) = pairs
        .into_iter()
        .partition(|pair| pair.key.starts_with(config::PREFIX));
    let entries = config.into_iter().filter_map(config_entry).collect();
    node.config.borrow_mut().replace(revision, entries);
    for pair in rest {
        apply(node, pair);
    }
    node.config_confirmed_at.set(clock::now());
    adopt::reconcile(node);
}

/// Returns a record as a configuration entry, if its key is one.
fn config_entry(pair: Pair) -> Option<Entry> {
    Some(Entry {
        key: pair.key.strip_prefix(config::PREFIX)?.to_string(),
        revision: pair.revision,
        value: pair.value,
    })
}

/// Applies one record of the store to the local view.
pub fn apply(node: &Rc<Node>, pair: Pair) {
    if let Some(vm) = pair.key.strip_prefix(NODES_PREFIX) {
        let record = pair.value.map(|text| serde_json::from_str(&text));
        let mut table = node.table.borrow_mut();
        match record.transpose() {
            Ok(record) => {
                table.set_node(vm, pair.revision, record);
            }
            Err(error) => {
                if table.set_unreadable_node(vm, pair.revision) {
                    warn!(event = "node", vm; "unreadable record: {error}");
                }
            }
        }
    } else if let Some(endpoint) = pair.key.strip_prefix(OWNERS_PREFIX) {
        let claim: Option<Claim> = pair.value.and_then(|text| serde_json::from_str(&text).ok());
        node.table
            .borrow_mut()
            .set_owner(endpoint, pair.revision, claim);
    } else if let Some(entry) = config_entry(pair) {
        node.config.borrow_mut().apply(entry);
    }
}

/// The records that a node sends to its peers while the store is unavailable.
#[derive(Serialize, Deserialize)]
struct Changes {
    entries: Vec<Entry>,
    nodes: Vec<(String, u64, Record)>,
    owners: Vec<(String, u64, Claim)>,
}

/// Returns the current revision, and the records after a given revision as JSON.
pub fn changes(node: &Node, after: u64) -> (u64, String) {
    let config = node.config.borrow();
    let table = node.table.borrow();
    let changes = Changes {
        entries: config.after(after),
        nodes: table.nodes_after(after),
        owners: table.owners_after(after),
    };
    (config.revision, serde_json::json!(changes).to_string())
}

/// Fetches newer records and promises from the peers while the store is silent.
pub async fn consult_peers(node: Rc<Node>) {
    loop {
        sleep(PEER_INTERVAL).await;
        if !node.lease.borrow().is_silent(clock::now()) {
            continue;
        }
        let peers = peer_addresses(&node);
        consult(&node, &peers).await;
    }
}

/// Returns the addresses of the region's other known nodes, or the configured peers if there are
/// none.
fn peer_addresses(node: &Node) -> Vec<String> {
    let known: Vec<String> = node
        .table
        .borrow()
        .nodes()
        .filter(|(vm, record)| **vm != node.settings.vm && record.region == node.settings.region)
        .filter(|(vm, _)| !node.gone.borrow().contains(*vm))
        .map(|(_, record)| record.address.clone())
        .collect();
    if known.is_empty() {
        return node.settings.peers.clone();
    }
    known
}

/// Asks each peer for its promise and revision, and fetches the records that this node lacks.
///
/// If every peer promises to take nothing over, this node stays the owner of its endpoints even
/// after its lease has expired.
async fn consult(node: &Rc<Node>, peers: &[String]) {
    let asked_at = clock::now();
    let answers = join_all(peers.iter().map(|address| peer::promise(node, address))).await;
    let mut answered = 0;
    let mut promised = 0;
    let mut newest: Option<(u64, &String)> = None;
    for (address, answer) in peers.iter().zip(answers) {
        match answer {
            Ok((time, revision)) => {
                answered += 1;
                promised += usize::from(time >= PROMISE_DURATION);
                newest = newest.max(Some((revision, address)));
            }
            // Nothing listens at the address: that process has ended, so it neither has newer
            // records nor can take anything over.
            Err(Failure::Refused) => {
                answered += 1;
                promised += 1;
            }
            Err(Failure::Lost(_)) => {}
        }
    }
    let known = node.config.borrow().revision;
    if let Some((revision, address)) = newest
        && revision > known
        && let Ok((revision, text)) = peer::changes(node, address, known).await
    {
        apply_changes(node, revision, &text);
    }
    if answered * 2 > peers.len() {
        node.config_confirmed_at.set(clock::now());
    }
    if promised == peers.len() && node.lease_id.get() != 0 {
        node.lease.borrow_mut().promised(asked_at);
    }
}

/// Applies the records that a peer has sent.
fn apply_changes(node: &Rc<Node>, revision: u64, text: &str) {
    let Ok(changes) = serde_json::from_str::<Changes>(text) else {
        return;
    };
    for entry in changes.entries {
        node.config.borrow_mut().apply(entry);
    }
    for (vm, revision, record) in changes.nodes {
        node.table
            .borrow_mut()
            .set_node(&vm, revision, Some(record));
    }
    for (endpoint, fence, claim) in changes.owners {
        node.table
            .borrow_mut()
            .set_owner(&endpoint, fence, Some(claim));
    }
    node.config.borrow_mut().advance(revision);
    adopt::reconcile(node);
}
