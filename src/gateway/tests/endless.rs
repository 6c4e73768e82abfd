//! Bytes without end that are no message, from backend servers and from callers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};

use super::mock::{Action, Fixture, MockBackend, send_text, status_code, wait_until};
use crate::runtime;

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");

const HEAD: &str = "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\n";

/// Most that a server can have sent before its connection is closed: what the kernel buffers on
/// both sides, beyond the limits of this program.
const MAX_FLOODED_BYTES: usize = 8 << 20;

const ONCE: &str =
    "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\nx-deadline: 1500\ncontent-length: 3\n\nabc";

const SAFE: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 8\nx-deadline: 1500\n\n";

/// Bytes before the endless part, and the endless part.
fn endless_answers() -> Vec<(&'static str, &'static str)> {
    vec![
        ("", "no response at all, and never a line end"),
        ("HTTP/1.1 200 OK\n", "x-filler: 0123456789\n"),
        ("HTTP/1.1 200 OK\nx-filler: ", "0123456789"),
        ("", "HTTP/1.1 100 Continue\n\n"),
        ("CHUNKED", "0000000000000000"),
        ("CHUNKED1;x=", "yyyyyyyyyyyyyyyy"),
        ("CHUNKED2\nok\n0\n", "x-trailer: 0123456789\n"),
        ("CHUNKED2\nok\n0\nx-trailer: ", "0123456789"),
    ]
}

fn start(before: &'static str) -> Action {
    let chunked = before.strip_prefix("CHUNKED");
    let text = chunked.map(|rest| format!("{HEAD}transfer-encoding: chunked\n\n{rest}"));
    Action::Send(text.map_or(before, |text| Box::leak(text.into_boxed_str())))
}

#[test]
fn an_endless_answer_that_is_none_ends_with_status_502_and_its_connection() {
    for (before, endless) in endless_answers() {
        runtime::run(async move {
            let block = Box::leak(endless.repeat(200).into_boxed_str());
            let flood = Action::Flood(block, Duration::ZERO);
            let backend = MockBackend::start(vec![vec![start(before), flood], vec![OK]]);
            let fixture = Fixture::new(&[&backend]);
            let begun = Instant::now();
            let response = fixture.request(ONCE).await;
            let case = format!("{before:?} {endless:?}");
            assert_eq!(status_code(&response), 502, "{case}: {response}");
            assert!(begun.elapsed() < Duration::from_millis(1400), "{case}");
            let disconnects = Rc::clone(&backend.disconnects);
            wait_until(|| *disconnects.borrow() == 1).await;
            let flooded = *backend.flooded.borrow();
            assert!(flooded < MAX_FLOODED_BYTES, "{case}: {flooded}");
            let next = fixture.request(SAFE).await;
            assert_eq!(status_code(&next), 200, "{case}: {next}");
        });
    }
}

#[test]
fn an_answer_that_never_ends_at_a_byte_a_moment_ends_with_the_deadline() {
    for (before, endless) in endless_answers() {
        runtime::run(async move {
            let flood = Action::Flood(&endless[..1], Duration::from_millis(200));
            let backend = MockBackend::start(vec![vec![start(before), flood], vec![OK]]);
            let fixture = Fixture::new(&[&backend]);
            let begun = Instant::now();
            let response = fixture
                .request(&ONCE.replace("x-deadline: 1500", "x-deadline: 500"))
                .await;
            let case = format!("{before:?} {endless:?}: {response}");
            assert!([502, 504].contains(&status_code(&response)), "{case}");
            assert!(begun.elapsed() < Duration::from_millis(1500), "{case}");
            let disconnects = Rc::clone(&backend.disconnects);
            wait_until(|| *disconnects.borrow() == 1).await;
        });
    }
}

#[test]
fn bytes_without_end_after_a_whole_answer_reach_nobody() {
    let answers = [
        "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok",
        "HTTP/1.1 204 No\nx-request: ID\nx-signature: s\n\n",
        "HTTP/1.1 304 No\nx-request: ID\nx-signature: s\n\n",
        "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ntransfer-encoding: chunked\n\n2\nok\n0\n\n",
    ];
    for answer in answers {
        runtime::run(async move {
            let flood = Action::Flood("HTTP/1.1 200 OK\ncontent-length: 4\n\nfake", Duration::ZERO);
            let backend = MockBackend::start(vec![vec![Action::Send(answer), flood], vec![OK]]);
            let fixture = Fixture::new(&[&backend]);
            let response = fixture.request(ONCE).await;
            assert!(
                [200, 204, 304].contains(&status_code(&response)),
                "{response}"
            );
            assert!(!response.contains("fake"), "{response}");
            let next = fixture.request(SAFE).await;
            assert!(next.ends_with("ok"), "{answer:?}: {next}");
            let disconnects = Rc::clone(&backend.disconnects);
            wait_until(|| *disconnects.borrow() == 1).await;
        });
    }
}

#[test]
fn a_caller_that_never_ends_its_request_is_cut_off() {
    let requests = [
        ("", "\r\n"),
        (
            "GET /safe/1 HTTP/1.1\r\nhost: h\r\n",
            "x-filler: 0123456789\r\n",
        ),
        (
            "GET /safe/1 HTTP/1.1\r\nhost: h\r\nx-filler: ",
            "0123456789",
        ),
        (
            "POST /once/1 HTTP/1.1\r\nhost: h\r\nx-request: 1\r\ntransfer-encoding: chunked\r\n\r\n1;x=",
            "yyyyyyyyyy",
        ),
        (
            "POST /once/1 HTTP/1.1\r\nhost: h\r\nx-request: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "x-trailer: 0123456789\r\n",
        ),
    ];
    for (before, endless) in requests {
        runtime::run(async move {
            let backend = MockBackend::start(vec![vec![Action::Wait]]);
            let fixture = Fixture::new(&[&backend]);
            let mut caller = fixture.connect().await;
            send_text(&mut caller, &before.replace("\r\n", "\n")).await;
            let block = endless.repeat(1000).into_bytes();
            let begun = Instant::now();
            while caller.write_all(block.clone()).await.0.is_ok() {
                let case = format!("{before:?} {endless:?} was read on");
                assert!(begun.elapsed() < Duration::from_secs(6), "{case}");
                // What the other end sends is read, so that only its decision ends the connection.
                let reading = caller.read(vec![0_u8; 4096]);
                drop(monoio::time::timeout(Duration::from_millis(1), reading).await);
            }
        });
    }
}
