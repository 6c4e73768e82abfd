//! The routes that an entry VM holds.

use std::time::Instant;

use agateyoke::ids;
use agateyoke::keys::{self, Span};
use agateyoke::route::{PullResponse, Route, Table};
use agateyoke::timing;
use serde_json::json;

use super::duty::Work;
use super::{heap, line, mean_us};

/// Memory of a route, and time of a look-up.
pub(crate) fn table() {
    for spans in [256, 1024, 4096] {
        for zones in [1, 4, 32] {
            measure(spans, zones);
        }
    }
}

fn measure(spans: u64, zones: usize) {
    let work = Work::new(spans, 100);
    let whole = work.answer(None);
    let text = serde_json::to_vec(&whole).unwrap_or_default();
    let service: ids::ServiceName = "kiosk-core".into();
    let table = Table::default();
    let before = heap::in_use();
    for zone in 0..zones {
        let name: ids::ZoneName = format!("zone-{zone}").into();
        table.add_zone(&service, &name);
        let answer = part(&text, zone, zones);
        table.apply(&service, &name, answer, Instant::now());
    }
    let memory = heap::in_use() - before;
    let now = Instant::now();
    let mut hash = 0_u64;
    let find_us = mean_us(|| {
        hash = (hash + 0x9e37_79b9_7f4a) % keys::HASH_SPACE;
        table.lookup(&service, hash, now)
    });
    line(json!({
        "part": "table", "spans": spans, "zones": zones, "servers": 100,
        "memory_bytes": memory, "memory_per_route": memory as u64 / spans,
        "find_us": find_us,
        "in_date": now.elapsed() < timing::ROUTE_LEASE,
    }));
}

/// A zone's share of a map, decoded anew as from the wire.
fn part(text: &[u8], zone: usize, zones: usize) -> PullResponse {
    let mut answer: PullResponse = serde_json::from_slice(text).unwrap_or_default();
    let step = keys::HASH_SPACE / zones as u64;
    let share = Span {
        start: step * zone as u64,
        end: step * (zone as u64 + 1) - 1,
    };
    answer.routes.retain(|r| share.contains(r.span.start));
    let used = |name: &ids::ServerName| {
        let owned = |r: &Route| r.server.as_ref() == Some(name);
        answer.routes.iter().any(owned)
    };
    let servers = answer.servers.iter().filter(|s| used(&s.server));
    answer.servers = servers.cloned().collect();
    let number = zone as u64 + 1;
    PullResponse { number, ..answer }
}
