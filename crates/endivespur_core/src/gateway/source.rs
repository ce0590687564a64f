//! Selects the source from which a gateway reads the store's changes.
//!
//! In each zone a few gateways (watchers) watch the store; the others follow them, so that the
//! number of calls to the store does not grow with the number of VMs. A gateway whose source
//! fails switches to another at once, and watches the store itself if there is none.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::hash;
use crate::id::{Vm, Zone};

/// The number of VMs in a zone per watcher: a watcher sends every change of endpoints to each
/// follower, which has to fit into the bandwidth of the smallest VM.
pub const VMS_PER_WATCHER: usize = 12;
/// How long a source is not used after its first failure: the lease of a VM that died lapses soon
/// after.
pub const RETRY_DELAY: Duration = Duration::from_millis(1500);
/// How long a source is not used that has lost its own connection to the store; shorter, since
/// such a source answers at once.
const DISCONNECTED_RETRY_DELAY: Duration = Duration::from_millis(700);
/// The maximum retry delay. The delay grows with each failure, since every attempt can take as long
/// as the first.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(6);
/// The maximum number of other gateways to try if neither a watcher nor the store answers.
const MAX_FALLBACKS: usize = 4;
/// The key that ranks the VMs of a zone.
const RANK_KEY: &str = "watch";

/// A source of changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The store.
    Store,
    /// Another gateway.
    Vm(Vm),
}

/// Selects a source for one gateway.
#[derive(Clone, Debug)]
pub struct Selector {
    vm: Vm,
    zone: Zone,
    /// The sources that failed since they last answered.
    failures: BTreeMap<Source, Failure>,
}

/// When to use a failed source again, and the current retry delay.
#[derive(Clone, Copy, Debug)]
struct Failure {
    retry_at: Time,
    retry_delay: Duration,
}

impl Selector {
    /// Creates the selector of a gateway.
    pub fn new(vm: &str, zone: &str) -> Self {
        Self {
            vm: vm.to_string(),
            zone: zone.to_string(),
            failures: BTreeMap::new(),
        }
    }

    /// Records that a source has lost its own connection to the store.
    pub fn record_disconnected(&mut self, now: Time, source: &Source) {
        let previous = self.failures.get(source);
        let failure = Failure {
            retry_at: now + DISCONNECTED_RETRY_DELAY,
            retry_delay: previous.map_or(RETRY_DELAY, |previous| previous.retry_delay),
        };
        self.failures.insert(source.clone(), failure);
    }

    /// Records that a source did not answer.
    pub fn record_failure(&mut self, now: Time, source: &Source) {
        let previous = self.failures.get(source);
        let retry_delay = previous.map_or(RETRY_DELAY, |previous| {
            (previous.retry_delay * 2).min(MAX_RETRY_DELAY)
        });
        let retry_at = now + retry_delay;
        self.failures.insert(
            source.clone(),
            Failure {
                retry_at,
                retry_delay,
            },
        );
    }

    /// Records that a source answered.
    pub fn record_success(&mut self, source: &Source) {
        self.failures.remove(source);
    }

    /// Returns whether a source has failed since it last answered.
    pub fn has_failed(&self, source: &Source) -> bool {
        self.failures.contains_key(source)
    }

    /// Chooses a source, given the zones of all live gateways.
    ///
    /// A watcher uses the store, a follower a watcher, preferably of its own zone. If none of them
    /// is usable, the store is tried and then a few other gateways, since a gateway that cannot
    /// reach the store has a stale view of which gateways watch it.
    pub fn choose(&self, now: Time, zones: &BTreeMap<Vm, Zone>) -> Source {
        let is_usable = |source: &Source| {
            let failure = self.failures.get(source);
            failure.is_none_or(|failure| failure.retry_at <= now)
        };
        let watchers = watchers(zones);
        let is_watcher = watchers.contains(&self.vm) || !zones.contains_key(&self.vm);
        if is_watcher && is_usable(&Source::Store) {
            return Source::Store;
        }
        let rank = |vms: Vec<Vm>, max: usize| hash::rank(&self.vm, vms, String::as_str, max);
        let others = zones.keys().filter(|vm| **vm != self.vm).cloned();
        let (watching, others): (Vec<Vm>, Vec<Vm>) = others.partition(|vm| watchers.contains(vm));
        let (near, far): (Vec<Vm>, Vec<Vm>) = watching
            .into_iter()
            .partition(|vm| zones.get(vm) == Some(&self.zone));
        let first = [rank(near, usize::MAX), rank(far, usize::MAX)].concat();
        let last = rank(others, MAX_FALLBACKS);
        let vms = |vms: Vec<Vm>| vms.into_iter().map(Source::Vm);
        vms(first)
            .chain([Source::Store])
            .chain(vms(last))
            .find(is_usable)
            .unwrap_or(Source::Store)
    }
}

/// Returns the VMs that watch the store, given the zones of all live gateways.
fn watchers(zones: &BTreeMap<Vm, Zone>) -> Vec<Vm> {
    let mut by_zone: BTreeMap<&Zone, Vec<&Vm>> = BTreeMap::new();
    for (vm, zone) in zones {
        by_zone.entry(zone).or_default().push(vm);
    }
    by_zone
        .into_values()
        .flat_map(|vms| {
            let count = vms.len().div_ceil(VMS_PER_WATCHER);
            hash::rank(RANK_KEY, vms, |vm| vm.as_str(), count)
        })
        .cloned()
        .collect()
}
