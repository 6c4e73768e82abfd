//! Caller connections: order of responses, bodies, limits and shutdown.

use std::time::{Duration, Instant};

use super::mock::{
    Action, Fixture, MockBackend, header, read_message, send_text, status_code, wait_until,
};
use crate::gateway::exchange::MAX_BUFFERED_BYTES;
use crate::gateway::held_response::MAX_HELD_BYTES;
use crate::runtime;

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");

#[test]
fn responses_are_sent_in_request_order() {
    runtime::run(async {
        let slow = Action::Send(
            "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ntransfer-encoding: chunked\n\n4\nslow\n0\n\n",
        );
        let backend = MockBackend::start(vec![vec![slow], vec![OK], vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let mut caller = fixture.connect().await;
        for id in 1..=3 {
            let request = format!("GET /safe/{id} HTTP/1.1\nhost: h\nx-request: {id}\n\n");
            send_text(&mut caller, &request).await;
        }
        let mut text = String::new();
        for id in ["1", "2", "3"] {
            let response = read_message(&mut caller, &mut text).await.unwrap();
            assert_eq!(header(&response, "x-request").as_deref(), Some(id));
        }
    });
}

#[test]
fn a_chunked_request_body_is_forwarded_whole() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let request = "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\ntransfer-encoding: chunked\n\n3\nabc\n2;x=y\nde\n0\nt: u\n\n";
        assert_eq!(status_code(&fixture.request(request).await), 200);
        let request = backend.requests.borrow()[0].clone();
        assert!(request.ends_with("\r\n\r\nabcde"), "{request}");
    });
}

#[test]
fn a_request_body_beyond_the_buffer_is_streamed() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let body = "x".repeat(MAX_BUFFERED_BYTES * 3);
        let mut caller = fixture.connect().await;
        let head = format!(
            "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\ncontent-length: {}\n\n",
            body.len()
        );
        send_text(&mut caller, &head).await;
        let (first, last) = body.split_at(MAX_BUFFERED_BYTES * 2);
        send_text(&mut caller, first).await;
        monoio::time::sleep(Duration::from_millis(20)).await;
        send_text(&mut caller, last).await;
        let response = read_message(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&response), 200);
        assert!(backend.requests.borrow()[0].ends_with(&body));
    });
}

#[test]
fn a_response_before_the_end_of_the_request_body_closes_the_connection() {
    runtime::run(async {
        let early =
            Action::Send("HTTP/1.1 413 No\nx-request: ID\nx-signature: s\ncontent-length: 0\n\n");
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut backend = MockBackend::start(Vec::new());
        backend.address = listener.local_addr().unwrap();
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let Action::Send(text) = early else { return };
            let bytes = text.replace("ID", "7").replace('\n', "\r\n").into_bytes();
            monoio::io::AsyncWriteRentExt::write_all(&mut stream, bytes)
                .await
                .0
                .unwrap();
            monoio::time::sleep(Duration::from_secs(5)).await;
        });
        let fixture = Fixture::new(&[&backend]);
        let mut caller = fixture.connect().await;
        let length = MAX_BUFFERED_BYTES * 4;
        let head =
            format!("POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\ncontent-length: {length}\n\n");
        send_text(&mut caller, &head).await;
        send_text(&mut caller, &"x".repeat(MAX_BUFFERED_BYTES * 2)).await;
        let response = read_message(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&response), 413);
        assert_eq!(header(&response, "connection").as_deref(), Some("close"));
    });
}

#[test]
fn a_response_body_beyond_the_buffer_is_streamed() {
    runtime::run(async {
        let body: &'static str = "y".repeat(MAX_BUFFERED_BYTES * 2).leak();
        let head = format!(
            "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: {}\n\n{body}",
            body.len()
        );
        let backend = MockBackend::start(vec![vec![Action::Send(head.leak())]]);
        let fixture = Fixture::new(&[&backend]);
        let response = fixture
            .request("GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n")
            .await;
        assert!(response.ends_with(body));
    });
}

#[test]
fn a_streamed_response_that_breaks_off_is_not_completed() {
    runtime::run(async {
        let half = "y".repeat(MAX_BUFFERED_BYTES * 2);
        let head = format!(
            "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: {}\n\n{half}",
            half.len() * 2
        );
        let backend = MockBackend::start(vec![vec![Action::Send(head.leak()), Action::Close]]);
        let fixture = Fixture::new(&[&backend]);
        let mut caller = fixture.connect().await;
        send_text(
            &mut caller,
            "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n",
        )
        .await;
        assert_eq!(read_message(&mut caller, &mut String::new()).await, None);
    });
}

/// Guards against requests that are passed on and get no response, as the one before them broke off and
/// ended the connection.
#[test]
fn nothing_is_read_ahead_behind_a_response_that_may_break_off() {
    runtime::run(async {
        let half = "y".repeat(MAX_BUFFERED_BYTES * 2);
        let long = |length: usize| {
            let head = "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s";
            let response = format!("{head}\ncontent-length: {length}\n\n{half}");
            Action::Send(response.leak())
        };
        let script = vec![
            vec![long(half.len())],
            vec![long(half.len() * 2), Action::Close],
            vec![OK],
            vec![OK],
        ];
        let backend = MockBackend::start(script);
        let fixture = Fixture::new(&[&backend]);
        let request = |id| format!("GET /safe/{id} HTTP/1.1\nhost: h\nx-request: {id}\n\n");
        assert_eq!(status_code(&fixture.request(&request(1)).await), 200);
        let mut caller = fixture.connect().await;
        let requests = [2, 3, 4].map(request).concat();
        send_text(&mut caller, &requests).await;
        assert_eq!(read_message(&mut caller, &mut String::new()).await, None);
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(
            backend.requests.borrow().len(),
            2,
            "those behind were not passed on"
        );
    });
}

/// Statuses and body lengths of the responses to three pipelined requests on a route with short responses;
/// the server follows `first` for the first of them.
fn pipelined_behind(first: Vec<Action>) -> Vec<(u16, usize)> {
    runtime::run(async move {
        let backend = MockBackend::start(vec![vec![OK], first, vec![OK], vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let request = |id| format!("GET /safe/{id} HTTP/1.1\nhost: h\nx-request: {id}\n\n");
        assert_eq!(status_code(&fixture.request(&request(1)).await), 200);
        let mut caller = fixture.connect().await;
        send_text(&mut caller, &[2, 3, 4].map(request).concat()).await;
        let mut text = String::new();
        let mut responses = Vec::new();
        while responses.len() < 3
            && let Some(response) = read_message(&mut caller, &mut text).await
        {
            let body = response.split_once("\r\n\r\n").unwrap().1;
            responses.push((status_code(&response), body.len()));
        }
        responses
    })
}

/// Guards against requests that a server ran and that get no response, as the first long response of a
/// route breaks off in front of them.
#[test]
fn requests_behind_a_long_response_that_breaks_off_are_answered() {
    let long = |length: usize, sent: usize| {
        let head = "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s";
        let response = format!("{head}\ncontent-length: {length}\n\n{}", "y".repeat(sent));
        Action::Send(response.leak())
    };
    let length = MAX_BUFFERED_BYTES * 4;
    let broken = pipelined_behind(vec![long(length, length / 2), Action::Close]);
    assert_eq!(broken.len(), 3, "{broken:?}");
    assert_eq!(broken[0].0, 502);
    assert_eq!(broken[1..], [(200, 2), (200, 2)]);
    let whole = pipelined_behind(vec![long(length, length)]);
    assert_eq!(whole, [(200, length), (200, 2), (200, 2)]);
    let beyond = MAX_HELD_BYTES * 2;
    let streamed = pipelined_behind(vec![long(beyond, beyond)]);
    assert_eq!(streamed, [(200, beyond), (200, 2), (200, 2)]);
}

/// Guards against pipelined requests that are processed one after the other.
#[test]
fn requests_behind_a_short_response_are_passed_on_at_once() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK], vec![Action::Wait], vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let request = |id| format!("GET /safe/{id} HTTP/1.1\nhost: h\nx-request: {id}\n\n");
        assert_eq!(status_code(&fixture.request(&request(1)).await), 200);
        let mut caller = fixture.connect().await;
        send_text(&mut caller, &[2, 3].map(request).concat()).await;
        wait_until(|| backend.requests.borrow().len() == 3).await;
    });
}

#[test]
fn a_malformed_request_is_rejected_after_earlier_responses() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let mut caller = fixture.connect().await;
        let text = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\nthis is none\n\n";
        send_text(&mut caller, text).await;
        let mut rest = String::new();
        let first = read_message(&mut caller, &mut rest).await.unwrap();
        let second = read_message(&mut caller, &mut rest).await.unwrap();
        assert_eq!((status_code(&first), status_code(&second)), (200, 400));
        assert_eq!(header(&second, "connection").as_deref(), Some("close"));
        assert_eq!(read_message(&mut caller, &mut rest).await, None);
    });
}

#[test]
fn request_smuggling_is_rejected() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let both = "POST /once/1 HTTP/1.1\nhost: h\ncontent-length: 5\ntransfer-encoding: chunked\n\n0\n\n";
        assert_eq!(status_code(&fixture.request(both).await), 400);
        let twice = "POST /once/1 HTTP/1.1\nhost: h\ncontent-length: 5\ncontent-length: 6\n\nabcde";
        assert_eq!(status_code(&fixture.request(twice).await), 400);
        assert!(backend.requests.borrow().is_empty());
    });
}

#[test]
fn shutdown_finishes_requests_and_then_rejects_new_ones() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK], vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let request = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n";
        let mut idle = fixture.connect().await;
        send_text(&mut idle, request).await;
        let mut text = String::new();
        read_message(&mut idle, &mut text).await.unwrap();
        fixture.gateway.shut_down(Duration::from_millis(200));
        assert!(!fixture.gateway.is_ready());
        send_text(&mut idle, request).await;
        let last = read_message(&mut idle, &mut text).await.unwrap();
        assert_eq!(status_code(&last), 200);
        assert_eq!(header(&last, "connection").as_deref(), Some("close"));
        assert_eq!(read_message(&mut idle, &mut text).await, None);
        monoio::time::sleep(Duration::from_millis(250)).await;
        assert_eq!(status_code(&fixture.request(request).await), 503);
    });
}

/// Longest time after the deadline for which a caller may be left without an end.
const MAX_OVERRUN: Duration = Duration::from_millis(500);

/// Guards against a long answer that stops on its way and is waited for without an end, with the
/// requests behind it.
#[test]
fn a_streamed_response_that_stops_or_drips_ends_at_the_deadline() {
    for rest in [Action::Wait, Action::Flood("y", Duration::from_millis(20))] {
        runtime::run(async move {
            let half = "y".repeat(MAX_BUFFERED_BYTES * 2);
            let head = format!(
                "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: {}\n\n{half}",
                half.len() * 2
            );
            let stopping = vec![Action::Send(head.leak()), rest];
            let backend = MockBackend::start(vec![stopping, vec![OK]]);
            let fixture = Fixture::new(&[&backend]);
            let mut caller = fixture.connect().await;
            let begun = Instant::now();
            let deadline = Duration::from_millis(400);
            for id in [7, 8] {
                let request =
                    format!("GET /safe/1 HTTP/1.1\nhost: h\nx-request: {id}\nx-deadline: 400\n\n");
                send_text(&mut caller, &request).await;
            }
            assert_eq!(read_message(&mut caller, &mut String::new()).await, None);
            assert!(begun.elapsed() < deadline + MAX_OVERRUN);
            wait_until(|| *backend.disconnects.borrow() == 1).await;
        });
    }
}

/// Guards against a caller that reads nothing of a long answer and holds the server.
#[test]
fn a_caller_that_reads_nothing_is_closed_at_the_deadline() {
    runtime::run(async {
        let block = Box::leak("y".repeat(64 << 10).into_boxed_str());
        let head = "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 900000000\n\n";
        let endless = vec![Action::Send(head), Action::Flood(block, Duration::ZERO)];
        let backend = MockBackend::start(vec![endless]);
        let fixture = Fixture::new(&[&backend]);
        let mut caller = fixture.connect().await;
        let begun = Instant::now();
        let request = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\nx-deadline: 400\n\n";
        send_text(&mut caller, request).await;
        wait_until(|| *backend.disconnects.borrow() == 1).await;
        assert!(begun.elapsed() < Duration::from_millis(400) + MAX_OVERRUN);
    });
}

/// Guards against a caller whose body stops and that gets no answer.
#[test]
fn a_request_body_that_stops_is_answered_at_the_deadline() {
    let whole = MAX_BUFFERED_BYTES * 2;
    for (sent, length, status) in [(3, 10, 408), (whole, whole * 2, 504)] {
        runtime::run(async move {
            let backend = MockBackend::start(vec![vec![OK]]);
            let fixture = Fixture::new(&[&backend]);
            let mut caller = fixture.connect().await;
            let begun = Instant::now();
            let head = format!(
                "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\nx-deadline: 400\ncontent-length: {length}\n\n"
            );
            send_text(&mut caller, &head).await;
            send_text(&mut caller, &"x".repeat(sent)).await;
            let mut text = String::new();
            let response = read_message(&mut caller, &mut text).await.unwrap();
            assert_eq!(status_code(&response), status, "{response}");
            assert_eq!(header(&response, "connection").as_deref(), Some("close"));
            assert!(begun.elapsed() < Duration::from_millis(400) + MAX_OVERRUN);
            assert_eq!(backend.requests.borrow().len(), 0);
        });
    }
}
