//! The operators' commands: each is planned against the configuration, then written once.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

use crate::config::{Change, Lora, Snapshot, Stage, Target, Tenant};
use crate::id::{Model, Revision};
use crate::line::{Finding, Line, Parsed};
use crate::place::Rule;
use crate::query::{self, Query};
use crate::quota::{Quota, Unit};

/// The effect of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Verb {
    /// Creates an adapter with version 1.
    CreateAdapter {
        /// The adapter's name.
        name: String,
        /// The base model.
        base: String,
        /// The service whose engines run it.
        service: String,
        /// The organisations that may name it.
        organisations: Vec<String>,
        /// Where it may be stored.
        place: Rule,
    },
    /// Creates an organisation.
    CreateOrganisation {
        /// The name.
        name: String,
        /// Where its requests may be handled.
        place: Rule,
        /// The weight in deficit round robin over organisations.
        weight: u32,
        /// What it may use; `None` for no limit.
        quota: Option<Quota>,
    },
    /// Adds a version to an adapter.
    AddVersion(Model),
    /// Retires a version.
    Retire(Model),
    /// Changes where an adapter may be stored.
    PlaceAdapter(String, Rule),
    /// Changes where an organisation's requests may be handled.
    PlaceOrganisation(String, Rule),
    /// Sets what an organisation may use, or removes the limit (`None`).
    LimitOrganisation(String, Option<Quota>),
    /// Pins an adapter to an endpoint (`true`) or unpins it.
    Pin(String, String, bool),
    /// Drains an endpoint (`true`) or opens it again.
    Drain(String, bool),
}

/// A command with its conditions.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// The effect.
    pub verb: Verb,
    /// The revision that the object must have.
    pub revision: Option<Revision>,
    /// The reason that is stored with the change.
    pub reason: String,
}

/// A query or a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A query.
    Query(Query),
    /// A command.
    Command(Command),
}

const VERBS: [&str; 13] = [
    "show", "explain", "report", "create", "add", "place", "limit", "unlimit", "pin", "unpin",
    "retire", "drain", "undrain",
];

/// Parses a line that holds one statement.
///
/// # Errors
///
/// Returns the first syntax error with its column.
pub fn parse(number: usize, text: &str) -> Result<Statement, Finding> {
    let mut line = Line::new(number, text);
    let verb = line.keyword(&VERBS)?;
    let statement = if matches!(verb.as_str(), "show" | "explain" | "report") {
        Statement::Query(query::parse(&verb, &mut line)?)
    } else {
        Statement::Command(command(&verb, &mut line)?)
    };
    line.end()?;
    Ok(statement)
}

fn command(verb: &str, line: &mut Line) -> Parsed<Command> {
    let verb = match verb {
        "create" => create(line)?,
        "add" => {
            line.keyword(&["version"])?;
            Verb::AddVersion(query::model(line)?)
        }
        "retire" => Verb::Retire(query::model(line)?),
        "place" => place(line)?,
        "limit" | "unlimit" => {
            line.keyword(&["organisation"])?;
            let name = line.word("a name")?;
            let quota = if verb == "limit" {
                line.keyword(&["quota"])?;
                Some(quota(line)?)
            } else {
                None
            };
            Verb::LimitOrganisation(name, quota)
        }
        "pin" | "unpin" => {
            let adapter = line.word("an adapter")?;
            line.keyword(&["on"])?;
            Verb::Pin(adapter, line.word("an endpoint")?, verb == "pin")
        }
        _ => Verb::Drain(line.word("an endpoint")?, verb == "drain"),
    };
    let mut command = Command {
        verb,
        revision: None,
        reason: String::new(),
    };
    while !line.is_done() {
        match line.keyword(&["if", "because"])?.as_str() {
            "if" => {
                line.keyword(&["revision"])?;
                command.revision = Some(line.number_word()?);
            }
            _ => command.reason = line.word("a reason in quotation marks")?,
        }
    }
    Ok(command)
}

fn create(line: &mut Line) -> Parsed<Verb> {
    let kind = line.keyword(&["adapter", "organisation"])?;
    let name = line.word("a name")?;
    if kind == "organisation" {
        let place = rule(line)?;
        let weight = if line.skip("weight") {
            line.number_word()?
        } else {
            1
        };
        let quota = line.skip("quota").then(|| quota(line)).transpose()?;
        return Ok(Verb::CreateOrganisation {
            name,
            place,
            weight,
            quota,
        });
    }
    line.keyword(&["base"])?;
    let base = line.word("a base model")?;
    line.keyword(&["service"])?;
    let service = line.word("a service")?;
    line.keyword(&["for"])?;
    let organisations = line.list("organisations")?;
    Ok(Verb::CreateAdapter {
        name,
        base,
        service,
        organisations,
        place: rule(line)?,
    })
}

fn place(line: &mut Line) -> Parsed<Verb> {
    let kind = line.keyword(&["adapter", "organisation"])?;
    let name = line.word("a name")?;
    let rule = rule(line)?;
    Ok(if kind == "adapter" {
        Verb::PlaceAdapter(name, rule)
    } else {
        Verb::PlaceOrganisation(name, rule)
    })
}

/// Parses `RATE per second burst N in requests|tokens [plain N]`.
fn quota(line: &mut Line) -> Parsed<Quota> {
    let rate = line.number_word()?;
    line.keyword(&["per"])?;
    line.keyword(&["second"])?;
    line.keyword(&["burst"])?;
    let burst = line.number_word()?;
    line.keyword(&["in"])?;
    let unit = match line.keyword(&["requests", "tokens"])?.as_str() {
        "requests" => Unit::Requests,
        _ => Unit::Tokens,
    };
    let plain_tokens = line.skip("plain").then(|| line.number_word()).transpose()?;
    Ok(Quota {
        rate,
        burst,
        unit,
        plain_tokens,
    })
}

/// Parses `in REGION` or `in REGION/ZONE,ZONE`.
fn rule(line: &mut Line) -> Parsed<Rule> {
    line.keyword(&["in"])?;
    let word = line.word("REGION or REGION/ZONE,ZONE")?;
    let (region, zones) = word.split_once('/').unwrap_or((&word, ""));
    let zones: Vec<&str> = zones.split(',').filter(|zone| !zone.is_empty()).collect();
    Ok(Rule::new(region, &zones))
}

/// A planned write of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The key below [`crate::config::PREFIX`].
    pub key: String,
    /// The revision that the object must have when it is written, 0 for a new one.
    pub expected_revision: Revision,
    /// The object before, if there is one.
    pub before: Option<Value>,
    /// The object after.
    pub after: Value,
}

impl Command {
    /// Returns whether the command sets a quota.
    pub fn sets_quota(&self) -> bool {
        match &self.verb {
            Verb::CreateOrganisation { quota, .. } | Verb::LimitOrganisation(_, quota) => {
                quota.is_some()
            }
            _ => false,
        }
    }
}

impl Plan {
    /// Returns whether nothing but the record of the last change would differ.
    pub fn is_noop(&self) -> bool {
        let without_change = |value: &Value| {
            let mut value = value.clone();
            if let Some(map) = value.as_object_mut() {
                map.remove("change");
            }
            value
        };
        self.before.as_ref().map(without_change) == Some(without_change(&self.after))
    }
}

/// Plans a command against the configuration.
///
/// # Errors
///
/// Returns every reason why the command cannot be carried out.
pub fn plan(config: &Snapshot, command: &Command, change: Change) -> Result<Plan, Vec<String>> {
    let mut findings = Vec::new();
    let (key, after) = apply(config, &command.verb, change, &mut findings);
    let expected_revision = config.revision_of(&key);
    if let Some(wanted) = command.revision
        && wanted != expected_revision
    {
        findings.push(format!(
            "{key} has revision {expected_revision}, not {wanted}"
        ));
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    Ok(Plan {
        before: config.object(&key),
        key,
        expected_revision,
        after,
    })
}

fn apply(
    config: &Snapshot,
    verb: &Verb,
    change: Change,
    findings: &mut Vec<String>,
) -> (String, Value) {
    match verb {
        Verb::CreateAdapter {
            name,
            base,
            service,
            organisations,
            place,
        } => {
            check_new(config, name, organisations, service, findings);
            check_place(config, place, findings);
            let adapter = Lora {
                base: base.clone(),
                service: service.clone(),
                organisations: organisations.iter().cloned().collect(),
                versions: BTreeMap::from([(1, Stage::Active)]),
                place: place.clone(),
                pins: BTreeSet::new(),
                change,
            };
            if config
                .adapters
                .get(name)
                .is_some_and(|old| !is_same_adapter(old, &adapter))
            {
                findings.push(format!("adapter {name} exists already"));
            }
            (format!("adapter/{name}"), json!(adapter))
        }
        Verb::CreateOrganisation {
            name,
            place,
            weight,
            quota,
        } => {
            let organisation = Tenant {
                place: place.clone(),
                weight: *weight,
                quota: quota.clone(),
                change,
            };
            new_organisation(config, name, &organisation, findings)
        }
        Verb::AddVersion(model) => adapter(
            config,
            &model.adapter,
            change,
            findings,
            |after, findings| {
                let stage = after.versions.entry(model.version).or_insert(Stage::Active);
                if *stage == Stage::Retired {
                    findings.push(format!(
                        "{model} was retired, and a version never comes back"
                    ));
                }
            },
        ),
        Verb::Retire(model) => adapter(
            config,
            &model.adapter,
            change,
            findings,
            |after, findings| match after.versions.get_mut(&model.version) {
                Some(stage) => *stage = Stage::Retired,
                None => findings.push(format!("there is no {model}")),
            },
        ),
        Verb::PlaceAdapter(name, rule) => {
            check_place(config, rule, findings);
            adapter(config, name, change, findings, |after, _| {
                after.place = rule.clone();
            })
        }
        Verb::PlaceOrganisation(name, rule) => {
            check_place(config, rule, findings);
            organisation(config, name, change, findings, |after| {
                after.place = rule.clone();
            })
        }
        Verb::LimitOrganisation(name, quota) => {
            findings.extend(quota.iter().flat_map(Quota::command_findings));
            let edit = |after: &mut Tenant| after.quota.clone_from(quota);
            organisation(config, name, change, findings, edit)
        }
        Verb::Pin(name, endpoint, pinned) => {
            if !config.endpoints.contains_key(endpoint) {
                findings.push(format!("there is no endpoint {endpoint}"));
            }
            adapter(config, name, change, findings, |after, findings| {
                if *pinned {
                    check_pin(config, after, endpoint, findings);
                    after.pins.insert(endpoint.clone());
                } else {
                    after.pins.remove(endpoint);
                }
            })
        }
        Verb::Drain(name, drained) => endpoint(config, name, change, findings, |after| {
            after.drained = *drained;
        }),
    }
}

fn new_organisation(
    config: &Snapshot,
    name: &str,
    organisation: &Tenant,
    findings: &mut Vec<String>,
) -> (String, Value) {
    check_name(name, findings);
    check_place(config, &organisation.place, findings);
    findings.extend(organisation.quota.iter().flat_map(Quota::command_findings));
    (format!("organisation/{name}"), json!(organisation))
}

fn is_same_adapter(old: &Lora, new: &Lora) -> bool {
    let without_change = |adapter: &Lora| Lora {
        change: Change::default(),
        ..adapter.clone()
    };
    without_change(old) == without_change(new)
}

fn adapter(
    config: &Snapshot,
    name: &str,
    change: Change,
    findings: &mut Vec<String>,
    edit: impl FnOnce(&mut Lora, &mut Vec<String>),
) -> (String, Value) {
    let key = format!("adapter/{name}");
    let Some(adapter) = config.adapters.get(name) else {
        findings.push(format!("there is no adapter {name}"));
        return (key, Value::Null);
    };
    let mut adapter = adapter.clone();
    adapter.change = change;
    edit(&mut adapter, findings);
    (key, json!(adapter))
}

fn organisation(
    config: &Snapshot,
    name: &str,
    change: Change,
    findings: &mut Vec<String>,
    edit: impl FnOnce(&mut Tenant),
) -> (String, Value) {
    let key = format!("organisation/{name}");
    let Some(organisation) = config.organisations.get(name) else {
        findings.push(format!("there is no organisation {name}"));
        return (key, Value::Null);
    };
    let mut organisation = organisation.clone();
    organisation.change = change;
    edit(&mut organisation);
    (key, json!(organisation))
}

fn endpoint(
    config: &Snapshot,
    name: &str,
    change: Change,
    findings: &mut Vec<String>,
    edit: impl FnOnce(&mut Target),
) -> (String, Value) {
    let key = format!("endpoint/{name}");
    let Some(target) = config.endpoints.get(name) else {
        findings.push(format!("there is no endpoint {name}"));
        return (key, Value::Null);
    };
    let mut target = target.clone();
    target.change = change;
    edit(&mut target);
    (key, json!(target))
}

fn check_name(name: &str, findings: &mut Vec<String>) {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || !name.chars().all(fits) {
        findings.push(format!(
            "{name:?} is no name: letters, digits, '-', '_' and '.'"
        ));
    }
}

fn check_new(
    config: &Snapshot,
    name: &str,
    organisations: &[String],
    service: &str,
    findings: &mut Vec<String>,
) {
    check_name(name, findings);
    for organisation in organisations {
        if !config.organisations.contains_key(organisation) {
            findings.push(format!("there is no organisation {organisation}"));
        }
    }
    if !config.services.contains_key(service) {
        findings.push(format!("there is no service {service}"));
    }
}

/// Checks that the region and each zone of the rule hold at least one endpoint.
fn check_place(config: &Snapshot, rule: &Rule, findings: &mut Vec<String>) {
    let targets = || {
        config
            .endpoints
            .values()
            .filter(|t| t.region == rule.region)
    };
    if targets().next().is_none() {
        findings.push(format!("no endpoint lies in region {}", rule.region));
        return;
    }
    for zone in &rule.zones {
        if !targets().any(|target| target.zone == *zone) {
            findings.push(format!("no endpoint lies in zone {zone}"));
        }
    }
}

fn check_pin(config: &Snapshot, adapter: &Lora, endpoint: &str, findings: &mut Vec<String>) {
    let Some(target) = config.endpoints.get(endpoint) else {
        return;
    };
    if !adapter.place.permits(&target.region, &target.zone) {
        findings.push(format!("{endpoint} lies outside the adapter's place"));
    }
    if target.service != adapter.service {
        findings.push(format!("{endpoint} belongs to service {}", target.service));
    }
}
