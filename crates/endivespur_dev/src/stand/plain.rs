//! A stand-in for a plain service that counts its runs by key.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use endivespur_net::http;
use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Executor, body, broken, pause_ms};

/// The failures that can be switched on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switch {
    /// The time that each call takes.
    pub work_ms: u64,
    /// The next calls run and their answers are lost.
    pub lose_answers: u32,
    /// The next calls are refused before they run.
    pub refuse: u32,
}

#[derive(Default)]
struct Plain {
    switch: Switch,
    runs: BTreeMap<String, u64>,
    running: u64,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str) -> std::io::Result<()> {
    let plain = Rc::new(RefCell::new(Plain::default()));
    let handler = http::handler(move |request| answer(plain.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn answer(plain: Rc<RefCell<Plain>>, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    match path.as_str() {
        "/switch" => {
            return match body::<Switch>(&mut request).await {
                Ok(switch) => {
                    plain.borrow_mut().switch = switch;
                    http::json(StatusCode::Ok, &json!({}))
                }
                Err(refusal) => refusal,
            };
        }
        "/counts" => {
            let plain = plain.borrow();
            return http::json(
                StatusCode::Ok,
                &json!({ "runs": plain.runs, "running": plain.running }),
            );
        }
        _ => {}
    }
    let left = plain.borrow().switch.refuse;
    if left > 0 {
        plain.borrow_mut().switch.refuse = left - 1;
        return http::refusal(StatusCode::ServiceUnavailable, "refused before running");
    }
    let key = request
        .header("idempotency-key")
        .map_or_else(|| path.clone(), |value| value.as_str().to_string());
    let attempt = request
        .header("endivespur-attempt")
        .map(|value| value.as_str().to_string());
    let (ms, run) = plain.borrow_mut().begin(&key);
    pause_ms(ms).await;
    plain.borrow_mut().running -= 1;
    let left = plain.borrow().switch.lose_answers;
    if left > 0 {
        plain.borrow_mut().switch.lose_answers = left - 1;
        return broken();
    }
    let mut answer = http::json(
        StatusCode::Ok,
        &json!({ "path": path, "key": key, "run": run }),
    );
    if let Some(attempt) = attempt {
        answer.insert_header("endivespur-attempt", attempt);
    }
    answer
}

impl Plain {
    fn begin(&mut self, key: &str) -> (u64, u64) {
        let run = self.runs.entry(key.to_string()).or_default();
        *run += 1;
        self.running += 1;
        (self.switch.work_ms, *run)
    }
}
