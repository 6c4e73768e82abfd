//! A duty with plain backend servers that follow the rules.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::delegate::Delegation;
use crate::delegate::messages::Predecessor;
use crate::document::{Document, Placement};
use crate::grant::{Duty, Inherited, LeaseRequest, Rights};
use crate::keys::Span;
use crate::route::{PullAnswer, PullRequest};
use crate::timeline::Journal;
use crate::timing;

/// Number of spans that the key space is cut into.
pub(super) const SPANS: u64 = 16;

pub(super) fn delegation(epoch: u64) -> Delegation {
    Delegation {
        service: "depot".into(),
        zone: "galway".into(),
        epoch,
        primary: "vm".into(),
        voters: vec!["vm".into()],
        tiebreak: false,
        term: Duration::from_secs(2),
        spans: vec![Span::ALL],
        predecessors: Vec::new(),
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
pub(super) fn always() -> Rights {
    Rights {
        until: Box::new(|now| Some(now + timing::CARRIER_LEASE)),
        vote: Box::new(|_, _| {}),
    }
}

/// A first carrier.
pub(super) fn carrier() -> Rc<Duty> {
    carrier_with(always())
}

/// A first carrier with the given rights.
pub(super) fn carrier_with(rights: Rights) -> Rc<Duty> {
    duty(3, Inherited::default(), rights)
}

/// A second carrier.
pub(super) fn successor(inherited: Inherited) -> Rc<Duty> {
    duty(4, inherited, always())
}

fn duty(epoch: u64, inherited: Inherited, rights: Rights) -> Rc<Duty> {
    let document = document(Duration::from_millis(200));
    let journal = Journal::new("vm".into());
    Duty::new(&delegation(epoch), document, inherited, rights, journal)
}

/// A carrier that was replaced.
pub(super) fn prior(epoch: u64, carrier: &str) -> Predecessor {
    Predecessor {
        epoch,
        primary: carrier.into(),
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
        beat: 0,
        service: "depot".into(),
        zone: "galway".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 6,
        checks,
        draining: false,
        busy: 0,
        holds: Vec::new(),
        finishing: Vec::new(),
    }
}

/// A subscriber's question; it holds the map that `last` left it with.
pub(super) fn pull(vm: &str, last: Option<&PullAnswer>) -> PullRequest {
    PullRequest {
        vm: vm.into(),
        service: "depot".into(),
        zone: "galway".into(),
        epoch: last.map_or(0, |l| l.epoch),
        map_epoch: last.map_or(0, |l| l.epoch),
        version: last.map_or(0, |l| l.version),
        answered: last.map_or(0, |l| l.number),
        votes: false,
        wait: Duration::from_secs(5),
        loads: Vec::new(),
    }
}

/// Lets time pass while every server sends its heartbeats and takes the answers in.
pub(super) fn settle(duty: &Duty, now: &mut Instant, servers: &mut [LeaseRequest], time: Duration) {
    let end = *now + time;
    while *now < end {
        for server in &mut *servers {
            server.beat += 1;
            if let Some(answer) = duty.lease(*now, server) {
                server.holds = answer.grants;
            }
        }
        for _ in 0..5 {
            *now += timing::DUTY_TICK;
            duty.tick(*now);
        }
    }
}
