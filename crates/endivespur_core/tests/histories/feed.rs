//! Gateways that watch the store, poll it, fetch values and follow each other end up with the store's state.
//!
//! A gateway polls the small values while the response to its watch is on its way. A configuration that was written
//! meanwhile arrives with that response, behind the revision that the poll has reached. Its followers were never sent
//! such a configuration. A follower that confirms its view polls the small values too, and was never sent it either.

use std::collections::{BTreeMap, BTreeSet};

use endivespur_core::gateway::feed::{Change, Cursor, Feed, Item, LARGE_VALUE_BYTES, Limits, Page};
use proptest::prelude::*;

use crate::fixed_seed;

/// The prefix of the keys that are polled.
const POLLED_PREFIX: &str = "endpoint/";
/// The keys that are written; the first is not polled, and is never removed.
const KEYS: [&str; 4] = ["config", "endpoint/a", "endpoint/b", "endpoint/c"];
/// The number of gateways that follow positions of two parts. Any of them may watch the store.
const GATEWAYS: usize = 4;
/// The number of times that a follower may ask until it has all that its source has.
const ROUNDS: usize = 2;

const LIMITS: Limits = Limits {
    bytes: 1 << 20,
    value_bytes: LARGE_VALUE_BYTES,
};

/// A step of a history.
#[derive(Clone, Debug)]
enum Step {
    /// The operator or an endpoint writes a key.
    Write { key: usize, is_large: bool },
    /// An endpoint leaves.
    Remove { key: usize },
    /// The store responds to a gateway's watch; the response is on its way.
    Watch { gateway: usize },
    /// The response arrives.
    Receive { gateway: usize },
    /// A gateway polls the small values.
    Poll { gateway: usize },
    /// A gateway, a follower too, polls the small values after those that it knows, to confirm its view. Its position
    /// moves if it is of commit 7765eb5 or an earlier one.
    Confirm { gateway: usize, moves: bool },
    /// A gateway lists all keys.
    List { gateway: usize },
    /// A gateway asks another one for changes.
    Follow { gateway: usize, source: usize },
    /// A gateway fetches the values that it lacks from another one.
    Fetch { gateway: usize, source: usize },
    /// A follower of commit 9fad22f asks a gateway for changes, and the store for large values.
    FollowOlder { source: usize },
}

/// The store, which keeps its whole history.
#[derive(Default)]
struct Store {
    revision: u64,
    log: Vec<Item>,
}

impl Store {
    fn write(&mut self, key: usize, value: Option<Vec<u8>>) {
        self.revision += 1;
        self.log.push(Item {
            key: KEYS[key].to_string(),
            value,
            revision: self.revision,
        });
    }

    /// Returns the last change of each key.
    fn last(&self) -> BTreeMap<String, Item> {
        let items = self.log.iter();
        items.map(|item| (item.key.clone(), item.clone())).collect()
    }

    /// Returns the last change of each key, with a prefix, that changed after a revision.
    fn since(&self, prefix: &str, after: u64) -> Vec<Item> {
        let items = self.log.iter().filter(|item| item.revision > after);
        items
            .filter(|item| item.key.starts_with(prefix))
            .cloned()
            .collect()
    }
}

struct Gateway {
    feed: Feed,
    /// The response to a watch that is on its way.
    response: Option<Page>,
    /// The revision up to which the poll beside that watch has come.
    polled: u64,
}

impl Gateway {
    fn new() -> Self {
        Self {
            feed: Feed::with_polled_prefixes(&[POLLED_PREFIX]),
            response: None,
            polled: 0,
        }
    }

    fn apply(&mut self, page: Page) {
        for item in self.feed.apply(page) {
            self.feed.mark_urgent(item.revision);
        }
    }

    /// Lists all keys; a watch that was waiting is given up.
    fn list(&mut self, store: &Store) {
        self.response = None;
        let items = store.last().into_values();
        let page = Page {
            items: items.filter(|item| item.value.is_some()).collect(),
            revision: store.revision,
            ..Page::default()
        };
        for item in self.feed.replace(page) {
            self.feed.mark_urgent(item.revision);
        }
    }

    fn watch(&mut self, store: &Store) {
        let revision = self.feed.revision();
        if revision == 0 {
            self.list(store);
        } else if self.response.is_none() {
            let page = Page {
                items: store.since("", revision),
                revision: store.revision,
                ..Page::default()
            };
            self.response = Some(page);
            self.polled = revision;
        }
    }

    fn poll(&mut self, store: &Store) {
        if self.response.is_some() {
            self.poll_after(store, self.polled);
            self.polled = store.revision;
        }
    }

    fn confirm(&mut self, store: &Store, moves: bool) {
        let after = self.feed.cursor().small_revision;
        if moves {
            self.poll_after(store, after);
        } else {
            self.apply(Page {
                items: store.since(POLLED_PREFIX, after),
                ..Page::default()
            });
        }
    }

    fn poll_after(&mut self, store: &Store, revision: u64) {
        self.apply(Page {
            items: store.since(POLLED_PREFIX, revision),
            small_revision: store.revision,
            ..Page::default()
        });
    }

    fn receive(&mut self) {
        if let Some(page) = self.response.take() {
            self.apply(page);
        }
    }
}

/// A follower of commit 9fad22f, which knows one revision.
#[derive(Default)]
struct Older {
    items: BTreeMap<String, Item>,
    revision: u64,
}

impl Older {
    fn set(&mut self, item: Item) {
        let known = self.items.get(&item.key);
        if known.is_none_or(|known| known.revision < item.revision) {
            self.items.insert(item.key.clone(), item);
        }
    }

    fn follow(&mut self, source: &Feed, store: &Store) {
        let page = match source.complete_since(self.revision, LIMITS) {
            Change::Changes(page) => page,
            Change::Compacted => Page {
                items: store.last().into_values().collect(),
                revision: store.revision,
                ..Page::default()
            },
        };
        let last = store.last();
        for (key, _) in &page.large {
            self.set(last[key].clone());
        }
        for item in page.items {
            self.set(item);
        }
        self.revision = self.revision.max(page.revision);
    }
}

struct World {
    store: Store,
    gateways: Vec<Gateway>,
    older: Older,
}

impl World {
    fn new() -> Self {
        let mut store = Store::default();
        store.write(0, Some(b"first".to_vec()));
        let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|_| Gateway::new()).collect();
        for gateway in &mut gateways {
            gateway.list(&store);
        }
        let mut older = Older::default();
        older.follow(&gateways[0].feed, &store);
        Self {
            store,
            gateways,
            older,
        }
    }

    /// Lets a gateway ask another one; a watch that was waiting is given up.
    fn follow(&mut self, gateway: usize, source: usize) {
        self.gateways[gateway].response = None;
        let cursor = self.gateways[gateway].feed.cursor();
        match self.gateways[source].feed.since(cursor, LIMITS) {
            Change::Changes(page) => self.gateways[gateway].apply(page),
            Change::Compacted => self.gateways[gateway].list(&self.store),
        }
    }

    fn fetch(&mut self, gateway: usize, source: usize) {
        for (key, revision) in self.gateways[gateway].feed.missing().clone() {
            let item = self.gateways[source].feed.get(&key);
            if let Some(item) = item.filter(|item| item.revision >= revision).cloned() {
                self.gateways[gateway].apply(Page {
                    items: vec![item],
                    ..Page::default()
                });
            }
        }
    }

    fn step(&mut self, step: &Step) {
        let store = &mut self.store;
        match *step {
            Step::Write { key, is_large } => {
                let size = if is_large { LARGE_VALUE_BYTES + 1 } else { 8 };
                store.write(key, Some(vec![b'x'; size]));
            }
            Step::Remove { key } => store.write(key, None),
            Step::Watch { gateway } => self.gateways[gateway].watch(store),
            Step::Receive { gateway } => self.gateways[gateway].receive(),
            Step::Poll { gateway } => self.gateways[gateway].poll(store),
            Step::Confirm { gateway, moves } => self.gateways[gateway].confirm(store, moves),
            Step::List { gateway } => self.gateways[gateway].list(store),
            Step::Follow { gateway, source } => self.follow(gateway, source),
            Step::Fetch { gateway, source } => self.fetch(gateway, source),
            Step::FollowOlder { source } => {
                self.older.follow(&self.gateways[source].feed, &self.store);
            }
        }
    }

    /// Returns the first change that a gateway should know by its position, and does not.
    fn find_hidden(&self) -> Option<String> {
        for (number, gateway) in self.gateways.iter().enumerate() {
            let feed = &gateway.feed;
            let Cursor {
                revision,
                small_revision,
            } = feed.cursor();
            for (key, item) in self.store.last() {
                let size = item.value.as_ref().map_or(0, Vec::len);
                let is_small = key.starts_with(POLLED_PREFIX) && size <= LARGE_VALUE_BYTES;
                let end = if is_small { small_revision } else { revision };
                let known = feed.get(&key).map_or(0, |known| known.revision);
                let is_removed = item.value.is_none() && !feed.contains(&key);
                if item.revision <= end
                    && known < item.revision
                    && !feed.missing().contains_key(&key)
                    && !is_removed
                {
                    return Some(format!("gateway {number} at {:?}: {item:?}", feed.cursor()));
                }
            }
        }
        None
    }

    /// Lets the first gateway receive all changes, and the others follow it.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for gateway in &mut self.gateways {
            gateway.receive();
        }
        self.gateways[0].watch(&self.store);
        self.gateways[0].receive();
        self.fetch_from_store();
        let expected: BTreeSet<(String, u64)> = live(self.store.last().values());
        prop_assert_eq!(&live_of(&self.gateways[0].feed), &expected);
        for gateway in 1..GATEWAYS {
            let feed = &self.gateways[gateway].feed;
            let revision = |feed: &Feed| {
                feed.missing()
                    .get("config")
                    .copied()
                    .or(feed.key_revision("config"))
            };
            let is_known = revision(feed) == revision(&self.gateways[0].feed);
            let is_urgent = self.gateways[0].feed.has_urgent(feed.cursor());
            prop_assert!(is_known || is_urgent, "a configuration is not urgent");
            for _ in 0..ROUNDS {
                self.follow(gateway, 0);
                self.fetch(gateway, 0);
            }
            prop_assert_eq!(&live_of(&self.gateways[gateway].feed), &expected);
        }
        for _ in 0..ROUNDS {
            self.older.follow(&self.gateways[0].feed, &self.store);
        }
        prop_assert_eq!(&live(self.older.items.values()), &expected);
        Ok(())
    }

    /// Fetches what the first gateway lacks from the store.
    fn fetch_from_store(&mut self) {
        let last = self.store.last();
        for key in self.gateways[0].feed.missing().clone().into_keys() {
            self.gateways[0].apply(Page {
                items: vec![last[&key].clone()],
                ..Page::default()
            });
        }
    }
}

/// Returns the keys that have values, with the revisions of these.
fn live<'a>(items: impl Iterator<Item = &'a Item>) -> BTreeSet<(String, u64)> {
    items
        .filter(|item| item.value.is_some())
        .map(|item| (item.key.clone(), item.revision))
        .collect()
}

fn live_of(feed: &Feed) -> BTreeSet<(String, u64)> {
    live(KEYS.iter().filter_map(|key| feed.get(key)))
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = 0..GATEWAYS;
    let pair = (0..GATEWAYS, 0..GATEWAYS);
    prop_oneof![
        4 => (0..KEYS.len(), any::<bool>())
            .prop_map(|(key, is_large)| Step::Write { key, is_large }),
        1 => (1..KEYS.len()).prop_map(|key| Step::Remove { key }),
        3 => gateway.clone().prop_map(|gateway| Step::Watch { gateway }),
        3 => gateway.clone().prop_map(|gateway| Step::Receive { gateway }),
        4 => gateway.clone().prop_map(|gateway| Step::Poll { gateway }),
        3 => (gateway.clone(), any::<bool>())
            .prop_map(|(gateway, moves)| Step::Confirm { gateway, moves }),
        1 => gateway.clone().prop_map(|gateway| Step::List { gateway }),
        6 => pair.clone().prop_map(|(gateway, source)| Step::Follow { gateway, source }),
        3 => pair.prop_map(|(gateway, source)| Step::Fetch { gateway, source }),
        2 => gateway.prop_map(|source| Step::FollowOlder { source }),
    ]
}

proptest! {
    #![proptest_config(fixed_seed(4000))]

    #[test]
    fn since_in_any_order_converges(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            let hidden = world.find_hidden();
            prop_assert!(hidden.is_none(), "{hidden:?}");
        }
        world.settle()?;
    }
}
