//! The format of a log line.

use std::time::SystemTime;

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, Record};
use serde_json::{Map, json};

/// Collects the key-value pairs of a record; numbers and booleans keep their type.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!(number)
        } else if let Some(flag) = value.to_bool() {
            json!(flag)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.as_str().to_string(), value);
        Ok(())
    }
}

fn level(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

/// Encodes a record as one JSON object: time, level, target (`part`), the key-value pairs and
/// the message.
pub fn encode(record: &Record<'_>) -> Vec<u8> {
    let mut fields = Fields(Map::new());
    let at = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    fields.0.insert("at".to_string(), json!(at));
    fields
        .0
        .insert("level".to_string(), json!(level(record.level())));
    fields.0.insert("part".to_string(), json!(record.target()));
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("unreadable".to_string(), json!(true));
    }
    let message = record.args().to_string();
    fields.0.insert("message".to_string(), json!(message));
    serde_json::Value::Object(fields.0).to_string().into_bytes()
}
