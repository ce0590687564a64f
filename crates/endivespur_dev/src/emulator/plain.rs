//! An emulator of a plain service that counts runs by idempotency key.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use endivespur_net::http;
use http_types::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Executor, dropped_connection, read_json, sleep_ms};

/// The faults to inject, set through `/switch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Switch", default, deny_unknown_fields)]
pub struct Faults {
    /// The duration of each call.
    pub work_ms: u64,
    /// The number of upcoming calls that run and whose responses are lost.
    pub lose_answers: u32,
    /// The number of upcoming calls that are refused before they run.
    pub refuse: u32,
}

#[derive(Default)]
struct Service {
    faults: Faults,
    runs: BTreeMap<String, u64>,
    running: u64,
}

/// Runs the emulator until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(executor: Executor, listen: &str) -> std::io::Result<()> {
    let service = Rc::new(RefCell::new(Service::default()));
    let handler = http::handler(move |request| handle(service.clone(), request));
    super::serve(executor, listen, handler).await
}

async fn handle(service: Rc<RefCell<Service>>, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    match path.as_str() {
        "/switch" => {
            return match read_json::<Faults>(&mut request).await {
                Ok(faults) => {
                    service.borrow_mut().faults = faults;
                    http::json(StatusCode::Ok, &json!({}))
                }
                Err(refusal) => refusal,
            };
        }
        "/counts" => {
            let service = service.borrow();
            return http::json(
                StatusCode::Ok,
                &json!({ "runs": service.runs, "running": service.running }),
            );
        }
        _ => {}
    }
    let remaining = service.borrow().faults.refuse;
    if remaining > 0 {
        service.borrow_mut().faults.refuse = remaining - 1;
        return http::refusal(StatusCode::ServiceUnavailable, "refused before running");
    }
    let key = request
        .header("idempotency-key")
        .map_or_else(|| path.clone(), |value| value.as_str().to_string());
    let attempt = request
        .header("endivespur-attempt")
        .map(|value| value.as_str().to_string());
    let (duration_ms, run_number) = service.borrow_mut().start_run(&key);
    sleep_ms(duration_ms).await;
    service.borrow_mut().running -= 1;
    let remaining = service.borrow().faults.lose_answers;
    if remaining > 0 {
        service.borrow_mut().faults.lose_answers = remaining - 1;
        return dropped_connection();
    }
    let mut response = http::json(
        StatusCode::Ok,
        &json!({ "path": path, "key": key, "run": run_number }),
    );
    if let Some(attempt) = attempt {
        response.insert_header("endivespur-attempt", attempt);
    }
    response
}

impl Service {
    /// Counts a run; returns its duration in milliseconds and the number of runs with this key.
    fn start_run(&mut self, key: &str) -> (u64, u64) {
        let run_number = self.runs.entry(key.to_string()).or_default();
        *run_number += 1;
        self.running += 1;
        (self.faults.work_ms, *run_number)
    }
}
