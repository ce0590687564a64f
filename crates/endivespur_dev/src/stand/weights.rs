//! A stand-in for the rate-limited weight store of a region.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use endivespur_net::http;
use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Executor, pause_ms};

/// The time of a load at full speed.
const LOAD_MS: u64 = 250;
/// The most loads in transit at full speed.
const TRANSIT: u64 = 8;
/// The most loads begun in [`WINDOW`]: two a second, and one for a request on its way.
const BURST: usize = 5;
/// The time over which the rate is judged.
const WINDOW: Duration = Duration::from_secs(2);

/// What the weight store has seen.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Loads served.
    pub loads: u64,
    /// Loads refused because the rate was exceeded.
    pub refused: u64,
    /// The most loads in transit at once.
    pub most_in_transit: u64,
}

#[derive(Default)]
struct Weights {
    counts: Counts,
    begun: VecDeque<Instant>,
    in_transit: u64,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str) -> std::io::Result<()> {
    let weights = Rc::new(RefCell::new(Weights::default()));
    let handler = http::handler(move |request| answer(weights.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn answer(weights: Rc<RefCell<Weights>>, request: Request) -> Response {
    if request.url().path() == "/counts" {
        return http::json(StatusCode::Ok, &json!(weights.borrow().counts));
    }
    let Some(ms) = weights.borrow_mut().begin(Instant::now()) else {
        return http::refusal(StatusCode::TooManyRequests, "2 loads a second");
    };
    pause_ms(ms).await;
    let mut weights = weights.borrow_mut();
    weights.in_transit -= 1;
    weights.counts.loads += 1;
    http::json(StatusCode::Ok, &json!({ "weights": request.url().path() }))
}

impl Weights {
    /// Begins a load and returns its time, or nothing if the rate is exceeded.
    fn begin(&mut self, now: Instant) -> Option<u64> {
        while self.begun.front().is_some_and(|at| *at + WINDOW <= now) {
            self.begun.pop_front();
        }
        if self.begun.len() >= BURST {
            self.counts.refused += 1;
            return None;
        }
        self.begun.push_back(now);
        self.in_transit += 1;
        self.counts.most_in_transit = self.counts.most_in_transit.max(self.in_transit);
        Some(LOAD_MS * self.in_transit.max(TRANSIT) / TRANSIT)
    }
}
