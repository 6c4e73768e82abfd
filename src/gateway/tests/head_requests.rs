//! Responses to `HEAD` that the gateway writes itself: they have no body, so that the caller finds the
//! next response behind their heads.

use std::time::Duration;

use futures_util::future;
use monoio::io::AsyncReadRent;

use super::mock::{self, Action, Fixture, MockBackend, owned_ranges, send_text, wait_until};
use crate::fleet::updates::Updates;
use crate::runtime;
use crate::table::{Limits, Patch};

/// Sends a text on a new connection and returns all that is received until its end.
async fn receive(fixture: &Fixture, text: &str) -> String {
    let mut stream = fixture.connect().await;
    send_text(&mut stream, text).await;
    let mut received = String::new();
    loop {
        let reading = stream.read(vec![0_u8; 64 << 10]);
        let (read, bytes) = monoio::time::timeout(Duration::from_secs(10), reading)
            .await
            .expect("no end in time");
        match read {
            Ok(length) if length > 0 => received += &String::from_utf8_lossy(&bytes[..length]),
            _ => return received,
        }
    }
}

/// Response to a request, and all that follows on its connection.
#[derive(Debug)]
struct Received {
    status: u16,
    content_length: usize,
    rest: String,
}

async fn request(fixture: &Fixture, text: &str) -> Received {
    let received = receive(fixture, text).await;
    let (head, rest) = received.split_once("\r\n\r\n").expect("a head");
    Received {
        status: mock::status_code(head),
        content_length: mock::header(head, "content-length").map_or(0, |l| l.parse().unwrap()),
        rest: rest.to_owned(),
    }
}

/// A request that ends its connection, and is answered with status 404.
const LAST: &str = "GET /nowhere/ HTTP/1.1\nhost: h\nconnection: close\n\n";

/// The response to a request of a method at a server that follows `script`; no key has an owner.
async fn outcome(method: &str, text: &str, script: Vec<Action>) -> Received {
    let backend = MockBackend::start(vec![script]);
    let fixture = Fixture::new(&[&backend]);
    let updates = Updates {
        index: 2,
        ranges: vec![owned_ranges(None)],
        ..Updates::default()
    };
    fixture.gateway.routing.borrow_mut().apply(updates);
    request(&fixture, &format!("{method} {text}{LAST}")).await
}

/// Guards against responses that a caller can't read: the body of a response to `HEAD` came before the
/// next response.
#[test]
fn a_response_to_head_has_no_body_whatever_its_status() {
    runtime::run(async {
        let cases = [
            (404, "/nowhere/1 HTTP/1.1\nhost: h\n\n", vec![]),
            (400, "/keyed/1 HTTP/1.1\nhost: h\n\n", vec![]),
            (503, "/keyed/1 HTTP/1.1\nhost: h\nx-key: 5\n\n", vec![]),
            (502, "/once/1 HTTP/1.1\nhost: h\n\n", vec![Action::Close]),
            (
                504,
                "/once/1 HTTP/1.1\nhost: h\nx-deadline: 100\n\n",
                vec![Action::Wait],
            ),
        ];
        let next = "HTTP/1.1 404";
        for (status, text, script) in cases {
            let get = outcome("GET", text, script.clone()).await;
            assert_eq!(get.status, status, "{get:?}");
            assert!(get.content_length > 0, "{get:?}");
            assert!(get.rest[get.content_length..].starts_with(next), "{get:?}");
            let head = outcome("HEAD", text, script).await;
            assert_eq!(head.status, status, "{head:?}");
            assert_eq!(head.content_length, get.content_length, "{head:?}");
            assert!(head.rest.starts_with(next), "{head:?}");
        }
    });
}

/// Checks the response to a `HEAD` request that can't be read whole, and so ends its connection.
async fn check_last(fixture: &Fixture, status: u16, text: &str) {
    let head = request(fixture, text).await;
    assert_eq!(head.status, status, "{text}: {head:?}");
    assert!(head.content_length > 0, "{text}: {head:?}");
    assert_eq!(head.rest, "", "{text}");
}

/// Guards against bytes behind the last response of a connection.
#[test]
fn a_response_to_a_broken_head_request_has_no_body() {
    runtime::run(async {
        let backend = MockBackend::start(vec![]);
        let fixture = Fixture::new(&[&backend]);
        let limits = Limits {
            header_timeout: Duration::from_millis(200),
            ..Limits::default()
        };
        fixture.change_table(Patch {
            limits: Some(limits),
            ..Patch::default()
        });
        let start = "HEAD /safe/1 HTTP/1.1\nhost: h\n";
        let body = format!("{start}x-deadline: 100\n");
        let long_head = format!("{start}x: {}\n\n", "x".repeat(20 << 10));
        check_last(&fixture, 431, &long_head).await;
        for (status, text) in [
            (400, format!("{start}host: g\n\n")),
            (400, format!("\n{start}host: g\n\n")),
            (413, format!("{start}content-length: 99999999999\n\n")),
            (408, start.to_owned()),
            (408, format!("{body}content-length: 9\n\nabc")),
            (
                400,
                format!("{body}transfer-encoding: chunked\n\nno chunk\n"),
            ),
        ] {
            check_last(&fixture, status, &text).await;
        }
        assert!(backend.requests.borrow().is_empty());
    });
}

/// Guards against the same when a VM stops: requests under way, and those that come afterwards.
#[test]
fn a_response_to_head_at_a_vm_that_stops_has_no_body() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![Action::Wait]]);
        let fixture = Fixture::new(&[&backend]);
        let text = "HEAD /safe/1 HTTP/1.1\nhost: h\n\n";
        let abort = async {
            wait_until(|| !backend.requests.borrow().is_empty()).await;
            fixture.gateway.shut_down(Duration::ZERO);
            fixture.gateway.abort.stop();
        };
        future::join(check_last(&fixture, 504, text), abort).await;
        check_last(&fixture, 503, text).await;
    });
}
