use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use super::change::{self, Body, Change, Patch};
use super::lookup::{self, Lookup};
use super::model::{Destination, Idempotency, Limits, Route, Service, Table, WeightedService};
use super::store::{Outcome, Store};
use super::{Source, ValidationError, size, validate};

fn route(name: &str, host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(500),
        rank: 1,
        max_attempts: 2,
        destination: Destination::Service(service.into()),
        source: json!({"name": name}).into(),
    }
}

fn table(version: u64, routes: Vec<Route>) -> Table {
    let service = |name: &str| Service {
        name: name.into(),
        max_connections: 10,
        sharded: false,
        delivery: super::Delivery::Heartbeat,
        warmup: None,
        source: Value::Null,
    };
    Table {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: vec![Arc::new(service("a")), Arc::new(service("b"))],
        limits: Limits::default(),
    }
}

fn replacement(base: u64, version: u64, routes: Vec<Route>) -> Change {
    let text = format!("{version} {routes:?}");
    Change {
        base,
        version,
        digest: change::digest(base, text.as_bytes()),
        body: Body::Full(table(version, routes)),
    }
}

fn one_route() -> Vec<Route> {
    vec![route("r", "h", "/", "a")]
}

#[test]
fn the_route_with_the_longest_prefix_is_found() {
    let routes = vec![
        route("all", "h", "/", "a"),
        route("deep", "h", "/x/y/", "a"),
        route("x", "h", "/x/", "a"),
        route("other", "g", "/x/y/z/", "a"),
    ];
    let lookup = Lookup::new(&table(1, routes));
    let name = |host, path| lookup.find(host, path).map(|r| r.name.to_string());
    assert_eq!(name("h", "/x/y/z/1").as_deref(), Some("deep"));
    assert_eq!(name("h", "/x/1").as_deref(), Some("x"));
    assert_eq!(name("h", "/").as_deref(), Some("all"));
    assert_eq!(name("g", "/x/"), None);
    assert_eq!(name("unknown", "/x/"), None);
}

#[test]
fn a_service_is_picked_by_weight() {
    let weighted = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let mut split = route("r", "h", "/", "a");
    split.destination =
        Destination::Split(vec![weighted("a", 90), weighted("b", 10), weighted("c", 0)]);
    let at = |draw| lookup::pick_service(&split, draw).map(ToString::to_string);
    assert_eq!(at(0.0).as_deref(), Some("a"));
    assert_eq!(at(0.899).as_deref(), Some("a"));
    assert_eq!(at(0.901).as_deref(), Some("b"));
    assert_eq!(at(1.0).as_deref(), Some("b"));
}

#[test]
fn only_a_change_of_the_current_version_is_accepted() {
    let mut store = Store::default();
    assert_eq!(
        store.apply(1, replacement(0, 5, one_route())),
        Outcome::Accepted
    );
    assert_eq!(
        store.apply(2, replacement(0, 6, one_route())),
        Outcome::Conflict(5)
    );
    let old = Outcome::Refused(ValidationError::OldVersion(5));
    assert_eq!(store.apply(3, replacement(5, 5, vec![])), old);
    assert_eq!(
        store.apply(4, replacement(5, 9, one_route())),
        Outcome::Accepted
    );
    assert_eq!(store.version(), 9);
    assert!(store.since(3).is_some() && store.since(4).is_none());
}

#[test]
fn a_retried_change_is_accepted_even_after_later_ones() {
    let mut store = Store::default();
    let first = replacement(0, 5, one_route());
    store.apply(1, first.clone());
    store.apply(2, replacement(5, 9, one_route()));
    assert_eq!(store.apply(3, first), Outcome::Accepted);
    assert_eq!(store.version(), 9);
    assert!(store.since(1).is_some() && store.since(2).is_none());
}

#[test]
fn of_two_changes_with_the_same_version_one_is_accepted() {
    let mut store = Store::default();
    store.apply(1, replacement(0, 5, one_route()));
    let ours = replacement(5, 7, vec![route("ours", "h", "/", "a")]);
    let theirs = replacement(5, 7, vec![route("theirs", "h", "/", "a")]);
    assert_eq!(store.apply(2, ours.clone()), Outcome::Accepted);
    assert_eq!(store.apply(3, theirs), Outcome::Conflict(7));
    assert_eq!(store.apply(4, ours), Outcome::Accepted);
}

#[test]
fn a_patch_replaces_adds_and_removes_items_by_name() {
    let mut store = Store::default();
    let routes = vec![
        route("keep", "h", "/k/", "a"),
        route("old", "h", "/o/", "a"),
    ];
    store.apply(1, replacement(0, 1, routes));
    let patch = Patch {
        routes: vec![
            Arc::new(route("keep", "h", "/k/", "b")),
            Arc::new(route("new", "h", "/n/", "b")),
        ],
        removed_routes: ["old".into()].into(),
        ..Patch::default()
    };
    let change = Change {
        base: 1,
        version: 4,
        digest: change::digest(1, b"patch"),
        body: Body::Patch(patch),
    };
    assert_eq!(store.apply(2, change), Outcome::Accepted);
    let table = store.current().unwrap();
    let names: Vec<_> = table.routes.iter().map(|r| &*r.name).collect();
    assert_eq!(names, ["keep", "new"]);
    assert_eq!(table.version, 4);
    assert!(
        table
            .routes
            .iter()
            .all(|r| r.services().all(|s| &**s == "b"))
    );
}

#[test]
fn an_invalid_table_is_refused() {
    let error = |route: Route| validate::validate(&table(1, vec![route])).unwrap_err();
    let name = || "r".into();
    assert_eq!(
        error(route("r", "", "/", "a")),
        ValidationError::NoHost(name())
    );
    assert_eq!(
        error(route("r", "h", "x/", "a")),
        ValidationError::BarePrefix(name())
    );
    let unknown = ValidationError::UnknownService(name(), "z".into());
    assert_eq!(error(route("r", "h", "/", "z")), unknown);
    let twice = vec![route("r", "h", "/", "a"), route("s", "h", "/", "a")];
    let duplicate = validate::validate(&table(1, twice)).unwrap_err();
    assert_eq!(duplicate, ValidationError::SamePlace("s".into()));
    let mut store = Store::default();
    store.apply(1, replacement(0, 1, one_route()));
    let bad = store.apply(2, replacement(1, 2, vec![route("r", "", "/", "a")]));
    assert_eq!(bad, Outcome::Refused(ValidationError::NoHost(name())));
    assert_eq!(store.version(), 1);
}

#[test]
fn an_update_contains_only_changed_items_without_their_source() {
    let mut store = Store::default();
    let routes = vec![route("r", "h", "/r/", "a"), route("s", "h", "/s/", "a")];
    store.apply(1, replacement(0, 1, routes.clone()));
    let patch = Patch {
        routes: vec![Arc::new(route("s", "h", "/s/", "b"))],
        ..Patch::default()
    };
    let change = Change {
        base: 1,
        version: 2,
        digest: change::digest(1, b"patch"),
        body: Body::Patch(patch),
    };
    assert_eq!(store.apply(2, change), Outcome::Accepted);
    let update = store.since(1).unwrap();
    let names: Vec<_> = update.patch.routes.iter().map(|r| &*r.name).collect();
    assert_eq!((names, update.full), (vec!["s"], false));
    assert_eq!(update.patch.routes[0].source, Source::default());
    assert!(update.patch.services.is_empty());
    assert_eq!(store.since(0).unwrap().patch.routes.len(), 2);
}

/// Routes sorted by name, without their source.
fn sorted(table: &Table) -> Vec<Route> {
    let mut routes: Vec<_> = table.routes.iter().map(|r| r.without_source()).collect();
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    routes
}

#[test]
fn a_follower_that_polls_at_random_has_the_current_table() {
    for seed in 0..200 {
        arbtest::arbtest(|u| {
            let mut store = Store::default();
            let mut follower: Option<Table> = None;
            let mut base = 0;
            for index in 1..20_u64 {
                let names = ["p", "q", "r", "s"];
                let mut routes = Vec::new();
                for name in names {
                    let service = *u.choose(&["a", "b", ""])?;
                    if !service.is_empty() {
                        routes.push(route(name, "h", &format!("/{name}/"), service));
                    }
                }
                store.apply(index, replacement(store.version(), index, routes));
                if u.arbitrary()? {
                    if let Some(update) = store.since(base) {
                        follower = Some(update.apply(follower.as_ref()));
                    }
                    base = index;
                    let follower = follower.as_ref().unwrap();
                    assert_eq!(sorted(follower), sorted(store.current().unwrap()));
                    assert_eq!(follower.version, store.version());
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 1024)
        .run();
    }
}

/// Guards against a route that is held by each version of the table.
#[test]
fn a_replaced_table_shares_the_routes_that_did_not_change() {
    let mut store = Store::default();
    let routes = |timeout| {
        let mut changed = route("two", "h", "/two/", "a");
        changed.timeout = Duration::from_millis(timeout);
        vec![route("one", "h", "/one/", "a"), changed]
    };
    assert_eq!(
        store.apply(1, replacement(0, 1, routes(1000))),
        Outcome::Accepted
    );
    let old = Arc::clone(store.current().unwrap());
    assert_eq!(
        store.apply(2, replacement(1, 2, routes(900))),
        Outcome::Accepted
    );
    let new = store.current().unwrap();
    assert!(Arc::ptr_eq(&old.routes[0], &new.routes[0]));
    assert!(!Arc::ptr_eq(&old.routes[1], &new.routes[1]));
}

/// Guards against tables that grow past the memory of a control VM, at once or by patches.
#[test]
fn a_change_to_a_table_that_is_too_large_is_refused_with_its_size() {
    let large = |name: &str| {
        let mut large = route(name, "h", "/", "a");
        large.source = json!({"note": "x".repeat(size::MAX_BYTES / 2)}).into();
        large
    };
    let one = table(1, vec![large("one")]);
    let patch = |name: &str| Change {
        base: 1,
        version: 2,
        digest: "d".into(),
        body: Body::Patch(Patch {
            routes: vec![Arc::new(large(name))],
            ..Patch::default()
        }),
    };
    assert_eq!(
        size::check(
            None,
            &replacement(0, 1, one.routes.iter().map(|r| Route::clone(r)).collect())
        ),
        Ok(())
    );
    assert_eq!(size::check(Some(&one), &patch("one")), Ok(()));
    let error = size::check(Some(&one), &patch("two")).unwrap_err();
    assert!(error.bytes > size::MAX_BYTES);
    assert!(
        error.to_string().contains(&error.bytes.to_string()),
        "{error}"
    );
    let both = vec![large("one"), large("two")];
    assert_eq!(
        size::check(None, &replacement(0, 1, both)).unwrap_err(),
        error
    );
}
