//! Reading JSON that people wrote, with every fault reported at once.
//!
//! Deserializing stops at the first fault. Documents and settings are therefore
//! walked field by field first; each fault becomes a [`Finding`] that says
//! where it is, what was found and what is allowed.

use std::cell::RefCell;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Characters of a found value that are shown, at most.
const SHOWN_CHARS: usize = 60;

/// Edits that still make a name a likely typo of another, at most.
const TYPO_EDITS: usize = 2;

/// Bytes from which on the start of a name stands for it.
const START_BYTES_MIN: usize = 3;

/// One fault of a document or of settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where, such as `routes[2].rank`; `$` for the whole text.
    pub path: Arc<str>,
    /// What was found there.
    pub found: Arc<str>,
    /// What is allowed there.
    pub allowed: Arc<str>,
    /// The allowed name that was probably meant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nearest: Option<Arc<str>>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, allowed: {}",
            self.path, self.found, self.allowed
        )?;
        match &self.nearest {
            Some(name) => write!(f, "; did you mean {name:?}?"),
            None => Ok(()),
        }
    }
}

/// Findings of one text.
#[derive(Debug, Default)]
pub struct Report {
    findings: RefCell<Vec<Finding>>,
}

impl Report {
    /// Adds a finding.
    pub fn add(&self, path: &str, found: &str, allowed: &str) {
        self.add_with_suggestion(path, found, allowed, None);
    }

    /// Adds a finding with the name that was probably meant.
    pub fn add_with_suggestion(
        &self,
        path: &str,
        found: &str,
        allowed: &str,
        nearest: Option<&str>,
    ) {
        self.findings.borrow_mut().push(Finding {
            path: path.into(),
            found: found.into(),
            allowed: allowed.into(),
            nearest: nearest.map(Arc::from),
        });
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.borrow().is_empty()
    }

    /// The findings, in the order in which they were added.
    pub fn into_findings(self) -> Vec<Finding> {
        self.findings.into_inner()
    }
}

/// Parses JSON; reports wrong syntax and names given twice.
pub fn parse(report: &Report, text: &str) -> Option<Value> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = Node { report, path: "" }
        .deserialize(&mut reader)
        .and_then(|value| reader.end().map(|()| value));
    match value {
        Ok(value) => Some(value),
        Err(error) => {
            report.add("$", &error.to_string(), "well-formed JSON");
            None
        }
    }
}

/// The fields of one JSON object.
#[derive(Debug)]
pub struct Fields<'a> {
    report: &'a Report,
    path: String,
    map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// The fields of `value`, whose names have to be among `known`.
    pub fn new(report: &'a Report, path: &str, value: &'a Value, known: &[&str]) -> Option<Self> {
        let Value::Object(map) = value else {
            let path = if path.is_empty() { "$" } else { path };
            report.add(path, &preview(value), "an object");
            return None;
        };
        let fields = Self {
            report,
            path: path.to_owned(),
            map,
        };
        for name in map.keys().filter(|n| !known.contains(&n.as_str())) {
            let allowed = format!("one of {}", known.join(", "));
            let nearest = nearest(name, known.iter().copied());
            report.add_with_suggestion(&fields.path(name), "an unknown field", &allowed, nearest);
        }
        Some(fields)
    }

    /// Path of a field.
    pub fn path(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// Adds a finding about the value of a field.
    pub fn add(&self, name: &str, allowed: &str) {
        let found = self.map.get(name).map_or("nothing".into(), preview);
        self.report.add(&self.path(name), &found, allowed);
    }

    /// A field that has to be there.
    pub fn required(&self, name: &str, allowed: &str) -> Option<&'a Value> {
        let value = self.map.get(name);
        if value.is_none() {
            self.add(name, allowed);
        }
        value
    }

    /// A field that may be missing.
    pub fn optional(&self, name: &str) -> Option<&'a Value> {
        self.map.get(name)
    }

    /// Text that has to be there and to satisfy `is_allowed`.
    pub fn text<F>(&self, name: &str, allowed: &str, is_allowed: F) -> Option<&'a str>
    where
        F: Fn(&str) -> bool,
    {
        let text = self.required(name, allowed)?.as_str();
        let text = text.filter(|t| is_allowed(t));
        if text.is_none() {
            self.add(name, allowed);
        }
        text
    }

    /// One of a few words, which has to be there.
    pub fn keyword(&self, name: &str, words: &[&str]) -> Option<&'a str> {
        let allowed = format!("one of {}", words.join(", "));
        let value = self.required(name, &allowed)?;
        match value.as_str() {
            Some(text) if words.contains(&text) => Some(text),
            Some(text) => {
                let nearest = nearest(text, words.iter().copied());
                let path = self.path(name);
                self.report
                    .add_with_suggestion(&path, &preview(value), &allowed, nearest);
                None
            }
            None => {
                self.add(name, &allowed);
                None
            }
        }
    }

    /// A list that has to be there.
    pub fn list(&self, name: &str, allowed: &str) -> Option<&'a [Value]> {
        let list = self.required(name, allowed)?.as_array();
        if list.is_none() {
            self.add(name, allowed);
        }
        list.map(Vec::as_slice)
    }

    /// A whole number that has to be there.
    pub fn number(&self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let allowed = range_text(&range);
        let number = self.required(name, &allowed)?.as_u64();
        let number = number.filter(|n| range.contains(n));
        if number.is_none() {
            self.add(name, &allowed);
        }
        number
    }

    /// A whole number that may be missing.
    pub fn optional_number(&self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.map.get(name).and_then(|_| self.number(name, range))
    }
}

/// A value as a finding shows it, cut if it is long.
pub fn preview(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", text.get(..end).unwrap_or_default()),
        None => text,
    }
}

/// The candidate that differs from `name` by few edits, if there is one.
pub fn nearest<'a, I>(name: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let limit = TYPO_EDITS.min(name.chars().count() / 2);
    let name = name.to_ascii_lowercase();
    let distance = |candidate: &str| {
        let candidate = candidate.to_ascii_lowercase();
        let is_start = name.len() >= START_BYTES_MIN && candidate.starts_with(&name);
        if is_start {
            1
        } else {
            edits(&name, &candidate)
        }
    };
    candidates
        .into_iter()
        .map(|c| (distance(c), c))
        .filter(|(edits, _)| *edits <= limit)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// Insertions, deletions and replacements that turn one name into the other.
fn edits(from: &str, to: &str) -> usize {
    let mut row: Vec<usize> = (0..=to.chars().count()).collect();
    for (i, a) in from.chars().enumerate() {
        let mut next = vec![i + 1];
        let mut left = i + 1;
        for ((b, above), corner) in to.chars().zip(row.iter().skip(1)).zip(&row) {
            left = (corner + usize::from(a != b)).min(left + 1).min(above + 1);
            next.push(left);
        }
        row = next;
    }
    row.last().copied().unwrap_or_default()
}

fn range_text(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}

fn join(path: &str, name: &str) -> String {
    let plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    match (path.is_empty(), plain && !name.is_empty()) {
        (true, true) => name.to_owned(),
        (true, false) => format!("{name:?}"),
        (false, true) => format!("{path}.{name}"),
        (false, false) => format!("{path}.{name:?}"),
    }
}

/// Reads one JSON value and reports names that an object gives twice.
struct Node<'a> {
    report: &'a Report,
    path: &'a str,
}

impl<'de> DeserializeSeed<'de> for Node<'_> {
    type Value = Value;

    fn deserialize<D>(self, deserializer: D) -> Result<Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Node<'_> {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<Value, E>
    where
        E: Error,
    {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Value, E>
    where
        E: Error,
    {
        Ok(v.into())
    }

    fn visit_i64<E>(self, v: i64) -> Result<Value, E>
    where
        E: Error,
    {
        Ok(v.into())
    }

    fn visit_u64<E>(self, v: u64) -> Result<Value, E>
    where
        E: Error,
    {
        Ok(v.into())
    }

    fn visit_f64<E>(self, v: f64) -> Result<Value, E>
    where
        E: Error,
    {
        Ok(v.into())
    }

    fn visit_str<E>(self, v: &str) -> Result<Value, E>
    where
        E: Error,
    {
        Ok(v.into())
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, list.len());
            let node = Node {
                report: self.report,
                path: &path,
            };
            match seq.next_element_seed(node)? {
                Some(value) => list.push(value),
                None => return Ok(Value::Array(list)),
            }
        }
    }

    fn visit_map<A>(self, mut map: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut fields = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            let path = join(self.path, &name);
            let node = Node {
                report: self.report,
                path: &path,
            };
            let value = map.next_value_seed(node)?;
            if fields.insert(name, value).is_some() {
                self.report
                    .add(&path, "a field given twice", "each field once");
            }
        }
        Ok(Value::Object(fields))
    }
}
