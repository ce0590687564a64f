//! Gateways follow other gateways, which may be ahead, behind or restarted.

use assert_matches::assert_matches;
use endivespur_core::gateway::feed::{Change, Cursor, Feed, Item, LARGE_VALUE_BYTES, Limits, Page};

/// Limits that the tests do not reach, except for large values.
const ALL: Limits = Limits {
    bytes: 1 << 20,
    value_bytes: 1 << 10,
};

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_string(),
        value: Some(format!("{key} at {revision}").into_bytes()),
        revision,
    }
}

fn removed(key: &str, revision: u64) -> Item {
    Item {
        value: None,
        ..item(key, revision)
    }
}

fn page(items: Vec<Item>, revision: u64) -> Page {
    Page {
        items,
        revision,
        small_revision: revision,
        ..Page::default()
    }
}

/// Returns the position of a follower that has received all changes up to a revision.
fn at(revision: u64) -> Cursor {
    Cursor {
        revision,
        small_revision: revision,
    }
}

/// Applies all changes of `from` since the revision of `feed`.
fn follow(feed: &mut Feed, from: &Feed) {
    let Change::Changes(page) = from.since(feed.cursor(), ALL) else {
        panic!("compacted");
    };
    feed.apply(page);
}

fn keys_since(feed: &Feed, after: u64) -> Vec<String> {
    match feed.since(at(after), ALL) {
        Change::Changes(page) => page.items.into_iter().map(|item| item.key).collect(),
        Change::Compacted => panic!("compacted"),
    }
}

#[test]
fn apply_older_change() {
    let mut feed = Feed::new();
    feed.replace(page(vec![item("a", 5)], 7));
    let changed = feed.apply(page(vec![item("a", 5), item("a", 4), item("b", 8)], 8));
    assert_eq!(changed, vec![item("b", 8)]);
    assert_eq!(feed.revision(), 8);
}

#[test]
fn apply_source_behind() {
    let mut feed = Feed::new();
    feed.replace(page(vec![item("a", 5)], 9));
    feed.apply(page(Vec::new(), 6));
    assert_eq!(feed.revision(), 9);
}

#[test]
fn replace_removed_key() {
    let mut feed = Feed::new();
    feed.replace(page(vec![item("a", 1), item("b", 2)], 2));
    let changed = feed.replace(page(vec![item("a", 1)], 6));
    assert_eq!(changed, vec![removed("b", 6)]);
}

#[test]
fn since_changes_are_merged() {
    let mut feed = Feed::new();
    feed.replace(page(vec![item("a", 1), item("b", 2)], 2));
    for revision in 3..20 {
        feed.apply(page(vec![item("a", revision)], revision));
    }
    feed.apply(page(vec![removed("b", 20)], 20));
    assert_eq!(keys_since(&feed, 2), ["a", "b"]);
    assert_eq!(keys_since(&feed, 19), ["b"]);
    assert!(keys_since(&feed, 20).is_empty());
}

#[test]
fn since_more_than_one_answer() {
    let mut source = Feed::new();
    source.replace(page(vec![item("a", 1), item("b", 2)], 2));
    let mut feed = source.clone();
    let items = (1..=40).map(|number| item(&format!("k{number}"), number / 4 + 3));
    source.apply(page(items.collect(), 13));
    let few = Limits { bytes: 80, ..ALL };
    for _ in 0..12 {
        let Change::Changes(page) = source.since(feed.cursor(), few) else {
            panic!("compacted");
        };
        assert!(page.items.len() <= 9);
        feed.apply(page);
    }
    assert_eq!(feed.revision(), 13);
    assert_eq!(keys_since(&feed, 0), keys_since(&source, 0));
}

/// A configuration of half a megabyte that one VM with 10 Mbit/s sent to a dozen followers did not
/// take effect on all of them within the permitted time.
#[test]
fn since_large_value() {
    let mut source = Feed::new();
    source.replace(page(vec![item("a", 1)], 1));
    let large = Item {
        value: Some(vec![0; 500_000]),
        ..item("config", 2)
    };
    source.apply(page(vec![large.clone(), item("b", 3)], 3));
    assert_eq!(
        source.since(at(1), ALL),
        Change::Changes(Page {
            large: vec![("config".to_string(), 2)],
            ..page(vec![item("b", 3)], 3)
        })
    );
    let whole = Limits {
        bytes: usize::MAX,
        value_bytes: usize::MAX,
    };
    assert_eq!(
        source.since(at(1), whole),
        Change::Changes(page(vec![large, item("b", 3)], 3))
    );
}

/// A key that was written and removed while the source was disconnected leaves no trace there.
#[test]
fn since_inside_a_gap() {
    let mut source = Feed::new();
    source.replace(page(vec![item("a", 1)], 5));
    source.replace(page(vec![item("a", 1)], 20));
    assert_matches!(source.since(at(12), ALL), Change::Compacted);
    assert_matches!(source.since(at(5), ALL), Change::Changes(_));
    assert_matches!(source.since(at(20), ALL), Change::Changes(_));
}

#[test]
fn since_restarted_source() {
    let mut source = Feed::new();
    source.replace(page(vec![item("a", 1)], 20));
    assert_matches!(source.since(at(12), ALL), Change::Compacted);
    assert_matches!(source.since(at(0), ALL), Change::Changes(_));
}

#[test]
fn since_removals_are_compacted() {
    let mut feed = Feed::new();
    feed.replace(page(Vec::new(), 1));
    for number in 0..10_000_u64 {
        let key = format!("k{number}");
        feed.apply(page(vec![item(&key, 2 * number + 2)], 2 * number + 2));
        feed.apply(page(vec![removed(&key, 2 * number + 3)], 2 * number + 3));
    }
    assert_matches!(feed.since(at(2), ALL), Change::Compacted);
    assert!(keys_since(&feed, feed.revision() - 20).len() <= 11);
}

#[test]
fn urgent_change_of_a_follower() {
    let mut source = Feed::new();
    source.replace(page(vec![item("a", 1)], 1));
    source.apply(page(vec![item("b", 4), item("a", 5)], 5));
    source.mark_urgent(4);
    let mut feed = Feed::new();
    feed.apply(page(Vec::new(), 1));
    assert!(source.has_urgent(feed.cursor()));
    assert!(source.has_urgent_complete(feed.revision()));
    follow(&mut feed, &source);
    assert!(!source.has_urgent(feed.cursor()));
    assert!(!source.has_urgent_complete(feed.revision()));
}

/// Returns a value that is transferred separately.
fn large(key: &str, revision: u64) -> Item {
    Item {
        value: Some(vec![b'x'; LARGE_VALUE_BYTES + 1]),
        ..item(key, revision)
    }
}

/// Returns a gateway on which a large value of revision 2 is on its way, and which has received the small changes up
/// to revision 4 meanwhile.
fn source_that_receives_a_large_value() -> Feed {
    let mut source = Feed::new();
    source.replace(page(vec![item("a", 1)], 1));
    source.apply(Page {
        items: vec![item("b", 3)],
        small_revision: 4,
        ..Page::default()
    });
    source
}

/// An endpoint that left was known only when a configuration that had changed before had arrived.
#[test]
fn since_small_changes_before_a_large_one() {
    let mut source = source_that_receives_a_large_value();
    let mut feed = Feed::new();
    feed.apply(page(Vec::new(), 1));
    follow(&mut feed, &source);
    assert!(feed.contains("b"));
    let cursor = Cursor {
        revision: 1,
        small_revision: 4,
    };
    assert_eq!(feed.cursor(), cursor);
    // The large value arrives after small changes with higher revisions.
    source.apply(page(vec![large("config", 2)], 3));
    assert!(source.has_urgent(feed.cursor()));
    follow(&mut feed, &source);
    assert_eq!(feed.missing().get("config"), Some(&2));
    assert_eq!((feed.revision(), feed.complete_revision()), (3, 1));
    assert!(!source.has_urgent(feed.cursor()));
}

/// Small changes that a follower has received must not be sent again and again while a large value is on its way.
#[test]
fn since_small_changes_once() {
    let source = source_that_receives_a_large_value();
    let mut feed = Feed::new();
    feed.apply(page(Vec::new(), 1));
    follow(&mut feed, &source);
    let Change::Changes(page) = source.since(feed.cursor(), ALL) else {
        panic!("compacted");
    };
    assert_eq!(page.items, []);
    assert!(!source.has_urgent(feed.cursor()));
}

/// Followers of the release at commit 9fad22f know one revision only, and would never ask for what changed before it.
#[test]
fn complete_since_without_a_large_value() {
    let mut source = source_that_receives_a_large_value();
    assert_eq!(
        source.complete_since(1, ALL),
        Change::Changes(page(Vec::new(), 1))
    );
    assert!(!source.has_urgent_complete(1));
    source.apply(page(vec![large("config", 2)], 3));
    source.mark_urgent(2);
    assert!(source.has_urgent_complete(1));
    let Change::Changes(page) = source.complete_since(1, ALL) else {
        panic!("compacted");
    };
    assert_eq!(page.large, [("config".to_string(), 2)]);
    assert_eq!(page.items, [item("b", 3)]);
    assert_eq!(page.revision, 3);
}

/// While the store turned some gateways away, the response to a watch exceeded the size above which small values are
/// polled. The configuration in it was small, and lay behind the position that the followers had reached: none of them
/// was sent it.
#[test]
fn since_small_value_that_is_not_polled() {
    let mut source = Feed::with_polled_prefixes(&["endpoint/"]);
    source.replace(page(vec![item("config", 1)], 1));
    let mut feed = source.clone();
    source.apply(Page {
        items: vec![item("endpoint/a", 3)],
        small_revision: 4,
        ..Page::default()
    });
    follow(&mut feed, &source);
    source.apply(page(vec![item("config", 2), item("endpoint/a", 3)], 4));
    assert!(source.has_urgent(feed.cursor()));
    follow(&mut feed, &source);
    assert_eq!(feed.key_revision("config"), Some(2));
    assert!(!source.has_urgent(feed.cursor()));
}

/// A follower that asked the store to confirm its view, in the time in which a new configuration was on its way from its
/// source, was never sent that configuration: callers got 404 for its routes, while changes of endpoints arrived.
#[test]
fn since_configuration_behind_a_confirmation() {
    let mut source = Feed::with_polled_prefixes(&["endpoint/"]);
    source.replace(page(vec![item("config", 1), item("endpoint/a", 2)], 2));
    let mut feed = source.clone();
    let confirmation = Page {
        items: vec![item("endpoint/b", 4)],
        small_revision: 5,
        ..Page::default()
    };
    feed.apply(confirmation);
    source.apply(page(vec![item("config", 3), item("endpoint/b", 4)], 5));
    assert!(source.has_urgent(feed.cursor()));
    source.apply(page(vec![item("endpoint/c", 6)], 6));
    follow(&mut feed, &source);
    assert_eq!(feed.key_revision("config"), Some(3));
    assert!(feed.contains("endpoint/c"));
}

/// A follower whose confirmation moved its position into what its source then listed could not be sent changes any more. It
/// had to list the store itself, which may refuse it.
#[test]
fn since_listing_after_a_confirmation() {
    let mut source = Feed::with_polled_prefixes(&["endpoint/"]);
    source.replace(page(vec![item("config", 1), item("endpoint/a", 60)], 60));
    let mut feed = source.clone();
    let moved = Cursor {
        revision: 60,
        small_revision: 75,
    };
    feed.apply(Page {
        items: vec![item("endpoint/b", 70)],
        ..Page::default()
    });
    let endpoints = [item("endpoint/a", 60), item("endpoint/b", 70)];
    let listed = endpoints.into_iter().chain([item("config", 80)]);
    source.replace(page(listed.collect(), 90));
    assert_matches!(source.since(moved, ALL), Change::Compacted);
    follow(&mut feed, &source);
    assert_eq!(feed.key_revision("config"), Some(80));
}

/// An endpoint that ended while one gateway listed the store stayed at the followers of another one, which had
/// received that listing and did not know that it hides removals.
#[test]
fn since_listing_of_a_source() {
    let mut first = Feed::new();
    first.replace(page(vec![item("a", 1)], 1));
    let mut follower = first.clone();
    let mut second = first.clone();
    follower.apply(page(vec![item("b", 2)], 2));
    first.replace(page(vec![item("a", 1)], 5));
    follow(&mut second, &first);
    assert_matches!(second.since(follower.cursor(), ALL), Change::Compacted);
    assert_matches!(second.since(at(1), ALL), Change::Changes(_));
}

/// A follower may have a large value that its source never received before it was removed.
#[test]
fn replace_missing_value() {
    let mut feed = Feed::new();
    feed.apply(Page {
        large: vec![("config".to_string(), 2)],
        ..page(Vec::new(), 3)
    });
    let changed = feed.replace(page(Vec::new(), 6));
    assert_eq!(changed, vec![removed("config", 6)]);
    assert!(feed.missing().is_empty());
}

/// A gateway that starts can receive all changes from another one, whatever that has discarded.
#[test]
fn since_the_beginning() {
    let mut source = Feed::new();
    source.replace(page(vec![item("a", 1)], 5));
    source.replace(page(vec![item("a", 1), item("b", 7)], 20));
    source.apply(page(vec![item("c", 22)], 23));
    let few = Limits { bytes: 0, ..ALL };
    let mut feed = Feed::new();
    for _ in 0..2 {
        let Change::Changes(page) = source.since(feed.cursor(), few) else {
            panic!("compacted");
        };
        feed.apply(page);
    }
    assert_eq!(keys_since(&feed, 0), ["a", "b"]);
    follow(&mut feed, &source);
    assert_eq!(keys_since(&feed, 0), keys_since(&source, 0));
}

/// A gateway that lacks a value must not send others a revision behind which they would not ask for it.
#[test]
fn complete_since_a_missing_value() {
    let mut feed = Feed::new();
    feed.apply(page(Vec::new(), 1));
    feed.apply(Page {
        large: vec![("config".to_string(), 2)],
        ..page(vec![item("b", 3)], 3)
    });
    assert_eq!(
        feed.complete_since(1, ALL),
        Change::Changes(page(Vec::new(), 1))
    );
    let Change::Changes(announced) = feed.since(at(1), ALL) else {
        panic!("compacted");
    };
    assert_eq!(announced.large, [("config".to_string(), 2)]);
    feed.apply(page(vec![large("config", 2)], 0));
    assert!(feed.missing().is_empty());
    assert_eq!(feed.complete_revision(), 3);
}

/// A newer value than the one that was announced takes its place.
#[test]
fn apply_newer_value_than_missing() {
    let mut feed = Feed::new();
    feed.apply(Page {
        large: vec![("config".to_string(), 2)],
        ..page(Vec::new(), 3)
    });
    feed.apply(page(vec![large("config", 5)], 0));
    assert!(feed.missing().is_empty());
    feed.apply(Page {
        large: vec![("config".to_string(), 5)],
        ..page(Vec::new(), 5)
    });
    assert!(feed.missing().is_empty());
}

/// A gateway that has fetched a newer value than it was told of cannot announce it yet. Its followers were answered at
/// once, with nothing, over and over.
#[test]
fn urgent_value_ahead_of_other_changes() {
    let mut source = Feed::new();
    source.replace(page(vec![item("a", 1)], 3));
    let follower = source.cursor();
    source.apply(page(vec![large("config", 9)], 0));
    source.mark_urgent(9);
    assert!(!source.has_urgent(follower));
    assert!(!source.has_urgent_complete(3));
    source.apply(page(Vec::new(), 9));
    assert!(source.has_urgent(follower));
    let Change::Changes(page) = source.since(follower, ALL) else {
        panic!("compacted");
    };
    assert_eq!(page.large, [("config".to_string(), 9)]);
    assert_eq!(page.revision, 9);
}
