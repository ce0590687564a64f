//! The daemon's settings, checked as a whole.

mod check;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::units::{Size, Span};

pub use check::{Finding, read};

/// The settings of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the entry VM.
    pub vm: String,
    /// The region.
    pub region: String,
    /// The zone.
    pub zone: String,
    /// The zones of the region; `zone` must be one of them.
    pub zones: Vec<String>,
    /// The addresses that the daemon listens on.
    pub listen: Listen,
    /// The platform's key-value service.
    pub store: Store,
    /// The platform's list of VMs.
    #[serde(default)]
    pub vms: Option<Vms>,
    /// The node addresses of other daemons, which are asked if the store is unavailable at the
    /// start.
    #[serde(default)]
    pub peers: Vec<String>,
    /// The daemon's lease in the store.
    #[serde(default)]
    pub lease: Lease,
    /// The limits of the region's weight store.
    #[serde(default)]
    pub weights: Weights,
    /// The limits on waiting requests.
    #[serde(default)]
    pub waiting: Waiting,
    /// The limits on connections and requests.
    #[serde(default)]
    pub limits: Limits,
    /// The times of a planned stop.
    #[serde(default)]
    pub stop: Stop,
    /// The secrets that callers, operators and nodes present.
    #[serde(default)]
    pub tokens: Tokens,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Objectives,
}

/// The addresses that the daemon listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub nodes: SocketAddr,
}

/// The platform's key-value service.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// The address.
    pub address: SocketAddr,
    /// The maximum wait for a response.
    #[serde_as(as = "Span")]
    #[serde(default = "store_timeout")]
    pub timeout: Duration,
    /// The interval at which the store is checked for writes that the watch did not deliver.
    #[serde_as(as = "Span")]
    #[serde(default = "check_interval")]
    pub check: Duration,
}

fn store_timeout() -> Duration {
    Duration::from_secs(1)
}

fn check_interval() -> Duration {
    Duration::from_secs(3)
}

/// The platform's list of VMs.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vms {
    /// The address.
    pub address: SocketAddr,
    /// The interval at which the list is polled.
    #[serde_as(as = "Span")]
    pub interval: Duration,
}

/// The daemon's lease in the store.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// The time to live.
    #[serde_as(as = "Span")]
    pub ttl: Duration,
    /// The interval between renewals.
    #[serde_as(as = "Span")]
    pub renew: Duration,
    /// The wait before a lost node's endpoints are taken over.
    #[serde_as(as = "Span")]
    pub margin: Duration,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            renew: Duration::from_secs(2),
            margin: Duration::from_secs(2),
        }
    }
}

/// The limits of the region's weight store.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// The minimum interval between loads.
    #[serde_as(as = "Span")]
    pub interval: Duration,
    /// The maximum number of loads in progress.
    pub transit: usize,
    /// The age after which a waiting request takes precedence over all younger ones.
    #[serde_as(as = "Span")]
    pub patience: Duration,
    /// The time over which an adapter's popularity halves.
    #[serde_as(as = "Span")]
    pub half_life: Duration,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            transit: 8,
            patience: Duration::from_secs(30),
            half_life: Duration::from_secs(150),
        }
    }
}

/// The maximum wait of requests by class, and other limits on waiting.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Waiting {
    /// The maximum wait of customer orders.
    #[serde_as(as = "Span")]
    pub order: Duration,
    /// The maximum wait of lookups.
    #[serde_as(as = "Span")]
    pub lookup: Duration,
    /// The maximum wait of drafts.
    #[serde_as(as = "Span")]
    pub draft: Duration,
    /// The maximum wait of summaries.
    #[serde_as(as = "Span")]
    pub summary: Duration,
    /// The maximum number of waiting requests per endpoint.
    pub queue: usize,
    /// The maximum time between two tokens; after it the response counts as lost.
    #[serde_as(as = "Span")]
    pub token: Duration,
}

impl Default for Waiting {
    fn default() -> Self {
        Self {
            order: Duration::from_secs(5),
            lookup: Duration::from_secs(3),
            draft: Duration::from_secs(20),
            summary: Duration::from_mins(1),
            queue: 1000,
            token: Duration::from_secs(20),
        }
    }
}

/// The limits on connections and requests.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of connections on each HTTP address.
    pub connections: usize,
    /// The maximum number of requests in flight per organisation.
    pub organisation: usize,
    /// The maximum size of a request body.
    #[serde_as(as = "Size")]
    pub body: usize,
    /// The maximum size of all request bodies together that are received or kept until their requests have ended.
    #[serde_as(as = "Size")]
    pub bodies: usize,
    /// The maximum wait for a request's head.
    #[serde_as(as = "Span")]
    pub head: Duration,
    /// The maximum wait for a request's body.
    #[serde_as(as = "Span")]
    pub read: Duration,
    /// The maximum time without progress while a response is written.
    #[serde_as(as = "Span")]
    pub write: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4000,
            organisation: 500,
            body: 1 << 20,
            // With all connections in use, 32 KB for each; ordinary bodies are smaller.
            bodies: 128 << 20,
            head: Duration::from_secs(10),
            read: Duration::from_secs(10),
            write: Duration::from_secs(20),
        }
    }
}

/// The times of a planned stop.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// The time for which new requests are still accepted after readiness has ended.
    #[serde_as(as = "Span")]
    pub grace: Duration,
    /// The maximum wait for running requests.
    #[serde_as(as = "Span")]
    pub bound: Duration,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(2),
            bound: Duration::from_mins(2),
        }
    }
}

/// The source of a secret.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Secret {
    /// An environment variable.
    Env(String),
    /// A file.
    File(String),
}

/// The secrets that callers, operators and nodes present.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tokens {
    /// The callers' tokens by organisation.
    pub callers: BTreeMap<String, Secret>,
    /// The operators' token.
    pub operators: Option<Secret>,
    /// The token for calls between nodes.
    pub nodes: Option<Secret>,
}

/// The service-level objectives.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objectives {
    /// The share of requests that must be served, between 0 and 1.
    pub availability: f64,
    /// The target for the 95th percentile of the time to the first token.
    #[serde_as(as = "Span")]
    pub first_token: Duration,
    /// The target for the 95th percentile of the time between tokens.
    #[serde_as(as = "Span")]
    pub between_tokens: Duration,
    /// The target for the 95th percentile of the wait for a grant.
    #[serde_as(as = "Span")]
    pub load_stall: Duration,
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            availability: 0.999,
            first_token: Duration::from_millis(1700),
            between_tokens: Duration::from_millis(54),
            load_stall: Duration::from_secs(1),
        }
    }
}
