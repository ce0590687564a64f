//! An engine that reads prompts in chunks between the tokens of its streams, and the requests of a class.

use std::collections::VecDeque;
use std::time::Duration;

use endivespur_core::clock;
use endivespur_core::gateway::endpoint::Weights;
use endivespur_core::gateway::prefix::Part;

/// The duration of a step without prompt tokens.
const STEP_TIME: Duration = Duration::from_micros(5_050);
/// The prompt tokens that an engine reads in a second.
pub const TOKENS_PER_SECOND: u32 = 40_800;
/// The maximum number of prompt tokens read in one step.
const CHUNK_TOKENS: u64 = 1_024;
/// That of engines which differ in pace.
const LARGE_CHUNK_TOKENS: u64 = 2_048;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The requests that arrive in a second.
    pub rate: f64,
    /// How long more arrive, from the fifth second on.
    pub burst: Duration,
    /// How many times as many arrive then.
    pub burst_factor: f64,
    /// The prompt tokens that all its requests share.
    pub shared_tokens: u32,
    /// The other prompt tokens of a request.
    pub own_tokens: u32,
    /// The tokens of a response.
    pub output_tokens: u64,
    /// The time within which the first token is wanted.
    pub objective: Duration,
    /// The time after which the caller leaves.
    pub deadline: Duration,
    /// The team of the callers; empty if they have none.
    pub team: &'static str,
    /// How often a caller repeats a request that is refused, at once.
    pub retries: u32,
}

impl Class {
    /// Returns the parts of the prompt of a request with this number.
    pub fn parts(&self, number: u64) -> Vec<Part> {
        vec![
            Part {
                id: format!("shared-{}", self.shared_tokens),
                tokens: self.shared_tokens,
            },
            Part {
                id: format!("own-{number}"),
                tokens: self.own_tokens,
            },
        ]
    }
}

/// The tokens of one event of a stream.
const TOKENS_PER_EVENT: u64 = 8;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The owner's grant.
    pub grant: u64,
    /// The adapter.
    pub weights: Weights,
    /// When its caller wants the first token.
    pub objective: Duration,
    /// When its caller leaves.
    pub deadline: Duration,
    /// The prompt tokens that the engine has not read yet.
    pub prompt_left: u64,
    /// The tokens of the response that it has not written yet.
    pub output_left: u64,
    /// The team of its caller.
    pub team: &'static str,
    /// The tokens of its prompt.
    pub tokens: u64,
    /// Whether its first token was late.
    pub is_late: bool,
    /// The tokens that it has written since its last event.
    pub pending_tokens: u64,
    /// The time of its last event.
    pub last_event: Option<Duration>,
    /// The longest pause between two of its events.
    pub longest_pause: Duration,
}

impl Run {
    /// Writes a token at a time.
    fn write(&mut self, now: Duration) {
        self.output_left -= 1;
        self.pending_tokens += 1;
        if self.pending_tokens < TOKENS_PER_EVENT && self.output_left > 0 {
            return;
        }
        self.pending_tokens = 0;
        let pause = now.saturating_sub(self.last_event.unwrap_or(now));
        self.longest_pause = self.longest_pause.max(pause);
        self.last_event = Some(now);
    }
}

/// What happened in a step.
#[derive(Debug, Default)]
pub struct Events {
    /// The runs whose responses began.
    pub started: Vec<Run>,
    /// The runs whose responses are complete.
    pub completed: Vec<Run>,
    /// The runs whose callers left.
    pub given_up: Vec<Run>,
}

/// A time in which an engine is slower than usual.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Its start.
    pub start: Duration,
    /// Its end.
    pub end: Duration,
    /// How many times as long work takes.
    pub factor: f64,
}

/// An engine that reads prompts in the order of their arrival.
#[derive(Debug)]
pub struct Engine {
    prompts: VecDeque<Run>,
    streams: Vec<Run>,
    pace: f64,
    moments: Vec<Moment>,
    chunk_tokens: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new() -> Self {
        Self {
            prompts: VecDeque::new(),
            streams: Vec::new(),
            pace: 1.0,
            moments: Vec::new(),
            chunk_tokens: CHUNK_TOKENS,
        }
    }

    /// Sets its usual pace, as a share of the others' one, and the times in which it is slower.
    pub fn with_pace(mut self, pace: f64, moments: Vec<Moment>) -> Self {
        self.pace = pace;
        self.moments = moments;
        self.chunk_tokens = LARGE_CHUNK_TOKENS;
        self
    }

    /// Returns its usual pace, as a share of the others' one.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Returns how many times as long as usual work takes at a time.
    pub fn slowness(&self, now: Duration) -> f64 {
        let moments = self.moments.iter();
        let current = moments.filter(|moment| (moment.start..moment.end).contains(&now));
        current.map(|moment| moment.factor).fold(1.0, f64::max)
    }

    /// Adds a request.
    pub fn add(&mut self, run: Run) {
        self.prompts.push_back(run);
    }

    /// Makes one step; returns its end and what happened until then.
    pub fn step(&mut self, now: Duration) -> (Duration, Events) {
        let mut events = Events::default();
        let mut chunk = 0;
        while chunk < self.chunk_tokens
            && let Some(run) = self.prompts.front_mut()
        {
            let read = run.prompt_left.min(self.chunk_tokens - chunk);
            run.prompt_left -= read;
            chunk += read;
            if run.prompt_left == 0 {
                events.started.extend(self.prompts.pop_front());
            }
        }
        let prompt_time = clock::from_secs(chunk as f64 / f64::from(TOKENS_PER_SECOND));
        let end = now + clock::scale(STEP_TIME + prompt_time, self.slowness(now) / self.pace);
        for run in &mut events.started {
            run.is_late = end > run.objective;
        }
        self.streams.extend(events.started.iter().cloned());
        for run in &mut self.streams {
            run.write(end);
        }
        let is_complete = |run: &mut Run| run.output_left == 0;
        events.completed = self.streams.extract_if(.., is_complete).collect();
        events.given_up = self
            .streams
            .extract_if(.., |run| run.deadline <= end)
            .collect();
        let (left, kept) = self.prompts.drain(..).partition(|run| run.deadline <= end);
        self.prompts = kept;
        let left: VecDeque<Run> = left;
        events.given_up.extend(left);
        (end, events)
    }
}
