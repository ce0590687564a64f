//! Checks a finished scenario: its own expectations, and the invariants of every scenario.

use std::collections::BTreeMap;

use endivespur_dev::call::Response;
use endivespur_scenario::{Adapter, Expectation, Part, Scenario};
use serde_json::Value;

use crate::{Harness, OWNERSHIP_TIMEOUT};

/// The maximum time for which a leaving endpoint may still receive new requests.
const MAX_LEAVING_MS: u64 = 3000;

impl Harness {
    /// Returns the violated expectations and invariants.
    pub fn check(&self, scenario: &Scenario) -> Vec<String> {
        let responses = self
            .responses
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let counts: BTreeMap<&String, Value> = self
            .site
            .endpoints
            .iter()
            .map(|(name, address)| (name, self.site.counts_of(address)))
            .collect();
        let mut violations = Vec::new();
        for expect in &scenario.expectations {
            if let Err(message) = self.check_expectation(&expect.expectation, &responses, &counts) {
                violations.push(format!("line {}: {message}", expect.line));
            }
        }
        for (id, response) in responses.iter() {
            violations.extend(self.check_response(id, response, &counts));
        }
        for (name, daemon) in self.site.daemons.iter().chain(&self.stopping) {
            let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
            if log.contains("panicked at") {
                violations.push(format!("{name}: a task panicked"));
            }
        }
        for (name, count) in &counts {
            violations.extend(self.check_endpoint(scenario, name, count));
        }
        violations
    }

    fn check_expectation(
        &self,
        expectation: &Expectation,
        responses: &BTreeMap<String, Response>,
        counts: &BTreeMap<&String, Value>,
    ) -> Result<(), String> {
        let response = |id: &String| {
            responses
                .get(id)
                .ok_or_else(|| format!("{id} has no response"))
        };
        let ensure = |holds: bool, message: String| holds.then_some(()).ok_or(message);
        match expectation {
            Expectation::Outcome { id, outcomes, on } => {
                let response = response(id)?;
                let outcome = outcome(response);
                let endpoint = response.header("endivespur-endpoint");
                let matches =
                    outcomes.contains(&outcome) && on.as_ref().is_none_or(|on| on == endpoint);
                let text = response.text();
                ensure(
                    matches,
                    format!(
                        "{id}: {} {outcome} on {endpoint:?}: {text}",
                        response.status
                    ),
                )
            }
            Expectation::Replayed(id) => {
                let replayed = response(id)?.header("endivespur-replayed") == "true";
                ensure(replayed, format!("{id}: {:?}", responses.get(id)))
            }
            Expectation::Within(id, limit) => {
                let elapsed = response(id)?.elapsed;
                ensure(
                    elapsed <= *limit,
                    format!("{id} took {} ms", elapsed.as_millis()),
                )
            }
            Expectation::Runs(key, expected) => {
                let run_count = run_count(counts, key);
                ensure(
                    run_count == *expected,
                    format!("{key} ran {run_count} times"),
                )
            }
            Expectation::Crashes(limit) => {
                let crashes: u64 = counts.values().filter_map(|c| c["crashes"].as_u64()).sum();
                ensure(crashes <= *limit, format!("{crashes} crashes"))
            }
            Expectation::Clean(name) => {
                let exited_cleanly = self.exited_cleanly.get(name) == Some(&true);
                ensure(exited_cleanly, format!("{name} did not stop cleanly"))
            }
            Expectation::Owned => self.site.wait_until_owned(OWNERSHIP_TIMEOUT).map(|_| ()),
        }
    }

    /// Checks that a response is complete and of the requested version, that a request
    /// reported as not run has not run, and that a key ran at most once.
    fn check_response(
        &self,
        id: &str,
        response: &Response,
        counts: &BTreeMap<&String, Value>,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        let Some(request) = self.requests.get(id) else {
            return violations;
        };
        let outcome = outcome(response);
        if let (Some(model), "ran", 200) = (&request.model, outcome.as_str(), response.status) {
            // The emulator's first token is the name of the loaded adapter, ADAPTER@VERSION.fFENCE
            // in brackets; each other token is its own number.
            let text = response.text();
            let last_token = format!(" {}", request.tokens);
            if !text.contains(&format!("[{model}.f")) || !text.contains(&last_token) {
                violations.push(format!("{id}: not a complete response of {model}: {text}"));
            }
        }
        if outcome == "not-run" {
            let request_id = response.header("x-request-id");
            for (endpoint, count) in counts {
                let runs = count["runs"].as_object();
                let mut attempts = runs.into_iter().flat_map(|runs| runs.keys());
                // An attempt id is its request's id, a dot, and the attempt's number.
                let is_own = |attempt: &String| {
                    !request_id.is_empty() && attempt.split('.').next() == Some(request_id)
                };
                if attempts.any(is_own) {
                    violations.push(format!("{id}: reported as not-run, but ran on {endpoint}"));
                }
            }
        }
        if let Some(key) = &request.key {
            let run_count = run_count(counts, key);
            if run_count > 1 {
                violations.push(format!("{key} ran {run_count} times"));
            }
        }
        violations
    }

    /// Checks that no adapter was evicted in use or loaded outside its permitted zones, and
    /// that a leaving endpoint received no new requests.
    fn check_endpoint(&self, scenario: &Scenario, name: &str, count: &Value) -> Vec<String> {
        let mut violations = Vec::new();
        if count["evicted_in_use"].as_u64().unwrap_or(0) > 0 {
            violations.push(format!("{name}: an adapter was evicted while in use"));
        }
        let loaded = count["names"].as_array().cloned().unwrap_or_default();
        for part in &scenario.parts {
            let Part::Adapter(Adapter {
                name: adapter,
                zones,
            }) = part
            else {
                continue;
            };
            let was_loaded = loaded.iter().any(|n| {
                n.as_str()
                    .is_some_and(|n| n.starts_with(&format!("{adapter}@")))
            });
            if was_loaded && !zones.is_empty() && !zones.contains(&self.zones[name]) {
                violations.push(format!(
                    "{name}: {adapter} was loaded outside its permitted zones"
                ));
            }
        }
        let last_start_ms = count["last_start_ms"].as_u64().unwrap_or(0);
        if self
            .leaving_since_ms
            .get(name)
            .is_some_and(|at| last_start_ms > at + MAX_LEAVING_MS)
        {
            violations.push(format!(
                "{name}: received a new request {} ms after it began to leave",
                last_start_ms - self.leaving_since_ms[name]
            ));
        }
        violations
    }
}

/// Returns the outcome that the response reports; `lost` if there is no complete response.
fn outcome(response: &Response) -> String {
    match (response.status, &response.body) {
        (0, _) | (_, None) => "lost".to_string(),
        _ => response.outcome().to_string(),
    }
}

fn run_count(counts: &BTreeMap<&String, Value>, key: &str) -> u64 {
    // A plain service counts runs by idempotency key in `runs`, an engine in `keys`.
    let runs_on_endpoint = |count: &Value| {
        let plain_runs = count["runs"][key].as_u64().unwrap_or(0);
        plain_runs + count["keys"][key].as_u64().unwrap_or(0)
    };
    counts.values().map(runs_on_endpoint).sum()
}
