//! Selects the source from which a gateway reads the store's changes.
//!
//! In each zone a few gateways (watchers) watch the store, those with the fastest links; the others follow them, so
//! that the number of calls to the store does not grow with the number of VMs. A gateway whose source
//! fails asks others and the store at the same time, and takes the first that answers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::hash;
use crate::id::{Vm, Zone};

/// The number of VMs in a zone per watcher whose link is one of the slowest: a watcher sends every change of endpoints
/// to each follower.
pub const VMS_PER_WATCHER: usize = 12;
/// The maximum number of VMs per watcher, however fast its link: they all need another source if it is lost.
pub const MAX_VMS_PER_WATCHER: usize = 24;
/// The bytes a second that the slowest links carry.
const SLOWEST_LINK_RATE: u64 = 1_250_000;
/// The number of watchers in a zone with followers: if one is lost, the others take its followers.
const MIN_WATCHERS: usize = 2;
/// How long a source is not tried after its first failure: the lease of a VM that died lapses soon
/// after.
pub const RETRY_DELAY: Duration = Duration::from_millis(1500);
/// How long a source is not tried that has lost its own connection to the store; shorter, since
/// such a source answers at once.
const DISCONNECTED_RETRY_DELAY: Duration = Duration::from_millis(700);
/// The maximum retry delay. The delay grows with each failure, since every trial delays the changes
/// of the current source.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(6);
/// The number of gateways that are asked at the same time by one that has no source.
pub const CANDIDATES_PER_ROUND: usize = 4;
/// The key that ranks the VMs of a zone.
const RANK_KEY: &str = "watch";

/// What a gateway's record says that decides whom it follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Its zone.
    pub zone: Zone,
    /// The bytes a second that its link carries.
    pub link_rate: u64,
}

/// A source of changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The store.
    Store,
    /// Another gateway.
    Vm(Vm),
}

/// Selects a source for one gateway.
///
/// A gateway leaves a source that answers only for a better one that has answered a trial. If its
/// source fails it has none, and asks many at once.
#[derive(Clone, Debug)]
pub struct Selector {
    vm: Vm,
    zone: Zone,
    /// The source that answered last.
    current: Option<Source>,
    /// Whether another source may be tried: the current one has answered since the last trial failed.
    may_try: bool,
    /// The sources that failed since they last answered.
    failures: BTreeMap<Source, Failure>,
}

/// When to try a failed source again, and the delay if it fails again.
#[derive(Clone, Copy, Debug)]
struct Failure {
    retry_at: Time,
    next_delay: Duration,
}

impl Selector {
    /// Creates the selector of a gateway that has no source yet.
    pub fn new(vm: &str, zone: &str) -> Self {
        Self {
            vm: vm.to_string(),
            zone: zone.to_string(),
            current: None,
            may_try: false,
            failures: BTreeMap::new(),
        }
    }

    /// Returns the source that answered last, if it has not failed since.
    pub fn current(&self) -> Option<&Source> {
        self.current.as_ref()
    }

    /// Records that a source has lost its own connection to the store, or did not answer in a search. Neither
    /// has delayed another source, so that the retry delay does not grow.
    pub fn record_disconnected(&mut self, now: Time, source: &Source) {
        let next_delay = self.next_delay(source);
        self.fail(source, now + DISCONNECTED_RETRY_DELAY, next_delay);
    }

    /// Records that a source did not answer.
    pub fn record_failure(&mut self, now: Time, source: &Source) {
        let delay = self.next_delay(source);
        self.fail(source, now + delay, (delay * 2).min(MAX_RETRY_DELAY));
    }

    fn next_delay(&self, source: &Source) -> Duration {
        let failure = self.failures.get(source);
        failure.map_or(RETRY_DELAY, |failure| failure.next_delay)
    }

    fn fail(&mut self, source: &Source, retry_at: Time, next_delay: Duration) {
        let failure = Failure {
            retry_at,
            next_delay,
        };
        self.failures.insert(source.clone(), failure);
        self.may_try = false;
        if self.current.as_ref() == Some(source) {
            self.current = None;
        }
    }

    /// Records that a source answered: it is the current one from now on.
    pub fn record_success(&mut self, source: &Source) {
        self.failures.remove(source);
        self.current = Some(source.clone());
        self.may_try = true;
    }

    /// Returns whether a source has failed since it last answered.
    pub fn has_failed(&self, source: &Source) -> bool {
        self.failures.contains_key(source)
    }

    /// Chooses the source to ask next, given all live gateways: the current one, or a better one
    /// for a trial. Returns `None` if there is no current source.
    pub fn choose(&self, now: Time, gateways: &BTreeMap<Vm, Gateway>) -> Option<Source> {
        let current = self.current.as_ref()?;
        let is_due = |source: &Source| {
            let failure = self.failures.get(source);
            self.may_try && failure.is_none_or(|failure| failure.retry_at <= now)
        };
        let order = self.order(gateways);
        let mut better = order.iter().take_while(|source| *source != current);
        let chosen = better.find(|source| is_due(source)).unwrap_or(current);
        Some(chosen.clone())
    }

    /// Returns the sources that this gateway should have, the best first.
    ///
    /// A watcher uses the store, a follower a watcher, preferably of its own zone.
    fn order(&self, gateways: &BTreeMap<Vm, Gateway>) -> Vec<Source> {
        let watchers = watchers(gateways);
        let is_watcher = watchers.contains(&self.vm) || !gateways.contains_key(&self.vm);
        let others = watchers.into_iter().filter(|vm| *vm != self.vm);
        let vms = self.rank(others.collect(), gateways);
        let vms = vms.into_iter().map(Source::Vm);
        if is_watcher {
            [Source::Store].into_iter().chain(vms).collect()
        } else {
            vms.chain([Source::Store]).collect()
        }
    }

    /// Returns VMs in the order in which this gateway asks them, those of its own zone first.
    fn rank(&self, vms: Vec<Vm>, gateways: &BTreeMap<Vm, Gateway>) -> Vec<Vm> {
        let is_near = |vm: &Vm| {
            gateways
                .get(vm)
                .is_some_and(|gateway| gateway.zone == self.zone)
        };
        let (near, far): (Vec<Vm>, Vec<Vm>) = vms.into_iter().partition(is_near);
        let rank = |vms: Vec<Vm>| hash::rank(&self.vm, vms, String::as_str, usize::MAX);
        [rank(near), rank(far)].concat()
    }

    /// Returns all other gateways in the order in which this gateway asks them for a value.
    pub fn all(&self, gateways: &BTreeMap<Vm, Gateway>) -> Vec<Vm> {
        let others = gateways.keys().filter(|vm| **vm != self.vm).cloned();
        self.rank(others.collect(), gateways)
    }

    /// Returns the watchers to ask at once in a round, numbered from 0, by one that wants to know whether others have
    /// received more than it has. Those of its zone are not preferred, since they may share what delays it.
    pub fn watchers(&self, round: usize, gateways: &BTreeMap<Vm, Gateway>) -> Vec<Vm> {
        let mut others = watchers(gateways);
        others.retain(|vm| *vm != self.vm);
        let ranked = hash::rank(&self.vm, others, String::as_str, usize::MAX);
        take_round(ranked, round)
    }

    /// Returns the gateways to ask at once in a round of a search for a source, numbered from 0.
    ///
    /// The rounds begin with the watchers and come to all gateways, since one that cannot reach the store has a
    /// stale view of which gateways watch it.
    pub fn candidates(&self, round: usize, gateways: &BTreeMap<Vm, Gateway>) -> Vec<Vm> {
        let watchers = watchers(gateways);
        let others = gateways.keys().filter(|vm| **vm != self.vm).cloned();
        let (first, last): (Vec<Vm>, Vec<Vm>) = others.partition(|vm| watchers.contains(vm));
        let all = [self.rank(first, gateways), self.rank(last, gateways)].concat();
        take_round(all, round)
    }
}

/// Returns the gateways of a round, numbered from 0; after the last ones the rounds begin again.
fn take_round(vms: Vec<Vm>, round: usize) -> Vec<Vm> {
    let rounds = vms.len().div_ceil(CANDIDATES_PER_ROUND).max(1);
    let skipped = round % rounds * CANDIDATES_PER_ROUND;
    let round = vms.into_iter().skip(skipped);
    round.take(CANDIDATES_PER_ROUND).collect()
}

/// Returns the VMs that watch the store, given all live gateways: in each zone those with the fastest links.
fn watchers(gateways: &BTreeMap<Vm, Gateway>) -> Vec<Vm> {
    let mut by_zone: BTreeMap<&Zone, Vec<&Vm>> = BTreeMap::new();
    for (vm, gateway) in gateways {
        by_zone.entry(&gateway.zone).or_default().push(vm);
    }
    by_zone
        .into_values()
        .flat_map(|vms| {
            let count = vms.len();
            let min = count.div_ceil(VMS_PER_WATCHER).min(MIN_WATCHERS);
            let mut ranked = hash::rank(RANK_KEY, vms, |vm| vm.as_str(), usize::MAX);
            let link_rate = |vm: &str| gateways.get(vm).map_or(0, |gateway| gateway.link_rate);
            ranked.sort_by_key(|vm| Reverse(link_rate(vm)));
            let mut served = 0;
            let watchers = ranked
                .into_iter()
                .enumerate()
                .take_while(move |(index, vm)| {
                    let is_needed = *index < min || served < count;
                    served += followers(link_rate(vm));
                    is_needed
                });
            watchers.map(|(_, vm)| vm)
        })
        .cloned()
        .collect()
}

/// Returns the number of VMs to which a link carries the changes of endpoints.
fn followers(link_rate: u64) -> usize {
    let share = link_rate as f64 / SLOWEST_LINK_RATE as f64;
    let followers = (VMS_PER_WATCHER as f64 * share) as usize;
    followers.clamp(VMS_PER_WATCHER, MAX_VMS_PER_WATCHER)
}
