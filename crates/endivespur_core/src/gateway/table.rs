//! Routes and services of one version of the operators' configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::team::{Credentials, Denial, Identity, Teams};
use crate::id::Service;

/// How often a request may run, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that a second run may resume after the last event.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// The settings for requests below one path prefix of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The path prefix; starts and ends with a slash.
    pub prefix: String,
    /// The services that run the requests, with their weights.
    pub targets: Vec<Target>,
    /// How often a request may run, and whether its response is a stream.
    pub retry_policy: RetryPolicy,
    /// The maximum number of endpoints that may run one request.
    pub max_endpoints: u32,
    /// The maximum time until a request must be answered.
    pub timeout: Duration,
    /// The latency objective: the time until the response, or until the first event of a stream.
    pub objective: Duration,
    /// The maximum pause between two events of a stream that meets its objective.
    pub max_pause: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no API key, where there are teams.
    pub allows_anonymous: bool,
}

/// The shortest time that a caller is assumed to wait for an event of a stream.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

impl Route {
    /// Returns how long a caller is assumed to wait for the first event of a stream before it
    /// disconnects: several times the delays that meet the route's objectives.
    pub fn caller_timeout(&self) -> Duration {
        MIN_CALLER_TIMEOUT
            .max(self.objective * 4)
            .max(self.max_pause * 8)
    }

    /// Returns the service for a request with this hash, by the targets' weights.
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

/// The properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineClass {
    /// The number of requests in a batch.
    pub batch_size: usize,
    /// The maximum number of adapters on an engine, including those being loaded.
    pub adapter_slots: usize,
    /// The number of tokens of prompts and responses that fit into an engine's memory.
    pub memory_tokens: u64,
    /// The tokens of one event of a stream; 0 if that is not known.
    pub tokens_per_event: u32,
    /// The base models by name, with the time that an engine takes to load each.
    pub bases: BTreeMap<String, Duration>,
}

/// A group of endpoints that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The maximum number of connections to an endpoint from all callers together.
    pub max_connections: usize,
    /// The class of its engines; `None` for a plain service.
    pub engine: Option<EngineClass>,
}

/// Limits of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a head in bytes.
    pub header_bytes: usize,
    /// The maximum size of a body in bytes.
    pub body_bytes: usize,
    /// The maximum time until a head is complete.
    pub header_timeout: Duration,
    /// The maximum time between two requests on a connection.
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
    /// The limits of callers' requests.
    pub limits: Limits,
    /// The teams of callers; `None` if callers need no API key.
    pub teams: Option<Teams>,
}

impl Table {
    /// Creates a table without routes.
    pub fn new(version: u64, services: BTreeMap<Service, Group>, limits: Limits) -> Self {
        Self {
            version,
            routes: BTreeMap::new(),
            services,
            limits,
            teams: None,
        }
    }

    /// Sets the teams of callers.
    pub fn with_teams(mut self, teams: Teams) -> Self {
        self.teams = Some(teams);
        self
    }

    /// Adds a route for a host.
    pub fn with_route(mut self, host: &str, route: Route) -> Self {
        let routes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, route);
        self
    }

    /// Returns the route of a request: the one of its host with the longest matching path prefix.
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

    /// Returns the identity for these credentials.
    ///
    /// # Errors
    ///
    /// Returns the reason if it is not authorised. A request without a route needs credentials too:
    /// unauthenticated callers must not learn which routes exist.
    pub fn identify(
        &self,
        host: &str,
        target: &str,
        credentials: Credentials,
    ) -> Result<Identity, Denial> {
        let Some(teams) = &self.teams else {
            return Ok(Identity::Unchecked);
        };
        // The route is looked up again with each check, but matters only without credentials.
        let allows_anonymous = credentials == Credentials::Missing
            && self
                .route(host, target)
                .is_some_and(|route| route.allows_anonymous);
        teams.identify(credentials, allows_anonymous)
    }
}
