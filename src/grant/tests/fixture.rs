//! A duty with plain backend servers that follow the rules.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::delegate::Delegation;
use crate::delegate::messages::Prior;
use crate::document::{Document, Placement};
use crate::grant::{Granter, InheritedState, LeaseHooks, LeaseRequest};
use crate::keys::Span;
use crate::route::{PullRequest, PullResponse};
use crate::timeline::Journal;
use crate::timing;

/// Number of spans that the key space is cut into.
pub(super) const SPANS: u64 = 16;

pub(super) fn delegation(epoch: u64) -> Delegation {
    Delegation {
        service: "depot".into(),
        zone: "galway".into(),
        epoch,
        carrier: "vm".into(),
        voters: vec!["vm".into()],
        tiebreak: false,
        term: Duration::from_secs(2),
        spans: vec![Span::ALL],
        prior: Vec::new(),
    }
}

pub(super) fn document(deadline: Duration) -> Rc<Document> {
    let text = serde_json::json!({
        "service": "depot",
        "ranks": ["high"],
        "routes": [{
            "name": "lookup", "method": "GET", "path": "/lockers/{locker}",
            "key": "path:locker", "rank": "high", "repeat": "idempotent",
            "deadline_ms": u64::try_from(deadline.as_millis()).unwrap(),
        }],
    });
    let mut document: Document = serde_json::from_value(text).unwrap();
    document.placement = Placement {
        spans: SPANS,
        ..Placement::default()
    };
    Rc::new(document)
}

/// A right that never ends.
pub(super) fn always() -> LeaseHooks {
    LeaseHooks {
        valid_until: Box::new(|now| Some(now + timing::CARRIER_LEASE)),
        record_vote: Box::new(|_, _| {}),
    }
}

/// A first carrier.
pub(super) fn carrier() -> Rc<Granter> {
    carrier_with(always())
}

/// A first carrier with the given rights.
pub(super) fn carrier_with(rights: LeaseHooks) -> Rc<Granter> {
    duty(3, InheritedState::default(), rights)
}

/// A second carrier.
pub(super) fn successor(inherited: InheritedState) -> Rc<Granter> {
    duty(4, inherited, always())
}

fn duty(epoch: u64, inherited: InheritedState, rights: LeaseHooks) -> Rc<Granter> {
    let document = document(Duration::from_millis(200));
    let journal = Journal::new("vm".into());
    Granter::new(&delegation(epoch), document, inherited, rights, journal)
}

/// A carrier that was replaced.
pub(super) fn prior(epoch: u64, carrier: &str) -> Prior {
    Prior {
        epoch,
        carrier: carrier.into(),
        voters: vec![carrier.into()],
        tiebreak: false,
        term: Duration::from_secs(2),
        resigned: true,
    }
}

/// A server's first question.
pub(super) fn beat(server: &str, checks: bool) -> LeaseRequest {
    LeaseRequest {
        server: server.into(),
        incarnation: "first".into(),
        sequence: 0,
        service: "depot".into(),
        zone: "galway".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 6,
        checks_fences: checks,
        draining: false,
        outstanding_requests: 0,
        held_grants: Vec::new(),
        finishing_grants: Vec::new(),
    }
}

/// A subscriber's question; it holds the map that `last` left it with.
pub(super) fn pull(vm: &str, last: Option<&PullResponse>) -> PullRequest {
    PullRequest {
        vm: vm.into(),
        service: "depot".into(),
        zone: "galway".into(),
        epoch: last.map_or(0, |l| l.epoch),
        map_epoch: last.map_or(0, |l| l.epoch),
        version: last.map_or(0, |l| l.version),
        last_response: last.map_or(0, |l| l.number),
        votes: false,
        max_wait: Duration::from_secs(5),
        loads: Vec::new(),
    }
}

/// Lets time pass while every server sends its heartbeats and takes the answers in.
pub(super) fn settle(
    duty: &Granter,
    now: &mut Instant,
    servers: &mut [LeaseRequest],
    time: Duration,
) {
    let end = *now + time;
    while *now < end {
        for server in &mut *servers {
            server.sequence += 1;
            if let Some(answer) = duty.renew_lease(*now, server) {
                server.held_grants = answer.grants;
            }
        }
        for _ in 0..5 {
            *now += timing::DUTY_TICK;
            duty.tick(*now);
        }
    }
}
