//! The rows that answer operators' questions.

use endivespur_core::burn;
use endivespur_core::config::Snapshot;
use endivespur_core::query::Row;
use endivespur_core::route::{self, Denial, Eligibility, Request};
use serde_json::{Value, json};

use crate::clock;
use crate::node::Node;

fn row(value: Value) -> Row {
    match value {
        Value::Object(map) => map,
        _ => Row::new(),
    }
}

/// Returns the rows of a kind that each node knows alike, nothing for other kinds.
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
    let adapter = |(name, lora): (&String, &endivespur_core::config::Lora)| {
        row(json!({
            "name": name, "base": lora.base, "service": lora.service,
            "organisations": lora.organisations, "region": lora.place.region,
            "zones": lora.place.zones, "pins": lora.pins,
            "revision": config.revision_of(&format!("adapter/{name}")),
            "author": lora.change.author, "reason": lora.change.reason,
        }))
    };
    config.adapters.iter().map(adapter).collect()
}

fn versions(config: &Snapshot) -> Vec<Row> {
    let adapters = config.adapters.iter();
    adapters
        .flat_map(|(name, lora)| {
            lora.versions.iter().map(move |(version, stage)| {
                row(json!({ "adapter": name, "version": version, "stage": stage }))
            })
        })
        .collect()
}

fn endpoints(node: &Node, config: &Snapshot) -> Vec<Row> {
    let table = node.table.borrow();
    let endpoint = |(name, target): (&String, &endivespur_core::config::Target)| {
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
    config.endpoints.iter().map(endpoint).collect()
}

fn organisations(config: &Snapshot) -> Vec<Row> {
    let tenant = |(name, tenant): (&String, &endivespur_core::config::Tenant)| {
        row(json!({
            "name": name, "region": tenant.place.region, "zones": tenant.place.zones,
            "weight": tenant.weight,
            "revision": config.revision_of(&format!("organisation/{name}")),
        }))
    };
    config.organisations.iter().map(tenant).collect()
}

fn services(config: &Snapshot) -> Vec<Row> {
    let offer = |(name, offer): (&String, &endivespur_core::config::ServicePolicy)| {
        let endpoints = config.endpoints.values().filter(|t| t.service == *name);
        row(json!({
            "name": name, "class": offer.class, "once": offer.once,
            "once_routes": offer.routes.len(), "endpoints": endpoints.count(),
        }))
    };
    config.services.iter().map(offer).collect()
}

fn rules(config: &Snapshot) -> Vec<Row> {
    let rule = |kind: &str, name: &String, rule: &endivespur_core::place::Rule| {
        row(json!({ "of": kind, "name": name, "region": rule.region, "zones": rule.zones }))
    };
    let tenants = config
        .organisations
        .iter()
        .map(|(n, t)| rule("organisation", n, &t.place));
    let adapters = config
        .adapters
        .iter()
        .map(|(n, l)| rule("adapter", n, &l.place));
    tenants.chain(adapters).collect()
}

/// Returns the rows of a kind that only this node knows.
pub fn own(node: &Node, kind: &str) -> Vec<Row> {
    match kind {
        "nodes" => vec![row(state(node))],
        "slots" => slots(node),
        "loads" => loads(node),
        "suspects" => suspects(node),
        _ => Vec::new(),
    }
}

fn slots(node: &Node) -> Vec<Row> {
    let hosts = node.hosts.borrow();
    hosts
        .iter()
        .flat_map(|(endpoint, host)| {
            host.owner.slots().iter().map(move |(name, slot)| {
                row(json!({
                    "endpoint": endpoint, "adapter": name.model.adapter,
                    "version": name.model.version, "fence": name.fence,
                    "phase": slot.phase, "running": host.owner.users(name), "owner": node.settings.vm,
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
            let want = &entry.demand;
            row(json!({
                "endpoint": entry.endpoint, "adapter": want.model.adapter,
                "version": want.model.version, "class": want.class, "waiting": want.waiting,
                "age_ms": now.saturating_sub(want.since).as_millis() as u64,
                "scheduler": node.settings.vm,
            }))
        })
        .collect()
}

fn suspects(node: &Node) -> Vec<Row> {
    let court = node.court.borrow();
    court
        .iter()
        .map(|(print, crashes)| {
            let fingerprint = format!("{print:016x}");
            row(json!({ "fingerprint": fingerprint, "crashes": crashes, "node": node.settings.vm }))
        })
        .collect()
}

/// Returns this node's own state.
pub fn state(node: &Node) -> Value {
    let hosts = node.hosts.borrow();
    let owned: Vec<Value> = hosts
        .iter()
        .map(|(name, host)| {
            json!({
                "endpoint": name,
                "fence": host.owner.fence(),
                "running": host.owner.held().len(),
                "waiting": host.owner.waiting(),
                "open": host.owner.is_open(),
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

/// Returns each endpoint with the rule, load or state that took or dropped it.
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
        let here = slots
            .iter()
            .filter(|slot| slot["endpoint"] == json!(candidate.endpoint));
        let held = here.clone().find(|slot| {
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
            Eligibility::Leaving => "leaving or drained".to_string(),
        };
        row(json!({
            "endpoint": candidate.endpoint,
            "asked": permitted.then_some(rank),
            "why": why,
            "adapter": held.map_or(json!("not loaded"), |slot| slot["phase"].clone()),
            "slots_used": here.count(),
            "slots": config.endpoints.get(&candidate.endpoint).map(|target| target.slots),
            "owner": table.owner(&candidate.endpoint).map(|(_, claim)| claim.vm.clone()),
        }))
    });
    Ok(rows.collect())
}

/// Returns a row of the burn report.
pub fn burn(part: &burn::Row, remembers: u64) -> Row {
    let mut found = row(json!({
        "service": part.key.service,
        "organisation": part.key.organisation,
        "objective": part.key.objective,
    }));
    for ((name, _), (rate, count)) in burn::WINDOWS.iter().zip(part.burn.iter().zip(&part.counts)) {
        found.insert((*name).to_string(), json!((rate * 100.0).round() / 100.0));
        found.insert(
            format!("{name} bad/all"),
            json!(format!("{}/{}", count.bad, count.all)),
        );
    }
    found.insert("p95_ms".to_string(), json!(part.p95_ms));
    found.insert("remembers_s".to_string(), json!(remembers));
    found
}
