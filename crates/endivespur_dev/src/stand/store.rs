//! A stand-in for the platform's store: the JSON gateway of etcd v3.

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

use super::{Executor, PIECES, body, broken, pause_ms};

/// The largest value that the store holds.
const VALUE_BYTES: usize = 1 << 20;
/// The time between two looks for lapsed leases.
const SWEEP: Duration = Duration::from_millis(100);
/// The revisions whose writes are kept for watches that start late.
const HISTORY: usize = 20_000;

/// The failures that can be switched on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switch {
    /// Each call fails without an effect.
    pub outage: bool,
    /// Each call takes this much longer.
    pub slow_ms: u64,
    /// The next writes take effect and their answers are lost.
    pub lose_answers: u32,
    /// Watches stay open and tell nothing.
    pub silent_watches: bool,
    /// The leases of these keys lapse at once.
    pub lapse: Vec<String>,
}

/// The calls counted by kind.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Range calls.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Lease calls.
    pub leases: u64,
    /// Watches waiting now.
    pub watches: usize,
}

#[derive(Clone, Debug)]
struct Stored {
    value: String,
    created: u64,
    revision: u64,
    version: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

struct Watcher {
    start: String,
    end: String,
    sender: Sender<Chunk>,
}

#[derive(Default)]
struct Store {
    revision: u64,
    values: BTreeMap<String, Stored>,
    history: std::collections::VecDeque<(u64, Value)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    watchers: Vec<Watcher>,
    switch: Switch,
    counts: Counts,
}

type Shared = Rc<RefCell<Store>>;

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str) -> std::io::Result<()> {
    let store = Rc::new(RefCell::new(Store {
        revision: 1,
        next_lease: 1000,
        ..Store::default()
    }));
    executor.spawn(sweep(store.clone())).detach();
    let handler = http::handler(move |request| answer(store.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn sweep(store: Shared) {
    loop {
        smol::Timer::after(SWEEP).await;
        let mut store = store.borrow_mut();
        store.lapse_leases(Instant::now());
        store.drop_closed();
    }
}

async fn answer(store: Shared, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    match path.as_str() {
        "/switch" => return switch(&store, &mut request).await,
        "/counts" => {
            let mut counts = store.borrow().counts.clone();
            counts.watches = store.borrow().watchers.len();
            return http::json(StatusCode::Ok, &json!(counts));
        }
        _ => {}
    }
    let slow = store.borrow().switch.slow_ms;
    pause_ms(slow).await;
    if store.borrow().switch.outage {
        return http::refusal(StatusCode::ServiceUnavailable, "outage");
    }
    let call: Value = match body(&mut request).await {
        Ok(call) => call,
        Err(refusal) => return refusal,
    };
    if path == "/v3/watch" {
        return watch(&store, &call["create_request"]);
    }
    let result = store.borrow_mut().call(&path, &call);
    let lost = path != "/v3/kv/range" && store.borrow_mut().loses_answer();
    match result {
        _ if lost => broken(),
        Ok(value) => http::json(StatusCode::Ok, &value),
        Err(message) => http::json(StatusCode::BadRequest, &json!({ "error": message })),
    }
}

async fn switch(store: &Shared, request: &mut Request) -> Response {
    match body::<Switch>(request).await {
        Ok(switch) => {
            let mut store = store.borrow_mut();
            for key in &switch.lapse {
                store.lapse_key(key);
            }
            if switch.outage {
                store.watchers.clear();
            }
            store.switch = switch;
            http::json(StatusCode::Ok, &json!({}))
        }
        Err(refusal) => refusal,
    }
}

fn watch(store: &Shared, create: &Value) -> Response {
    let (sender, body) = channel(PIECES);
    let start = decode(&create["key"]).unwrap_or_default();
    let end = decode(&create["range_end"]).unwrap_or_default();
    let from = parse_u64(&create["start_revision"]).unwrap_or(0);
    let mut store = store.borrow_mut();
    let oldest = store.history.front().map_or(0, |(revision, _)| *revision);
    let header = store.header();
    if from > 0 && from < oldest {
        let message =
            json!({ "result": { "header": header, "compact_revision": oldest.to_string() } });
        sender.try_send(Ok(line(&message))).ok();
    } else {
        let created = json!({ "result": { "header": header, "created": true } });
        sender.try_send(Ok(line(&created))).ok();
        let missed: Vec<Value> = store
            .history
            .iter()
            .filter(|(revision, _)| from > 0 && *revision >= from)
            .filter(|(_, event)| in_range(event, &start, &end))
            .map(|(_, event)| event.clone())
            .collect();
        if !missed.is_empty() {
            let message = json!({ "result": { "header": store.header(), "events": missed } });
            sender.try_send(Ok(line(&message))).ok();
        }
        store.watchers.push(Watcher { start, end, sender });
    }
    let mut answer = Response::new(StatusCode::Ok);
    answer.set_body(body);
    answer
}

fn line(message: &Value) -> Vec<u8> {
    format!("{message}\n").into_bytes()
}

fn in_range(event: &Value, start: &str, end: &str) -> bool {
    decode(&event["kv"]["key"]).is_some_and(|key| key.as_str() >= start && key.as_str() < end)
}

impl Store {
    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    fn loses_answer(&mut self) -> bool {
        let left = self.switch.lose_answers;
        self.switch.lose_answers = left.saturating_sub(1);
        left > 0
    }

    fn call(&mut self, path: &str, call: &Value) -> Result<Value, String> {
        match path {
            "/v3/kv/range" => {
                self.counts.reads += 1;
                Ok(self.range(call))
            }
            "/v3/kv/txn" => {
                self.counts.writes += 1;
                self.commit(call)
            }
            "/v3/lease/grant" => Ok(self.grant(call)),
            "/v3/lease/keepalive" => Ok(self.keep_alive(call)),
            "/v3/lease/revoke" => {
                self.counts.leases += 1;
                self.revoke(parse_u64(&call["ID"]).unwrap_or(0));
                Ok(json!({ "header": self.header() }))
            }
            _ => Err(format!("unknown path {path}")),
        }
    }

    fn range(&self, call: &Value) -> Value {
        let start = decode(&call["key"]).unwrap_or_default();
        let end = decode(&call["range_end"]).unwrap_or_else(|| format!("{start}\0"));
        let least = parse_u64(&call["min_mod_revision"]).unwrap_or(0);
        let limit = parse_u64(&call["limit"]).filter(|limit| *limit > 0);
        let limit = limit.map_or(usize::MAX, |limit| limit as usize);
        let found = self.values.range(start.clone()..end.clone());
        let count = self.values.range(start..end).count();
        let kvs: Vec<Value> = found
            .filter(|(_, value)| value.revision >= least)
            .take(limit)
            .map(|(key, value)| pair(key, value))
            .collect();
        json!({ "header": self.header(), "count": count.to_string(), "kvs": kvs })
    }

    fn commit(&mut self, call: &Value) -> Result<Value, String> {
        let mut events = Vec::new();
        let at = self.revision + 1;
        let mut result = self.txn(call, at, &mut events)?;
        if !events.is_empty() {
            self.revision = at;
            self.publish(&events);
        }
        result["header"] = self.header();
        Ok(result)
    }

    fn txn(&mut self, call: &Value, at: u64, events: &mut Vec<Value>) -> Result<Value, String> {
        let compares = call["compare"].as_array().cloned().unwrap_or_default();
        let succeeded = compares.iter().all(|compare| self.compare(compare));
        let branch = if succeeded { "success" } else { "failure" };
        let requests = call[branch].as_array().cloned().unwrap_or_default();
        let mut responses = Vec::new();
        for request in &requests {
            responses.push(self.operate(request, at, events)?);
        }
        Ok(json!({ "succeeded": succeeded, "responses": responses }))
    }

    fn operate(
        &mut self,
        request: &Value,
        at: u64,
        events: &mut Vec<Value>,
    ) -> Result<Value, String> {
        if request["request_txn"].is_object() {
            let result = self.txn(&request["request_txn"], at, events)?;
            return Ok(json!({ "response_txn": result }));
        }
        if request["request_range"].is_object() {
            return Ok(json!({ "response_range": self.range(&request["request_range"]) }));
        }
        if request["request_put"].is_object() {
            self.put(&request["request_put"], at, events)?;
            return Ok(json!({ "response_put": {} }));
        }
        let key = decode(&request["request_delete_range"]["key"]).ok_or("no operation")?;
        self.delete(&key, at, events);
        Ok(json!({ "response_delete_range": {} }))
    }

    fn compare(&self, compare: &Value) -> bool {
        let key = decode(&compare["key"]).unwrap_or_default();
        let found = self.values.get(&key);
        let (actual, wanted) = match compare["target"].as_str() {
            Some("CREATE") => (found.map_or(0, |v| v.created), &compare["create_revision"]),
            Some("VERSION") => (found.map_or(0, |v| v.version), &compare["version"]),
            _ => (found.map_or(0, |v| v.revision), &compare["mod_revision"]),
        };
        actual == parse_u64(wanted).unwrap_or(0)
    }

    fn put(&mut self, put: &Value, at: u64, events: &mut Vec<Value>) -> Result<(), String> {
        let key = decode(&put["key"]).ok_or("no key")?;
        let value = decode(&put["value"]).unwrap_or_default();
        if value.len() > VALUE_BYTES {
            return Err("the value is too large".to_string());
        }
        let lease = parse_u64(&put["lease"]).unwrap_or(0);
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err("requested lease not found".to_string());
        }
        let old = self.values.get(&key);
        let new = Stored {
            value,
            created: old.map_or(at, |v| v.created),
            revision: at,
            version: old.map_or(1, |v| v.version + 1),
            lease,
        };
        events.push(json!({ "kv": pair(&key, &new) }));
        self.values.insert(key, new);
        Ok(())
    }

    fn delete(&mut self, key: &str, at: u64, events: &mut Vec<Value>) {
        if self.values.remove(key).is_some() {
            let kv = json!({ "key": encode(key), "mod_revision": at.to_string() });
            events.push(json!({ "type": "DELETE", "kv": kv }));
        }
    }

    fn publish(&mut self, events: &[Value]) {
        for event in events {
            self.history.push_back((self.revision, event.clone()));
        }
        while self.history.len() > HISTORY {
            self.history.pop_front();
        }
        if self.switch.silent_watches {
            return;
        }
        let header = self.header();
        self.watchers.retain(|watcher| {
            let seen: Vec<&Value> = events
                .iter()
                .filter(|event| in_range(event, &watcher.start, &watcher.end))
                .collect();
            let message = json!({ "result": { "header": header, "events": seen } });
            seen.is_empty() || watcher.sender.try_send(Ok(line(&message))).is_ok()
        });
    }

    fn drop_closed(&mut self) {
        self.watchers.retain(|watcher| !watcher.sender.is_closed());
    }

    fn grant(&mut self, call: &Value) -> Value {
        self.counts.leases += 1;
        let ttl = Duration::from_secs(parse_u64(&call["TTL"]).unwrap_or(1));
        self.next_lease += 1;
        let until = Instant::now() + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, until });
        json!({ "header": self.header(), "ID": self.next_lease.to_string(), "TTL": ttl.as_secs().to_string() })
    }

    fn keep_alive(&mut self, call: &Value) -> Value {
        self.counts.leases += 1;
        let id = parse_u64(&call["ID"]).unwrap_or(0);
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.until = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        });
        json!({ "result": { "header": self.header(), "ID": id.to_string(), "TTL": ttl.to_string() } })
    }

    fn lapse_leases(&mut self, now: Instant) {
        if self.switch.outage {
            // A store that comes back grants its leases their whole time again.
            for lease in self.leases.values_mut() {
                lease.until = now + lease.ttl;
            }
            return;
        }
        let lapsed: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.revoke(id);
        }
    }

    fn lapse_key(&mut self, key: &str) {
        if let Some(lease) = self.values.get(key).map(|value| value.lease) {
            self.revoke(lease);
        }
    }

    fn revoke(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .values
            .iter()
            .filter(|(_, value)| id != 0 && value.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        let at = self.revision + 1;
        let mut events = Vec::new();
        for key in keys {
            self.delete(&key, at, &mut events);
        }
        if !events.is_empty() {
            self.revision = at;
            self.publish(&events);
        }
    }
}

fn pair(key: &str, value: &Stored) -> Value {
    json!({
        "key": encode(key),
        "value": encode(&value.value),
        "create_revision": value.created.to_string(),
        "mod_revision": value.revision.to_string(),
        "version": value.version.to_string(),
        "lease": value.lease.to_string(),
    })
}
