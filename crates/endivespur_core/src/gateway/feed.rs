//! A gateway's local copy of the store's keys, for itself and for the gateways that follow it.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// The size in bytes above which a value is transferred separately: at 10 Mbit/s, a VM sends one in 13 ms.
pub const LARGE_VALUE_BYTES: usize = 16 << 10;
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
    /// Further keys that changed, with the revisions. Their large values are transferred separately.
    pub large: Vec<(String, u64)>,
    /// The revision up to which all changes are included.
    pub revision: u64,
    /// The revision up to which all changes of small values that are polled are included, if it is higher.
    pub small_revision: u64,
    /// The sender's last listing, if it is not included in the receiver's position: the revisions before and after it.
    /// Empty for none.
    pub gap: Range<u64>,
}

/// How far a follower has received the changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// The revision up to which it knows all changes.
    pub revision: u64,
    /// The revision up to which it knows all changes of small values that are polled; not below `revision`.
    pub small_revision: u64,
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
///
/// Small changes may be ahead of large ones: while a large value is on its way, further changes of small values are
/// applied, and a large value that is known to have changed may be missing. Which keys may be ahead depends on the key
/// alone, since the value of a key may be small at one revision and large at another.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    /// The prefixes of the keys whose small values may be ahead.
    polled_prefixes: Vec<String>,
    items: BTreeMap<String, Item>,
    by_revision: BTreeSet<(u64, String)>,
    removed: BTreeSet<(u64, String)>,
    /// The large values that have changed and were not received, with the revisions of their changes.
    missing: BTreeMap<String, u64>,
    cursor: Cursor,
    /// The revision up to which removals may have been discarded.
    compacted_revision: u64,
    /// The revisions before and after the last listing, its own or that of a source: a key that was written and removed
    /// in between left no trace.
    gap: Range<u64>,
    /// The revision of the last change that should reach followers at once.
    urgent_revision: u64,
    /// The revision of the last change that is never ahead: of a large value, or of a key that is not polled.
    ordered_revision: u64,
}

impl Feed {
    /// Creates an empty feed whose small changes are received ahead of large ones for all keys.
    pub fn new() -> Self {
        Self::with_polled_prefixes(&[""])
    }

    /// Creates an empty feed whose small changes are received ahead of large ones only for keys with one of these
    /// prefixes.
    pub fn with_polled_prefixes(prefixes: &[&str]) -> Self {
        Self {
            polled_prefixes: prefixes.iter().map(ToString::to_string).collect(),
            ..Self::default()
        }
    }

    /// Returns the revision up to which all changes are known; 0 before the first listing. Large values may be
    /// missing.
    pub fn revision(&self) -> u64 {
        self.cursor.revision
    }

    /// Returns how far all changes are known.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the revision up to which no change and no value is missing.
    pub fn complete_revision(&self) -> u64 {
        let missing = self.missing.values().min();
        let complete = missing.map_or(u64::MAX, |revision| revision.saturating_sub(1));
        self.cursor.revision.min(complete)
    }

    /// Returns the large values that are missing, with the revisions that are needed at least.
    pub fn missing(&self) -> &BTreeMap<String, u64> {
        &self.missing
    }

    /// Returns the last change of a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
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

    /// Returns whether a follower should receive changes at once. A value that was fetched before the changes up to its
    /// revision are known cannot be announced yet.
    pub fn has_urgent(&self, cursor: Cursor) -> bool {
        self.urgent_revision.min(self.cursor.small_revision) > cursor.small_revision
            || self.ordered_revision.min(self.cursor.revision) > cursor.revision
    }

    /// Returns whether a follower that receives complete changes only should receive some at once.
    pub fn has_urgent_complete(&self, after: u64) -> bool {
        self.urgent_revision.min(self.complete_revision()) > after
    }

    /// Records that the change at `revision` should reach followers at once.
    pub fn mark_urgent(&mut self, revision: u64) {
        self.urgent_revision = self.urgent_revision.max(revision);
    }

    /// Applies a listing of all keys; returns the changes, including removals.
    pub fn replace(&mut self, page: Page) -> Vec<Item> {
        let listed: BTreeSet<&String> = page.items.iter().map(|item| &item.key).collect();
        let present = self.items.values().filter(|item| item.value.is_some());
        let present = present.map(|item| &item.key);
        // Followers may have the large values that are missing here.
        let announced = self.missing.iter();
        let announced = announced.filter(|(_, revision)| **revision <= page.revision);
        let removed: BTreeSet<&String> = present
            .chain(announced.map(|(key, _)| key))
            .filter(|key| !listed.contains(key))
            .collect();
        let removed: Vec<Item> = removed
            .into_iter()
            .map(|key| Item {
                key: key.clone(),
                value: None,
                revision: page.revision,
            })
            .collect();
        self.set_gap(self.cursor.revision..page.revision);
        let mut items = page.items;
        items.extend(removed);
        self.apply(Page {
            items,
            revision: page.revision,
            ..Page::default()
        })
    }

    /// Records a listing in place of an earlier one, before which no follower can be any more.
    fn set_gap(&mut self, gap: Range<u64>) {
        self.compacted_revision = self.compacted_revision.max(self.gap.end);
        self.gap = gap;
    }

    /// Applies changes; returns those that were not known yet.
    pub fn apply(&mut self, page: Page) -> Vec<Item> {
        if page.gap.end > self.gap.end {
            self.set_gap(page.gap);
        }
        let mut changed = Vec::new();
        for item in page.items {
            if self
                .missing
                .get(&item.key)
                .is_some_and(|revision| *revision <= item.revision)
            {
                self.missing.remove(&item.key);
            }
            let known = self.key_change(&item.key);
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
            let size = item.value.as_ref().map_or(0, Vec::len);
            if size > LARGE_VALUE_BYTES || !self.is_polled(&item.key) {
                self.ordered_revision = self.ordered_revision.max(item.revision);
            }
            self.items.insert(item.key.clone(), item.clone());
            changed.push(item);
        }
        for (key, revision) in page.large {
            self.ordered_revision = self.ordered_revision.max(revision);
            if revision > self.key_change(&key) {
                let missing = self.missing.entry(key).or_default();
                *missing = revision.max(*missing);
            }
        }
        self.cursor.revision = self.cursor.revision.max(page.revision);
        let small_revision = self.cursor.revision.max(page.small_revision);
        self.cursor.small_revision = self.cursor.small_revision.max(small_revision);
        while self.removed.len() > MAX_REMOVED
            && let Some(entry) = self.removed.pop_first()
        {
            self.compacted_revision = self.compacted_revision.max(entry.0);
            self.by_revision.remove(&entry);
            self.items.remove(&entry.1);
        }
        changed
    }

    /// Returns whether the small values of a key may be ahead of other changes.
    fn is_polled(&self, key: &str) -> bool {
        let mut prefixes = self.polled_prefixes.iter();
        prefixes.any(|prefix| key.starts_with(prefix))
    }

    /// Returns the revision of the last change of a key, also if it was removed; 0 if none is known.
    fn key_change(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    /// Returns the last change of each key that changed after a follower's position, oldest first.
    ///
    /// Keys with larger values than `limits.value_bytes`, and those whose values are missing, are returned without
    /// them.
    pub fn since(&self, after: Cursor, limits: Limits) -> Change {
        self.collect(after, self.cursor, limits)
    }

    /// As [`Feed::since`], for a follower that cannot receive small changes before large ones.
    pub fn complete_since(&self, after: u64, limits: Limits) -> Change {
        let complete = self.complete_revision();
        let cursor = |revision| Cursor {
            revision,
            small_revision: revision,
        };
        self.collect(cursor(after), cursor(complete), limits)
    }

    /// Returns the changes between two positions.
    ///
    /// `limits.bytes` applies to changes after the last listing only; older ones are always included.
    fn collect(&self, after: Cursor, end: Cursor, limits: Limits) -> Change {
        let is_in_gap = |revision| self.gap.start < revision && revision < self.gap.end;
        // A follower that knows nothing cannot have what was removed.
        let knows_removed = after.revision < self.compacted_revision
            || is_in_gap(after.revision)
            || is_in_gap(after.small_revision);
        if after != Cursor::default() && knows_removed {
            return Change::Compacted;
        }
        let is_gap_unknown = after.revision < self.gap.end;
        let listed_revision = if after == Cursor::default() {
            self.gap.end.max(self.compacted_revision)
        } else {
            self.gap.end
        };
        let missing = self.missing.iter();
        let missing = missing
            .filter(|(_, revision)| after.revision < **revision && **revision <= end.revision);
        let mut page = Page {
            large: missing
                .map(|(key, revision)| (key.clone(), *revision))
                .collect(),
            gap: if is_gap_unknown {
                self.gap.clone()
            } else {
                0..0
            },
            ..Page::default()
        };
        let first = (after.revision.saturating_add(1), String::new());
        let mut later = self
            .by_revision
            .range(first..)
            .take_while(|(revision, _)| *revision <= end.small_revision)
            .peekable();
        let mut bytes = 0;
        let mut last = after.revision;
        // A listing is sent whole, since a watch cannot resume inside of it.
        while let Some((revision, key)) =
            later.next_if(|(revision, _)| bytes < limits.bytes || *revision <= listed_revision)
        {
            last = *revision;
            let Some(item) = self.items.get(key) else {
                continue;
            };
            let is_unknown = if self.is_polled(key) {
                *revision > after.small_revision
            } else {
                // A follower whose position does not move past this change would be sent it again and again.
                *revision <= end.revision
            };
            let size = item.value.as_ref().map_or(0, Vec::len);
            if size > limits.value_bytes {
                // A position before this change does not include it, whatever was sent of the small changes.
                page.large.push((key.clone(), *revision));
                bytes += key.len();
            } else if is_unknown {
                page.items.push(item.clone());
                bytes += key.len() + size;
            }
        }
        let included = match later.peek() {
            // Several keys may have changed at one revision.
            Some((next, _)) if *next == last => last
                .saturating_sub(1)
                .max(listed_revision)
                .max(after.revision),
            Some(_) => last.max(listed_revision),
            None => end.small_revision,
        };
        page.revision = included.min(end.revision);
        page.small_revision = included;
        Change::Changes(page)
    }
}
