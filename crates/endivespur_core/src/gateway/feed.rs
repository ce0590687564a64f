//! The keys of the store as one gateway knows them, for itself and for those that follow it.

use std::collections::{BTreeMap, BTreeSet};

/// The most removed keys that are remembered: some minutes of the largest sites.
const MAX_REMOVED: usize = 4096;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; nothing if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of the last change.
    pub revision: u64,
}

/// Items with the store's revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, or changes.
    pub items: Vec<Item>,
    /// The keys that changed too, but whose values are too large to be told to many.
    pub large_keys: Vec<String>,
    /// The store's revision.
    pub revision: u64,
}

/// How much is told to a follower at once.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The bytes of all keys and values.
    pub bytes: usize,
    /// The bytes of one value.
    pub value_bytes: usize,
}

/// What a watch brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The changes since the revision asked for, maybe none.
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
    /// The revision up to which removals may have been forgotten.
    forgotten: u64,
    /// The revisions before and after the last listing: a key that came and went between them
    /// is not known.
    gap: (u64, u64),
    /// The revision of the last change that followers should not wait for.
    urgent_revision: u64,
}

impl Feed {
    /// Makes a feed that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision up to which all changes are known; 0 before the first listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last urgent change.
    pub fn urgent_revision(&self) -> u64 {
        self.urgent_revision
    }

    /// Notes that a change should reach followers at once.
    pub fn mark_urgent(&mut self, revision: u64) {
        self.urgent_revision = self.urgent_revision.max(revision);
    }

    /// Takes a listing of all keys; returns what has changed, removals included.
    pub fn replace(&mut self, page: Page) -> Vec<Item> {
        let listed: BTreeSet<&String> = page.items.iter().map(|item| &item.key).collect();
        let gone = self
            .items
            .values()
            .filter(|item| item.value.is_some() && !listed.contains(&item.key));
        let gone: Vec<Item> = gone
            .map(|item| Item {
                key: item.key.clone(),
                value: None,
                revision: page.revision,
            })
            .collect();
        self.forgotten = self.forgotten.max(self.gap.1);
        self.gap = (self.revision, page.revision);
        let mut items = page.items;
        items.extend(gone);
        self.apply(Page {
            items,
            large_keys: Vec::new(),
            revision: page.revision,
        })
    }

    /// Takes changes; returns those that are news.
    pub fn apply(&mut self, page: Page) -> Vec<Item> {
        let mut news = Vec::new();
        for item in page.items {
            let known = self.items.get(&item.key).map_or(0, |known| known.revision);
            if item.revision <= known {
                continue;
            }
            let place = (known, item.key.clone());
            self.by_revision.remove(&place);
            self.removed.remove(&place);
            let place = (item.revision, item.key.clone());
            if item.value.is_none() {
                self.removed.insert(place.clone());
            }
            self.by_revision.insert(place);
            self.items.insert(item.key.clone(), item.clone());
            news.push(item);
        }
        self.revision = self.revision.max(page.revision);
        while self.removed.len() > MAX_REMOVED
            && let Some(place) = self.removed.pop_first()
        {
            self.forgotten = self.forgotten.max(place.0);
            self.by_revision.remove(&place);
            self.items.remove(&place.1);
        }
        news
    }

    /// Returns the last change of each key that changed after a revision, oldest first, within
    /// limits as far as they go beyond the last listing.
    pub fn since(&self, after: u64, limits: Limits) -> Change {
        let is_in_gap = self.gap.0 < after && after < self.gap.1;
        if after < self.forgotten || is_in_gap {
            return Change::Compacted;
        }
        let mut later = self
            .by_revision
            .range((after + 1, String::new())..)
            .peekable();
        let mut page = Page::default();
        let mut bytes = 0;
        let mut last = after;
        // A listing is told whole, since there is no going on from inside of it.
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
