//! Tests of servers and clients over loopback connections.

mod arbitrary;
mod bad_input;
mod client;
mod connection;
mod position;
mod server;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use monoio::time;

use super::{Limits, StopHandle, serve};

/// Upper bound of every wait, far above what a test needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts a server that responds with method, path and body of the request.
fn start_echo_server(limits: Limits) -> (SocketAddr, StopHandle) {
    let (listener, address) = listen();
    let stop = StopHandle::default();
    monoio::spawn(serve(listener, limits, stop.clone(), echo_request));
    (address, stop)
}

async fn echo_request(request: http::Request<Bytes>) -> http::Response<Bytes> {
    let path = request.uri().path().to_owned();
    match &*path {
        "/panic" => panic!("as asked"),
        "/slow" => time::sleep(Duration::from_millis(100)).await,
        _ => {}
    }
    let text = format!("{} {path} ", request.method());
    let body = [text.as_bytes(), request.body()].concat();
    http::Response::new(body.into())
}

/// Sends `pieces` one by one and reads until the server closes the connection.
async fn exchange(address: SocketAddr, pieces: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    for piece in pieces {
        let (result, _) = stream.write_all(piece.to_vec()).await;
        if result.is_err() {
            break;
        }
        time::sleep(Duration::from_millis(1)).await;
    }
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    loop {
        let read = stream.read(vec![0u8; 65536]);
        let (result, buffer) = time::timeout(WAIT_TIMEOUT, read)
            .await
            .expect("the server closes");
        match result {
            Ok(n) if n > 0 => all.extend_from_slice(&buffer[..n]),
            _ => return String::from_utf8_lossy(&all).into_owned(),
        }
    }
}

/// Reads until the received text ends with `end`.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut all = String::new();
    while !all.ends_with(end) {
        let read = stream.read(vec![0u8; 65536]);
        let (result, buffer) = time::timeout(WAIT_TIMEOUT, read).await.expect("a response");
        match result.unwrap() {
            0 => panic!("closed after {all:?}"),
            n => all.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
    all
}

async fn assert_serves(address: SocketAddr) {
    let request = b"GET /fine HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let response = exchange(address, &[request]).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("GET /fine "), "{response}");
}
