//! A route as its operator wrote it, kept as compact JSON text.
//!
//! Parsed JSON takes some ten times the memory of its text, and thousands of routes are
//! kept. Stored and sent, a source is the JSON value itself.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

/// JSON text of an item as received from the operator; empty if it is not kept.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Source(Option<Arc<str>>);

impl Source {
    /// Whether no source is kept.
    pub fn is_null(&self) -> bool {
        self.0.is_none()
    }

    /// The source as a JSON value; null if it is not kept.
    pub fn value(&self) -> Value {
        let text = self.0.as_deref().unwrap_or("null");
        // The text was written from a value, so the default is never used.
        serde_json::from_str(text).unwrap_or_default()
    }

    /// Size of the text in bytes.
    pub fn len(&self) -> usize {
        self.0.as_deref().map_or(0, str::len)
    }

    /// Whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl From<Value> for Source {
    fn from(value: Value) -> Self {
        Self((!value.is_null()).then(|| value.to_string().into()))
    }
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_deref().unwrap_or("null"))
    }
}

impl Serialize for Source {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        self.value().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Source {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        Value::deserialize(deserializer).map(Self::from)
    }
}
