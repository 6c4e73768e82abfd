//! A relay between two ends that can be cut, silenced or delayed.
//!
//! Runs in threads of the test, so that it keeps no runtime busy.

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
    refuse: AtomicBool,
    generation: AtomicU64,
    silent_below: AtomicU64,
    delay_ms: AtomicU64,
    answers_lost: AtomicBool,
    barred: Mutex<Vec<u32>>,
    open: Mutex<Vec<(u16, TcpStream)>>,
}

/// A relay from its own address to a target.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// Listens on `address` and passes every connection on to `target`.
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

    /// Address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every connection and refuses new ones.
    pub fn cut(&self) {
        self.state.refuse.store(true, Ordering::SeqCst);
        for (_, stream) in self.state.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes every connection of these processes and refuses new ones of theirs.
    pub fn cut_from(&self, processes: &[u32]) {
        self.state.barred.lock().unwrap().extend(processes);
        for (port, stream) in &*self.state.open.lock().unwrap() {
            if processes.iter().any(|p| has_port(*p, *port)) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Lets new connections through again, and ends silence.
    pub fn heal(&self) {
        self.state.refuse.store(false, Ordering::SeqCst);
        self.state.answers_lost.store(false, Ordering::SeqCst);
        self.state.barred.lock().unwrap().clear();
        self.state.silent_below.store(0, Ordering::SeqCst);
    }

    /// Open connections go silent for good; new ones work.
    pub fn silence(&self) {
        let next = self.state.generation.load(Ordering::SeqCst);
        self.state.silent_below.store(next, Ordering::SeqCst);
    }

    /// Every connection goes silent, later ones as well, until healed.
    pub fn blackhole(&self) {
        self.state.silent_below.store(u64::MAX, Ordering::SeqCst);
    }

    /// Bytes still go to the target, none come back: a cut of one direction.
    pub fn lose_answers(&self) {
        self.state.answers_lost.store(true, Ordering::SeqCst);
    }

    /// Holds every chunk back for so long.
    pub fn delay(&self, by: Duration) {
        let ms = u64::try_from(by.as_millis()).unwrap();
        self.state.delay_ms.store(ms, Ordering::SeqCst);
    }
}

fn accept(near: TcpStream, target: SocketAddr, state: &Arc<State>) {
    if state.refuse.load(Ordering::SeqCst) {
        return;
    }
    let port = near.peer_addr().map_or(0, |a| a.port());
    let barred = state.barred.lock().unwrap().clone();
    if barred.iter().any(|p| has_port(*p, port)) {
        return;
    }
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let number = state.generation.fetch_add(1, Ordering::SeqCst);
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
        let stream = stream.try_clone().map(|s| (port, s));
        state.open.lock().unwrap().extend(stream);
    }
    let ways = [
        (near.try_clone(), far.try_clone(), false),
        (Ok(far), Ok(near), true),
    ];
    for (from, to, answers) in ways {
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let state = Arc::clone(state);
        thread::spawn(move || pass(from, to, number, answers, &state));
    }
}

/// Whether a process has a TCP connection from this local port.
fn has_port(process: u32, port: u16) -> bool {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let inode = table.lines().find_map(|line| {
        let mut words = line.split_whitespace();
        let local = words.nth(1)?.rsplit_once(':')?.1;
        (u16::from_str_radix(local, 16) == Ok(port)).then(|| words.nth(7))?
    });
    let socket = format!("socket:[{}]", inode.unwrap_or("none"));
    let files = fs::read_dir(format!("/proc/{process}/fd"))
        .into_iter()
        .flatten()
        .flatten();
    files
        .map(|f| fs::read_link(f.path()))
        .any(|l| l.is_ok_and(|l| l.as_os_str() == &*socket))
}

/// A way that has lost bytes stays silent for good.
fn pass(mut from: TcpStream, mut to: TcpStream, number: u64, answers: bool, state: &State) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut lost = false;
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 {
            break;
        }
        let delay = state.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        lost |= number < state.silent_below.load(Ordering::SeqCst);
        lost |= answers && state.answers_lost.load(Ordering::SeqCst);
        if lost {
            continue;
        }
        let Some(bytes) = chunk.get(..count) else {
            break;
        };
        if to.write_all(bytes).is_err() {
            break;
        }
    }
    if number >= state.silent_below.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
