use std::sync::Arc;
use std::time::Duration;

use crate::fleet::updates::{RangeOwner, ServiceRanges, Updates};
use crate::fleet::{Incarnation, Key, Server, ServerState, Vm, VmRole};
use crate::gateway::known::{Holder, Known};

fn server(name: &str, standing: ServerState) -> Arc<Server> {
    Arc::new(Server {
        incarnation: Incarnation {
            server: name.into(),
            start_ms: 1,
        },
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 2,
        state: standing,
        warmup: Duration::ZERO,
    })
}

fn row(from: Key, to: Key, holder: Option<&str>, moving: bool) -> RangeOwner {
    RangeOwner {
        from,
        to,
        owner: holder.map(Into::into),
        moving,
    }
}

fn news(index: u64, servers: Vec<Arc<Server>>, rows: Vec<RangeOwner>) -> Updates {
    let service = "s".into();
    Updates {
        index,
        servers,
        ranges: vec![ServiceRanges {
            service,
            ranges: rows,
        }],
        ..Updates::default()
    }
}

fn name(known: &Known, key: Key) -> String {
    match known.holder("s", key) {
        Holder::Backend(backend) => backend.server().incarnation.server.to_string(),
        Holder::Moving => "moving".into(),
        Holder::Nobody => "nobody".into(),
    }
}

fn known() -> Known {
    let mut known = Known::default();
    let servers = vec![
        server("a", ServerState::Ready),
        server("b", ServerState::Ready),
    ];
    let rows = vec![
        row(0, 99, Some("a"), false),
        row(100, 65535, Some("b"), false),
    ];
    assert!(known.take(news(5, servers, rows)));
    known
}

#[test]
fn rows_are_laid_over_those_before() {
    let mut known = known();
    let rows = vec![row(50, 149, None, true), row(200, 200, Some("a"), false)];
    known.take(news(6, vec![], rows));
    let names = [0, 49, 50, 149, 150, 199, 200, 201, 65535].map(|k| name(&known, k));
    let expected = ["a", "a", "moving", "moving", "b", "b", "a", "b", "b"];
    assert_eq!(names, expected);
}

#[test]
fn news_older_than_what_is_known_are_left() {
    let mut known = known();
    assert!(!known.take(news(4, vec![], vec![row(0, 65535, Some("b"), false)])));
    assert_eq!(name(&known, 0), "a");
}

#[test]
fn a_holder_is_asked_until_it_has_let_go() {
    let mut known = known();
    known.take(news(6, vec![], vec![row(0, 99, Some("a"), true)]));
    assert_eq!(name(&known, 7), "a");
    known.let_go("s", 7);
    assert_eq!(name(&known, 7), "moving");
    known.let_go("s", 100);
    assert_eq!(name(&known, 100), "b", "it was not to move");
}

#[test]
fn a_server_that_is_gone_holds_nothing() {
    let mut known = known();
    known.take(news(6, vec![server("a", ServerState::Gone)], vec![]));
    assert_eq!(name(&known, 0), "nobody");
    assert_eq!(known.backends("s").len(), 1);
}

#[test]
fn news_of_all_there_is_leave_nothing_else() {
    let mut known = known();
    let mut whole = news(9, vec![server("b", ServerState::Ready)], vec![]);
    whole.full = true;
    known.take(whole);
    assert_eq!(known.backends("s").len(), 1);
    assert_eq!(name(&known, 0), "nobody");
}

#[test]
fn a_vm_replaces_the_one_at_its_address_and_others_stay() {
    let vm = |name: &str, port| Vm {
        name: name.into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], port).into(),
        role: VmRole::Entry,
    };
    let mut known = known();
    let first = Updates {
        index: 6,
        vms: vec![vm("a", 1), vm("b", 2)],
        ..Updates::default()
    };
    known.take(first);
    let second = Updates {
        index: 7,
        vms: vec![vm("c", 1)],
        ..Updates::default()
    };
    known.take(second);
    let names: Vec<_> = known.vms.iter().map(|v| &*v.name).collect();
    assert_eq!(names, ["b", "c"]);
    assert_eq!(known.entries(), 2);
}
