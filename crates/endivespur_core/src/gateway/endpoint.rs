//! What endpoints tell of themselves through the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Endpoint, Service, Version, Zone};

/// A base model that an engine holds, with its adapters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The version of the base model's weights.
    pub version: Version,
    /// The adapters' versions by name.
    pub adapters: BTreeMap<String, Version>,
}

/// One start of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name that the endpoint's registration bears.
    pub id: Endpoint,
    /// When the process started, in milliseconds of the Unix epoch; differs for each start.
    pub born: u64,
    /// The service.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Zone,
    /// The requests that it runs at once.
    pub slots: usize,
    /// Whether it is about to leave and takes no new work.
    pub is_leaving: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// The base models that it holds, by name.
    pub bases: BTreeMap<String, Base>,
    /// The orders that it has accepted since its start.
    pub orders: u64,
}

/// The name of an adapter of a base model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Weights {
    /// The base model.
    pub base: String,
    /// The adapter; empty for the base model alone.
    pub adapter: String,
}

impl Weights {
    /// Makes a name from base model and adapter.
    pub fn new(base: &str, adapter: &str) -> Self {
        Self {
            base: base.to_string(),
            adapter: adapter.to_string(),
        }
    }

    /// Parses `BASE` or `BASE/ADAPTER`.
    pub fn parse(text: &str) -> Self {
        let (base, adapter) = text.split_once('/').unwrap_or((text, ""));
        Self::new(base, adapter)
    }
}

impl std::fmt::Display for Weights {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.adapter.is_empty() {
            write!(f, "{}", self.base)
        } else {
            write!(f, "{}/{}", self.base, self.adapter)
        }
    }
}
