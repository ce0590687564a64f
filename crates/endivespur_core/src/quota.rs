//! An organisation's quota, as it is configured.

use serde::{Deserialize, Serialize};

use std::time::Duration;

use crate::config::Tenant;
use crate::gateway::quota::{Excess, Terms};
use crate::gateway::team;
use crate::id::Organisation;

/// The tokens that a request of a plain service counts as by default: its cost in the queues of endpoints.
pub const DEFAULT_PLAIN_TOKENS: u64 = 64;
/// The expected output of a completion without `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u64 = 256;
/// What is permitted beyond the quotas: a tenth in any 8 s. Loans that are not used yet and nodes without keepers need it.
pub const EXCESS: Excess = Excess {
    window: Duration::from_secs(8),
    ratio: 0.1,
    tokens: 0.0,
};
/// The greatest rate and burst; sums of amounts stay exact in floating-point numbers up to there.
const MAX_AMOUNT: f64 = 1e12;

/// What the requests of an organisation count by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its expected tokens, prompt and output.
    Tokens,
}

impl Unit {
    /// Returns its name in the configuration and the command language.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Tokens => "tokens",
        }
    }
}

/// The amount that an organisation may use, over all nodes of all regions together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The amount a second.
    pub rate: f64,
    /// The amount that may be used at once, in addition.
    pub burst: f64,
    /// What both are counted in.
    pub unit: Unit,
    /// The tokens that a request without tokens counts as; [`DEFAULT_PLAIN_TOKENS`] if it is not set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plain_tokens: Option<u64>,
}

impl Quota {
    /// Returns every reason why the quota cannot be kept.
    pub fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if !(self.rate > 0.0 && self.rate <= MAX_AMOUNT) {
            findings.push(format!(
                "the rate of a quota is above 0 and at most {MAX_AMOUNT}, not {}",
                self.rate
            ));
        }
        if !(0.0..=MAX_AMOUNT).contains(&self.burst) {
            findings.push(format!(
                "the burst of a quota is between 0 and {MAX_AMOUNT}, not {}",
                self.burst
            ));
        }
        let plain = self.plain_tokens.unwrap_or(DEFAULT_PLAIN_TOKENS);
        match self.unit {
            Unit::Requests if self.plain_tokens.is_some() => {
                findings.push("a quota in requests has no plain tokens".to_string());
            }
            Unit::Tokens if plain == 0 => {
                findings.push("a request without tokens counts as at least 1".to_string());
            }
            Unit::Tokens if self.burst < plain as f64 => findings.push(format!(
                "the burst is smaller than the {plain} tokens that a request without tokens counts as"
            )),
            Unit::Requests | Unit::Tokens => {}
        }
        findings
    }

    /// Returns every reason why a command cannot set the quota: a request that counts as more than the buckets hold is
    /// refused whenever it comes. A stored quota for which this holds stays in force.
    pub fn command_findings(&self) -> Vec<String> {
        let mut findings = self.findings();
        let plain = self.plain_tokens.unwrap_or(DEFAULT_PLAIN_TOKENS);
        let least = DEFAULT_MAX_TOKENS.max(plain);
        let capacity = Terms::new(&self.terms(), &EXCESS).capacity;
        if findings.is_empty() && self.unit == Unit::Tokens && capacity < least as f64 {
            let held = capacity.floor();
            findings.push(format!(
                "the quota admits requests of up to {held} tokens, and would refuse those of {least} always"
            ));
        }
        findings
    }

    /// Returns the amount that a request counts as, given its expected tokens if it has any.
    pub fn amount(&self, tokens: Option<u32>) -> u64 {
        self.terms().unit.amount(tokens.map(|tokens| (tokens, 0)))
    }

    /// Returns the quota in the form that is kept by [`crate::gateway::quota`].
    pub fn terms(&self) -> team::Quota {
        let plain = self.plain_tokens.unwrap_or(DEFAULT_PLAIN_TOKENS);
        team::Quota {
            rate: self.rate,
            burst: self.burst,
            unit: match self.unit {
                Unit::Requests => team::Unit::Requests,
                Unit::Tokens => team::Unit::Tokens { plain },
            },
        }
    }
}

impl std::fmt::Display for Quota {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { rate, burst, .. } = self;
        write!(f, "{rate}/s burst {burst} {}", self.unit.name())
    }
}

/// Returns the organisations with quotas, in the form that is kept by [`crate::gateway::quota`].
pub fn teams<'a>(
    organisations: impl IntoIterator<Item = (&'a Organisation, &'a Tenant)>,
) -> team::Teams {
    let organisations = organisations.into_iter();
    let limited = organisations.filter_map(|(name, tenant)| Some((name, tenant.quota.as_ref()?)));
    limited.fold(team::Teams::new(), |teams, (name, quota)| {
        let team = team::Team {
            priority: None,
            quota: Some(quota.terms()),
        };
        teams.with_team(name, team, Vec::new())
    })
}
