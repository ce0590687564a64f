//! The lease, and the store's records of configuration, nodes and owners.

use std::rc::Rc;
use std::time::Duration;

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

/// The prefix of everything that is watched.
const PREFIX: &str = "endivespur/";
/// The pause before the store is tried again.
const RETRY: Duration = Duration::from_millis(200);
/// The time between two rounds of asking peers.
const PEER_ROUND: Duration = Duration::from_millis(500);
/// The time for which a watch may tell nothing before it is opened anew.
const WATCH_SILENCE: Duration = Duration::from_secs(30);
/// The time that a written change may take to come over the watch.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// Keeps the lease and the node's leased record until the future is dropped.
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
                sleep(RETRY).await;
            }
        }
    }
}

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

/// Writes the node's leased record.
pub async fn write_record(node: &Node, lease: u64) -> Result<(), Error> {
    let record = Record {
        incarnation: node.incarnation.get(),
        address: node.address.clone(),
        callers: node.callers.clone(),
        region: node.settings.region.clone(),
        zone: node.settings.zone.clone(),
        leaving: node.stopping.get(),
    };
    let key = format!("{NODES_PREFIX}{}", node.settings.vm);
    let value = serde_json::json!(record).to_string();
    let write = Write::new(&key, &value).with_lease(lease);
    node.store.write_one(write).await?;
    Ok(())
}

async fn renew(node: &Rc<Node>, id: u64) -> Result<(), Error> {
    let sent = clock::now();
    if node.store.renew(id).await? {
        node.lease.borrow_mut().renewed(sent, clock::now());
        return Ok(());
    }
    // Others may have taken over meanwhile, so this process starts anew.
    warn!(event = "lease-lapsed"; "claims have ended");
    node.lease_id.set(0);
    node.lease.borrow_mut().lapsed();
    node.incarnation.set(node.incarnation.get() + 1);
    adopt::reconcile(node);
    Ok(())
}

/// Keeps the configuration and the table in step with the store.
pub async fn follow(node: Rc<Node>) {
    loop {
        if let Err(error) = follow_once(&node).await {
            warn!(event = "store-lost"; "{error}");
        }
        sleep(RETRY).await;
    }
}

async fn follow_once(node: &Rc<Node>) -> Result<(), Error> {
    let (revision, pairs) = node.store.list(PREFIX).await?;
    replace(node, revision, pairs);
    let mut watch = node.store.watch(PREFIX, revision + 1).await?;
    loop {
        let checked = smol::future::or(async { Some(watch.next(WATCH_SILENCE).await) }, async {
            missed(node).await;
            None
        });
        let Some(update) = checked.await else {
            warn!(event = "configuration"; "the watch missed a write");
            return Ok(());
        };
        advance(node, update?)?;
    }
}

fn advance(node: &Rc<Node>, update: Update) -> Result<(), Error> {
    node.heard_store();
    if update.compacted {
        return Err(Error::Malformed {
            field: "the wanted revision".to_string(),
        });
    }
    for pair in update.pairs {
        apply(node, pair);
    }
    node.config.borrow_mut().advance(update.revision);
    node.config_heard.set(clock::now());
    adopt::reconcile(node);
    Ok(())
}

/// Returns once the store holds a write that the watch has not told.
async fn missed(node: &Rc<Node>) {
    loop {
        sleep(node.settings.store.check).await;
        let known = node.config.borrow().revision;
        let Ok(summary) = node.store.peek(PREFIX, known).await else {
            continue;
        };
        node.heard_store();
        if !summary.changed && summary.key_count == keys(node) {
            node.config.borrow_mut().advance(summary.revision);
            node.config_heard.set(clock::now());
            continue;
        }
        sleep(WATCH_DELAY).await;
        let behind = node.config.borrow().revision < summary.revision;
        let differs = node
            .store
            .peek(PREFIX, known)
            .await
            .is_ok_and(|now| now.key_count != keys(node));
        if behind || differs {
            return;
        }
    }
}

/// Returns the number of watched keys that are known.
fn keys(node: &Node) -> u64 {
    let config = node.config.borrow().len();
    let table = node.table.borrow().len();
    (config + table) as u64
}

fn replace(node: &Rc<Node>, revision: u64, pairs: Vec<Pair>) {
    node.heard_store();
    if revision < node.config.borrow().revision {
        warn!(event = "configuration"; "ignores an old listing");
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
    let entries = config.into_iter().filter_map(entry).collect();
    node.config.borrow_mut().replace(revision, entries);
    for pair in rest {
        apply(node, pair);
    }
    node.config_heard.set(clock::now());
    adopt::reconcile(node);
}

fn entry(pair: Pair) -> Option<Entry> {
    Some(Entry {
        key: pair.key.strip_prefix(config::PREFIX)?.to_string(),
        revision: pair.revision,
        value: pair.value,
    })
}

/// Applies one record of the store.
pub fn apply(node: &Rc<Node>, pair: Pair) {
    if let Some(vm) = pair.key.strip_prefix(NODES_PREFIX) {
        let record: Option<Record> = pair.value.and_then(|text| serde_json::from_str(&text).ok());
        node.table.borrow_mut().set_node(vm, pair.revision, record);
    } else if let Some(endpoint) = pair.key.strip_prefix(OWNERS_PREFIX) {
        let claim: Option<Claim> = pair.value.and_then(|text| serde_json::from_str(&text).ok());
        node.table
            .borrow_mut()
            .set_owner(endpoint, pair.revision, claim);
    } else if let Some(entry) = entry(pair) {
        node.config.borrow_mut().apply(entry);
    }
}

/// What a node tells its peers while the store is out.
#[derive(Serialize, Deserialize)]
struct Changes {
    entries: Vec<Entry>,
    nodes: Vec<(String, u64, Record)>,
    owners: Vec<(String, u64, Claim)>,
}

/// Returns what this node knows after a revision.
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

/// While the store is silent, follows the peers and gathers their promises.
pub async fn consult_peers(node: Rc<Node>) {
    loop {
        sleep(PEER_ROUND).await;
        if !node.lease.borrow().is_silent(clock::now()) {
            continue;
        }
        let peers = peers(&node);
        consult(&node, &peers).await;
    }
}

/// Returns the addresses of the known nodes of the region, or the configured ones.
fn peers(node: &Node) -> Vec<String> {
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

/// Asks each peer for its promise and revision, and fetches what this node lacks.
///
/// The ownership goes on without the lease if no peer can take anything over.
async fn consult(node: &Rc<Node>, peers: &[String]) {
    let asked = clock::now();
    let answers = join_all(peers.iter().map(|address| peer::promise(node, address))).await;
    let mut heard = 0;
    let mut promised = 0;
    let mut newest: Option<(u64, &String)> = None;
    for (address, answer) in peers.iter().zip(answers) {
        match answer {
            Ok((time, revision)) => {
                heard += 1;
                promised += usize::from(time >= PROMISE_DURATION);
                newest = newest.max(Some((revision, address)));
            }
            // Nothing listens there: that process has ended, so it can neither know more
            // nor take anything over.
            Err(Failure::Refused) => {
                heard += 1;
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
        learn(node, revision, &text);
    }
    if heard * 2 > peers.len() {
        node.config_heard.set(clock::now());
    }
    if promised == peers.len() && node.lease_id.get() != 0 {
        node.lease.borrow_mut().promised(asked);
    }
}

fn learn(node: &Rc<Node>, revision: u64, text: &str) {
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
