//! Granters, requests, and backend servers that follow the protocol without faults.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::delegate::Delegation;
use crate::delegate::messages::Predecessor;
use crate::document::{Document, Placement};
use crate::grant::{Granter, InheritedState, LeaseHooks, LeaseRequest};
use crate::keys::Span;
use crate::route::{PullRequest, PullResponse};
use crate::timeline::Journal;
use crate::timing;

/// Number of spans that the key space is split into.
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

/// A primary lease that never ends.
pub(super) fn unlimited_lease() -> LeaseHooks {
    LeaseHooks {
        valid_until: Box::new(|now| Some(now + timing::PRIMARY_LEASE)),
        record_vote: Box::new(|_, _| {}),
    }
}

/// A granter without a predecessor.
pub(super) fn granter() -> Rc<Granter> {
    granter_with(unlimited_lease())
}

/// A granter without a predecessor, with the given primary lease.
pub(super) fn granter_with(lease_hooks: LeaseHooks) -> Rc<Granter> {
    new_granter(3, InheritedState::default(), lease_hooks)
}

/// A granter that takes over from a predecessor.
pub(super) fn successor_granter(inherited: InheritedState) -> Rc<Granter> {
    new_granter(4, inherited, unlimited_lease())
}

fn new_granter(epoch: u64, inherited: InheritedState, lease_hooks: LeaseHooks) -> Rc<Granter> {
    let document = document(Duration::from_millis(200));
    let journal = Journal::new("vm".into());
    Granter::new(
        &delegation(epoch),
        document,
        inherited,
        lease_hooks,
        journal,
    )
}

/// A primary that was replaced.
pub(super) fn predecessor(epoch: u64, primary: &str) -> Predecessor {
    Predecessor {
        epoch,
        primary: primary.into(),
        voters: vec![primary.into()],
        tiebreak: false,
        term: Duration::from_secs(2),
        resigned: true,
    }
}

/// Initial heartbeat of a server; its sequence number is still 0.
pub(super) fn heartbeat(server: &str, checks_fences: bool) -> LeaseRequest {
    LeaseRequest {
        server: server.into(),
        incarnation: "first".into(),
        sequence: 0,
        service: "depot".into(),
        zone: "galway".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 6,
        checks_fences,
        draining: false,
        outstanding_requests: 0,
        held_grants: Vec::new(),
        finishing_grants: Vec::new(),
    }
}

/// Pull request of a subscriber that holds the map of `last`.
pub(super) fn pull_request(vm: &str, last: Option<&PullResponse>) -> PullRequest {
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
        leaving: Vec::new(),
    }
}

/// Advances the time while every server sends heartbeats and applies the responses.
pub(super) fn run_heartbeats(
    granter: &Granter,
    now: &mut Instant,
    servers: &mut [LeaseRequest],
    time: Duration,
) {
    let end = *now + time;
    while *now < end {
        for server in &mut *servers {
            server.sequence += 1;
            if let Some(response) = granter.renew_lease(*now, server) {
                server.held_grants = response.grants;
            }
        }
        for _ in 0..5 {
            *now += timing::GRANT_PASS_INTERVAL;
            granter.run_pass(*now);
        }
    }
}
