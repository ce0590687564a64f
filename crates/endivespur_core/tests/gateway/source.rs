//! The number of calls to the store must not grow with the number of VMs. When each of the 84 VMs
//! of a site watched the store itself, the calls cost a tenth of what served requests were worth.

use std::collections::{BTreeMap, BTreeSet};

use endivespur_core::gateway::source::{
    CANDIDATES_PER_ROUND, Gateway, MAX_VMS_PER_WATCHER, RETRY_DELAY, Selector, Source,
    VMS_PER_WATCHER,
};
use endivespur_core::id::Vm;

use crate::ms;

/// The bytes a second of the slowest links.
const LINK_RATE: u64 = 1_250_000;

fn site(vms: usize, zones: usize) -> BTreeMap<Vm, Gateway> {
    let gateway = |number: usize| Gateway {
        zone: format!("z{}", number % zones),
        link_rate: LINK_RATE,
    };
    (0..vms)
        .map(|number| (format!("vm-{number}"), gateway(number)))
        .collect()
}

/// Returns the selector of a VM, with the store as its source.
fn selector(vm: &str, zones: &BTreeMap<Vm, Gateway>) -> Selector {
    let mut selector = Selector::new(vm, &zones[vm].zone);
    selector.record_success(&Source::Store);
    selector
}

/// Returns a VM that follows another, with its selector.
fn follower(zones: &BTreeMap<Vm, Gateway>) -> (Vm, Selector) {
    let selectors = zones.keys().map(|vm| (vm.clone(), selector(vm, zones)));
    let mut followers =
        selectors.filter(|(_, selector)| selector.choose(ms(0), zones) != Some(Source::Store));
    let (vm, mut selector) = followers.next().unwrap();
    let source = selector.choose(ms(0), zones).unwrap();
    selector.record_success(&source);
    (vm, selector)
}

/// Returns which VMs watch the store, and how many follow each.
fn followers(zones: &BTreeMap<Vm, Gateway>) -> (BTreeSet<Vm>, BTreeMap<Vm, usize>) {
    let mut watchers = BTreeSet::new();
    let mut followers: BTreeMap<Vm, usize> = BTreeMap::new();
    for vm in zones.keys() {
        match selector(vm, zones).choose(ms(0), zones).unwrap() {
            Source::Store => {
                watchers.insert(vm.clone());
            }
            Source::Vm(watcher) => {
                assert_eq!(
                    zones[vm].zone, zones[&watcher].zone,
                    "followed in another zone"
                );
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

/// Sources were tried one after the other, each for more than a second. One that fails must be followed by a
/// search, which asks all other watchers first, those of the own zone before others, and then all gateways.
#[test]
fn choose_watcher_fails() {
    let zones = site(84, 3);
    let (vm, mut selector) = follower(&zones);
    let source = selector.current().unwrap().clone();
    selector.record_failure(ms(0), &source);
    assert_eq!(selector.choose(ms(0), &zones), None);
    let (watchers, _) = followers(&zones);
    let rounds = 0..zones.len().div_ceil(CANDIDATES_PER_ROUND);
    let rounds: Vec<Vec<Vm>> = rounds
        .map(|round| selector.candidates(round, &zones))
        .collect();
    assert!(
        rounds
            .iter()
            .all(|round| round.len() <= CANDIDATES_PER_ROUND)
    );
    let asked = rounds.concat();
    assert_eq!(asked.iter().collect::<BTreeSet<_>>().len(), zones.len() - 1);
    assert!(
        asked[..watchers.len()]
            .iter()
            .all(|vm| watchers.contains(vm))
    );
    let is_near = |vm: &&Vm| zones[*vm].zone == zones[&asked[0]].zone;
    let near = asked[..watchers.len()].iter().take_while(is_near).count();
    let all_near = asked[..watchers.len()].iter().filter(is_near).count();
    assert_eq!(near, all_near);
    assert_eq!(zones[&asked[0]].zone, zones[&vm].zone);
    assert_eq!(selector.candidates(rounds.len(), &zones), rounds[0]);
}

/// Between two answers of the current source at most one other source is tried: each trial may take as long as
/// a source that does not answer.
#[test]
fn choose_one_trial_between_answers() {
    let zones = site(84, 3);
    let (_, mut selector) = follower(&zones);
    let preferred = selector.current().unwrap().clone();
    selector.record_failure(ms(0), &preferred);
    selector.record_success(&Source::Store);
    let mut trials = BTreeSet::new();
    loop {
        let chosen = selector.choose(ms(1), &zones).unwrap();
        if chosen == Source::Store {
            break;
        }
        assert!(trials.insert(chosen.clone()));
        selector.record_failure(ms(1), &chosen);
        assert_eq!(selector.choose(ms(1), &zones), Some(Source::Store));
        selector.record_success(&Source::Store);
    }
    let (watchers, _) = followers(&zones);
    assert_eq!(trials.len(), watchers.len() - 1);
    assert_eq!(selector.choose(RETRY_DELAY, &zones), Some(preferred));
}

#[test]
fn choose_store_refuses_a_watcher() {
    let zones = site(9, 3);
    let (watchers, _) = followers(&zones);
    let vm = watchers.first().unwrap();
    let mut selector = selector(vm, &zones);
    selector.record_failure(ms(0), &Source::Store);
    assert_eq!(selector.choose(ms(1), &zones), None);
    let candidates = selector.candidates(0, &zones);
    assert!(watchers.contains(&candidates[0]) && !candidates.contains(vm));
    let found = Source::Vm(candidates[0].clone());
    selector.record_success(&found);
    assert_eq!(selector.choose(ms(1), &zones), Some(found));
    assert_eq!(selector.choose(RETRY_DELAY, &zones), Some(Source::Store));
}

/// A source that has lost its connection to the store answers so at once, and may reconnect at any
/// time.
#[test]
fn choose_disconnected_source() {
    let zones = site(9, 3);
    let (_, mut selector) = follower(&zones);
    let first = selector.current().unwrap().clone();
    for second in 0..20 {
        let now = ms(1000 * second);
        selector.record_success(&Source::Store);
        assert_eq!(selector.choose(now, &zones), Some(first.clone()));
        selector.record_disconnected(now, &first);
        assert_ne!(selector.choose(now, &zones), Some(first.clone()));
    }
}

/// Each trial of a partitioned source delays the changes of the current one, so that trials become rarer.
#[test]
fn choose_source_that_keeps_failing() {
    let zones = site(84, 3);
    let (_, mut selector) = follower(&zones);
    let first = selector.current().unwrap().clone();
    let (others, _) = followers(&zones);
    let mut attempts = 0;
    for second in 0..60 {
        let now = ms(1000 * second);
        let others = others.iter().map(|vm| Source::Vm(vm.clone()));
        for other in others.filter(|other| *other != first) {
            selector.record_failure(now, &other);
        }
        selector.record_success(&Source::Store);
        if selector.choose(now, &zones) == Some(first.clone()) {
            selector.record_failure(now, &first);
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
    let candidates = selector.candidates(0, &zones);
    assert!(candidates.len() == 1 && candidates[0] != *vm);
}

#[test]
fn choose_unknown_vm() {
    let zones = site(9, 3);
    let mut selector = Selector::new("new", "z0");
    assert_eq!(selector.choose(ms(0), &zones), None);
    selector.record_success(&Source::Store);
    assert_eq!(selector.choose(ms(0), &zones), Some(Source::Store));
}

/// The store sends a configuration whole to each watcher: over a link of 10 Mbit/s it takes a second, and the followers
/// of that watcher wait for it.
#[test]
fn choose_watchers_with_fast_links() {
    let mut zones = site(84, 3);
    let fast: BTreeSet<Vm> = (6..12).map(|number| format!("vm-{number}")).collect();
    for vm in &fast {
        zones.get_mut(vm).unwrap().link_rate = 20 * LINK_RATE;
    }
    let (watchers, _) = followers(&zones);
    assert!(fast.is_subset(&watchers), "{watchers:?}");
    assert!(watchers.len() <= 84 / VMS_PER_WATCHER + 3);
}

/// At a site of 195 VMs the watches of 20 of them cost more than all other calls to the store. Fast links carry the
/// changes to more followers.
#[test]
fn choose_fewer_watchers_with_fast_links() {
    let mut zones = site(195, 5);
    for (number, gateway) in zones.values_mut().enumerate() {
        gateway.link_rate = LINK_RATE * [2, 5, 20][number % 3];
    }
    let (watchers, followers) = followers(&zones);
    assert!(watchers.len() <= 195_usize.div_ceil(MAX_VMS_PER_WATCHER) + 5);
    for zone in zones.values().map(|gateway| &gateway.zone) {
        let count = watchers
            .iter()
            .filter(|vm| zones[*vm].zone == *zone)
            .count();
        assert!(count >= 2, "{zone} has {count}");
    }
    let max = followers.values().max().unwrap();
    assert!(*max <= 2 * MAX_VMS_PER_WATCHER, "one has {max}");
}

/// A gateway whose watch is slow asked only those of its zone, which may share what delays it, or never the one that has
/// received more.
#[test]
fn watchers_of_all_rounds() {
    let zones = site(200, 4);
    let (watchers, _) = followers(&zones);
    for vm in ["vm-0", "vm-1"] {
        let selector = selector(vm, &zones);
        let rounds = watchers.len().div_ceil(CANDIDATES_PER_ROUND);
        let asked: Vec<Vec<Vm>> = (0..rounds)
            .map(|round| selector.watchers(round, &zones))
            .collect();
        assert!(asked.iter().all(|vms| vms.len() <= CANDIDATES_PER_ROUND));
        let asked: BTreeSet<Vm> = asked.into_iter().flatten().collect();
        let mut others = watchers.clone();
        others.remove(vm);
        assert_eq!(asked, others);
        let first = [0, 1]
            .map(|round| selector.watchers(round, &zones))
            .concat();
        let first: BTreeSet<&str> = first.iter().map(|vm| zones[vm].zone.as_str()).collect();
        assert!(first.len() > 1, "{first:?}");
    }
}
