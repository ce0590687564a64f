//! From where a gateway learns the store's changes.
//!
//! In each zone a few gateways watch the store; the others follow them, so that the store's
//! calls do not grow with the number of VMs. A gateway whose source fails takes another at
//! once, and watches the store itself if there is none.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::hash;
use crate::id::{Vm, Zone};

/// The VMs of a zone for each that watches the store: a source sends every change of
/// endpoints to each follower, which has to fit into the network of the smallest VM.
pub const VMS_PER_WATCHER: usize = 12;
/// How long a source that failed is not used: a VM that died has lost its lease soon after.
pub const RETRY_DELAY: Duration = Duration::from_millis(1500);
/// How long a source that does not hear the store itself is not used: it says so at once.
const DISCONNECTED_RETRY_DELAY: Duration = Duration::from_millis(700);
/// The longest time, after several failures: an attempt can take as long as a first failure.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(6);
/// The gateways besides the watchers that are asked when neither those nor the store answer.
const MAX_OTHERS: usize = 4;
/// The key that ranks the VMs of a zone.
const RANK_KEY: &str = "watch";

/// From where changes come.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The store.
    Store,
    /// Another gateway that watches the store.
    Vm(Vm),
}

/// The choice of one gateway.
#[derive(Clone, Debug)]
pub struct Selector {
    vm: Vm,
    zone: Zone,
    /// The sources that failed.
    failed: BTreeMap<Source, Failure>,
}

/// A source that failed at least once since it last answered.
#[derive(Clone, Copy, Debug)]
struct Failure {
    until: Time,
    pause: Duration,
}

impl Selector {
    /// Makes the choice of a gateway.
    pub fn new(vm: &str, zone: &str) -> Self {
        Self {
            vm: vm.to_string(),
            zone: zone.to_string(),
            failed: BTreeMap::new(),
        }
    }

    /// Notes that a source does not hear the store itself.
    pub fn record_disconnected(&mut self, now: Time, source: &Source) {
        let known = self.failed.get(source);
        let failure = Failure {
            until: now + DISCONNECTED_RETRY_DELAY,
            pause: known.map_or(RETRY_DELAY, |known| known.pause),
        };
        self.failed.insert(source.clone(), failure);
    }

    /// Notes that a source did not answer.
    pub fn record_failure(&mut self, now: Time, source: &Source) {
        let known = self.failed.get(source);
        let pause = known.map_or(RETRY_DELAY, |known| (known.pause * 2).min(MAX_RETRY_DELAY));
        let until = now + pause;
        self.failed.insert(source.clone(), Failure { until, pause });
    }

    /// Notes that a source answered.
    pub fn record_success(&mut self, source: &Source) {
        self.failed.remove(source);
    }

    /// Tells whether a source has failed since it last answered.
    pub fn has_failed(&self, source: &Source) -> bool {
        self.failed.contains_key(source)
    }

    /// Chooses a source, given the zones of all live gateways.
    ///
    /// A watcher takes the store, a follower a watcher, of its own zone if one answers. If
    /// none of them does, the store is asked, and then a few other gateways: one that cannot
    /// reach the store does not know which watch it by now.
    pub fn choose(&self, now: Time, zones: &BTreeMap<Vm, Zone>) -> Source {
        let is_usable = |source: &Source| {
            let failure = self.failed.get(source);
            failure.is_none_or(|failure| failure.until <= now)
        };
        let watchers = watchers(zones);
        let is_watcher = watchers.contains(&self.vm) || !zones.contains_key(&self.vm);
        if is_watcher && is_usable(&Source::Store) {
            return Source::Store;
        }
        let rank = |vms: Vec<Vm>, most: usize| hash::rank(&self.vm, vms, String::as_str, most);
        let others = zones.keys().filter(|vm| **vm != self.vm).cloned();
        let (watching, others): (Vec<Vm>, Vec<Vm>) = others.partition(|vm| watchers.contains(vm));
        let (near, far): (Vec<Vm>, Vec<Vm>) = watching
            .into_iter()
            .partition(|vm| zones.get(vm) == Some(&self.zone));
        let first = [rank(near, usize::MAX), rank(far, usize::MAX)].concat();
        let last = rank(others, MAX_OTHERS);
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
