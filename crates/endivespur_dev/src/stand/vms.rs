//! A stand-in for the platform's lagging list of VMs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use endivespur_net::http;
use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Executor, body};

/// The states that the list can show of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The VM runs.
    Live,
    /// The VM is about to stop.
    Leaving,
    /// The VM is gone.
    Gone,
}

/// A change of the list, shown after the lag.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The name of the VM.
    pub name: String,
    /// Its new state.
    pub state: State,
}

#[derive(Default)]
struct List {
    shown: BTreeMap<String, State>,
    later: Vec<(Instant, Change)>,
    lag: Duration,
}

/// Runs the stand-in until the process ends; changes show after `lag_ms`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str, lag_ms: u64) -> std::io::Result<()> {
    let list = Rc::new(RefCell::new(List {
        lag: Duration::from_millis(lag_ms),
        ..List::default()
    }));
    let handler = http::handler(move |request| answer(list.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn answer(list: Rc<RefCell<List>>, mut request: Request) -> Response {
    if request.url().path() == "/switch" {
        return match body::<Change>(&mut request).await {
            Ok(change) => {
                let mut list = list.borrow_mut();
                let at = Instant::now() + list.lag;
                list.later.push((at, change));
                http::json(StatusCode::Ok, &json!({}))
            }
            Err(refusal) => refusal,
        };
    }
    let mut list = list.borrow_mut();
    list.show(Instant::now());
    let vms: Vec<_> = list
        .shown
        .iter()
        .map(|(name, state)| json!({ "name": name, "state": state }))
        .collect();
    http::json(StatusCode::Ok, &json!({ "vms": vms }))
}

impl List {
    fn show(&mut self, now: Instant) {
        let (due, later): (Vec<_>, Vec<_>) = self.later.drain(..).partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, change) in due {
            self.shown.insert(change.name, change.state);
        }
    }
}
