//! The origins of streams that gateways keep in the store, which outlasts all of them.
//!
//! A few gateways, the keepers, write for all, so that the number of calls does not grow with the site. A keeper writes
//! to a ring of keys, of which each holds some streams: a write repeats only the streams of the key that is filled.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::stream::{Batch, Key, Origin};
use crate::hash;
use crate::id::Vm;

/// The number of keys of a keeper: all are written in one call, which holds at most 32 rows.
pub const SLOT_COUNT: usize = 32;
/// The number of streams of a key: 1 KB, which every watcher of the store receives at each write.
const SLOT_STREAMS: usize = 128;
/// The number of streams that a keeper has in the store; the oldest are replaced first.
pub const MAX_KEPT: usize = SLOT_COUNT * SLOT_STREAMS;
/// The number of VMs for each of which there is a keeper: their messages must not fill its link.
const VMS_PER_KEEPER: usize = 24;
/// The minimum number of keepers: another one is left if one ends.
const MIN_KEEPERS: usize = 2;
/// The maximum number of keepers, which bounds the calls to the store.
const MAX_KEEPERS: usize = 16;

/// Returns the VMs that keep the origins of streams for all.
pub fn keepers(vms: Vec<Vm>) -> Vec<Vm> {
    let count = (vms.len() / VMS_PER_KEEPER).clamp(MIN_KEEPERS, MAX_KEEPERS);
    hash::rank("streams", vms, |vm| vm.as_str(), count)
}

/// The streams that a keeper has written, or is about to write.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    slots: BTreeMap<usize, BTreeMap<Key, Origin>>,
    current: usize,
    unwritten: BTreeSet<usize>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds streams that are to be written.
    pub fn add(&mut self, batch: Batch) {
        for (origin, keys) in batch {
            for key in keys {
                let slot = self.slots.entry(self.current).or_default();
                if slot.len() >= SLOT_STREAMS {
                    self.advance();
                }
                let slot = self.slots.entry(self.current).or_default();
                slot.insert(key, origin.clone());
                self.unwritten.insert(self.current);
            }
        }
    }

    /// Fills the next slot from now on.
    fn advance(&mut self) {
        self.current = (self.current + 1) % SLOT_COUNT;
        self.slots.remove(&self.current);
    }

    /// Returns whether slots must be written.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Returns the slots that must be written, once.
    pub fn take_unwritten(&mut self) -> BTreeMap<usize, Batch> {
        let unwritten = std::mem::take(&mut self.unwritten);
        let batch = |slot: &usize| {
            let mut batch = Batch::new();
            for (key, origin) in self.slots.get(slot)? {
                batch.entry(origin.clone()).or_default().push(*key);
            }
            Some((*slot, batch))
        };
        unwritten.iter().filter_map(batch).collect()
    }

    /// Records that slots were not written, as far as is known. They must be written again, and do not change any more:
    /// the failed write may take effect later.
    pub fn failed(&mut self, slots: impl IntoIterator<Item = usize>) {
        self.unwritten.extend(slots);
        if self.unwritten.contains(&self.current) {
            self.advance();
        }
    }

    /// Records that the store may have lost what was written.
    pub fn lost(&mut self) {
        self.unwritten.extend(self.slots.keys());
    }
}

/// Encodes the streams of a slot for the store.
///
/// # Errors
///
/// Returns a message if they cannot be encoded.
pub fn encode(batch: &Batch) -> Result<Vec<u8>, String> {
    let rows = batch.iter().map(|(origin, keys)| {
        // Integers would be encoded in up to ten bytes.
        let keys: Vec<[u8; 8]> = keys.iter().map(|key| key.to_le_bytes()).collect();
        (&origin.service, &origin.software, keys)
    });
    let rows: Vec<_> = rows.collect();
    postcard::to_allocvec(&rows).map_err(|error| error.to_string())
}

/// Decodes the streams of a slot.
///
/// # Errors
///
/// Returns a message if the bytes are not those of a slot.
pub fn decode(bytes: &[u8]) -> Result<Batch, String> {
    let rows: Vec<(String, String, Vec<[u8; 8]>)> =
        postcard::from_bytes(bytes).map_err(|error| error.to_string())?;
    let rows = rows.into_iter().map(|(service, software, keys)| {
        let keys = keys.into_iter().map(Key::from_le_bytes).collect();
        (Origin { service, software }, keys)
    });
    Ok(rows.collect())
}
