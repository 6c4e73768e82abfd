//! Connections of callers: order, bodies, limits, and the end.

use std::time::Duration;

use super::mock::{Action, Fixture, MockBackend, header, read_message, send_text, status_code};
use crate::gateway::exchange::MAX_BUFFERED_BYTES;
use crate::runtime;

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");

#[test]
fn answers_come_in_the_order_of_their_requests() {
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
            let answer = read_message(&mut caller, &mut text).await.unwrap();
            assert_eq!(header(&answer, "x-request").as_deref(), Some(id));
        }
    });
}

#[test]
fn a_chunked_body_passes_on_whole() {
    runtime::run(async {
        let backend = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&backend]);
        let request = "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\ntransfer-encoding: chunked\n\n3\nabc\n2;x=y\nde\n0\nt: u\n\n";
        assert_eq!(status_code(&fixture.request(request).await), 200);
        let requests = backend.requests.borrow()[0].clone();
        assert!(requests.ends_with("\r\n\r\nabcde"), "{requests}");
    });
}

#[test]
fn a_body_beyond_what_is_held_passes_while_it_arrives() {
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
        let answer = read_message(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&answer), 200);
        assert!(backend.requests.borrow()[0].ends_with(&body));
    });
}

#[test]
fn an_answer_before_the_end_of_a_long_body_ends_the_connection() {
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
        let answer = read_message(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status_code(&answer), 413);
        assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    });
}

#[test]
fn an_answer_beyond_what_is_held_passes_while_it_arrives() {
    runtime::run(async {
        let body: &'static str = "y".repeat(MAX_BUFFERED_BYTES * 2).leak();
        let head = format!(
            "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: {}\n\n{body}",
            body.len()
        );
        let backend = MockBackend::start(vec![vec![Action::Send(head.leak())]]);
        let fixture = Fixture::new(&[&backend]);
        let answer = fixture
            .request("GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n")
            .await;
        assert!(answer.ends_with(body));
    });
}

#[test]
fn a_long_answer_that_breaks_off_does_not_look_whole() {
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

#[test]
fn what_is_no_request_is_told_so_after_the_answers_before_it() {
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
fn a_smuggled_request_is_refused() {
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
fn a_vm_that_stops_ends_requests_and_then_refuses_them() {
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
