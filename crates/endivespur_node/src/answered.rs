//! Reads engines' responses, whole or event by event.

use std::time::Duration;

use endivespur_core::order::StoredResponse;
use endivespur_net::{body, sse};
use http_types::Response;
use serde_json::Value;
use smol::future::FutureExt;

use crate::dispatch;

/// The maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Reads a whole response and checks that it is complete.
pub async fn read_whole(
    mut response: Response,
    model: &str,
    wait: Duration,
) -> Result<StoredResponse, String> {
    let status = response.status() as u16;
    let media = response
        .header("content-type")
        .map_or("application/json", |value| value.as_str())
        .to_string();
    if media.starts_with("text/event-stream") {
        let mut reader = sse::Reader::new(response.take_body());
        let mut text = String::new();
        loop {
            let event = next_event(&mut reader, wait).await?;
            text.push_str(&String::from_utf8_lossy(&sse::event(&replace_model(
                &event, model,
            ))));
            if event == "[DONE]" {
                return Ok(StoredResponse {
                    status,
                    media,
                    body: text,
                });
            }
        }
    }
    let mut content = response.take_body();
    let timeout = async {
        smol::Timer::after(dispatch::HEAD_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let bytes = body::read(&mut content, MAX_RESPONSE_BYTES)
        .or(timeout)
        .await
        .map_err(|error| error.to_string())?;
    let mut value: Value =
        serde_json::from_slice(&bytes).map_err(|_| "the answer is no JSON".to_string())?;
    if value["model"].is_string() {
        value["model"] = Value::from(model);
    }
    Ok(StoredResponse {
        status,
        media,
        body: value.to_string(),
    })
}

/// Waits for the next event; a stream that ends without the end mark `[DONE]` is an error.
pub async fn next_event(reader: &mut sse::Reader, wait: Duration) -> Result<String, String> {
    let timeout = async {
        smol::Timer::after(wait).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    match reader.next().or(timeout).await {
        Ok(Some(event)) => Ok(event),
        Ok(None) => Err("the answer ended without its end mark".to_string()),
        Err(error) => Err(error.to_string()),
    }
}

/// Replaces the slot's name in an event with the model name from the caller's request.
pub fn replace_model(event: &str, model: &str) -> String {
    let field = "\"model\":\"";
    let Some(start) = event.find(field).map(|at| at + field.len()) else {
        return event.to_string();
    };
    let Some(length) = event[start..].find('"') else {
        return event.to_string();
    };
    format!("{}{model}{}", &event[..start], &event[start + length..])
}
