//! Type aliases for identifiers.

use serde::{Deserialize, Serialize};

/// The name of an adapter.
pub type Adapter = String;
/// The version of an adapter.
pub type Version = u32;
/// The name of an endpoint.
pub type Endpoint = String;
/// The version of an endpoint's software.
pub type Software = String;
/// The name of a calling organisation.
pub type Organisation = String;
/// The name of a team of callers.
pub type Team = String;
/// The name of a VM that runs a daemon.
pub type Vm = String;
/// The name of a daemon's process: `VM#INCARNATION`.
pub type Process = String;
/// The name of an availability zone.
pub type Zone = String;
/// The name of a region.
pub type Region = String;
/// The name of a service that endpoints belong to.
pub type Service = String;
/// A revision of the platform's store.
pub type Revision = u64;
/// A fencing number: the store's revision of an ownership record.
pub type Fence = u64;
/// The number of a grant, unique for one owner and fence.
pub type Grant = u64;
/// The number of a waiting request at one owner.
pub type Ticket = u64;

/// An adapter in one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Model {
    /// The adapter's name.
    pub adapter: Adapter,
    /// The adapter's version.
    pub version: Version,
}

impl Model {
    /// Creates a model from an adapter's name and version.
    pub fn new(adapter: &str, version: Version) -> Self {
        Self {
            adapter: adapter.to_string(),
            version,
        }
    }
}

impl std::fmt::Display for Model {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}
