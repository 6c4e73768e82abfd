//! Invalid requests: each gets an error response, and the next connection works.

use std::time::Duration;

use super::{assert_serves, exchange, start_echo_server};
use crate::runtime;
use crate::web::Limits;

fn limits() -> Limits {
    Limits {
        head_bytes: 1024,
        body_bytes: 4096,
        ..Limits::default()
    }
}

fn assert_rejected(limits: Limits, status: &str, pieces: &[&[u8]]) {
    let (pieces, status) = (pieces.to_vec(), status.to_owned());
    runtime::run(async move {
        let (address, _) = start_echo_server(limits);
        let response = exchange(address, &pieces).await;
        let expected = format!("HTTP/1.1 {status} ");
        assert!(response.starts_with(&expected), "{response:?}");
        assert!(response.contains("connection: close\r\n"), "{response:?}");
        assert!(
            response.contains("agateyoke-verdict: not-run\r\n"),
            "{response:?}"
        );
        assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response:?}");
        assert_serves(address).await;
    });
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    format!("POST /p HTTP/1.1\r\nhost: a\r\n{headers}\r\n{body}").into_bytes()
}

#[test]
fn large_head_is_rejected() {
    let header = format!("x: {}\r\n", "y".repeat(2000));
    assert_rejected(limits(), "431", &[&post(&header, "")]);
    assert_rejected(limits(), "431", &[b"GET /", &[b'a'; 5000]]);
    let name = format!("{}: y\r\n", "x".repeat(70_000));
    let wide = Limits {
        head_bytes: 1 << 20,
        ..limits()
    };
    assert_rejected(wide, "431", &[&post(&name, "")]);
}

/// Guards against bytes behind the head of a response to `HEAD`, which has no body, also if the method
/// arrives in pieces.
#[test]
fn a_rejection_of_head_has_no_body() {
    let head = |headers: &str| format!("HEAD /p HTTP/1.1\r\nhost: a\r\n{headers}\r\n").into_bytes();
    let large = head(&format!("x: {}\r\n", "y".repeat(2000)));
    for (status, request) in [
        ("431", large),
        ("400", head("host: b\r\n")),
        ("413", head("content-length: 4097\r\n")),
        (
            "400",
            head("transfer-encoding: chunked\r\n\r\nno chunk\r\n"),
        ),
        ("408", b"HEAD /p".to_vec()),
    ] {
        let mut limits = limits();
        if status == "408" {
            limits.head_timeout = Duration::from_millis(50);
        }
        for first in [0, 1, 4] {
            runtime::run(async {
                let (address, _) = start_echo_server(limits.clone());
                let (start, rest) = request.split_at(first);
                let response = exchange(address, &[start, rest]).await;
                assert!(
                    response.starts_with(&format!("HTTP/1.1 {status} ")),
                    "{response:?}"
                );
                assert!(response.ends_with("\r\n\r\n"), "{first} {response:?}");
            });
        }
    }
}

#[test]
fn large_body_is_rejected() {
    assert_rejected(limits(), "413", &[&post("content-length: 4097\r\n", "")]);
    let chunked = "transfer-encoding: chunked\r\n";
    let one = format!("1800\r\n{}\r\n0\r\n\r\n", "z".repeat(0x1800));
    assert_rejected(limits(), "413", &[&post(chunked, &one)]);
    let many = "800\r\n".to_owned() + &"z".repeat(0x800) + "\r\n";
    assert_rejected(limits(), "413", &[&post(chunked, &many.repeat(3))]);
    let endless = format!("fffffff\r\n{}", "z".repeat(80_000));
    assert_rejected(limits(), "413", &[&post(chunked, &endless)]);
}

#[test]
fn ambiguous_body_lengths_are_rejected() {
    for headers in [
        "content-length: 1\r\ncontent-length: 2\r\n",
        "content-length: 1\r\ncontent-length: 1\r\n",
        "content-length: 1, 1\r\n",
        "content-length: +1\r\n",
        "content-length: -1\r\n",
        "content-length: 99999999999999999999999\r\n",
        "content-length: 1\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: identity\r\n",
        "host: b\r\n",
    ] {
        assert_rejected(limits(), "400", &[&post(headers, "0\r\n\r\n")]);
    }
    let old = b"POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_rejected(limits(), "400", &[old]);
}

#[test]
fn malformed_heads_are_rejected() {
    for bytes in [
        &b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"[..],
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost : a\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: a\r\n folded\r\n\r\n",
        b"GET / HTTP/3.0\r\n\r\n",
        b"GET /\x01 HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\nhost: a\n\nGET /lost HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: a\rx: y\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ] {
        assert_rejected(limits(), "400", &[bytes]);
    }
}

#[test]
fn malformed_chunks_are_rejected() {
    let chunked = "transfer-encoding: chunked\r\n";
    for body in [
        "\r\n\r\n",
        "5\r\nhelloX\r\n0\r\n\r\n",
        "g\r\n",
        "-1\r\nx\r\n",
        "ffffffffffffffff\r\nx",
        "fffffffffffffffff\r\nx",
        "00000000000000000000000000005\r\nhello\r\n0\r\n\r\n",
        "5;name=value\r\nhello\r\n0\r\n\r\n",
        "0\r\ntrailer: x\r\n\r\n",
    ] {
        assert_rejected(limits(), "400", &[&post(chunked, body)]);
    }
}

#[test]
fn incomplete_requests_time_out() {
    let short = Limits {
        first_byte_timeout: Duration::from_millis(30),
        head_timeout: Duration::from_millis(30),
        body_timeout: Duration::from_millis(30),
        ..limits()
    };
    assert_rejected(short.clone(), "408", &[]);
    assert_rejected(short.clone(), "408", &[b"GET / HT"]);
    assert_rejected(short.clone(), "408", &[b"\r\n"]);
    assert_rejected(
        short.clone(),
        "408",
        &[&post("content-length: 5\r\n", "hel")],
    );
    let chunked = post("transfer-encoding: chunked\r\n", "5\r\nhel");
    assert_rejected(short.clone(), "408", &[&chunked]);
    let slow = [&b"GET / HTTP/1.1\r\n"[..]]
        .into_iter()
        .chain([&b"x: y\r\n"[..]; 60])
        .collect::<Vec<_>>();
    assert_rejected(short, "408", &slow);
}
