//! The choice of endpoints is compared with a separate check of each rule.

use std::collections::{BTreeMap, BTreeSet};

use endivespur_core::config::{
    Change, Class, Kind, Lora, ServicePolicy, Snapshot, Stage, Target, Tenant,
};
use endivespur_core::id::Model;
use endivespur_core::place::Rule;
use endivespur_core::route::{self, Denial, Request};
use proptest::prelude::*;

use crate::fixed_seed;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn zones() -> impl Strategy<Value = Vec<&'static str>> {
    prop::sample::subsequence(ZONES.to_vec(), 0..=3)
}

fn snapshot(endpoints: &[(usize, bool, bool)], organisation: Rule, adapter: Rule) -> Snapshot {
    let mut config = Snapshot::default();
    for (index, (zone, region, drained)) in endpoints.iter().enumerate() {
        let target = Target {
            kind: Kind::Engine,
            service: "hymnal".to_string(),
            address: String::new(),
            region: if *region { "r" } else { "far" }.to_string(),
            zone: ZONES[*zone].to_string(),
            slots: 4,
            batch: 4,
            fenced: true,
            drained: *drained,
            change: Change::default(),
        };
        config.endpoints.insert(format!("e{index}"), target);
    }
    let organisation = Tenant {
        place: organisation,
        weight: 1,
        quota: None,
        change: Change::default(),
    };
    config.organisations.insert("o".to_string(), organisation);
    let adapter = Lora {
        base: "m".to_string(),
        service: "hymnal".to_string(),
        organisations: BTreeSet::from(["o".to_string()]),
        versions: BTreeMap::from([(1, Stage::Active), (2, Stage::Retired)]),
        place: adapter,
        pins: BTreeSet::new(),
        change: Change::default(),
    };
    config.adapters.insert("x".to_string(), adapter);
    let policy = ServicePolicy {
        class: Class::Draft,
        once: false,
        routes: Vec::new(),
        change: Change::default(),
    };
    config.services.insert("hymnal".to_string(), policy);
    config
}

fn request(version: u32, place: Option<Rule>) -> Request {
    Request {
        organisation: "o".to_string(),
        base: Some("m".to_string()),
        service: None,
        model: Some(Model::new("x", version)),
        place,
    }
}

/// Returns whether a rule permits a zone of the region `r`, without the code under test.
fn zone_permitted(zones: &[&str], zone: &str) -> bool {
    zones.is_empty() || zones.contains(&zone)
}

proptest! {
    #![proptest_config(fixed_seed(4000))]

    #[test]
    fn choose_only_and_all_permitted(
        endpoints in prop::collection::vec((0usize..3, any::<bool>(), any::<bool>()), 0..8),
        (organisation, adapter, own) in (zones(), zones(), zones()),
        (entry, draining) in (0usize..3, 0usize..8),
    ) {
        let config = snapshot(&endpoints, Rule::new("r", &organisation), Rule::new("r", &adapter));
        let request = request(1, Some(Rule::new("r", &own)));
        let permitted = |zone: &str| {
            zone_permitted(&organisation, zone) && zone_permitted(&adapter, zone) && zone_permitted(&own, zone)
        };
        let draining = format!("e{draining}");
        let naive: BTreeSet<String> = endpoints
            .iter()
            .enumerate()
            .filter(|(_, (zone, region, drained))| *region && !drained && permitted(ZONES[*zone]))
            .map(|(index, _)| format!("e{index}"))
            .filter(|name| *name != draining)
            .collect();
        let chosen = route::choose(&config, &request, ("r", ZONES[entry]), |name| name == draining, usize::MAX);
        match chosen {
            Ok(list) => {
                prop_assert!(permitted(ZONES[entry]));
                prop_assert_eq!(list.len(), naive.len());
                prop_assert_eq!(list.into_iter().collect::<BTreeSet<_>>(), naive);
            }
            Err(Denial::EntryPlace) => prop_assert!(!permitted(ZONES[entry])),
            Err(Denial::NoEndpoint) => prop_assert!(naive.is_empty()),
            Err(other) => prop_assert!(false, "{:?}", other),
        }
    }

    #[test]
    fn choose_other_region_denied(endpoints in prop::collection::vec((0usize..3, Just(true), Just(false)), 1..5)) {
        let config = snapshot(&endpoints, Rule::new("far", &[]), Rule::new("r", &[]));
        let chosen = route::choose(&config, &request(1, None), ("r", "a"), |_| false, usize::MAX);
        prop_assert_eq!(chosen, Err(Denial::EntryPlace));
    }
}

#[test]
fn choose_retired_version_denied() {
    let config = snapshot(
        &[(0, true, false)],
        Rule::new("r", &[]),
        Rule::new("r", &[]),
    );
    let chosen = route::choose(
        &config,
        &request(2, None),
        ("r", "a"),
        |_| false,
        usize::MAX,
    );
    assert_eq!(chosen, Err(Denial::UnknownVersion));
}

#[test]
fn choose_unlisted_organisation_denied() {
    let mut config = snapshot(
        &[(0, true, false)],
        Rule::new("r", &[]),
        Rule::new("r", &[]),
    );
    if let Some(adapter) = config.adapters.get_mut("x") {
        adapter.organisations.clear();
    }
    let chosen = route::choose(
        &config,
        &request(1, None),
        ("r", "a"),
        |_| false,
        usize::MAX,
    );
    assert_eq!(chosen, Err(Denial::Forbidden));
}
