//! Hedged requests: when a second endpoint is asked for a request that may run more than once, and which of the two
//! answers is taken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::clock::{self, Time};
use crate::id::Service;

/// The largest share of extra requests.
pub const MAX_SHARE: f64 = 0.2;

/// The quantile of the latencies after which a second endpoint is asked. One in twenty requests gets that far, so that
/// small shares serve most of them, and a second run of usual length still ends within an objective near the 99th
/// percentile. After the 99th percentile it would end later than that.
const QUANTILE: f64 = 0.95;
/// The least delay in median latencies. Where latencies differ little, the first run ends sooner than a second one that
/// is sent at the quantile: without this bound hardly any hedge won, and none was left for requests that were slow.
const MIN_MEDIANS: f64 = 2.0;
/// The time after which a histogram of latencies is replaced. At 2 requests a second it holds about 60.
const WINDOW: Duration = Duration::from_secs(30);
/// The latencies below which no quantile is known: with fewer, the 95th percentile is the largest one.
const MIN_COUNT: u64 = 20;
/// The unit of latencies.
const UNIT: Duration = Duration::from_micros(100);
/// The time after which the quantile is computed again, which takes some 10 microseconds.
const REFRESH_TIME: Duration = Duration::from_millis(250);
/// The longest latency that is told from longer ones.
const MAX_LATENCY: Duration = Duration::from_mins(1);
/// The decimal digits of a latency that are kept.
const DIGITS: u8 = 2;
/// The hedges that may be sent in a row.
const MAX_TOKENS: f64 = 3.0;
/// The time after a refusal in which the service counts as overloaded.
const REFUSAL_TIME: Duration = Duration::from_secs(2);
/// The share of a service's endpoints with waiting requests from which on the service counts as overloaded.
const WAITING_SHARE: f64 = 0.5;

/// Why no second endpoint is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The extra requests have used up their share.
    Share,
    /// The extra work would make others wait.
    Overload,
}

impl Denial {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Share => "share",
            Self::Overload => "overload",
        }
    }
}

/// The requests that wait at the endpoints of a service, as far as they are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// The service's endpoints.
    pub endpoints: usize,
    /// Those that have reported recently that requests wait there.
    pub waiting: usize,
    /// Whether the second endpoint is one of them, or has no free slot.
    pub is_target_full: bool,
}

#[derive(Clone, Debug)]
struct Record {
    /// The latencies since `since`, in [`UNIT`]s.
    current: Histogram<u32>,
    /// Those of the window before.
    previous: Histogram<u32>,
    since: Time,
    /// The delay for hedges, and when it was computed.
    delay: Option<(Duration, Time)>,
    tokens: f64,
    refused_at: Option<Time>,
}

impl Record {
    fn new(now: Time) -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            since: now,
            delay: None,
            tokens: 0.0,
            refused_at: None,
        }
    }

    /// Forgets the latencies of earlier windows.
    fn rotate(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed < WINDOW {
            return;
        }
        self.previous.reset();
        if elapsed < 2 * WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
        } else {
            self.current.reset();
        }
        self.since = now;
    }

    /// Returns the smallest latency below which the share [`QUANTILE`] of both windows is.
    fn delay(&mut self, now: Time) -> Option<Duration> {
        if let Some((delay, at)) = self.delay
            && now.saturating_sub(at) < REFRESH_TIME
        {
            return Some(delay);
        }
        let count = self.current.len() + self.previous.len();
        if count < MIN_COUNT {
            return None;
        }
        let mut merged = self.current.clone();
        merged.add(&self.previous).ok()?;
        let median = merged.value_at_quantile(0.5) as f64;
        let delay = merged.value_at_quantile(QUANTILE) as f64;
        let delay = clock::scale(UNIT, delay.max(MIN_MEDIANS * median));
        self.delay = Some((delay, now));
        Some(delay)
    }
}

fn histogram() -> Histogram<u32> {
    let max = units(MAX_LATENCY);
    // The bounds are constants within the range of the library.
    Histogram::new_with_bounds(1, max, DIGITS).expect("valid bounds")
}

fn units(latency: Duration) -> u64 {
    (latency.min(MAX_LATENCY).as_nanos() / UNIT.as_nanos()) as u64
}

/// The latencies and the extra requests of each service.
#[derive(Clone, Debug)]
pub struct Tracker {
    share: f64,
    records: BTreeMap<Service, Record>,
}

impl Tracker {
    /// Creates a tracker that permits a share of extra requests, at most [`MAX_SHARE`].
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, MAX_SHARE),
            records: BTreeMap::new(),
        }
    }

    /// Returns whether there are hedges at all.
    pub fn is_enabled(&self) -> bool {
        self.share > 0.0
    }

    /// Records a request that may be hedged; returns the delay after which a second endpoint may be asked for it, if
    /// the latencies of its service are known.
    pub fn request(&mut self, now: Time, service: &str) -> Option<Duration> {
        let share = self.share;
        let record = self.record(now, service)?;
        record.tokens = (record.tokens + share).min(MAX_TOKENS);
        record.delay(now)
    }

    /// Records how long an endpoint took to answer, or at least took until its run was cancelled.
    pub fn record_latency(&mut self, now: Time, service: &str, took: Duration) {
        if let Some(record) = self.record(now, service) {
            record.current.saturating_record(units(took).max(1));
        }
    }

    /// Records that an endpoint of the service, or this gateway, refused a request since there was no room.
    pub fn record_refusal(&mut self, now: Time, service: &str) {
        if let Some(record) = self.record(now, service) {
            record.refused_at = Some(now);
        }
    }

    /// Takes a hedge from the share.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn withdraw(&mut self, now: Time, service: &str, waiting: Waiting) -> Result<(), Denial> {
        let record = self.record(now, service).ok_or(Denial::Share)?;
        let is_refusing = record
            .refused_at
            .is_some_and(|at| now.saturating_sub(at) < REFUSAL_TIME);
        let is_waiting = waiting.waiting > 0
            && waiting.waiting as f64 >= WAITING_SHARE * waiting.endpoints as f64;
        if is_refusing || is_waiting || waiting.is_target_full {
            return Err(Denial::Overload);
        }
        if record.tokens < 1.0 {
            return Err(Denial::Share);
        }
        record.tokens -= 1.0;
        Ok(())
    }

    /// Removes the services for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|service, _| keep(service));
    }

    fn record(&mut self, now: Time, service: &str) -> Option<&mut Record> {
        if !self.is_enabled() {
            return None;
        }
        if !self.records.contains_key(service) {
            self.records.insert(service.to_string(), Record::new(now));
        }
        let record = self.records.get_mut(service)?;
        record.rotate(now);
        Some(record)
    }
}

/// One of the two runs of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Run {
    /// The first one.
    First,
    /// The hedge.
    Hedge,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a complete answer that is no failure.
    Good,
    /// Without one, and it may have run.
    Failed,
    /// The endpoint did not run the request.
    NotRun,
}

/// What is to be done after a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The run's answer is taken, and the other run is cancelled.
    Take,
    /// The other run goes on.
    Wait,
    /// No run is left.
    Over,
}

/// The runs of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Race {
    running: BTreeSet<Run>,
    is_hedged: bool,
    may_have_run: bool,
    is_over: bool,
}

impl Race {
    /// Creates a race whose first run has been sent.
    pub fn new() -> Self {
        Self {
            running: BTreeSet::from([Run::First]),
            is_hedged: false,
            may_have_run: false,
            is_over: false,
        }
    }

    /// Starts the hedge; returns whether it may be sent: once, and while the first run goes on.
    pub fn start_hedge(&mut self) -> bool {
        if self.is_hedged || self.is_over || !self.running.contains(&Run::First) {
            return false;
        }
        self.is_hedged = true;
        self.running.insert(Run::Hedge);
        true
    }

    /// Records how a run ended. A run that is not going on, since it has ended or was cancelled, changes nothing.
    pub fn ended(&mut self, run: Run, end: End) -> Step {
        if !self.running.remove(&run) {
            return if self.is_over { Step::Over } else { Step::Wait };
        }
        self.may_have_run |= end != End::NotRun;
        if end == End::Good {
            self.running.clear();
            self.is_over = true;
            return Step::Take;
        }
        self.is_over = self.running.is_empty();
        if self.is_over { Step::Over } else { Step::Wait }
    }

    /// Returns whether an endpoint may have begun to run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || !self.running.is_empty()
    }
}

impl Default for Race {
    fn default() -> Self {
        Self::new()
    }
}
