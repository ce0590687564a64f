//! The operators' side: questions, commands and metrics.

use endivespur_net::http;
use http_types::{Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::entry::bearer;
use crate::node::Node;

/// Answers an operator's request.
pub fn answer(node: &Node, request: &Request) -> Response {
    if !node.guard.is_operator(bearer(request).as_deref()) {
        return http::refusal(StatusCode::Unauthorized, "wrong token");
    }
    match request.url().path() {
        "/metrics" => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(node.metrics.render());
            response.insert_header("content-type", "text/plain; version=0.0.4");
            response
        }
        "/state" => http::json(StatusCode::Ok, &local(node, "state")),
        _ => http::refusal(StatusCode::NotFound, "unknown path"),
    }
}

/// Answers this node's part of a question.
pub fn local(node: &Node, _line: &str) -> Value {
    let hosts = node.hosts.borrow();
    let owned: Vec<Value> = hosts
        .iter()
        .map(|(name, host)| {
            let slots: Vec<Value> = host
                .owner
                .slots()
                .iter()
                .map(|(name, slot)| json!({ "name": name.to_string(), "phase": slot.phase, "users": slot.users }))
                .collect();
            json!({
                "endpoint": name,
                "fence": host.owner.fence(),
                "running": host.owner.held().len(),
                "waiting": host.owner.waiting(),
                "open": host.owner.is_open(),
                "slots": slots,
            })
        })
        .collect();
    json!({
        "vm": node.settings.vm,
        "zone": node.settings.zone,
        "incarnation": node.incarnation.get(),
        "revision": node.config.borrow().revision,
        "owned": owned,
        "held": node.held.borrow().len(),
    })
}
