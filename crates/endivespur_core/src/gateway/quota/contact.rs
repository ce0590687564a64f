//! Whether a gateway may rely on its view of the other gateways.
//!
//! While the store is unavailable, no gateway's record ends, and views stay valid without news. A gateway that is cut
//! off has no news either, but others take its shards over. It can tell the cases apart by whether it reaches more than
//! half of the known gateways.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::Vm;

/// The age of a view up to which it is relied on without further evidence.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(1_400);
/// The age of a view from which gateways are probed.
const PROBE_AGE: Duration = Duration::from_millis(900);
/// How long a reply proves a link; no longer than a view may be old.
const REPLY_TIME: Duration = MAX_VIEW_AGE;
/// The maximum number of gateways that are probed. A wrong majority among as many requires that nearly half of all
/// gateways are cut off together.
const MAX_PROBED: usize = 96;
/// The number of gateways that are probed at each check, every 50 ms: all within the time between the two ages.
const PROBES: usize = 12;

/// The links to other gateways, as far as they were probed.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    replies: BTreeMap<Vm, Time>,
    next: usize,
    checked_at: Option<Time>,
    /// Whether the view was not valid at the last check.
    is_broken: bool,
}

impl Contact {
    /// Creates a record without replies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a gateway replied to a probe that was sent at `sent`.
    pub fn replied(&mut self, vm: &str, sent: Time) {
        self.replies.insert(vm.to_string(), sent);
    }

    /// Returns the gateways to be probed now, given the others that are known and the age of the view.
    pub fn probes(&mut self, view_age: Duration, others: &[Vm]) -> Vec<Vm> {
        if view_age < PROBE_AGE {
            self.replies.clear();
            return Vec::new();
        }
        let sample = sample(others);
        let count = sample.len();
        let start = self.next;
        self.next += PROBES;
        let places = (0..PROBES.min(count)).map(|offset| (start + offset) % count);
        places.map(|place| sample[place].clone()).collect()
    }

    /// Returns whether a view of this age, with these other gateways, has been valid since the last check.
    ///
    /// It may not have been if the last check was long ago: the process may have been suspended. Replies do not make it
    /// valid again: those that reply may have had newer views meanwhile.
    pub fn check(&mut self, now: Time, view_age: Duration, others: &[Vm]) -> bool {
        let last = self.checked_at.replace(now);
        let was_suspended = last.is_some_and(|last| now.saturating_sub(last) >= MAX_VIEW_AGE);
        let is_fresh = view_age < MAX_VIEW_AGE;
        let is_valid =
            !was_suspended && (is_fresh || !self.is_broken && self.has_majority(now, others));
        self.is_broken = !is_valid;
        is_valid
    }

    fn has_majority(&self, now: Time, others: &[Vm]) -> bool {
        let sample = sample(others);
        let replied = sample.iter().filter(|vm| {
            let sent = self.replies.get(vm.as_str());
            sent.is_some_and(|sent| now < *sent + REPLY_TIME)
        });
        // This gateway counts as one that replied.
        2 * (replied.count() + 1) > sample.len() + 1
    }
}

/// Returns the gateways that are probed: all, or some that are spread evenly.
fn sample(others: &[Vm]) -> Vec<&Vm> {
    let step = others.len().div_ceil(MAX_PROBED).max(1);
    others.iter().step_by(step).collect()
}
