//! Tests of the server with well-formed requests.

use std::io::{Read, Write};
use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time;

use super::{WAIT_TIMEOUT, assert_serves, exchange, read_to_end, read_until, start_echo_server};
use crate::runtime;
use crate::web::Limits;

const REQUEST_COUNT: usize = 20_000;

async fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes.to_vec()).await.0.unwrap();
}

#[test]
fn pipelined_requests_get_responses_in_order() {
    runtime::run(async {
        let (address, _) = start_echo_server(Limits::default());
        let requests = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n\
            \r\n\r\nPOST /two HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc\
            POST /three HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
            2\r\nde\r\n1\r\nf\r\n0\r\n\r\n\
            GET /four HTTP/1.1\r\nempty:\r\nhost: a\r\nconnection: x, Close\r\n\r\n";
        for size in [1, 7, requests.len()] {
            let pieces = requests.chunks(size).collect::<Vec<_>>();
            let response = exchange(address, &pieces).await;
            let found = [
                "GET /slow ",
                "POST /two abc",
                "POST /three def",
                "GET /four ",
            ]
            .map(|text| response.find(text).unwrap_or_else(|| panic!("{response}")));
            assert!(found.is_sorted(), "{response}");
        }
    });
}

#[test]
fn http_1_0_connection_closes_by_default() {
    runtime::run(async {
        let (address, _) = start_echo_server(Limits::default());
        let response = exchange(address, &[b"GET /old HTTP/1.0\r\n\r\n"]).await;
        assert!(response.ends_with("GET /old "), "{response}");
    });
}

#[test]
fn expect_100_continue_gets_an_interim_response() {
    runtime::run(async {
        let (address, _) = start_echo_server(Limits::default());
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
fn connections_over_the_limit_get_status_503() {
    runtime::run(async {
        let (address, stop) = start_echo_server(Limits {
            max_connections: 1,
            ..Limits::default()
        });
        let mut first = TcpStream::connect(address).await.unwrap();
        send(&mut first, b"GET /first HTTP/1.1\r\nhost: a\r\n\r\n").await;
        read_until(&mut first, "GET /first ").await;
        let response = exchange(address, &[b"GET /second HTTP/1.1\r\nhost: a\r\n\r\n"]).await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        drop(first);
        while stop.open_count() > 1 {
            time::sleep(Duration::from_millis(1)).await;
        }
        assert_serves(address).await;
    });
}

#[test]
fn handler_panic_ends_only_one_connection() {
    runtime::run(async {
        let (address, _) = start_echo_server(Limits::default());
        let response = exchange(address, &[b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n"]).await;
        assert!(response.starts_with("HTTP/1.1 500 "), "{response}");
        assert!(
            response.contains("agateyoke-verdict: may-have-run\r\n"),
            "{response}"
        );
        assert_serves(address).await;
    });
}

#[test]
fn stop_finishes_open_requests_and_closes_idle_connections() {
    runtime::run(async {
        let (address, stop) = start_echo_server(Limits::default());
        let mut idle = TcpStream::connect(address).await.unwrap();
        send(&mut idle, b"GET /idle HTTP/1.1\r\nhost: a\r\n\r\n").await;
        read_until(&mut idle, "GET /idle ").await;
        let mut busy = TcpStream::connect(address).await.unwrap();
        send(&mut busy, b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n").await;
        time::sleep(Duration::from_millis(20)).await;
        stop.stop();
        let response = read_to_end(&mut busy).await;
        assert!(response.contains("connection: close\r\n"), "{response}");
        assert!(response.ends_with("GET /slow "), "{response}");
        assert_eq!(read_to_end(&mut idle).await, "");
        assert!(stop.wait_closed(WAIT_TIMEOUT).await);
        assert!(TcpStream::connect(address).await.is_err());
    });
}

#[test]
fn request_on_an_idle_connection_right_after_stop_gets_a_response() {
    runtime::run(async {
        let (address, stop) = start_echo_server(Limits::default());
        let mut idle = TcpStream::connect(address).await.unwrap();
        send(&mut idle, b"GET /idle HTTP/1.1\r\nhost: a\r\n\r\n").await;
        read_until(&mut idle, "GET /idle ").await;
        stop.stop();
        time::sleep(Duration::from_millis(10)).await;
        send(&mut idle, b"GET /last HTTP/1.1\r\nhost: a\r\n\r\n").await;
        let response = read_to_end(&mut idle).await;
        assert!(response.contains("connection: close\r\n"), "{response}");
        assert!(response.ends_with("GET /last "), "{response}");
        assert!(stop.wait_closed(WAIT_TIMEOUT).await);
    });
}

#[test]
fn connections_in_the_accept_backlog_at_stop_get_a_response() {
    runtime::run(async {
        let (address, stop) = start_echo_server(Limits::default());
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
            let response = read_to_end(&mut stream).await;
            assert!(response.ends_with("GET /queued "), "{response:?}");
        }
        assert!(stop.wait_closed(WAIT_TIMEOUT).await);
        assert!(TcpStream::connect(address).await.is_err());
    });
}

/// Guards against a server that does nothing else while a connection sends requests without a pause.
#[test]
fn requests_without_a_pause_keep_no_other_connection_waiting() {
    let request = "GET /fine HTTP/1.1\r\nhost: a\r\n\r\n";
    runtime::run(async {
        let (address, _) = start_echo_server(Limits::default());
        let (begun, ended) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let flags = (Arc::clone(&begun), Arc::clone(&ended));
        thread::spawn(move || {
            let mut stream = net::TcpStream::connect(address).unwrap();
            let mut sending = stream.try_clone().unwrap();
            let last = "GET /fine HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
            // Fails if the test has ended.
            thread::spawn(move || {
                drop(sending.write_all((request.repeat(REQUEST_COUNT) + last).as_bytes()));
            });
            let mut buffer = vec![0; 64 << 10];
            while let Ok(1..) = stream.read(&mut buffer) {
                flags.0.store(true, Ordering::Relaxed);
            }
            flags.1.store(true, Ordering::Relaxed);
        });
        while !begun.load(Ordering::Relaxed) {
            time::sleep(Duration::from_millis(1)).await;
        }
        assert_serves(address).await;
        assert!(!ended.load(Ordering::Relaxed), "it waited for the other");
    });
}
