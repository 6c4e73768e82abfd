//! Tests of streamed bodies.

use arbtest::arbtest;
use monoio::io::AsyncWriteRentExt;
use monoio::net::{TcpListener, TcpStream};

use crate::runtime;
use crate::web::connection::{BodyEvent, BodyReader, HeadLimits, HttpConnection};

/// One case for each seed.
const CASE_COUNT: u64 = 40;

const HEAD_LIMITS: HeadLimits = HeadLimits {
    head_bytes: 4096,
    body_bytes: 1 << 20,
};

/// Opens a connection; the other end sends `parts` one after the other and closes.
async fn receive(parts: Vec<Vec<u8>>) -> HttpConnection {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        for part in parts {
            if stream.write_all(part).await.0.is_err() {
                return;
            }
        }
    });
    let (stream, _) = listener.accept().await.unwrap();
    HttpConnection::new(stream)
}

/// Reads one response and returns the body, or `None` if it is malformed or truncated.
async fn read_body(connection: &mut HttpConnection) -> Option<Vec<u8>> {
    let mut head = loop {
        match connection.decode_response_head(HEAD_LIMITS, false) {
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(_) => return None,
        }
        if connection.fill().await.ok()? == 0 {
            return None;
        }
    };
    let mut body = Vec::new();
    loop {
        match connection.next_body_event(&mut head.body).ok()? {
            BodyEvent::Data(data) => body.extend_from_slice(&data),
            BodyEvent::End => return Some(body),
            BodyEvent::NeedMore => {
                let until_end = head.body == BodyReader::UntilEnd;
                match connection.fill().await.ok()? {
                    0 if until_end => head.body = BodyReader::Done,
                    0 => return None,
                    _ => {}
                }
            }
        }
    }
}

/// Splits bytes at random places.
fn split_at_random(u: &mut arbtest::arbitrary::Unstructured<'_>, bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let at = u.int_in_range(1..=rest.len()).unwrap_or(rest.len());
        let (part, left) = rest.split_at(at);
        parts.push(part.to_vec());
        rest = left;
    }
    parts
}

#[test]
fn a_body_is_the_same_however_it_is_split() {
    for seed in 0..CASE_COUNT {
        arbtest(|u| {
            let content: Vec<u8> = u.arbitrary()?;
            let mut text = b"HTTP/1.1 200 OK\r\n".to_vec();
            match u.arbitrary::<u8>()? % 3 {
                0 => {
                    let head = format!("content-length: {}\r\n\r\n", content.len());
                    text.extend_from_slice(head.as_bytes());
                    text.extend_from_slice(&content);
                }
                1 => {
                    text.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
                    for chunk in content.chunks(7) {
                        text.extend_from_slice(format!("{:x};e=1\r\n", chunk.len()).as_bytes());
                        text.extend_from_slice(chunk);
                        text.extend_from_slice(b"\r\n");
                    }
                    text.extend_from_slice(b"0\r\ntrailer: x\r\n\r\n");
                }
                _ => {
                    text.extend_from_slice(b"\r\n");
                    text.extend_from_slice(&content);
                }
            }
            let parts = split_at_random(u, &text);
            let decoded = runtime::run(async { read_body(&mut receive(parts).await).await });
            assert_eq!(decoded.as_deref(), Some(&content[..]));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn truncated_or_malformed_responses_have_no_body() {
    let texts = [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
        "not even HTTP\r\n\r\n",
    ];
    for text in texts {
        let parts = vec![text.as_bytes().to_vec()];
        let decoded = runtime::run(async { read_body(&mut receive(parts).await).await });
        assert_eq!(decoded, None, "{text:?}");
    }
}

#[test]
fn bytes_after_a_body_make_the_connection_not_idle() {
    runtime::run(async {
        let text = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokextra".to_vec();
        let mut connection = receive(vec![text]).await;
        assert_eq!(
            read_body(&mut connection).await.as_deref(),
            Some(&b"ok"[..])
        );
        assert!(!connection.is_idle());
    });
}
