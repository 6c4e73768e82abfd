//! Tests of the positions that a server notes before requests are sent.

use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time;

use super::{listen, read_until};
use crate::runtime;
use crate::web::{Limits, Position, SentAfter, StopHandle, serve_ordered};

/// Longer than the time between two looks at an idle listener.
const SETTLED: Duration = Duration::from_millis(300);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Starts a server whose responses tell the positions of their requests.
fn start_server(position: &Rc<Cell<Position>>) -> SocketAddr {
    let (listener, address) = listen();
    let position = Rc::clone(position);
    let current = move || position.get();
    let handler = |request: http::Request<Bytes>| async move {
        let SentAfter(position) = *request.extensions().get().unwrap();
        http::Response::new(format!("sent after {position};").into())
    };
    let (limits, stop) = (Limits::default(), StopHandle::default());
    monoio::spawn(serve_ordered(listener, limits, stop, current, handler));
    address
}

async fn request(stream: &mut TcpStream) -> String {
    stream.write_all(REQUEST).await.0.unwrap();
    response(stream).await
}

async fn response(stream: &mut TcpStream) -> String {
    let response = read_until(stream, ";").await;
    response.rsplit("\r\n").next().unwrap().to_owned()
}

/// Guards against a request that the network held up and that is taken for a new one.
#[test]
fn a_request_that_arrives_late_has_the_position_before_its_connection() {
    runtime::run(async {
        let position = Rc::new(Cell::new(1));
        let address = start_server(&position);
        time::sleep(SETTLED).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        time::sleep(SETTLED).await;
        position.set(2);
        time::sleep(SETTLED).await;
        assert_eq!(request(&mut stream).await, "sent after 1;");
        assert_eq!(request(&mut stream).await, "sent after 2;");
    });
}

/// Guards against a request that lay in the socket of a suspended process and is taken for a new one.
#[test]
fn a_connection_that_is_accepted_late_has_the_position_before_it_was_opened() {
    runtime::run(async {
        let position = Rc::new(Cell::new(1));
        let address = start_server(&position);
        time::sleep(SETTLED).await;
        // The runtime runs nothing else until the next wait, so the server sees all of it at once.
        let mut suspended = std::net::TcpStream::connect(address).unwrap();
        suspended.write_all(REQUEST).unwrap();
        std::thread::sleep(SETTLED);
        position.set(2);
        suspended.set_nonblocking(true).unwrap();
        let mut stream = TcpStream::from_std(suspended).unwrap();
        assert_eq!(response(&mut stream).await, "sent after 1;");
        let mut stream = TcpStream::connect(address).await.unwrap();
        assert_eq!(request(&mut stream).await, "sent after 2;");
    });
}

/// Guards against a pipelined request that is taken for one that was sent after a response.
#[test]
fn a_pipelined_request_has_the_position_of_the_one_before() {
    runtime::run(async {
        let position = Rc::new(Cell::new(1));
        let address = start_server(&position);
        time::sleep(SETTLED).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        assert_eq!(request(&mut stream).await, "sent after 1;");
        position.set(2);
        let requests = [REQUEST, REQUEST, REQUEST].concat();
        stream.write_all(requests).await.0.unwrap();
        let mut responses = String::new();
        while responses.matches(';').count() < 3 {
            responses += &read_until(&mut stream, ";").await;
        }
        assert_eq!(responses.matches("sent after 1;").count(), 3, "{responses}");
        assert_eq!(request(&mut stream).await, "sent after 2;");
    });
}

/// Guards against orders that are never new enough at a server that gets few of them.
#[test]
fn an_idle_listener_follows_the_position() {
    runtime::run(async {
        let position = Rc::new(Cell::new(1));
        let address = start_server(&position);
        for expected in 2..5 {
            position.set(expected);
            time::sleep(SETTLED).await;
            let mut stream = TcpStream::connect(address).await.unwrap();
            assert_eq!(
                request(&mut stream).await,
                format!("sent after {expected};")
            );
        }
    });
}
