//! The operators' configuration: one object per key, merged by the store's revision.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::id::{Adapter, Endpoint, Organisation, Region, Revision, Service, Version, Zone};
use crate::place::Rule;
use crate::quota::Quota;

/// The key prefix of the configuration in the platform's store.
pub const PREFIX: &str = "endivespur/config/";

/// The author, time and reason of the last change of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The operator's name.
    pub author: String,
    /// Seconds since the Unix epoch.
    pub at: u64,
    /// The reason given.
    pub reason: String,
}

/// The protocol that an endpoint speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine with slots for adapters.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// An endpoint that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The protocol.
    pub kind: Kind,
    /// The service that the endpoint belongs to.
    pub service: Service,
    /// The IP address and port.
    pub address: String,
    /// The region.
    pub region: Region,
    /// The zone.
    pub zone: Zone,
    /// The number of slots for adapters; 0 for a plain service.
    #[serde(default)]
    pub slots: usize,
    /// The maximum number of requests that run at once.
    pub batch: usize,
    /// Whether the endpoint rejects orders with a stale fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Whether the endpoint is drained: it receives no new work.
    #[serde(default)]
    pub drained: bool,
    /// The last change.
    #[serde(default)]
    pub change: Change,
}

/// The lifecycle stage of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Requests may name the version.
    Active,
    /// No new request may name the version.
    Retired,
}

/// An adapter with its versions and placement rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lora {
    /// The base model.
    pub base: String,
    /// The service whose engines run the adapter.
    pub service: Service,
    /// The organisations that may name the adapter.
    pub organisations: BTreeSet<Organisation>,
    /// The versions by number.
    pub versions: BTreeMap<Version, Stage>,
    /// Where the adapter and its cached context may be stored.
    pub place: Rule,
    /// The endpoints that keep the adapter's newest version loaded.
    #[serde(default)]
    pub pins: BTreeSet<Endpoint>,
    /// The last change.
    #[serde(default)]
    pub change: Change,
}

/// A calling organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Where the organisation's requests may be handled.
    pub place: Rule,
    /// The weight in deficit round robin over organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// What the organisation may use, over all nodes; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// The last change.
    #[serde(default)]
    pub change: Change,
}

fn one() -> u32 {
    1
}

/// The urgency of a request; lower values are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Calls that run at most once.
    Order,
    /// Short read-only calls.
    Lookup,
    /// Interactive drafts.
    Draft,
    /// Summaries that can wait.
    Summary,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 4] = [Self::Order, Self::Lookup, Self::Draft, Self::Summary];

    /// Returns the class with the given number, or the last class for a larger number.
    pub fn from_number(number: u8) -> Self {
        match number {
            0 => Self::Order,
            1 => Self::Lookup,
            2 => Self::Draft,
            _ => Self::Summary,
        }
    }
}

/// A route of a plain service whose calls run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Once", deny_unknown_fields)]
pub struct OnceRoute {
    /// The HTTP method.
    pub method: String,
    /// The prefix of the path below the service.
    pub path: String,
}

/// The settings of a service, which is a group of endpoints under one name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Offer", deny_unknown_fields)]
pub struct ServicePolicy {
    /// The class of the service's requests.
    pub class: Class,
    /// Whether completions of the service run at most once.
    #[serde(default)]
    pub once: bool,
    /// The routes of a plain service whose calls run at most once.
    #[serde(default)]
    pub routes: Vec<OnceRoute>,
    /// The last change.
    #[serde(default)]
    pub change: Change,
}

impl ServicePolicy {
    /// Returns whether a call of a plain service runs at most once.
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        self.routes
            .iter()
            .any(|route| route.method == method && path.starts_with(&route.path))
    }
}

/// A value of the configuration with the store's revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key below [`PREFIX`].
    pub key: String,
    /// The store's revision of the write.
    pub revision: Revision,
    /// The JSON text, or `None` for a deleted object.
    pub value: Option<String>,
}

/// A value of the configuration that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The key and the path inside the value.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

/// The last write of a key.
#[derive(Clone, Debug)]
struct LastWrite {
    revision: Revision,
    deleted: bool,
}

/// A node's local copy of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// All writes up to this revision have been applied.
    pub revision: Revision,
    /// Endpoints by name.
    pub endpoints: BTreeMap<Endpoint, Target>,
    /// Adapters by name.
    pub adapters: BTreeMap<Adapter, Lora>,
    /// Organisations by name.
    pub organisations: BTreeMap<Organisation, Tenant>,
    /// Services by name.
    pub services: BTreeMap<Service, ServicePolicy>,
    /// Errors of values that could not be parsed, by key; the last valid value stays in force.
    pub findings: BTreeMap<String, Finding>,
    /// The text of the values that could not be parsed.
    invalid_texts: BTreeMap<String, String>,
    written: BTreeMap<String, LastWrite>,
    /// The keys by the revision of their last write.
    keys_by_revision: BTreeSet<(Revision, String)>,
    object_count: usize,
    pins: BTreeMap<Endpoint, BTreeSet<Adapter>>,
}

impl Snapshot {
    /// Applies an entry if it is newer than the known write of its key; returns whether it was.
    ///
    /// An older or equal revision of the same key changes nothing, whatever its source.
    pub fn apply(&mut self, entry: Entry) -> bool {
        let known = self.written.get(&entry.key);
        let (before, was_present) =
            known.map_or((0, false), |known| (known.revision, !known.deleted));
        if entry.revision <= before {
            return false;
        }
        self.keys_by_revision.remove(&(before, entry.key.clone()));
        self.keys_by_revision
            .insert((entry.revision, entry.key.clone()));
        self.object_count -= usize::from(was_present);
        self.object_count += usize::from(entry.value.is_some());
        self.parse(&entry);
        let written = LastWrite {
            revision: entry.revision,
            deleted: entry.value.is_none(),
        };
        self.written.insert(entry.key, written);
        true
    }

    /// Records that all writes up to `revision` are known; a lower revision changes nothing.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Replaces the configuration by a full listing of the store at `revision`.
    ///
    /// A key that is missing from the listing was deleted, unless a later write of it is
    /// known. A listing older than the configuration changes nothing.
    pub fn replace(&mut self, revision: Revision, listing: Vec<Entry>) -> bool {
        if revision < self.revision {
            return false;
        }
        let present: BTreeSet<&str> = listing.iter().map(|entry| entry.key.as_str()).collect();
        let gone: Vec<String> = self
            .written
            .iter()
            .filter(|(_, written)| !written.deleted && written.revision <= revision)
            .filter(|(key, _)| !present.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        let mut changed = false;
        for key in gone {
            changed |= self.apply(Entry {
                key,
                revision,
                value: None,
            });
        }
        for entry in listing {
            changed |= self.apply(entry);
        }
        self.advance(revision);
        changed
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.object_count
    }

    /// Returns whether there is no object.
    pub fn is_empty(&self) -> bool {
        self.object_count == 0
    }

    /// Returns the entries written after `revision`, in the order of their revisions.
    pub fn after(&self, revision: Revision) -> Vec<Entry> {
        self.keys_by_revision
            .range((revision + 1, String::new())..)
            .filter_map(|(_, key)| self.entry(key))
            .collect()
    }

    /// Returns the revision of the last write of a key, 0 if there is none.
    pub fn revision_of(&self, key: &str) -> Revision {
        let written = self.written.get(key).filter(|written| !written.deleted);
        written.map_or(0, |written| written.revision)
    }

    /// Returns the last known write of a key.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        let written = self.written.get(key)?;
        Some(Entry {
            key: key.to_string(),
            revision: written.revision,
            value: (!written.deleted).then(|| self.text(key)),
        })
    }

    /// Returns an object's JSON text, with each default filled in.
    fn text(&self, key: &str) -> String {
        let raw = self.invalid_texts.get(key).cloned();
        raw.unwrap_or_else(|| {
            self.object(key)
                .map(|value| value.to_string())
                .unwrap_or_default()
        })
    }

    /// Returns an object as it would be written, with each default filled in.
    pub fn object(&self, key: &str) -> Option<Value> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            "endpoint" => self.endpoints.get(name).map(|found| json!(found)),
            "adapter" => self.adapters.get(name).map(|found| json!(found)),
            "organisation" => self.organisations.get(name).map(|found| json!(found)),
            "service" => self.services.get(name).map(|found| json!(found)),
            _ => None,
        }
    }

    /// Returns the adapters that are pinned to an endpoint.
    pub fn pinned_to(&self, endpoint: &str) -> impl Iterator<Item = &Adapter> {
        self.pins.get(endpoint).into_iter().flatten()
    }

    fn parse(&mut self, entry: &Entry) {
        let value = entry.value.as_deref();
        self.invalid_texts.remove(&entry.key);
        self.findings.remove(&entry.key);
        let Some((kind, name)) = entry.key.split_once('/') else {
            self.record_finding(entry, "", "a key has the form KIND/NAME");
            return;
        };
        let result = match kind {
            "endpoint" => parse_into(&mut self.endpoints, name, value),
            "adapter" => self.set_adapter(name, value),
            "organisation" => self.set_organisation(name, value),
            "service" => parse_into(&mut self.services, name, value),
            _ => Err((String::new(), format!("unknown kind {kind}"))),
        };
        if let Err((path, message)) = result {
            self.record_finding(entry, &path, &message);
        }
    }

    fn set_organisation(
        &mut self,
        name: &str,
        value: Option<&str>,
    ) -> Result<(), (String, String)> {
        let mut parsed: BTreeMap<Organisation, Tenant> = BTreeMap::new();
        parse_into(&mut parsed, name, value)?;
        let quotas = parsed.values().filter_map(|tenant| tenant.quota.as_ref());
        let findings: Vec<String> = quotas.flat_map(Quota::findings).collect();
        if !findings.is_empty() {
            return Err(("quota".to_string(), findings.join("; ")));
        }
        self.organisations.remove(name);
        self.organisations.append(&mut parsed);
        Ok(())
    }

    fn set_adapter(&mut self, name: &str, value: Option<&str>) -> Result<(), (String, String)> {
        let pins = |adapter: Option<&Lora>| {
            adapter.map_or_else(BTreeSet::new, |adapter| adapter.pins.clone())
        };
        let before = pins(self.adapters.get(name));
        parse_into(&mut self.adapters, name, value)?;
        let after = pins(self.adapters.get(name));
        for endpoint in before.difference(&after) {
            if let Some(adapters) = self.pins.get_mut(endpoint) {
                adapters.remove(name);
            }
        }
        for endpoint in after {
            self.pins
                .entry(endpoint)
                .or_default()
                .insert(name.to_string());
        }
        Ok(())
    }

    fn record_finding(&mut self, entry: &Entry, path: &str, message: &str) {
        let finding = Finding {
            place: format!("{}: {path}", entry.key),
            message: message.to_string(),
        };
        self.findings.insert(entry.key.clone(), finding);
        if let Some(text) = &entry.value {
            self.invalid_texts.insert(entry.key.clone(), text.clone());
        }
    }
}

fn parse_into<T: serde::de::DeserializeOwned>(
    map: &mut BTreeMap<String, T>,
    name: &str,
    value: Option<&str>,
) -> Result<(), (String, String)> {
    let Some(text) = value else {
        map.remove(name);
        return Ok(());
    };
    let reader = &mut serde_json::Deserializer::from_str(text);
    match serde_path_to_error::deserialize(reader) {
        Ok(parsed) => {
            map.insert(name.to_string(), parsed);
            Ok(())
        }
        Err(error) => Err((error.path().to_string(), error.inner().to_string())),
    }
}
