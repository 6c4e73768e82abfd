//! Entry VMs and the servers of evacuated zones.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::mock::{Action, Fixture, MockBackend, header, owned_ranges, status_code};
use crate::clock;
use crate::fleet::evacuation::ZoneEvacuation;
use crate::fleet::updates::Updates;
use crate::fleet::{Server, Vm, VmRole};
use crate::gateway::backend::Backend;
use crate::runtime;
use crate::table;

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");

const SAFE: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n";
const KEYED: &str = "GET /keyed/1 HTTP/1.1\nhost: h\nx-request: 7\nx-key: 5\n\n";

/// Warm-up time of servers that [`with_server`] adds.
const WARMUP: Duration = Duration::from_secs(3);

fn backend() -> MockBackend {
    MockBackend::start((0..20).map(|_| vec![OK]).collect())
}

fn apply(fixture: &Fixture, index: u64, active: bool) {
    let zone = "near".into();
    let evacuations = vec![ZoneEvacuation { zone, active }];
    let updates = Updates {
        index,
        evacuations,
        ..Updates::default()
    };
    assert!(fixture.gateway.routing.borrow_mut().apply(updates));
}

/// Updates that add a server of a zone to a service.
fn with_server(index: u64, service: &str, zone: &str, at: &MockBackend) -> Updates {
    let servers = vec![Arc::new(Server {
        incarnation: crate::fleet::Incarnation {
            server: format!("{service}-{zone}").into(),
            start_ms: 1,
        },
        service: service.into(),
        address: at.address,
        zone: zone.into(),
        slots: 4,
        state: crate::fleet::ServerState::Ready,
        warmup: WARMUP,
    })];
    Updates {
        index,
        servers,
        ..Updates::default()
    }
}

/// Limits the requests to cold servers of the service `plain`.
fn limit_cold_servers(fixture: &Fixture) {
    let mut routing = fixture.gateway.routing.borrow_mut();
    routing.local_vm = Some(Vm {
        name: "entry".into(),
        zone: "near".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        role: VmRole::Entry,
    });
    let mut service = table::Service::clone(routing.service("plain").unwrap());
    service.warmup = Some(table::Warmup {
        duration: WARMUP,
        requests_per_sec: 4.0,
    });
    let update = table::Update {
        version: 2,
        full: false,
        patch: table::Patch {
            services: vec![Arc::new(service)],
            ..table::Patch::default()
        },
    };
    routing.apply(Updates {
        index: 2,
        table: Some(update),
        ..Updates::default()
    });
}

fn named(fixture: &Fixture, name: &str) -> Rc<Backend> {
    let routing = fixture.gateway.routing.borrow();
    let mut backends = routing.all_backends();
    let found = backends.find(|b| &*b.server().incarnation.server == name);
    Rc::clone(found.unwrap())
}

/// Guards against requests to an evacuated zone, also at servers that come during the evacuation.
#[test]
fn servers_without_keys_get_nothing_from_the_start() {
    runtime::run(async {
        let (inside, outside) = (backend(), backend());
        let fixture = Fixture::new(&[&inside]);
        apply(&fixture, 2, true);
        let refused = fixture.request(SAFE).await;
        assert_eq!(status_code(&refused), 503, "no server is outside");
        let after = header(&refused, "retry-after").unwrap();
        assert!(after.parse::<f64>().unwrap() >= 1.0, "{after}");
        for (index, zone) in [(3, "far"), (4, "near")] {
            let updates = with_server(index, "plain", zone, &outside);
            fixture.gateway.routing.borrow_mut().apply(updates);
        }
        assert!(named(&fixture, "plain-near").is_evacuated(Duration::ZERO, clock::now()));
        for _ in 0..8 {
            assert_eq!(status_code(&fixture.request(SAFE).await), 200);
        }
        assert_eq!(inside.requests.borrow().len(), 0);
        apply(&fixture, 5, false);
        for _ in 0..8 {
            assert_eq!(status_code(&fixture.request(SAFE).await), 200);
        }
        assert!(!inside.requests.borrow().is_empty(), "it is used again");
    });
}

/// Guards against keys that are unserved while they move, and against requests to owners after the
/// bound.
#[test]
fn owners_get_requests_for_half_of_the_time() {
    runtime::run(async {
        let (inside, outside) = (backend(), backend());
        let fixture = Fixture::new(&[&inside]);
        apply(&fixture, 2, true);
        assert_eq!(status_code(&fixture.request(KEYED).await), 200);
        clock::advance(fixture.gateway.evacuation.get() / 2);
        let refused = fixture.request(KEYED).await;
        assert_eq!(status_code(&refused), 503);
        assert!(header(&refused, "retry-after").is_some());
        assert_eq!(inside.requests.borrow().len(), 1);
        let mut moved = with_server(3, "owned", "far", &outside);
        moved.ranges = vec![owned_ranges(Some("owned-far"))];
        fixture.gateway.routing.borrow_mut().apply(moved);
        assert_eq!(status_code(&fixture.request(KEYED).await), 200);
        assert_eq!(inside.requests.borrow().len(), 1);
    });
}

/// Guards against a flood of requests to servers that have just started.
#[test]
fn servers_of_a_returned_zone_are_cold() {
    runtime::run(async {
        let inside = backend();
        let fixture = Fixture::new(&[&inside]);
        limit_cold_servers(&fixture);
        let updates = with_server(3, "plain", "near", &inside);
        fixture.gateway.routing.borrow_mut().apply(updates);
        let server = named(&fixture, "plain-near");
        assert!(server.is_cold(clock::now()), "the server said so");
        clock::advance(WARMUP);
        assert!(!server.is_cold(clock::now()));
        // The start was missed.
        apply(&fixture, 4, false);
        assert!(server.is_cold(clock::now()));
        server.set_cold(Duration::ZERO);
        assert!(server.is_cold(clock::now()), "the later end counts");
        clock::advance(WARMUP);
        assert!(!server.is_cold(clock::now()));
    });
}

/// Guards against an evacuation that a full state no longer has, or that begins anew with it.
#[test]
fn a_full_state_replaces_the_evacuations() {
    runtime::run(async {
        let inside = backend();
        let fixture = Fixture::new(&[&inside]);
        let half = fixture.gateway.evacuation.get() / 2;
        let full = |index, active: bool| {
            let mut updates = with_server(index, "plain", "near", &inside);
            updates.full = true;
            updates.evacuations = vec![ZoneEvacuation {
                zone: "near".into(),
                active,
            }];
            assert!(fixture.gateway.routing.borrow_mut().apply(updates));
            named(&fixture, "plain-near").is_evacuated(half, clock::now())
        };
        assert!(!full(2, true));
        clock::advance(half);
        assert!(full(3, true), "the time counts from the first news");
        assert!(!full(4, false));
    });
}
