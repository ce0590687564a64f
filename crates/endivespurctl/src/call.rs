//! Calls to a daemon's operators' address.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use endivespur_net::{body, client};
use http_types::{Method, Request};
use serde_json::{Value, json};

/// The longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The longest wait until a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(10);
/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(100);
/// The largest answer that is read.
const ANSWER_BYTES: usize = 64 << 20;

/// Why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// The statements hold mistakes.
    Mistakes(Vec<String>),
    /// The call failed.
    Other(String),
}

/// A connection's settings.
pub struct Client {
    address: String,
    token: Option<String>,
    author: String,
    dry_run: bool,
}

/// On how many nodes a revision is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    nodes: u64,
    of: u64,
}

impl Reach {
    /// Tells whether it is in force on each node.
    pub fn is_everywhere(&self) -> bool {
        self.of > 0 && self.nodes == self.of
    }
}

impl std::fmt::Display for Reach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} of {} nodes", self.nodes, self.of)
    }
}

impl Client {
    /// Makes a client from the tool's arguments.
    ///
    /// # Errors
    ///
    /// Returns a message if the token cannot be read.
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
            let sent = client::send(request, TIMEOUT).await;
            let mut answer = sent.map_err(|error| error.to_string())?;
            let status = answer.status() as u16;
            let mut content = answer.take_body();
            let bytes = body::read(&mut content, ANSWER_BYTES)
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
    /// Returns each mistake with its line and column, or why the call failed.
    pub fn send(&self, text: &str) -> Result<Value, Failure> {
        let mut request = client::request(Method::Post, &self.address, "/statements")
            .map_err(|error| Failure::Other(error.to_string()))?;
        let call = json!({ "text": text, "author": self.author, "dry_run": self.dry_run });
        request.set_body(call.to_string());
        let (status, answer) = self.call(request).map_err(Failure::Other)?;
        if status == 200 {
            return Ok(answer);
        }
        let Some(findings) = answer["findings"].as_array() else {
            return Err(Failure::Other(answer["error"]["message"].to_string()));
        };
        let line = |finding: &Value| {
            let (line, column) = (&finding["line"], &finding["column"]);
            format!(
                "{line}:{column}: expected {}",
                finding["expected"].as_str().unwrap_or("")
            )
        };
        Err(Failure::Mistakes(findings.iter().map(line).collect()))
    }

    /// Waits until the accepted changes are in force on each node.
    ///
    /// # Errors
    ///
    /// Returns a message if the daemon does not answer.
    pub fn wait(&self, answer: &Value) -> Result<Reach, String> {
        let results = answer["results"].as_array().cloned().unwrap_or_default();
        let revisions = results
            .iter()
            .filter_map(|result| result["revision"].as_u64());
        let wanted = revisions.max().unwrap_or(0);
        let begun = Instant::now();
        loop {
            let path = format!("/in-force?revision={wanted}");
            let request = client::request(Method::Get, &self.address, &path)
                .map_err(|error| error.to_string())?;
            let (_, found) = self.call(request)?;
            let reach = Reach {
                nodes: found["in_force"].as_u64().unwrap_or(0),
                of: found["of"].as_u64().unwrap_or(0),
            };
            if reach.is_everywhere() || begun.elapsed() > IN_FORCE {
                return Ok(reach);
            }
            std::thread::sleep(LOOK);
        }
    }
}
