//! Requests that are refused, each by a clear answer, and the next connection works.

use std::time::Duration;

use super::{assert_serves, echo, talk};
use crate::runtime;
use crate::web::Limits;

fn limits() -> Limits {
    Limits {
        head_bytes: 1024,
        body_bytes: 4096,
        ..Limits::default()
    }
}

fn refuses(limits: Limits, status: &str, pieces: &[&[u8]]) {
    let (pieces, status) = (pieces.to_vec(), status.to_owned());
    runtime::run(async move {
        let (address, _) = echo(limits);
        let answer = talk(address, &pieces).await;
        let expected = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&expected), "{answer:?}");
        assert!(answer.contains("connection: close\r\n"), "{answer:?}");
        assert!(
            answer.contains("agateyoke-verdict: not-run\r\n"),
            "{answer:?}"
        );
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer:?}");
        assert_serves(address).await;
    });
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    format!("POST /p HTTP/1.1\r\nhost: a\r\n{headers}\r\n{body}").into_bytes()
}

#[test]
fn large_head() {
    let header = format!("x: {}\r\n", "y".repeat(2000));
    refuses(limits(), "431", &[&post(&header, "")]);
    refuses(limits(), "431", &[b"GET /", &[b'a'; 5000]]);
    let name = format!("{}: y\r\n", "x".repeat(70_000));
    let wide = Limits {
        head_bytes: 1 << 20,
        ..limits()
    };
    refuses(wide, "431", &[&post(&name, "")]);
}

#[test]
fn large_body() {
    refuses(limits(), "413", &[&post("content-length: 4097\r\n", "")]);
    let chunked = "transfer-encoding: chunked\r\n";
    let one = format!("1800\r\n{}\r\n0\r\n\r\n", "z".repeat(0x1800));
    refuses(limits(), "413", &[&post(chunked, &one)]);
    let many = "800\r\n".to_owned() + &"z".repeat(0x800) + "\r\n";
    refuses(limits(), "413", &[&post(chunked, &many.repeat(3))]);
    let endless = format!("fffffff\r\n{}", "z".repeat(80_000));
    refuses(limits(), "413", &[&post(chunked, &endless)]);
}

#[test]
fn lengths_that_two_parsers_read_differently() {
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
        refuses(limits(), "400", &[&post(headers, "0\r\n\r\n")]);
    }
    let old = b"POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    refuses(limits(), "400", &[old]);
}

#[test]
fn garbage() {
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
        refuses(limits(), "400", &[bytes]);
    }
}

#[test]
fn malformed_chunks() {
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
        refuses(limits(), "400", &[&post(chunked, body)]);
    }
}

#[test]
fn half_sent() {
    let short = Limits {
        first_byte_timeout: Duration::from_millis(30),
        head_timeout: Duration::from_millis(30),
        body_timeout: Duration::from_millis(30),
        ..limits()
    };
    refuses(short.clone(), "408", &[]);
    refuses(short.clone(), "408", &[b"GET / HT"]);
    refuses(short.clone(), "408", &[b"\r\n"]);
    refuses(
        short.clone(),
        "408",
        &[&post("content-length: 5\r\n", "hel")],
    );
    let chunked = post("transfer-encoding: chunked\r\n", "5\r\nhel");
    refuses(short.clone(), "408", &[&chunked]);
    let slow = [&b"GET / HTTP/1.1\r\n"[..]]
        .into_iter()
        .chain([&b"x: y\r\n"[..]; 60])
        .collect::<Vec<_>>();
    refuses(short, "408", &slow);
}
