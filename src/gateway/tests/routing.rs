use std::sync::Arc;
use std::time::{Duration, Instant};

use super::mock::{self, Action, Fixture, MockBackend};
use crate::fleet::updates::{RangeOwner, ServiceRanges, Updates};
use crate::fleet::{Incarnation, Key, Server, ServerState, Vm, VmRole};
use crate::gateway::routing::{KeyOwner, RoutingState};
use crate::runtime;
use crate::table::{Idempotency, Patch, Route};

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");

const REQUEST: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n";

fn server(name: &str, state: ServerState) -> Arc<Server> {
    Arc::new(Server {
        incarnation: Incarnation {
            server: name.into(),
            start_ms: 1,
        },
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 2,
        state,
        warmup: Duration::ZERO,
    })
}

fn range(from: Key, to: Key, owner: Option<&str>, moving: bool) -> RangeOwner {
    RangeOwner {
        from,
        to,
        owner: owner.map(Into::into),
        moving,
    }
}

fn updates(index: u64, servers: Vec<Arc<Server>>, ranges: Vec<RangeOwner>) -> Updates {
    let service = "s".into();
    Updates {
        index,
        servers,
        ranges: vec![ServiceRanges { service, ranges }],
        ..Updates::default()
    }
}

fn owner_name(routing: &RoutingState, key: Key) -> String {
    match routing.owner("s", key) {
        KeyOwner::Backend(backend) => backend.server().incarnation.server.to_string(),
        KeyOwner::Moving => "moving".into(),
        KeyOwner::Unknown => "nobody".into(),
    }
}

fn routing_state() -> RoutingState {
    let mut routing = RoutingState::default();
    let servers = vec![
        server("a", ServerState::Ready),
        server("b", ServerState::Ready),
    ];
    let ranges = vec![
        range(0, 99, Some("a"), false),
        range(100, 65535, Some("b"), false),
    ];
    assert!(routing.apply(updates(5, servers, ranges)));
    routing
}

#[test]
fn updated_ranges_overlay_earlier_ones() {
    let mut routing = routing_state();
    let ranges = vec![
        range(50, 149, None, true),
        range(200, 200, Some("a"), false),
    ];
    routing.apply(updates(6, vec![], ranges));
    let names = [0, 49, 50, 149, 150, 199, 200, 201, 65535].map(|k| owner_name(&routing, k));
    let expected = ["a", "a", "moving", "moving", "b", "b", "a", "b", "b"];
    assert_eq!(names, expected);
}

#[test]
fn older_updates_are_ignored() {
    let mut routing = routing_state();
    assert!(!routing.apply(updates(4, vec![], vec![range(0, 65535, Some("b"), false)])));
    assert_eq!(owner_name(&routing, 0), "a");
}

#[test]
fn an_owner_is_used_until_it_has_released_the_key() {
    let mut routing = routing_state();
    routing.apply(updates(6, vec![], vec![range(0, 99, Some("a"), true)]));
    assert_eq!(owner_name(&routing, 7), "a");
    routing.clear_owner("s", 7);
    assert_eq!(owner_name(&routing, 7), "moving");
    routing.clear_owner("s", 100);
    assert_eq!(owner_name(&routing, 100), "b", "its range is not moving");
}

#[test]
fn a_server_that_is_gone_owns_nothing() {
    let mut routing = routing_state();
    routing.apply(updates(6, vec![server("a", ServerState::Gone)], vec![]));
    assert_eq!(owner_name(&routing, 0), "nobody");
    assert_eq!(routing.backends("s").len(), 1);
}

#[test]
fn a_full_update_replaces_all_state() {
    let mut routing = routing_state();
    let mut full = updates(9, vec![server("b", ServerState::Ready)], vec![]);
    full.full = true;
    routing.apply(full);
    assert_eq!(routing.backends("s").len(), 1);
    assert_eq!(owner_name(&routing, 0), "nobody");
}

#[test]
fn a_vm_replaces_only_the_one_at_its_address() {
    let vm = |name: &str, port| Vm {
        name: name.into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], port).into(),
        role: VmRole::Entry,
    };
    let mut routing = routing_state();
    let first = Updates {
        index: 6,
        vms: vec![vm("a", 1), vm("b", 2)],
        ..Updates::default()
    };
    routing.apply(first);
    let second = Updates {
        index: 7,
        vms: vec![vm("c", 1)],
        ..Updates::default()
    };
    routing.apply(second);
    let names: Vec<_> = routing.vms.iter().map(|v| &*v.name).collect();
    assert_eq!(names, ["b", "c"]);
    assert_eq!(routing.entry_vm_count(), 2);
}

#[test]
fn the_host_of_a_request_has_no_port() {
    use crate::gateway::request::without_port;
    for (host, expected) in [
        ("a.example", "a.example"),
        ("a.example:8080", "a.example"),
        ("[::1]", "[::1]"),
        ("[::1]:8080", "[::1]"),
        ("10.0.0.1:80", "10.0.0.1"),
    ] {
        assert_eq!(without_port(host), expected);
    }
}

#[test]
fn an_owner_that_does_not_hold_a_key_is_asked_again_after_a_growing_pause() {
    use crate::fleet::updates::{RangeOwner, ServiceRanges, Updates};
    use crate::gateway::routing::RoutingState;
    use std::time::{Duration, Instant};
    let service: crate::ids::ServiceName = "owned".into();
    let range = |from, to| RangeOwner {
        from,
        to,
        owner: Some("a".into()),
        moving: false,
    };
    let update = |index| Updates {
        index,
        ranges: vec![ServiceRanges {
            service: "owned".into(),
            ranges: vec![range(0, 99), range(100, u16::MAX)],
        }],
        ..Updates::default()
    };
    let mut routing = RoutingState::default();
    routing.apply(update(1));
    let mut now = Instant::now();
    let mut pauses = Vec::new();
    for _ in 0..8 {
        routing.record_miss(&service, 50, now);
        let until = routing.missed_until(&service, 0).unwrap();
        routing.record_miss(&service, 51, now + Duration::from_millis(1));
        assert_eq!(
            routing.missed_until(&service, 99),
            Some(until),
            "one pause at a time"
        );
        pauses.push((until - now).as_millis());
        now = until;
    }
    assert_eq!(pauses, [40, 80, 160, 320, 640, 640, 640, 640]);
    assert_eq!(routing.missed_until(&service, 100), None, "another range");
    routing.record_held(&service, 7);
    assert_eq!(routing.missed_until(&service, 50), None, "it was served");
    routing.record_miss(&service, 50, now);
    routing.apply(update(2));
    assert_eq!(
        routing.missed_until(&service, 50),
        None,
        "an update names an owner"
    );
}

/// Changes the route `/safe/`, whose responses took four seconds on average and were long; returns the
/// status of a request on the changed route, and whether its responses count as short.
fn status_after(changes: &[Patch]) -> (u16, bool) {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let name: Arc<str> = "/safe/".into();
        {
            let mut routing = fixture.gateway.routing.borrow_mut();
            routing.route_secs.insert(Arc::clone(&name), 4.0);
            routing.record_length(&name, false, Instant::now());
        }
        for change in changes {
            fixture.change_table(change.clone());
        }
        let routing = || fixture.gateway.routing.borrow();
        let has_short_responses = routing().has_short_responses(&name, Instant::now());
        let response = fixture.request(REQUEST).await;
        (mock::status_code(&response), has_short_responses)
    })
}

/// A patch that sets a route `/safe/` with a timeout of half a second.
fn fast_route(service: &str) -> Patch {
    let mut route = Route::clone(&mock::route("/safe/", Idempotency::Idempotent, service));
    route.timeout = Duration::from_millis(500);
    Patch {
        routes: vec![Arc::new(route)],
        ..Patch::default()
    }
}

/// Guards against a route whose requests are all refused: its average time was that of another service.
#[test]
fn a_route_that_goes_to_another_service_starts_anew() {
    let removal = Patch {
        removed_routes: ["/safe/".into()].into(),
        ..Patch::default()
    };
    let returned = status_after(&[removal, fast_route("plain")]);
    assert_eq!(returned, (200, false), "it was removed meanwhile");
    assert!(!status_after(&[fast_route("owned")]).1);
}

/// Guards against a route whose requests are all refused, so that no response corrects the average time.
#[test]
fn a_lower_timeout_refuses_no_requests_for_good() {
    assert_eq!(status_after(&[fast_route("plain")]), (200, true));
}
