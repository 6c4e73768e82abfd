//! Connections to servers, kept for the next request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, RawFd};
use std::time::{Duration, Instant};

use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio_codec::FramedRead;
use monoio_http::h1::codec::encoder::GenericEncoder;

use super::decode::ResponseHeads;
use super::encode::Memory;
use super::socket::{self, SocketState};
use crate::clock;

/// How lately a connection must have answered to count as proved.
pub const RECENT: Duration = Duration::from_millis(250);

/// How long a connection is kept without use.
const IDLE: Duration = Duration::from_secs(20);

/// Connections kept for each address.
const IDLE_CONNECTIONS: usize = 16;

/// Time between looks for connections that have been idle too long.
const SWEEP: Duration = Duration::from_secs(1);

/// Which connections a request may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any that the other end has not closed.
    Any,
    /// One that has answered within [`RECENT`].
    Recent,
    /// None, only a new one.
    Never,
}

/// One connection to a server.
pub(super) struct Connection {
    pub(super) reader: FramedRead<TcpOwnedReadHalf, ResponseHeads>,
    pub(super) encoder: GenericEncoder<Memory>,
    pub(super) encoded: Memory,
    pub(super) writer: TcpOwnedWriteHalf,
    pub(super) answered: Instant,
    fd: RawFd,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, head_limit: usize, body_limit: usize) -> Self {
        let _ = stream.set_nodelay(true);
        let fd = stream.as_raw_fd();
        let encoded = Memory::default();
        let (reader, writer) = stream.into_split();
        Self {
            reader: FramedRead::new(reader, ResponseHeads::new(head_limit, body_limit)),
            encoder: GenericEncoder::new(encoded.clone()),
            encoded,
            writer,
            answered: clock::now(),
            fd,
        }
    }

    /// Whether nothing speaks against sending a request on it.
    fn is_usable(&self) -> bool {
        self.reader.read_buffer().is_empty() && socket::state(self.fd) == SocketState::Idle
    }
}

/// Idle connections by address, the last used at the end.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    swept: Cell<Option<Instant>>,
}

impl Pool {
    /// Takes the connection that was used last.
    pub(super) fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let oldest = match reuse {
            Reuse::Any => IDLE,
            Reuse::Recent => RECENT,
            Reuse::Never => return None,
        };
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if now.saturating_duration_since(connection.answered) > oldest {
                connections.push(connection);
                return None;
            }
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection that has just answered.
    pub(super) fn put(&self, address: SocketAddr, connection: Connection) {
        self.sweep(connection.answered);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Number of idle connections.
    pub(super) fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    fn sweep(&self, now: Instant) {
        let swept = self.swept.get();
        if swept.is_some_and(|s| now.saturating_duration_since(s) < SWEEP) {
            return;
        }
        self.swept.set(Some(now));
        let is_fresh = |c: &Connection| now.saturating_duration_since(c.answered) <= IDLE;
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| is_fresh(c) && c.is_usable());
            !connections.is_empty()
        });
    }
}
