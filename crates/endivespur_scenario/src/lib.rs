//! The scenario language: a test site, steps at given times, and the expected results.
//!
//! A file is read line by line. `#` starts a comment. Setup lines declare the parts of a
//! site, lines that start with `at` are steps, and lines that start with `expect` are
//! conditions that must hold at the end.

mod parse;

pub use endivespur_core::line::Finding;
pub use parse::parse;

use std::time::Duration;

/// An engine of the site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The endpoint's name.
    pub name: String,
    /// The zone.
    pub zone: String,
    /// The number of slots.
    pub slots: usize,
    /// The maximum number of requests in an engine's step.
    pub batch: usize,
    /// The duration of an engine's step.
    pub step: Duration,
    /// Whether the engine enforces fencing numbers.
    pub fenced: bool,
}

/// An adapter of the site, with versions 1 and 2.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// The name.
    pub name: String,
    /// The permitted zones; an empty list permits every zone.
    pub zones: Vec<String>,
}

/// A part of the site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// An entry VM: name and zone.
    Vm(String, String),
    /// A model engine.
    Engine(Engine),
    /// A plain endpoint of the service `orders`: name and zone.
    Plain(String, String),
    /// An adapter.
    Adapter(Adapter),
}

/// A completion or a call that runs at most once, sent by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The name by which `expect` statements refer to the request.
    pub id: String,
    /// The entry VM.
    pub vm: String,
    /// The adapter and version as `ADAPTER@VERSION`, for a completion.
    pub model: Option<String>,
    /// The number of tokens to generate.
    pub tokens: u64,
    /// The prompt, or the last message of a chat.
    pub prompt: String,
    /// The first message of a chat, which other requests may share.
    pub first_message: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether the caller disconnects before the response is complete.
    pub disconnects: bool,
}

/// An operation on the process of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// The process starts.
    Start,
    /// The process is killed.
    Kill,
    /// The process is suspended.
    Pause,
    /// The suspended process is resumed.
    Resume,
    /// The process is asked to stop.
    Stop,
}

/// A fault that is injected into the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store answers no call.
    Down,
    /// All faults end.
    Up,
    /// The next writes take effect, but their responses are lost.
    LoseResponses(u32),
    /// Watches send no events.
    SilentWatches,
    /// The lease of a VM expires at once.
    ExpireLease(String),
}

/// A fault that is injected into an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointFault {
    /// The engine crashes and accepts no call for a time.
    Crash(Duration),
    /// The next loads fail.
    FailLoads(u32),
    /// Responses are truncated after some tokens.
    TruncateAfter(u64),
    /// The next responses carry the id of another attempt.
    WrongAttemptId(u32),
    /// Prompts that contain a text crash the engine.
    CrashOn(String),
    /// A plain endpoint executes the next calls, but their responses are lost.
    LoseResponses(u32),
    /// Each call of a plain endpoint takes this long.
    ProcessingTime(Duration),
}

/// One action of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A caller sends a request.
    Request(Request),
    /// Applies an operation to the process of a VM.
    Vm(Operation, String),
    /// Injects a fault into the store.
    Store(StoreFault),
    /// Partitions a VM from the store (`true`), or heals the partition (`false`).
    Partition(String, bool),
    /// Injects a fault into an endpoint.
    Endpoint(String, EndpointFault),
    /// An operator drains an endpoint.
    Drain(String),
    /// The VM list shows an endpoint's VM as leaving.
    Leaving(String),
    /// An operator retires a version.
    Retire(String),
}

/// An action and the time at which it is executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The time since the start of the scenario.
    pub at: Duration,
    /// The line in the file.
    pub line: usize,
    /// The action.
    pub action: Action,
}

/// A condition that must hold at the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// A request ended with one of the outcomes, on the given endpoint if there is one.
    Outcome {
        /// The request.
        id: String,
        /// The permitted outcomes, as written in the file.
        outcomes: Vec<String>,
        /// The endpoint on which it must have run.
        on: Option<String>,
    },
    /// A request's response was replayed from the ledger.
    Replayed(String),
    /// A request received its response within a time.
    Within(String, Duration),
    /// The calls with an idempotency key ran this many times in total.
    Runs(String, u64),
    /// All endpoints together crashed at most this many times.
    Crashes(u64),
    /// The process of a VM that was asked to stop exited by itself and aborted no request.
    Clean(String),
    /// Each endpoint has a live owner.
    Owned,
}

/// An `expect` statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectStatement {
    /// The line in the file.
    pub line: usize,
    /// The condition.
    pub expectation: Expectation,
}

/// A parsed scenario file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scenario {
    /// The seed of all random choices.
    pub seed: u64,
    /// The parts of the site.
    pub parts: Vec<Part>,
    /// The steps in the order of the file.
    pub steps: Vec<Step>,
    /// The conditions that must hold at the end.
    pub expectations: Vec<ExpectStatement>,
}
