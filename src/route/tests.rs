//! Tests of route maps, the table and pull tasks.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::TcpListener;
use serde_json::value::RawValue;

use super::messages::{PullRequest, PullResponse, Route, ServerInfo};
use super::pull;
use super::table::{Lookup, Table};
use crate::clock;
use crate::keys::{self, Span};
use crate::rpc::{self, server};
use crate::runtime;
use crate::timeline::Journal;
use crate::timing;

fn server(name: &str) -> ServerInfo {
    ServerInfo {
        server: name.into(),
        incarnation: "i1".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        slots: 6,
        checks_fences: true,
        warm_percent: 100,
    }
}

fn full_response(epoch: u64, routes: &[(Span, u64, Option<&str>)]) -> PullResponse {
    PullResponse {
        number: 1,
        epoch,
        version: 1,
        is_full: true,
        removed: vec![],
        routes: routes
            .iter()
            .map(|&(span, fence, owner)| Route {
                span,
                fence,
                server: owner.map(Into::into),
            })
            .collect(),
        servers: vec![server("a"), server("b")],
    }
}

fn new_table() -> Table {
    let table = Table::default();
    table.add_zone(&"s".into(), &"galway".into());
    table.add_zone(&"s".into(), &"cork".into());
    table
}

fn owner_and_fence(table: &Table, hash: u64, now: Instant) -> Option<(String, u64)> {
    match table.lookup("s", hash, now) {
        Lookup::Owner(owner) => Some((owner.server.server.to_string(), owner.fence)),
        Lookup::Unrouted | Lookup::UnknownService => None,
    }
}

#[test]
fn map_expiry_counts_from_the_time_of_the_request() {
    let table = new_table();
    let sent = clock::now();
    assert!(table.apply(
        "s",
        "galway",
        full_response(1, &[(Span::ALL, 7, Some("a"))]),
        sent
    ));
    let almost_expired = timing::ROUTE_LEASE.saturating_sub(Duration::from_millis(1));
    assert!(owner_and_fence(&table, 5, sent + almost_expired).is_some());
    assert!(owner_and_fence(&table, 5, sent + timing::ROUTE_LEASE).is_none());
}

#[test]
fn map_of_an_older_epoch_is_refused() {
    let table = new_table();
    let now = clock::now();
    assert!(table.apply(
        "s",
        "galway",
        full_response(2, &[(Span::ALL, 20, Some("b"))]),
        now
    ));
    assert!(!table.apply(
        "s",
        "galway",
        full_response(1, &[(Span::ALL, 10, Some("a"))]),
        now
    ));
    assert_eq!(owner_and_fence(&table, 5, now), Some(("b".into(), 20)));
}

#[test]
fn primary_that_continues_under_a_higher_epoch_sends_updates() {
    let table = new_table();
    let now = clock::now();
    table.apply(
        "s",
        "galway",
        full_response(3, &[(Span::ALL, 7, Some("a"))]),
        now,
    );
    let mut update = full_response(4, &[]);
    update.is_full = false;
    assert!(table.apply("s", "galway", update, now));
    assert_eq!(owner_and_fence(&table, 5, now), Some(("a".into(), 7)));
}

#[test]
fn update_without_a_map_is_refused() {
    let table = new_table();
    let mut update = full_response(4, &[]);
    update.is_full = false;
    assert!(!table.apply("s", "galway", update, clock::now()));
}

#[test]
fn update_removes_spans_before_it_inserts_routes() {
    let table = new_table();
    let now = clock::now();
    let whole = Span { start: 0, end: 99 };
    table.apply(
        "s",
        "galway",
        full_response(1, &[(whole, 3, Some("a"))]),
        now,
    );
    let hot = Span::single(40);
    let mut update = full_response(1, &[(hot, 4, Some("b"))]);
    update.is_full = false;
    update.removed = vec![whole];
    update
        .routes
        .extend(whole.without(40).into_iter().map(|span| Route {
            span,
            fence: 3,
            server: Some("a".into()),
        }));
    assert!(table.apply("s", "galway", update, now));
    assert_eq!(owner_and_fence(&table, 40, now), Some(("b".into(), 4)));
    assert_eq!(owner_and_fence(&table, 41, now), Some(("a".into(), 3)));
    assert_eq!(owner_and_fence(&table, 0, now), Some(("a".into(), 3)));
    assert_eq!(owner_and_fence(&table, 100, now), None);
}

#[test]
fn route_with_the_higher_fence_wins_between_two_zones() {
    let table = new_table();
    let now = clock::now();
    table.apply(
        "s",
        "galway",
        full_response(1, &[(Span::ALL, 3, Some("a"))]),
        now,
    );
    table.apply(
        "s",
        "cork",
        full_response(2, &[(Span::ALL, 9, Some("b"))]),
        now,
    );
    assert_eq!(owner_and_fence(&table, 1, now), Some(("b".into(), 9)));
}

#[test]
fn route_without_an_owner_is_unowned() {
    let table = new_table();
    let now = clock::now();
    table.apply(
        "s",
        "galway",
        full_response(1, &[(Span::ALL, 3, None)]),
        now,
    );
    assert!(matches!(table.lookup("s", 1, now), Lookup::Unrouted));
    assert!(matches!(table.lookup("t", 1, now), Lookup::UnknownService));
}

#[test]
fn hottest_hash_is_reported() {
    let table = new_table();
    let now = clock::now();
    table.apply(
        "s",
        "galway",
        full_response(1, &[(Span::ALL, 3, Some("a"))]),
        now,
    );
    let Lookup::Owner(owner) = table.lookup("s", 1, now) else {
        panic!("no owner");
    };
    for i in 0..300u64 {
        let hash = if i % 3 == 0 {
            77
        } else {
            keys::hash(&i.to_string())
        };
        table.count_request("s", &owner, hash);
    }
    let loads = table.take_loads("s", "galway");
    assert_eq!(loads.len(), 1);
    assert_eq!(loads[0].requests, 300);
    let hottest = loads[0].hot_hashes.iter().max_by_key(|(_, n)| *n).unwrap();
    assert_eq!(hottest.0, 77);
    assert!(table.take_loads("s", "galway").is_empty());
}

/// A primary that can be told not to respond, or to respond without a map.
#[derive(Default)]
struct MockPrimary {
    silent: Cell<bool>,
    without_map: Cell<bool>,
    number: Cell<u64>,
    votes: RefCell<Vec<(bool, u64)>>,
}

async fn handle_pull(primary: Rc<MockPrimary>, body: Box<RawValue>) -> server::RpcResult {
    let request: PullRequest = server::decode_params(&body)?;
    let vote = (request.votes, request.last_response);
    primary.votes.borrow_mut().push(vote);
    if primary.silent.get() {
        std::future::pending::<()>().await;
    }
    monoio::time::sleep(Duration::from_millis(5)).await;
    primary.number.set(primary.number.get() + 1);
    let map = if primary.without_map.get() {
        PullResponse::default()
    } else {
        full_response(1, &[])
    };
    server::encode_result(&PullResponse {
        number: primary.number.get(),
        ..map
    })
}

/// Starts to pull routes from a mock primary into `table`, as a voter.
fn pull_from(primary: &Rc<MockPrimary>, table: &Table) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mock = Rc::clone(primary);
    let journal = Journal::new("e".into());
    monoio::spawn(rpc::serve(listener, journal.clone(), move |_, body| {
        handle_pull(Rc::clone(&mock), body)
    }));
    let target = pull::Target {
        epoch: 1,
        peer: rpc::Peer::new(address, journal.clone()),
        votes: true,
    };
    let hooks = pull::Hooks {
        find_target: Box::new(move |_, _| Some(target.clone())),
        on_vote: Box::new(|_, _, _, _| {}),
    };
    let puller = pull::Puller::new(table.clone(), journal, hooks);
    puller.ensure(&"s".into(), &"galway".into());
}

#[test]
fn silent_primary_gets_no_vote_until_it_responds_again() {
    runtime::run(async {
        let primary = Rc::new(MockPrimary::default());
        pull_from(&primary, &new_table());
        wait_for(|| primary.votes.borrow().len() >= 3).await;
        let first = primary.votes.borrow()[..3].to_vec();
        assert_eq!(first, [(false, 0), (true, 1), (true, 2)]);
        primary.silent.set(true);
        wait_for(|| primary.votes.borrow().last() == Some(&(false, 0))).await;
        let before = primary.votes.borrow().len();
        wait_for(|| primary.votes.borrow().len() >= before + 2).await;
        let later = primary.votes.borrow()[before..].to_vec();
        assert!(later.iter().all(|vote| *vote == (false, 0)), "{later:?}");
        primary.silent.set(false);
        wait_for(|| primary.votes.borrow().last().is_some_and(|vote| vote.0)).await;
    });
}

#[test]
fn primary_without_a_lease_gets_votes_and_its_responses_extend_no_map() {
    runtime::run(async {
        let primary = Rc::new(MockPrimary::default());
        primary.without_map.set(true);
        let table = new_table();
        pull_from(&primary, &table);
        wait_for(|| primary.votes.borrow().len() >= 3).await;
        let first = primary.votes.borrow()[..3].to_vec();
        assert_eq!(first, [(false, 0), (true, 1), (true, 2)]);
        assert!(matches!(
            table.lookup("s", 5, clock::now()),
            Lookup::Unrouted
        ));
    });
}

async fn wait_for<F>(condition: F)
where
    F: Fn() -> bool,
{
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition did not become true");
}
