//! Requests through the relay VM of their key's owner, over loopback with two gateways.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::io::AsyncReadRent;
use monoio::net::{TcpListener, TcpStream};
use serde_json::Value;

use super::mock::{
    Action, Fixture, MockBackend, header, owned_ranges, read_message, send_text, status_code,
    wait_until,
};
use crate::fleet::updates::Updates;
use crate::fleet::{Incarnation, Server, ServerState, Vm, VmRole};
use crate::gateway::caller::{self, Origin, SHUTDOWN_KEEP_ALIVE};
use crate::gateway::relay;
use crate::runtime;
use crate::table::{Destination, Idempotency, Patch, Route, Update};

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");
const FULL: Action = Action::Send(
    "HTTP/1.1 503 No\nx-request: ID\nx-refused: 1\nx-load: 4,0,4\ncontent-length: 0\n\n",
);
const MISDIRECTED: Action =
    Action::Send("HTTP/1.1 421 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");
const FAILED: Action =
    Action::Send("HTTP/1.1 500 No\nx-request: ID\nx-signature: s\ncontent-length: 3\n\nbad");

const KEYED: &str = "GET /keyed/1 HTTP/1.1\nhost: h\nx-request: 7\nx-key: 5\n\n";
const KEYED_ONCE: &str =
    "POST /keyed-once/1 HTTP/1.1\nhost: h\nx-request: 7\nx-key: 5\ncontent-length: 3\n\nabc";

/// Entry VMs besides the relay VMs: more than four for each of the four slots.
const OTHER_VMS: u16 = 17;

/// An address at which nothing listens.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn entry_vm(name: String, zone: &str, address: SocketAddr) -> Vm {
    Vm {
        name: name.into(),
        zone: zone.into(),
        address,
        role: VmRole::Entry,
    }
}

/// Lets the routes of the service `owned` have two ranks, and names the entry VMs. Those of
/// `relays` are in the zone of the servers, the local one is not.
fn enable_relays(fixture: &Fixture, relays: &[SocketAddr]) {
    let urgent = Route {
        name: "urgent".into(),
        host: "h".into(),
        prefix: "/urgent/".into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(100),
        rank: 0,
        max_attempts: 2,
        destination: Destination::Service("owned".into()),
        source: Value::Null.into(),
    };
    let others = (0..OTHER_VMS).map(|i| {
        let address = SocketAddr::from(([127, 0, 0, 1], i + 1));
        entry_vm(format!("other-{i}"), "far", address)
    });
    let relays = relays
        .iter()
        .enumerate()
        .map(|(i, a)| entry_vm(format!("relay-{i}"), "near", *a));
    let updates = Updates {
        index: 2,
        full: false,
        table: Some(Update {
            version: 2,
            full: false,
            patch: Patch {
                routes: vec![Arc::new(urgent)],
                ..Patch::default()
            },
        }),
        servers: Vec::new(),
        ranges: Vec::new(),
        vms: relays.chain(others).collect(),
        evacuations: Vec::new(),
    };
    let mut routing = fixture.gateway.routing.borrow_mut();
    routing.local_vm = Some(entry_vm(
        "other-0".to_owned(),
        "far",
        SocketAddr::from(([127, 0, 0, 1], 1)),
    ));
    assert!(routing.apply(updates));
}

/// A sender, a relay VM and the connections that the relay VM has accepted.
struct Pair {
    sender: Fixture,
    relay: Fixture,
    relay_address: SocketAddr,
    accepted: Rc<Cell<u32>>,
}

impl Pair {
    fn new(backend: &MockBackend) -> Self {
        let (sender, relay) = (Fixture::new(&[backend]), Fixture::new(&[backend]));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay_address = listener.local_addr().unwrap();
        let accepted = Rc::new(Cell::new(0));
        let (gateway, counter) = (Rc::clone(&relay.gateway), Rc::clone(&accepted));
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.set(counter.get() + 1);
                let gateway = Rc::clone(&gateway);
                monoio::spawn(caller::serve_from(Origin::Peer, gateway, stream));
            }
        });
        enable_relays(&sender, &[relay_address]);
        enable_relays(&relay, &[relay_address]);
        Self {
            sender,
            relay,
            relay_address,
            accepted,
        }
    }

    /// Requests that the relay VM has in flight and in its queues.
    fn relayed(&self) -> (usize, usize) {
        self.relay.gateway.relay.queues.counts()
    }
}

/// Sends requests one after the other through the relay VM, and returns the responses and the
/// requests as the server received them.
fn through_relay(requests: &[&str], script: Vec<Vec<Action>>) -> (Vec<String>, Vec<String>) {
    runtime::run(async move {
        let backend = MockBackend::start(script);
        let pair = Pair::new(&backend);
        let mut responses = Vec::new();
        for request in requests {
            responses.push(pair.sender.request(request).await);
        }
        // A connection carries each id once, so only a retry opens another one.
        let retries = backend.requests.borrow().len() - requests.len();
        assert_eq!(pair.accepted.get() as usize, 1 + retries);
        assert_eq!(pair.relayed(), (0, 0), "places are left");
        let received = backend.requests.borrow().clone();
        (responses, received)
    })
}

/// Fails if a response is changed on its way, the hop's connection is not used again, or internal
/// headers reach a caller or a server.
#[test]
fn a_response_passes_through_unchanged() {
    let again = KEYED.replace("x-request: 7", "x-request: 8");
    let (responses, received) = through_relay(&[KEYED, &again], vec![vec![OK], vec![OK]]);
    for (response, id) in responses.iter().zip(["7", "8"]) {
        assert_eq!(status_code(response), 200);
        assert_eq!(header(response, "x-signature").as_deref(), Some("s"));
        assert_eq!(header(response, "x-request").as_deref(), Some(id));
        assert_eq!(header(response, "agateyoke-relay"), None);
        assert!(response.ends_with("\r\n\r\nok"));
    }
    for request in &received {
        assert_eq!(header(request, "x-expected").as_deref(), Some("owner"));
        assert_eq!(header(request, "agateyoke-relay"), None);
    }
    assert_eq!(received.len(), 2);
}

/// Fails if the body of a request or an error of the server is lost on the way.
#[test]
fn a_body_and_a_server_error_pass_through() {
    let (responses, received) = through_relay(&[KEYED_ONCE], vec![vec![FAILED]]);
    assert_eq!(status_code(&responses[0]), 500);
    assert!(responses[0].ends_with("\r\n\r\nbad"));
    assert!(received[0].ends_with("\r\n\r\nabc"));
}

/// Fails if a response that is longer than the buffer is cut or held back.
#[test]
fn a_long_response_is_streamed() {
    const LENGTH: usize = 300_000;
    let body: &'static str = Box::leak("y".repeat(LENGTH).into_boxed_str());
    let head =
        Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 300000\n\n");
    let (responses, _) = through_relay(&[KEYED], vec![vec![head, Action::Send(body)]]);
    assert!(responses[0].ends_with(body));
}

/// Fails if a request that takes longer than the sender's patience with a silent relay VM is given
/// up: the relay VM tells that it is under way.
#[test]
fn a_slow_server_is_waited_for() {
    let pause = Action::Pause(Duration::from_millis(1500));
    for request in [KEYED, KEYED_ONCE] {
        let (responses, received) = through_relay(&[request], vec![vec![pause.clone(), OK]]);
        assert_eq!(status_code(&responses[0]), 200);
        assert_eq!(received.len(), 1);
    }
}

/// Fails if a rejection of the server is lost on the way: the sender would take it for a request
/// that may have run, and not retry it.
#[test]
fn rejections_of_the_server_pass_through() {
    for rejection in [FULL, MISDIRECTED] {
        let script = vec![vec![rejection], vec![OK]];
        let (responses, received) = through_relay(&[KEYED_ONCE], script);
        assert_eq!(status_code(&responses[0]), 200, "retried");
        assert_eq!(received.len(), 2);
    }
}

/// Fails if an at-most-once request is sent again after the server broke off.
#[test]
fn an_at_most_once_request_that_may_have_run_is_not_sent_again() {
    let (responses, received) = through_relay(&[KEYED_ONCE], vec![vec![Action::Close], vec![OK]]);
    assert_eq!((status_code(&responses[0]), received.len()), (502, 1));
}

/// Fails if a request goes on at the server, or keeps its place, after its caller has closed the
/// connection.
#[test]
fn a_closed_caller_cancels_its_request_at_the_server() {
    for request in [KEYED, KEYED_ONCE] {
        runtime::run(async move {
            let backend = MockBackend::start(vec![vec![Action::Wait]]);
            let pair = Pair::new(&backend);
            let mut caller = pair.sender.connect().await;
            send_text(&mut caller, request).await;
            wait_until(|| backend.requests.borrow().len() == 1).await;
            assert_eq!(pair.relayed(), (1, 0));
            drop(caller);
            wait_until(|| *backend.disconnects.borrow() == 1).await;
            wait_until(|| pair.relayed() == (0, 0)).await;
        });
    }
}

/// Fails if a request that can't be served by its deadline is sent or waits, or if its refusal is
/// not passed on with a time to return.
#[test]
fn a_request_that_cannot_be_served_is_refused_at_once() {
    runtime::run(async {
        let slow = vec![Action::Pause(Duration::from_millis(600)), OK];
        let backend = MockBackend::start(vec![slow; 6]);
        let pair = Pair::new(&backend);
        assert_eq!(status_code(&pair.sender.request(KEYED).await), 200);
        let mut callers = Vec::new();
        for id in 0..4 {
            let mut caller = pair.sender.connect().await;
            let request = KEYED.replace("x-request: 7", &format!("x-request: {id}"));
            send_text(&mut caller, &request).await;
            callers.push(caller);
        }
        wait_until(|| pair.relayed() == (4, 0)).await;
        let late = KEYED.replace("x-request: 7", "x-request: 9\nx-deadline: 500");
        let response = pair.sender.request(&late).await;
        assert_eq!(status_code(&response), 503);
        assert!(header(&response, "retry-after").is_some());
        assert_eq!(header(&response, "agateyoke-relay"), None);
        for mut caller in callers {
            let response = read_message(&mut caller, &mut String::new()).await.unwrap();
            assert_eq!(status_code(&response), 200);
        }
        assert_eq!(backend.requests.borrow().len(), 5);
    });
}

/// Fails if a request that waits for a place until its deadline ends as one that may have run, while
/// the time that requests take is not known yet.
#[test]
fn a_request_that_got_no_place_is_answered_as_not_run() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![Action::Wait]; 4]);
        let pair = Pair::new(&backend);
        let mut callers = Vec::new();
        for id in 0..4 {
            let mut caller = pair.sender.connect().await;
            let request = KEYED.replace("x-request: 7", &format!("x-request: {id}"));
            send_text(&mut caller, &request).await;
            callers.push(caller);
        }
        wait_until(|| pair.relayed() == (4, 0)).await;
        let late = KEYED_ONCE.replace("x-request: 7", "x-request: 9\nx-deadline: 400");
        let response = pair.sender.request(&late).await;
        assert_eq!(status_code(&response), 503);
        assert_eq!(backend.requests.borrow().len(), 4);
    });
}

/// Updates with a new state of the server that owns all keys, and with the next owner, if there is one.
fn owner_leaves(
    address: SocketAddr,
    state: ServerState,
    next_owner: Option<&MockBackend>,
) -> Updates {
    let server = |name: &str, address, state| {
        Arc::new(Server {
            incarnation: Incarnation {
                server: name.into(),
                start_ms: 1,
            },
            service: "owned".into(),
            address,
            zone: "near".into(),
            slots: 4,
            state,
            warmup: Duration::ZERO,
        })
    };
    let next = next_owner.map(|b| server("next-owner", b.address, ServerState::Ready));
    let owner = next.as_ref().map(|n| &*n.incarnation.server);
    let ranges = vec![owned_ranges(owner)];
    let mut servers = vec![server("owner", address, state)];
    servers.extend(next.clone());
    Updates {
        index: 3,
        servers,
        ranges,
        ..Updates::default()
    }
}

/// Guards against requests that reach a server long after it said that it leaves, as they waited in its
/// queue, and against a refusal although the next owner is known.
#[test]
fn a_request_that_waits_is_not_sent_to_an_owner_that_leaves() {
    let states = [ServerState::Draining, ServerState::Left, ServerState::Gone];
    for (state, has_next_owner) in states.into_iter().flat_map(|s| [(s, false), (s, true)]) {
        runtime::run(async move {
            let slow = vec![Action::Pause(Duration::from_millis(800)), OK];
            let backend = MockBackend::start(vec![slow; 9]);
            let next_owner = MockBackend::start(vec![vec![OK]]);
            let pair = Pair::new(&backend);
            let mut callers = Vec::new();
            for id in 0..5 {
                let mut caller = pair.sender.connect().await;
                let request = KEYED.replace("x-request: 7", &format!("x-request: {id}"));
                send_text(&mut caller, &request).await;
                callers.push(caller);
                let expected = (callers.len().min(4), callers.len().saturating_sub(4));
                wait_until(|| pair.relayed() == expected).await;
            }
            for fixture in [&pair.sender, &pair.relay] {
                let next = Some(&next_owner).filter(|_| has_next_owner);
                let updates = owner_leaves(backend.address, state, next);
                assert!(fixture.gateway.routing.borrow_mut().apply(updates));
            }
            wait_until(|| pair.relayed() == (4, 0)).await;
            let mut statuses = Vec::new();
            for mut caller in callers {
                let response = read_message(&mut caller, &mut String::new()).await.unwrap();
                statuses.push(status_code(&response));
            }
            let last = if has_next_owner { 200 } else { 503 };
            assert_eq!(statuses, [200, 200, 200, 200, last]);
            assert_eq!(backend.requests.borrow().len(), 4);
            assert_eq!(
                next_owner.requests.borrow().len(),
                usize::from(has_next_owner)
            );
        });
    }
}

/// Fails if requests wait for or are refused by a relay VM that is down, or if it is asked again at
/// once.
#[test]
fn a_relay_vm_that_is_down_is_skipped() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK], vec![OK]]);
        let sender = Fixture::new(&[&backend]);
        let down = unused_address();
        enable_relays(&sender, &[down]);
        for _ in 0..2 {
            assert_eq!(status_code(&sender.request(KEYED_ONCE).await), 200);
        }
        let routing = sender.gateway.routing.borrow();
        let owner = routing.backend("owner").unwrap();
        let choices = sender
            .gateway
            .relay
            .choices(&routing, owner, crate::clock::now());
        assert!(choices.is_empty(), "skipped for some seconds");
    });
}

/// Runs a request with a relay VM that accepts connections in the kernel and then does `then`;
/// returns the status and how often the server got the request.
fn with_broken_relay(request: &'static str, closes: bool) -> (u16, usize) {
    runtime::run(async move {
        let backend = MockBackend::start(vec![vec![OK], vec![OK]]);
        let sender = Fixture::new(&[&backend]);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        enable_relays(&sender, &[listener.local_addr().unwrap()]);
        if closes {
            monoio::spawn(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    read_message(&mut stream, &mut String::new()).await;
                }
            });
            let response = sender.request(request).await;
            let sent = backend.requests.borrow().len();
            return (status_code(&response), sent);
        }
        let response = sender.request(request).await;
        drop(listener);
        let sent = backend.requests.borrow().len();
        (status_code(&response), sent)
    })
}

/// Fails if requests hang at a relay VM that is frozen or ends, or if one runs twice that must not.
#[test]
fn a_relay_vm_that_fails_with_a_request_costs_idempotent_ones_a_retry() {
    for closes in [false, true] {
        assert_eq!(with_broken_relay(KEYED, closes), (200, 1));
        assert_eq!(with_broken_relay(KEYED_ONCE, closes), (502, 0));
    }
}

/// Fails if a relay VM that stops breaks off requests, takes new ones, or leaves it open whether
/// they have run.
#[test]
fn a_stopping_relay_vm_finishes_its_requests_and_refuses_new_ones() {
    runtime::run(async {
        let slow = vec![Action::Pause(Duration::from_millis(300)), OK];
        let backend = MockBackend::start(vec![slow, vec![OK]]);
        let pair = Pair::new(&backend);
        let mut first = pair.sender.connect().await;
        send_text(&mut first, KEYED).await;
        wait_until(|| pair.relayed() == (1, 0)).await;
        pair.relay.gateway.shut_down(SHUTDOWN_KEEP_ALIVE);
        let response = pair.sender.request(KEYED_ONCE).await;
        assert_eq!(status_code(&response), 200, "sent directly");
        let response = read_message(&mut first, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&response), 200);
        let stop = &pair.relay.gateway.stop;
        assert!(stop.wait_closed(Duration::from_secs(20)).await);
        assert_eq!(backend.requests.borrow().len(), 2);
        let answered = pair.relay.gateway.counters.answered.get();
        assert_eq!(answered, 1, "only the request in flight");
    });
}

/// Sends a request to the relay VM as another entry VM would, and returns the response.
async fn as_peer(pair: &Pair, request: &str) -> String {
    let mut stream = TcpStream::connect(pair.relay_address).await.unwrap();
    send_text(&mut stream, request).await;
    read_message(&mut stream, &mut String::new()).await.unwrap()
}

/// Fails if a relay VM passes a request on to another one, or sends one that it can't match.
#[test]
fn a_relay_vm_sends_to_the_named_server_or_refuses() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let pair = Pair::new(&backend);
        // To its own requests another VM is the relay VM.
        enable_relays(&pair.relay, &[unused_address()]);
        let hop = "agateyoke-relay: 1\nx-expected: owner\n\n";
        let request = KEYED.replace("\n\n", &format!("\n{hop}"));
        let response = as_peer(&pair, &request).await;
        assert_eq!(status_code(&response), 200);
        let reason = header(&response, "agateyoke-relay");
        assert_eq!(reason.as_deref(), Some("answered"));
        for wrong in [
            request.replace("owner", "stranger"),
            request.replace("/keyed/", "/nowhere/"),
            request.replace("/keyed/", "/safe/"),
            request.replace("agateyoke-relay: 1", "agateyoke-relay: 9"),
            KEYED.to_owned(),
        ] {
            let response = as_peer(&pair, &wrong).await;
            assert_eq!(status_code(&response), 503, "{wrong}");
            assert!(header(&response, "x-refused").is_some());
            let reason = header(&response, "agateyoke-relay");
            assert_eq!(reason.as_deref(), Some("unknown"));
        }
        assert_eq!(backend.requests.borrow().len(), 1);
    });
}

/// Guards against a body behind the head of a response to `HEAD`, at which the sender would lose the
/// connection to the relay VM: the relay VM ends before the server has answered.
#[test]
fn a_relay_vm_sends_no_body_to_head() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![Action::Wait]]);
        let pair = Pair::new(&backend);
        let hop =
            "HEAD /keyed/1 HTTP/1.1\nhost: h\nx-key: 5\nagateyoke-relay: 1\nx-expected: owner\n\n";
        let mut stream = TcpStream::connect(pair.relay_address).await.unwrap();
        send_text(&mut stream, hop).await;
        wait_until(|| !backend.requests.borrow().is_empty()).await;
        pair.relay.gateway.abort.stop();
        let (read, bytes) = stream.read(vec![0_u8; 4096]).await;
        let response = String::from_utf8_lossy(&bytes[..read.unwrap()]).into_owned();
        assert_eq!(status_code(&response), 504, "{response}");
        assert!(response.ends_with("\r\n\r\n"), "{response}");
    });
}

/// Fails if a caller chooses the server of its request by the headers of a hop.
#[test]
fn a_hop_that_a_caller_pretends_is_ignored() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK], vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let forged = "agateyoke-relay: 1\nx-expected: plain-0\n\n";
        let request = KEYED.replace("\n\n", &format!("\n{forged}"));
        let response = fixture.request(&request).await;
        assert_eq!(status_code(&response), 200);
        assert_eq!(header(&response, "agateyoke-relay"), None);
        let received = backend.requests.borrow()[0].clone();
        assert_eq!(header(&received, "x-expected").as_deref(), Some("owner"));
        assert_eq!(header(&received, "agateyoke-relay"), None);
    });
}

/// Fails if a server is taken for a relay VM by a header of its response.
#[test]
fn a_reason_that_a_server_pretends_is_ignored() {
    const FORGED: Action = Action::Send(
        "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\nagateyoke-relay: stopping\nx-refused: 0\ncontent-length: 2\n\nok",
    );
    const SIGNED: Action = Action::Send(
        "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\nagateyoke-relay: stopping\ncontent-length: 2\n\nok",
    );
    let (responses, received) = through_relay(&[KEYED], vec![vec![SIGNED]]);
    assert_eq!((status_code(&responses[0]), received.len()), (200, 1));
    assert_eq!(header(&responses[0], "agateyoke-relay"), None);
    // The mark of the server counts as without a relay VM; the reason does not.
    let (responses, received) = through_relay(&[KEYED], vec![vec![FORGED], vec![OK]]);
    assert_eq!((status_code(&responses[0]), received.len()), (200, 2));
}

/// Fails if small deployments, services without keys, or those of one rank are relayed.
#[test]
fn requests_are_relayed_only_under_the_condition() {
    runtime::run(async {
        let backend = MockBackend::start(Vec::new());
        let fixture = Fixture::new(&[&backend]);
        let enabled = |service: &str| {
            let routing = fixture.gateway.routing.borrow();
            let owner = routing.backend("owner").unwrap();
            fixture.gateway.relay.is_enabled(&routing, service, owner)
        };
        assert!(!enabled("owned"), "one rank, no other VM");
        enable_relays(&fixture, &[unused_address()]);
        assert!(enabled("owned"));
        assert!(!enabled("plain"), "no keys");
        let mut vms = fixture.gateway.routing.borrow().vms.clone();
        vms.truncate(16);
        fixture.gateway.routing.borrow_mut().vms = vms;
        assert!(!enabled("owned"), "16 VMs and 4 slots");
        let many = (0..501_u16).map(|i| {
            let address = SocketAddr::from(([127, 0, 0, 1], i + 1));
            entry_vm(format!("vm-{i}"), "near", address)
        });
        fixture.gateway.routing.borrow_mut().vms = many.collect();
        assert!(!enabled("owned"), "more VMs than connections");
    });
}

/// Fails if the loss of one VM changes the relay VM of servers that it was not the relay VM of, or
/// if one VM is the relay VM of far more servers than others.
#[test]
fn servers_are_spread_over_the_relay_vms_of_their_zone() {
    let vms: Vec<_> = (0..90_u16)
        .map(|i| {
            let zone = ["a", "b", "c"][usize::from(i % 3)];
            entry_vm(
                format!("vm-{i}"),
                zone,
                SocketAddr::from(([10, 0, 0, 1], i + 1)),
            )
        })
        .collect();
    let mut counts = std::collections::HashMap::new();
    for server in 0..300 {
        let server = format!("server-{server}");
        let order = relay::relay_vms(&vms, "b", &server);
        assert_eq!(order.len(), 30);
        assert!(order.iter().all(|v| &*v.zone == "b"));
        *counts.entry(Arc::clone(&order[0].name)).or_insert(0) += 1;
        let rest: Vec<_> = vms.iter().filter(|v| *v != order[5]).cloned().collect();
        let after = relay::relay_vms(&rest, "b", &server);
        assert_eq!(after[..5], order[..5]);
    }
    assert!(counts.values().all(|c| *c <= 25), "{counts:?}");
    assert_eq!(relay::relay_vms(&vms, "d", "server").len(), 90);
}
