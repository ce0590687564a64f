//! The merged configuration is compared with the highest revision of each key.

use std::collections::BTreeMap;

use endivespur_core::config::{Entry, Snapshot};
use proptest::prelude::*;

use crate::fixed_seed;

fn entry(key: usize, revision: u64) -> Entry {
    let value = (!revision.is_multiple_of(5)).then(|| {
        let place = "\"place\":{\"region\":\"r\",\"zones\":[]}";
        format!("{{{place},\"weight\":{revision}}}")
    });
    Entry {
        key: format!("organisation/o{key}"),
        revision,
        value,
    }
}

proptest! {
    #![proptest_config(fixed_seed(3000))]

    #[test]
    fn apply_any_order_converges(
        writes in prop::collection::vec((0usize..4, 1u64..40), 1..40),
        order in any::<prop::sample::Index>(),
    ) {
        // A revision belongs to one key, as in the store.
        let log: BTreeMap<u64, usize> = writes.iter().map(|(key, revision)| (*revision, *key)).collect();
        let entries: Vec<Entry> = log.iter().map(|(revision, key)| entry(*key, *revision)).collect();
        let mut naive: BTreeMap<String, Entry> = BTreeMap::new();
        for entry in &entries {
            naive.insert(entry.key.clone(), entry.clone());
        }
        let mut shuffled = entries.clone();
        shuffled.rotate_left(order.index(entries.len()));
        let mut snapshot = Snapshot::default();
        let mut highest: BTreeMap<String, u64> = BTreeMap::new();
        for entry in shuffled.iter().chain(&entries) {
            snapshot.apply(entry.clone());
            let now = snapshot.entry(&entry.key).map_or(0, |known| known.revision);
            let before = highest.insert(entry.key.clone(), now).unwrap_or(0);
            prop_assert!(now >= before, "the revision of {} decreased", entry.key);
        }
        for (key, expected) in naive {
            let known = snapshot.entry(&key);
            prop_assert_eq!(known.as_ref().map(|known| known.revision), Some(expected.revision));
            prop_assert_eq!(known.map(|known| known.value.is_some()), Some(expected.value.is_some()));
            let name = key.trim_start_matches("organisation/");
            let weight = snapshot.organisations.get(name).map(|tenant| u64::from(tenant.weight));
            prop_assert_eq!(weight, expected.value.as_ref().map(|_| expected.revision));
        }
    }

    #[test]
    fn replace_old_listing_changes_nothing(known in 10u64..20, listed in 1u64..30) {
        let mut snapshot = Snapshot::default();
        snapshot.apply(entry(0, 7));
        snapshot.advance(known);
        let changed = snapshot.replace(listed, Vec::new());
        prop_assert_eq!(changed, listed >= known);
        prop_assert_eq!(snapshot.revision, known.max(listed));
        prop_assert_eq!(snapshot.revision_of("organisation/o0") == 7, listed < known);
    }
}

proptest! {
    #![proptest_config(fixed_seed(2000))]

    #[test]
    fn after_brings_peer_up_to_date(
        writes in prop::collection::vec((0usize..4, 1u64..40), 1..40),
        from in 0u64..45,
    ) {
        let log: BTreeMap<u64, usize> = writes.iter().map(|(key, revision)| (*revision, *key)).collect();
        let mut first = Snapshot::default();
        let mut second = Snapshot::default();
        for (revision, key) in &log {
            first.apply(entry(*key, *revision));
            if *revision <= from {
                second.apply(entry(*key, *revision));
            }
        }
        for entry in first.after(from) {
            second.apply(entry);
        }
        prop_assert_eq!(&first.organisations, &second.organisations);
        prop_assert_eq!(first.len(), second.len());
        prop_assert_eq!(first.len(), first.organisations.len());
    }
}
