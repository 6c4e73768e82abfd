//! Tests of the desk.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::check::InvalidHeartbeat;
use super::{Handler, HeartbeatResponse};
use crate::clock;
use crate::delegate::Delegation;
use crate::grant::messages::Elsewhere;
use crate::grant::{Duties, Duty, Grant, Inherited, LeaseRequest, Rights};
use crate::keys::{SPACE, Span};
use crate::timeline::Journal;

fn request() -> LeaseRequest {
    LeaseRequest {
        server: "depot-1".into(),
        incarnation: "a".into(),
        beat: 1,
        service: "depot".into(),
        zone: "galway".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 6,
        checks: true,
        draining: false,
        busy: 0,
        holds: Vec::new(),
        finishing: Vec::new(),
    }
}

fn desk() -> Handler {
    let carrier = "127.0.0.1:7000".parse().ok();
    let find_primary = move |_: &_, _: &_| carrier;
    Handler::new(
        "galway".into(),
        Rc::new(Duties::default()),
        Box::new(find_primary),
    )
}

#[test]
fn without_a_duty_the_carrier_is_named_and_the_server_heard() {
    let (desk, now) = (desk(), clock::now());
    let elsewhere = Elsewhere {
        announce: "127.0.0.1:7000".parse().ok(),
    };
    assert_eq!(
        desk.lease(now, &request()),
        HeartbeatResponse::NotPrimary(elsewhere)
    );
    let heard = desk.recent_services(now);
    assert_eq!((heard[0].servers, heard[0].slots), (1, 6));
    assert!(
        desk.recent_services(now + Duration::from_secs(3))
            .is_empty()
    );
}

#[test]
fn the_carrier_answers_and_says_when_it_may_not_act() {
    let (desk, now) = (desk(), clock::now());
    let until = Rc::new(Cell::new(None));
    let rights = Rights {
        until: Box::new({
            let until = Rc::clone(&until);
            move |_| until.get()
        }),
        vote: Box::new(|_, _| {}),
    };
    let delegation = Delegation {
        service: "depot".into(),
        zone: "galway".into(),
        epoch: 3,
        carrier: "vm".into(),
        voters: vec!["vm".into()],
        tiebreak: false,
        term: Duration::from_secs(2),
        spans: vec![Span::ALL],
        prior: Vec::new(),
    };
    let document = serde_json::json!({ "service": "depot", "ranks": [], "routes": [] });
    let document = Rc::new(serde_json::from_value(document).unwrap());
    let journal = Journal::new("vm".into());
    let duty = Duty::new(&delegation, document, Inherited::default(), rights, journal);
    desk.duties.insert(duty);
    assert_eq!(desk.lease(now, &request()), HeartbeatResponse::Unavailable);
    until.set(Some(now + Duration::from_secs(1)));
    let HeartbeatResponse::Lease(answer) = desk.lease(now, &request()) else {
        panic!("no lease");
    };
    assert_eq!((answer.epoch, answer.grants.len()), (3, 0));
    assert_eq!(
        desk.lease(now, &request()),
        HeartbeatResponse::Unavailable,
        "an old question"
    );
}

#[test]
fn announcements_without_sense_are_refused() {
    let bad = |change: fn(&mut LeaseRequest)| {
        let mut request = request();
        change(&mut request);
        match desk().lease(clock::now(), &request) {
            HeartbeatResponse::Invalid(bad) => bad,
            other => panic!("not refused: {other:?}"),
        }
    };
    let long = |r: &mut LeaseRequest| r.server = "x".repeat(65).into();
    assert_eq!(bad(long), InvalidHeartbeat::Name("server"));
    assert_eq!(
        bad(|r| r.service = "a b".into()),
        InvalidHeartbeat::Name("service")
    );
    assert_eq!(
        bad(|r| r.zone = "cork".into()),
        InvalidHeartbeat::Zone("galway".into())
    );
    assert_eq!(bad(|r| r.slots = 0), InvalidHeartbeat::Slots(0));
    assert_eq!(bad(|r| r.beat = 0), InvalidHeartbeat::Beat);
    assert_eq!(bad(|r| r.beat = 1 << 53), InvalidHeartbeat::Number);
    assert_eq!(bad(|r| r.address.set_port(0)), InvalidHeartbeat::Port);
    let span = |r: &mut LeaseRequest| {
        let span = Span {
            start: 1,
            end: SPACE,
        };
        r.holds = vec![Grant { span, fence: 1 }];
    };
    assert_eq!(bad(span), InvalidHeartbeat::Span(1, SPACE));
}
