//! Pattern: calls of the store that grow with the number of VMs. On a site of 84 VMs each
//! watched by itself, which cost a tenth of all that callers gained.

use std::collections::{BTreeMap, BTreeSet};

use endivespur_core::gateway::source::{RETRY_DELAY, Selector, Source, VMS_PER_WATCHER};
use endivespur_core::id::{Vm, Zone};

use crate::ms;

fn site(vms: usize, zones: usize) -> BTreeMap<Vm, Zone> {
    let vm = |number: usize| (format!("vm-{number}"), format!("z{}", number % zones));
    (0..vms).map(vm).collect()
}

fn sources(vm: &str, zones: &BTreeMap<Vm, Zone>) -> Selector {
    Selector::new(vm, &zones[vm])
}

/// Returns a VM that follows another, with its choice.
fn follower(zones: &BTreeMap<Vm, Zone>) -> (Vm, Selector) {
    let choices = zones.keys().map(|vm| (vm.clone(), sources(vm, zones)));
    let mut followers = choices.filter(|(_, choice)| choice.choose(ms(0), zones) != Source::Store);
    followers.next().unwrap()
}

/// Returns which VMs watch the store, and how many follow each.
fn followers(zones: &BTreeMap<Vm, Zone>) -> (BTreeSet<Vm>, BTreeMap<Vm, usize>) {
    let mut watchers = BTreeSet::new();
    let mut followers: BTreeMap<Vm, usize> = BTreeMap::new();
    for vm in zones.keys() {
        match sources(vm, zones).choose(ms(0), zones) {
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
        let most = followers.values().max().copied().unwrap_or_default();
        assert!(most <= 3 * VMS_PER_WATCHER, "{vms}: one has {most}");
    }
}

#[test]
fn choose_watcher_fails() {
    let zones = site(84, 3);
    let (vm, mut choice) = follower(&zones);
    let mut now = ms(0);
    let mut tried = Vec::new();
    loop {
        let source = choice.choose(now, &zones);
        let is_last = source == Source::Store;
        assert!(!tried.contains(&source));
        choice.record_failure(now, &source);
        tried.push(source);
        now += ms(1);
        if is_last {
            break;
        }
    }
    // All other watchers, the own zone's first, then the store.
    let (watchers, _) = followers(&zones);
    assert_eq!(tried.len(), watchers.len() + 1);
    let is_near = |source: &Source| match source {
        Source::Vm(watcher) => zones[watcher] == zones[&vm],
        Source::Store => false,
    };
    let near = tried.iter().take_while(|source| is_near(source)).count();
    assert_eq!(near, tried.iter().filter(|source| is_near(source)).count());
    assert_eq!(choice.choose(now + RETRY_DELAY, &zones), tried[0]);
}

#[test]
fn choose_store_refuses_a_watcher() {
    let zones = site(9, 3);
    let (watchers, _) = followers(&zones);
    let vm = watchers.first().unwrap();
    let mut choice = sources(vm, &zones);
    choice.record_failure(ms(0), &Source::Store);
    let source = choice.choose(ms(1), &zones);
    assert!(matches!(&source, Source::Vm(other) if watchers.contains(other) && other != vm));
    assert_eq!(choice.choose(RETRY_DELAY, &zones), Source::Store);
}

/// A source that has lost the store says so at once, and may hear it again at any time.
#[test]
fn choose_source_that_was_away() {
    let zones = site(9, 3);
    let (_, mut choice) = follower(&zones);
    let first = choice.choose(ms(0), &zones);
    for second in 0..20 {
        let now = ms(1000 * second);
        assert_eq!(choice.choose(now, &zones), first);
        choice.record_disconnected(now, &first);
        assert_ne!(choice.choose(now, &zones), first);
    }
}

/// A source that is cut off costs a second with each attempt: attempts become rarer.
#[test]
fn choose_source_that_keeps_failing() {
    let zones = site(84, 3);
    let (_, mut choice) = follower(&zones);
    let first = choice.choose(ms(0), &zones);
    let mut attempts = 0;
    for second in 0..60 {
        if choice.choose(ms(1000 * second), &zones) == first {
            choice.record_failure(ms(1000 * second), &first);
            attempts += 1;
        }
    }
    assert!((5..=14).contains(&attempts), "{attempts}");
}

/// A watcher that the store refuses does not know who watches since its lease has lapsed.
#[test]
fn choose_store_refuses_the_only_watcher() {
    let zones = site(2, 1);
    let (watchers, _) = followers(&zones);
    let vm = watchers.first().unwrap();
    let mut choice = sources(vm, &zones);
    choice.record_failure(ms(0), &Source::Store);
    let source = choice.choose(ms(1), &zones);
    assert!(matches!(source, Source::Vm(other) if other != *vm));
}

#[test]
fn choose_unknown_vm() {
    let zones = site(9, 3);
    let choice = Selector::new("new", "z0");
    assert_eq!(choice.choose(ms(0), &zones), Source::Store);
}
