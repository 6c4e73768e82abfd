//! Routing table of an entry VM.

use std::time::Instant;

use agateyoke::ids;
use agateyoke::keys::{self, Span};
use agateyoke::route::{PullResponse, Route, Table};
use agateyoke::timing;
use serde_json::json;

use super::granter::GranterFixture;
use super::{heap, mean_us, print_line};

/// Measures the memory of a route and the time of a lookup.
pub(crate) fn table() {
    for spans in [256, 1024, 4096] {
        for zones in [1, 4, 32] {
            measure(spans, zones);
        }
    }
}

fn measure(spans: u64, zones: usize) {
    let fixture = GranterFixture::new(spans, 100);
    let full = fixture.pull(None);
    let text = serde_json::to_vec(&full).unwrap_or_default();
    let service: ids::ServiceName = "kiosk-core".into();
    let table = Table::default();
    let before = heap::allocated_bytes();
    for zone in 0..zones {
        let name: ids::ZoneName = format!("zone-{zone}").into();
        table.add_zone(&service, &name);
        let response = zone_share(&text, zone, zones);
        table.apply(&service, &name, response, Instant::now());
    }
    let memory = heap::allocated_bytes() - before;
    let now = Instant::now();
    let mut hash = 0_u64;
    let lookup_us = mean_us(|| {
        hash = (hash + 0x9e37_79b9_7f4a) % keys::HASH_SPACE;
        table.lookup(&service, hash, now)
    });
    print_line(json!({
        "part": "table", "spans": spans, "zones": zones, "servers": 100,
        "memory_bytes": memory, "memory_per_route": memory as u64 / spans,
        "find_us": lookup_us,
        "in_date": now.elapsed() < timing::ROUTE_LEASE,
    }));
}

/// A zone's share of a route map, decoded separately as if received from the network.
fn zone_share(text: &[u8], zone: usize, zones: usize) -> PullResponse {
    let mut response: PullResponse = serde_json::from_slice(text).unwrap_or_default();
    let step = keys::HASH_SPACE / zones as u64;
    let share = Span {
        start: step * zone as u64,
        end: step * (zone as u64 + 1) - 1,
    };
    response.routes.retain(|r| share.contains(r.span.start));
    let has_routes = |name: &ids::ServerName| {
        let is_owner = |r: &Route| r.server.as_ref() == Some(name);
        response.routes.iter().any(is_owner)
    };
    let servers = response.servers.iter().filter(|s| has_routes(&s.server));
    response.servers = servers.cloned().collect();
    let number = zone as u64 + 1;
    PullResponse { number, ..response }
}
