//! A gateway's local copy of the store's keys, for itself and for the gateways that follow it.

use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of removed keys that are kept: some minutes' worth at the largest sites.
const MAX_REMOVED: usize = 4096;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of the last change.
    pub revision: u64,
}

/// A listing or a batch of changes, with the store's revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items or changes.
    pub items: Vec<Item>,
    /// Further keys that changed, whose values are too large to send to all followers.
    pub large_keys: Vec<String>,
    /// The store's revision.
    pub revision: u64,
}

/// Limits of one message to a follower.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The total size of keys and values in bytes.
    pub bytes: usize,
    /// The size of one value in bytes.
    pub value_bytes: usize,
}

/// The result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The changes since the requested revision, possibly none.
    Changes(Page),
    /// The changes are no longer kept; a listing is needed.
    Compacted,
}

/// The last change of every key.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    items: BTreeMap<String, Item>,
    by_revision: BTreeSet<(u64, String)>,
    removed: BTreeSet<(u64, String)>,
    revision: u64,
    /// The revision up to which removals may have been discarded.
    compacted_revision: u64,
    /// The revisions before and after the last listing: a key that was written and removed in
    /// between left no trace.
    gap: (u64, u64),
    /// The revision of the last change that should reach followers at once.
    urgent_revision: u64,
}

impl Feed {
    /// Creates an empty feed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision up to which all changes were received; 0 before the first listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of a key's last change, if the key exists.
    pub fn key_revision(&self, key: &str) -> Option<u64> {
        let item = self.items.get(key).filter(|item| item.value.is_some());
        item.map(|item| item.revision)
    }

    /// Returns whether a key exists.
    pub fn contains(&self, key: &str) -> bool {
        let item = self.items.get(key);
        item.is_some_and(|item| item.value.is_some())
    }

    /// Returns the revision of the last urgent change.
    pub fn urgent_revision(&self) -> u64 {
        self.urgent_revision
    }

    /// Records that the change at `revision` should reach followers at once.
    pub fn mark_urgent(&mut self, revision: u64) {
        self.urgent_revision = self.urgent_revision.max(revision);
    }

    /// Applies a listing of all keys; returns the changes, including removals.
    pub fn replace(&mut self, page: Page) -> Vec<Item> {
        let listed: BTreeSet<&String> = page.items.iter().map(|item| &item.key).collect();
        let missing = self
            .items
            .values()
            .filter(|item| item.value.is_some() && !listed.contains(&item.key));
        let missing: Vec<Item> = missing
            .map(|item| Item {
                key: item.key.clone(),
                value: None,
                revision: page.revision,
            })
            .collect();
        self.compacted_revision = self.compacted_revision.max(self.gap.1);
        self.gap = (self.revision, page.revision);
        let mut items = page.items;
        items.extend(missing);
        self.apply(Page {
            items,
            large_keys: Vec::new(),
            revision: page.revision,
        })
    }

    /// Applies changes; returns those that were not known yet.
    pub fn apply(&mut self, page: Page) -> Vec<Item> {
        let mut changed = Vec::new();
        for item in page.items {
            let known = self.items.get(&item.key).map_or(0, |known| known.revision);
            if item.revision <= known {
                continue;
            }
            let entry = (known, item.key.clone());
            self.by_revision.remove(&entry);
            self.removed.remove(&entry);
            let entry = (item.revision, item.key.clone());
            if item.value.is_none() {
                self.removed.insert(entry.clone());
            }
            self.by_revision.insert(entry);
            self.items.insert(item.key.clone(), item.clone());
            changed.push(item);
        }
        self.revision = self.revision.max(page.revision);
        while self.removed.len() > MAX_REMOVED
            && let Some(entry) = self.removed.pop_first()
        {
            self.compacted_revision = self.compacted_revision.max(entry.0);
            self.by_revision.remove(&entry);
            self.items.remove(&entry.1);
        }
        changed
    }

    /// Returns the last change of each key that changed after a revision, oldest first.
    ///
    /// `limits.bytes` applies to changes after the last listing only; older ones are always
    /// included. Keys with larger values than `limits.value_bytes` are returned without them.
    pub fn since(&self, after: u64, limits: Limits) -> Change {
        let is_in_gap = self.gap.0 < after && after < self.gap.1;
        if after < self.compacted_revision || is_in_gap {
            return Change::Compacted;
        }
        let mut later = self
            .by_revision
            .range((after + 1, String::new())..)
            .peekable();
        let mut page = Page::default();
        let mut bytes = 0;
        let mut last = after;
        // A listing is sent whole, since a watch cannot resume inside of it.
        while let Some((revision, key)) =
            later.next_if(|(revision, _)| bytes < limits.bytes || *revision <= self.gap.1)
        {
            last = *revision;
            let Some(item) = self.items.get(key) else {
                continue;
            };
            let size = item.value.as_ref().map_or(0, Vec::len);
            bytes += key.len();
            if size > limits.value_bytes {
                page.large_keys.push(key.clone());
            } else {
                bytes += size;
                page.items.push(item.clone());
            }
        }
        page.revision = match later.peek() {
            // Several keys may have changed at one revision.
            Some((next, _)) if *next == last => last.saturating_sub(1).max(self.gap.1).max(after),
            Some(_) => last.max(self.gap.1),
            None => self.revision,
        };
        Change::Changes(page)
    }
}
