//! What differs between two documents.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::model::Document;

/// One place where two documents differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Where, such as `routes[release].deadline_ms`; routes go by their name.
    pub path: Arc<str>,
    /// Old value; `None` if there was none.
    pub old: Option<Value>,
    /// New value; `None` if there is none.
    pub new: Option<Value>,
}

/// The places where two documents differ, in the order of the fields.
pub fn diff(old: &Document, new: &Document) -> Vec<Difference> {
    let mut differences = Vec::new();
    let (old, new) = (value(old), value(new));
    compare("", Some(&old), Some(&new), &mut differences);
    differences
}

fn value(document: &Document) -> Value {
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
        (Some(Value::Array(a)), Some(Value::Array(b))) if named(a) && named(b) => {
            compare_named(path, a, b, out);
        }
        (old, new) => out.push(Difference {
            path: path.into(),
            old: old.cloned(),
            new: new.cloned(),
        }),
    }
}

/// Compares lists of named objects: by name first, then their order.
fn compare_named(path: &str, old: &[Value], new: &[Value], out: &mut Vec<Difference>) {
    let find = |list: &'_ [Value], name: &str| -> Option<Value> {
        list.iter().find(|v| name_of(v) == Some(name)).cloned()
    };
    let names = |list: &[Value]| -> Vec<Arc<str>> {
        list.iter().filter_map(name_of).map(Arc::from).collect()
    };
    let (before, after) = (names(old), names(new));
    let added = after.iter().filter(|n| !before.contains(n));
    for name in before.iter().chain(added) {
        let inner = format!("{path}[{name}]");
        compare(
            &inner,
            find(old, name).as_ref(),
            find(new, name).as_ref(),
            out,
        );
    }
    let kept = |list: &[Arc<str>], other: &[Arc<str>]| -> Vec<Arc<str>> {
        list.iter().filter(|n| other.contains(n)).cloned().collect()
    };
    if kept(&before, &after) != kept(&after, &before) {
        let order = |list: &[Arc<str>]| Some(list.iter().map(|n| Value::from(&**n)).collect());
        out.push(Difference {
            path: format!("{path} order").into(),
            old: order(&before),
            new: order(&after),
        });
    }
}

fn named(list: &[Value]) -> bool {
    !list.is_empty() && list.iter().all(|v| name_of(v).is_some())
}

fn name_of(value: &Value) -> Option<&str> {
    value.get("name")?.as_str()
}
