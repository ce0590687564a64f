//! `serde_with` adapters for values with units.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// A duration with its unit, such as `500ms` or `2s`.
pub struct Span;

impl<'de> DeserializeAs<'de, Duration> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map_err(|error| {
            serde::de::Error::custom(format!("{text:?} is no duration with a unit: {error}"))
        })
    }
}

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*value))
    }
}

/// A number of bytes with its unit, such as `64 KiB`.
pub struct Size;

impl<'de> DeserializeAs<'de, usize> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
        let text = String::deserialize(deserializer)?;
        if text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(serde::de::Error::custom(format!("{text:?} lacks a unit")));
        }
        bytesize::ByteSize::from_str(&text)
            .map(|size| size.0 as usize)
            .map_err(|error| {
                serde::de::Error::custom(format!("{text:?} is no size with a unit: {error}"))
            })
    }
}

impl SerializeAs<usize> for Size {
    fn serialize_as<S: Serializer>(value: &usize, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&bytesize::ByteSize(*value as u64))
    }
}
