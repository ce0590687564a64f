//! The registrations of endpoints in the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Endpoint, Service, Software, Version, Zone};

/// A base model that an engine holds, with its adapters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The version of the base model's weights.
    pub version: Version,
    /// The versions of the adapters, by name.
    pub adapters: BTreeMap<String, Version>,
}

/// A registered endpoint, from one start of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the endpoint's registration.
    pub id: Endpoint,
    /// The start of the process in milliseconds since the Unix epoch; differs for each start.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// The service.
    pub service: Service,
    /// The version of its software.
    pub software: Software,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Zone,
    /// The maximum number of requests that it runs concurrently.
    pub slots: usize,
    /// Whether it is draining and accepts no new requests.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// How much longer it is slow because of its recent start.
    pub cold: Duration,
    /// The loaded base models, by name.
    pub bases: BTreeMap<String, Base>,
    /// The number of orders that it has accepted since its start.
    pub orders: u64,
}

/// The start of an endpoint's process that has said something in a response, and the start that was registered then, by
/// which requests are addressed until the newer registration arrives. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Responder {
    /// The start that has said it.
    pub started_ms: u64,
    registered_ms: u64,
}

impl Responder {
    /// Creates the responder to a request that was addressed by the registration of the start at `registered_ms`. If it is
    /// not known which start has responded, the registered one is assumed.
    pub fn new(registered_ms: u64, started_ms: Option<u64>) -> Self {
        Self {
            started_ms: started_ms.unwrap_or(registered_ms),
            registered_ms,
        }
    }

    /// Returns whether a request that is addressed by a registration reaches the responder, as far as is known.
    pub fn is_reached_by(&self, started_ms: u64) -> bool {
        let first = self.registered_ms.min(self.started_ms);
        (first..=self.started_ms).contains(&started_ms)
    }
}

/// Identifies a set of weights: a base model, or an adapter of a base model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Weights {
    /// The base model.
    pub base: String,
    /// The adapter; empty for the base model itself.
    pub adapter: String,
}

impl Weights {
    /// Creates the identifier from the names of the base model and the adapter.
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
