//! The primary lease, the voters' promises and the view.

use std::time::Instant;

use super::fixture::ms;
use crate::delegate::messages::{PromiseRequest, WatchResponse};
use crate::delegate::voter::Voter;
use crate::delegate::{Delegation, PrimaryLease, View};
use crate::keys::Span;

fn delegation(voters: &[&str], tiebreak: bool) -> Delegation {
    Delegation {
        service: "s".into(),
        zone: "z".into(),
        epoch: 3,
        primary: "a".into(),
        voters: voters.iter().map(|v| (*v).into()).collect(),
        tiebreak,
        term: ms(2000),
        spans: vec![Span::ALL],
        predecessors: Vec::new(),
    }
}

#[test]
fn single_voter_is_active_for_the_term() {
    let now = Instant::now();
    let mut lease = PrimaryLease::new(&delegation(&["a"], false));
    assert_eq!(lease.valid_until(now), None);
    lease.record_renewal(now);
    assert_eq!(lease.valid_until(now), Some(now + ms(2000)));
    assert_eq!(lease.valid_until(now + ms(2000)), None);
}

#[test]
fn two_voters_need_each_other_or_the_control_vote() {
    let now = Instant::now();
    let mut lease = PrimaryLease::new(&delegation(&["a", "b"], true));
    lease.record_renewal(now);
    assert_eq!(lease.valid_until(now), Some(now + ms(300)));
    lease.record_vote(&"b".into(), now + ms(250));
    assert_eq!(lease.valid_until(now + ms(300)), Some(now + ms(550)));
    lease.record_vote(&"b".into(), now + ms(1900));
    assert_eq!(lease.valid_until(now + ms(1900)), Some(now + ms(2000)));
}

#[test]
fn five_voters_need_two_besides_the_primary() {
    let now = Instant::now();
    let mut lease = PrimaryLease::new(&delegation(&["a", "b", "c", "d", "e"], false));
    lease.record_renewal(now);
    lease.record_vote(&"b".into(), now);
    assert_eq!(lease.valid_until(now), None);
    lease.record_vote(&"stranger".into(), now);
    assert_eq!(lease.valid_until(now), None);
    lease.record_vote(&"d".into(), now + ms(40));
    assert_eq!(lease.valid_until(now + ms(50)), Some(now + ms(300)));
    lease.record_vote(&"e".into(), now + ms(50));
    assert_eq!(lease.valid_until(now + ms(50)), Some(now + ms(340)));
}

fn promise_request(epoch: u64) -> PromiseRequest {
    PromiseRequest {
        service: "s".into(),
        zone: "z".into(),
        epoch,
    }
}

#[test]
fn voter_votes_for_no_epoch_below_its_promise() {
    let start = Instant::now();
    let voter = Voter::new(start);
    let view = View::default();
    assert!(!voter.may_vote(&view, "s", "z", 3));
    view.apply(WatchResponse {
        index: 9,
        delegations: vec![delegation(&["a"], false)],
        ..WatchResponse::default()
    });
    assert!(voter.may_vote(&view, "s", "z", 3));
    assert!(!voter.may_vote(&view, "s", "z", 2));
    voter.record_vote("s", "z", 3, start + ms(100));
    let response = voter.promise(start + ms(150), &promise_request(5));
    assert_eq!((response.voted_ms, response.running_ms), (Some(50), 150));
    assert!(!voter.may_vote(&view, "s", "z", 3));
    assert!(voter.may_vote(&view, "s", "z", 5));
    voter.record_vote("s", "z", 5, start + ms(200));
    assert_eq!(
        voter.promise(start + ms(250), &promise_request(5)).voted_ms,
        Some(150)
    );
    assert_eq!(
        voter.promise(start + ms(250), &promise_request(6)).voted_ms,
        Some(50)
    );
}

#[test]
fn primary_that_promises_a_higher_epoch_has_just_voted_for_itself() {
    let start = Instant::now();
    let voter = Voter::new(start);
    voter.set_primary_epoch("s", "z", Some(3));
    assert_eq!(
        voter.promise(start + ms(70), &promise_request(4)).voted_ms,
        Some(0)
    );
    assert!(voter.promised_above("s", "z", 3));
}

#[test]
fn view_never_goes_back() {
    let view = View::default();
    let response = |index, epoch| WatchResponse {
        index,
        delegations: vec![Delegation {
            epoch,
            ..delegation(&["a"], false)
        }],
        ..WatchResponse::default()
    };
    assert!(view.apply(response(5, 3)));
    assert!(!view.apply(response(4, 2)));
    assert!(view.apply(response(5, 2)));
    assert_eq!(view.delegation("s", "z").map(|d| d.epoch), Some(3));
    assert_eq!(view.index(), 5);
}
