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
    /// The zones of the region; the own zone has to be one of them.
    pub zones: Vec<String>,
    /// The addresses that the daemon listens on.
    pub listen: Listen,
    /// The platform's key-value service.
    pub store: Store,
    /// The platform's list of VMs.
    #[serde(default)]
    pub vms: Option<Vms>,
    /// Addresses of other daemons' node ports, asked when the store is out at the start.
    #[serde(default)]
    pub peers: Vec<String>,
    /// The lease of the daemon.
    #[serde(default)]
    pub lease: Lease,
    /// The region's weight store.
    #[serde(default)]
    pub weights: Weights,
    /// How long requests wait.
    #[serde(default)]
    pub waiting: Waiting,
    /// Bounds on connections and bodies.
    #[serde(default)]
    pub limits: Limits,
    /// How a planned stop goes.
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
    /// The longest wait for an answer.
    #[serde_as(as = "Span")]
    #[serde(default = "store_timeout")]
    pub timeout: Duration,
    /// The time between two looks for writes that the watch did not tell.
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
    /// The time between two looks.
    #[serde_as(as = "Span")]
    pub interval: Duration,
}

/// The lease of the daemon.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// The time to live.
    #[serde_as(as = "Span")]
    pub ttl: Duration,
    /// The time between two renewals.
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
    /// The time between two loads.
    #[serde_as(as = "Span")]
    pub interval: Duration,
    /// The most loads in transit.
    pub transit: usize,
    /// The age past which a waiting request goes before all younger ones.
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

/// How long requests of each class wait, and how many.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Waiting {
    /// Orders.
    #[serde_as(as = "Span")]
    pub order: Duration,
    /// Lookups.
    #[serde_as(as = "Span")]
    pub lookup: Duration,
    /// Drafts.
    #[serde_as(as = "Span")]
    pub draft: Duration,
    /// Summaries.
    #[serde_as(as = "Span")]
    pub summary: Duration,
    /// The most requests that wait at one endpoint.
    pub queue: usize,
    /// The longest time between two tokens before an answer counts as lost.
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

/// Bounds on connections and bodies.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most connections of callers.
    pub connections: usize,
    /// The most requests of one organisation at once.
    pub organisation: usize,
    /// The largest body.
    #[serde_as(as = "Size")]
    pub body: usize,
    /// The longest wait for a request's head.
    #[serde_as(as = "Span")]
    pub head: Duration,
    /// The longest wait for a request's body.
    #[serde_as(as = "Span")]
    pub read: Duration,
    /// The longest time without progress when an answer is written.
    #[serde_as(as = "Span")]
    pub write: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4000,
            organisation: 500,
            body: 1 << 20,
            head: Duration::from_secs(10),
            read: Duration::from_secs(10),
            write: Duration::from_secs(20),
        }
    }
}

/// How a planned stop goes.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// The time for which new requests are still taken after readiness is off.
    #[serde_as(as = "Span")]
    pub grace: Duration,
    /// The longest wait for running requests.
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

/// Where a secret is read from.
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
    /// By organisation.
    pub callers: BTreeMap<String, Secret>,
    /// For operators.
    pub operators: Option<Secret>,
    /// Between nodes.
    pub nodes: Option<Secret>,
}

/// The service-level objectives.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objectives {
    /// The share of requests to be served.
    pub availability: f64,
    /// The time to the first token for 95 in 100.
    #[serde_as(as = "Span")]
    pub first_token: Duration,
    /// The time between tokens for 95 in 100.
    #[serde_as(as = "Span")]
    pub between_tokens: Duration,
    /// The time that 95 in 100 requests may wait for an adapter.
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
