//! An emulator of the platform's store: the JSON gateway of etcd v3.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use endivespur_net::body::{Chunk, channel};
use endivespur_net::http;
use endivespur_net::store::{decode, encode, parse_u64};
use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol::channel::Sender;

use super::{BUFFERED_CHUNKS, Executor, dropped_connection, read_json, sleep_ms};

/// The size limit of stored values.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The interval between checks for expired leases and closed watches.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of past events kept for watches that start at an earlier revision.
const MAX_HISTORY_EVENTS: usize = 20_000;

/// The faults to inject, set through `/switch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Switch", default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails without an effect.
    pub outage: bool,
    /// The time added to each call.
    pub slow_ms: u64,
    /// The number of upcoming calls other than reads that take effect and whose responses are
    /// lost.
    pub lose_answers: u32,
    /// Watches stay open and deliver no events.
    pub silent_watches: bool,
    /// Keys whose leases expire at once.
    pub lapse: Vec<String>,
}

/// Counters of calls by kind.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Range calls.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Lease calls.
    pub leases: u64,
    /// Watches open now.
    pub watches: usize,
}

#[derive(Clone, Debug)]
struct Record {
    value: String,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

struct Watcher {
    start: String,
    end: String,
    sender: Sender<Chunk>,
}

#[derive(Default)]
struct Store {
    revision: u64,
    records: BTreeMap<String, Record>,
    history: std::collections::VecDeque<(u64, Value)>,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    watchers: Vec<Watcher>,
    faults: Faults,
    counts: Counts,
}

type Shared = Rc<RefCell<Store>>;

/// Runs the emulator until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str) -> std::io::Result<()> {
    let store = Rc::new(RefCell::new(Store {
        revision: 1,
        last_lease_id: 1000,
        ..Store::default()
    }));
    executor.spawn(expire_periodically(store.clone())).detach();
    let handler = http::handler(move |request| handle(store.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn expire_periodically(store: Shared) {
    loop {
        smol::Timer::after(LEASE_CHECK_INTERVAL).await;
        let mut store = store.borrow_mut();
        store.expire_leases(Instant::now());
        store.remove_closed_watchers();
    }
}

async fn handle(store: Shared, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    match path.as_str() {
        "/switch" => return set_faults(&store, &mut request).await,
        "/counts" => {
            let mut counts = store.borrow().counts.clone();
            counts.watches = store.borrow().watchers.len();
            return http::json(StatusCode::Ok, &json!(counts));
        }
        _ => {}
    }
    let delay_ms = store.borrow().faults.slow_ms;
    sleep_ms(delay_ms).await;
    if store.borrow().faults.outage {
        return http::refusal(StatusCode::ServiceUnavailable, "outage");
    }
    let payload: Value = match read_json(&mut request).await {
        Ok(payload) => payload,
        Err(refusal) => return refusal,
    };
    if path == "/v3/watch" {
        return watch(&store, &payload["create_request"]);
    }
    let result = store.borrow_mut().call(&path, &payload);
    let lost = path != "/v3/kv/range" && store.borrow_mut().take_lost_response();
    match result {
        _ if lost => dropped_connection(),
        Ok(value) => http::json(StatusCode::Ok, &value),
        Err(message) => http::json(StatusCode::BadRequest, &json!({ "error": message })),
    }
}

async fn set_faults(store: &Shared, request: &mut Request) -> Response {
    match read_json::<Faults>(request).await {
        Ok(faults) => {
            let mut store = store.borrow_mut();
            for key in &faults.lapse {
                store.expire_lease_of(key);
            }
            if faults.outage {
                store.watchers.clear();
            }
            store.faults = faults;
            http::json(StatusCode::Ok, &json!({}))
        }
        Err(refusal) => refusal,
    }
}

fn watch(store: &Shared, create: &Value) -> Response {
    let (sender, body) = channel(BUFFERED_CHUNKS);
    let start = decode(&create["key"]).unwrap_or_default();
    let end = decode(&create["range_end"]).unwrap_or_default();
    let start_revision = parse_u64(&create["start_revision"]).unwrap_or(0);
    let mut store = store.borrow_mut();
    let oldest = store.history.front().map_or(0, |(revision, _)| *revision);
    let header = store.header();
    if start_revision > 0 && start_revision < oldest {
        let message =
            json!({ "result": { "header": header, "compact_revision": oldest.to_string() } });
        sender.try_send(Ok(json_line(&message))).ok();
    } else {
        let created = json!({ "result": { "header": header, "created": true } });
        sender.try_send(Ok(json_line(&created))).ok();
        let missed: Vec<Value> = store
            .history
            .iter()
            .filter(|(revision, _)| start_revision > 0 && *revision >= start_revision)
            .filter(|(_, event)| in_range(event, &start, &end))
            .map(|(_, event)| event.clone())
            .collect();
        if !missed.is_empty() {
            let message = json!({ "result": { "header": store.header(), "events": missed } });
            sender.try_send(Ok(json_line(&message))).ok();
        }
        store.watchers.push(Watcher { start, end, sender });
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response
}

fn json_line(message: &Value) -> Vec<u8> {
    format!("{message}\n").into_bytes()
}

fn in_range(event: &Value, start: &str, end: &str) -> bool {
    decode(&event["kv"]["key"]).is_some_and(|key| key.as_str() >= start && key.as_str() < end)
}

impl Store {
    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    /// Returns whether the response is to be lost, and decrements the number of responses to lose.
    fn take_lost_response(&mut self) -> bool {
        let remaining = self.faults.lose_answers;
        self.faults.lose_answers = remaining.saturating_sub(1);
        remaining > 0
    }

    fn call(&mut self, path: &str, payload: &Value) -> Result<Value, String> {
        match path {
            "/v3/kv/range" => {
                self.counts.reads += 1;
                Ok(self.range(payload))
            }
            "/v3/kv/txn" => {
                self.counts.writes += 1;
                self.commit(payload)
            }
            "/v3/lease/grant" => Ok(self.grant(payload)),
            "/v3/lease/keepalive" => Ok(self.keep_alive(payload)),
            "/v3/lease/revoke" => {
                self.counts.leases += 1;
                self.revoke(parse_u64(&payload["ID"]).unwrap_or(0));
                Ok(json!({ "header": self.header() }))
            }
            _ => Err(format!("unknown path {path}")),
        }
    }

    fn range(&self, payload: &Value) -> Value {
        let start = decode(&payload["key"]).unwrap_or_default();
        let end = decode(&payload["range_end"]).unwrap_or_else(|| format!("{start}\0"));
        let min_revision = parse_u64(&payload["min_mod_revision"]).unwrap_or(0);
        let limit = parse_u64(&payload["limit"]).filter(|limit| *limit > 0);
        let limit = limit.map_or(usize::MAX, |limit| limit as usize);
        let found = self.records.range(start.clone()..end.clone());
        let count = self.records.range(start..end).count();
        let kvs: Vec<Value> = found
            .filter(|(_, record)| record.mod_revision >= min_revision)
            .take(limit)
            .map(|(key, record)| encode_record(key, record))
            .collect();
        json!({ "header": self.header(), "count": count.to_string(), "kvs": kvs })
    }

    fn commit(&mut self, payload: &Value) -> Result<Value, String> {
        let mut events = Vec::new();
        let revision = self.revision + 1;
        let mut result = self.txn(payload, revision, &mut events)?;
        if !events.is_empty() {
            self.revision = revision;
            self.publish(&events);
        }
        result["header"] = self.header();
        Ok(result)
    }

    /// Executes one branch of a transaction and appends the resulting events.
    fn txn(
        &mut self,
        payload: &Value,
        revision: u64,
        events: &mut Vec<Value>,
    ) -> Result<Value, String> {
        let compares = payload["compare"].as_array().cloned().unwrap_or_default();
        let succeeded = compares.iter().all(|compare| self.compare(compare));
        let branch = if succeeded { "success" } else { "failure" };
        let requests = payload[branch].as_array().cloned().unwrap_or_default();
        let mut responses = Vec::new();
        for request in &requests {
            responses.push(self.execute(request, revision, events)?);
        }
        Ok(json!({ "succeeded": succeeded, "responses": responses }))
    }

    fn execute(
        &mut self,
        request: &Value,
        revision: u64,
        events: &mut Vec<Value>,
    ) -> Result<Value, String> {
        if request["request_txn"].is_object() {
            let result = self.txn(&request["request_txn"], revision, events)?;
            return Ok(json!({ "response_txn": result }));
        }
        if request["request_range"].is_object() {
            return Ok(json!({ "response_range": self.range(&request["request_range"]) }));
        }
        if request["request_put"].is_object() {
            self.put(&request["request_put"], revision, events)?;
            return Ok(json!({ "response_put": {} }));
        }
        let key = decode(&request["request_delete_range"]["key"]).ok_or("no operation")?;
        self.delete(&key, revision, events);
        Ok(json!({ "response_delete_range": {} }))
    }

    fn compare(&self, compare: &Value) -> bool {
        let key = decode(&compare["key"]).unwrap_or_default();
        let record = self.records.get(&key);
        let (actual, expected) = match compare["target"].as_str() {
            Some("CREATE") => (
                record.map_or(0, |v| v.create_revision),
                &compare["create_revision"],
            ),
            Some("VERSION") => (record.map_or(0, |v| v.version), &compare["version"]),
            _ => (
                record.map_or(0, |v| v.mod_revision),
                &compare["mod_revision"],
            ),
        };
        actual == parse_u64(expected).unwrap_or(0)
    }

    fn put(&mut self, put: &Value, revision: u64, events: &mut Vec<Value>) -> Result<(), String> {
        let key = decode(&put["key"]).ok_or("no key")?;
        let value = decode(&put["value"]).unwrap_or_default();
        if value.len() > MAX_VALUE_BYTES {
            return Err("the value is too large".to_string());
        }
        let lease = parse_u64(&put["lease"]).unwrap_or(0);
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err("requested lease not found".to_string());
        }
        let old = self.records.get(&key);
        let new = Record {
            value,
            create_revision: old.map_or(revision, |v| v.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |v| v.version + 1),
            lease,
        };
        events.push(json!({ "kv": encode_record(&key, &new) }));
        self.records.insert(key, new);
        Ok(())
    }

    fn delete(&mut self, key: &str, revision: u64, events: &mut Vec<Value>) {
        if self.records.remove(key).is_some() {
            let kv = json!({ "key": encode(key), "mod_revision": revision.to_string() });
            events.push(json!({ "type": "DELETE", "kv": kv }));
        }
    }

    fn publish(&mut self, events: &[Value]) {
        for event in events {
            self.history.push_back((self.revision, event.clone()));
        }
        while self.history.len() > MAX_HISTORY_EVENTS {
            self.history.pop_front();
        }
        if self.faults.silent_watches {
            return;
        }
        let header = self.header();
        self.watchers.retain(|watcher| {
            let matching: Vec<&Value> = events
                .iter()
                .filter(|event| in_range(event, &watcher.start, &watcher.end))
                .collect();
            let message = json!({ "result": { "header": header, "events": matching } });
            matching.is_empty() || watcher.sender.try_send(Ok(json_line(&message))).is_ok()
        });
    }

    fn remove_closed_watchers(&mut self) {
        self.watchers.retain(|watcher| !watcher.sender.is_closed());
    }

    fn grant(&mut self, payload: &Value) -> Value {
        self.counts.leases += 1;
        let ttl = Duration::from_secs(parse_u64(&payload["TTL"]).unwrap_or(1));
        self.last_lease_id += 1;
        let expires_at = Instant::now() + ttl;
        self.leases
            .insert(self.last_lease_id, Lease { ttl, expires_at });
        json!({ "header": self.header(), "ID": self.last_lease_id.to_string(), "TTL": ttl.as_secs().to_string() })
    }

    fn keep_alive(&mut self, payload: &Value) -> Value {
        self.counts.leases += 1;
        let id = parse_u64(&payload["ID"]).unwrap_or(0);
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        });
        json!({ "result": { "header": self.header(), "ID": id.to_string(), "TTL": ttl.to_string() } })
    }

    fn expire_leases(&mut self, now: Instant) {
        if self.faults.outage {
            // After an outage the store renews every lease for its full TTL.
            for lease in self.leases.values_mut() {
                lease.expires_at = now + lease.ttl;
            }
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
    }

    fn expire_lease_of(&mut self, key: &str) {
        if let Some(lease) = self.records.get(key).map(|record| record.lease) {
            self.revoke(lease);
        }
    }

    fn revoke(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .records
            .iter()
            .filter(|(_, record)| id != 0 && record.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        let revision = self.revision + 1;
        let mut events = Vec::new();
        for key in keys {
            self.delete(&key, revision, &mut events);
        }
        if !events.is_empty() {
            self.revision = revision;
            self.publish(&events);
        }
    }
}

fn encode_record(key: &str, record: &Record) -> Value {
    json!({
        "key": encode(key),
        "value": encode(&record.value),
        "create_revision": record.create_revision.to_string(),
        "mod_revision": record.mod_revision.to_string(),
        "version": record.version.to_string(),
        "lease": record.lease.to_string(),
    })
}
