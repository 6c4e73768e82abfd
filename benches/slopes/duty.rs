//! The carrier's duty: answers to entry VMs and to backend servers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use agateyoke::delegate::Delegation;
use agateyoke::document::{Document, Placement};
use agateyoke::grant::{Granter, InheritedState, LeaseHooks, LeaseRequest};
use agateyoke::keys::Span;
use agateyoke::route::{PullRequest, PullResponse};
use agateyoke::timeline::Journal;
use agateyoke::timing;
use serde_json::json;

use super::{heap, line, mean_us};

const DOCUMENT: &str = include_str!("../../examples/documents/kiosk-core.json");

/// Time until every span has an owner, on the duty's own clock.
const SETTLE: Duration = Duration::from_secs(3);

const SPANS: [u64; 3] = [256, 1024, 4096];

/// A duty at work.
pub(crate) struct Work {
    pub(crate) duty: Rc<Granter>,
    pub(crate) now: Instant,
    pub(crate) servers: Vec<LeaseRequest>,
}

/// Answers of `route.pull`: bytes and time.
pub(crate) fn pull() {
    for spans in SPANS {
        let mut work = Work::new(spans, 100);
        let full = work.answer(None);
        let none = work.answer(Some(&full));
        let silent = work.servers.pop();
        work.settle(timing::SERVER_LEASE + timing::HEARTBEAT + timing::DUTY_TICK);
        let one_lost = work.answer(Some(&full));
        let text = serde_json::to_vec(&full).unwrap_or_default();
        line(json!({
            "part": "pull", "spans": spans, "servers": 100,
            "full_bytes": text.len(),
            "full_bytes_per_span": text.len() as u64 / spans,
            "question_bytes": serde_json::to_vec(&question(Some(&none))).map_or(0, |b| b.len()),
            "unchanged_bytes": bytes(&none),
            "one_server_lost_bytes": bytes(&one_lost),
            "one_server_lost_routes": one_lost.routes.len(),
            "lost": silent.is_some(),
            "full_us": mean_us(|| serde_json::to_vec(&work.answer(None))),
            "unchanged_us": mean_us(|| serde_json::to_vec(&work.answer(Some(&none)))),
            "decode_full_us": mean_us(|| serde_json::from_slice::<PullResponse>(&text)),
        }));
    }
}

/// Time of a look at all leases, time of one lease, and memory.
pub(crate) fn work() {
    for spans in SPANS {
        for servers in [100, 250, 500] {
            let before = heap::in_use();
            let mut work = Work::new(spans, servers);
            let memory = heap::in_use() - before;
            let tick_us = mean_us(|| {
                work.now += Duration::from_micros(1);
                work.duty.run_pass(work.now);
            });
            work.settle(timing::HEARTBEAT);
            let mut at = 0;
            let lease_us = mean_us(|| {
                at = (at + 1) % work.servers.len();
                let server = work.servers.get_mut(at)?;
                server.sequence += 1;
                work.duty.renew_lease(work.now, server)
            });
            line(json!({
                "part": "duty", "spans": spans, "servers": servers,
                "tick_us": tick_us, "lease_us": lease_us, "memory_bytes": memory,
            }));
        }
    }
}

impl Work {
    /// A duty over the whole space whose spans all have an owner.
    pub(crate) fn new(spans: u64, servers: usize) -> Self {
        let rights = LeaseHooks {
            valid_until: Box::new(|now| Some(now + timing::CARRIER_LEASE)),
            record_vote: Box::new(|_, _| {}),
        };
        let journal = Journal::new("entry-1".into());
        let duty = Granter::new(
            &delegation(),
            document(spans),
            InheritedState::default(),
            rights,
            journal,
        );
        let mut work = Self {
            duty,
            now: Instant::now(),
            servers: (0..servers).map(server).collect(),
        };
        work.settle(SETTLE);
        work
    }

    /// Lets time pass while every server sends its heartbeats.
    pub(crate) fn settle(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for server in &mut self.servers {
                server.sequence += 1;
                if let Some(answer) = self.duty.renew_lease(self.now, server) {
                    server.held_grants = answer.grants;
                }
            }
            for _ in 0..5 {
                self.now += timing::DUTY_TICK;
                self.duty.run_pass(self.now);
            }
        }
    }

    /// Answers an entry VM that holds the map of `last`.
    pub(crate) fn answer(&self, last: Option<&PullResponse>) -> PullResponse {
        let request = question(last);
        self.duty
            .pull_response(self.now, &request)
            .unwrap_or_default()
    }
}

/// What an entry VM asks that holds the map of `last`.
fn question(last: Option<&PullResponse>) -> PullRequest {
    PullRequest {
        vm: "entry-2".into(),
        service: "kiosk-core".into(),
        zone: "galway".into(),
        epoch: last.map_or(0, |l| l.epoch),
        map_epoch: last.map_or(0, |l| l.epoch),
        version: last.map_or(0, |l| l.version),
        last_response: 0,
        votes: false,
        max_wait: timing::POLL_HOLD,
        loads: Vec::new(),
    }
}

fn delegation() -> Delegation {
    Delegation {
        service: "kiosk-core".into(),
        zone: "galway".into(),
        epoch: 3,
        primary: "entry-1".into(),
        voters: vec!["entry-1".into()],
        tiebreak: false,
        term: Duration::from_secs(2),
        spans: vec![Span::ALL],
        predecessors: Vec::new(),
    }
}

/// The example's document, cut into so many spans.
#[expect(clippy::unwrap_used, reason = "the example is checked by the tests")]
pub(crate) fn document(spans: u64) -> Rc<Document> {
    let mut document: Document = serde_json::from_str(DOCUMENT).unwrap();
    document.placement = Placement {
        spans,
        ..Placement::default()
    };
    Rc::new(document)
}

#[expect(clippy::unwrap_used, reason = "the address is written right here")]
pub(crate) fn server(number: usize) -> LeaseRequest {
    LeaseRequest {
        server: format!("kiosk-core-galway-{number}").into(),
        incarnation: format!("{number:08x}").into(),
        sequence: 0,
        service: "kiosk-core".into(),
        zone: "galway".into(),
        address: "127.0.0.1:7301".parse().unwrap(),
        slots: 6,
        checks_fences: true,
        draining: false,
        outstanding_requests: 2,
        held_grants: Vec::new(),
        finishing_grants: Vec::new(),
    }
}

fn bytes(answer: &PullResponse) -> usize {
    serde_json::to_vec(answer).map_or(0, |b| b.len())
}
