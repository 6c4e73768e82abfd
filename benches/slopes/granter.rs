//! Responses of a primary's granter to entry VMs and to backend servers.

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

use super::{heap, mean_us, print_line};

const DOCUMENT: &str = include_str!("../../examples/documents/kiosk-core.json");

/// Simulated time after which every span has an owner.
const SETTLE_TIME: Duration = Duration::from_secs(3);

const SPAN_COUNTS: [u64; 3] = [256, 1024, 4096];

/// Granter with its simulated clock and backend servers.
pub(crate) struct GranterFixture {
    pub(crate) granter: Rc<Granter>,
    pub(crate) now: Instant,
    pub(crate) servers: Vec<LeaseRequest>,
}

/// Measures responses of `route.pull`: bytes and time.
pub(crate) fn pull() {
    for spans in SPAN_COUNTS {
        let mut fixture = GranterFixture::new(spans, 100);
        let full = fixture.pull(None);
        let unchanged = fixture.pull(Some(&full));
        let removed = fixture.servers.pop();
        fixture.advance(
            timing::SERVER_LEASE + timing::HEARTBEAT_INTERVAL + timing::GRANT_PASS_INTERVAL,
        );
        let one_removed = fixture.pull(Some(&full));
        let text = serde_json::to_vec(&full).unwrap_or_default();
        print_line(json!({
            "part": "pull", "spans": spans, "servers": 100,
            "full_bytes": text.len(),
            "full_bytes_per_span": text.len() as u64 / spans,
            "question_bytes": serde_json::to_vec(&pull_request(Some(&unchanged))).map_or(0, |b| b.len()),
            "unchanged_bytes": encoded_bytes(&unchanged),
            "one_server_lost_bytes": encoded_bytes(&one_removed),
            "one_server_lost_routes": one_removed.routes.len(),
            "lost": removed.is_some(),
            "full_us": mean_us(|| serde_json::to_vec(&fixture.pull(None))),
            "unchanged_us": mean_us(|| serde_json::to_vec(&fixture.pull(Some(&unchanged)))),
            "decode_full_us": mean_us(|| serde_json::from_slice::<PullResponse>(&text)),
        }));
    }
}

/// Measures the time of a pass over all leases, the time of one lease, and the memory.
pub(crate) fn passes_and_leases() {
    for spans in SPAN_COUNTS {
        for servers in [100, 250, 500] {
            let before = heap::allocated_bytes();
            let mut fixture = GranterFixture::new(spans, servers);
            let memory = heap::allocated_bytes() - before;
            let pass_us = mean_us(|| {
                fixture.now += Duration::from_micros(1);
                fixture.granter.run_pass(fixture.now);
            });
            fixture.advance(timing::HEARTBEAT_INTERVAL);
            let mut index = 0;
            let lease_us = mean_us(|| {
                index = (index + 1) % fixture.servers.len();
                let server = fixture.servers.get_mut(index)?;
                server.sequence += 1;
                fixture.granter.renew_lease(fixture.now, server)
            });
            print_line(json!({
                "part": "duty", "spans": spans, "servers": servers,
                "tick_us": pass_us, "lease_us": lease_us, "memory_bytes": memory,
            }));
        }
    }
}

impl GranterFixture {
    /// Granter of the whole key space, with an owner for each span.
    pub(crate) fn new(spans: u64, servers: usize) -> Self {
        let hooks = LeaseHooks {
            valid_until: Box::new(|now| Some(now + timing::PRIMARY_LEASE)),
            record_vote: Box::new(|_, _| {}),
        };
        let journal = Journal::new("entry-1".into());
        let granter = Granter::new(
            &delegation(),
            document(spans),
            InheritedState::default(),
            hooks,
            journal,
        );
        let mut fixture = Self {
            granter,
            now: Instant::now(),
            servers: (0..servers).map(server).collect(),
        };
        fixture.advance(SETTLE_TIME);
        fixture
    }

    /// Advances the simulated clock while every server sends heartbeats.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for server in &mut self.servers {
                server.sequence += 1;
                if let Some(response) = self.granter.renew_lease(self.now, server) {
                    server.held_grants = response.grants;
                }
            }
            for _ in 0..5 {
                self.now += timing::GRANT_PASS_INTERVAL;
                self.granter.run_pass(self.now);
            }
        }
    }

    /// Response to an entry VM whose route map is that of `last`.
    pub(crate) fn pull(&self, last: Option<&PullResponse>) -> PullResponse {
        let request = pull_request(last);
        self.granter
            .pull_response(self.now, &request)
            .unwrap_or_default()
    }
}

/// Request of an entry VM whose route map is that of `last`.
fn pull_request(last: Option<&PullResponse>) -> PullRequest {
    PullRequest {
        vm: "entry-2".into(),
        service: "kiosk-core".into(),
        zone: "galway".into(),
        epoch: last.map_or(0, |l| l.epoch),
        map_epoch: last.map_or(0, |l| l.epoch),
        version: last.map_or(0, |l| l.version),
        last_response: 0,
        votes: false,
        max_wait: timing::LONG_POLL_TIMEOUT,
        loads: Vec::new(),
        leaving: Vec::new(),
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

/// Example document with this number of spans.
#[expect(clippy::unwrap_used, reason = "the example is checked by the tests")]
pub(crate) fn document(spans: u64) -> Rc<Document> {
    let mut document: Document = serde_json::from_str(DOCUMENT).unwrap();
    document.placement = Placement {
        spans,
        ..Placement::default()
    };
    Rc::new(document)
}

#[expect(clippy::unwrap_used, reason = "the address is a valid literal")]
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

fn encoded_bytes(response: &PullResponse) -> usize {
    serde_json::to_vec(response).map_or(0, |b| b.len())
}
