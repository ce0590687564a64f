//! Results as text for a terminal.

use comfy_table::{ContentArrangement, Table, presets};
use serde_json::Value;

/// The windows of a burn report; the bar shows the burn rate of the first one.
const WINDOWS: [&str; 4] = ["5m", "1h", "6h", "3d"];
/// The burn rate at which a bar is full.
const FULL_BAR_BURN_RATE: f64 = 10.0;
/// The width of a bar in characters.
const BAR_WIDTH: usize = 10;

/// Prints the results of statements.
pub fn print_results(response: &Value, bold: bool) {
    for result in response["results"].as_array().into_iter().flatten() {
        match result["result"].as_str() {
            Some("rows") => print_rows(result, bold),
            Some("accepted") if result["changed"] == Value::Bool(false) => {
                println!(
                    "{}: already so, revision {}",
                    format_value(&result["key"]),
                    result["revision"]
                );
            }
            Some("accepted") => {
                println!(
                    "{}: accepted at revision {}",
                    format_value(&result["key"]),
                    result["revision"]
                );
            }
            Some("planned") => print_planned(result),
            Some("lost") => print_lost(result),
            Some("unknown") => {
                println!(
                    "{}: the store did not say whether it took the change; \
                     run `show`, then repeat the command",
                    format_value(&result["key"])
                );
            }
            _ => {
                for finding in result["findings"].as_array().into_iter().flatten() {
                    println!("refused: {}", format_value(finding));
                }
            }
        }
    }
}

/// Returns whether a command was refused, lost to a concurrent one, or has an unknown outcome.
pub fn any_command_failed(response: &Value) -> bool {
    let results = response["results"].as_array();
    let is_failed = |result: &Value| {
        let kind = result["result"].as_str().unwrap_or_default();
        matches!(kind, "refused" | "lost" | "unknown")
    };
    results.is_some_and(|results| results.iter().any(is_failed))
}

fn print_lost(result: &Value) {
    let winner = &result["winner"];
    println!(
        "{}: lost against {} ({}), who wrote revision {}",
        format_value(&result["key"]),
        format_value(&winner["author"]),
        format_value(&winner["reason"]),
        result["revision"]
    );
}

fn print_planned(result: &Value) {
    println!("{}: would change", format_value(&result["key"]));
    let empty = serde_json::Map::new();
    let after = result["after"].as_object().unwrap_or(&empty);
    for (field, value) in after.iter().filter(|(field, _)| *field != "change") {
        let before = &result["before"][field];
        if before != value {
            println!("  {field}: {before} -> {value}");
        }
    }
}

fn print_rows(result: &Value, bold: bool) {
    let rows = result["rows"].as_array().cloned().unwrap_or_default();
    let is_burn_report = rows
        .first()
        .is_some_and(|row| row.get("objective").is_some());
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    let columns = columns(&rows);
    let mut header: Vec<String> = columns.clone();
    if is_burn_report {
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
        let mut cells: Vec<String> = columns
            .iter()
            .map(|column| format_value(&row[column]))
            .collect();
        if is_burn_report {
            cells.push(burn_bar(row[WINDOWS[0]].as_f64().unwrap_or(0.0)));
        }
        table.add_row(cells);
    }
    println!("{table}");
    println!("{} rows", rows.len());
    for vm in result["silent"].as_array().into_iter().flatten() {
        println!("did not answer: {}", format_value(vm));
    }
}

/// Returns the columns in a fixed order: the leading columns, then the others by name.
fn columns(rows: &[Value]) -> Vec<String> {
    const LEADING: [&str; 13] = [
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
    let leading = LEADING
        .iter()
        .filter(|name| row.contains_key(**name))
        .map(ToString::to_string);
    let rest = row
        .keys()
        .filter(|name| !LEADING.contains(&name.as_str()))
        .cloned();
    leading.chain(rest).collect()
}

fn burn_bar(burn_rate: f64) -> String {
    let filled = (burn_rate / FULL_BAR_BURN_RATE * BAR_WIDTH as f64)
        .ceil()
        .clamp(0.0, BAR_WIDTH as f64) as usize;
    format!("{}{}", "█".repeat(filled), "·".repeat(BAR_WIDTH - filled))
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(format_value).collect::<Vec<_>>().join(","),
        Value::Object(map) => {
            let parts: Vec<String> = map
                .iter()
                .map(|(key, value)| format!("{key} {}", format_value(value)))
                .collect();
            parts.join(" ")
        }
        other => other.to_string(),
    }
}
