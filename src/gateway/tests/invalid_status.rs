//! Responses of backend servers whose status is none.

use std::rc::Rc;

use super::mock::{Action, Fixture, MockBackend, header, status_code, wait_until};
use crate::runtime;

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");

const ONCE: &str =
    "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\nx-deadline: 1500\ncontent-length: 3\n\nabc";

const SAFE: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 8\nx-deadline: 1500\n\n";

/// Status lines that name no status of HTTP.
const INVALID: [&str; 13] = [
    "HTTP/1.1 000 No",
    "HTTP/1.1 000",
    "HTTP/1.1 099 No",
    "HTTP/1.1 600 No",
    "HTTP/1.1 999 No",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 abc OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1",
];

fn answer(status_line: &str) -> Action {
    let text = format!("{status_line}\nx-request: ID\nx-signature: s\ncontent-length: 4\n\nnope");
    Action::Send(Box::leak(text.into_boxed_str()))
}

/// Guards against a response with status 000 that reaches the caller as an answer.
#[test]
fn an_invalid_status_ends_with_status_502_and_its_connection() {
    for status_line in INVALID {
        runtime::run(async move {
            let script = vec![vec![answer(status_line), Action::Wait], vec![OK]];
            let backend = MockBackend::start(script);
            let fixture = Fixture::new(&[&backend]);
            let response = fixture.request(ONCE).await;
            assert_eq!(status_code(&response), 502, "{status_line:?}: {response}");
            assert_eq!(header(&response, "x-signature"), None, "{status_line:?}");
            assert!(!response.contains("nope"), "{status_line:?}: {response}");
            let disconnects = Rc::clone(&backend.disconnects);
            wait_until(|| *disconnects.borrow() == 1).await;
            let next = fixture.request(SAFE).await;
            assert_eq!(status_code(&next), 200, "{status_line:?}: {next}");
        });
    }
}

/// Guards against an invalid status that is final for a request that may be repeated.
#[test]
fn an_idempotent_request_is_retried_after_an_invalid_status() {
    for status_line in INVALID {
        runtime::run(async move {
            let first = MockBackend::start(vec![vec![answer(status_line)], vec![OK]]);
            let second = MockBackend::start(vec![vec![OK], vec![OK]]);
            let fixture = Fixture::new(&[&first, &second]);
            let response = fixture.request(SAFE).await;
            assert_eq!(status_code(&response), 200, "{status_line:?}: {response}");
            assert!(response.ends_with("ok"), "{status_line:?}: {response}");
        });
    }
}

/// Guards against valid status lines that are refused together with the invalid ones.
#[test]
fn a_valid_status_is_forwarded_with_or_without_a_reason() {
    let valid = [
        ("HTTP/1.1 200", 200),
        ("HTTP/1.1 200 ", 200),
        ("HTTP/1.1 299 Other", 299),
        ("HTTP/1.1 404 No", 404),
        ("HTTP/1.1 599 No", 599),
    ];
    for (status_line, expected) in valid {
        runtime::run(async move {
            let backend = MockBackend::start(vec![vec![answer(status_line)]]);
            let fixture = Fixture::new(&[&backend]);
            let response = fixture.request(ONCE).await;
            assert_eq!(status_code(&response), expected, "{status_line:?}");
            assert!(response.ends_with("nope"), "{status_line:?}: {response}");
        });
    }
}
