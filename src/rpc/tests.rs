//! RPC over loopback connections.

use std::time::Duration;

use monoio::net::TcpListener;

use super::{CallError, Peer, error, serve, server};
use crate::runtime;
use crate::timeline::Journal;

fn listen() -> (TcpListener, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn echo(method: Box<str>, body: Box<serde_json::value::RawValue>) -> server::RpcResult {
    match &*method {
        "echo" => Ok(body),
        "slow" => {
            monoio::time::sleep(Duration::from_millis(80)).await;
            Ok(body)
        }
        other => Err(server::unknown_method(other)),
    }
}

#[test]
fn responses_out_of_order_reach_their_calls() {
    runtime::run(async {
        let (listener, address) = listen();
        monoio::spawn(serve(listener, Journal::new("b".into()), echo));
        let peer = Peer::new(address, Journal::new("a".into()));
        let slow_peer = peer.clone();
        let slow = monoio::spawn(async move {
            slow_peer
                .call::<_, u64>("slow", &1u64, Duration::from_secs(2))
                .await
        });
        let fast = peer
            .call::<_, u64>("echo", &2u64, Duration::from_secs(2))
            .await;
        assert_eq!(fast, Ok(2));
        assert_eq!(slow.await, Ok(1));
    });
}

#[test]
fn unknown_method_returns_a_fault() {
    runtime::run(async {
        let (listener, address) = listen();
        monoio::spawn(serve(listener, Journal::new("b".into()), echo));
        let peer = Peer::new(address, Journal::new("a".into()));
        let result = peer
            .call::<_, u64>("nope", &(), Duration::from_secs(2))
            .await;
        let Err(CallError::Fault(fault)) = result else {
            panic!("no fault: {result:?}");
        };
        assert_eq!(fault.code, error::UNKNOWN_METHOD);
    });
}

#[test]
fn closed_port_is_unreachable() {
    runtime::run(async {
        let (listener, address) = listen();
        drop(listener);
        let peer = Peer::new(address, Journal::new("a".into()));
        let result = peer
            .call::<_, u64>("echo", &1u64, Duration::from_secs(2))
            .await;
        assert!(matches!(result, Err(CallError::Unreachable(_))));
    });
}

#[test]
fn silent_connection_is_replaced() {
    runtime::run(async {
        let (listener, address) = listen();
        let peer = Peer::new(address, Journal::new("a".into()));
        let silent = monoio::spawn(async move {
            let first = listener.accept().await.unwrap();
            (listener, first)
        });
        let result = peer
            .call::<_, u64>("echo", &1u64, Duration::from_millis(50))
            .await;
        assert_eq!(result, Err(CallError::TimedOut));
        let (listener, _first) = silent.await;
        monoio::spawn(serve(listener, Journal::new("b".into()), echo));
        let result = peer
            .call::<_, u64>("echo", &2u64, Duration::from_secs(2))
            .await;
        assert_eq!(result, Ok(2));
    });
}
