//! Printing results for people.

use comfy_table::{ContentArrangement, Table, presets};
use serde_json::Value;

/// The windows of a burn report, drawn as a chart.
const WINDOWS: [&str; 4] = ["5m", "1h", "6h", "3d"];
/// The burn at which a bar is full.
const FULL_BURN: f64 = 10.0;
/// The length of a full bar.
const BAR: usize = 10;

/// Prints the results of statements.
pub fn results(answer: &Value, bold: bool) {
    for result in answer["results"].as_array().into_iter().flatten() {
        match result["result"].as_str() {
            Some("rows") => rows(result, bold),
            Some("accepted") if result["changed"] == Value::Bool(false) => {
                println!(
                    "{}: already so, revision {}",
                    text(&result["key"]),
                    result["revision"]
                );
            }
            Some("accepted") => {
                println!(
                    "{}: accepted at revision {}",
                    text(&result["key"]),
                    result["revision"]
                );
            }
            Some("planned") => planned(result),
            Some("lost") => lost(result),
            Some("unknown") => {
                println!(
                    "{}: the store did not say whether it took the change; ask again",
                    text(&result["key"])
                );
            }
            _ => {
                for finding in result["findings"].as_array().into_iter().flatten() {
                    println!("refused: {}", text(finding));
                }
            }
        }
    }
}

/// Tells whether a command was refused, lost, or is of unknown outcome.
pub fn is_refused(answer: &Value) -> bool {
    let results = answer["results"].as_array();
    let refused = |result: &Value| {
        let kind = result["result"].as_str().unwrap_or_default();
        matches!(kind, "refused" | "lost" | "unknown")
    };
    results.is_some_and(|results| results.iter().any(refused))
}

fn lost(result: &Value) {
    let winner = &result["winner"];
    println!(
        "{}: lost against {} ({}), who wrote revision {}",
        text(&result["key"]),
        text(&winner["author"]),
        text(&winner["reason"]),
        result["revision"]
    );
}

fn planned(result: &Value) {
    println!("{}: would change", text(&result["key"]));
    let empty = serde_json::Map::new();
    let after = result["after"].as_object().unwrap_or(&empty);
    for (field, value) in after.iter().filter(|(field, _)| *field != "change") {
        let before = &result["before"][field];
        if before != value {
            println!("  {field}: {before} -> {value}");
        }
    }
}

fn rows(result: &Value, bold: bool) {
    let rows = result["rows"].as_array().cloned().unwrap_or_default();
    let is_burn = rows
        .first()
        .is_some_and(|row| row.get("objective").is_some());
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    let columns = columns(&rows);
    let mut header: Vec<String> = columns.clone();
    if is_burn {
        header.push("burn 5m".to_string());
    }
    if bold {
        header = header
            .iter()
            .map(|name| format!("\x1b[1m{name}\x1b[0m"))
            .collect();
    }
    table.set_header(header);
    for row in &rows {
        let mut cells: Vec<String> = columns.iter().map(|column| text(&row[column])).collect();
        if is_burn {
            cells.push(bar(row[WINDOWS[0]].as_f64().unwrap_or(0.0)));
        }
        table.add_row(cells);
    }
    println!("{table}");
    println!("{} rows", rows.len());
    for vm in result["silent"].as_array().into_iter().flatten() {
        println!("did not answer: {}", text(vm));
    }
}

/// Returns the columns in a steady order: names first, then the others by name.
fn columns(rows: &[Value]) -> Vec<String> {
    const FIRST: [&str; 13] = [
        "name",
        "vm",
        "service",
        "organisation",
        "objective",
        "endpoint",
        "asked",
        "adapter",
        "version",
        "5m",
        "1h",
        "6h",
        "3d",
    ];
    let Some(row) = rows.first().and_then(Value::as_object) else {
        return Vec::new();
    };
    let first = FIRST
        .iter()
        .filter(|name| row.contains_key(**name))
        .map(ToString::to_string);
    let rest = row
        .keys()
        .filter(|name| !FIRST.contains(&name.as_str()))
        .cloned();
    first.chain(rest).collect()
}

fn bar(burn: f64) -> String {
    let filled = (burn / FULL_BURN * BAR as f64)
        .ceil()
        .clamp(0.0, BAR as f64) as usize;
    format!("{}{}", "█".repeat(filled), "·".repeat(BAR - filled))
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(text).collect::<Vec<_>>().join(","),
        Value::Object(map) => {
            let parts: Vec<String> = map
                .iter()
                .map(|(key, value)| format!("{key} {}", text(value)))
                .collect();
            parts.join(" ")
        }
        other => other.to_string(),
    }
}
