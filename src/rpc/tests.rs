//! RPC over loopback connections.

use std::time::Duration;

use monoio::net::TcpListener;

use super::{CallError, Peer, error, frame, serve, server};
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
        "panic" => panic!("a call that fails"),
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

#[test]
fn a_panic_in_a_call_ends_that_call_alone() {
    runtime::run(async {
        let (listener, address) = listen();
        monoio::spawn(serve(listener, Journal::new("b".into()), echo));
        let peer = Peer::new(address, Journal::new("a".into()));
        let other = Peer::new(address, Journal::new("c".into()));
        let timeout = Duration::from_secs(2);
        assert_eq!(other.call::<_, u64>("echo", &1u64, timeout).await, Ok(1));
        let failed = peer
            .call::<_, u64>("panic", &1u64, Duration::from_millis(100))
            .await;
        assert_eq!(failed, Err(CallError::TimedOut));
        assert_eq!(other.call::<_, u64>("echo", &2u64, timeout).await, Ok(2));
    });
}

#[test]
fn a_late_response_is_given_to_no_other_call() {
    runtime::run(async {
        let (listener, address) = listen();
        monoio::spawn(serve(listener, Journal::new("b".into()), echo));
        let peer = Peer::new(address, Journal::new("a".into()));
        let timeout = Duration::from_secs(2);
        assert_eq!(peer.call::<_, u64>("echo", &0u64, timeout).await, Ok(0));
        for value in 1..20_u64 {
            let late = peer
                .call::<_, u64>("slow", &(1000 + value), Duration::from_millis(5))
                .await;
            assert_eq!(late, Err(CallError::TimedOut));
            assert_eq!(peer.call("echo", &value, timeout).await, Ok(value));
        }
        monoio::time::sleep(Duration::from_millis(120)).await;
        assert_eq!(peer.call::<_, u64>("echo", &7u64, timeout).await, Ok(7));
    });
}

#[test]
fn a_message_that_no_reader_accepts_is_not_sent() {
    let text = "x".repeat(frame::MAX_FRAME_BYTES);
    let envelope = frame::Envelope {
        timestamp: Journal::new("a".into()).next_timestamp(),
        body: serde_json::value::to_raw_value(&text).unwrap(),
    };
    assert!(frame::encode_call(1, "echo", &envelope).is_err());
    assert!(frame::encode_response(1, &Ok(envelope)).is_err());
}
