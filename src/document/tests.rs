//! Tests of documents.

use std::collections::HashMap;
use std::sync::Arc;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use serde_json::Value;

use super::diff::diff;
use super::matcher::{MatchError, Matcher};
use super::model::Document;
use super::store::{Applied, Change, Store};
use super::{check, store};

const EXAMPLES: [&str; 4] = [
    include_str!("../../examples/documents/kiosk-core.json"),
    include_str!("../../examples/documents/depot-desk.json"),
    include_str!("../../examples/documents/rota.json"),
    include_str!("../../examples/documents/archive.json"),
];

/// Runs a property on fixed seeds, each with `bytes` bytes of random input.
fn run_cases<P>(count: u64, bytes: u64, mut property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    for i in 0..count {
        arbtest(&mut property).seed(i << 32 | bytes);
    }
}

fn kiosk() -> Document {
    check(EXAMPLES[0]).unwrap()
}

fn change(id: &str, base: u64, queue: u32) -> Change {
    let mut document = kiosk();
    document.limits.queue = queue;
    Change {
        service: Arc::clone(&document.service),
        base,
        change: id.into(),
        author: format!("author of {id}").into(),
        document,
        at_ms: 0,
    }
}

#[test]
fn examples_are_valid() {
    for text in EXAMPLES {
        let document = check(text).unwrap();
        let text = serde_json::to_string(&document).unwrap();
        assert_eq!(check(&text), Ok(document));
    }
}

/// The first of several changes made from one version is accepted, a retry gets the
/// first result, a reused id is refused, and versions only grow.
#[test]
fn concurrent_changes_never_overwrite_each_other() {
    run_cases(200, 2048, |u| {
        let mut store = Store::default();
        let mut first: HashMap<Arc<str>, (Change, Applied)> = HashMap::new();
        let mut current: u64 = 0;
        for index in 1..=u.int_in_range(10..=120)? {
            let id = format!("change-{}", u.int_in_range(0..=40)?);
            let base = (current + u.int_in_range(0..=3)?).saturating_sub(u.int_in_range(0..=2)?);
            let new = change(&id, base, u.int_in_range(0..=2)?);
            let change = match first.get(&new.change) {
                Some((sent, _)) if u.ratio(3, 4)? => sent.clone(),
                _ => new,
            };
            let preview = match store.preview(&change) {
                Applied::Accepted { version, .. } => Applied::Accepted { version, index },
                other => other,
            };
            let applied = store.apply(index, change.clone());
            assert_eq!(applied, preview);
            let earlier = first.get(&change.change);
            match (&applied, earlier) {
                (&Applied::Accepted { version, index: at }, None) => {
                    assert_eq!((change.base, version, at), (current, current + 1, index));
                    current = version;
                    assert_eq!(
                        store.current("kiosk-core").unwrap().document,
                        change.document
                    );
                }
                (Applied::Conflict { version, .. }, None) => {
                    assert_ne!(change.base, current);
                    assert_eq!(*version, current);
                }
                (
                    &Applied::Duplicate { version, index },
                    Some((
                        sent,
                        Applied::Accepted {
                            version: v,
                            index: i,
                        },
                    )),
                ) => {
                    assert_eq!((version, index), (*v, *i));
                    assert_eq!(*sent, change);
                }
                (Applied::Conflict { .. }, Some((sent, Applied::Conflict { .. }))) => {
                    assert_eq!(*sent, change);
                }
                (Applied::Reused, Some((sent, _))) => assert_ne!(*sent, change),
                other => panic!("wrong result: {other:?}"),
            }
            if earlier.is_none() {
                first.insert(Arc::clone(&change.change), (change, applied));
            }
            assert_eq!(
                store.current("kiosk-core").map_or(0, |e| e.version),
                current
            );
        }
        let snapshot = serde_json::to_string(&store).unwrap();
        assert_eq!(serde_json::from_str::<Store>(&snapshot).unwrap(), store);
        Ok(())
    });
}

#[test]
fn a_retry_gets_the_first_result_after_hundreds_of_changes() {
    let mut store = Store::default();
    for base in 0..1000 {
        store.apply(base + 10, change(&format!("change-{base}"), base, 1));
    }
    let retry = store.apply(5000, change("change-0", 0, 1));
    assert_eq!(
        retry,
        Applied::Duplicate {
            version: 1,
            index: 10
        }
    );
    assert_eq!(store.apply(5001, change("change-0", 0, 2)), Applied::Reused);
    assert_eq!(store.current("kiosk-core").unwrap().version, 1000);
    assert_eq!(store.history("kiosk-core").count(), store::VERSIONS_KEPT);
    assert_eq!(store.version("kiosk-core", 900).unwrap().index, 909);
    assert_eq!(store.version("kiosk-core", 1), None);
}

#[test]
fn a_change_whose_id_is_not_kept_is_never_accepted_twice() {
    let mut store = Store::default();
    let count = store::CHANGE_IDS_KEPT as u64 + 5;
    for base in 0..count {
        store.apply(base + 1, change(&format!("change-{base}"), base, 1));
    }
    let retry = store.apply(9000, change("change-0", 0, 1));
    assert!(matches!(retry, Applied::Conflict { version, .. } if version == count));
}

#[test]
fn a_change_made_from_a_future_version_stays_refused() {
    let mut store = Store::default();
    for (index, id, base) in [(1, "early", 1), (2, "first", 0), (3, "early", 1)] {
        let applied = store.apply(index, change(id, base, 1));
        assert_eq!(matches!(applied, Applied::Conflict { .. }), id == "early");
    }
}

#[test]
fn updates_are_the_documents_changed_since_an_index() {
    let mut store = Store::default();
    store.apply(4, change("a", 0, 1));
    let mut other = change("b", 0, 1);
    other.service = "other".into();
    store.apply(6, other);
    store.apply(9, change("c", 1, 2));
    let updates = |since| -> Vec<Arc<str>> {
        store
            .updates_since(since)
            .into_iter()
            .map(|n| n.change)
            .collect()
    };
    assert_eq!(updates(0), ["c".into(), "b".into()]);
    assert_eq!(updates(6), ["c".into()]);
    assert_eq!(updates(9), []);
}

#[test]
fn requests_match_their_route_and_key() {
    let text = EXAMPLES[3].replace("path:parish", "path:design");
    let text = text.replace("/parishes/{parish}/supplies", "/{design}/supplies");
    let archive = Matcher::new(&check(&text).unwrap());
    let kiosk = Matcher::new(&kiosk());
    let find = |matcher: &Matcher, method: &str, target: &str| {
        let found = matcher.find(method, target, |_| None);
        found.map(|m| (m.route, m.key.to_string()))
    };
    let key = |route, key: &str| Ok((route, key.to_owned()));
    let no_key = |source: &str| {
        Err(MatchError::NoKey {
            source: source.into(),
        })
    };
    assert_eq!(
        find(&kiosk, "POST", "/lockers/a%2Fb/release"),
        key(0, "a/b")
    );
    assert_eq!(
        find(&kiosk, "POST", "/lockers/%61/rele%61se?x=1"),
        key(0, "a")
    );
    assert_eq!(
        find(&kiosk, "GET", "/stock?kiosk=Eyre+Sq%75are"),
        key(4, "Eyre Square")
    );
    assert_eq!(
        find(&kiosk, "GET", "/stock?kiosk=a&kiosk=b"),
        no_key("query:kiosk")
    );
    assert_eq!(find(&kiosk, "GET", "/stock?k=a"), no_key("query:kiosk"));
    assert_eq!(
        find(&kiosk, "GET", "/stock?kiosk=%ff"),
        no_key("query:kiosk")
    );
    for target in [
        "/",
        "",
        "*",
        "/lockers/",
        "/lockers/a/",
        "/lockers//release",
        "/lockers/%2",
    ] {
        assert_eq!(
            find(&kiosk, "POST", target),
            Err(MatchError::NoRoute),
            "{target}"
        );
    }
    for target in [
        "/lockers/../release",
        "/lockers/%2e%2e/release",
        "/lockers/./release",
    ] {
        assert_eq!(
            find(&kiosk, "POST", target),
            Err(MatchError::NoRoute),
            "{target}"
        );
    }
    let allow = "POST".into();
    let wrong_method = Err(MatchError::MethodNotAllowed { allow });
    assert_eq!(find(&kiosk, "GET", "/lockers/a/release"), wrong_method);
    assert_eq!(
        find(&archive, "GET", "/parishes/p/designs/a/b%20c"),
        key(2, "a/b c")
    );
    assert_eq!(
        find(&archive, "GET", "/parishes/p/designs"),
        Err(MatchError::NoRoute)
    );
}

#[test]
fn a_header_can_hold_the_key() {
    let mut document = kiosk();
    document.routes[4].key = "header:X-Kiosk".into();
    let matcher = Matcher::new(&document);
    let found = matcher.find("GET", "/stock", |name| {
        (name == "x-kiosk").then_some(" k 7 ")
    });
    assert_eq!(&*found.unwrap().key, "k 7");
    let found = matcher.find("GET", "/stock", |_| None);
    assert_eq!(
        found,
        Err(MatchError::NoKey {
            source: "header:X-Kiosk".into()
        })
    );
}

#[test]
fn differences_name_routes_and_order() {
    let old = kiosk();
    let mut new = old.clone();
    new.routes[0].deadline = std::time::Duration::from_secs(7);
    new.routes.swap(1, 2);
    new.routes.pop();
    new.ranks.pop();
    let lines: Vec<String> = diff(&old, &new)
        .iter()
        .map(|d| serde_json::to_string(d).unwrap())
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(diff(&old, &old), []);
}

/// Changes a random part of a JSON value, often to an invalid one.
fn mutate(u: &mut Unstructured<'_>, value: &mut Value) -> arbitrary::Result<()> {
    if u.ratio(1, 4)? {
        *value = match u.int_in_range(0..=7)? {
            0 => Value::Null,
            1 => u.arbitrary::<bool>()?.into(),
            2 => u.arbitrary::<u64>()?.into(),
            3 => u.arbitrary::<i64>()?.into(),
            4 => u.arbitrary::<f64>()?.into(),
            5 => u.arbitrary::<&str>()?.into(),
            6 => "é".repeat(u.int_in_range(0..=60)?).into(),
            _ => serde_json::json!({ "name": [[], {}] }),
        };
        return Ok(());
    }
    match value {
        Value::Array(list) if !list.is_empty() => {
            let at = u.choose_index(list.len())?;
            match u.int_in_range(0..=4)? {
                0 => drop(list.remove(at)),
                1 => list.push(list[at].clone()),
                _ => mutate(u, &mut list[at])?,
            }
        }
        Value::Object(map) if !map.is_empty() => {
            let at = u.choose_index(map.len())?;
            let name = map.keys().nth(at).unwrap().clone();
            match u.int_in_range(0..=4)? {
                0 => drop(map.remove(&name)),
                1 => drop(map.insert(u.arbitrary()?, Value::Null)),
                _ => mutate(u, &mut map[&name])?,
            }
        }
        _ => *value = u.arbitrary::<i32>()?.into(),
    }
    Ok(())
}

#[test]
fn check_limits_depth_and_length() {
    let nested = "[".repeat(1 << 20);
    assert_eq!(check(&nested).unwrap_err().len(), 1);
    let ranks: Vec<String> = (0..100_000).map(|i| format!("rank-{i}")).collect();
    let mut value: Value = serde_json::from_str(EXAMPLES[0]).unwrap();
    value["ranks"] = ranks.into();
    value["routes"][0]["path"] = "/a".repeat(100_000).into();
    let findings = check(&value.to_string()).unwrap_err();
    let text_length: usize = findings.iter().map(|f| f.to_string().len()).sum();
    assert_eq!((findings.len(), text_length < 5000), (7, true));
    assert!(findings.iter().any(|f| &*f.path == "routes[0].path"));
}

/// `check` accepts or refuses any mutation; an accepted document can be compiled and matched.
#[test]
fn check_handles_any_mutation() {
    let (mut valid, mut invalid) = (0, 0);
    run_cases(3000, 512, |u| {
        let mut value: Value = serde_json::from_str(u.choose(&EXAMPLES)?).unwrap();
        for _ in 0..u.int_in_range(1..=3)? {
            mutate(u, &mut value)?;
        }
        let mut text = value.to_string();
        if u.ratio(1, 10)? {
            let length = u.choose_index(text.len())?;
            text = text.chars().take(length).collect();
        }
        match check(&text) {
            Ok(document) => {
                valid += 1;
                let _ = Matcher::new(&document).find("GET", u.arbitrary()?, |_| None);
            }
            Err(findings) => {
                invalid += 1;
                assert!(!findings.is_empty());
            }
        }
        Ok(())
    });
    assert!(
        valid > 100 && invalid > 100,
        "{valid} valid, {invalid} invalid"
    );
}
