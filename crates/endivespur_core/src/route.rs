//! Which endpoints may run a request, and the order in which they are tried.

use serde::Serialize;

use crate::config::{Kind, Lora, Snapshot, Stage, Tenant};
use crate::hash;
use crate::id::{Endpoint, Model, Organisation, Service};
use crate::place::{self, Rule};

/// The parts of a request that decide where it may run.
#[derive(Clone, Debug)]
pub struct Request {
    /// The calling organisation.
    pub organisation: Organisation,
    /// The base model that the request names, if any.
    pub base: Option<String>,
    /// The service, for a plain call.
    pub service: Option<Service>,
    /// The adapter and version, for a completion.
    pub model: Option<Model>,
    /// The placement rule of the request itself, if it names one.
    pub place: Option<Rule>,
}

/// Why no endpoint may run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Denial {
    /// The organisation is unknown.
    UnknownOrganisation,
    /// The base model, adapter or service is unknown.
    UnknownModel,
    /// The adapter has no such version, or it is retired.
    UnknownVersion,
    /// The organisation may not use the adapter.
    Forbidden,
    /// The zone of the entry VM is not permitted.
    EntryPlace,
    /// No available endpoint exists in the permitted zones.
    NoEndpoint,
}

/// Whether an endpoint may run a request, or why not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Eligibility {
    /// The endpoint may run the request.
    Permitted,
    /// The endpoint belongs to another service.
    OtherService,
    /// The zone is not permitted by the named rule.
    Place(String),
    /// The endpoint is shutting down or drained.
    #[serde(rename = "leaving")]
    Draining,
}

/// An endpoint with its eligibility.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Whether it may run the request, or why not.
    #[serde(rename = "verdict")]
    pub eligibility: Eligibility,
}

/// The placement rules of a request, each with the name of the object that sets it.
struct Rules<'a>(Vec<(&'static str, &'a Rule)>);

impl Rules<'_> {
    fn violated(&self, region: &str, zone: &str) -> Option<&'static str> {
        self.0
            .iter()
            .find(|(_, rule)| !rule.permits(region, zone))
            .map(|(name, _)| *name)
    }

    fn permits(&self, region: &str, zone: &str) -> bool {
        let rules: Vec<&Rule> = self.0.iter().map(|(_, rule)| *rule).collect();
        place::permits(&rules, region, zone)
    }
}

/// Checks what a request names and returns the service that runs it.
///
/// # Errors
///
/// Returns the first [`Denial`] that applies.
pub fn check(config: &Snapshot, request: &Request) -> Result<Service, Denial> {
    organisation(config, request)?;
    let Some(model) = &request.model else {
        return request
            .service
            .clone()
            .filter(|name| config.services.contains_key(name))
            .ok_or(Denial::UnknownModel);
    };
    let adapter = adapter(config, model)?;
    if request
        .base
        .as_ref()
        .is_some_and(|base| *base != adapter.base)
    {
        return Err(Denial::UnknownModel);
    }
    if !adapter.organisations.contains(&request.organisation) {
        return Err(Denial::Forbidden);
    }
    match adapter.versions.get(&model.version) {
        Some(Stage::Active) => Ok(adapter.service.clone()),
        _ => Err(Denial::UnknownVersion),
    }
}

/// Returns at most `max` permitted endpoints in the order in which they are tried.
///
/// # Errors
///
/// Returns a [`Denial`] if the request names something unknown, or if the zone of the
/// entry VM or of every endpoint is not permitted.
pub fn choose(
    config: &Snapshot,
    request: &Request,
    entry: (&str, &str),
    is_draining: impl Fn(&str) -> bool,
    max: usize,
) -> Result<Vec<Endpoint>, Denial> {
    let service = check(config, request)?;
    let rules = rules(config, request)?;
    if !rules.permits(entry.0, entry.1) {
        return Err(Denial::EntryPlace);
    }
    let eligible: Vec<&Endpoint> = config
        .endpoints
        .iter()
        .filter(|(_, target)| target.service == service && !target.drained)
        .filter(|(_, target)| rules.violated(&target.region, &target.zone).is_none())
        .filter(|(name, _)| !is_draining(name))
        .map(|(name, _)| name)
        .collect();
    if eligible.is_empty() {
        return Err(Denial::NoEndpoint);
    }
    Ok(order(config, request, eligible, max))
}

/// Returns every endpoint with its eligibility, the permitted ones first.
///
/// # Errors
///
/// Returns a [`Denial`] if the request names something unknown.
pub fn explain(
    config: &Snapshot,
    request: &Request,
    is_draining: impl Fn(&str) -> bool,
) -> Result<Vec<Candidate>, Denial> {
    let service = check(config, request)?;
    let rules = rules(config, request)?;
    let (eligible, ineligible): (Vec<_>, Vec<_>) = evaluate(config, &service, &rules, is_draining)
        .into_iter()
        .partition(|candidate| candidate.eligibility == Eligibility::Permitted);
    let names = eligible
        .iter()
        .map(|candidate| &candidate.endpoint)
        .collect();
    let ordered = order(config, request, names, usize::MAX);
    let permitted = ordered.into_iter().map(|endpoint| Candidate {
        endpoint,
        eligibility: Eligibility::Permitted,
    });
    Ok(permitted.chain(ineligible).collect())
}

fn organisation<'a>(config: &'a Snapshot, request: &Request) -> Result<&'a Tenant, Denial> {
    config
        .organisations
        .get(&request.organisation)
        .ok_or(Denial::UnknownOrganisation)
}

fn adapter<'a>(config: &'a Snapshot, model: &Model) -> Result<&'a Lora, Denial> {
    config
        .adapters
        .get(&model.adapter)
        .ok_or(Denial::UnknownModel)
}

fn rules<'a>(config: &'a Snapshot, request: &'a Request) -> Result<Rules<'a>, Denial> {
    let mut rules = vec![("organisation", &organisation(config, request)?.place)];
    if let Some(model) = &request.model {
        rules.push(("adapter", &adapter(config, model)?.place));
    }
    if let Some(rule) = &request.place {
        rules.push(("request", rule));
    }
    Ok(Rules(rules))
}

fn evaluate(
    config: &Snapshot,
    service: &str,
    rules: &Rules<'_>,
    is_draining: impl Fn(&str) -> bool,
) -> Vec<Candidate> {
    let eligibility = |name: &str, target: &crate::config::Target| {
        if target.service != service {
            return Eligibility::OtherService;
        }
        if let Some(rule) = rules.violated(&target.region, &target.zone) {
            return Eligibility::Place(rule.to_string());
        }
        if target.drained || is_draining(name) {
            return Eligibility::Draining;
        }
        Eligibility::Permitted
    };
    config
        .endpoints
        .iter()
        .map(|(name, target)| Candidate {
            endpoint: name.clone(),
            eligibility: eligibility(name, target),
        })
        .collect()
}

/// Orders endpoints by the rendezvous score of the adapter, those that it is pinned to
/// first; a plain call is scored by its organisation.
fn order(
    config: &Snapshot,
    request: &Request,
    eligible: Vec<&Endpoint>,
    max: usize,
) -> Vec<Endpoint> {
    let (key, adapter) = match &request.model {
        Some(model) => (&model.adapter, config.adapters.get(&model.adapter)),
        None => (&request.organisation, None),
    };
    let is_pin = |name: &Endpoint| adapter.is_some_and(|adapter| adapter.pins.contains(name));
    let (first, rest): (Vec<_>, Vec<_>) = eligible.into_iter().partition(|name| is_pin(name));
    let rank = |names, max| hash::rank(key, names, |name: &&Endpoint| name.as_str(), max);
    let mut ordered = rank(first, max);
    ordered.extend(rank(rest, max - ordered.len().min(max)));
    ordered.into_iter().cloned().collect()
}

/// Returns whether an endpoint is a model engine.
pub fn is_engine(config: &Snapshot, endpoint: &str) -> bool {
    config
        .endpoints
        .get(endpoint)
        .is_some_and(|target| target.kind == Kind::Engine)
}
