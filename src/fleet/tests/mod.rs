mod leases;
mod news;
mod plan;
mod rows;
mod store;

use std::time::Duration;

use super::messages::{Hold, Report};
use super::model::{Life, Server, Standing};

/// The life of a server that started at `born`.
fn life(name: &str, born: u64) -> Life {
    Life {
        server: name.into(),
        born,
    }
}

/// A server of the service `s` at its own port.
fn server(name: &str, born: u64, port: u16) -> Server {
    Server {
        life: life(name, born),
        service: "s".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "z".into(),
        slots: 3,
        standing: Standing::Ready,
        cold: Duration::ZERO,
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
