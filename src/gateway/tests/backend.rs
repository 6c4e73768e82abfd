use http::HeaderValue;
use monoio::net::{TcpListener, TcpStream};

use crate::gateway::backend::Backend;
use crate::gateway::backend_connection::BackendConnection;
use crate::runtime;
use crate::web::connection::HttpConnection;

use super::selection::backend;

static ID: HeaderValue = HeaderValue::from_static("7");

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
    let taken =
        std::iter::from_fn(|| backend.take_idle(std::time::Duration::from_mins(1), Some(&ID)));
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

#[test]
fn a_pooled_connection_carries_an_id_once_and_a_request_without_id_never() {
    runtime::run(async {
        let backend = backend("a", "near");
        let max_idle = std::time::Duration::from_mins(1);
        for mut connection in open_connections(2).await {
            connection.record_request(Some(&ID));
            backend.put_idle(connection, None, 4);
        }
        assert!(backend.take_idle(max_idle, Some(&ID)).is_none());
        assert!(backend.take_idle(max_idle, None).is_none());
        let other = HeaderValue::from_static("8");
        assert!(backend.take_idle(max_idle, Some(&other)).is_some());
        assert_eq!(take_all_idle(&backend), 0);
    });
}

#[test]
fn a_connection_that_has_carried_many_requests_is_closed() {
    runtime::run(async {
        let backend = backend("a", "near");
        let mut connection = open_connections(1).await.remove(0);
        let mut carried = 0_u32;
        loop {
            let id = HeaderValue::from(carried);
            connection.record_request(Some(&id));
            carried += 1;
            backend.put_idle(connection, None, 4);
            let next = HeaderValue::from(carried);
            let idle = backend.take_idle(std::time::Duration::from_mins(1), Some(&next));
            let Some(reused) = idle else { break };
            connection = reused;
        }
        assert!((2..10_000).contains(&carried), "{carried}");
    });
}
