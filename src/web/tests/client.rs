//! Tests of the client against servers that are slow or silent or send malformed responses.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use monoio::time;

use super::{WAIT_TIMEOUT, listen, read_until, start_echo_server};
use crate::clock;
use crate::runtime;
use crate::web::client::RECENT_RESPONSE_AGE;
use crate::web::{Client, Limits, Reuse, SendError, SendOptions};

fn get(path: &str) -> http::Request<Bytes> {
    let request = http::Request::builder().uri(path).header("host", "a");
    request.body(Bytes::new()).unwrap()
}

async fn send(
    client: &Client,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
    reuse: Reuse,
) -> Result<String, SendError> {
    let options = SendOptions {
        deadline: clock::now() + timeout,
        reuse,
        before_write: || true,
    };
    let response = client.send(address, get(path), options).await?;
    Ok(String::from_utf8_lossy(response.body()).into_owned())
}

async fn send_any(client: &Client, address: SocketAddr, path: &str) -> Result<String, SendError> {
    send(client, address, path, WAIT_TIMEOUT, Reuse::Any).await
}

/// Sends `response` to the first request of each connection and keeps the connection open.
async fn respond_with(listener: TcpListener, response: &'static str) {
    let mut open = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_until(&mut stream, "\r\n\r\n").await;
        stream
            .write_all(response.as_bytes().to_vec())
            .await
            .0
            .unwrap();
        if !response.contains("until the end") {
            open.push(stream);
        }
    }
}

#[test]
fn connection_is_reused() {
    runtime::run(async {
        let (address, stop) = start_echo_server(Limits::default());
        let client = Client::new(1 << 20);
        for path in ["/a", "/b", "/c"] {
            assert_eq!(
                send_any(&client, address, path).await,
                Ok(format!("GET {path} "))
            );
        }
        assert_eq!((client.idle_count(), stop.open_count()), (1, 2));
    });
}

#[test]
fn request_cancelled_before_write_sends_nothing() {
    runtime::run(async {
        let (listener, address) = listen();
        let client = Client::new(1 << 20);
        let options = SendOptions {
            deadline: clock::now() + WAIT_TIMEOUT,
            reuse: Reuse::Any,
            before_write: || false,
        };
        let result = client.send(address, get("/"), options).await;
        assert!(matches!(result, Err(SendError::NotSent(_))), "{result:?}");
        drop(client);
        let (mut stream, _) = listener.accept().await.unwrap();
        let (read, _) = stream.read(vec![0u8; 16]).await;
        assert_eq!(read.unwrap(), 0);
    });
}

#[test]
fn before_write_is_called_once_after_connecting() {
    runtime::run(async {
        let (address, _) = start_echo_server(Limits::default());
        let calls = Rc::new(Cell::new(0));
        let counter = Rc::clone(&calls);
        let options = SendOptions {
            deadline: clock::now() + WAIT_TIMEOUT,
            reuse: Reuse::Never,
            before_write: move || {
                counter.set(counter.get() + 1);
                true
            },
        };
        let sent = Client::new(1 << 20).send(address, get("/"), options).await;
        assert!(sent.is_ok());
        assert_eq!(calls.get(), 1);
    });
}

#[test]
fn closed_port_and_past_deadline_are_not_sent() {
    runtime::run(async {
        let (listener, address) = listen();
        let client = Client::new(1 << 20);
        let late = send(&client, address, "/", Duration::ZERO, Reuse::Any).await;
        assert!(matches!(late, Err(SendError::NotSent(_))), "{late:?}");
        drop(listener);
        let refused = send_any(&client, address, "/").await;
        assert!(matches!(refused, Err(SendError::NotSent(_))), "{refused:?}");
    });
}

#[test]
fn connection_closed_by_the_server_is_not_reused() {
    runtime::run(async {
        let (listener, address) = listen();
        monoio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_until(&mut stream, "\r\n\r\n").await;
                let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                stream
                    .write_all(response.as_bytes().to_vec())
                    .await
                    .0
                    .unwrap();
            }
        });
        let client = Client::new(1 << 20);
        for _ in 0..3 {
            assert_eq!(send_any(&client, address, "/").await, Ok("ok".into()));
            time::sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn late_response_reaches_no_other_request() {
    runtime::run(async {
        let (listener, address) = listen();
        let second = Rc::new(Cell::new(false));
        let second_read = Rc::clone(&second);
        monoio::spawn(async move {
            let (mut silent, _) = listener.accept().await.unwrap();
            read_until(&mut silent, "\r\n\r\n").await;
            let (mut stream, _) = listener.accept().await.unwrap();
            read_until(&mut stream, "\r\n\r\n").await;
            second_read.set(true);
            let late = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
            let _ = silent.write_all(late.as_bytes().to_vec()).await;
            let response = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
            stream
                .write_all(response.as_bytes().to_vec())
                .await
                .0
                .unwrap();
        });
        let client = Client::new(1 << 20);
        let short = Duration::from_millis(50);
        let first = send(&client, address, "/first", short, Reuse::Any).await;
        assert_eq!(first, Err(SendError::TimedOut));
        assert_eq!(client.idle_count(), 0);
        assert_eq!(
            send_any(&client, address, "/second").await,
            Ok("second".into())
        );
        assert!(second.get());
    });
}

#[test]
fn connection_without_a_recent_response_is_not_used_for_reuse_recent() {
    runtime::run(async {
        let (listener, address) = listen();
        monoio::spawn(respond_with(
            listener,
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        ));
        let client = Client::new(1 << 20);
        assert_eq!(send_any(&client, address, "/").await, Ok("ok".into()));
        clock::advance(RECENT_RESPONSE_AGE + Duration::from_millis(1));
        let recent = send(&client, address, "/", WAIT_TIMEOUT, Reuse::Recent).await;
        assert_eq!(recent, Ok("ok".into()));
        let short = Duration::from_millis(50);
        let silent = send(&client, address, "/", short, Reuse::Any).await;
        assert_eq!(silent, Err(SendError::TimedOut));
        let new = send(&client, address, "/", WAIT_TIMEOUT, Reuse::Never).await;
        assert_eq!(new, Ok("ok".into()));
    });
}

#[test]
fn bodies_of_every_framing_are_read_whole() {
    for (response, body) in [
        ("HTTP/1.1 200 OK\r\n\r\nuntil the end", "until the end"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            "abc",
        ),
        ("HTTP/1.1 204 No Content\r\ncontent-length: 3\r\n\r\n", ""),
        (
            "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx",
            "x",
        ),
    ] {
        runtime::run(async {
            let (listener, address) = listen();
            monoio::spawn(respond_with(listener, response));
            let read = send_any(&Client::new(1 << 20), address, "/").await;
            assert_eq!(read, Ok(body.into()), "{response}");
        });
    }
}

#[test]
fn malformed_responses_return_may_have_run() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\r\n\r\n",
    ] {
        runtime::run(async {
            let (listener, address) = listen();
            monoio::spawn(respond_with(listener, response));
            let client = Client::new(4096);
            let result = send_any(&client, address, "/").await;
            assert!(
                matches!(result, Err(SendError::MayHaveRun(_))),
                "{response}: {result:?}"
            );
            assert_eq!(client.idle_count(), 0);
        });
    }
}

#[test]
fn truncated_response_returns_may_have_run() {
    runtime::run(async {
        let (listener, address) = listen();
        monoio::spawn(async move {
            let (mut stream, _): (TcpStream, _) = listener.accept().await.unwrap();
            read_until(&mut stream, "\r\n\r\n").await;
            let truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhal";
            stream.write_all(truncated.to_vec()).await.0.unwrap();
        });
        let result = send_any(&Client::new(4096), address, "/").await;
        assert!(
            matches!(result, Err(SendError::MayHaveRun(_))),
            "{result:?}"
        );
    });
}
