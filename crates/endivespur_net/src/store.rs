//! A client of the platform's store, which uses the JSON gateway of etcd v3.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::AsyncBufReadExt;
use http_types::{Body, Method};
use serde_json::{Value, json};
use smol::future::FutureExt;
use snafu::Snafu;

use crate::client;

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call failed; a write may have taken effect.
    #[snafu(display("the store did not answer: {message}"))]
    Call {
        /// The cause.
        message: String,
    },
    /// The response lacks a field or is not valid JSON.
    #[snafu(display("the store's answer lacks {field}"))]
    Malformed {
        /// The missing field or the expected format.
        field: String,
    },
}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        Self::Call {
            message: error.to_string(),
        }
    }
}

/// A key with its value and the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value, or `None` if the key was deleted.
    pub value: Option<String>,
    /// The revision of the last write.
    pub revision: u64,
}

/// A write to one key, optionally conditional.
#[derive(Clone, Debug)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value, or `None` to delete the key.
    pub value: Option<String>,
    /// The revision that the key must have, 0 if the key must not exist; `None` to write
    /// unconditionally.
    pub expected_revision: Option<u64>,
    /// The lease at whose end the key is deleted; 0 for none.
    pub lease: u64,
}

impl Write {
    /// Creates an unconditional write.
    pub fn new(key: &str, value: &str) -> Self {
        Self {
            key: key.to_string(),
            value: Some(value.to_string()),
            expected_revision: None,
            lease: 0,
        }
    }

    /// Makes the write conditional on the key's current revision.
    pub fn with_expected_revision(mut self, revision: u64) -> Self {
        self.expected_revision = Some(revision);
        self
    }

    /// Attaches the key to a lease.
    pub fn with_lease(mut self, lease: u64) -> Self {
        self.lease = lease;
        self
    }
}

/// The outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect at this revision.
    Written(u64),
    /// The key has another revision; contains its current pair, or `None` if it does not
    /// exist.
    Conflict(Option<Pair>),
}

/// A client of the store.
#[derive(Clone, Debug)]
pub struct Client {
    address: String,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the store at `address` with a timeout for each call.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            address: address.to_string(),
            timeout,
        }
    }

    async fn call(&self, path: &str, value: &Value) -> Result<Value, Error> {
        Ok(client::post_json(&self.address, path, value, self.timeout).await?)
    }

    /// Returns the pairs whose keys start with `prefix`, and the store's revision.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the store does not answer.
    pub async fn list(&self, prefix: &str) -> Result<(u64, Vec<Pair>), Error> {
        let request = json!({ "key": encode(prefix), "range_end": encode(&prefix_end(prefix)) });
        let response = self.call("/v3/kv/range", &request).await?;
        Ok((revision(&response)?, pairs(&response["kvs"])?))
    }

    /// Returns one pair.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the store does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Pair>, Error> {
        let response = self
            .call("/v3/kv/range", &json!({ "key": encode(key) }))
            .await?;
        Ok(pairs(&response["kvs"])?.into_iter().next())
    }

    /// Checks for writes after `revision` to keys that start with `prefix`, without reading them
    /// all.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the store does not answer.
    pub async fn peek(&self, prefix: &str, revision: u64) -> Result<Summary, Error> {
        let request = json!({
            "key": encode(prefix), "range_end": encode(&prefix_end(prefix)),
            "min_mod_revision": (revision + 1).to_string(), "limit": "1", "keys_only": true,
        });
        let response = self.call("/v3/kv/range", &request).await?;
        Ok(Summary {
            revision: self::revision(&response)?,
            key_count: parse_u64(&response["count"]).unwrap_or(0),
            changed: !pairs(&response["kvs"])?.is_empty(),
        })
    }

    /// Performs independent conditional writes in one call, each with its own outcome.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the store does not answer; the writes may have taken effect
    /// nevertheless.
    pub async fn write(&self, writes: &[Write]) -> Result<Vec<Outcome>, Error> {
        let requests: Vec<Value> = writes.iter().map(transaction).collect();
        let response = self
            .call("/v3/kv/txn", &json!({ "success": requests }))
            .await?;
        let written_revision = revision(&response)?;
        let responses = response["responses"]
            .as_array()
            .ok_or_else(|| malformed("responses"))?;
        responses
            .iter()
            .map(|response| outcome(&response["response_txn"], written_revision))
            .collect()
    }

    /// Performs one conditional write.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] as [`Client::write`] does.
    pub async fn write_one(&self, write: Write) -> Result<Outcome, Error> {
        let outcomes = self.write(&[write]).await?;
        outcomes
            .into_iter()
            .next()
            .ok_or_else(|| malformed("responses"))
    }

    /// Creates a lease and returns its ID.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the store does not answer.
    pub async fn grant(&self, ttl: Duration) -> Result<u64, Error> {
        let request = json!({ "TTL": ttl.as_secs().max(1).to_string(), "ID": "0" });
        let response = self.call("/v3/lease/grant", &request).await?;
        parse_u64(&response["ID"]).ok_or_else(|| malformed("ID"))
    }

    /// Renews a lease; returns whether it still exists.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the store does not answer.
    pub async fn renew(&self, lease: u64) -> Result<bool, Error> {
        let request = json!({ "ID": lease.to_string() });
        let response = self.call("/v3/lease/keepalive", &request).await?;
        Ok(parse_u64(&response["result"]["TTL"]).unwrap_or(0) > 0)
    }

    /// Ends a lease and deletes the keys that are attached to it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the store does not answer.
    pub async fn revoke(&self, lease: u64) -> Result<(), Error> {
        let request = json!({ "ID": lease.to_string() });
        self.call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches the keys that start with `prefix`, beginning with the writes at `revision`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the store does not answer.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<Watch, Error> {
        let create_request = json!({ "create_request": {
            "key": encode(prefix),
            "range_end": encode(&prefix_end(prefix)),
            "start_revision": revision.to_string(),
            "progress_notify": true,
        }});
        let mut request = client::request(Method::Post, &self.address, "/v3/watch")?;
        request.set_body(create_request.to_string());
        let mut response = client::send(request, self.timeout).await?;
        Ok(Watch {
            body: response.take_body(),
        })
    }
}

/// A summary of the keys below a prefix, as [`Client::peek`] returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The store's revision.
    pub revision: u64,
    /// The number of keys below the prefix.
    pub key_count: u64,
    /// Whether a key was written after the requested revision.
    pub changed: bool,
}

/// An open watch.
pub struct Watch {
    body: Body,
}

/// A message of a watch: the store's revision and the writes up to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The store's revision.
    pub revision: u64,
    /// The writes; empty for a progress notification, which contains only the revision.
    pub pairs: Vec<Pair>,
    /// Whether the store has compacted the requested revisions, so that the keys must be
    /// listed again.
    pub compacted: bool,
}

impl Watch {
    /// Waits for the next message for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the watch has ended, or no message arrives within `timeout`.
    pub async fn next(&mut self, timeout: Duration) -> Result<Update, Error> {
        let mut line = String::new();
        let read = async {
            self.body
                .read_line(&mut line)
                .await
                .map_err(|error| error.to_string())
        };
        let timed_out = async {
            smol::Timer::after(timeout).await;
            Err("no message of the watch within the timeout".to_string())
        };
        let count = read
            .or(timed_out)
            .await
            .map_err(|message| Error::Call { message })?;
        if count == 0 {
            return Err(Error::Call {
                message: "the watch has ended".to_string(),
            });
        }
        let message: Value = serde_json::from_str(&line).map_err(|_| malformed("JSON"))?;
        let result = &message["result"];
        let events = result["events"].as_array().cloned().unwrap_or_default();
        let pairs: Result<Vec<Pair>, Error> = events.iter().map(event).collect();
        Ok(Update {
            revision: revision(result)?,
            pairs: pairs?,
            compacted: result["compact_revision"] != Value::Null,
        })
    }
}

/// Returns the nested transaction of one write; if its condition fails, it reads the key instead.
fn transaction(write: &Write) -> Value {
    let compare: Vec<Value> = write
        .expected_revision
        .iter()
        .map(|revision| {
            json!({
                "key": encode(&write.key), "target": "MOD", "result": "EQUAL",
                "mod_revision": revision.to_string(),
            })
        })
        .collect();
    let success = match &write.value {
        Some(value) => json!({ "request_put": {
            "key": encode(&write.key), "value": encode(value), "lease": write.lease.to_string(),
        }}),
        None => json!({ "request_delete_range": { "key": encode(&write.key) } }),
    };
    let failure = json!({ "request_range": { "key": encode(&write.key) } });
    json!({ "request_txn": {
        "compare": compare, "success": [success], "failure": [failure],
    }})
}

fn outcome(response: &Value, written_revision: u64) -> Result<Outcome, Error> {
    if response["succeeded"].as_bool().unwrap_or(false) {
        return Ok(Outcome::Written(written_revision));
    }
    let found = pairs(&response["responses"][0]["response_range"]["kvs"])?;
    Ok(Outcome::Conflict(found.into_iter().next()))
}

fn event(event: &Value) -> Result<Pair, Error> {
    let mut pair = pair(&event["kv"])?;
    if event["type"] == "DELETE" {
        pair.value = None;
    }
    Ok(pair)
}

fn pairs(value: &Value) -> Result<Vec<Pair>, Error> {
    value
        .as_array()
        .map_or_else(|| Ok(Vec::new()), |kvs| kvs.iter().map(pair).collect())
}

fn pair(kv: &Value) -> Result<Pair, Error> {
    Ok(Pair {
        key: decode(&kv["key"]).ok_or_else(|| malformed("key"))?,
        value: Some(decode(&kv["value"]).unwrap_or_default()),
        revision: parse_u64(&kv["mod_revision"]).ok_or_else(|| malformed("mod_revision"))?,
    })
}

fn revision(response: &Value) -> Result<u64, Error> {
    parse_u64(&response["header"]["revision"]).ok_or_else(|| malformed("header.revision"))
}

fn malformed(field: &str) -> Error {
    Error::Malformed {
        field: field.to_string(),
    }
}

/// Parses a number, which the gateway encodes as a string.
pub fn parse_u64(value: &Value) -> Option<u64> {
    value
        .as_u64()
        .or_else(|| value.as_str().and_then(|text| text.parse().ok()))
}

/// Encodes a key or value in Base64, as the gateway requires.
pub fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// Decodes a key or value from Base64.
pub fn decode(value: &Value) -> Option<String> {
    let bytes = STANDARD.decode(value.as_str()?).ok()?;
    String::from_utf8(bytes).ok()
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
pub fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    if let Some(last) = bytes.last_mut() {
        *last += 1;
    }
    String::from_utf8(bytes).unwrap_or_default()
}
