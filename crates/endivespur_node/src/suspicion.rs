//! Shares within the region which requests, and which messages, are suspected of crashing endpoints.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use endivespur_core::clock::Time;
use endivespur_core::feature::{Feature, Fingerprint, Scope};
use endivespur_core::hash;
use endivespur_core::suspect::{Admission, SHARED_RUN};
use endivespur_net::store::{Error, Write};
use log::warn;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock;
use crate::node::{Node, sleep};
use crate::peer;

/// The time for which a suspected feature is remembered.
pub const RETENTION: Duration = Duration::from_hours(24);
/// The prefix of the stored records; it is not watched, since crashes are also broadcast.
const PREFIX: &str = "endivespur-suspects/";
/// The maximum number of a chat's messages that are told apart when endpoints crash.
const MAX_MESSAGES: usize = 32;
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

/// Returns the features of a chat completion or a completion: each message but the last, and the whole
/// request.
pub fn features(organisation: &str, adapter: &str, bytes: &[u8], body: &Value) -> Vec<Feature> {
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let (_last, shared) = messages.split_last().unwrap_or((&Value::Null, &[]));
    let mut features: Vec<Feature> = shared
        .iter()
        .take(MAX_MESSAGES)
        .enumerate()
        .map(|(position, message)| Feature {
            fingerprint: fingerprint(organisation, "", message.to_string().as_bytes()),
            scope: Scope::Part(position),
        })
        .collect();
    features.push(Feature {
        fingerprint: fingerprint(organisation, adapter, bytes),
        scope: Scope::Request,
    });
    features
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

/// Decides how a request is run; waits while a suspected request with the same feature runs.
///
/// Returns [`Admission::Wait`] if that request still runs at `deadline`. With [`Admission::Alone`]
/// come the fingerprints of the features that are blocked for other requests until the run ends.
pub async fn admit(
    node: &Rc<Node>,
    features: &[Feature],
    deadline: Time,
) -> (Admission, Vec<Fingerprint>) {
    loop {
        let (admission, blocked) = try_admit(node, features).await;
        if admission == Admission::Alone {
            return (admission, blocked);
        }
        abandon(node, &blocked).await;
        if admission != Admission::Wait || clock::now() >= deadline {
            return (admission, Vec::new());
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn try_admit(node: &Rc<Node>, features: &[Feature]) -> (Admission, Vec<Fingerprint>) {
    let suspected: BTreeSet<Fingerprint> = {
        let tracker = node.suspect_tracker.borrow();
        let fingerprints = features.iter().map(|feature| feature.fingerprint);
        fingerprints
            .filter(|fingerprint| tracker.is_suspected(*fingerprint))
            .collect()
    };
    let mut blocked = Vec::new();
    for fingerprint in suspected {
        match admit_feature(node, fingerprint).await {
            Admission::Clear => {}
            Admission::Alone => blocked.push(fingerprint),
            admission => return (admission, blocked),
        }
    }
    let admission = if blocked.is_empty() {
        Admission::Clear
    } else {
        Admission::Alone
    };
    (admission, blocked)
}

async fn admit_feature(node: &Rc<Node>, fingerprint: Fingerprint) -> Admission {
    match home_address(node, fingerprint) {
        None => node
            .suspect_tracker
            .borrow_mut()
            .admit(clock::now(), fingerprint),
        Some(address) => match peer::admit(node, &address, fingerprint).await {
            Ok(number) => from_number(number),
            // If the home is unreachable, a suspected request still runs alone.
            Err(_) => Admission::Alone,
        },
    }
}

/// Unblocks requests with the same features if the one that was admitted to run alone did not run.
pub async fn abandon(node: &Rc<Node>, blocked: &[Fingerprint]) {
    for fingerprint in blocked {
        match home_address(node, *fingerprint) {
            None => node.suspect_tracker.borrow_mut().abandoned(*fingerprint),
            Some(address) => peer::abandon(node, &address, *fingerprint).await,
        }
    }
}

/// How a run of a request with a feature ended, as shared with other nodes and stored for the daemons
/// that start later.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The feature.
    #[serde(flatten)]
    pub feature: Feature,
    /// The fingerprint of the whole request.
    #[serde(default)]
    pub request: Fingerprint,
    /// The endpoint that ran the request.
    pub endpoint: String,
    /// The number of the run if the request ran alone, or [`SHARED_RUN`].
    pub attempt: u64,
    /// Whether the run crashed its endpoint.
    pub crashed: bool,
}

/// Records in this node how a run ended.
pub fn record_run(node: &Node, run: &Record) {
    let mut tracker = node.suspect_tracker.borrow_mut();
    if run.crashed {
        let now = clock::now();
        tracker.crashed(now, run.feature, run.request, &run.endpoint, run.attempt);
    } else {
        tracker.completed(run.feature.fingerprint);
    }
}

impl Record {
    /// Returns the key in the store; a run without a crash replaces the one before it.
    fn key(&self) -> String {
        let fingerprint = self.feature.fingerprint;
        if self.crashed {
            // Attempts are numbered for each endpoint.
            let Self {
                endpoint, attempt, ..
            } = self;
            format!("{PREFIX}{fingerprint:016x}/{endpoint}/{attempt}")
        } else {
            format!("{PREFIX}{fingerprint:016x}/completed")
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

/// Loads the stored records of suspected features, in the order in which they were written.
///
/// # Errors
///
/// Returns the cause if the store does not respond.
pub async fn load(node: &Node) -> Result<(), Error> {
    let (_, mut pairs) = node.store.list(PREFIX).await?;
    pairs.sort_by_key(|pair| pair.revision);
    for text in pairs.into_iter().filter_map(|pair| pair.value) {
        match serde_json::from_str::<Record>(&text) {
            Ok(run) => record_run(node, &run),
            Err(error) => warn!(event = "suspect"; "unreadable record: {error}"),
        }
    }
    Ok(())
}

/// Notifies each node of the region that a run crashed its endpoint.
///
/// Crashes are rare, so that notifying every node is cheap.
pub async fn broadcast_crash(node: &Rc<Node>, features: &[Feature], endpoint: &str, run: u64) {
    for feature in features {
        let record = Record {
            feature: *feature,
            request: features.last().map_or(0, |whole| whole.fingerprint),
            endpoint: endpoint.to_string(),
            attempt: run,
            crashed: true,
        };
        broadcast(node, record).await;
    }
}

/// Notifies each node of the region that a run of suspected features did not crash its endpoint.
pub async fn broadcast_completion(node: &Rc<Node>, features: &[Feature], endpoint: &str) {
    for feature in features {
        let is_suspected = {
            let tracker = node.suspect_tracker.borrow();
            tracker.is_suspected(feature.fingerprint)
        };
        if is_suspected {
            let record = Record {
                feature: *feature,
                request: 0,
                endpoint: endpoint.to_string(),
                attempt: SHARED_RUN,
                crashed: false,
            };
            broadcast(node, record).await;
        }
    }
}

async fn broadcast(node: &Rc<Node>, record: Record) {
    record_run(node, &record);
    node.spawn(store_record(node.clone(), record.clone()));
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
        .map(|address| peer::report_run(node, address, &record));
    futures_util::future::join_all(calls).await;
}
