//! Records the software versions of each service in the store, for gateways that start later.
//!
//! A gateway that has just started cannot tell which versions have begun the streams that its callers resume. The
//! records outlast all gateways. Only one that knows all recent versions of a service writes them, so that a record
//! proves that there was no other version.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use endivespur_clock as clock;
use endivespur_core::gateway::feed::Item;
use endivespur_core::gateway::stream::Origin;
use endivespur_core::hash;
use endivespur_platform::store::Outcome;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::record;
use crate::state::State;

/// The prefix of the keys of the records.
pub const KEY_PREFIX: &str = "endivespur/software/";

/// The interval at which missing records are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum delay before a gateway writes missing records: another one may be faster.
const MAX_DELAY: Duration = Duration::from_millis(1200);
/// The maximum number of records written in one call, which holds at most 32 rows.
const MAX_RECORDS_PER_CALL: usize = 32;

#[derive(Serialize, Deserialize)]
struct Record {
    service: String,
    software: String,
}

/// Starts the task that writes missing records.
pub fn start(state: &Rc<State>) {
    state.spawn(keep_records(state.clone()));
}

/// Applies a change of a record; returns whether the key is that of one.
pub fn apply(state: &State, item: &Item) -> bool {
    if !item.key.starts_with(KEY_PREFIX) {
        return false;
    }
    if let Some(value) = &item.value {
        match serde_json::from_slice::<Record>(value) {
            Ok(Record { service, software }) => {
                let mut tracker = state.streams.tracker.borrow_mut();
                tracker.recorded(clock::now(), &service, &software);
            }
            Err(error) => warn!(event = "software", key = item.key.as_str(); "unreadable: {error}"),
        }
    }
    true
}

async fn keep_records(state: Rc<State>) {
    let delay_ms = hash::mix(&state.process, 2) % MAX_DELAY.as_millis() as u64;
    while !state.is_stopping.get() {
        Timer::after(CHECK_INTERVAL).await;
        if missing(&state).is_empty() {
            continue;
        }
        Timer::after(Duration::from_millis(delay_ms)).await;
        let records: Vec<_> = missing(&state).into_iter().collect();
        for records in records.chunks(MAX_RECORDS_PER_CALL) {
            let written = record::write(&state, records.to_vec(), Vec::new()).await;
            let count = records.len();
            match written {
                Ok(Outcome::Written(_)) => info!(event = "software", count; "versions recorded"),
                failure => warn!(event = "software", count; "versions not recorded: {failure:?}"),
            }
        }
    }
}

/// Returns the keys and values of the records that the store lacks.
fn missing(state: &State) -> BTreeMap<String, Vec<u8>> {
    let now = clock::now();
    let catalog = state.catalog.borrow();
    let feed = state.feed.borrow();
    let mut tracker = state.streams.tracker.borrow_mut();
    let mut origins: BTreeSet<Origin> = catalog
        .endpoints()
        .map(|instance| Origin::new(&instance.service, &instance.software))
        .collect();
    let services: BTreeSet<String> = origins
        .iter()
        .map(|origin| origin.service.clone())
        .collect();
    for service in &services {
        let recent = tracker.recent_software(now, service);
        origins.extend(recent.iter().map(|software| Origin::new(service, software)));
    }
    let complete = origins
        .into_iter()
        .filter(|origin| tracker.is_complete(now, &origin.service));
    let records = complete.filter_map(|Origin { service, software }| {
        let hash = hash::digest(&[service.as_bytes(), software.as_bytes()]);
        let key = format!("{KEY_PREFIX}{hash:016x}");
        let value = serde_json::to_vec(&Record { service, software }).ok()?;
        Some((key, value))
    });
    records.filter(|(key, _)| !feed.contains(key)).collect()
}
