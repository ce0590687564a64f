//! The number of calls to the store must not grow with the number of VMs. When each of the 84 VMs
//! of a site watched the store itself, the calls cost a tenth of what served requests were worth.

use std::collections::{BTreeMap, BTreeSet};

use endivespur_core::gateway::source::{RETRY_DELAY, Selector, Source, VMS_PER_WATCHER};
use endivespur_core::id::{Vm, Zone};

use crate::ms;

fn site(vms: usize, zones: usize) -> BTreeMap<Vm, Zone> {
    let vm = |number: usize| (format!("vm-{number}"), format!("z{}", number % zones));
    (0..vms).map(vm).collect()
}

fn selector(vm: &str, zones: &BTreeMap<Vm, Zone>) -> Selector {
    Selector::new(vm, &zones[vm])
}

/// Returns a VM that follows another, with its selector.
fn follower(zones: &BTreeMap<Vm, Zone>) -> (Vm, Selector) {
    let selectors = zones.keys().map(|vm| (vm.clone(), selector(vm, zones)));
    let mut followers =
        selectors.filter(|(_, selector)| selector.choose(ms(0), zones) != Source::Store);
    followers.next().unwrap()
}

/// Returns which VMs watch the store, and how many follow each.
fn followers(zones: &BTreeMap<Vm, Zone>) -> (BTreeSet<Vm>, BTreeMap<Vm, usize>) {
    let mut watchers = BTreeSet::new();
    let mut followers: BTreeMap<Vm, usize> = BTreeMap::new();
    for vm in zones.keys() {
        match selector(vm, zones).choose(ms(0), zones) {
            Source::Store => {
                watchers.insert(vm.clone());
            }
            Source::Vm(watcher) => {
                assert_eq!(zones[vm], zones[&watcher], "followed in another zone");
                *followers.entry(watcher).or_default() += 1;
            }
        }
    }
    (watchers, followers)
}

#[test]
fn choose_few_watch_for_all() {
    for (vms, zones) in [(9, 3), (84, 3), (86, 5), (300, 3)] {
        let (watchers, followers) = followers(&site(vms, zones));
        assert!(watchers.len() <= vms / VMS_PER_WATCHER + zones, "{vms}");
        assert!(followers.keys().all(|vm| watchers.contains(vm)));
        let max = followers.values().max().copied().unwrap_or_default();
        assert!(max <= 3 * VMS_PER_WATCHER, "{vms}: one has {max}");
    }
}

#[test]
fn choose_watcher_fails() {
    let zones = site(84, 3);
    let (vm, mut selector) = follower(&zones);
    let mut now = ms(0);
    let mut tried = Vec::new();
    loop {
        let source = selector.choose(now, &zones);
        let is_last = source == Source::Store;
        assert!(!tried.contains(&source));
        selector.record_failure(now, &source);
        tried.push(source);
        now += ms(1);
        if is_last {
            break;
        }
    }
    // All other watchers, those of its own zone first, then the store.
    let (watchers, _) = followers(&zones);
    assert_eq!(tried.len(), watchers.len() + 1);
    let is_near = |source: &Source| match source {
        Source::Vm(watcher) => zones[watcher] == zones[&vm],
        Source::Store => false,
    };
    let near = tried.iter().take_while(|source| is_near(source)).count();
    assert_eq!(near, tried.iter().filter(|source| is_near(source)).count());
    assert_eq!(selector.choose(now + RETRY_DELAY, &zones), tried[0]);
}

#[test]
fn choose_store_refuses_a_watcher() {
    let zones = site(9, 3);
    let (watchers, _) = followers(&zones);
    let vm = watchers.first().unwrap();
    let mut selector = selector(vm, &zones);
    selector.record_failure(ms(0), &Source::Store);
    let source = selector.choose(ms(1), &zones);
    assert!(matches!(&source, Source::Vm(other) if watchers.contains(other) && other != vm));
    assert_eq!(selector.choose(RETRY_DELAY, &zones), Source::Store);
}

/// A source that has lost its connection to the store answers so at once, and may reconnect at any
/// time.
#[test]
fn choose_disconnected_source() {
    let zones = site(9, 3);
    let (_, mut selector) = follower(&zones);
    let first = selector.choose(ms(0), &zones);
    for second in 0..20 {
        let now = ms(1000 * second);
        assert_eq!(selector.choose(now, &zones), first);
        selector.record_disconnected(now, &first);
        assert_ne!(selector.choose(now, &zones), first);
    }
}

/// Each attempt to reach a partitioned source takes a second, so that attempts become rarer.
#[test]
fn choose_source_that_keeps_failing() {
    let zones = site(84, 3);
    let (_, mut selector) = follower(&zones);
    let first = selector.choose(ms(0), &zones);
    let mut attempts = 0;
    for second in 0..60 {
        if selector.choose(ms(1000 * second), &zones) == first {
            selector.record_failure(ms(1000 * second), &first);
            attempts += 1;
        }
    }
    assert!((5..=14).contains(&attempts), "{attempts}");
}

/// A watcher that the store refuses has a stale list of watchers once its lease has lapsed.
#[test]
fn choose_store_refuses_the_only_watcher() {
    let zones = site(2, 1);
    let (watchers, _) = followers(&zones);
    let vm = watchers.first().unwrap();
    let mut selector = selector(vm, &zones);
    selector.record_failure(ms(0), &Source::Store);
    let source = selector.choose(ms(1), &zones);
    assert!(matches!(source, Source::Vm(other) if other != *vm));
}

#[test]
fn choose_unknown_vm() {
    let zones = site(9, 3);
    let selector = Selector::new("new", "z0");
    assert_eq!(selector.choose(ms(0), &zones), Source::Store);
}
