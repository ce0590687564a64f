//! A few gateways keep the origins of streams in the store for all: in a bounded number of small keys.

use std::collections::{BTreeMap, BTreeSet};

use endivespur_core::gateway::origins::{self, Ledger, MAX_KEPT, SLOT_COUNT};
use endivespur_core::gateway::stream::{Batch, Key, Origin};

/// The maximum size of a value in bytes, which every watcher of the store receives at each write.
const MAX_VALUE_BYTES: usize = 1100;

fn batch(keys: std::ops::Range<Key>) -> Batch {
    let (even, odd): (Vec<Key>, Vec<Key>) = keys.partition(|key| key % 2 == 0);
    let origin = |software| Origin::new("models", software);
    let batch = BTreeMap::from([(origin("v1"), even), (origin("v2"), odd)]);
    batch
        .into_iter()
        .filter(|(_, keys)| !keys.is_empty())
        .collect()
}

/// Applies writes to a copy of the store.
fn write(store: &mut BTreeMap<usize, Batch>, ledger: &mut Ledger) -> usize {
    let slots = ledger.take_unwritten();
    let count = slots.len();
    for (slot, batch) in slots {
        let value = origins::encode(&batch).unwrap();
        assert!(value.len() <= MAX_VALUE_BYTES, "{}", value.len());
        store.insert(slot, origins::decode(&value).unwrap());
    }
    count
}

fn stored(store: &BTreeMap<usize, Batch>) -> BTreeSet<Key> {
    let keys = store.values().flat_map(BTreeMap::values).flatten();
    keys.copied().collect()
}

/// Each write repeated all streams: a site's streams of two minutes do not fit its links.
#[test]
fn ledger_writes_one_slot() {
    let (mut ledger, mut store) = (Ledger::new(), BTreeMap::new());
    for number in 0..2000 {
        ledger.add(batch(number * 8..number * 8 + 8));
        assert!(write(&mut store, &mut ledger) <= 2);
    }
    assert!(store.len() <= SLOT_COUNT);
    let keys = stored(&store);
    assert!(keys.len() <= MAX_KEPT);
    let newest = 16_000 - (MAX_KEPT as Key - 128)..16_000;
    assert!(newest.clone().all(|key| keys.contains(&key)));
}

/// As many streams at once as there is room for: when a second version joins.
#[test]
fn ledger_takes_all_at_once() {
    let (mut ledger, mut store) = (Ledger::new(), BTreeMap::new());
    ledger.add(batch(0..MAX_KEPT as Key));
    assert_eq!(write(&mut store, &mut ledger), SLOT_COUNT);
    assert_eq!(stored(&store).len(), MAX_KEPT);
}

/// A write that was lost takes effect after later ones: the streams that were added meanwhile must not be lost with it.
#[test]
fn ledger_delayed_write() {
    let (mut ledger, mut store) = (Ledger::new(), BTreeMap::new());
    ledger.add(batch(0..3));
    let delayed = ledger.take_unwritten();
    ledger.failed(delayed.keys().copied());
    assert!(ledger.has_unwritten());
    assert_eq!(write(&mut store, &mut ledger), 1);
    ledger.add(batch(3..5));
    write(&mut store, &mut ledger);
    store.extend(delayed);
    assert_eq!(stored(&store), (0..5).collect());
}

/// The store comes back from an older copy, also while a write is under way.
#[test]
fn ledger_lost() {
    let (mut ledger, mut store) = (Ledger::new(), BTreeMap::new());
    ledger.add(batch(0..300));
    write(&mut store, &mut ledger);
    store.clear();
    ledger.add(batch(300..301));
    ledger.take_unwritten();
    ledger.lost();
    assert_eq!(write(&mut store, &mut ledger), 3);
    assert_eq!(stored(&store), (0..301).collect());
}

/// Each gateway wrote for itself: the calls of large sites exceeded a tenth of those that the store accepts, or came
/// too late.
#[test]
fn keepers_of_large_sites() {
    for (vms, expected) in [(1, 1), (2, 2), (8, 2), (84, 3), (195, 8), (830, 16)] {
        let names: Vec<String> = (0..vms).map(|number| format!("vm-{number}")).collect();
        let keepers = origins::keepers(names.clone());
        assert_eq!(keepers.len(), expected, "{vms}");
        let reversed = names.into_iter().rev().collect();
        assert_eq!(origins::keepers(reversed), keepers, "{vms}");
    }
}
