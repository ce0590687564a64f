//! Operators' statements: parsing, planning, and selecting rows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use endivespur_core::burn::{self, Objective, Target};
use endivespur_core::command::{Statement, Verb, parse, plan};
use endivespur_core::config::{Change, Entry, Snapshot};
use endivespur_core::query::{Query, Row, select};
use endivespur_core::usage::Usage;
use serde_json::json;

fn snapshot() -> Snapshot {
    let mut config = Snapshot::default();
    let objects = [
        ("organisation/o", json!({ "place": { "region": "r" } })),
        ("service/s", json!({ "class": "draft" })),
        (
            "endpoint/e1",
            json!({ "kind": "engine", "service": "s", "address": "127.0.0.1:1", "region": "r",
                    "zone": "z1", "slots": 4, "batch": 4 }),
        ),
        (
            "adapter/hymns",
            json!({ "base": "b", "service": "s", "organisations": ["o"],
                    "versions": { "1": "active", "2": "retired" },
                    "place": { "region": "r", "zones": ["z1"] } }),
        ),
    ];
    for (index, (key, value)) in objects.into_iter().enumerate() {
        config.apply(Entry {
            key: key.to_string(),
            revision: index as u64 + 10,
            value: Some(value.to_string()),
        });
    }
    assert!(config.findings.is_empty(), "{:?}", config.findings);
    config
}

fn planned(line: &str) -> Result<endivespur_core::command::Plan, Vec<String>> {
    let Ok(Statement::Command(command)) = parse(1, line) else {
        panic!("not a command: {line}");
    };
    plan(&snapshot(), &command, Change::default())
}

#[test]
fn parse_errors_name_column_and_expected() {
    let error = |line| parse(3, line).expect_err("a syntax error").to_string();
    assert_eq!(
        error("show adapters wher x = 1"),
        "3:15: expected where or and or order or limit"
    );
    assert_eq!(error("retire hymns"), "3:8: expected ADAPTER@VERSION");
    assert_eq!(error("pin hymns on"), "3:13: expected an endpoint");
    assert_eq!(error("drain e1 now"), "3:10: expected if or because");
}

#[test]
fn parse_command_with_conditions() {
    let parsed = parse(1, "drain e1 if revision 7 because \"new disk\"");
    let Ok(Statement::Command(command)) = parsed else {
        panic!("{parsed:?}");
    };
    assert_eq!(command.verb, Verb::Drain("e1".to_string(), true));
    assert_eq!(
        (command.revision, command.reason.as_str()),
        (Some(7), "new disk")
    );
}

#[test]
fn plan_repeated_command_noop() {
    assert!(planned("add version hymns@1").expect("planned").is_noop());
    assert!(!planned("add version hymns@3").expect("planned").is_noop());
    assert!(planned("undrain e1").expect("planned").is_noop());
}

#[test]
fn plan_findings_together() {
    let findings =
        planned("create adapter x! base b service t for o,p in r/z1,z9").expect_err("findings");
    assert_eq!(
        findings,
        [
            "\"x!\" is no name: letters, digits, '-', '_' and '.'",
            "there is no organisation p",
            "there is no service t",
            "no endpoint lies in zone z9",
        ]
    );
}

// Guards against a quota that cannot be kept, reported piece by piece, and against one lost by another command.
#[test]
fn plan_quota_findings_together_and_kept() {
    let findings =
        planned("create organisation p! in q quota 0 per second burst inf in requests plain 5")
            .expect_err("findings");
    assert_eq!(findings.len(), 5, "{findings:?}");
    let findings = planned("limit organisation p quota nan per second burst 5 in tokens")
        .expect_err("findings");
    assert_eq!(findings.len(), 3, "{findings:?}");
    // No completion without `max_tokens` would ever be admitted: the buckets hold the burst.
    let small = "limit organisation o quota 2.5 per second burst 90 in tokens plain 80";
    let findings = planned(small).expect_err("findings");
    assert!(
        findings.len() == 1 && findings[0].contains("90 tokens"),
        "{findings:?}"
    );
    let plan = planned("limit organisation o quota 2.5 per second burst 900 in tokens plain 80")
        .expect("planned");
    assert!(
        !plan.is_noop()
            && planned("unlimit organisation o")
                .expect("planned")
                .is_noop()
    );
    assert!(
        plan.before
            .is_some_and(|before| before.get("quota").is_none())
    );
    let mut config = snapshot();
    let mut write = |revision, quota: &serde_json::Value| {
        let mut value = plan.after.clone();
        value["quota"] = quota.clone();
        config.apply(Entry {
            key: plan.key.clone(),
            revision,
            value: Some(value.to_string()),
        });
        (config.clone(), config.findings.len())
    };
    let (written, findings) = write(20, &plan.after["quota"]);
    let tenant = &written.organisations["o"];
    let quota = tenant.quota.clone().expect("a quota");
    assert_eq!((findings, quota.rate), (0, 2.5));
    assert_eq!((quota.amount(None), quota.amount(Some(7))), (80, 7));
    let Ok(Statement::Command(command)) = parse(1, "place organisation o in r/z1") else {
        panic!("not a command");
    };
    let placed = plan_of(&written, &command);
    assert_eq!(placed["quota"], plan.after["quota"]);
    // The last valid value stays in force.
    let (written, findings) = write(21, &json!({ "rate": -1, "burst": 90, "unit": "tokens" }));
    assert_eq!((findings, &written.organisations["o"]), (1, tenant));
    let parsed = parse(1, "create organisation p in r quota 5 per minute");
    assert_eq!(parsed.expect_err("an error").column, 40);
}

fn plan_of(config: &Snapshot, command: &endivespur_core::command::Command) -> serde_json::Value {
    plan(config, command, Change::default())
        .expect("planned")
        .after
}

// Guards against counts that grow without end, or that include seconds long past.
#[test]
fn usage_counts_last_minute() {
    let mut usage = Usage::default();
    for second in 0..100 {
        usage.charge(Duration::from_secs(second), 30);
        usage.refuse(Duration::from_secs(second));
    }
    usage.put_back(50);
    let now = Duration::from_secs(99);
    assert_eq!((usage.rate(now), usage.refused(now)), (25.0, 60));
    let later = now + Duration::from_secs(61);
    assert_eq!((usage.rate(later), usage.refused(later)), (0.0, 0));
}

#[test]
fn plan_retired_version_refused() {
    let findings = planned("add version hymns@2").expect_err("findings");
    assert_eq!(
        findings,
        ["hymns@2 was retired, and a version never comes back"]
    );
}

#[test]
fn plan_other_revision_refused() {
    let findings = planned("retire hymns@1 if revision 12").expect_err("findings");
    assert_eq!(findings, ["adapter/hymns has revision 13, not 12"]);
    let plan = planned("retire hymns@1 if revision 13").expect("planned");
    assert_eq!(
        (plan.key.as_str(), plan.expected_revision),
        ("adapter/hymns", 13)
    );
}

#[test]
fn select_conditions_order_and_limit() {
    let rows: Vec<Row> = [("a", 9), ("b", 10), ("c", 2), ("d", 11)]
        .into_iter()
        .filter_map(|(name, users)| json!({ "name": name, "users": users }).as_object().cloned())
        .collect();
    let line = "show slots where users > 2 and name != d order by users desc limit 1";
    let Ok(Statement::Query(Query::Show(show))) = parse(1, line) else {
        panic!("no query");
    };
    let names: Vec<String> = select(&show, rows)
        .iter()
        .map(|row| row["name"].to_string())
        .collect();
    assert_eq!(names, ["\"b\""]);
}

#[test]
fn burn_merges_nodes_and_drops_old_counts() {
    let limits = BTreeMap::from([(Objective::FirstToken, Duration::from_millis(1700))]);
    let new = || burn::Tracker::new(Target::new(0.99, limits.clone()), Duration::ZERO);
    let (mut a, mut b) = (new(), new());
    let at = Duration::from_hours(2);
    for number in 0..100 {
        a.served(at, "s", "o", number != 0);
        b.served(at, "s", "o", number > 2);
        let delay = Duration::from_millis(if number < 90 { 100 } else { 3000 });
        b.delayed(at, "s", "o", Objective::FirstToken, delay);
    }
    let rows = a.merge(&[a.part(at), b.part(at)]);
    let find = |objective| {
        rows.iter()
            .find(|row| row.key.objective == objective)
            .expect("a row")
    };
    // 4 of 200 are bad with a budget of 1%; 10 of 100 with a budget of 5%.
    assert!((find(Objective::Availability).burn[0] - 2.0).abs() < 1e-9);
    assert!((find(Objective::FirstToken).burn[0] - 2.0).abs() < 1e-9);
    assert!(
        find(Objective::FirstToken)
            .p95_ms
            .is_some_and(|ms| (2900..3100).contains(&ms))
    );
    let later = at + Duration::from_mins(30);
    let rows = a.merge(&[a.part(later), b.part(later)]);
    let counts = &rows[0].counts;
    assert_eq!(counts[0].all, 0, "not dropped from the 5 minute window");
    assert!(counts[1].all > 0, "missing from the 1 hour window");
    let objectives: BTreeSet<Objective> = rows.iter().map(|row| row.key.objective).collect();
    assert_eq!(objectives.len(), 2);
}
