//! What becomes of one request when its backend server misbehaves.

use std::time::Duration;

use monoio::net::TcpListener;

use super::mock::{
    Action, Fixture, MockBackend, header, owned_ranges, read_message, send_text, status_code,
    wait_until,
};
use crate::fleet::news::News;
use crate::runtime;

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");
const FULL: Action =
    Action::Send("HTTP/1.1 503 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");
const ELSEWHERE: Action =
    Action::Send("HTTP/1.1 421 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");
const FAILED: Action =
    Action::Send("HTTP/1.1 500 No\nx-request: ID\nx-signature: s\ncontent-length: 3\n\nbad");
const BROKEN: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 9\n\nhalf");

const SAFE: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n";
const ONCE: &str = "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\ncontent-length: 3\n\nabc";
const KEYED: &str = "GET /keyed/1 HTTP/1.1\nhost: h\nx-request: 7\nx-key: 5\n\n";

/// Status of the answer if the only backend server does these things in turn, how often the
/// request was sent, and the answer.
fn outcome(request: &'static str, script: Vec<Vec<Action>>) -> (u16, usize, String) {
    runtime::run(async move {
        let backend = MockBackend::start(script);
        let fixture = Fixture::new(&[&backend]);
        let answer = fixture.request(request).await;
        let sent = backend.requests.borrow().len();
        (status_code(&answer), sent, answer)
    })
}

#[test]
fn an_answer_passes_whole_and_unchanged() {
    let (status, sent, answer) = outcome(SAFE, vec![vec![OK]]);
    assert_eq!((status, sent), (200, 1));
    assert_eq!(header(&answer, "x-signature").as_deref(), Some("s"));
    assert!(answer.ends_with("\r\n\r\nok"));
}

#[test]
fn what_a_server_is_told_is_what_is_left() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let request = "GET /safe/1?q=1 HTTP/1.1\nhost: h:80\nx-request: 7\nx-deadline: 900\n\n";
        fixture.request(request).await;
        let requests = backend.requests.borrow()[0].clone();
        assert!(requests.starts_with("GET /safe/1?q=1 HTTP/1.1\r\n"));
        assert_eq!(header(&requests, "x-expected").as_deref(), Some("plain-0"));
        let left: u64 = header(&requests, "x-deadline").unwrap().parse().unwrap();
        assert!(left <= 900);
    });
}

#[test]
fn a_request_that_must_run_once_is_never_sent_after_it_may_have_run() {
    for action in [Action::Close, BROKEN, Action::Send("what is this\n\n")] {
        let (status, sent, _) = outcome(ONCE, vec![vec![action.clone(), Action::Close], vec![OK]]);
        assert_eq!((status, sent), (502, 1), "{action:?}");
    }
}

#[test]
fn a_failure_of_a_server_passes_unchanged_to_who_must_run_once() {
    let (status, sent, answer) = outcome(ONCE, vec![vec![FAILED], vec![OK]]);
    assert_eq!((status, sent), (500, 1));
    assert_eq!(header(&answer, "x-signature").as_deref(), Some("s"));
}

#[test]
fn a_refusal_that_proves_that_nothing_ran_is_told_as_one() {
    let (status, _, answer) = outcome(ONCE, vec![vec![FULL]]);
    assert_eq!(status, 503);
    assert!(header(&answer, "retry-after").is_some());
    assert_eq!(header(&answer, "x-signature"), None);
    assert_eq!(header(&answer, "x-request").as_deref(), Some("7"));
}

/// Two backend servers: the first request to either does `first`, later ones succeed.
async fn second_try(request: &str, first: Vec<Action>) -> (u16, usize) {
    let one = MockBackend::start(vec![first.clone(), vec![OK]]);
    let other = MockBackend::start(vec![vec![OK], vec![OK]]);
    let fixture = Fixture::new(&[&one, &other]);
    // Busy for one request, the other server is second choice.
    let routing = fixture.gateway.routing.borrow().backends("plain").to_vec();
    let busy: Vec<_> = routing
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
    let answer = fixture.request(request).await;
    drop(busy);
    let sent = one.requests.borrow().len() + other.requests.borrow().len();
    (status_code(&answer), sent)
}

#[test]
fn an_idempotent_request_goes_to_another_server() {
    runtime::run(async {
        for action in [
            vec![Action::Close],
            vec![BROKEN, Action::Close],
            vec![FAILED],
            vec![FULL],
        ] {
            let outcome = second_try(SAFE, action.clone()).await;
            assert_eq!(outcome, (200, 2), "{action:?}");
        }
    });
}

#[test]
fn a_request_that_must_run_once_goes_on_after_proof_only() {
    runtime::run(async {
        assert_eq!(second_try(ONCE, vec![FULL]).await, (200, 2));
        assert_eq!(second_try(ONCE, vec![ELSEWHERE]).await, (200, 2));
        assert_eq!(second_try(ONCE, vec![Action::Close]).await, (502, 1));
    });
}

#[test]
fn an_answer_to_another_request_is_passed_over() {
    let stray =
        Action::Send("HTTP/1.1 200 OK\nx-request: 99\nx-signature: s\ncontent-length: 5\n\nstray");
    let (status, sent, answer) = outcome(SAFE, vec![vec![stray, OK]]);
    assert_eq!((status, sent), (200, 1));
    assert!(answer.ends_with("ok"));
}

#[test]
fn bytes_after_an_answer_belong_to_no_request() {
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
fn an_answer_that_ends_with_its_connection_is_whole_only_if_that_was_closed() {
    let unframed = Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\n\nall of it");
    let (status, _, answer) = outcome(SAFE, vec![vec![unframed, Action::Close]]);
    assert_eq!(status, 200);
    assert!(answer.ends_with("\r\n\r\nall of it"));
    assert_eq!(header(&answer, "content-length").as_deref(), Some("9"));
}

#[test]
fn a_success_without_a_mark_of_the_server_is_none() {
    let unsigned = Action::Send("HTTP/1.1 200 OK\nx-request: ID\ncontent-length: 2\n\nno");
    let (status, _, _) = outcome(ONCE, vec![vec![unsigned]]);
    assert_eq!(status, 502);
    let coded = Action::Send(
        "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-encoding: gzip\ncontent-length: 2\n\nno",
    );
    let (status, _, _) = outcome(ONCE, vec![vec![coded]]);
    assert_eq!(status, 502);
}

#[test]
fn when_the_caller_leaves_its_work_ends() {
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
fn a_key_without_a_holder_waits_for_one() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let moving = News {
            index: 2,
            holders: vec![owned_ranges(None)],
            ..News::default()
        };
        fixture.gateway.routing.borrow_mut().apply(moving);
        let mut caller = fixture.connect().await;
        send_text(&mut caller, KEYED).await;
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(backend.requests.borrow().is_empty());
        let held = News {
            index: 3,
            holders: vec![owned_ranges(Some("owner"))],
            ..News::default()
        };
        fixture.gateway.routing.borrow_mut().apply(held);
        fixture.gateway.changed.wake();
        let answer = read_message(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&answer), 200);
    });
}

#[test]
fn a_key_that_stays_without_a_holder_is_refused_as_not_run() {
    runtime::run(async {
        let backend = MockBackend::start(Vec::new());
        let fixture = Fixture::new(&[&backend]);
        let moving = News {
            index: 2,
            holders: vec![owned_ranges(None)],
            ..News::default()
        };
        fixture.gateway.routing.borrow_mut().apply(moving);
        let answer = fixture.request(KEYED).await;
        assert_eq!(status_code(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
    });
}

#[test]
fn a_request_without_route_or_key_is_told_so() {
    runtime::run(async {
        let backend = MockBackend::start(Vec::new());
        let fixture = Fixture::new(&[&backend]);
        let lost = fixture.request("GET /other HTTP/1.1\nhost: h\n\n").await;
        assert_eq!(status_code(&lost), 404);
        let lost = fixture.request("GET /safe/1 HTTP/1.1\nhost: g\n\n").await;
        assert_eq!(status_code(&lost), 404);
        let keyless = fixture.request("GET /keyed/1 HTTP/1.1\nhost: h\n\n").await;
        assert_eq!(status_code(&keyless), 400);
    });
}

#[test]
fn before_the_first_table_nothing_is_missing() {
    runtime::run(async {
        let fixture = Fixture::new(&[]);
        fixture.gateway.routing.borrow_mut().table = None;
        assert_eq!(status_code(&fixture.request(SAFE).await), 503);
        assert!(!fixture.gateway.is_ready());
    });
}

#[test]
fn when_the_time_to_stop_is_over_answers_behind_a_slow_one_still_arrive() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![Action::Wait], vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let mut caller = fixture.connect().await;
        send_text(&mut caller, &format!("{SAFE}{SAFE}")).await;
        wait_until(|| backend.requests.borrow().len() == 2).await;
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
fn while_a_holder_is_dark_callers_are_told_when_its_keys_may_have_another() {
    runtime::run(async {
        let mut backend = MockBackend::start(Vec::new());
        let unused = TcpListener::bind("127.0.0.1:0").unwrap();
        backend.address = unused.local_addr().unwrap();
        drop(unused);
        let fixture = Fixture::new(&[&backend]);
        for _ in 0..2 {
            let answer = fixture.request(KEYED).await;
            assert_eq!(status_code(&answer), 503);
            let after = header(&answer, "retry-after").unwrap();
            assert!(after.parse::<f64>().unwrap() > 2.0, "{after}");
        }
    });
}
