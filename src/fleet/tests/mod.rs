mod leases;
mod news;
mod plan;
mod ranges;
mod store;

use std::time::Duration;

use super::messages::{Hold, Report};
use super::model::{Incarnation, Server, ServerState};

/// The incarnation of a server that started at `start_ms`.
fn incarnation(name: &str, start_ms: u64) -> Incarnation {
    Incarnation {
        server: name.into(),
        start_ms,
    }
}

/// A server of the service `s` at its own port.
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

/// A report of a server that holds some spans.
fn report(name: &str, sequence: u64, holds: &[(u16, u16)]) -> Report {
    let hold = |&(from, to): &(u16, u16)| Hold { from, to, fence: 1 };
    Report {
        server: server(name, 1, 1),
        sequence,
        holds: holds.iter().map(hold).collect(),
        freed: Vec::new(),
    }
}
