//! A TCP relay that can partition, stall, drop or delay connections.
//!
//! Runs on threads of the test and doesn't block an async runtime.

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CHUNK_BYTES: usize = 16 * 1024;

#[derive(Default)]
struct State {
    refuse_new: AtomicBool,
    next_connection: AtomicU64,
    /// Connections with a lower number are stalled.
    stalled_below: AtomicU64,
    delay_ms: AtomicU64,
    drop_responses: AtomicBool,
    blocked_pids: Mutex<Vec<u32>>,
    /// Both streams of each connection, with the port of its client.
    connections: Mutex<Vec<(u16, TcpStream)>>,
}

/// Relay from a listening address to a target.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// Listens on `address` and relays every connection to `target`.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let state = Arc::clone(&relay.state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accept(stream, target, &state);
            }
        });
        relay
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection and refuses new ones.
    pub fn partition(&self) {
        self.state.refuse_new.store(true, Ordering::SeqCst);
        for (_, stream) in self.state.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes every connection of these processes and refuses new ones from them.
    pub fn partition_from(&self, pids: &[u32]) {
        self.state.blocked_pids.lock().unwrap().extend(pids);
        for (port, stream) in &*self.state.connections.lock().unwrap() {
            if pids.iter().any(|p| has_port(*p, *port)) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Relays new connections again and ends stalls and the dropping of responses.
    pub fn heal(&self) {
        self.state.refuse_new.store(false, Ordering::SeqCst);
        self.state.drop_responses.store(false, Ordering::SeqCst);
        self.state.blocked_pids.lock().unwrap().clear();
        self.state.stalled_below.store(0, Ordering::SeqCst);
    }

    /// Stalls the open connections for good; new ones work.
    pub fn stall_open(&self) {
        let next = self.state.next_connection.load(Ordering::SeqCst);
        self.state.stalled_below.store(next, Ordering::SeqCst);
    }

    /// Stalls every connection, new ones as well, until healed.
    pub fn blackhole(&self) {
        self.state.stalled_below.store(u64::MAX, Ordering::SeqCst);
    }

    /// Partitions one direction: relays bytes to the target and drops those from it.
    pub fn drop_responses(&self) {
        self.state.drop_responses.store(true, Ordering::SeqCst);
    }

    /// Delays every chunk by this time.
    pub fn delay(&self, by: Duration) {
        let ms = u64::try_from(by.as_millis()).unwrap();
        self.state.delay_ms.store(ms, Ordering::SeqCst);
    }
}

fn accept(client: TcpStream, target: SocketAddr, state: &Arc<State>) {
    if state.refuse_new.load(Ordering::SeqCst) {
        return;
    }
    let port = client.peer_addr().map_or(0, |a| a.port());
    let blocked_pids = state.blocked_pids.lock().unwrap().clone();
    if blocked_pids.iter().any(|p| has_port(*p, port)) {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let connection = state.next_connection.fetch_add(1, Ordering::SeqCst);
    for stream in [&client, &server] {
        let _ = stream.set_nodelay(true);
        let stream = stream.try_clone().map(|s| (port, s));
        state.connections.lock().unwrap().extend(stream);
    }
    let directions = [
        (client.try_clone(), server.try_clone(), false),
        (Ok(server), Ok(client), true),
    ];
    for (from, to, is_response) in directions {
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let state = Arc::clone(state);
        thread::spawn(move || forward(from, to, connection, is_response, &state));
    }
}

/// Whether a process has a TCP socket on this local port.
fn has_port(pid: u32, port: u16) -> bool {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let inode = table.lines().find_map(|line| {
        let mut words = line.split_whitespace();
        let local = words.nth(1)?.rsplit_once(':')?.1;
        (u16::from_str_radix(local, 16) == Ok(port)).then(|| words.nth(7))?
    });
    let socket = format!("socket:[{}]", inode.unwrap_or("none"));
    let files = fs::read_dir(format!("/proc/{pid}/fd"))
        .into_iter()
        .flatten()
        .flatten();
    files
        .map(|f| fs::read_link(f.path()))
        .any(|l| l.is_ok_and(|l| l.as_os_str() == &*socket))
}

/// Forwards one direction; after it dropped bytes it drops all that follow.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: u64,
    is_response: bool,
    state: &State,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut dropping = false;
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 {
            break;
        }
        let delay = state.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        dropping |= connection < state.stalled_below.load(Ordering::SeqCst);
        dropping |= is_response && state.drop_responses.load(Ordering::SeqCst);
        if dropping {
            continue;
        }
        let Some(bytes) = chunk.get(..count) else {
            break;
        };
        if to.write_all(bytes).is_err() {
            break;
        }
    }
    if connection >= state.stalled_below.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
