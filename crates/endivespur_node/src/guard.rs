//! Authenticates callers, operators and nodes by their tokens.

use std::collections::BTreeMap;

use endivespur_core::gateway::team;
use endivespur_core::id::Organisation;
use subtle::ConstantTimeEq;

use crate::settings::{Finding, Secret, Tokens};

/// Checks tokens against the configured secrets, which are read once at the start and never
/// logged.
pub struct Authenticator {
    callers: BTreeMap<String, String>,
    operators: Option<String>,
    nodes: Option<String>,
}

impl Authenticator {
    /// Reads the secrets that the settings name.
    ///
    /// # Errors
    ///
    /// Returns each secret that cannot be read, with its place in the settings.
    pub fn read(tokens: &Tokens) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut read_or_record = |place: String, secret: &Secret| match read(secret) {
            Ok(text) => Some(text),
            Err(message) => {
                findings.push(Finding { place, message });
                None
            }
        };
        let callers = tokens
            .callers
            .iter()
            .filter_map(|(name, secret)| {
                Some((
                    name.clone(),
                    read_or_record(format!("tokens.callers.{name}"), secret)?,
                ))
            })
            .collect();
        let mut read_optional = |name: &str, secret: &Option<Secret>| {
            secret
                .as_ref()
                .and_then(|secret| read_or_record(format!("tokens.{name}"), secret))
        };
        let operators = read_optional("operators", &tokens.operators);
        let nodes = read_optional("nodes", &tokens.nodes);
        if findings.is_empty() {
            return Ok(Self {
                callers,
                operators,
                nodes,
            });
        }
        Err(findings)
    }

    /// Returns the organisation that a caller's token belongs to.
    ///
    /// Without any caller token in the settings the named organisation is trusted, since the
    /// daemon then listens on a loopback address only.
    pub fn organisation(&self, token: Option<&str>, named: Option<&str>) -> Option<String> {
        if self.callers.is_empty() {
            return named.map(ToString::to_string);
        }
        let token = token?;
        let mut found = None;
        for (name, secret) in &self.callers {
            if constant_time_eq(secret, token) {
                found = Some(name.clone());
            }
        }
        found
    }

    /// Returns the digests of the callers' tokens by organisation, by which tokens are named to operators.
    pub fn digests(&self) -> BTreeMap<Organisation, Option<String>> {
        let digest = |(name, token): (&String, &String)| (name.clone(), Some(team::digest(token)));
        self.callers.iter().map(digest).collect()
    }

    /// Returns whether an operator's token is valid.
    pub fn is_operator(&self, token: Option<&str>) -> bool {
        matches(self.operators.as_deref(), token)
    }

    /// Returns whether a node's token is valid.
    pub fn is_node(&self, token: &str) -> bool {
        matches(self.nodes.as_deref(), Some(token))
    }

    /// Returns the token to present to other nodes.
    pub fn node_token(&self) -> &str {
        self.nodes.as_deref().unwrap_or_default()
    }
}

fn read(secret: &Secret) -> Result<String, String> {
    let text = match secret {
        Secret::Env(name) => std::env::var(name).map_err(|error| format!("{name}: {error}"))?,
        Secret::File(path) => {
            std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?
        }
    };
    let text = text.trim().to_string();
    if text.is_empty() {
        return Err("the secret is empty".to_string());
    }
    Ok(text)
}

fn matches(secret: Option<&str>, token: Option<&str>) -> bool {
    match (secret, token) {
        (None, _) => true,
        (Some(secret), Some(token)) => constant_time_eq(secret, token),
        (Some(_), None) => false,
    }
}

fn constant_time_eq(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}
