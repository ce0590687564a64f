//! An emulator of the platform's VM list, which lags behind the real state.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use endivespur_net::http;
use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Executor, read_json};

/// The state of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The VM runs.
    Live,
    /// The VM is about to stop.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// A change of a VM's state that becomes visible after the lag.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The VM's name.
    pub name: String,
    /// The new state.
    pub state: State,
}

#[derive(Default)]
struct List {
    visible: BTreeMap<String, State>,
    pending: Vec<(Instant, Change)>,
    lag: Duration,
}

/// Runs the emulator until the process ends; changes become visible after `lag_ms`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str, lag_ms: u64) -> std::io::Result<()> {
    let list = Rc::new(RefCell::new(List {
        lag: Duration::from_millis(lag_ms),
        ..List::default()
    }));
    let handler = http::handler(move |request| handle(list.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn handle(list: Rc<RefCell<List>>, mut request: Request) -> Response {
    if request.url().path() == "/switch" {
        return match read_json::<Change>(&mut request).await {
            Ok(change) => {
                let mut list = list.borrow_mut();
                let at = Instant::now() + list.lag;
                list.pending.push((at, change));
                http::json(StatusCode::Ok, &json!({}))
            }
            Err(refusal) => refusal,
        };
    }
    let mut list = list.borrow_mut();
    list.apply_due(Instant::now());
    let vms: Vec<_> = list
        .visible
        .iter()
        .map(|(name, state)| json!({ "name": name, "state": state }))
        .collect();
    http::json(StatusCode::Ok, &json!({ "vms": vms }))
}

impl List {
    fn apply_due(&mut self, now: Instant) {
        let (due, pending): (Vec<_>, Vec<_>) =
            self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = pending;
        for (_, change) in due {
            self.visible.insert(change.name, change.state);
        }
    }
}
