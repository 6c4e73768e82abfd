//! Tests of the heartbeat handler.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::check::InvalidHeartbeat;
use super::{Handler, HeartbeatResponse};
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

fn handler() -> Handler {
    let primary = "127.0.0.1:7000".parse().ok();
    let find_primary = move |_: &_, _: &_| primary;
    Handler::new(
        "galway".into(),
        Rc::new(Granters::default()),
        Box::new(find_primary),
    )
}

#[test]
fn without_a_delegation_the_primary_is_named_and_the_server_recorded() {
    let (handler, now) = (handler(), clock::now());
    let not_primary = Misdirected {
        announce_address: "127.0.0.1:7000".parse().ok(),
    };
    assert_eq!(
        handler.lease(now, &request()),
        HeartbeatResponse::NotPrimary(not_primary)
    );
    let recent = handler.recent_services(now);
    assert_eq!((recent[0].servers, recent[0].slots), (1, 6));
    assert!(
        handler
            .recent_services(now + Duration::from_secs(3))
            .is_empty()
    );
}

#[test]
fn the_primary_grants_leases_unless_it_cannot_act() {
    let (handler, now) = (handler(), clock::now());
    let until = Rc::new(Cell::new(None));
    let lease_hooks = LeaseHooks {
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
    let granter = Granter::new(
        &delegation,
        document,
        InheritedState::default(),
        lease_hooks,
        journal,
    );
    handler.granters.insert(granter);
    assert_eq!(
        handler.lease(now, &request()),
        HeartbeatResponse::Unavailable
    );
    until.set(Some(now + Duration::from_secs(1)));
    let HeartbeatResponse::Lease(response) = handler.lease(now, &request()) else {
        panic!("no lease");
    };
    assert_eq!((response.epoch, response.grants.len()), (3, 0));
    assert_eq!(
        handler.lease(now, &request()),
        HeartbeatResponse::Unavailable,
        "an outdated heartbeat"
    );
}

#[test]
fn invalid_heartbeats_are_refused() {
    let error_after = |change: fn(&mut LeaseRequest)| {
        let mut request = request();
        change(&mut request);
        match handler().lease(clock::now(), &request) {
            HeartbeatResponse::Invalid(error) => error,
            other => panic!("not refused: {other:?}"),
        }
    };
    let long = |r: &mut LeaseRequest| r.server = "x".repeat(65).into();
    assert_eq!(error_after(long), InvalidHeartbeat::Name("server"));
    assert_eq!(
        error_after(|r| r.service = "a b".into()),
        InvalidHeartbeat::Name("service")
    );
    assert_eq!(
        error_after(|r| r.zone = "cork".into()),
        InvalidHeartbeat::Zone("galway".into())
    );
    assert_eq!(error_after(|r| r.slots = 0), InvalidHeartbeat::Slots(0));
    assert_eq!(error_after(|r| r.sequence = 0), InvalidHeartbeat::Sequence);
    assert_eq!(
        error_after(|r| r.sequence = 1 << 53),
        InvalidHeartbeat::Number
    );
    assert_eq!(
        error_after(|r| r.address.set_port(0)),
        InvalidHeartbeat::Port
    );
    let span = |r: &mut LeaseRequest| {
        let span = Span {
            start: 1,
            end: HASH_SPACE,
        };
        r.held_grants = vec![Grant { span, fence: 1 }];
    };
    assert_eq!(error_after(span), InvalidHeartbeat::Span(1, HASH_SPACE));
}
