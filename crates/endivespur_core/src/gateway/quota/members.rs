//! Whether more than half of the gateways that were known before recent losses are known still.
//!
//! If most gateways are lost at once, they may be cut off from the store and from this gateway, and go on lending since
//! they reach each other ([`super::contact`]). Their shards are not taken over then.

use std::collections::BTreeMap;

use super::SETTLE_TIME;
use crate::clock::Time;
use crate::id::Vm;

/// The time in which a gateway was known.
#[derive(Clone, Copy, Debug)]
struct Known {
    from: Time,
    until: Time,
}

/// The gateways that were known before recent losses.
#[derive(Clone, Debug)]
pub struct Members {
    gateways: BTreeMap<Vm, Known>,
    /// Until when each gateway that becomes known counts at once: the first ones are not known long enough.
    first_end: Time,
    /// Since when more than half have been known.
    majority_from: Option<Time>,
}

impl Members {
    /// Creates an empty record of a process that starts now.
    pub fn new(now: Time) -> Self {
        Self {
            gateways: BTreeMap::new(),
            first_end: now + 2 * SETTLE_TIME,
            majority_from: None,
        }
    }

    /// Records which gateways are known; returns whether they are more than half of those before recent losses.
    pub fn revise(&mut self, now: Time, vms: &[Vm]) -> bool {
        let from = if now < self.first_end {
            Time::ZERO
        } else {
            now
        };
        for vm in vms {
            let known = Known { from, until: now };
            let known = self.gateways.entry(vm.clone()).or_insert(known);
            known.until = now;
        }
        // Other gateways may not know yet of one that has just joined.
        let members = self.gateways.values();
        let members =
            members.filter(|known| known.from.is_zero() || known.from + SETTLE_TIME <= now);
        let (known, lost): (Vec<&Known>, Vec<&Known>) =
            members.partition(|known| known.until == now);
        if known.len() <= lost.len() && !lost.is_empty() {
            self.majority_from = None;
            return false;
        }
        let majority_from = *self.majority_from.get_or_insert(now);
        if majority_from + SETTLE_TIME <= now {
            self.gateways
                .retain(|_, known| now < known.until + SETTLE_TIME);
        }
        true
    }
}
