//! The calls that carry out the actions of a scenario.

use std::time::Duration;

use endivespur_dev::call::{Response, call};
use endivespur_scenario::{EndpointFault, Request, StoreFault};
use http_types::Method;
use serde_json::{Value, json};

use crate::ORGANISATION;

/// Returns the faults to inject at the store's emulator.
pub fn store_faults(outage: StoreFault) -> Value {
    match outage {
        StoreFault::Down => json!({ "outage": true }),
        StoreFault::Up => json!({}),
        StoreFault::LoseResponses(count) => json!({ "lose_answers": count }),
        StoreFault::SilentWatches => json!({ "silent_watches": true }),
        StoreFault::ExpireLease(vm) => json!({ "lapse": [format!("endivespur/nodes/{vm}")] }),
    }
}

/// Returns the faults to inject at an endpoint's emulator.
pub fn endpoint_faults(fault: EndpointFault) -> Value {
    match fault {
        EndpointFault::Crash(cold) => json!({ "crash": true, "cold_ms": cold.as_millis() as u64 }),
        EndpointFault::FailLoads(count) => json!({ "fail_loads": count }),
        EndpointFault::TruncateAfter(tokens) => json!({ "cut_after": tokens }),
        EndpointFault::WrongAttemptId(count) => json!({ "cross": count }),
        EndpointFault::CrashOn(text) => json!({ "crash_on": text, "cold_ms": 500 }),
        EndpointFault::LoseResponses(count) => json!({ "lose_answers": count }),
        EndpointFault::ProcessingTime(time) => json!({ "work_ms": time.as_millis() as u64 }),
    }
}

/// Sends a request and waits for the complete response, or disconnects after 300 ms if the
/// request's caller leaves.
pub async fn send_request(address: &str, request: &Request) -> Response {
    let mut headers = vec![("endivespur-organisation", ORGANISATION)];
    if let Some(key) = &request.key {
        headers.push(("idempotency-key", key));
    }
    let (path, value) = match &request.model {
        Some(model) => {
            let mut call = json!({
                "model": format!("hymnal/{model}"), "max_tokens": request.tokens,
            });
            if let Some(first) = &request.first_message {
                let message = |text: &str| json!({ "role": "user", "content": text });
                call["messages"] = json!([message(first), message(&request.prompt)]);
                ("/v1/chat/completions", call)
            } else {
                call["prompt"] = json!(request.prompt);
                ("/v1/completions", call)
            }
        }
        None => (
            "/services/orders/confirm",
            json!({ "prompt": request.prompt }),
        ),
    };
    let complete = call(address, Method::Post, path, &headers, Some(&value));
    if !request.disconnects {
        return complete.await;
    }
    let disconnect = async {
        smol::Timer::after(Duration::from_millis(300)).await;
        // No process listens on port 1: this returns a response with status 0.
        call("127.0.0.1:1", Method::Get, "/", &[], None).await
    };
    smol::future::or(complete, disconnect).await
}
