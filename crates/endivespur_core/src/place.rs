//! Placement rules: where a request may run, and where an adapter and its cached context may
//! be stored.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::{Region, Zone};

/// A region and the permitted zones of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The only permitted region.
    pub region: Region,
    /// The permitted zones; empty permits each zone of the region.
    #[serde(default)]
    pub zones: BTreeSet<Zone>,
}

impl Rule {
    /// Creates a rule that permits `zones` of `region`, or all zones if `zones` is empty.
    pub fn new(region: &str, zones: &[&str]) -> Self {
        Self {
            region: region.to_string(),
            zones: zones.iter().map(ToString::to_string).collect(),
        }
    }

    /// Returns whether the rule permits a zone.
    pub fn permits(&self, region: &str, zone: &str) -> bool {
        self.region == region && (self.zones.is_empty() || self.zones.contains(zone))
    }
}

/// Returns whether each of `rules` permits the zone; without any rule nothing is permitted.
///
/// An object without a rule has never been assigned a place, so it may not be stored
/// anywhere.
pub fn permits(rules: &[&Rule], region: &str, zone: &str) -> bool {
    !rules.is_empty() && rules.iter().all(|rule| rule.permits(region, zone))
}
