//! Handling of requests whose backend server misbehaves.

use std::time::Duration;

use monoio::net::TcpListener;

use super::mock::{
    Action, Fixture, MockBackend, header, owned_ranges, read_message, send_text, status_code,
    wait_until,
};
use crate::fleet::updates::Updates;
use crate::runtime;

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");
const FULL: Action =
    Action::Send("HTTP/1.1 503 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");
const MISDIRECTED: Action =
    Action::Send("HTTP/1.1 421 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");
const FAILED: Action =
    Action::Send("HTTP/1.1 500 No\nx-request: ID\nx-signature: s\ncontent-length: 3\n\nbad");
const BROKEN: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 9\n\nhalf");

const SAFE: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n";
const ONCE: &str = "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\ncontent-length: 3\n\nabc";
const KEYED: &str = "GET /keyed/1 HTTP/1.1\nhost: h\nx-request: 7\nx-key: 5\n\n";

/// Runs a request against one backend server that follows `script`; returns the status, how
/// often the request was sent, and the response.
fn outcome(request: &'static str, script: Vec<Vec<Action>>) -> (u16, usize, String) {
    runtime::run(async move {
        let backend = MockBackend::start(script);
        let fixture = Fixture::new(&[&backend]);
        let response = fixture.request(request).await;
        let sent = backend.requests.borrow().len();
        (status_code(&response), sent, response)
    })
}

#[test]
fn a_response_is_forwarded_unchanged() {
    let (status, sent, response) = outcome(SAFE, vec![vec![OK]]);
    assert_eq!((status, sent), (200, 1));
    assert_eq!(header(&response, "x-signature").as_deref(), Some("s"));
    assert!(response.ends_with("\r\n\r\nok"));
}

#[test]
fn the_remaining_deadline_is_sent_to_the_server() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let request = "GET /safe/1?q=1 HTTP/1.1\nhost: h:80\nx-request: 7\nx-deadline: 900\n\n";
        fixture.request(request).await;
        let request_head = backend.requests.borrow()[0].clone();
        assert!(request_head.starts_with("GET /safe/1?q=1 HTTP/1.1\r\n"));
        assert_eq!(
            header(&request_head, "x-expected").as_deref(),
            Some("plain-0")
        );
        let left: u64 = header(&request_head, "x-deadline")
            .unwrap()
            .parse()
            .unwrap();
        assert!(left <= 900);
    });
}

#[test]
fn an_at_most_once_request_is_not_retried_after_it_may_have_run() {
    for action in [Action::Close, BROKEN, Action::Send("what is this\n\n")] {
        let (status, sent, _) = outcome(ONCE, vec![vec![action.clone(), Action::Close], vec![OK]]);
        assert_eq!((status, sent), (502, 1), "{action:?}");
    }
}

#[test]
fn a_server_error_for_an_at_most_once_request_is_forwarded_unchanged() {
    let (status, sent, response) = outcome(ONCE, vec![vec![FAILED], vec![OK]]);
    assert_eq!((status, sent), (500, 1));
    assert_eq!(header(&response, "x-signature").as_deref(), Some("s"));
}

#[test]
fn a_not_executed_response_is_reported_as_unavailable() {
    let (status, _, response) = outcome(ONCE, vec![vec![FULL]]);
    assert_eq!(status, 503);
    assert!(header(&response, "retry-after").is_some());
    assert_eq!(header(&response, "x-signature"), None);
    assert_eq!(header(&response, "x-request").as_deref(), Some("7"));
}

/// Runs a request with two backend servers: the first server follows `first` for its first
/// request, all other requests succeed. Returns the status and how often it was sent.
async fn run_with_second_backend(request: &str, first: Vec<Action>) -> (u16, usize) {
    let one = MockBackend::start(vec![first.clone(), vec![OK]]);
    let other = MockBackend::start(vec![vec![OK], vec![OK]]);
    let fixture = Fixture::new(&[&one, &other]);
    // The other server is busy, so it is the second choice.
    let backends = fixture.gateway.routing.borrow().backends("plain").to_vec();
    let busy: Vec<_> = backends
        .iter()
        .filter(|b| b.server().address == other.address)
        .flat_map(|b| {
            [
                b.start_request(),
                b.start_request(),
                b.start_request(),
                b.start_request(),
            ]
        })
        .collect();
    let response = fixture.request(request).await;
    drop(busy);
    let sent = one.requests.borrow().len() + other.requests.borrow().len();
    (status_code(&response), sent)
}

#[test]
fn an_idempotent_request_is_retried_at_another_server() {
    runtime::run(async {
        for action in [
            vec![Action::Close],
            vec![BROKEN, Action::Close],
            vec![FAILED],
            vec![FULL],
        ] {
            let outcome = run_with_second_backend(SAFE, action.clone()).await;
            assert_eq!(outcome, (200, 2), "{action:?}");
        }
    });
}

#[test]
fn an_at_most_once_request_is_retried_only_if_it_was_not_run() {
    runtime::run(async {
        assert_eq!(run_with_second_backend(ONCE, vec![FULL]).await, (200, 2));
        assert_eq!(
            run_with_second_backend(ONCE, vec![MISDIRECTED]).await,
            (200, 2)
        );
        assert_eq!(
            run_with_second_backend(ONCE, vec![Action::Close]).await,
            (502, 1)
        );
    });
}

#[test]
fn a_response_to_another_request_is_skipped() {
    let mismatched =
        Action::Send("HTTP/1.1 200 OK\nx-request: 99\nx-signature: s\ncontent-length: 5\n\nstray");
    let (status, sent, response) = outcome(SAFE, vec![vec![mismatched, OK]]);
    assert_eq!((status, sent), (200, 1));
    assert!(response.ends_with("ok"));
}

#[test]
fn bytes_after_a_response_are_not_taken_for_the_next_one() {
    runtime::run(async {
        let extra = Action::Send(
            "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nokHTTP/1.1 200 OK\nx-signature: s\ncontent-length: 3\n\nbad",
        );
        let backend = MockBackend::start(vec![vec![extra], vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        for _ in 0..2 {
            assert!(fixture.request(SAFE).await.ends_with("\r\n\r\nok"));
        }
    });
}

#[test]
fn an_unframed_response_ends_when_the_connection_is_closed() {
    let unframed = Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\n\nall of it");
    let (status, _, response) = outcome(SAFE, vec![vec![unframed, Action::Close]]);
    assert_eq!(status, 200);
    assert!(response.ends_with("\r\n\r\nall of it"));
    assert_eq!(header(&response, "content-length").as_deref(), Some("9"));
}

#[test]
fn a_success_without_a_server_signature_is_not_accepted() {
    let unsigned = Action::Send("HTTP/1.1 200 OK\nx-request: ID\ncontent-length: 2\n\nno");
    let (status, _, _) = outcome(ONCE, vec![vec![unsigned]]);
    assert_eq!(status, 502);
    let encoded = Action::Send(
        "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-encoding: gzip\ncontent-length: 2\n\nno",
    );
    let (status, _, _) = outcome(ONCE, vec![vec![encoded]]);
    assert_eq!(status, 502);
}

#[test]
fn a_caller_disconnect_cancels_its_request() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![Action::Wait]]);
        let fixture = Fixture::new(&[&backend]);
        let mut caller = fixture.connect().await;
        send_text(&mut caller, SAFE).await;
        wait_until(|| backend.requests.borrow().len() == 1).await;
        drop(caller);
        wait_until(|| *backend.disconnects.borrow() == 1).await;
    });
}

#[test]
fn a_request_waits_for_the_owner_of_its_key() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let moving = Updates {
            index: 2,
            ranges: vec![owned_ranges(None)],
            ..Updates::default()
        };
        fixture.gateway.routing.borrow_mut().apply(moving);
        let mut caller = fixture.connect().await;
        send_text(&mut caller, KEYED).await;
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(backend.requests.borrow().is_empty());
        let owned = Updates {
            index: 3,
            ranges: vec![owned_ranges(Some("owner"))],
            ..Updates::default()
        };
        fixture.gateway.routing.borrow_mut().apply(owned);
        fixture.gateway.changed.wake();
        let response = read_message(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&response), 200);
    });
}

#[test]
fn a_request_is_rejected_if_its_key_gets_no_owner() {
    runtime::run(async {
        let backend = MockBackend::start(Vec::new());
        let fixture = Fixture::new(&[&backend]);
        let moving = Updates {
            index: 2,
            ranges: vec![owned_ranges(None)],
            ..Updates::default()
        };
        fixture.gateway.routing.borrow_mut().apply(moving);
        let response = fixture.request(KEYED).await;
        assert_eq!(status_code(&response), 503);
        assert!(header(&response, "retry-after").is_some());
    });
}

#[test]
fn requests_without_a_route_or_key_are_rejected() {
    runtime::run(async {
        let backend = MockBackend::start(Vec::new());
        let fixture = Fixture::new(&[&backend]);
        let not_found = fixture.request("GET /other HTTP/1.1\nhost: h\n\n").await;
        assert_eq!(status_code(&not_found), 404);
        let not_found = fixture.request("GET /safe/1 HTTP/1.1\nhost: g\n\n").await;
        assert_eq!(status_code(&not_found), 404);
        let keyless = fixture.request("GET /keyed/1 HTTP/1.1\nhost: h\n\n").await;
        assert_eq!(status_code(&keyless), 400);
    });
}

#[test]
fn requests_before_the_first_table_get_503() {
    runtime::run(async {
        let fixture = Fixture::new(&[]);
        fixture.gateway.routing.borrow_mut().table = None;
        assert_eq!(status_code(&fixture.request(SAFE).await), 503);
        assert!(!fixture.gateway.is_ready());
    });
}

#[test]
fn responses_queued_behind_an_aborted_request_are_still_sent() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK], vec![Action::Wait], vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        // Requests are read ahead only behind those of a route with short responses.
        assert_eq!(status_code(&fixture.request(SAFE).await), 200);
        let mut caller = fixture.connect().await;
        send_text(&mut caller, &format!("{SAFE}{SAFE}")).await;
        wait_until(|| backend.requests.borrow().len() == 3).await;
        wait_until(|| fixture.gateway.counters.answered.get() == 2).await;
        fixture.gateway.shut_down(Duration::ZERO);
        fixture.gateway.abort.stop();
        let mut text = String::new();
        let first = read_message(&mut caller, &mut text).await.unwrap();
        assert_eq!(status_code(&first), 504);
        let second = read_message(&mut caller, &mut text).await;
        assert_eq!(second.map(|s| status_code(&s)), Some(200));
    });
}

#[test]
fn retry_after_covers_the_failover_of_an_unreachable_owner() {
    runtime::run(async {
        let mut backend = MockBackend::start(Vec::new());
        let unused = TcpListener::bind("127.0.0.1:0").unwrap();
        backend.address = unused.local_addr().unwrap();
        drop(unused);
        let fixture = Fixture::new(&[&backend]);
        for _ in 0..2 {
            let response = fixture.request(KEYED).await;
            assert_eq!(status_code(&response), 503);
            let after = header(&response, "retry-after").unwrap();
            assert!(after.parse::<f64>().unwrap() > 2.0, "{after}");
        }
    });
}

#[test]
fn a_keyed_request_is_sent_again_after_its_latency_target() {
    // The target of the route is 500 ms; a server with capacity is asked all the same.
    let late = vec![Action::Pause(Duration::from_millis(700)), Action::Close];
    let (status, sent, _) = outcome(KEYED, vec![vec![OK], late.clone(), vec![OK]]);
    assert_eq!((status, sent), (200, 1));
    runtime::run(async move {
        let mut script = vec![late];
        script.extend((0..30).map(|_| vec![OK]));
        let backend = MockBackend::start(script);
        let fixture = Fixture::new(&[&backend]);
        let first = fixture.request(KEYED).await;
        assert_eq!(status_code(&first), 200, "{first}");
        assert_eq!(backend.requests.borrow().len(), 2);
    });
}
