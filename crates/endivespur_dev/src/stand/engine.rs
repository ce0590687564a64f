//! A stand-in for a model engine: `OpenAI` completions and vLLM's adapter calls.

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

use super::{Executor, PIECES, body, broken, pause_ms};

/// The longest wait for the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(30);
/// The tokens of a completion that names no number.
const DEFAULT_TOKENS: u64 = 16;

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The base model's name.
    pub base: String,
    /// The slots for adapters.
    pub slots: usize,
    /// The most requests in one step.
    pub batch: usize,
    /// The time of a step.
    pub step_ms: u64,
    /// The weight store's address.
    pub weights: Option<String>,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
}

/// The failures that can be switched on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switch {
    /// The next loads fail.
    pub fail_loads: u32,
    /// A request whose prompt holds this text crashes the engine.
    pub crash_on: Option<String>,
    /// The engine crashes at once.
    pub crash: bool,
    /// The time after a crash during which no call is answered.
    pub cold_ms: u64,
    /// The next answers are cut off after this many tokens.
    pub cut_after: Option<u64>,
    /// The next answers carry another attempt's id.
    pub cross: u32,
    /// Each step takes this much longer.
    pub slow_ms: u64,
    /// The load report lags by this much.
    pub lag_ms: u64,
}

/// What the engine has seen; it judges what must always hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Completions begun, by attempt.
    pub runs: BTreeMap<String, u64>,
    /// Completions begun, by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Completions ended with their end mark.
    pub whole: u64,
    /// Loads.
    pub loads: u64,
    /// Each name that was ever loaded.
    pub names: std::collections::BTreeSet<String>,
    /// When a completion was begun last, in milliseconds since the Unix epoch.
    pub last_start_ms: u64,
    /// Unloads of a name with running requests.
    pub evicted_in_use: u64,
    /// Orders refused for an old fencing number.
    pub fenced_off: u64,
    /// Crashes.
    pub crashes: u64,
    /// The most requests running at once.
    pub most_running: usize,
    /// Requests in steps and the room in these steps, for batch efficiency.
    pub steps: (u64, u64),
}

struct Run {
    id: u64,
    name: String,
    /// The name in the text of the answer.
    shown: String,
    tokens: u64,
    sent: u64,
    attempt: String,
    sender: Sender<Chunk>,
    stream: bool,
    chat: bool,
}

struct Engine {
    setup: Setup,
    switch: Switch,
    counts: Counts,
    loaded: BTreeMap<String, Instant>,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    fence: u64,
    next: u64,
    cold_until: Option<Instant>,
    reports: VecDeque<(Instant, String)>,
}

type Shared = Rc<RefCell<Engine>>;

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str, setup: Setup) -> std::io::Result<()> {
    let engine = Rc::new(RefCell::new(Engine {
        setup,
        switch: Switch::default(),
        counts: Counts::default(),
        loaded: BTreeMap::new(),
        running: Vec::new(),
        waiting: VecDeque::new(),
        fence: 0,
        next: 0,
        cold_until: None,
        reports: VecDeque::new(),
    }));
    executor.spawn(work(engine.clone())).detach();
    let handler = http::handler(move |request| answer(engine.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn work(engine: Shared) {
    loop {
        let ms = {
            let engine = engine.borrow();
            engine.setup.step_ms + engine.switch.slow_ms
        };
        pause_ms(ms.max(1)).await;
        engine.borrow_mut().step();
    }
}

async fn answer(engine: Shared, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    if path == "/switch" {
        return switch(&engine, &mut request).await;
    }
    if path == "/counts" {
        return http::json(StatusCode::Ok, &json!(engine.borrow().counts));
    }
    if engine.borrow().is_cold() {
        return broken();
    }
    match path.as_str() {
        "/v1/models" => models(&engine),
        "/metrics" => report(&engine),
        "/v1/load_lora_adapter" => load(&engine, &mut request).await,
        "/v1/unload_lora_adapter" => unload(&engine, &mut request).await,
        "/v1/completions" => complete(&engine, &mut request, false).await,
        "/v1/chat/completions" => complete(&engine, &mut request, true).await,
        _ => http::refusal(StatusCode::NotFound, "unknown path"),
    }
}

async fn switch(engine: &Shared, request: &mut Request) -> Response {
    match body::<Switch>(request).await {
        Ok(switch) => {
            let mut engine = engine.borrow_mut();
            let crash = switch.crash;
            engine.switch = switch;
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
    let base = json!({ "id": engine.setup.base, "object": "model" });
    let adapters = engine
        .loaded
        .keys()
        .map(|name| json!({ "id": name, "object": "model", "parent": engine.setup.base }));
    let data: Vec<Value> = std::iter::once(base).chain(adapters).collect();
    http::json(StatusCode::Ok, &json!({ "object": "list", "data": data }))
}

fn report(engine: &Shared) -> Response {
    let mut answer = Response::new(StatusCode::Ok);
    answer.set_body(engine.borrow_mut().report(Instant::now()));
    answer.insert_header("content-type", "text/plain; version=0.0.4");
    answer
}

/// Refuses an order whose fencing number is older than one seen before.
fn fence_off(engine: &Shared, request: &Request) -> Option<Response> {
    let fence = request
        .header("endivespur-fence")
        .and_then(|value| value.as_str().parse::<u64>().ok())?;
    let mut engine = engine.borrow_mut();
    if engine.setup.fenced && fence < engine.fence {
        engine.counts.fenced_off += 1;
        return Some(http::refusal(
            StatusCode::PreconditionFailed,
            "old fencing number",
        ));
    }
    engine.fence = engine.fence.max(fence);
    None
}

async fn load(engine: &Shared, request: &mut Request) -> Response {
    if let Some(refusal) = fence_off(engine, request) {
        return refusal;
    }
    let call: Value = match body(request).await {
        Ok(call) => call,
        Err(refusal) => return refusal,
    };
    let name = call["lora_name"].as_str().unwrap_or_default().to_string();
    let path = call["lora_path"].as_str().unwrap_or_default().to_string();
    let failures = engine.borrow().switch.fail_loads;
    if failures > 0 {
        engine.borrow_mut().switch.fail_loads = failures - 1;
        return http::refusal(StatusCode::InternalServerError, "the load failed");
    }
    let weights = engine.borrow().setup.weights.clone();
    if let Some(address) = weights {
        let path = format!("/{path}");
        if let Err(error) = client::get_json(&address, &path, WEIGHTS_TIMEOUT).await {
            return http::refusal(StatusCode::ServiceUnavailable, &error.to_string());
        }
    }
    let mut engine = engine.borrow_mut();
    if engine.loaded.len() >= engine.setup.slots && !engine.loaded.contains_key(&name) {
        return http::refusal(StatusCode::Conflict, "each slot is taken");
    }
    engine.counts.loads += 1;
    engine.counts.names.insert(name.clone());
    engine.loaded.insert(name, Instant::now());
    http::json(StatusCode::Ok, &json!("Success"))
}

async fn unload(engine: &Shared, request: &mut Request) -> Response {
    if let Some(refusal) = fence_off(engine, request) {
        return refusal;
    }
    let call: Value = match body(request).await {
        Ok(call) => call,
        Err(refusal) => return refusal,
    };
    let name = call["lora_name"].as_str().unwrap_or_default();
    let mut engine = engine.borrow_mut();
    if engine.loaded.remove(name).is_none() {
        return http::refusal(StatusCode::NotFound, "not loaded");
    }
    if engine.drop_runs(|run| run.name == name) > 0 {
        engine.counts.evicted_in_use += 1;
    }
    http::json(StatusCode::Ok, &json!("Success"))
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|value| value.as_str().to_string())
}

async fn complete(engine: &Shared, request: &mut Request, chat: bool) -> Response {
    let call: Value = match body(request).await {
        Ok(call) => call,
        Err(refusal) => return refusal,
    };
    let attempt = header(request, "endivespur-attempt").unwrap_or_default();
    let name = call["model"].as_str().unwrap_or_default().to_string();
    let stream = call["stream"].as_bool().unwrap_or(false);
    let (sender, body) = channel(PIECES);
    let shown = engine.borrow_mut().shown_attempt(&attempt);
    {
        let mut engine = engine.borrow_mut();
        if name != engine.setup.base && !engine.loaded.contains_key(&name) {
            return http::refusal(StatusCode::NotFound, "the model does not exist");
        }
        if engine.crashes_on(&call) {
            *engine.counts.runs.entry(attempt).or_default() += 1;
            engine.crash();
            return broken();
        }
        if let Some(key) = header(request, "idempotency-key") {
            *engine.counts.keys.entry(key).or_default() += 1;
        }
        *engine.counts.runs.entry(attempt.clone()).or_default() += 1;
        engine.counts.last_start_ms = super::unix_ms();
        engine.next += 1;
        let crossed = shown != attempt;
        let run = Run {
            id: engine.next,
            // A crossed answer is the one to somebody else's request.
            shown: if crossed {
                "other@9.f0".to_string()
            } else {
                name.clone()
            },
            name,
            tokens: call["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS).max(1),
            sent: 0,
            attempt: attempt.clone(),
            sender,
            stream,
            chat,
        };
        engine.waiting.push_back(run);
        // An engine without a step time answers at once, for measuring what lies before it.
        while engine.setup.step_ms == 0 && engine.has_work() {
            engine.step();
        }
    }
    let mut answer = Response::new(StatusCode::Ok);
    answer.insert_header("endivespur-attempt", shown);
    if stream {
        answer.insert_header("content-type", "text/event-stream");
        answer.set_body(body);
        return answer;
    }
    gather(answer, body).await
}

/// Waits for a whole answer, so that a crash shows as a broken connection.
async fn gather(mut answer: Response, mut body: Body) -> Response {
    match endivespur_net::body::read(&mut body, usize::MAX >> 1).await {
        Ok(bytes) if !bytes.is_empty() => {
            answer.set_body(bytes);
            answer.insert_header("content-type", "application/json");
            answer
        }
        _ => broken(),
    }
}

impl Engine {
    fn has_work(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    fn is_cold(&self) -> bool {
        self.cold_until.is_some_and(|until| until > Instant::now())
    }

    fn crashes_on(&self, call: &Value) -> bool {
        let text = call["prompt"].to_string() + &call["messages"].to_string();
        self.switch
            .crash_on
            .as_ref()
            .is_some_and(|mark| text.contains(mark))
    }

    fn shown_attempt(&mut self, attempt: &str) -> String {
        if self.switch.cross == 0 {
            return attempt.to_string();
        }
        self.switch.cross -= 1;
        "crossed".to_string()
    }

    fn crash(&mut self) {
        self.counts.crashes += 1;
        self.loaded.clear();
        self.drop_runs(|_| true);
        self.cold_until = Some(Instant::now() + Duration::from_millis(self.switch.cold_ms));
    }

    fn drop_runs(&mut self, take: impl Fn(&Run) -> bool) -> usize {
        let before = self.running.len() + self.waiting.len();
        for run in self
            .running
            .iter()
            .chain(&self.waiting)
            .filter(|run| take(run))
        {
            run.sender
                .try_send(Err(std::io::ErrorKind::ConnectionReset.into()))
                .ok();
            run.sender.close();
        }
        self.running.retain(|run| !take(run));
        self.waiting.retain(|run| !take(run));
        before - self.running.len() - self.waiting.len()
    }

    /// Makes one token of each running request.
    fn step(&mut self) {
        while self.running.len() < self.setup.batch
            && let Some(run) = self.waiting.pop_front()
        {
            self.running.push(run);
        }
        if self.running.is_empty() {
            return;
        }
        self.counts.most_running = self.counts.most_running.max(self.running.len());
        self.counts.steps.0 += self.running.len() as u64;
        self.counts.steps.1 += self.setup.batch as u64;
        let cut = self.switch.cut_after;
        let mut whole = 0;
        self.running.retain_mut(|run| {
            run.sent += 1;
            if cut.is_some_and(|cut| run.sent > cut) {
                run.sender
                    .try_send(Err(std::io::ErrorKind::ConnectionReset.into()))
                    .ok();
                return false;
            }
            let open = run.send();
            let done = run.sent >= run.tokens;
            whole += u64::from(done);
            open && !done
        });
        self.counts.whole += whole;
    }

    /// Returns the load report, as old as the switched lag.
    fn report(&mut self, now: Instant) -> String {
        let names: Vec<&str> = self.running.iter().map(|run| run.name.as_str()).collect();
        let text = format!(
            "vllm:num_requests_running {}\nvllm:num_requests_waiting {}\n\
             vllm:lora_requests_info{{running_lora_adapters=\"{}\"}} 1\n",
            self.running.len(),
            self.waiting.len(),
            names.join(",")
        );
        self.reports.push_back((now, text));
        let lag = Duration::from_millis(self.switch.lag_ms);
        while self.reports.len() > 1 && self.reports[1].0 + lag <= now {
            self.reports.pop_front();
        }
        self.reports
            .front()
            .map(|(_, text)| text.clone())
            .unwrap_or_default()
    }
}

impl Run {
    /// Sends the next token; tells whether the reader is still there.
    fn send(&self) -> bool {
        let last = self.sent >= self.tokens;
        if !self.stream {
            if last {
                let text: String = (1..=self.tokens).map(|n| self.token(n)).collect();
                let whole = self.choice(&text, Some("stop"));
                return self
                    .sender
                    .try_send(Ok(whole.to_string().into_bytes()))
                    .is_ok();
            }
            return !self.sender.is_closed();
        }
        let finish = last.then_some("stop");
        let mut bytes = sse::event(&self.choice(&self.token(self.sent), finish).to_string());
        if last {
            bytes.extend(sse::event("[DONE]"));
        }
        self.sender.try_send(Ok(bytes)).is_ok()
    }

    fn token(&self, number: u64) -> String {
        if number == 1 {
            format!("[{}]", self.shown)
        } else {
            format!(" {number}")
        }
    }

    fn choice(&self, text: &str, finish: Option<&str>) -> Value {
        let mut choice = json!({ "index": 0, "finish_reason": finish });
        if !self.chat {
            choice["text"] = json!(text);
        } else if self.stream {
            choice["delta"] = json!({ "content": text });
        } else {
            choice["message"] = json!({ "role": "assistant", "content": text });
        }
        json!({
            "id": format!("cmpl-{}", self.id),
            "model": self.name,
            "attempt": self.attempt,
            "choices": [choice],
            "usage": { "completion_tokens": self.sent },
        })
    }
}
