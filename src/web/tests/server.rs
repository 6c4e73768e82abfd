//! What a server owes to callers that behave.

use std::time::Duration;

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time;

use super::{LONG, assert_serves, echo, read_to_end, read_until, talk};
use crate::runtime;
use crate::web::Limits;

async fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes.to_vec()).await.0.unwrap();
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    runtime::run(async {
        let (address, _) = echo(Limits::default());
        let requests = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n\
            \r\n\r\nPOST /two HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc\
            POST /three HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
            2\r\nde\r\n1\r\nf\r\n0\r\n\r\n\
            GET /four HTTP/1.1\r\nempty:\r\nhost: a\r\nconnection: x, Close\r\n\r\n";
        for size in [1, 7, requests.len()] {
            let pieces = requests.chunks(size).collect::<Vec<_>>();
            let answer = talk(address, &pieces).await;
            let found = [
                "GET /slow ",
                "POST /two abc",
                "POST /three def",
                "GET /four ",
            ]
            .map(|text| answer.find(text).unwrap_or_else(|| panic!("{answer}")));
            assert!(found.is_sorted(), "{answer}");
        }
    });
}

#[test]
fn old_version_closes_unless_asked_not_to() {
    runtime::run(async {
        let (address, _) = echo(Limits::default());
        let answer = talk(address, &[b"GET /old HTTP/1.0\r\n\r\n"]).await;
        assert!(answer.ends_with("GET /old "), "{answer}");
    });
}

#[test]
fn caller_that_waits_to_send_its_body_is_told_to_go_on() {
    runtime::run(async {
        let (address, _) = echo(Limits::default());
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head =
            b"POST /p HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
        send(&mut stream, head).await;
        let interim = read_until(&mut stream, "\r\n\r\n").await;
        assert_eq!(interim, "HTTP/1.1 100 Continue\r\n\r\n");
        send(&mut stream, b"hi").await;
        read_until(&mut stream, "POST /p hi").await;
    });
}

#[test]
fn connections_over_the_limit_are_told_so() {
    runtime::run(async {
        let (address, stop) = echo(Limits {
            max_connections: 1,
            ..Limits::default()
        });
        let mut first = TcpStream::connect(address).await.unwrap();
        send(&mut first, b"GET /first HTTP/1.1\r\nhost: a\r\n\r\n").await;
        read_until(&mut first, "GET /first ").await;
        let answer = talk(address, &[b"GET /second HTTP/1.1\r\nhost: a\r\n\r\n"]).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        drop(first);
        while stop.open_count() > 1 {
            time::sleep(Duration::from_millis(1)).await;
        }
        assert_serves(address).await;
    });
}

#[test]
fn panic_of_a_handler_ends_one_connection_only() {
    runtime::run(async {
        let (address, _) = echo(Limits::default());
        let answer = talk(address, &[b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n"]).await;
        assert!(answer.starts_with("HTTP/1.1 500 "), "{answer}");
        assert!(
            answer.contains("agateyoke-verdict: may-have-run\r\n"),
            "{answer}"
        );
        assert_serves(address).await;
    });
}

#[test]
fn stop_finishes_what_is_in_flight() {
    runtime::run(async {
        let (address, stop) = echo(Limits::default());
        let mut idle = TcpStream::connect(address).await.unwrap();
        send(&mut idle, b"GET /idle HTTP/1.1\r\nhost: a\r\n\r\n").await;
        read_until(&mut idle, "GET /idle ").await;
        let mut busy = TcpStream::connect(address).await.unwrap();
        send(&mut busy, b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n").await;
        time::sleep(Duration::from_millis(20)).await;
        stop.stop();
        let answer = read_to_end(&mut busy).await;
        assert!(answer.contains("connection: close\r\n"), "{answer}");
        assert!(answer.ends_with("GET /slow "), "{answer}");
        assert_eq!(read_to_end(&mut idle).await, "");
        assert!(stop.wait_closed(LONG).await);
        assert!(TcpStream::connect(address).await.is_err());
    });
}

#[test]
fn request_that_reaches_an_idle_connection_after_the_stop_is_answered() {
    runtime::run(async {
        let (address, stop) = echo(Limits::default());
        let mut idle = TcpStream::connect(address).await.unwrap();
        send(&mut idle, b"GET /idle HTTP/1.1\r\nhost: a\r\n\r\n").await;
        read_until(&mut idle, "GET /idle ").await;
        stop.stop();
        time::sleep(Duration::from_millis(10)).await;
        send(&mut idle, b"GET /last HTTP/1.1\r\nhost: a\r\n\r\n").await;
        let answer = read_to_end(&mut idle).await;
        assert!(answer.contains("connection: close\r\n"), "{answer}");
        assert!(answer.ends_with("GET /last "), "{answer}");
        assert!(stop.wait_closed(LONG).await);
    });
}

#[test]
fn connections_that_wait_to_be_accepted_at_the_stop_are_answered() {
    runtime::run(async {
        let (address, stop) = echo(Limits::default());
        assert_serves(address).await;
        let connect = |_| {
            let mut stream = std::net::TcpStream::connect(address).unwrap();
            let request = b"GET /queued HTTP/1.1\r\nhost: a\r\n\r\n";
            std::io::Write::write_all(&mut stream, request).unwrap();
            TcpStream::from_std(stream).unwrap()
        };
        let queued: Vec<_> = (0..8).map(connect).collect();
        stop.stop();
        for mut stream in queued {
            let answer = read_to_end(&mut stream).await;
            assert!(answer.ends_with("GET /queued "), "{answer:?}");
        }
        assert!(stop.wait_closed(LONG).await);
        assert!(TcpStream::connect(address).await.is_err());
    });
}
