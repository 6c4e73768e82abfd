//! Validation of JSON written by people; reports all errors at once.
//!
//! Deserialization stops at the first error. Documents and settings are therefore
//! validated field by field first. Each error becomes a [`Finding`] with the path,
//! the value found and the allowed values.

use std::cell::RefCell;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Longest value in a finding; longer ones are truncated.
const MAX_PREVIEW_CHARS: usize = 60;

/// Greatest edit distance between a name and its suggestion.
const MAX_TYPO_EDITS: usize = 2;

/// Least length of a prefix of a name that also suggests the name.
const MIN_PREFIX_BYTES: usize = 3;

/// Error in a document or in settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path of the value, such as `routes[2].rank`; `$` for the whole text.
    pub path: Arc<str>,
    /// Value found.
    pub found: Arc<str>,
    /// Description of the allowed values.
    pub allowed: Arc<str>,
    /// Allowed name that is most similar to the one found.
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
    /// Adds a finding without a suggestion.
    pub fn add(&self, path: &str, found: &str, allowed: &str) {
        self.add_with_suggestion(path, found, allowed, None);
    }

    /// Adds a finding with an allowed name as a suggestion.
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

    /// Returns the findings in the order in which they were added.
    pub fn into_findings(self) -> Vec<Finding> {
        self.findings.into_inner()
    }
}

/// Parses JSON; reports syntax errors and duplicate names. `None` on a syntax error.
pub fn parse(report: &Report, text: &str) -> Option<Value> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = StrictValue { report, path: "" }
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

/// Fields of a JSON object, with the report for errors in them.
#[derive(Debug)]
pub struct Fields<'a> {
    report: &'a Report,
    path: String,
    map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// Fields of `value`; reports names that are not in `known`. `None` if `value` is no object.
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

    /// Path of the field `name`.
    pub fn path(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// Reports the value of a field as invalid, or the field as missing.
    pub fn add(&self, name: &str, allowed: &str) {
        let found = self.map.get(name).map_or("nothing".into(), preview);
        self.report.add(&self.path(name), &found, allowed);
    }

    /// Value of a required field; reports a missing one.
    pub fn required(&self, name: &str, allowed: &str) -> Option<&'a Value> {
        let value = self.map.get(name);
        if value.is_none() {
            self.add(name, allowed);
        }
        value
    }

    /// Value of an optional field.
    pub fn optional(&self, name: &str) -> Option<&'a Value> {
        self.map.get(name)
    }

    /// Required string that satisfies `is_allowed`; reports anything else.
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

    /// Required string out of `keywords`; reports anything else, with a suggestion.
    pub fn keyword(&self, name: &str, keywords: &[&str]) -> Option<&'a str> {
        let allowed = format!("one of {}", keywords.join(", "));
        let value = self.required(name, &allowed)?;
        match value.as_str() {
            Some(text) if keywords.contains(&text) => Some(text),
            Some(text) => {
                let nearest = nearest(text, keywords.iter().copied());
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

    /// Required array; reports anything else.
    pub fn list(&self, name: &str, allowed: &str) -> Option<&'a [Value]> {
        let list = self.required(name, allowed)?.as_array();
        if list.is_none() {
            self.add(name, allowed);
        }
        list.map(Vec::as_slice)
    }

    /// Required integer within `range`; reports anything else.
    pub fn number(&self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let allowed = range_text(&range);
        let number = self.required(name, &allowed)?.as_u64();
        let number = number.filter(|n| range.contains(n));
        if number.is_none() {
            self.add(name, &allowed);
        }
        number
    }

    /// Optional integer within `range`; reports anything else.
    pub fn optional_number(&self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.map.get(name).and_then(|_| self.number(name, range))
    }
}

/// JSON of a value for a finding, truncated if it is long.
pub fn preview(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_PREVIEW_CHARS) {
        Some((end, _)) => format!("{}...", text.get(..end).unwrap_or_default()),
        None => text,
    }
}

/// Candidate with the smallest edit distance to `name`, if that is small enough.
pub fn nearest<'a, I>(name: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let limit = MAX_TYPO_EDITS.min(name.chars().count() / 2);
    let name = name.to_ascii_lowercase();
    let distance = |candidate: &str| {
        let candidate = candidate.to_ascii_lowercase();
        let is_prefix = name.len() >= MIN_PREFIX_BYTES && candidate.starts_with(&name);
        if is_prefix {
            1
        } else {
            edit_distance(&name, &candidate)
        }
    };
    candidates
        .into_iter()
        .map(|c| (distance(c), c))
        .filter(|(edit_distance, _)| *edit_distance <= limit)
        .min_by_key(|(edit_distance, _)| *edit_distance)
        .map(|(_, candidate)| candidate)
}

/// Edit distance (Levenshtein) between two names.
fn edit_distance(from: &str, to: &str) -> usize {
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
    let is_plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    match (path.is_empty(), is_plain && !name.is_empty()) {
        (true, true) => name.to_owned(),
        (true, false) => format!("{name:?}"),
        (false, true) => format!("{path}.{name}"),
        (false, false) => format!("{path}.{name:?}"),
    }
}

/// Deserializes a JSON value and reports duplicate names in objects.
struct StrictValue<'a> {
    report: &'a Report,
    path: &'a str,
}

impl<'de> DeserializeSeed<'de> for StrictValue<'_> {
    type Value = Value;

    fn deserialize<D>(self, deserializer: D) -> Result<Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictValue<'_> {
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
            let seed = StrictValue {
                report: self.report,
                path: &path,
            };
            match seq.next_element_seed(seed)? {
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
            let seed = StrictValue {
                report: self.report,
                path: &path,
            };
            let value = map.next_value_seed(seed)?;
            if fields.insert(name, value).is_some() {
                self.report
                    .add(&path, "a field given twice", "each field once");
            }
        }
        Ok(Value::Object(fields))
    }
}
