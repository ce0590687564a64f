//! The operators' HTTP API: queries, commands and metrics.

use std::rc::Rc;
use std::time::Duration;

use endivespur_core::burn::Part;
use endivespur_core::command::{self, Command, Plan, Statement};
use endivespur_core::config::{Change, PREFIX};
use endivespur_core::query::{Query, Row, Show, select};
use endivespur_core::route;
use endivespur_net::store::{Outcome, Pair, Write};
use endivespur_net::{body, http};
use futures_util::future::join_all;
use http_types::{Method, Request, Response, StatusCode};
use log::info;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::clock;
use crate::entry::bearer_token;
use crate::node::{Node, sleep};
use crate::peer;
use crate::quota;
use crate::rows;
use crate::sync;

/// The maximum size of a request with statements.
const MAX_STATEMENT_BYTES: usize = 64 << 10;
/// The maximum number of reads that find out the outcome of a write whose response was lost.
const MAX_READ_BACKS: u32 = 5;

/// The statements that the command-line tool sends in one request.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Call", deny_unknown_fields)]
struct Submission {
    /// One statement per line.
    text: String,
    /// The operator's name, which is stored with each change.
    #[serde(default)]
    author: String,
    /// Whether commands are only planned.
    #[serde(default)]
    dry_run: bool,
}

/// The result of a statement.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
enum Effect {
    /// The rows that answer a query, and the nodes that did not answer.
    Rows { rows: Vec<Row>, silent: Vec<String> },
    /// A change that the store has accepted, or that was not needed.
    Accepted {
        key: String,
        revision: u64,
        changed: bool,
    },
    /// A change that would be made.
    Planned {
        key: String,
        before: Value,
        after: Value,
    },
    /// A command that was refused.
    Refused { findings: Vec<String> },
    /// A command that lost to a concurrent change of the same key.
    Lost {
        key: String,
        revision: u64,
        winner: Value,
    },
    /// A change that the store may or may not have accepted.
    Unknown { key: String },
}

/// Answers an operator's request.
pub async fn answer(node: Rc<Node>, mut request: Request) -> Response {
    if !node
        .authenticator
        .is_operator(bearer_token(&request).as_deref())
    {
        return http::refusal(StatusCode::Unauthorized, "wrong token");
    }
    let path = request.url().path().to_string();
    match (request.method(), path.as_str()) {
        (Method::Get, "/metrics") => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(node.metrics.render());
            response.insert_header("content-type", "text/plain; version=0.0.4");
            response
        }
        (Method::Get, "/state") => http::json(StatusCode::Ok, &rows::state(&node)),
        (Method::Get, "/in-force") => {
            let requested = request
                .url()
                .query_pairs()
                .find(|(name, _)| name == "revision");
            let requested = requested
                .and_then(|(_, value)| value.parse().ok())
                .unwrap_or(0);
            http::json(StatusCode::Ok, &in_force(&node, requested).await)
        }
        (Method::Post, "/statements") => match read(&mut request).await {
            Ok(submission) => statements(&node, &submission).await,
            Err(message) => http::refusal(StatusCode::BadRequest, &message),
        },
        _ => http::refusal(StatusCode::NotFound, "unknown path"),
    }
}

async fn read(request: &mut Request) -> Result<Submission, String> {
    let mut content = request.take_body();
    let bytes = body::read(&mut content, MAX_STATEMENT_BYTES)
        .await
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Runs the submitted statements, unless one of them cannot be parsed.
async fn statements(node: &Rc<Node>, submission: &Submission) -> Response {
    let mut findings = Vec::new();
    let mut statements = Vec::new();
    for (index, line) in submission.text.lines().enumerate() {
        if line
            .split('#')
            .next()
            .is_none_or(|text| text.trim().is_empty())
        {
            continue;
        }
        match command::parse(index + 1, line) {
            Ok(statement) => statements.push(statement),
            Err(finding) => findings.push(finding),
        }
    }
    if !findings.is_empty() {
        return http::json(
            StatusCode::UnprocessableEntity,
            &json!({ "findings": findings }),
        );
    }
    let mut results = Vec::new();
    for statement in statements {
        let result = match statement {
            Statement::Query(query) => run_query(node, &query).await,
            Statement::Command(command) => run_command(node, submission, &command).await,
        };
        results.push(result);
    }
    http::json(StatusCode::Ok, &json!({ "results": results }))
}

async fn run_query(node: &Rc<Node>, query: &Query) -> Effect {
    match query {
        Query::Show(show) => run_show(node, show).await,
        Query::Burn => run_burn_report(node).await,
        Query::Explain {
            organisation,
            model,
        } => {
            let request = route::Request {
                organisation: organisation.clone(),
                base: None,
                service: None,
                model: Some(model.clone()),
                place: None,
            };
            let (slots, silent) = gather(node, "slots").await;
            match rows::explain(node, &request, &slots) {
                Ok(rows) => Effect::Rows { rows, silent },
                Err(denial) => Effect::Refused {
                    findings: vec![json!(denial).as_str().unwrap_or_default().to_string()],
                },
            }
        }
    }
}

async fn run_show(node: &Rc<Node>, show: &Show) -> Effect {
    let (rows, silent) = match rows::configured(node, &show.kind) {
        Some(mut rows) if show.kind == "organisations" => {
            // Without quotas no other node is asked, and the digests are those of this node.
            let has_quotas = rows.iter().any(|row| !row["limit"].is_null());
            let (parts, silent) = if has_quotas {
                gather(node, "quotas").await
            } else {
                (quota::rows(node), Vec::new())
            };
            rows::add_usage(&mut rows, &parts);
            (rows, silent)
        }
        Some(rows) => (rows, Vec::new()),
        None => gather(node, &show.kind).await,
    };
    Effect::Rows {
        rows: select(show, rows),
        silent,
    }
}

/// Gathers each node's own rows, and the nodes that did not answer.
async fn gather(node: &Rc<Node>, kind: &str) -> (Vec<Row>, Vec<String>) {
    let mut rows = Vec::new();
    let mut silent = Vec::new();
    for (vm, answer) in query_all(node, kind).await {
        match answer.and_then(|text| serde_json::from_str::<Vec<Row>>(&text).ok()) {
            Some(part) => rows.extend(part),
            None => silent.push(vm),
        }
    }
    (rows, silent)
}

/// Sends a query to each live node, this one included.
async fn query_all(node: &Rc<Node>, query: &str) -> Vec<(String, Option<String>)> {
    let nodes: Vec<(String, String)> = node
        .table
        .borrow()
        .nodes()
        .map(|(vm, record)| (vm.clone(), record.address.clone()))
        .collect();
    let calls = nodes.into_iter().map(|(vm, address)| async move {
        if vm == node.settings.vm {
            return (vm, Some(local_answer(node, query).to_string()));
        }
        let answer = peer::query(node, &address, query).await.ok();
        (vm, answer)
    });
    join_all(calls).await
}

/// Returns this node's part of the answer to a query.
pub fn local_answer(node: &Node, query: &str) -> Value {
    match query {
        "revision" => json!(node.config.borrow().revision),
        "burn" => json!(node.burn.borrow().part(clock::now())),
        kind => json!(rows::local(node, kind)),
    }
}

async fn run_burn_report(node: &Rc<Node>) -> Effect {
    let mut parts: Vec<Part> = Vec::new();
    let mut silent = Vec::new();
    for (vm, answer) in query_all(node, "burn").await {
        match answer.and_then(|text| serde_json::from_str(&text).ok()) {
            Some(part) => parts.push(part),
            None => silent.push(vm),
        }
    }
    let merged = node.burn.borrow().merge(&parts);
    let counted_seconds = parts.iter().map(|part| part.remembers).min().unwrap_or(0);
    let rows = merged
        .iter()
        .map(|row| rows::burn(row, counted_seconds))
        .collect();
    Effect::Rows { rows, silent }
}

/// Returns on how many nodes a revision is in force, and which nodes lack it.
async fn in_force(node: &Rc<Node>, requested: u64) -> Value {
    let answers = query_all(node, "revision").await;
    let total = answers.len();
    let reached = |answer: &Option<String>| {
        let revision = answer.as_ref().and_then(|text| text.parse::<u64>().ok());
        revision.is_some_and(|revision| revision >= requested)
    };
    let missing: Vec<&String> = answers
        .iter()
        .filter(|(_, answer)| !reached(answer))
        .map(|(vm, _)| vm)
        .collect();
    json!({ "in_force": total - missing.len(), "of": total, "missing": missing })
}

/// Plans a command and writes its change, unless the key has changed since the planning.
async fn run_command(node: &Rc<Node>, submission: &Submission, command: &Command) -> Effect {
    let change = Change {
        author: submission.author.clone(),
        at: clock::unix_seconds(),
        reason: command.reason.clone(),
    };
    let planned = command::plan(&node.config.borrow(), command, change);
    let older_nodes = if command.sets_quota() {
        quota::findings(node)
    } else {
        Vec::new()
    };
    let plan = match planned {
        Ok(plan) if older_nodes.is_empty() => plan,
        other => {
            let mut findings = other.err().unwrap_or_default();
            findings.extend(older_nodes);
            return Effect::Refused { findings };
        }
    };
    if submission.dry_run {
        return Effect::Planned {
            key: plan.key,
            before: plan.before.unwrap_or(Value::Null),
            after: plan.after,
        };
    }
    if plan.is_noop() {
        return Effect::Accepted {
            key: plan.key,
            revision: plan.expected_revision,
            changed: false,
        };
    }
    write(node, plan).await
}

async fn write(node: &Rc<Node>, plan: Plan) -> Effect {
    let key = format!("{PREFIX}{}", plan.key);
    let text = plan.after.to_string();
    let write = Write::new(&key, &text).with_expected_revision(plan.expected_revision);
    let found = match node.store.write_one(write).await {
        Ok(Outcome::Written(revision)) => Some(Pair {
            key: key.clone(),
            value: Some(text.clone()),
            revision,
        }),
        Ok(Outcome::Conflict(found)) => found,
        Err(_) => match read_back(node, &key).await {
            Some(found) => found,
            None => return Effect::Unknown { key: plan.key },
        },
    };
    let Some(pair) = found else {
        return Effect::Lost {
            key: plan.key,
            revision: 0,
            winner: Value::Null,
        };
    };
    let revision = pair.revision;
    let value = pair.value.clone().unwrap_or_default();
    sync::apply(node, pair);
    crate::adopt::reconcile(node);
    if value == text {
        info!(event = "command", key = plan.key.as_str(), revision; "accepted");
        return Effect::Accepted {
            key: plan.key,
            revision,
            changed: true,
        };
    }
    let found: Value = serde_json::from_str(&value).unwrap_or(Value::Null);
    Effect::Lost {
        key: plan.key,
        revision,
        winner: found["change"].clone(),
    }
}

/// Reads a key until the store responds; returns `None` if it does not.
#[allow(clippy::option_option)]
async fn read_back(node: &Node, key: &str) -> Option<Option<Pair>> {
    for _ in 0..MAX_READ_BACKS {
        if let Ok(found) = node.store.get(key).await {
            return Some(found);
        }
        sleep(Duration::from_millis(500)).await;
    }
    None
}
