use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};

use super::names;
use crate::gateway::head::{self, Framing, Outgoing};

fn outgoing(request: http::request::Builder) -> String {
    let (parts, ()) = request.body(()).unwrap().into_parts();
    let head = Outgoing::new(&parts, &names());
    let bytes = head.encode(&names(), "server-1", Duration::from_millis(750), Some(3));
    String::from_utf8(bytes).unwrap()
}

#[test]
fn a_request_passes_unchanged_but_for_what_this_vm_sets() {
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
    insta::assert_snapshot!(outgoing(request).replace("\r\n", "\n"), @"
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
fn an_answer_passes_with_a_framing_of_its_own() {
    let mut headers = HeaderMap::new();
    headers.insert("x-signature", "s".parse().unwrap());
    headers.insert("keep-alive", "timeout=4".parse().unwrap());
    headers.insert("transfer-encoding", "chunked".parse().unwrap());
    let bytes = head::answer(StatusCode::OK, &headers, Framing::Length(5), true);
    insta::assert_snapshot!(String::from_utf8(bytes).unwrap().replace("\r\n", "\n"), @"
    HTTP/1.1 200 OK
    x-signature: s
    content-length: 5
    connection: close
    ");
}

#[test]
fn numbers_that_are_none_are_not_there() {
    let mut headers = HeaderMap::new();
    assert_eq!(head::key(&headers, &names()), None);
    for (text, key) in [
        ("65535", Some(65535)),
        ("65536", None),
        ("-1", None),
        ("x", None),
    ] {
        headers.insert("x-key", text.parse().unwrap());
        assert_eq!(head::key(&headers, &names()), key, "{text}");
    }
    headers.insert("x-load", "3,1,8".parse().unwrap());
    let load = head::load(&headers, &names()).unwrap();
    assert_eq!((load.running, load.waiting), (3, 1));
    headers.insert("x-load", "3".parse().unwrap());
    assert_eq!(head::load(&headers, &names()), None);
    headers.insert("keep-alive", "max=5, timeout=7".parse().unwrap());
    assert_eq!(head::keep_alive(&headers), Some(Duration::from_secs(7)));
}
