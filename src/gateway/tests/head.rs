use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};

use super::header_names;
use crate::gateway::head::{self, ForwardedHead, Framing};

fn forward(request: http::request::Builder) -> String {
    let (parts, ()) = request.body(()).unwrap().into_parts();
    let head = ForwardedHead::new(&parts, &header_names());
    let bytes = head.encode(
        &header_names(),
        "server-1",
        Duration::from_millis(750),
        Some(3),
    );
    String::from_utf8(bytes).unwrap()
}

#[test]
fn a_request_head_is_forwarded_with_only_own_headers_replaced() {
    let request = Request::post("/a/b?c=d&e")
        .header("host", "h")
        .header("x-request", "1")
        .header("x-deadline", "9000")
        .header("x-expected", "another")
        .header("x-own", "kept")
        .header("connection", "keep-alive, x-hop")
        .header("x-hop", "dropped")
        .header("content-length", "3")
        .header("te", "trailers");
    insta::assert_snapshot!(forward(request).replace("\r\n", "\n"), @"
    POST /a/b?c=d&e HTTP/1.1
    host: h
    x-request: 1
    x-own: kept
    x-deadline: 750
    x-expected: server-1
    content-length: 3
    ");
}

#[test]
fn a_response_head_is_reframed() {
    let mut headers = HeaderMap::new();
    headers.insert("x-signature", "s".parse().unwrap());
    headers.insert("keep-alive", "timeout=4".parse().unwrap());
    headers.insert("transfer-encoding", "chunked".parse().unwrap());
    let bytes = head::encode_response_head(StatusCode::OK, &headers, Framing::Length(5), true);
    insta::assert_snapshot!(String::from_utf8(bytes).unwrap().replace("\r\n", "\n"), @"
    HTTP/1.1 200 OK
    x-signature: s
    content-length: 5
    connection: close
    ");
}

#[test]
fn malformed_numeric_headers_are_ignored() {
    let mut headers = HeaderMap::new();
    assert_eq!(head::shard_key(&headers, &header_names()), None);
    for (text, key) in [
        ("65535", Some(65535)),
        ("65536", None),
        ("-1", None),
        ("x", None),
    ] {
        headers.insert("x-key", text.parse().unwrap());
        assert_eq!(head::shard_key(&headers, &header_names()), key, "{text}");
    }
    headers.insert("x-load", "3,1,8".parse().unwrap());
    let load = head::reported_load(&headers, &header_names()).unwrap();
    assert_eq!((load.running, load.waiting), (3, 1));
    for (text, percent) in [
        ("3,1,8", None),
        ("3,1,8,250", Some(250)),
        ("3, 1, 8, 70000", Some(u16::MAX)),
        ("3,1,8,0", None),
        ("3,1,8,-5", None),
        ("3,1,8,x", None),
        ("3,1,,120", Some(120)),
    ] {
        headers.insert("x-load", text.parse().unwrap());
        let load = head::reported_load(&headers, &header_names()).unwrap();
        assert_eq!((load.total(), load.percent), (4, percent), "{text}");
    }
    headers.insert("x-load", "3".parse().unwrap());
    assert_eq!(head::reported_load(&headers, &header_names()), None);
    headers.insert("keep-alive", "max=5, timeout=7".parse().unwrap());
    assert_eq!(
        head::keep_alive_timeout(&headers),
        Some(Duration::from_secs(7))
    );
}
