//! Messages and documents: bytes, and time to decode and encode them.

use agateyoke::delegate::messages::{EntryVm, ServiceCapacity, WatchRequest, WatchResponse};
use agateyoke::document::{check, matcher};
use agateyoke::grant::{Grant, LeaseRequest, LeaseResponse};
use agateyoke::keys::Span;
use agateyoke::timing;
use serde_json::json;

use super::granter;
use super::{mean_us, print_line};

const DOCUMENT: &str = include_str!("../../examples/documents/kiosk-core.json");

/// Measures a backend server's heartbeat and the response to it.
pub(crate) fn heartbeat() {
    for grants in [1, 16, 64, 256] {
        let list: Vec<Grant> = Span::split_evenly(grants)
            .into_iter()
            .map(|span| Grant {
                span,
                fence: 3_145_728,
            })
            .collect();
        let mut request = granter::server(1);
        request.held_grants.clone_from(&list);
        let response = LeaseResponse {
            epoch: 3,
            lease: timing::SERVER_LEASE,
            grants: list,
            drained: false,
        };
        let request_bytes = serde_json::to_vec(&request).unwrap_or_default();
        let response_bytes = serde_json::to_vec(&response).unwrap_or_default();
        print_line(json!({
            "part": "heartbeat", "grants": grants,
            "request_bytes": request_bytes.len(), "answer_bytes": response_bytes.len(),
            "carrier_us": mean_us(|| {
                let decoded = serde_json::from_slice::<LeaseRequest>(&request_bytes);
                (decoded.is_ok(), serde_json::to_vec(&response))
            }),
        }));
    }
}

/// Measures an entry VM's request for updates when there are none.
pub(crate) fn watch() {
    for services in [1, 10, 100] {
        let request = WatchRequest {
            entry_vm: entry_vm(1, 1),
            known_index: 1_234_567,
            wait: timing::LONG_POLL_TIMEOUT,
            capacities: (0..services).map(service_capacity).collect(),
        };
        let request_bytes = serde_json::to_vec(&request).unwrap_or_default();
        let response = WatchResponse {
            index: 1_234_567,
            ..WatchResponse::default()
        };
        print_line(json!({
            "part": "watch", "services": services,
            "request_bytes": request_bytes.len(),
            "answer_bytes": serde_json::to_vec(&response).unwrap_or_default().len(),
            "leader_us": mean_us(|| {
                let decoded = serde_json::from_slice::<WatchRequest>(&request_bytes);
                (decoded.is_ok(), serde_json::to_vec(&response))
            }),
        }));
    }
}

/// Measures checking, compiling and matching of a document.
pub(crate) fn document() {
    let Ok(document) = check::check(DOCUMENT) else {
        return;
    };
    let matcher = matcher::Matcher::new(&document);
    print_line(json!({
        "part": "document",
        "bytes": serde_json::to_vec(&document).unwrap_or_default().len(),
        "check_us": mean_us(|| check::check(DOCUMENT)),
        "compile_us": mean_us(|| matcher::Matcher::new(&document)),
        "match_us": mean_us(|| matcher.find("POST", "/lockers/L-17/release", |_| None)),
    }));
}

#[expect(clippy::unwrap_used, reason = "the address is a valid literal")]
pub(crate) fn entry_vm(number: usize, zone: usize) -> EntryVm {
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

pub(crate) fn service_capacity(number: usize) -> ServiceCapacity {
    ServiceCapacity {
        service: format!("service-{number}").into(),
        servers: 10,
        slots: 60,
    }
}
