//! Judging a play: what its file expects, and what must always hold.

use std::collections::BTreeMap;

use endivespur_dev::call::Answer;
use endivespur_scenario::{Adapter, Expectation, Part, Scenario};
use serde_json::Value;

use crate::{OWNED, Stage};

/// The time after which an endpoint that leaves gets no new work.
const LEAVING_MS: u64 = 3000;

impl Stage {
    /// Returns what does not hold: the expectations, and what must always hold.
    pub fn judge(&self, scenario: &Scenario) -> Vec<String> {
        let answers = self
            .answers
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let counts: BTreeMap<&String, Value> = self
            .site
            .endpoints
            .iter()
            .map(|(name, address)| (name, self.site.counts(address)))
            .collect();
        let mut faults = Vec::new();
        for expect in &scenario.expectations {
            if let Err(message) = self.check(&expect.expectation, &answers, &counts) {
                faults.push(format!("line {}: {message}", expect.line));
            }
        }
        for (id, answer) in answers.iter() {
            faults.extend(self.judge_answer(id, answer, &counts));
        }
        for (name, daemon) in self.site.daemons.iter().chain(&self.stopping) {
            let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
            if log.contains("panicked at") {
                faults.push(format!("{name}: a task panicked"));
            }
        }
        for (name, count) in &counts {
            faults.extend(self.judge_endpoint(scenario, name, count));
        }
        faults
    }

    fn check(
        &self,
        what: &Expectation,
        answers: &BTreeMap<String, Answer>,
        counts: &BTreeMap<&String, Value>,
    ) -> Result<(), String> {
        let answer = |id: &String| {
            answers
                .get(id)
                .ok_or_else(|| format!("{id} was never asked"))
        };
        let need = |holds: bool, message: String| holds.then_some(()).ok_or(message);
        match what {
            Expectation::Outcome { id, outcomes, on } => {
                let answer = answer(id)?;
                let outcome = outcome(answer);
                let place = answer.header("endivespur-endpoint");
                let fits = outcomes.contains(&outcome) && on.as_ref().is_none_or(|on| on == place);
                let text = answer.text();
                need(
                    fits,
                    format!("{id}: {} {outcome} on {place:?}: {text}", answer.status),
                )
            }
            Expectation::Replayed(id) => {
                let replayed = answer(id)?.header("endivespur-replayed") == "true";
                need(replayed, format!("{id}: {:?}", answers.get(id)))
            }
            Expectation::Within(id, limit) => {
                let took = answer(id)?.took;
                need(took <= *limit, format!("{id} took {} ms", took.as_millis()))
            }
            Expectation::Runs(key, wanted) => {
                let runs = runs(counts, key);
                need(runs == *wanted, format!("{key} ran {runs} times"))
            }
            Expectation::Crashes(most) => {
                let crashes: u64 = counts.values().filter_map(|c| c["crashes"].as_u64()).sum();
                need(crashes <= *most, format!("{crashes} crashes"))
            }
            Expectation::Clean(name) => {
                let clean = self.clean.get(name) == Some(&true);
                need(clean, format!("{name} did not stop cleanly"))
            }
            Expectation::Owned => self.site.wait_owned(OWNED).map(|_| ()),
        }
    }

    /// Judges the adapter and version, the whole answer, and the truth of "not run".
    fn judge_answer(
        &self,
        id: &str,
        answer: &Answer,
        counts: &BTreeMap<&String, Value>,
    ) -> Vec<String> {
        let mut faults = Vec::new();
        let Some(request) = self.requests.get(id) else {
            return faults;
        };
        let outcome = outcome(answer);
        if let (Some(model), "ran", 200) = (&request.model, outcome.as_str(), answer.status) {
            let text = answer.text();
            let last = format!(" {}", request.tokens);
            if !text.contains(&format!("[{model}.f")) || !text.contains(&last) {
                faults.push(format!("{id}: not the whole answer of {model}: {text}"));
            }
        }
        if outcome == "not-run" {
            let shown = answer.header("x-request-id");
            for (endpoint, count) in counts {
                let runs = count["runs"].as_object();
                let mut attempts = runs.into_iter().flat_map(|runs| runs.keys());
                let mine = |run: &String| !shown.is_empty() && run.split('.').next() == Some(shown);
                if attempts.any(mine) {
                    faults.push(format!("{id}: called not-run, but ran on {endpoint}"));
                }
            }
        }
        if let Some(key) = &request.key {
            let runs = runs(counts, key);
            if runs > 1 {
                faults.push(format!("{key} ran {runs} times"));
            }
        }
        faults
    }

    /// Judges evictions, places, and new work on a leaving endpoint.
    fn judge_endpoint(&self, scenario: &Scenario, name: &str, count: &Value) -> Vec<String> {
        let mut faults = Vec::new();
        if count["evicted_in_use"].as_u64().unwrap_or(0) > 0 {
            faults.push(format!("{name}: an adapter was evicted in use"));
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
            let here = loaded.iter().any(|n| {
                n.as_str()
                    .is_some_and(|n| n.starts_with(&format!("{adapter}@")))
            });
            if here && !zones.is_empty() && !zones.contains(&self.zones[name]) {
                faults.push(format!("{name}: {adapter} left its place"));
            }
        }
        let last = count["last_start_ms"].as_u64().unwrap_or(0);
        if self.left.get(name).is_some_and(|at| last > at + LEAVING_MS) {
            faults.push(format!(
                "{name}: got new work {} ms after it was to leave",
                last - self.left[name]
            ));
        }
        faults
    }
}

/// Returns the told outcome; an answer without a whole body is lost.
fn outcome(answer: &Answer) -> String {
    match (answer.status, &answer.body) {
        (0, _) | (_, None) => "lost".to_string(),
        _ => answer.outcome().to_string(),
    }
}

fn runs(counts: &BTreeMap<&String, Value>, key: &str) -> u64 {
    let of = |count: &Value| {
        let plain = count["runs"][key].as_u64().unwrap_or(0);
        plain + count["keys"][key].as_u64().unwrap_or(0)
    };
    counts.values().map(of).sum()
}
