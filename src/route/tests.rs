//! Route maps and the table over them.

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

fn full(epoch: u64, routes: &[(Span, u64, Option<&str>)]) -> PullResponse {
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

fn table() -> Table {
    let table = Table::default();
    table.add_zone(&"s".into(), &"galway".into());
    table.add_zone(&"s".into(), &"cork".into());
    table
}

fn owner(table: &Table, hash: u64, now: Instant) -> Option<(String, u64)> {
    match table.lookup("s", hash, now) {
        Lookup::Owner(owner) => Some((owner.server.server.to_string(), owner.fence)),
        Lookup::Unowned | Lookup::UnknownService => None,
    }
}

#[test]
fn a_map_runs_out_from_the_moment_of_the_question() {
    let table = table();
    let sent = clock::now();
    assert!(table.apply("s", "galway", full(1, &[(Span::ALL, 7, Some("a"))]), sent));
    let almost = timing::ROUTE_LEASE.saturating_sub(Duration::from_millis(1));
    assert!(owner(&table, 5, sent + almost).is_some());
    assert!(owner(&table, 5, sent + timing::ROUTE_LEASE).is_none());
}

#[test]
fn an_older_epoch_never_comes_back() {
    let table = table();
    let now = clock::now();
    assert!(table.apply("s", "galway", full(2, &[(Span::ALL, 20, Some("b"))]), now));
    assert!(!table.apply("s", "galway", full(1, &[(Span::ALL, 10, Some("a"))]), now));
    assert_eq!(owner(&table, 5, now), Some(("b".into(), 20)));
}

#[test]
fn a_carrier_that_goes_on_under_a_higher_epoch_sends_deltas() {
    let table = table();
    let now = clock::now();
    table.apply("s", "galway", full(3, &[(Span::ALL, 7, Some("a"))]), now);
    let mut delta = full(4, &[]);
    delta.is_full = false;
    assert!(table.apply("s", "galway", delta, now));
    assert_eq!(owner(&table, 5, now), Some(("a".into(), 7)));
}

#[test]
fn a_delta_without_a_map_is_refused() {
    let table = table();
    let mut delta = full(4, &[]);
    delta.is_full = false;
    assert!(!table.apply("s", "galway", delta, clock::now()));
}

#[test]
fn a_delta_takes_out_before_it_puts_in() {
    let table = table();
    let now = clock::now();
    let whole = Span { start: 0, end: 99 };
    table.apply("s", "galway", full(1, &[(whole, 3, Some("a"))]), now);
    let hot = Span::one(40);
    let mut delta = full(1, &[(hot, 4, Some("b"))]);
    delta.is_full = false;
    delta.removed = vec![whole];
    delta
        .routes
        .extend(whole.without(40).into_iter().map(|span| Route {
            span,
            fence: 3,
            server: Some("a".into()),
        }));
    assert!(table.apply("s", "galway", delta, now));
    assert_eq!(owner(&table, 40, now), Some(("b".into(), 4)));
    assert_eq!(owner(&table, 41, now), Some(("a".into(), 3)));
    assert_eq!(owner(&table, 0, now), Some(("a".into(), 3)));
    assert_eq!(owner(&table, 100, now), None);
}

#[test]
fn of_two_zones_the_higher_fence_counts() {
    let table = table();
    let now = clock::now();
    table.apply("s", "galway", full(1, &[(Span::ALL, 3, Some("a"))]), now);
    table.apply("s", "cork", full(2, &[(Span::ALL, 9, Some("b"))]), now);
    assert_eq!(owner(&table, 1, now), Some(("b".into(), 9)));
}

#[test]
fn a_route_without_owner_is_awaited() {
    let table = table();
    let now = clock::now();
    table.apply("s", "galway", full(1, &[(Span::ALL, 3, None)]), now);
    assert!(matches!(table.lookup("s", 1, now), Lookup::Unowned));
    assert!(matches!(table.lookup("t", 1, now), Lookup::UnknownService));
}

#[test]
fn the_hottest_hashes_are_reported() {
    let table = table();
    let now = clock::now();
    table.apply("s", "galway", full(1, &[(Span::ALL, 3, Some("a"))]), now);
    let Lookup::Owner(found) = table.lookup("s", 1, now) else {
        panic!("no owner");
    };
    for i in 0..300u64 {
        let hash = if i % 3 == 0 {
            77
        } else {
            keys::hash(&i.to_string())
        };
        table.count_request("s", &found, hash);
    }
    let loads = table.take_loads("s", "galway");
    assert_eq!(loads.len(), 1);
    assert_eq!(loads[0].requests, 300);
    let hottest = loads[0].hot_hashes.iter().max_by_key(|(_, n)| *n).unwrap();
    assert_eq!(hottest.0, 77);
    assert!(table.take_loads("s", "galway").is_empty());
}

/// A carrier that may answer no question, or answer without a map.
#[derive(Default)]
struct FakeCarrier {
    silent: Cell<bool>,
    mapless: Cell<bool>,
    number: Cell<u64>,
    votes: RefCell<Vec<(bool, u64)>>,
}

async fn fake_pull(carrier: Rc<FakeCarrier>, body: Box<RawValue>) -> server::Answer {
    let request: PullRequest = server::params(&body)?;
    let vote = (request.votes, request.last_response);
    carrier.votes.borrow_mut().push(vote);
    if carrier.silent.get() {
        std::future::pending::<()>().await;
    }
    monoio::time::sleep(Duration::from_millis(5)).await;
    carrier.number.set(carrier.number.get() + 1);
    let map = if carrier.mapless.get() {
        PullResponse::default()
    } else {
        full(1, &[])
    };
    server::result(&PullResponse {
        number: carrier.number.get(),
        ..map
    })
}

/// Asks a fake carrier for routes into `table`, as a voter.
fn pull_from(carrier: &Rc<FakeCarrier>, table: &Table) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let fake = Rc::clone(carrier);
    let journal = Journal::new("e".into());
    monoio::spawn(rpc::serve(listener, journal.clone(), move |_, body| {
        fake_pull(Rc::clone(&fake), body)
    }));
    let target = pull::Target {
        epoch: 1,
        peer: rpc::Peer::new(address, journal.clone()),
        votes: true,
    };
    let sources = pull::Hooks {
        find_target: Box::new(move |_, _| Some(target.clone())),
        on_vote: Box::new(|_, _, _, _| {}),
    };
    let puller = pull::Puller::new(table.clone(), journal, sources);
    puller.ensure(&"s".into(), &"galway".into());
}

#[test]
fn a_silent_carrier_gets_no_vote_until_it_answers_again() {
    runtime::run(async {
        let carrier = Rc::new(FakeCarrier::default());
        pull_from(&carrier, &table());
        wait_for(|| carrier.votes.borrow().len() >= 3).await;
        let first = carrier.votes.borrow()[..3].to_vec();
        assert_eq!(first, [(false, 0), (true, 1), (true, 2)]);
        carrier.silent.set(true);
        wait_for(|| carrier.votes.borrow().last() == Some(&(false, 0))).await;
        let before = carrier.votes.borrow().len();
        wait_for(|| carrier.votes.borrow().len() >= before + 2).await;
        let later = carrier.votes.borrow()[before..].to_vec();
        assert!(later.iter().all(|vote| *vote == (false, 0)), "{later:?}");
        carrier.silent.set(false);
        wait_for(|| carrier.votes.borrow().last().is_some_and(|vote| vote.0)).await;
    });
}

#[test]
fn a_carrier_without_a_right_gets_votes_and_its_answers_prolong_nothing() {
    runtime::run(async {
        let carrier = Rc::new(FakeCarrier::default());
        carrier.mapless.set(true);
        let table = table();
        pull_from(&carrier, &table);
        wait_for(|| carrier.votes.borrow().len() >= 3).await;
        let first = carrier.votes.borrow()[..3].to_vec();
        assert_eq!(first, [(false, 0), (true, 1), (true, 2)]);
        assert!(matches!(
            table.lookup("s", 5, clock::now()),
            Lookup::Unowned
        ));
    });
}

async fn wait_for<F>(done: F)
where
    F: Fn() -> bool,
{
    for _ in 0..2_000 {
        if done() {
            return;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("waited in vain");
}
