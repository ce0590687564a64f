//! Tests `endivespurctl trace` on the logs of several gateways.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

fn log_line(seconds: f64, mut fields: Value) -> String {
    fields["at"] = json!(format!("2026-12-04T10:00:{seconds:06.3}Z"));
    fields.to_string()
}

/// Returns the log of the gateway that handled the request, and of the one that owned its endpoint.
fn logs() -> (String, String) {
    let entry = [
        log_line(
            1.0,
            json!({ "event": "claim", "endpoint": "e1", "owner": "vm-2", "fence": 7 }),
        ),
        log_line(
            2.0,
            json!({ "event": "claim", "endpoint": "e2", "owner": "vm-3", "fence": 8 }),
        ),
        log_line(
            10.0,
            json!({ "event": "store-lost", "message": "no answer" }),
        ),
        log_line(
            12.5,
            json!({ "event": "granted", "request": "r1", "endpoint": "e1",
            "adapter": "m/a", "waited_ms": 1500 }),
        ),
        log_line(
            12.6,
            json!({ "event": "granted", "request": "r2", "endpoint": "e1", "adapter": "m/b" }),
        ),
        log_line(
            13.0,
            json!({ "event": "answered", "request": "r1", "status": 200, "took_ms": 2000 }),
        ),
    ];
    let owner = [
        log_line(
            1.1,
            json!({ "event": "claimed", "endpoint": "e1", "fence": 7 }),
        ),
        log_line(
            11.2,
            json!({ "event": "order", "endpoint": "e1", "adapter": "m/a", "action": "load" }),
        ),
        log_line(
            11.3,
            json!({ "event": "order", "endpoint": "e1", "adapter": "m/z", "action": "load" }),
        ),
        "half a line {\"at\":".to_string(),
    ];
    (entry.join("\n"), owner.join("\n"))
}

fn trace(name: &str, arguments: &[&str]) -> Output {
    let directory =
        std::env::temp_dir().join(format!("endivespurctl-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let (entry, owner) = logs();
    let files: Vec<PathBuf> = [("vm-1.log", entry), ("vm-2.log", owner)]
        .into_iter()
        .map(|(name, text)| {
            let path = directory.join(name);
            std::fs::write(&path, text).unwrap();
            path
        })
        .collect();
    let output = Command::new(env!("CARGO_BIN_EXE_endivespurctl"))
        .args(arguments)
        .args(files)
        .output()
        .unwrap();
    std::fs::remove_dir_all(directory).unwrap();
    output
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[test]
fn trace_two_gateways() {
    let output = trace("two", &["trace", "r1"]);
    assert!(output.status.success());
    let text = text(&output);
    assert_eq!(text.lines().count(), 6, "{text}");
    let position = |part: &str| text.find(part).unwrap_or_else(|| panic!("{part}: {text}"));
    assert!(position("owner=vm-2") < position("store-lost"));
    assert!(position("store-lost") < position("action=load adapter=m/a"));
    assert!(position("action=load adapter=m/a") < position("granted"));
    assert!(position("granted") < position("answered"));
    assert!(!text.contains("m/z") && !text.contains("r2") && !text.contains("vm-3"));
}

#[test]
fn trace_unreadable_lines_reported() {
    let output = trace("unreadable", &["trace", "r1"]);
    let errors = String::from_utf8(output.stderr.clone()).unwrap();
    assert!(errors.contains("1 line"), "{errors}");
}

#[test]
fn trace_json() {
    let output = trace("json", &["--output", "json", "trace", "r1"]);
    let lines: Vec<Value> = text(&output)
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert!(
        lines
            .iter()
            .any(|line| line["node"] == "vm-2" && line["event"] == "order")
    );
}

#[test]
fn trace_unknown_request() {
    let output = trace("unknown", &["trace", "r9"]);
    assert_eq!(output.status.code(), Some(1));
}

/// Reads one stream with the lines of several gateways, each prefixed with a time and the gateway's
/// name.
#[test]
fn trace_standard_input() {
    let mut process = Command::new(env!("CARGO_BIN_EXE_endivespurctl"))
        .args(["trace", "r1"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let (entry, owner) = logs();
    let mut input = process.stdin.take().unwrap();
    for line in entry.lines() {
        writeln!(input, "  1.0 vm-1 {line}").unwrap();
    }
    for line in owner.lines() {
        writeln!(input, "  1.0 vm-2 {line}").unwrap();
    }
    drop(input);
    let output = process.wait_with_output().unwrap();
    assert_eq!(text(&output).lines().count(), 6);
}
