//! The history of a request, collected from the log lines of several gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use serde_json::{Map, Value};

/// Events of a gateway itself that may affect the requests it handles.
const GATEWAY_EVENTS: [&str; 11] = [
    "start",
    "stop",
    "stopped",
    "suspended",
    "lease",
    "lease-lapsed",
    "store-lost",
    "store-regained",
    "source",
    "peer-lost",
    "peer-regained",
];
/// Events of an endpoint that may affect the requests sent to it.
const ENDPOINT_EVENTS: [&str; 7] = [
    "claim",
    "claimed",
    "adopt",
    "disown",
    "endpoint",
    "endpoint-gone",
    "report",
];
/// The fields that [`print()`] leaves out of its `name=value` list: it prints them elsewhere in the
/// line, or not at all.
const UNLISTED_FIELDS: [&str; 5] = ["at", "event", "level", "part", "message"];

/// A log line.
#[derive(Clone, Debug)]
pub struct Line {
    /// The time at which the line was written, by the clock of its gateway.
    pub at: SystemTime,
    /// The gateway's name: the last word before the JSON object, or else the name of the log file.
    pub node: String,
    /// All fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Returns the value of a field if it is a string.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    fn event(&self) -> &str {
        self.text("event").unwrap_or_default()
    }

    /// Returns the value of a field in milliseconds, or zero.
    fn duration(&self, name: &str) -> Duration {
        let ms = self.fields.get(name).and_then(Value::as_u64);
        Duration::from_millis(ms.unwrap_or_default())
    }
}

/// The lines of several logs.
#[derive(Clone, Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    /// The number of lines without a JSON object or without a valid time.
    pub unreadable: usize,
}

impl Log {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the lines of a log. Lines that do not name their gateway are attributed to `name`.
    pub fn read(&mut self, name: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match parse(name, line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Returns the lines that relate to a request, sorted by time.
    ///
    /// These are:
    /// - the lines with the request's id,
    /// - the orders for its adapters at its endpoints,
    /// - the events of its endpoints, and of the gateways themselves, as logged by the gateways
    ///   that handled the request or owned one of its endpoints.
    ///
    /// Orders and events are included if they were logged while the request was in progress. Of
    /// the earlier ones only the last of each event, gateway and endpoint is included.
    pub fn trace(&self, request: &str) -> Vec<&Line> {
        let request_lines: Vec<&Line> = self
            .lines
            .iter()
            .filter(|line| line.text("request") == Some(request))
            .collect();
        let starts = request_lines
            .iter()
            .map(|line| line.at - line.duration("took_ms").max(line.duration("waited_ms")));
        let ends = request_lines.iter().map(|line| line.at);
        let (Some(begin), Some(end)) = (starts.min(), ends.max()) else {
            return Vec::new();
        };
        let values = |field: &str| -> BTreeSet<&str> {
            request_lines
                .iter()
                .filter_map(|line| line.text(field))
                .collect()
        };
        let (endpoints, adapters) = (values("endpoint"), values("adapter"));
        let mut nodes: BTreeSet<&str> = request_lines
            .iter()
            .map(|line| line.node.as_str())
            .collect();
        // An endpoint's owner is named in the last claim up to the end of the request.
        let claims = self.lines.iter().filter(|line| {
            let is_claim = line.event() == "claim" && line.at <= end;
            is_claim
                && line
                    .text("endpoint")
                    .is_some_and(|id| endpoints.contains(id))
        });
        let mut owners: BTreeMap<&str, &Line> = BTreeMap::new();
        for line in claims {
            let latest = owners.entry(line.text("endpoint").unwrap_or_default());
            let latest = latest.or_insert(line);
            if latest.at <= line.at {
                *latest = line;
            }
        }
        nodes.extend(owners.values().filter_map(|line| line.text("owner")));
        let is_related = |line: &Line| {
            let event = line.event();
            let is_endpoint = line
                .text("endpoint")
                .is_some_and(|id| endpoints.contains(id));
            let is_node = nodes.contains(line.node.as_str());
            let is_adapter = line
                .text("adapter")
                .is_some_and(|name| adapters.contains(name));
            match event {
                "order" => is_endpoint && is_adapter,
                _ if ENDPOINT_EVENTS.contains(&event) => is_endpoint && is_node,
                _ => is_node && GATEWAY_EVENTS.contains(&event),
            }
        };
        let mut related = request_lines.clone();
        let mut last_before: BTreeMap<(&str, &str, &str), &Line> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| is_related(line)) {
            if line.at >= begin && line.at <= end {
                related.push(line);
            } else if line.at < begin {
                let endpoint = line.text("endpoint").unwrap_or_default();
                let last = last_before
                    .entry((line.node.as_str(), line.event(), endpoint))
                    .or_insert(line);
                if last.at <= line.at {
                    *last = line;
                }
            }
        }
        related.extend(last_before.into_values());
        related.sort_by(|a, b| (a.at, &a.node).cmp(&(b.at, &b.node)));
        related
    }
}

fn parse(name: &str, line: &str) -> Option<Line> {
    let (prefix, _) = line.split_once('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[prefix.len()..]).ok()?;
    let at = humantime::parse_rfc3339(fields.get("at")?.as_str()?).ok()?;
    let node = prefix.split_whitespace().last().unwrap_or(name);
    Some(Line {
        at,
        node: node.to_string(),
        fields,
    })
}

/// Prints lines as text, with their time relative to the first line with the request's id.
pub fn print(lines: &[&Line], request: &str) {
    let first = lines
        .iter()
        .find(|line| line.text("request") == Some(request))
        .map(|line| line.at);
    for line in lines {
        let marker = if line.text("request") == Some(request) {
            '*'
        } else {
            ' '
        };
        let offset = first.map_or(0.0, |first| match line.at.duration_since(first) {
            Ok(later) => later.as_secs_f64(),
            Err(earlier) => -earlier.duration().as_secs_f64(),
        });
        let details = line.fields.iter();
        let details = details.filter(|(name, _)| !UNLISTED_FIELDS.contains(&name.as_str()));
        let details: Vec<String> = details
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        println!(
            "{marker} {offset:+9.3} s  {}  {}  {}  {}",
            line.node,
            line.event(),
            details.join(" "),
            line.text("message").unwrap_or_default(),
        );
    }
}

/// Prints lines as JSON objects, with the gateway's name in `node`.
pub fn print_json(lines: &[&Line]) {
    for line in lines {
        let mut fields = line.fields.clone();
        fields.insert("node".to_string(), Value::from(line.node.as_str()));
        println!("{}", Value::Object(fields));
    }
}
