//! Tests of the desk.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::check::BadAnnouncement;
use super::{Desk, Reply};
use crate::clock;
use crate::delegate::Delegation;
use crate::grant::messages::Misdirected;
use crate::grant::{Grant, Granter, Granters, InheritedState, LeaseHooks, LeaseRequest};
use crate::keys::{HASH_SPACE, Span};
use crate::timeline::Journal;

fn request() -> LeaseRequest {
    LeaseRequest {
        server: "depot-1".into(),
        incarnation: "a".into(),
        sequence: 1,
        service: "depot".into(),
        zone: "galway".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 6,
        checks_fences: true,
        draining: false,
        outstanding_requests: 0,
        held_grants: Vec::new(),
        finishing_grants: Vec::new(),
    }
}

fn desk() -> Desk {
    let carrier = "127.0.0.1:7000".parse().ok();
    let carrier_of = move |_: &_, _: &_| carrier;
    Desk::new(
        "galway".into(),
        Rc::new(Granters::default()),
        Box::new(carrier_of),
    )
}

#[test]
fn without_a_duty_the_carrier_is_named_and_the_server_heard() {
    let (desk, now) = (desk(), clock::now());
    let elsewhere = Misdirected {
        announce_address: "127.0.0.1:7000".parse().ok(),
    };
    assert_eq!(desk.lease(now, &request()), Reply::Elsewhere(elsewhere));
    let heard = desk.heard(now);
    assert_eq!((heard[0].servers, heard[0].slots), (1, 6));
    assert!(desk.heard(now + Duration::from_secs(3)).is_empty());
}

#[test]
fn the_carrier_answers_and_says_when_it_may_not_act() {
    let (desk, now) = (desk(), clock::now());
    let until = Rc::new(Cell::new(None));
    let rights = LeaseHooks {
        valid_until: Box::new({
            let until = Rc::clone(&until);
            move |_| until.get()
        }),
        record_vote: Box::new(|_, _| {}),
    };
    let delegation = Delegation {
        service: "depot".into(),
        zone: "galway".into(),
        epoch: 3,
        primary: "vm".into(),
        voters: vec!["vm".into()],
        tiebreak: false,
        term: Duration::from_secs(2),
        spans: vec![Span::ALL],
        predecessors: Vec::new(),
    };
    let document = serde_json::json!({ "service": "depot", "ranks": [], "routes": [] });
    let document = Rc::new(serde_json::from_value(document).unwrap());
    let journal = Journal::new("vm".into());
    let duty = Granter::new(
        &delegation,
        document,
        InheritedState::default(),
        rights,
        journal,
    );
    desk.duties.insert(duty);
    assert_eq!(desk.lease(now, &request()), Reply::NotNow);
    until.set(Some(now + Duration::from_secs(1)));
    let Reply::Lease(answer) = desk.lease(now, &request()) else {
        panic!("no lease");
    };
    assert_eq!((answer.epoch, answer.grants.len()), (3, 0));
    assert_eq!(
        desk.lease(now, &request()),
        Reply::NotNow,
        "an old question"
    );
}

#[test]
fn announcements_without_sense_are_refused() {
    let bad = |change: fn(&mut LeaseRequest)| {
        let mut request = request();
        change(&mut request);
        match desk().lease(clock::now(), &request) {
            Reply::Bad(bad) => bad,
            other => panic!("not refused: {other:?}"),
        }
    };
    let long = |r: &mut LeaseRequest| r.server = "x".repeat(65).into();
    assert_eq!(bad(long), BadAnnouncement::Name("server"));
    assert_eq!(
        bad(|r| r.service = "a b".into()),
        BadAnnouncement::Name("service")
    );
    assert_eq!(
        bad(|r| r.zone = "cork".into()),
        BadAnnouncement::Zone("galway".into())
    );
    assert_eq!(bad(|r| r.slots = 0), BadAnnouncement::Slots(0));
    assert_eq!(bad(|r| r.sequence = 0), BadAnnouncement::Beat);
    assert_eq!(bad(|r| r.sequence = 1 << 53), BadAnnouncement::Number);
    assert_eq!(bad(|r| r.address.set_port(0)), BadAnnouncement::Port);
    let span = |r: &mut LeaseRequest| {
        let span = Span {
            start: 1,
            end: HASH_SPACE,
        };
        r.held_grants = vec![Grant { span, fence: 1 }];
    };
    assert_eq!(bad(span), BadAnnouncement::Span(1, HASH_SPACE));
}
