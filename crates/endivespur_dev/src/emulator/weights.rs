//! An emulator of a region's rate-limited weight store.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use endivespur_net::http;
use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Executor, sleep_ms};

/// The duration of a load at full speed.
const LOAD_MS: u64 = 250;
/// The maximum number of concurrent loads at full speed; beyond it loads take
/// proportionally longer.
const FULL_SPEED_LOADS: u64 = 8;
/// The maximum number of loads started in [`WINDOW`]: two a second, plus one that a
/// network delay moves into the window.
const MAX_STARTS: usize = 5;
/// The period over which the rate limit applies.
const WINDOW: Duration = Duration::from_secs(2);

/// Counters of the loads requested.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Completed loads.
    pub loads: u64,
    /// Loads refused by the rate limit.
    pub refused: u64,
    /// The maximum number of loads in transit at once.
    pub most_in_transit: u64,
}

#[derive(Default)]
struct Store {
    counts: Counts,
    starts: VecDeque<Instant>,
    in_transit: u64,
}

/// Runs the emulator until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str) -> std::io::Result<()> {
    let store = Rc::new(RefCell::new(Store::default()));
    let handler = http::handler(move |request| handle(store.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn handle(store: Rc<RefCell<Store>>, request: Request) -> Response {
    if request.url().path() == "/counts" {
        return http::json(StatusCode::Ok, &json!(store.borrow().counts));
    }
    let Some(duration_ms) = store.borrow_mut().start_load(Instant::now()) else {
        return http::refusal(StatusCode::TooManyRequests, "2 loads a second");
    };
    sleep_ms(duration_ms).await;
    let mut store = store.borrow_mut();
    store.in_transit -= 1;
    store.counts.loads += 1;
    http::json(StatusCode::Ok, &json!({ "weights": request.url().path() }))
}

impl Store {
    /// Starts a load and returns its duration in milliseconds, or `None` if the rate limit is
    /// exceeded.
    fn start_load(&mut self, now: Instant) -> Option<u64> {
        while self.starts.front().is_some_and(|at| *at + WINDOW <= now) {
            self.starts.pop_front();
        }
        if self.starts.len() >= MAX_STARTS {
            self.counts.refused += 1;
            return None;
        }
        self.starts.push_back(now);
        self.in_transit += 1;
        self.counts.most_in_transit = self.counts.most_in_transit.max(self.in_transit);
        Some(LOAD_MS * self.in_transit.max(FULL_SPEED_LOADS) / FULL_SPEED_LOADS)
    }
}
