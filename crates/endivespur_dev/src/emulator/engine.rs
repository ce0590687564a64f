//! An emulator of a model engine: `OpenAI` completions and vLLM's adapter API.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use endivespur_net::body::{Chunk, channel};
use endivespur_net::{client, http, sse};
use http_types::{Body, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol::channel::Sender;

use super::{BUFFERED_CHUNKS, Executor, dropped_connection, read_json, sleep_ms};

const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of tokens of a completion without `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// The properties of an emulated engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// The base model's name.
    pub base: String,
    /// The number of adapter slots.
    pub slots: usize,
    /// The maximum number of requests in one step.
    pub batch: usize,
    /// The duration of a step, in which each running request generates one token.
    pub step_ms: u64,
    /// The weight store's address.
    pub weights: Option<String>,
    /// Whether loads and unloads with an outdated fencing number are refused.
    pub fenced: bool,
}

/// The faults to inject, set through `/switch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Switch", default, deny_unknown_fields)]
pub struct Faults {
    /// The number of upcoming loads that fail.
    pub fail_loads: u32,
    /// A request whose prompt or messages contain this text crashes the engine.
    pub crash_on: Option<String>,
    /// Whether the engine crashes as soon as these faults are set.
    pub crash: bool,
    /// The time after a crash during which every call is dropped.
    pub cold_ms: u64,
    /// The number of tokens after which responses are truncated.
    pub cut_after: Option<u64>,
    /// The number of upcoming responses that are crossed: they carry another attempt's id.
    pub cross: u32,
    /// The time added to each step.
    pub slow_ms: u64,
    /// The age of the metrics served.
    pub lag_ms: u64,
}

/// Counters of what the engine executed; tests check invariants against them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Completions started, by attempt id.
    pub runs: BTreeMap<String, u64>,
    /// Completions started, by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Completions that generated all their tokens.
    pub whole: u64,
    /// Successful adapter loads.
    pub loads: u64,
    /// Every adapter name that was loaded at any time.
    pub names: std::collections::BTreeSet<String>,
    /// The start of the latest completion, in milliseconds since the Unix epoch.
    pub last_start_ms: u64,
    /// Unloads of an adapter with running or waiting requests.
    pub evicted_in_use: u64,
    /// Loads and unloads refused because of an outdated fencing number.
    pub fenced_off: u64,
    /// Simulated crashes.
    pub crashes: u64,
    /// The maximum number of requests running at once.
    pub most_running: usize,
    /// The requests in all steps and the batch capacity of these steps, for batch efficiency.
    pub steps: (u64, u64),
}

struct Completion {
    id: u64,
    model: String,
    /// The model name in the text of the response; another one in a crossed response.
    shown_model: String,
    tokens: u64,
    sent_tokens: u64,
    attempt: String,
    sender: Sender<Chunk>,
    is_stream: bool,
    is_chat: bool,
}

struct Engine {
    options: Options,
    faults: Faults,
    counts: Counts,
    loaded: BTreeMap<String, Instant>,
    running: Vec<Completion>,
    waiting: VecDeque<Completion>,
    highest_fence: u64,
    last_completion_id: u64,
    unavailable_until: Option<Instant>,
    reports: VecDeque<(Instant, String)>,
}

type Shared = Rc<RefCell<Engine>>;

/// Runs the emulator until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str, options: Options) -> std::io::Result<()> {
    let engine = Rc::new(RefCell::new(Engine {
        options,
        faults: Faults::default(),
        counts: Counts::default(),
        loaded: BTreeMap::new(),
        running: Vec::new(),
        waiting: VecDeque::new(),
        highest_fence: 0,
        last_completion_id: 0,
        unavailable_until: None,
        reports: VecDeque::new(),
    }));
    executor.spawn(run_steps(engine.clone())).detach();
    let handler = http::handler(move |request| handle(engine.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn run_steps(engine: Shared) {
    loop {
        let ms = {
            let engine = engine.borrow();
            engine.options.step_ms + engine.faults.slow_ms
        };
        sleep_ms(ms.max(1)).await;
        engine.borrow_mut().step();
    }
}

async fn handle(engine: Shared, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    if path == "/switch" {
        return set_faults(&engine, &mut request).await;
    }
    if path == "/counts" {
        return http::json(StatusCode::Ok, &json!(engine.borrow().counts));
    }
    if engine.borrow().is_unavailable() {
        return dropped_connection();
    }
    match path.as_str() {
        "/v1/models" => models(&engine),
        "/metrics" => metrics(&engine),
        "/v1/load_lora_adapter" => load(&engine, &mut request).await,
        "/v1/unload_lora_adapter" => unload(&engine, &mut request).await,
        "/v1/completions" => complete(&engine, &mut request, false).await,
        "/v1/chat/completions" => complete(&engine, &mut request, true).await,
        _ => http::refusal(StatusCode::NotFound, "unknown path"),
    }
}

async fn set_faults(engine: &Shared, request: &mut Request) -> Response {
    match read_json::<Faults>(request).await {
        Ok(faults) => {
            let mut engine = engine.borrow_mut();
            let crash = faults.crash;
            engine.faults = faults;
            if crash {
                engine.crash();
            }
            http::json(StatusCode::Ok, &json!({}))
        }
        Err(refusal) => refusal,
    }
}

fn models(engine: &Shared) -> Response {
    let engine = engine.borrow();
    let base = json!({ "id": engine.options.base, "object": "model" });
    let adapters = engine
        .loaded
        .keys()
        .map(|name| json!({ "id": name, "object": "model", "parent": engine.options.base }));
    let data: Vec<Value> = std::iter::once(base).chain(adapters).collect();
    http::json(StatusCode::Ok, &json!({ "object": "list", "data": data }))
}

fn metrics(engine: &Shared) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(engine.borrow_mut().metrics(Instant::now()));
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}

/// Refuses a load or unload whose fencing number is lower than the highest seen, if the engine
/// enforces fencing.
fn check_fence(engine: &Shared, request: &Request) -> Option<Response> {
    let fence = request
        .header("endivespur-fence")
        .and_then(|value| value.as_str().parse::<u64>().ok())?;
    let mut engine = engine.borrow_mut();
    if engine.options.fenced && fence < engine.highest_fence {
        engine.counts.fenced_off += 1;
        return Some(http::refusal(
            StatusCode::PreconditionFailed,
            "old fencing number",
        ));
    }
    engine.highest_fence = engine.highest_fence.max(fence);
    None
}

async fn load(engine: &Shared, request: &mut Request) -> Response {
    if let Some(refusal) = check_fence(engine, request) {
        return refusal;
    }
    let payload: Value = match read_json(request).await {
        Ok(payload) => payload,
        Err(refusal) => return refusal,
    };
    let name = payload["lora_name"]
        .as_str()
        .unwrap_or_default()
        .to_string();
    let path = payload["lora_path"]
        .as_str()
        .unwrap_or_default()
        .to_string();
    let failures_left = engine.borrow().faults.fail_loads;
    if failures_left > 0 {
        engine.borrow_mut().faults.fail_loads = failures_left - 1;
        return http::refusal(StatusCode::InternalServerError, "the load failed");
    }
    let weights = engine.borrow().options.weights.clone();
    if let Some(address) = weights {
        let path = format!("/{path}");
        if let Err(error) = client::get_json(&address, &path, WEIGHTS_TIMEOUT).await {
            return http::refusal(StatusCode::ServiceUnavailable, &error.to_string());
        }
    }
    let mut engine = engine.borrow_mut();
    if engine.loaded.len() >= engine.options.slots && !engine.loaded.contains_key(&name) {
        return http::refusal(StatusCode::Conflict, "each slot is taken");
    }
    engine.counts.loads += 1;
    engine.counts.names.insert(name.clone());
    engine.loaded.insert(name, Instant::now());
    http::json(StatusCode::Ok, &json!("Success"))
}

async fn unload(engine: &Shared, request: &mut Request) -> Response {
    if let Some(refusal) = check_fence(engine, request) {
        return refusal;
    }
    let payload: Value = match read_json(request).await {
        Ok(payload) => payload,
        Err(refusal) => return refusal,
    };
    let name = payload["lora_name"].as_str().unwrap_or_default();
    let mut engine = engine.borrow_mut();
    if engine.loaded.remove(name).is_none() {
        return http::refusal(StatusCode::NotFound, "not loaded");
    }
    if engine.abort_completions(|completion| completion.model == name) > 0 {
        engine.counts.evicted_in_use += 1;
    }
    http::json(StatusCode::Ok, &json!("Success"))
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|value| value.as_str().to_string())
}

async fn complete(engine: &Shared, request: &mut Request, is_chat: bool) -> Response {
    let payload: Value = match read_json(request).await {
        Ok(payload) => payload,
        Err(refusal) => return refusal,
    };
    let attempt = header(request, "endivespur-attempt").unwrap_or_default();
    let model = payload["model"].as_str().unwrap_or_default().to_string();
    let is_stream = payload["stream"].as_bool().unwrap_or(false);
    let (sender, body) = channel(BUFFERED_CHUNKS);
    let response_attempt = engine.borrow_mut().response_attempt_id(&attempt);
    {
        let mut engine = engine.borrow_mut();
        if model != engine.options.base && !engine.loaded.contains_key(&model) {
            return http::refusal(StatusCode::NotFound, "the model does not exist");
        }
        if engine.crashes_on(&payload) {
            *engine.counts.runs.entry(attempt).or_default() += 1;
            engine.crash();
            return dropped_connection();
        }
        if let Some(key) = header(request, "idempotency-key") {
            *engine.counts.keys.entry(key).or_default() += 1;
        }
        *engine.counts.runs.entry(attempt.clone()).or_default() += 1;
        engine.counts.last_start_ms = super::unix_ms();
        engine.last_completion_id += 1;
        let crossed = response_attempt != attempt;
        let completion = Completion {
            id: engine.last_completion_id,
            // A crossed response belongs to another caller's request.
            shown_model: if crossed {
                "other@9.f0".to_string()
            } else {
                model.clone()
            },
            model,
            tokens: payload["max_tokens"]
                .as_u64()
                .unwrap_or(DEFAULT_TOKENS)
                .max(1),
            sent_tokens: 0,
            attempt: attempt.clone(),
            sender,
            is_stream,
            is_chat,
        };
        engine.waiting.push_back(completion);
        // An engine without a step time answers at once, so that measurements see only the
        // delay added in front of it.
        while engine.options.step_ms == 0 && engine.has_work() {
            engine.step();
        }
    }
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("endivespur-attempt", response_attempt);
    if is_stream {
        response.insert_header("content-type", "text/event-stream");
        response.set_body(body);
        return response;
    }
    collect_response(response, body).await
}

/// Waits for the complete response, so that a crash appears as a dropped connection.
async fn collect_response(mut response: Response, mut body: Body) -> Response {
    // No size limit; `read` adds 1 to it, so `usize::MAX` would overflow.
    match endivespur_net::body::read(&mut body, usize::MAX >> 1).await {
        Ok(bytes) if !bytes.is_empty() => {
            response.set_body(bytes);
            response.insert_header("content-type", "application/json");
            response
        }
        _ => dropped_connection(),
    }
}

impl Engine {
    fn has_work(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    fn is_unavailable(&self) -> bool {
        self.unavailable_until
            .is_some_and(|until| until > Instant::now())
    }

    fn crashes_on(&self, payload: &Value) -> bool {
        let text = payload["prompt"].to_string() + &payload["messages"].to_string();
        self.faults
            .crash_on
            .as_ref()
            .is_some_and(|trigger| text.contains(trigger))
    }

    /// Returns the attempt id for the response: the request's own, or a wrong one if the
    /// response is to be crossed.
    fn response_attempt_id(&mut self, attempt: &str) -> String {
        if self.faults.cross == 0 {
            return attempt.to_string();
        }
        self.faults.cross -= 1;
        "crossed".to_string()
    }

    fn crash(&mut self) {
        self.counts.crashes += 1;
        self.loaded.clear();
        self.abort_completions(|_| true);
        self.unavailable_until = Some(Instant::now() + Duration::from_millis(self.faults.cold_ms));
    }

    /// Aborts the matching completions and returns their number.
    fn abort_completions(&mut self, matches: impl Fn(&Completion) -> bool) -> usize {
        let before = self.running.len() + self.waiting.len();
        for completion in self
            .running
            .iter()
            .chain(&self.waiting)
            .filter(|completion| matches(completion))
        {
            completion
                .sender
                .try_send(Err(std::io::ErrorKind::ConnectionReset.into()))
                .ok();
            completion.sender.close();
        }
        self.running.retain(|completion| !matches(completion));
        self.waiting.retain(|completion| !matches(completion));
        before - self.running.len() - self.waiting.len()
    }

    /// Fills the batch from the queue and generates one token for each running request.
    fn step(&mut self) {
        while self.running.len() < self.options.batch
            && let Some(completion) = self.waiting.pop_front()
        {
            self.running.push(completion);
        }
        if self.running.is_empty() {
            return;
        }
        self.counts.most_running = self.counts.most_running.max(self.running.len());
        self.counts.steps.0 += self.running.len() as u64;
        self.counts.steps.1 += self.options.batch as u64;
        let truncate_after = self.faults.cut_after;
        let mut finished = 0;
        self.running.retain_mut(|completion| {
            completion.sent_tokens += 1;
            if truncate_after.is_some_and(|limit| completion.sent_tokens > limit) {
                completion
                    .sender
                    .try_send(Err(std::io::ErrorKind::ConnectionReset.into()))
                    .ok();
                return false;
            }
            let is_open = completion.send_token();
            let done = completion.sent_tokens >= completion.tokens;
            finished += u64::from(done);
            is_open && !done
        });
        self.counts.whole += finished;
    }

    /// Returns the metrics in Prometheus text format as they were `lag_ms` ago.
    fn metrics(&mut self, now: Instant) -> String {
        let names: Vec<&str> = self
            .running
            .iter()
            .map(|completion| completion.model.as_str())
            .collect();
        let text = format!(
            "vllm:num_requests_running {}\nvllm:num_requests_waiting {}\n\
             vllm:lora_requests_info{{running_lora_adapters=\"{}\"}} 1\n",
            self.running.len(),
            self.waiting.len(),
            names.join(",")
        );
        self.reports.push_back((now, text));
        let lag = Duration::from_millis(self.faults.lag_ms);
        while self.reports.len() > 1 && self.reports[1].0 + lag <= now {
            self.reports.pop_front();
        }
        self.reports
            .front()
            .map(|(_, text)| text.clone())
            .unwrap_or_default()
    }
}

impl Completion {
    /// Sends the next token; returns whether the reader is still connected.
    fn send_token(&self) -> bool {
        let is_last = self.sent_tokens >= self.tokens;
        if !self.is_stream {
            if is_last {
                let text: String = (1..=self.tokens).map(|n| self.token(n)).collect();
                let response = self.choice(&text, Some("stop"));
                return self
                    .sender
                    .try_send(Ok(response.to_string().into_bytes()))
                    .is_ok();
            }
            return !self.sender.is_closed();
        }
        let finish = is_last.then_some("stop");
        let mut bytes = sse::event(
            &self
                .choice(&self.token(self.sent_tokens), finish)
                .to_string(),
        );
        if is_last {
            bytes.extend(sse::event("[DONE]"));
        }
        self.sender.try_send(Ok(bytes)).is_ok()
    }

    fn token(&self, number: u64) -> String {
        if number == 1 {
            format!("[{}]", self.shown_model)
        } else {
            format!(" {number}")
        }
    }

    fn choice(&self, text: &str, finish: Option<&str>) -> Value {
        let mut choice = json!({ "index": 0, "finish_reason": finish });
        if !self.is_chat {
            choice["text"] = json!(text);
        } else if self.is_stream {
            choice["delta"] = json!({ "content": text });
        } else {
            choice["message"] = json!({ "role": "assistant", "content": text });
        }
        json!({
            "id": format!("cmpl-{}", self.id),
            "model": self.model,
            "attempt": self.attempt,
            "choices": [choice],
            "usage": { "completion_tokens": self.sent_tokens },
        })
    }
}
