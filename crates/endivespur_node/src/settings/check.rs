//! Reads settings and finds all mistakes at once, each with its place.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use super::{
    Lease, Limits, Listen, Objectives, Settings, Stop, Store, Tokens, Waiting, Weights,
    check_interval, store_timeout,
};

/// The number of findings after which reading stops.
const MAX_FINDINGS: usize = 100;

/// A fault in the settings, with its place in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The path of the field, or the line and column of a syntax error.
    pub place: String,
    /// A description of the fault.
    pub message: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

fn finding(place: &str, message: impl Into<String>) -> Finding {
    Finding {
        place: place.to_string(),
        message: message.into(),
    }
}

/// Reads and checks settings.
///
/// # Errors
///
/// Returns all findings at once.
pub fn read(text: &str) -> Result<Settings, Vec<Finding>> {
    let mut value: Value = serde_json::from_str(text).map_err(|error| {
        let place = format!("line {} column {}", error.line(), error.column());
        vec![finding(&place, error.to_string())]
    })?;
    let mut findings = Vec::new();
    while findings.len() < MAX_FINDINGS {
        match serde_path_to_error::deserialize(value.clone()) {
            Ok(settings) => {
                let settings: Settings = settings;
                findings.extend(check(&settings));
                return if findings.is_empty() {
                    Ok(settings)
                } else {
                    Err(findings)
                };
            }
            Err(error) => {
                let path = error.path().to_string();
                let message = error.inner().to_string();
                let repaired = repair(&mut value, &path, &message);
                findings.push(finding(&path, message));
                if !repaired {
                    break;
                }
            }
        }
    }
    Err(findings)
}

/// Repairs the value at `path`, so that reading continues and finds further faults; returns whether
/// that was possible.
fn repair(value: &mut Value, path: &str, message: &str) -> bool {
    let sample = sample();
    let mut keys: Vec<&str> = path.split('.').filter(|key| *key != ".").collect();
    let name = message.split('`').nth(1).unwrap_or_default();
    if message.starts_with("missing field") {
        keys.push(name);
    }
    let unknown = message.starts_with("unknown field");
    let mut place = value;
    let mut sample_value = Some(&sample);
    let Some((last, parents)) = keys.split_last() else {
        return false;
    };
    for key in parents.iter().filter(|key| !key.is_empty()) {
        let Some(next) = place.get_mut(*key) else {
            return false;
        };
        place = next;
        sample_value = sample_value.and_then(|sample| sample.get(*key));
    }
    if !place.is_object() {
        return false;
    }
    match sample_value.and_then(|sample| sample.get(*last)) {
        Some(sample) if !unknown => place[*last] = sample.clone(),
        _ => {
            place.as_object_mut().map(|map| map.remove(*last));
        }
    }
    true
}

/// Returns well-formed settings, whose values replace those of wrong fields.
fn sample() -> Value {
    let settings = Settings {
        vm: "vm".to_string(),
        region: "region".to_string(),
        zone: "zone".to_string(),
        zones: vec!["zone".to_string()],
        listen: Listen {
            callers: SocketAddr::from(([127, 0, 0, 1], 0)),
            operators: SocketAddr::from(([127, 0, 0, 1], 0)),
            nodes: SocketAddr::from(([127, 0, 0, 1], 0)),
        },
        store: Store {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            timeout: store_timeout(),
            check: check_interval(),
        },
        vms: None,
        peers: Vec::new(),
        lease: Lease::default(),
        weights: Weights::default(),
        waiting: Waiting::default(),
        limits: Limits::default(),
        stop: Stop::default(),
        tokens: Tokens::default(),
        objectives: Objectives::default(),
    };
    serde_json::to_value(settings).unwrap_or_default()
}

/// Checks the conditions that the fields' types do not express.
fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut require = |condition: bool, place: &str, message: &str| {
        if !condition {
            findings.push(finding(place, message));
        }
    };
    let zone = &settings.zone;
    require(!settings.vm.is_empty(), "vm", "the name is empty");
    require(
        !settings.vm.contains('/'),
        "vm",
        "the name must not contain a slash",
    );
    require(
        settings.zones.contains(zone),
        "zone",
        &format!("{zone:?} is not one of zones"),
    );
    let lease = &settings.lease;
    require(
        lease.ttl >= Duration::from_secs(1),
        "lease.ttl",
        "at least 1s is needed",
    );
    require(
        lease.renew * 2 <= lease.ttl,
        "lease.renew",
        "must be at most half of lease.ttl",
    );
    require(
        lease.margin >= Duration::from_secs(1),
        "lease.margin",
        "at least 1s is needed",
    );
    require(
        settings.weights.transit > 0,
        "weights.transit",
        "must not be 0",
    );
    require(
        settings.limits.connections > 0,
        "limits.connections",
        "must not be 0",
    );
    let availability = settings.objectives.availability;
    require(
        availability > 0.0 && availability < 1.0,
        "objectives.availability",
        "must lie between 0 and 1",
    );
    let listen = &settings.listen;
    let tokens = &settings.tokens;
    let listeners = [
        ("callers", listen.callers, !tokens.callers.is_empty()),
        ("operators", listen.operators, tokens.operators.is_some()),
        ("nodes", listen.nodes, tokens.nodes.is_some()),
    ];
    for (name, address, has_token) in listeners {
        require(
            has_token || address.ip().is_loopback(),
            &format!("listen.{name}"),
            &format!("{address} is no loopback address and tokens.{name} is not set"),
        );
    }
    findings
}
