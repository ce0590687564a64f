//! Routes: the longest prefix of the host wins, and weights split requests.

use std::collections::BTreeMap;
use std::time::Duration;

use endivespur_core::gateway::table::{Limits, RetryPolicy, Route, Table, Target};

use crate::ms;

fn route(prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.to_string(),
        prefix: prefix.to_string(),
        targets: targets
            .iter()
            .map(|(service, weight)| Target {
                service: service.to_string(),
                weight: *weight,
            })
            .collect(),
        retry_policy: RetryPolicy::Stream,
        max_endpoints: 1,
        timeout: ms(5000),
        objective: ms(800),
        max_pause: ms(250),
        priority: 0,
        allows_anonymous: false,
    }
}

fn table() -> Table {
    Table::new(1, BTreeMap::new(), Limits::default())
        .with_route("a.example", route("/one/", &[("s", 1)]))
        .with_route("a.example", route("/one/two/", &[("t", 1)]))
        .with_route("b.example", route("/", &[("u", 1)]))
}

fn found(host: &str, target: &str) -> Option<String> {
    table().route(host, target).map(|route| route.name.clone())
}

#[test]
fn route_longest_prefix() {
    assert_eq!(
        found("a.example", "/one/two/x").as_deref(),
        Some("/one/two/")
    );
    assert_eq!(found("a.example", "/one/twox").as_deref(), Some("/one/"));
    assert_eq!(
        found("A.Example:80", "/one/?q=/one/two/").as_deref(),
        Some("/one/")
    );
}

#[test]
fn route_none() {
    assert_eq!(found("a.example", "/one"), None);
    assert_eq!(found("c.example", "/one/"), None);
}

#[test]
fn service_by_weight() {
    let route = route("/", &[("s", 90), ("t", 10)]);
    let count = (0..100)
        .filter(|hash| route.service(*hash).is_some_and(|service| service == "t"))
        .count();
    assert_eq!(count, 10);
}

#[test]
fn caller_timeout_longest_of_three() {
    let mut route = route("/", &[("s", 1)]);
    assert_eq!(route.caller_timeout(), ms(3200));
    route.objective = ms(100);
    assert_eq!(route.caller_timeout(), ms(2000));
    route.max_pause = Duration::from_secs(1);
    assert_eq!(route.caller_timeout(), ms(8000));
}
