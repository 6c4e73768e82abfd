use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use super::change::{self, Body, Change, Patch};
use super::lookup::{self, Lookup};
use super::model::{Destination, Idempotency, Limits, Route, Service, Table, WeightedService};
use super::store::{Outcome, Store};
use super::{ValidationError, validate};

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
        source: json!({"name": name}),
    }
}

fn table(version: u64, routes: Vec<Route>) -> Table {
    let service = |name: &str| Service {
        name: name.into(),
        max_connections: 10,
        sharded: false,
        source: Value::Null,
    };
    Table {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: vec![Arc::new(service("a")), Arc::new(service("b"))],
        limits: Limits::default(),
    }
}

fn whole(base: u64, version: u64, routes: Vec<Route>) -> Change {
    let text = format!("{version} {routes:?}");
    Change {
        base,
        version,
        digest: change::digest(base, text.as_bytes()),
        body: Body::Full(table(version, routes)),
    }
}

fn one() -> Vec<Route> {
    vec![route("r", "h", "/", "a")]
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
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
fn a_split_follows_its_weights() {
    let part = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let mut split = route("r", "h", "/", "a");
    split.destination = Destination::Split(vec![part("a", 90), part("b", 10), part("c", 0)]);
    let at = |draw| lookup::pick_service(&split, draw).map(ToString::to_string);
    assert_eq!(at(0.0).as_deref(), Some("a"));
    assert_eq!(at(0.899).as_deref(), Some("a"));
    assert_eq!(at(0.901).as_deref(), Some("b"));
    assert_eq!(at(1.0).as_deref(), Some("b"));
}

#[test]
fn a_change_is_taken_on_top_of_the_current_version_only() {
    let mut store = Store::default();
    assert_eq!(store.apply(1, whole(0, 5, one())), Outcome::Accepted);
    assert_eq!(store.apply(2, whole(0, 6, one())), Outcome::Conflict(5));
    let old = Outcome::Refused(ValidationError::OldVersion(5));
    assert_eq!(store.apply(3, whole(5, 5, vec![])), old);
    assert_eq!(store.apply(4, whole(5, 9, one())), Outcome::Accepted);
    assert_eq!(store.version(), 9);
    assert!(store.since(3).is_some() && store.since(4).is_none());
}

#[test]
fn an_accepted_change_is_acknowledged_again_even_after_others() {
    let mut store = Store::default();
    let first = whole(0, 5, one());
    store.apply(1, first.clone());
    store.apply(2, whole(5, 9, one()));
    assert_eq!(store.apply(3, first), Outcome::Accepted);
    assert_eq!(store.version(), 9);
    assert!(store.since(1).is_some() && store.since(2).is_none());
}

#[test]
fn of_two_changes_with_one_number_one_wins() {
    let mut store = Store::default();
    store.apply(1, whole(0, 5, one()));
    let ours = whole(5, 7, vec![route("ours", "h", "/", "a")]);
    let theirs = whole(5, 7, vec![route("theirs", "h", "/", "a")]);
    assert_eq!(store.apply(2, ours.clone()), Outcome::Accepted);
    assert_eq!(store.apply(3, theirs), Outcome::Conflict(7));
    assert_eq!(store.apply(4, ours), Outcome::Accepted);
}

#[test]
fn a_patch_replaces_adds_and_removes_by_name() {
    let mut store = Store::default();
    let routes = vec![
        route("keep", "h", "/k/", "a"),
        route("old", "h", "/o/", "a"),
    ];
    store.apply(1, whole(0, 1, routes));
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
fn an_invalid_table_is_refused_whole() {
    let refused = |route: Route| validate::validate(&table(1, vec![route])).unwrap_err();
    let name = || "r".into();
    assert_eq!(
        refused(route("r", "", "/", "a")),
        ValidationError::NoHost(name())
    );
    assert_eq!(
        refused(route("r", "h", "x/", "a")),
        ValidationError::BarePrefix(name())
    );
    let unknown = ValidationError::UnknownService(name(), "z".into());
    assert_eq!(refused(route("r", "h", "/", "z")), unknown);
    let twice = vec![route("r", "h", "/", "a"), route("s", "h", "/", "a")];
    let place = validate::validate(&table(1, twice)).unwrap_err();
    assert_eq!(place, ValidationError::SamePlace("s".into()));
    let mut store = Store::default();
    store.apply(1, whole(0, 1, one()));
    let bad = store.apply(2, whole(1, 2, vec![route("r", "", "/", "a")]));
    assert_eq!(bad, Outcome::Refused(ValidationError::NoHost(name())));
    assert_eq!(store.version(), 1);
}

#[test]
fn an_update_holds_what_changed_without_what_was_written() {
    let mut store = Store::default();
    let routes = vec![route("r", "h", "/r/", "a"), route("s", "h", "/s/", "a")];
    store.apply(1, whole(0, 1, routes.clone()));
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
    assert_eq!(update.patch.routes[0].source, Value::Null);
    assert!(update.patch.services.is_empty());
    assert_eq!(store.since(0).unwrap().patch.routes.len(), 2);
}

/// Routes in the order of their names, without what was source.
fn sorted(table: &Table) -> Vec<Route> {
    let mut routes: Vec<_> = table.routes.iter().map(|r| r.without_source()).collect();
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    routes
}

#[test]
fn a_follower_that_asks_now_and_then_has_the_table_in_force() {
    for seed in 0..200 {
        arbtest::arbtest(|u| {
            let mut store = Store::default();
            let mut follower: Option<Table> = None;
            let mut have = 0;
            for index in 1..20_u64 {
                let names = ["p", "q", "r", "s"];
                let mut routes = Vec::new();
                for name in names {
                    let service = *u.choose(&["a", "b", ""])?;
                    if !service.is_empty() {
                        routes.push(route(name, "h", &format!("/{name}/"), service));
                    }
                }
                store.apply(index, whole(store.version(), index, routes));
                if u.arbitrary()? {
                    if let Some(update) = store.since(have) {
                        follower = Some(update.apply(follower.as_ref()));
                    }
                    have = index;
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
