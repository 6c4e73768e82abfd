mod calls;
mod cold;
mod evacuation;
mod grant_client;
mod leases;
mod leaving;
mod plan;
mod ranges;
mod registration;
mod store;
mod updates;

use std::time::{Duration, Instant};

use serde_json::json;

use super::leases::{InheritedLeases, Leases};
use super::messages::{Heartbeat, HeldRange};
use super::model::{Incarnation, Server, ServerState, Vm};
use super::store::{Change, Ordered};
use crate::ids;
use crate::table::{self, Delivery};

/// Leases of a leader whose predecessor granted leases of up to `lease` in heartbeats.
fn new_leases(lease: Duration, leading_since: Instant, first_index: ids::LogIndex) -> Leases {
    let inherited = InheritedLeases::all(lease, Delivery::Heartbeat);
    Leases::new(inherited, leading_since, first_index)
}

/// The table whose only route goes to a service, which owns keys if it is `s`.
fn change_table(version: u64, service: &str, target_ms: u64, delivery: &str) -> table::Change {
    let table = json!({
        "version": version,
        "routes": [{
            "name": "r", "host": "h", "prefix": "/", "repeat": "idempotent", "timeout": 9000,
            "objective": target_ms, "rank": 1, "attempts": 2, "destination": {"service": service},
        }],
        "services": [{
            "name": service, "connections": 9, "owned": service == "s", "delivery": delivery,
        }],
        "limits": table::Limits::default(),
    });
    table::Change {
        base: version - 1,
        version,
        digest: version.to_string().into(),
        body: table::Body::Full(serde_json::from_value(table).unwrap()),
    }
}

fn incarnation(name: &str, start_ms: u64) -> Incarnation {
    Incarnation {
        server: name.into(),
        start_ms,
    }
}

/// A ready server of the service `s`.
fn server(name: &str, start_ms: u64, port: u16) -> Server {
    Server {
        incarnation: incarnation(name, start_ms),
        service: "s".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "z".into(),
        slots: 3,
        state: ServerState::Ready,
        warmup: Duration::ZERO,
    }
}

/// The registration of a server whose heartbeat was sent a moment ago.
fn announce(server: Server) -> Change {
    Change::Announce(Ordered {
        value: server,
        sent_after: ids::LogIndex::MAX,
    })
}

/// The registration of a VM that is up to date.
fn register_vm(vm: Vm) -> Change {
    Change::Vm(Ordered {
        value: vm,
        sent_after: ids::LogIndex::MAX,
    })
}

/// A heartbeat of a server that holds some key ranges; it was sent a moment ago.
fn heartbeat(name: &str, sequence: u64, held: &[(u16, u16)]) -> Heartbeat {
    let range = |&(from, to): &(u16, u16)| HeldRange { from, to, fence: 1 };
    Heartbeat {
        server: server(name, 1, 1),
        sequence,
        held: Some(held.iter().map(range).collect()),
        released: Vec::new(),
        sent_after: ids::LogIndex::MAX,
    }
}
