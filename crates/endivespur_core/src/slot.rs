//! The slots of an engine: which adapter is loaded under which name.

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::id::{Fence, Model};

/// The name under which an engine holds an adapter: `ADAPTER@VERSION.fFENCE`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
    /// The adapter and version.
    pub model: Model,
    /// The fencing number of the owner that loaded it.
    pub fence: Fence,
}

impl Name {
    /// Parses a name as listed by an engine; returns `None` if it has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let (model, fence) = text.rsplit_once(".f")?;
        let (adapter, version) = model.rsplit_once('@')?;
        Some(Self {
            model: Model::new(adapter, version.parse().ok()?),
            fence: fence.parse().ok()?,
        })
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.f{}", self.model, self.fence)
    }
}

/// The state of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The adapter is being loaded; no request runs on it.
    Loading,
    /// Requests may run on the adapter.
    Ready,
    /// The adapter is being unloaded; no request runs on it.
    Unloading,
}

/// One slot of an engine.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The state.
    pub phase: Phase,
    /// When a grant was last issued on the slot.
    pub last_used: Time,
    /// When the slot was added or its load ended.
    pub since: Time,
    /// Whether the owner's grants cover every request that runs on the slot.
    pub usage_known: bool,
}

impl Slot {
    /// Creates a slot in `phase` at `now`.
    pub fn new(phase: Phase, now: Time) -> Self {
        Self {
            phase,
            last_used: now,
            since: now,
            usage_known: false,
        }
    }
}
