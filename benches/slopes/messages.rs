//! Messages and documents: bytes, and time to read and write them.

use agateyoke::delegate::messages::{EntryVm, ServiceCapacity, WatchRequest, WatchResponse};
use agateyoke::document::{check, matcher};
use agateyoke::grant::{Grant, LeaseRequest, LeaseResponse};
use agateyoke::keys::Span;
use agateyoke::timing;
use serde_json::json;

use super::duty;
use super::{line, mean_us};

const DOCUMENT: &str = include_str!("../../examples/documents/kiosk-core.json");

/// A backend server's heartbeat and its answer.
pub(crate) fn heartbeat() {
    for grants in [1, 16, 64, 256] {
        let list: Vec<Grant> = Span::split_evenly(grants)
            .into_iter()
            .map(|span| Grant {
                span,
                fence: 3_145_728,
            })
            .collect();
        let mut request = duty::server(1);
        request.held_grants.clone_from(&list);
        let answer = LeaseResponse {
            epoch: 3,
            lease: timing::SERVER_LEASE,
            grants: list,
            drained: false,
        };
        let question = serde_json::to_vec(&request).unwrap_or_default();
        let reply = serde_json::to_vec(&answer).unwrap_or_default();
        line(json!({
            "part": "heartbeat", "grants": grants,
            "request_bytes": question.len(), "answer_bytes": reply.len(),
            "carrier_us": mean_us(|| {
                let read = serde_json::from_slice::<LeaseRequest>(&question);
                (read.is_ok(), serde_json::to_vec(&answer))
            }),
        }));
    }
}

/// An entry VM's question for news, without any.
pub(crate) fn watch() {
    for services in [1, 10, 100] {
        let request = WatchRequest {
            entry_vm: entry(1, 1),
            known_index: 1_234_567,
            wait: timing::LONG_POLL_TIMEOUT,
            capacities: (0..services).map(heard).collect(),
        };
        let question = serde_json::to_vec(&request).unwrap_or_default();
        let answer = WatchResponse {
            index: 1_234_567,
            ..WatchResponse::default()
        };
        line(json!({
            "part": "watch", "services": services,
            "request_bytes": question.len(),
            "answer_bytes": serde_json::to_vec(&answer).unwrap_or_default().len(),
            "leader_us": mean_us(|| {
                let read = serde_json::from_slice::<WatchRequest>(&question);
                (read.is_ok(), serde_json::to_vec(&answer))
            }),
        }));
    }
}

/// A document checked, compiled, and matched.
pub(crate) fn document() {
    let Ok(document) = check::check(DOCUMENT) else {
        return;
    };
    let matcher = matcher::Matcher::new(&document);
    line(json!({
        "part": "document",
        "bytes": serde_json::to_vec(&document).unwrap_or_default().len(),
        "check_us": mean_us(|| check::check(DOCUMENT)),
        "compile_us": mean_us(|| matcher::Matcher::new(&document)),
        "match_us": mean_us(|| matcher.find("POST", "/lockers/L-17/release", |_| None)),
    }));
}

#[expect(clippy::unwrap_used, reason = "the address is written right here")]
pub(crate) fn entry(number: usize, zone: usize) -> EntryVm {
    let address = "127.0.0.1:7221".parse().unwrap();
    EntryVm {
        vm: format!("entry-{zone}-{number}").into(),
        zone: format!("zone-{zone}").into(),
        peer: address,
        announce: address,
        operator: address,
        stopping: false,
    }
}

pub(crate) fn heard(number: usize) -> ServiceCapacity {
    ServiceCapacity {
        service: format!("service-{number}").into(),
        servers: 10,
        slots: 60,
    }
}
