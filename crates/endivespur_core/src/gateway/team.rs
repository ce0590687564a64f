//! The teams of callers, their API keys and their quotas.

use std::collections::BTreeMap;
use std::fmt;

use sha2::{Digest, Sha256};

use crate::id;

/// The bytes of a key's digest that are shown: enough to tell keys apart, too few to test guesses of short keys
/// offline with certainty.
const DIGEST_BYTES: usize = 6;

/// The hash of an API key. Keys are compared by it, so that the time of a comparison tells nothing about a key, and
/// nothing that holds or prints it can reveal the key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key([u8; 32]);

impl Key {
    /// Hashes the text of a key.
    pub fn new(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }

    /// Returns the digest by which the key is named in logs and to operators, in hexadecimal.
    pub fn digest(&self) -> String {
        let bytes = self.0.iter().take(DIGEST_BYTES);
        let number = bytes.fold(0, |number, byte| number << 8 | u64::from(*byte));
        format!("{number:0width$x}", width = 2 * DIGEST_BYTES)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.digest())
    }
}

/// The credentials of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credentials {
    /// There are none.
    #[default]
    Missing,
    /// There are several.
    Doubled,
    /// They are not an API key.
    Malformed,
    /// An API key, which may not be valid.
    Key(Key),
    /// A text that is an API key only if a team holds it: it has other characters than keys usually have.
    Unusual(Key),
}

/// The identity of the sender of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// The configuration has no teams, and credentials have no meaning for the gateway.
    #[default]
    Unchecked,
    /// The request has no credentials, and its route needs none.
    Anonymous,
    /// The request of a team.
    Team(id::Team),
}

impl Identity {
    /// Returns the team, if there is one.
    pub fn team(&self) -> Option<&id::Team> {
        match self {
            Self::Team(team) => Some(team),
            Self::Unchecked | Self::Anonymous => None,
        }
    }
}

/// Why a request is not authorised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It has no credentials.
    Missing,
    /// Its credentials are not an API key.
    Malformed,
    /// No team holds its key.
    Unknown,
    /// It has several credentials.
    Doubled,
    /// It was authorised when it arrived, and is no longer.
    Revoked,
}

impl Denial {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
            Self::Doubled => "doubled",
            Self::Revoked => "revoked",
        }
    }
}

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
    by_name: BTreeMap<id::Team, Team>,
    /// The teams by API key.
    keys: BTreeMap<Key, id::Team>,
    /// The sum of the rates of all quotas.
    rates: f64,
    /// Whether not all teams have quotas in the same unit.
    is_mixed: bool,
}

impl Teams {
    /// Creates an empty registry, in which no key is valid.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a team with its API keys. A team without keys has no callers.
    pub fn with_team(mut self, name: &str, team: Team, keys: Vec<String>) -> Self {
        let is_in_tokens = |team: &Team| Some(matches!(team.quota?.unit, Unit::Tokens { .. }));
        let first = self.by_name.values().next().unwrap_or(&team);
        self.is_mixed |= team.quota.is_none() || is_in_tokens(first) != is_in_tokens(&team);
        self.rates += team.quota.map_or(0.0, |quota| quota.rate);
        self.by_name.insert(name.to_string(), team);
        let keys = keys
            .into_iter()
            .map(|key| (Key::new(&key), name.to_string()));
        self.keys.extend(keys);
        self
    }

    /// Returns a team.
    pub fn get(&self, name: &str) -> Option<&Team> {
        self.by_name.get(name)
    }

    /// Returns what a team may use compared with the mean of all teams: by its quota if all have one in the same unit, else
    /// 1 for all.
    pub fn share(&self, name: &str) -> f64 {
        let quota = self.get(name).and_then(|team| team.quota);
        match quota {
            Some(quota) if !self.is_mixed && self.rates > 0.0 => {
                quota.rate * self.by_name.len() as f64 / self.rates
            }
            _ => 1.0,
        }
    }

    /// Returns the name of the team that holds an API key.
    pub fn holder(&self, key: &str) -> Option<&id::Team> {
        self.keys.get(&Key::new(key))
    }

    /// Returns the identity for these credentials.
    ///
    /// # Errors
    ///
    /// Returns the reason if it is not authorised. Invalid credentials are refused on an anonymous route too: their
    /// sender expects to be authenticated as a team.
    pub fn identify(
        &self,
        credentials: Credentials,
        allows_anonymous: bool,
    ) -> Result<Identity, Denial> {
        match credentials {
            Credentials::Missing if allows_anonymous => Ok(Identity::Anonymous),
            Credentials::Missing => Err(Denial::Missing),
            Credentials::Doubled => Err(Denial::Doubled),
            Credentials::Malformed => Err(Denial::Malformed),
            Credentials::Key(key) => self.identify_holder(key).ok_or(Denial::Unknown),
            Credentials::Unusual(key) => self.identify_holder(key).ok_or(Denial::Malformed),
        }
    }

    fn identify_holder(&self, key: Key) -> Option<Identity> {
        self.keys.get(&key).cloned().map(Identity::Team)
    }

    /// Iterates over the teams by name.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Team, &Team)> {
        self.by_name.iter()
    }

    /// Returns the digests of the API keys of each team.
    pub fn digests(&self) -> BTreeMap<id::Team, Vec<String>> {
        let teams = self.by_name.keys().map(|team| (team.clone(), Vec::new()));
        let mut digests: BTreeMap<id::Team, Vec<String>> = teams.collect();
        for (key, team) in &self.keys {
            digests.entry(team.clone()).or_default().push(key.digest());
        }
        digests
    }
}

/// Returns the digest by which an API key is named in logs and to operators, in hexadecimal.
pub fn digest(key: &str) -> String {
    Key::new(key).digest()
}
