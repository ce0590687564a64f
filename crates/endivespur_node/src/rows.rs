//! The rows that answer operators' queries.

use std::collections::BTreeSet;

use endivespur_core::burn;
use endivespur_core::config::Snapshot;
use endivespur_core::query::Row;
use endivespur_core::route::{self, Denial, Eligibility, Request};
use serde_json::{Value, json};

use crate::clock;
use crate::node::Node;
use crate::quota;

fn row(value: Value) -> Row {
    match value {
        Value::Object(map) => map,
        _ => Row::new(),
    }
}

/// Returns the rows of a kind that is the same on each node, `None` for other kinds.
pub fn configured(node: &Node, kind: &str) -> Option<Vec<Row>> {
    let config = node.config.borrow();
    let rows = match kind {
        "adapters" => adapters(&config),
        "versions" => versions(&config),
        "endpoints" => endpoints(node, &config),
        "organisations" => organisations(&config),
        "services" => services(&config),
        "rules" => rules(&config),
        _ => return None,
    };
    Some(rows)
}

fn adapters(config: &Snapshot) -> Vec<Row> {
    let to_row = |(name, adapter): (&String, &endivespur_core::config::Lora)| {
        row(json!({
            "name": name, "base": adapter.base, "service": adapter.service,
            "organisations": adapter.organisations, "region": adapter.place.region,
            "zones": adapter.place.zones, "pins": adapter.pins,
            "revision": config.revision_of(&format!("adapter/{name}")),
            "author": adapter.change.author, "reason": adapter.change.reason,
        }))
    };
    config.adapters.iter().map(to_row).collect()
}

fn versions(config: &Snapshot) -> Vec<Row> {
    let adapters = config.adapters.iter();
    adapters
        .flat_map(|(name, adapter)| {
            adapter.versions.iter().map(move |(version, stage)| {
                row(json!({ "adapter": name, "version": version, "stage": stage }))
            })
        })
        .collect()
}

fn endpoints(node: &Node, config: &Snapshot) -> Vec<Row> {
    let table = node.table.borrow();
    let to_row = |(name, target): (&String, &endivespur_core::config::Target)| {
        let owner = table.owner(name);
        row(json!({
            "name": name, "kind": target.kind, "service": target.service,
            "region": target.region, "zone": target.zone, "address": target.address,
            "slots": target.slots, "batch": target.batch, "fenced": target.fenced,
            "drained": target.drained, "leaving": node.is_leaving(name),
            "owner": owner.map(|(_, claim)| claim.vm.clone()),
            "fence": owner.map(|(fence, _)| fence),
            "revision": config.revision_of(&format!("endpoint/{name}")),
            "author": target.change.author, "reason": target.change.reason,
        }))
    };
    config.endpoints.iter().map(to_row).collect()
}

fn organisations(config: &Snapshot) -> Vec<Row> {
    let to_row = |(name, organisation): (&String, &endivespur_core::config::Tenant)| {
        row(json!({
            "name": name, "region": organisation.place.region, "zones": organisation.place.zones,
            "weight": organisation.weight,
            "limit": organisation.quota.as_ref().map(ToString::to_string),
            "revision": config.revision_of(&format!("organisation/{name}")),
        }))
    };
    config.organisations.iter().map(to_row).collect()
}

/// Adds to the rows of organisations what all nodes say of their quotas and keys.
pub fn add_usage(organisations: &mut [Row], parts: &[Row]) {
    for row in organisations {
        let parts = parts
            .iter()
            .filter(|part| part["organisation"] == row["name"]);
        let keys: BTreeSet<&str> = parts
            .clone()
            .filter_map(|part| part["key"].as_str())
            .collect();
        let is_limited = !row["limit"].is_null();
        let used = parts.clone().filter_map(|part| part["used_per_s"].as_f64());
        let used = (used.sum::<f64>() * 10.0).round() / 10.0;
        let refused = parts.filter_map(|part| part["refused_1m"].as_u64());
        let refused: u64 = refused.sum();
        row.insert("used_per_s".to_string(), json!(is_limited.then_some(used)));
        row.insert(
            "refused_1m".to_string(),
            json!(is_limited.then_some(refused)),
        );
        row.insert("keys".to_string(), json!(keys));
    }
}

fn services(config: &Snapshot) -> Vec<Row> {
    let to_row = |(name, policy): (&String, &endivespur_core::config::ServicePolicy)| {
        let endpoints = config.endpoints.values().filter(|t| t.service == *name);
        row(json!({
            "name": name, "class": policy.class, "once": policy.once,
            "once_routes": policy.routes.len(), "endpoints": endpoints.count(),
        }))
    };
    config.services.iter().map(to_row).collect()
}

fn rules(config: &Snapshot) -> Vec<Row> {
    let to_row = |kind: &str, name: &String, rule: &endivespur_core::place::Rule| {
        row(json!({ "of": kind, "name": name, "region": rule.region, "zones": rule.zones }))
    };
    let organisations = config
        .organisations
        .iter()
        .map(|(n, t)| to_row("organisation", n, &t.place));
    let adapters = config
        .adapters
        .iter()
        .map(|(n, l)| to_row("adapter", n, &l.place));
    organisations.chain(adapters).collect()
}

/// Returns this node's rows of a kind that differs between nodes.
pub fn local(node: &Node, kind: &str) -> Vec<Row> {
    match kind {
        "nodes" => vec![row(state(node))],
        "slots" => slots(node),
        "loads" => loads(node),
        "suspects" => suspects(node),
        "quotas" => quota::rows(node),
        _ => Vec::new(),
    }
}

fn slots(node: &Node) -> Vec<Row> {
    let ownerships = node.ownerships.borrow();
    ownerships
        .iter()
        .flat_map(|(endpoint, ownership)| {
            ownership.owner.slots().iter().map(move |(name, slot)| {
                row(json!({
                    "endpoint": endpoint, "adapter": name.model.adapter,
                    "version": name.model.version, "fence": name.fence,
                    "phase": slot.phase, "running": ownership.owner.users(name), "owner": node.settings.vm,
                }))
            })
        })
        .collect()
}

fn loads(node: &Node) -> Vec<Row> {
    let now = clock::now();
    let scheduler = node.scheduler.borrow();
    scheduler
        .demands()
        .map(|entry| {
            let demand = &entry.demand;
            row(json!({
                "endpoint": entry.endpoint, "adapter": demand.model.adapter,
                "version": demand.model.version, "class": demand.class, "waiting": demand.waiting,
                "age_ms": now.saturating_sub(demand.since).as_millis() as u64,
                "scheduler": node.settings.vm,
            }))
        })
        .collect()
}

fn suspects(node: &Node) -> Vec<Row> {
    let suspect_tracker = node.suspect_tracker.borrow();
    suspect_tracker
        .iter()
        .map(|(fingerprint, crashes)| {
            let hex = format!("{fingerprint:016x}");
            row(json!({ "fingerprint": hex, "crashes": crashes, "node": node.settings.vm }))
        })
        .collect()
}

/// Returns this node's state: its configuration revision, authority, grants and owned endpoints.
pub fn state(node: &Node) -> Value {
    let ownerships = node.ownerships.borrow();
    let owned: Vec<Value> = ownerships
        .iter()
        .map(|(name, ownership)| {
            json!({
                "endpoint": name,
                "fence": ownership.owner.fence(),
                "running": ownership.owner.held_grants().len(),
                "waiting": ownership.owner.waiting(),
                "open": ownership.owner.is_open(),
            })
        })
        .collect();
    json!({
        "vm": node.settings.vm,
        "zone": node.settings.zone,
        "incarnation": node.incarnation.get(),
        "revision": node.config.borrow().revision,
        "authority": format!("{:?}", node.authority()).to_lowercase(),
        "current": node.is_current(),
        "stopping": node.stopping.get(),
        "grants": node.held.borrow().len(),
        "owned": owned,
    })
}

/// Returns each endpoint with the rule or state that permits or excludes it.
///
/// # Errors
///
/// Returns a [`Denial`] if the request names something unknown.
pub fn explain(node: &Node, request: &Request, slots: &[Row]) -> Result<Vec<Row>, Denial> {
    let config = node.config.borrow();
    let candidates = route::explain(&config, request, |name| node.is_leaving(name))?;
    let table = node.table.borrow();
    let model = request.model.as_ref();
    let mut rank = 0;
    let rows = candidates.into_iter().map(|candidate| {
        let endpoint_slots = slots
            .iter()
            .filter(|slot| slot["endpoint"] == json!(candidate.endpoint));
        let adapter_slot = endpoint_slots.clone().find(|slot| {
            model.is_some_and(|model| {
                slot["adapter"] == json!(model.adapter) && slot["version"] == json!(model.version)
            })
        });
        let permitted = candidate.eligibility == Eligibility::Permitted;
        rank += usize::from(permitted);
        let why = match &candidate.eligibility {
            Eligibility::Permitted => "permitted".to_string(),
            Eligibility::OtherService => "belongs to another service".to_string(),
            Eligibility::Place(rule) => format!("outside the place of the {rule}"),
            Eligibility::Draining => "leaving or drained".to_string(),
        };
        row(json!({
            "endpoint": candidate.endpoint,
            "asked": permitted.then_some(rank),
            "why": why,
            "adapter": adapter_slot.map_or(json!("not loaded"), |slot| slot["phase"].clone()),
            "slots_used": endpoint_slots.count(),
            "slots": config.endpoints.get(&candidate.endpoint).map(|target| target.slots),
            "owner": table.owner(&candidate.endpoint).map(|(_, claim)| claim.vm.clone()),
        }))
    });
    Ok(rows.collect())
}

/// Returns a row of the burn-rate report.
pub fn burn(totals: &burn::Row, counted_seconds: u64) -> Row {
    let mut row = row(json!({
        "service": totals.key.service,
        "organisation": totals.key.organisation,
        "objective": totals.key.objective,
    }));
    for ((name, _), (rate, count)) in burn::WINDOWS
        .iter()
        .zip(totals.burn.iter().zip(&totals.counts))
    {
        row.insert((*name).to_string(), json!((rate * 100.0).round() / 100.0));
        row.insert(
            format!("{name} bad/all"),
            json!(format!("{}/{}", count.bad, count.all)),
        );
    }
    row.insert("p95_ms".to_string(), json!(totals.p95_ms));
    row.insert("remembers_s".to_string(), json!(counted_seconds));
    row
}
