//! A new primary's wait for the leases of its predecessors.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use monoio::net::TcpListener;

use super::fixture::{entry_vm, ms};
use crate::delegate::manager::ask_voters;
use crate::delegate::messages::{Delegation, Predecessor, PromiseResponse, WatchResponse};
use crate::delegate::takeover::Takeover;
use crate::delegate::view::View;
use crate::delegate::voter::Voter;
use crate::keys::Span;
use crate::rpc::{serve, server};
use crate::runtime;
use crate::timeline::Journal;

fn predecessor(epoch: u64, voters: &[&str], tiebreak: bool) -> Predecessor {
    Predecessor {
        epoch,
        primary: voters[0].into(),
        voters: voters.iter().map(|v| (*v).into()).collect(),
        tiebreak,
        term: ms(5000),
        resigned: false,
    }
}

fn delegation(predecessors: Vec<Predecessor>) -> Delegation {
    Delegation {
        service: "s".into(),
        zone: "z".into(),
        epoch: 9,
        primary: "b".into(),
        voters: vec!["b".into()],
        tiebreak: false,
        term: ms(5000),
        spans: vec![Span::ALL],
        predecessors,
    }
}

fn promise_voted(voted_ms: Option<u64>) -> PromiseResponse {
    PromiseResponse {
        voted_ms,
        running_ms: 70,
    }
}

#[test]
fn takeover_waits_for_the_term_without_a_majority() {
    let now = Instant::now();
    let mut takeover = Takeover::new(
        now,
        &delegation(vec![predecessor(8, &["a", "b", "c"], false)]),
    );
    assert_eq!(takeover.expiry(), Some(now + ms(5020)));
    takeover.record_promise(now + ms(10), &"b".into(), &promise_voted(Some(4)));
    assert_eq!(takeover.expiry(), Some(now + ms(5020)));
    takeover.record_promise(now + ms(30), &"c".into(), &promise_voted(Some(10)));
    assert_eq!(takeover.expiry(), Some(now + ms(20 + 320)));
    takeover.record_promise(now + ms(40), &"a".into(), &promise_voted(Some(40)));
    assert_eq!(takeover.expiry(), Some(now + ms(6 + 320)));
}

#[test]
fn restarted_voter_counts_as_having_voted_before_its_start() {
    let now = Instant::now();
    let mut takeover = Takeover::new(now, &delegation(vec![predecessor(8, &["a", "b"], true)]));
    takeover.record_promise(now + ms(100), &"b".into(), &promise_voted(None));
    assert_eq!(takeover.expiry(), Some(now + ms(30 + 320)));
}

#[test]
fn takeover_waits_for_every_predecessor_that_has_not_resigned() {
    let now = Instant::now();
    let resigned = Predecessor {
        resigned: true,
        ..predecessor(8, &["d", "e", "f"], false)
    };
    let first = delegation(vec![predecessor(7, &["a", "b"], true), resigned.clone()]);
    let mut takeover = Takeover::new(now, &first);
    assert_eq!(takeover.voters().len(), 2);
    takeover.record_promise(now, &"b".into(), &promise_voted(Some(0)));
    assert_eq!(takeover.expiry(), Some(now + ms(320)));
    let only_resigned = Takeover::new(now, &delegation(vec![resigned]));
    assert_eq!(only_resigned.expiry(), Some(now));
    assert_eq!(Takeover::new(now, &delegation(Vec::new())).expiry(), None);
}

#[test]
fn higher_epoch_requests_promises_again_but_keeps_the_start() {
    let now = Instant::now();
    let first = delegation(vec![predecessor(8, &["a", "c", "d"], false)]);
    let takeover = Takeover::new(now, &first);
    let second = delegation(vec![
        predecessor(8, &["a", "c", "d"], false),
        predecessor(9, &["b"], false),
    ]);
    let later = takeover.with_delegation(now + ms(1000), &second);
    assert_eq!(later.expiry(), Some(now + ms(6020)));
    let same = takeover.with_delegation(now + ms(1000), &first);
    assert_eq!(same.expiry(), Some(now + ms(5020)));
}

#[test]
fn promises_are_requested_over_the_network() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let voter = Rc::new(Voter::new(Instant::now()));
        let shared = Rc::clone(&voter);
        let handler = move |method: Box<str>, body: Box<serde_json::value::RawValue>| {
            let response = shared.answer(&method, &body);
            async move { response.unwrap_or_else(|| Err(server::unknown_method(&method))) }
        };
        monoio::spawn(serve(listener, Journal::new("a".into()), handler));
        let view = Rc::new(View::default());
        let mut voter_vm = entry_vm("a", "z");
        voter_vm.peer = address;
        view.apply(WatchResponse {
            index: 1,
            entry_vms: vec![voter_vm],
            removed_vms: vec![],
            all_vms: false,
            ..WatchResponse::default()
        });
        let initial = Takeover::new(
            Instant::now(),
            &delegation(vec![predecessor(8, &["a"], false)]),
        );
        let term_expiry = initial.expiry();
        let takeover = Rc::new(RefCell::new(initial));
        ask_voters(view, Journal::new("b".into()))(Rc::downgrade(&takeover), "a".into());
        while takeover.borrow().expiry() == term_expiry {
            monoio::time::sleep(ms(5)).await;
        }
        assert!(voter.promised_above("s", "z", 8));
        assert!(!voter.promised_above("s", "z", 9));
    });
}
