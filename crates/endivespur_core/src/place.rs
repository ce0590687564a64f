//! Places: where a request, an adapter and a cached context may live.

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
    /// Makes a rule that permits `zones` of `region`, or all of them if there are none.
    pub fn new(region: &str, zones: &[&str]) -> Self {
        Self {
            region: region.to_string(),
            zones: zones.iter().map(ToString::to_string).collect(),
        }
    }

    /// Tells whether the rule permits a zone.
    pub fn permits(&self, region: &str, zone: &str) -> bool {
        self.region == region && (self.zones.is_empty() || self.zones.contains(zone))
    }
}

/// Tells whether each of `rules` permits the zone; no rule permits nothing.
///
/// An object without any rule was never given a place, so it may live nowhere.
pub fn permits(rules: &[&Rule], region: &str, zone: &str) -> bool {
    !rules.is_empty() && rules.iter().all(|rule| rule.permits(region, zone))
}
