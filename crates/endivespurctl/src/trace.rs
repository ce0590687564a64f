//! What happened to a request, from the log lines of several gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use serde_json::{Map, Value};

/// Events of a gateway itself that bear on the requests it handles.
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
/// Events of an endpoint that bear on the requests for it.
const ENDPOINT_EVENTS: [&str; 7] = [
    "claim",
    "claimed",
    "adopt",
    "disown",
    "endpoint",
    "endpoint-gone",
    "report",
];
/// The fields that are not printed with the others.
const PLAIN_FIELDS: [&str; 5] = ["at", "event", "level", "part", "message"];

/// A log line.
#[derive(Clone, Debug)]
pub struct Line {
    /// When it was written.
    pub at: SystemTime,
    /// The gateway: what precedes the object in its line, or the file's name.
    pub node: String,
    /// All its fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Returns a field's text, or nothing.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    fn event(&self) -> &str {
        self.text("event").unwrap_or_default()
    }

    fn time(&self, name: &str) -> Duration {
        let ms = self.fields.get(name).and_then(Value::as_u64);
        Duration::from_millis(ms.unwrap_or_default())
    }
}

/// The lines of several logs.
#[derive(Clone, Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    /// The lines that are no objects with a time.
    pub unreadable: usize,
}

impl Log {
    /// Makes an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads the lines of a log whose gateway has that name, unless they name another.
    pub fn read(&mut self, name: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match parse(name, line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Returns, in the order of time, what concerns a request: its own lines; orders of its
    /// adapter and changes of its endpoints while it was under way, with the last change of
    /// each kind before; the same of the gateways that handled it or owned an endpoint.
    pub fn trace(&self, request: &str) -> Vec<&Line> {
        let own: Vec<&Line> = self
            .lines
            .iter()
            .filter(|line| line.text("request") == Some(request))
            .collect();
        let starts = own
            .iter()
            .map(|line| line.at - line.time("took_ms").max(line.time("waited_ms")));
        let ended = own.iter().map(|line| line.at);
        let (Some(begin), Some(end)) = (starts.min(), ended.max()) else {
            return Vec::new();
        };
        let names = |field: &str| -> BTreeSet<&str> {
            own.iter().filter_map(|line| line.text(field)).collect()
        };
        let (endpoints, adapters) = (names("endpoint"), names("adapter"));
        let mut nodes: BTreeSet<&str> = own.iter().map(|line| line.node.as_str()).collect();
        // Who owned an endpoint by the last claim before the end.
        let claims = self.lines.iter().filter(|line| {
            let is_claim = line.event() == "claim" && line.at <= end;
            is_claim
                && line
                    .text("endpoint")
                    .is_some_and(|id| endpoints.contains(id))
        });
        let mut owners: BTreeMap<&str, &Line> = BTreeMap::new();
        for line in claims {
            let known = owners.entry(line.text("endpoint").unwrap_or_default());
            let known = known.or_insert(line);
            if known.at <= line.at {
                *known = line;
            }
        }
        nodes.extend(owners.values().filter_map(|line| line.text("owner")));
        let concerns = |line: &Line| {
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
        let mut found = own.clone();
        let mut before: BTreeMap<(&str, &str, &str), &Line> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| concerns(line)) {
            if line.at >= begin && line.at <= end {
                found.push(line);
            } else if line.at < begin {
                let endpoint = line.text("endpoint").unwrap_or_default();
                let last = before
                    .entry((line.node.as_str(), line.event(), endpoint))
                    .or_insert(line);
                if last.at <= line.at {
                    *last = line;
                }
            }
        }
        found.extend(before.into_values());
        found.sort_by(|a, b| (a.at, &a.node).cmp(&(b.at, &b.node)));
        found
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

/// Prints lines for people, the time counted from the first line of the request itself.
pub fn print(lines: &[&Line], request: &str) {
    let first = lines
        .iter()
        .find(|line| line.text("request") == Some(request))
        .map(|line| line.at);
    for line in lines {
        let mark = if line.text("request") == Some(request) {
            '*'
        } else {
            ' '
        };
        let offset = first.map_or(0.0, |first| match line.at.duration_since(first) {
            Ok(after) => after.as_secs_f64(),
            Err(before) => -before.duration().as_secs_f64(),
        });
        let others = line.fields.iter();
        let others = others.filter(|(name, _)| !PLAIN_FIELDS.contains(&name.as_str()));
        let others: Vec<String> = others
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        println!(
            "{mark} {offset:+9.3} s  {}  {}  {}  {}",
            line.node,
            line.event(),
            others.join(" "),
            line.text("message").unwrap_or_default(),
        );
    }
}

/// Prints lines as objects, with the gateway's name.
pub fn print_json(lines: &[&Line]) {
    for line in lines {
        let mut fields = line.fields.clone();
        fields.insert("node".to_string(), Value::from(line.node.as_str()));
        println!("{}", Value::Object(fields));
    }
}
