//! Parsing of log lines.

use std::collections::BTreeMap;
use std::fmt;

use chrono::DateTime;
use serde::Deserialize;
use serde_json::Value;

use crate::Millis;

/// Attributes that hold ids of requests, items and batch jobs.
const ID_ATTRIBUTES: [&str; 2] = ["id", "job"];

/// A log line, with the fields that are used here.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct LogLine {
    /// RFC 3339 time by the host's clock, in a format that sorts as text.
    pub time: String,
    /// Log level.
    #[serde(default)]
    pub level: String,
    /// Human-readable message.
    #[serde(default)]
    pub message: String,
    #[serde(default)]
    mdc: BTreeMap<String, String>,
    #[serde(default)]
    attributes: BTreeMap<String, Value>,
}

impl LogLine {
    /// Parses a line, ignoring any text before the JSON, such as a log
    /// collector's timestamp. Returns `None` if the line has no `event`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let line: Self = serde_json::from_str(json).ok()?;
        line.attributes.contains_key("event").then_some(line)
    }

    /// Returns the `event` attribute, or an empty string.
    #[must_use]
    pub fn event(&self) -> String {
        self.attribute("event").unwrap_or_default()
    }

    /// Returns the id of the host that wrote the line, or `?`.
    #[must_use]
    pub fn host(&self) -> &str {
        self.mdc.get("host").map_or("?", String::as_str)
    }

    /// Returns an attribute as text.
    #[must_use]
    pub fn attribute(&self, name: &str) -> Option<String> {
        self.attributes.get(name).map(|value| match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        })
    }

    /// Returns the line's time in Unix milliseconds.
    #[must_use]
    pub fn time_ms(&self) -> Option<Millis> {
        DateTime::parse_from_rfc3339(&self.time).ok().map(|time| time.timestamp_millis())
    }

    /// Returns how many versions the item's oldest token is behind the newest
    /// wanted version.
    pub(crate) fn staleness(&self) -> Option<u64> {
        let versions: Vec<u64> = serde_json::from_str(&self.attribute("versions")?).ok()?;
        let newest: u64 = self.attribute("newest")?.parse().ok()?;
        Some(newest.saturating_sub(*versions.iter().min()?))
    }

    /// Returns whether the line is about the request, item, batch job or call
    /// with an id.
    #[must_use]
    pub fn mentions(&self, id: &str) -> bool {
        ID_ATTRIBUTES.iter().any(|name| self.attribute(name).as_deref() == Some(id))
            || self.attribute("call").is_some_and(|call| call.contains(id))
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.time, self.host(), self.event())?;
        for (name, _) in self.attributes.iter().filter(|(name, _)| *name != "event") {
            write!(f, " {name}={}", self.attribute(name).unwrap_or_default())?;
        }
        write!(f, ": {}", self.message)
    }
}
