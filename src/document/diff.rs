//! Differences between two documents.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::model::Document;

/// One place where two documents differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Path of the field, such as `routes[release].deadline_ms`; routes are named.
    pub path: Arc<str>,
    /// Old value; `None` if the field is new.
    pub old: Option<Value>,
    /// New value; `None` if the field was removed.
    pub new: Option<Value>,
}

/// Compares two documents field by field, in the order of the fields.
pub fn diff(old: &Document, new: &Document) -> Vec<Difference> {
    let mut differences = Vec::new();
    let (old, new) = (to_value(old), to_value(new));
    compare("", Some(&old), Some(&new), &mut differences);
    differences
}

fn to_value(document: &Document) -> Value {
    serde_json::to_value(document).unwrap_or_else(|error| {
        log::error!("event=document.unwritten error={:?}", error.to_string());
        Value::Null
    })
}

fn compare(path: &str, old: Option<&Value>, new: Option<&Value>, out: &mut Vec<Difference>) {
    match (old, new) {
        (old, new) if old == new => {}
        (Some(Value::Object(a)), Some(Value::Object(b))) => {
            let names = a.keys().chain(b.keys().filter(|n| !a.contains_key(*n)));
            for name in names {
                let dot = if path.is_empty() { "" } else { "." };
                compare(&format!("{path}{dot}{name}"), a.get(name), b.get(name), out);
            }
        }
        (Some(Value::Array(a)), Some(Value::Array(b))) if all_named(a) && all_named(b) => {
            compare_named(path, a, b, out);
        }
        (old, new) => out.push(Difference {
            path: path.into(),
            old: old.cloned(),
            new: new.cloned(),
        }),
    }
}

/// Compares lists of named objects: the objects by name, then the order.
fn compare_named(path: &str, old: &[Value], new: &[Value], out: &mut Vec<Difference>) {
    let find = |list: &'_ [Value], name: &str| -> Option<Value> {
        list.iter().find(|v| name_of(v) == Some(name)).cloned()
    };
    let names = |list: &[Value]| -> Vec<Arc<str>> {
        list.iter().filter_map(name_of).map(Arc::from).collect()
    };
    let (old_names, new_names) = (names(old), names(new));
    let added = new_names.iter().filter(|n| !old_names.contains(n));
    for name in old_names.iter().chain(added) {
        let item_path = format!("{path}[{name}]");
        compare(
            &item_path,
            find(old, name).as_ref(),
            find(new, name).as_ref(),
            out,
        );
    }
    let common = |list: &[Arc<str>], other: &[Arc<str>]| -> Vec<Arc<str>> {
        list.iter().filter(|n| other.contains(n)).cloned().collect()
    };
    if common(&old_names, &new_names) != common(&new_names, &old_names) {
        let order = |list: &[Arc<str>]| Some(list.iter().map(|n| Value::from(&**n)).collect());
        out.push(Difference {
            path: format!("{path} order").into(),
            old: order(&old_names),
            new: order(&new_names),
        });
    }
}

fn all_named(list: &[Value]) -> bool {
    !list.is_empty() && list.iter().all(|v| name_of(v).is_some())
}

fn name_of(value: &Value) -> Option<&str> {
    value.get("name")?.as_str()
}
