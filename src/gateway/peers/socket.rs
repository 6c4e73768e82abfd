//! Socket for the datagrams of [`Peers`](super::Peers).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::udp::UdpSocket;

use super::codec::MAX_BYTES;
use super::{Peers, increment};
use crate::clock;
use crate::runtime;

/// Longest wait for a change; datagrams that are due earlier end it.
const MAX_IDLE: Duration = Duration::from_mins(1);

/// Delay after a failed receive.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Starts to send and receive; without the address, the load of responses alone counts.
pub fn start(address: SocketAddr, peers: &Rc<Peers>) {
    match UdpSocket::bind(address) {
        Ok(socket) => run(socket, peers),
        Err(error) => log::warn!(
            "event=peers.unbound address={address} error={:?}",
            error.to_string()
        ),
    }
}

/// Starts to send and receive on a socket.
pub fn run(socket: UdpSocket, peers: &Rc<Peers>) {
    let socket = Rc::new(socket);
    let sender = send(Rc::clone(&socket), Rc::clone(peers));
    runtime::spawn_contained("peers.send", sender);
    runtime::spawn_contained("peers.receive", receive(socket, Rc::clone(peers)));
}

/// Sends datagrams when they are due; never returns.
async fn send(socket: Rc<UdpSocket>, peers: Rc<Peers>) {
    loop {
        let now = clock::now();
        match peers.changes.due_at() {
            Some(due_at) if due_at <= now => {
                for (address, bytes) in peers.take_datagrams(now) {
                    let length = bytes.len() as u64;
                    match socket.send_to(bytes, address).await.0 {
                        Ok(_) => {
                            increment(&peers.counters.sent);
                            let total = &peers.counters.sent_bytes;
                            total.set(total.get().saturating_add(length));
                        }
                        Err(_) => increment(&peers.counters.unsent),
                    }
                }
            }
            due_at => {
                let wait = due_at.map_or(MAX_IDLE, |at| at.saturating_duration_since(now));
                peers.changes.due_earlier.wait(wait.min(MAX_IDLE)).await;
            }
        }
    }
}

/// Receives datagrams; never returns.
async fn receive(socket: Rc<UdpSocket>, peers: Rc<Peers>) {
    // One byte more than the longest datagram, so that a longer one is not taken for a whole one.
    let mut buffer = vec![0_u8; MAX_BYTES + 1];
    loop {
        let (received, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        match received {
            Ok((length, _)) => {
                let bytes = buffer.get(..length).unwrap_or_default();
                // Drops are counted there.
                let _ = peers.receive(bytes, clock::now());
            }
            Err(error) => {
                log::warn!("event=peers.receive error={:?}", error.to_string());
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
