use monoio::net::{TcpListener, TcpStream};

use crate::gateway::backend::Backend;
use crate::runtime;
use crate::web::wire::Wire;

use super::choose::backend;

/// Connections to a backend server that were opened and have answered.
async fn wires(count: usize) -> Vec<Wire> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut wires = Vec::new();
    for _ in 0..count {
        wires.push(Wire::new(TcpStream::connect_addr(address).await.unwrap()));
        std::mem::forget(listener.accept().await.unwrap());
    }
    wires
}

/// Connections that can be taken again.
fn kept(backend: &Backend) -> usize {
    let taken = std::iter::from_fn(|| backend.take(std::time::Duration::from_mins(1)));
    taken.count()
}

#[test]
fn idle_connections_and_requests_under_way_stay_below_the_limit_together() {
    runtime::run(async {
        let backend = backend("a", "near");
        let busy: Vec<_> = (0..2).map(|_| backend.begin()).collect();
        for wire in wires(5).await {
            backend.put(wire, None, 4);
        }
        drop(busy);
        assert_eq!(kept(&backend), 3);
    });
}

#[test]
fn a_new_connection_takes_the_place_of_an_idle_one() {
    runtime::run(async {
        let backend = backend("a", "near");
        for wire in wires(4).await {
            backend.put(wire, None, 4);
        }
        let _new = backend.begin();
        backend.make_room(4);
        assert_eq!(kept(&backend), 3);
    });
}

#[test]
fn no_idle_connection_is_used_once_a_server_could_not_be_reached() {
    runtime::run(async {
        let backend = backend("a", "near");
        for wire in wires(2).await {
            backend.put(wire, None, 4);
        }
        backend.unreached();
        assert_eq!(kept(&backend), 0);
        assert!(backend.dark_since().is_some());
        backend.answered(None, None, false);
        assert!(backend.dark_since().is_none());
    });
}

#[test]
fn a_pace_is_told_from_the_answers_since_it_was_last_told() {
    let backend = backend("a", "near");
    for _ in 0..20 {
        backend.answered(Some(1.0), None, false);
    }
    assert_eq!(backend.take_pace().unwrap().samples, 20);
    backend.answered(Some(3.0), None, false);
    backend.answered(Some(5.0), None, false);
    let pace = backend.take_pace().unwrap();
    assert_eq!((pace.ratio, pace.samples), (4.0, 2));
    assert!(backend.take_pace().is_none());
}
