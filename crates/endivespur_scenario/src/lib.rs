//! The scenario language: a site, steps at given times, and what is expected.
//!
//! A file is read line by line. `#` starts a comment. Setup lines name the parts of a
//! site, lines that start with `at` are steps, and lines that start with `expect` say
//! what must hold at the end.

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
    /// The slots.
    pub slots: usize,
    /// The most requests in a step.
    pub batch: usize,
    /// The time of a step.
    pub step: Duration,
    /// Whether fencing numbers are enforced.
    pub fenced: bool,
}

/// An adapter of the site, with versions 1 and 2.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// The name.
    pub name: String,
    /// The permitted zones; none permits all.
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

/// A completion or order of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The name under which the answer is expected.
    pub id: String,
    /// The entry VM.
    pub vm: String,
    /// The adapter with its version, for a completion.
    pub model: Option<String>,
    /// The tokens to generate.
    pub tokens: u64,
    /// The prompt.
    pub prompt: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether the caller leaves before the answer is whole.
    pub disconnects: bool,
}

/// What happens to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// The process starts.
    Start,
    /// The process is killed.
    Kill,
    /// The process is suspended.
    Pause,
    /// The process goes on.
    Resume,
    /// The process is asked to stop.
    Stop,
}

/// A failure switched on at the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// No call is answered.
    Down,
    /// All is well.
    Up,
    /// The next writes take effect and their answers are lost.
    LoseResponses(u32),
    /// Watches tell nothing.
    SilentWatches,
    /// A VM's lease lapses at once.
    ExpireLease(String),
}

/// A failure of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointFault {
    /// The engine crashes and is cold for a time.
    Crash(Duration),
    /// The next loads fail.
    FailLoads(u32),
    /// Answers are cut off after some tokens.
    TruncateAfter(u64),
    /// The next answers carry another attempt's id.
    WrongAttemptId(u32),
    /// Prompts with a text crash the engine.
    CrashOn(String),
    /// The next answers of a plain endpoint are lost after the run.
    LoseResponses(u32),
    /// Each call of a plain endpoint takes a time.
    ProcessingTime(Duration),
}

/// One action of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A caller's request.
    Request(Request),
    /// Something happens to a VM.
    Vm(Operation, String),
    /// Something happens to the store.
    Store(StoreFault),
    /// Partitions a VM from the store (`true`), or heals the partition (`false`).
    Partition(String, bool),
    /// Something happens to an endpoint.
    Endpoint(String, EndpointFault),
    /// An operator drains an endpoint.
    Drain(String),
    /// The VM list shows an endpoint's VM as leaving.
    Leaving(String),
    /// An operator retires a version.
    Retire(String),
}

/// A step at a virtual or real time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The time since the start.
    pub at: Duration,
    /// The line in the file.
    pub line: usize,
    /// What happens.
    pub action: Action,
}

/// What must hold at the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// A request ended with one of the outcomes, maybe on a given endpoint.
    Outcome {
        /// The request.
        id: String,
        /// The permitted outcomes.
        outcomes: Vec<String>,
        /// The endpoint.
        on: Option<String>,
    },
    /// A request's answer was replayed from the ledger.
    Replayed(String),
    /// A request was answered within a time.
    Within(String, Duration),
    /// A key ran this often.
    Runs(String, u64),
    /// The endpoints crashed this often together, at most.
    Crashes(u64),
    /// A stopped VM ended by itself, having cut off nothing.
    Clean(String),
    /// Each endpoint has a live owner.
    Owned,
}

/// An expectation with its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectStatement {
    /// The line in the file.
    pub line: usize,
    /// What must hold.
    pub expectation: Expectation,
}

/// A whole scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scenario {
    /// The seed of everything random.
    pub seed: u64,
    /// The parts of the site.
    pub parts: Vec<Part>,
    /// The steps in the order of the file.
    pub steps: Vec<Step>,
    /// What must hold at the end.
    pub expectations: Vec<ExpectStatement>,
}
