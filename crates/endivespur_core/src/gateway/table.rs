//! Routes and services, in one version of the operators' configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::Service;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Idempotent: it may run more than once.
    Idempotent,
    /// At most once.
    AtMostOnce,
    /// A stream of events, at most once.
    Stream,
    /// A stream of events that a second run may resume after the last event.
    ResumableStream,
}

impl RetryPolicy {
    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// What requests below one path prefix of one host get.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// The services that run its requests.
    pub targets: Vec<Target>,
    /// How often a request may run.
    pub retry_policy: RetryPolicy,
    /// The most endpoints that may run one request.
    pub max_endpoints: u32,
    /// The longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// The objective: until the answer, or until the first event of a stream.
    pub objective: Duration,
    /// The longest pause between two events of a stream that meets its objective.
    pub max_pause: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
}

/// The shortest time that a caller waits for the next event of a stream.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

impl Route {
    /// Returns how long a caller waits for the first event of a stream before it leaves.
    pub fn caller_timeout(&self) -> Duration {
        MIN_CALLER_TIMEOUT
            .max(self.objective * 4)
            .max(self.max_pause * 8)
    }

    /// Returns the service for a request with that hash, by the targets' weights.
    pub fn service(&self, hash: u64) -> Option<&Service> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = hash % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineClass {
    /// The requests in a batch.
    pub batch_size: usize,
    /// The adapters that an engine holds, those on their way included.
    pub adapter_slots: usize,
    /// The tokens of prompts and answers that an engine's memory holds.
    pub memory_tokens: u64,
    /// The base models by name, with the time that an engine takes to load each.
    pub bases: BTreeMap<String, Duration>,
}

/// A group of endpoints that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The connections that an endpoint accepts from all callers together.
    pub max_connections: usize,
    /// Set for model engines.
    pub engine: Option<EngineClass>,
}

/// What clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest head in bytes.
    pub header_bytes: usize,
    /// The longest body in bytes.
    pub body_bytes: usize,
    /// The longest time until a head is complete.
    pub header_timeout: Duration,
    /// The longest time between two requests of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The operators' version number.
    pub version: u64,
    routes: BTreeMap<String, Vec<Route>>,
    /// The services by name.
    pub services: BTreeMap<Service, Group>,
    /// What clients may send.
    pub limits: Limits,
}

impl Table {
    /// Makes a table without routes.
    pub fn new(version: u64, services: BTreeMap<Service, Group>, limits: Limits) -> Self {
        Self {
            version,
            routes: BTreeMap::new(),
            services,
            limits,
        }
    }

    /// Adds a route of a host.
    pub fn with_route(mut self, host: &str, route: Route) -> Self {
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, route);
        self
    }

    /// Returns the route of a request: the longest prefix of its host that begins the path.
    pub fn route(&self, host: &str, target: &str) -> Option<&Route> {
        let host = host
            .split(':')
            .next()
            .unwrap_or_default()
            .to_ascii_lowercase();
        let path = target.split('?').next().unwrap_or_default();
        self.routes
            .get(&host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }
}
