//! The teams of callers, their API keys and their quotas.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::id;

/// The bytes of a key's digest that are shown: enough to tell keys apart, too few to test guesses of short keys
/// offline with certainty.
const DIGEST_BYTES: usize = 6;

/// What the requests of a team count by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and the maximum of its output tokens.
    Tokens {
        /// The tokens that a request counts as if it names none.
        plain: u64,
    },
}

impl Unit {
    /// Returns the amount that a request counts as, given its prompt tokens and the maximum of its output tokens if it
    /// names them.
    pub fn amount(self, usage: Option<(u32, u32)>) -> u64 {
        match (self, usage) {
            (Self::Requests, _) => 1,
            (Self::Tokens { plain }, None) => plain,
            (Self::Tokens { .. }, Some((prompt, output))) => u64::from(prompt) + u64::from(output),
        }
    }
}

/// The amount that a team may use, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The amount a second.
    pub rate: f64,
    /// The amount that may be used at once, in addition.
    pub burst: f64,
    /// What both are counted in.
    pub unit: Unit,
}

/// A team of callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// The priority of its requests, which replaces that of their routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its quota; `None` for no limit.
    pub quota: Option<Quota>,
}

/// The teams of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    teams: BTreeMap<id::Team, Team>,
    /// The teams by API key.
    keys: BTreeMap<String, id::Team>,
}

impl Teams {
    /// Creates an empty registry, in which no key is valid.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a team with its API keys. A team without keys has no callers.
    pub fn with_team(mut self, name: &str, team: Team, keys: Vec<String>) -> Self {
        self.teams.insert(name.to_string(), team);
        let keys = keys.into_iter().map(|key| (key, name.to_string()));
        self.keys.extend(keys);
        self
    }

    /// Returns a team.
    pub fn get(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Returns the name of the team that holds an API key.
    pub fn holder(&self, key: &str) -> Option<&id::Team> {
        self.keys.get(key)
    }

    /// Iterates over the teams by name.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Team, &Team)> {
        self.teams.iter()
    }

    /// Iterates over the digests of the API keys and the teams that hold them.
    pub fn digests(&self) -> impl Iterator<Item = (String, &id::Team)> {
        self.keys.iter().map(|(key, team)| (digest(key), team))
    }
}

/// Returns the digest by which an API key is named in logs and to operators, in hexadecimal.
pub fn digest(key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    let bytes = hash.iter().take(DIGEST_BYTES);
    bytes.map(|byte| format!("{byte:02x}")).collect()
}
