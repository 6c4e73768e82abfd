use monoio::net::{TcpListener, TcpStream};

use crate::gateway::backend::Backend;
use crate::gateway::backend_connection::BackendConnection;
use crate::runtime;
use crate::web::connection::HttpConnection;

use super::selection::backend;

/// Opens connections whose other ends stay open.
async fn open_connections(count: usize) -> Vec<BackendConnection> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut connections = Vec::new();
    for _ in 0..count {
        let stream = TcpStream::connect_addr(address).await.unwrap();
        connections.push(BackendConnection::new(HttpConnection::new(stream)));
        std::mem::forget(listener.accept().await.unwrap());
    }
    connections
}

/// Takes all idle connections out of the pool and returns their number.
fn take_all_idle(backend: &Backend) -> usize {
    let taken = std::iter::from_fn(|| backend.take_idle(std::time::Duration::from_mins(1)));
    taken.count()
}

#[test]
fn idle_connections_and_requests_in_flight_share_the_limit() {
    runtime::run(async {
        let backend = backend("a", "near");
        let busy: Vec<_> = (0..2).map(|_| backend.start_request()).collect();
        for connection in open_connections(5).await {
            backend.put_idle(connection, None, 4);
        }
        drop(busy);
        assert_eq!(take_all_idle(&backend), 3);
    });
}

#[test]
fn a_new_connection_evicts_an_idle_one() {
    runtime::run(async {
        let backend = backend("a", "near");
        for connection in open_connections(4).await {
            backend.put_idle(connection, None, 4);
        }
        let _new = backend.start_request();
        backend.evict_idle(4);
        assert_eq!(take_all_idle(&backend), 3);
    });
}

#[test]
fn idle_connections_are_dropped_when_a_server_is_unreachable() {
    runtime::run(async {
        let backend = backend("a", "near");
        for connection in open_connections(2).await {
            backend.put_idle(connection, None, 4);
        }
        backend.record_unreachable();
        assert_eq!(take_all_idle(&backend), 0);
        assert!(backend.unreachable_since().is_some());
        backend.record_response(None, None, false);
        assert!(backend.unreachable_since().is_none());
    });
}

#[test]
fn take_latency_averages_responses_since_the_last_call() {
    let backend = backend("a", "near");
    for _ in 0..20 {
        backend.record_response(Some(1.0), None, false);
    }
    assert_eq!(backend.take_latency().unwrap().samples, 20);
    backend.record_response(Some(3.0), None, false);
    backend.record_response(Some(5.0), None, false);
    let latency = backend.take_latency().unwrap();
    assert_eq!((latency.ratio, latency.samples), (4.0, 2));
    assert!(backend.take_latency().is_none());
}
