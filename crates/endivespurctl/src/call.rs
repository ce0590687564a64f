//! HTTP calls to the operators' address of a daemon.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use endivespur_net::{body, client};
use http_types::{Method, Request};
use serde_json::{Value, json};

/// The time within which a response must arrive.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long [`Client::wait`] polls before it reports that nodes are still missing.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause between two polls of the revision that is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The largest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why statements have no results.
#[derive(Debug)]
pub enum Error {
    /// The daemon rejected the statements: one message per syntax error.
    InvalidStatements(Vec<String>),
    /// The call failed.
    Call(String),
}

/// A client of one daemon.
pub struct Client {
    address: String,
    token: Option<String>,
    author: String,
    dry_run: bool,
}

/// The number of nodes on which a revision is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rollout {
    in_force: u64,
    total: u64,
}

impl Rollout {
    /// Returns whether the revision is in force on each node.
    pub fn is_complete(&self) -> bool {
        self.total > 0 && self.in_force == self.total
    }
}

impl std::fmt::Display for Rollout {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} of {} nodes", self.in_force, self.total)
    }
}

impl Client {
    /// Creates a client from the command-line arguments.
    ///
    /// # Errors
    ///
    /// Returns a message if the token's environment variable or file cannot be read.
    pub fn new(matches: &ArgMatches) -> Result<Self, String> {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let token = match (text("token-env"), text("token-file")) {
            (Some(name), _) => {
                Some(std::env::var(&name).map_err(|error| format!("{name}: {error}"))?)
            }
            (None, Some(path)) => {
                Some(std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?)
            }
            (None, None) => None,
        };
        Ok(Self {
            address: text("address").unwrap_or_default(),
            token: token.map(|token| token.trim().to_string()),
            author: text("author").unwrap_or_default(),
            dry_run: matches.get_flag("dry-run"),
        })
    }

    fn call(&self, mut request: Request) -> Result<(u16, Value), String> {
        if let Some(token) = &self.token {
            request.insert_header("authorization", format!("Bearer {token}"));
        }
        smol::block_on(async {
            let result = client::send(request, CALL_TIMEOUT).await;
            let mut response = result.map_err(|error| error.to_string())?;
            let status = response.status() as u16;
            let mut content = response.take_body();
            let bytes = body::read(&mut content, MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| error.to_string())?;
            let value = serde_json::from_slice(&bytes).map_err(|error| error.to_string())?;
            Ok((status, value))
        })
    }

    /// Sends statements and returns their results.
    ///
    /// # Errors
    ///
    /// Returns each syntax error with its line and column, or why the call failed.
    pub fn send(&self, text: &str) -> Result<Value, Error> {
        let mut request = client::request(Method::Post, &self.address, "/statements")
            .map_err(|error| Error::Call(error.to_string()))?;
        let content = json!({ "text": text, "author": self.author, "dry_run": self.dry_run });
        request.set_body(content.to_string());
        let (status, response) = self.call(request).map_err(Error::Call)?;
        if status == 200 {
            return Ok(response);
        }
        let Some(findings) = response["findings"].as_array() else {
            return Err(Error::Call(response["error"]["message"].to_string()));
        };
        let format_finding = |finding: &Value| {
            let (line, column) = (&finding["line"], &finding["column"]);
            format!(
                "{line}:{column}: expected {}",
                finding["expected"].as_str().unwrap_or("")
            )
        };
        Err(Error::InvalidStatements(
            findings.iter().map(format_finding).collect(),
        ))
    }

    /// Waits until the accepted changes are in force on each node, or for [`IN_FORCE_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Returns a message if the daemon cannot be reached or sends no valid response.
    pub fn wait(&self, response: &Value) -> Result<Rollout, String> {
        let results = response["results"].as_array().cloned().unwrap_or_default();
        let revisions = results
            .iter()
            .filter_map(|result| result["revision"].as_u64());
        let revision = revisions.max().unwrap_or(0);
        let started = Instant::now();
        loop {
            let path = format!("/in-force?revision={revision}");
            let request = client::request(Method::Get, &self.address, &path)
                .map_err(|error| error.to_string())?;
            let (_, progress) = self.call(request)?;
            let rollout = Rollout {
                in_force: progress["in_force"].as_u64().unwrap_or(0),
                total: progress["of"].as_u64().unwrap_or(0),
            };
            if rollout.is_complete() || started.elapsed() > IN_FORCE_TIMEOUT {
                return Ok(rollout);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
