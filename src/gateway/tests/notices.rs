//! Servers that say in their responses that they leave, or that they want no requests.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, header as names};

use super::mock::{
    Action, Fixture, MockBackend, header, owned_ranges, read_message, send_text, status_code,
    wait_until,
};
use super::selection::backend;
use crate::clock;
use crate::fleet::updates::Updates;
use crate::fleet::{Incarnation, Server, ServerState};
use crate::gateway::backend::{Backend, InFlightGuard};
use crate::gateway::selection::{self, SelectionContext};
use crate::runtime;
use crate::web::retry_after::{self, MAX_QUIET};

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");
const QUIET: Action = Action::Send(
    "HTTP/1.1 503 No\nx-request: ID\nx-refused: 1\nretry-after: 3\ncontent-length: 0\n\n",
);

const SAFE: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n";
const KEYED: &str = "GET /keyed/1 HTTP/1.1\nhost: h\nx-request: 7\nx-key: 5\n\n";

/// Answers that say that their server leaves.
const LEAVING: [&str; 6] = [
    "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\nx-leaving: 1\ncontent-length: 2\n\nok",
    "HTTP/1.1 421 No\nx-request: ID\nx-refused: 1\nx-leaving: 1\ncontent-length: 0\n\n",
    "HTTP/1.1 503 No\nx-request: ID\nx-refused: 1\nx-leaving: 1\ncontent-length: 0\n\n",
    "HTTP/1.1 500 No\nx-request: ID\nx-signature: s\nx-leaving: 1\ncontent-length: 3\n\nbad",
    // It breaks off.
    "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\nx-leaving: 1\ncontent-length: 9\n\nhalf",
    // It answers another request.
    "HTTP/1.1 200 OK\nx-request: 99\nx-signature: s\nx-leaving: 1\ncontent-length: 2\n\nno",
];

fn request(id: u32) -> String {
    format!("GET /safe/1 HTTP/1.1\nhost: h\nx-request: {id}\nx-deadline: 4000\n\n")
}

fn named(fixture: &Fixture, name: &str) -> Rc<Backend> {
    let routing = fixture.gateway.routing.borrow();
    let mut backends = routing.all_backends();
    let found = backends.find(|b| &*b.server().incarnation.server == name);
    Rc::clone(found.unwrap())
}

/// Requests in flight at a server, so that another is the first choice.
fn keep_busy(fixture: &Fixture, name: &str) -> Vec<InFlightGuard> {
    let backend = named(fixture, name);
    (0..4).map(|_| backend.start_request()).collect()
}

fn successor(server: &Server) -> Server {
    Server {
        incarnation: Incarnation {
            server: Arc::clone(&server.incarnation.server),
            start_ms: server.incarnation.start_ms + 1,
        },
        ..server.clone()
    }
}

fn update(index: u64, server: Server) -> Updates {
    Updates {
        index,
        servers: vec![Arc::new(server)],
        ..Updates::default()
    }
}

/// Guards against new requests to a server that has said that it leaves.
#[test]
fn a_server_that_leaves_gets_no_request_that_another_can_take() {
    for leaving in LEAVING {
        runtime::run(async move {
            let first = vec![Action::Send(leaving), Action::Close];
            let one = MockBackend::start(vec![first, vec![OK], vec![OK]]);
            let other = MockBackend::start((0..20).map(|_| vec![OK]).collect());
            let fixture = Fixture::new(&[&one, &other]);
            let busy = keep_busy(&fixture, "plain-1");
            fixture.request(&request(1)).await;
            drop(busy);
            assert!(named(&fixture, "plain-0").is_leaving(), "{leaving:?}");
            for id in 2..8 {
                let response = fixture.request(&request(id)).await;
                assert_eq!(status_code(&response), 200, "{leaving:?}");
            }
            assert_eq!(one.requests.borrow().len(), 1, "{leaving:?}");
            assert_eq!(fixture.gateway.counters.leaving.get(), 1, "{leaving:?}");
        });
    }
}

#[test]
fn a_server_that_leaves_gets_requests_that_no_other_can_take_until_the_drain_ends() {
    runtime::run(async {
        let one = MockBackend::start(vec![vec![Action::Send(LEAVING[0])], vec![OK], vec![OK]]);
        let fixture = Fixture::new(&[&one]);
        for id in 1..3 {
            let response = fixture.request(&request(id)).await;
            assert_eq!(status_code(&response), 200);
        }
        clock::advance(fixture.gateway.drain.get());
        assert_eq!(status_code(&fixture.request(&request(3)).await), 503);
        assert_eq!(one.requests.borrow().len(), 2);
    });
}

#[test]
fn a_running_request_at_a_server_that_leaves_ends_in_peace() {
    runtime::run(async {
        let slow = vec![Action::Pause(Duration::from_millis(150)), OK];
        let one = MockBackend::start(vec![slow]);
        let fixture = Fixture::new(&[&one]);
        let mut caller = fixture.connect().await;
        send_text(&mut caller, SAFE).await;
        wait_until(|| one.requests.borrow().len() == 1).await;
        named(&fixture, "plain-0").record_leaving();
        clock::advance(fixture.gateway.drain.get());
        let response = read_message(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&response), 200);
    });
}

/// Guards against a request to the owner of its key after the drain of the owner.
#[test]
fn a_key_of_a_server_that_leaves_waits_for_its_next_owner_after_the_drain() {
    runtime::run(async {
        let one = MockBackend::start(vec![vec![Action::Send(LEAVING[0])], vec![OK]]);
        let fixture = Fixture::new(&[&one]);
        assert!(fixture.request(KEYED).await.ends_with("ok"));
        let owner = Incarnation {
            server: "owner".into(),
            start_ms: 1,
        };
        let reported = fixture.gateway.routing.borrow().leaving_owners();
        assert_eq!(reported, [owner]);
        let keyed = KEYED.replace("request: 7", "request: 8");
        assert_eq!(status_code(&fixture.request(&keyed).await), 200);
        clock::advance(fixture.gateway.drain.get());
        let mut caller = fixture.connect().await;
        let keyed = KEYED.replace("request: 7", "request: 9");
        send_text(&mut caller, &keyed).await;
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(one.requests.borrow().len(), 2);
        let other = MockBackend::start(vec![vec![OK]]);
        let mut next = Server::clone(&named(&fixture, "owner").server());
        next.incarnation.server = "next".into();
        next.address = other.address;
        let mut updates = update(2, next);
        updates.ranges = vec![owned_ranges(Some("next"))];
        fixture.gateway.routing.borrow_mut().apply(updates);
        fixture.gateway.changed.wake();
        let response = read_message(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&response), 200);
        assert_eq!(other.requests.borrow().len(), 1);
    });
}

#[test]
fn a_server_that_leaves_is_reported_until_the_control_vms_know_it() {
    runtime::run(async {
        let one = MockBackend::start(Vec::new());
        let fixture = Fixture::new(&[&one]);
        let owner = named(&fixture, "owner");
        let reported = || fixture.gateway.routing.borrow().leaving_owners().len();
        assert_eq!(reported(), 0);
        assert!(owner.record_leaving());
        assert!(!owner.record_leaving());
        assert_eq!(reported(), 1);
        let mut draining = Server::clone(&owner.server());
        draining.state = ServerState::Draining;
        let mut routing = fixture.gateway.routing.borrow_mut();
        routing.apply(update(2, draining));
        assert_eq!(routing.leaving_owners().len(), 0);
    });
}

/// Guards against notices that end with a new table, a new description or a full update, and
/// against those that a successor inherits.
#[test]
fn notices_last_for_one_incarnation() {
    runtime::run(async {
        let one = MockBackend::start(Vec::new());
        let fixture = Fixture::new(&[&one]);
        let backend = named(&fixture, "plain-0");
        backend.record_leaving();
        backend.record_quiet(Duration::from_secs(3));
        let mut renamed = Server::clone(&backend.server());
        renamed.service = "renamed".into();
        renamed.slots = 9;
        let mut full = update(3, renamed.clone());
        full.full = true;
        for updates in [update(2, renamed.clone()), full] {
            fixture.gateway.routing.borrow_mut().apply(updates);
            let backend = named(&fixture, "plain-0");
            assert!(backend.is_leaving());
            assert!(!backend.quiet_for(clock::now()).is_zero());
        }
        let next = update(4, successor(&renamed));
        fixture.gateway.routing.borrow_mut().apply(next);
        let successor = named(&fixture, "plain-0");
        assert!(!successor.is_leaving());
        assert!(successor.quiet_for(clock::now()).is_zero());
        // A late answer of the predecessor speaks of the predecessor.
        backend.record_leaving();
        assert!(!successor.is_leaving());
    });
}

/// Guards against requests to a server that has asked for none.
#[test]
fn a_quiet_server_gets_no_request_and_others_take_its_work() {
    runtime::run(async {
        let one = MockBackend::start(vec![vec![QUIET], vec![OK], vec![OK]]);
        let other = MockBackend::start((0..20).map(|_| vec![OK]).collect());
        let fixture = Fixture::new(&[&one, &other]);
        let busy = keep_busy(&fixture, "plain-1");
        fixture.request(&request(1)).await;
        drop(busy);
        for id in 2..8 {
            assert_eq!(status_code(&fixture.request(&request(id)).await), 200);
        }
        assert_eq!(one.requests.borrow().len(), 1);
        assert_eq!(fixture.gateway.counters.quiet.get(), 1);
        clock::advance(Duration::from_secs(3));
        assert!(named(&fixture, "plain-0").quiet_for(clock::now()).is_zero());
    });
}

#[test]
fn requests_that_only_a_quiet_server_can_take_are_refused_at_once_with_what_is_left() {
    for request in [KEYED, SAFE] {
        runtime::run(async move {
            let one = MockBackend::start(vec![vec![QUIET], vec![OK], vec![OK]]);
            let fixture = Fixture::new(&[&one]);
            let mut waits = Vec::new();
            for id in 1..20 {
                let request = request.replace("request: 7", &format!("request: {id}"));
                let begun = std::time::Instant::now();
                let response = fixture.request(&request).await;
                assert_eq!(status_code(&response), 503, "{response}");
                assert!(begun.elapsed() < Duration::from_millis(400), "{response}");
                let wait = header(&response, "retry-after").unwrap();
                waits.push(wait.parse::<f64>().unwrap());
            }
            assert!(waits.iter().all(|w| (2.0..=4.5).contains(w)), "{waits:?}");
            waits.sort_by(f64::total_cmp);
            waits.dedup();
            assert!(waits.len() > 10, "{waits:?}");
            assert_eq!(one.requests.borrow().len(), 1);
        });
    }
}

#[test]
fn a_late_copy_of_a_request_for_quiet_asks_for_nothing() {
    runtime::run(async {
        let copy = Action::Send(
            "HTTP/1.1 503 No\nx-request: 99\nx-refused: 1\nretry-after: 3\ncontent-length: 0\n\n",
        );
        let one = MockBackend::start(vec![vec![copy, OK]]);
        let fixture = Fixture::new(&[&one]);
        assert_eq!(status_code(&fixture.request(SAFE).await), 200);
        let backend = named(&fixture, "plain-0");
        assert!(backend.quiet_for(clock::now()).is_zero());
    });
}

fn parsed(values: &[&'static str]) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(names::RETRY_AFTER, HeaderValue::from_static(value));
    }
    retry_after::parse(&headers)
}

/// Guards against a server that one bad value silences for good.
#[test]
fn bad_values_ask_for_nothing_and_huge_ones_for_a_minute() {
    for value in [
        "",
        "-1",
        "0",
        "0.0",
        "soon",
        "NaN",
        "inf",
        "1e9",
        "+1",
        ".",
        "1.2.3",
        "1, 2",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        assert_eq!(parsed(&[value]), None, "{value:?}");
    }
    assert_eq!(parsed(&["2"]), Some(Duration::from_secs(2)));
    assert_eq!(parsed(&[" 1.5 "]), Some(Duration::from_millis(1500)));
    assert_eq!(parsed(&["1", "x", "4", "2"]), Some(Duration::from_secs(4)));
    for huge in ["61", "99999999999999999999999999999999999999999999"] {
        assert_eq!(parsed(&[huge]), Some(MAX_QUIET), "{huge:?}");
    }
}

/// Random notices, ends of incarnations and steps of time against what each server asked for.
#[test]
fn selection_respects_notices_at_any_time() {
    const DRAIN: Duration = Duration::from_secs(2);
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut backends: Vec<_> = (0..5).map(|i| backend(&format!("s{i}"), "near")).collect();
        // When each server's drain ends, and when it wants requests again.
        let mut expected = vec![(None, None); backends.len()];
        for step in 0..300 {
            let now = clock::now();
            let i = random.usize(0..backends.len());
            match random.u8(0..12) {
                0 => {
                    backends[i].record_leaving();
                    expected[i].0 = expected[i].0.or(Some(now + DRAIN));
                }
                1 => {
                    let quiet = Duration::from_millis(random.u64(1..4000));
                    backends[i].record_quiet(quiet);
                    expected[i].1 = expected[i].1.max(Some(now + quiet));
                }
                2 => {
                    let next = successor(&backends[i].server());
                    backends[i] = Backend::new(Arc::new(next));
                    expected[i] = (None, None);
                }
                _ => clock::advance(Duration::from_millis(random.u64(0..400))),
            }
            let now = clock::now();
            let context = SelectionContext {
                zone: "near",
                max_connections: 100,
                drain: DRAIN,
                now,
            };
            let wants = |i: usize| {
                expected[i].0.is_none_or(|end| now < end)
                    && expected[i].1.is_none_or(|end| now >= end)
            };
            let stays = |i: usize| wants(i) && expected[i].0.is_none();
            let all = 0..backends.len();
            let selected = selection::select_backend(&backends, &[], &context);
            let position = selected.map(|s| backends.iter().position(|b| Rc::ptr_eq(b, &s)));
            let case = format!("seed {seed}, step {step}");
            match position.flatten() {
                Some(i) if all.clone().any(stays) => assert!(stays(i), "{case}"),
                Some(i) => assert!(wants(i), "{case}"),
                None => assert!(!all.clone().any(wants), "{case}"),
            }
        }
    }
}
