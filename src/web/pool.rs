//! Pool of idle client connections.

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
use super::encode::EncodeBuffer;
use super::socket::{self, SocketState};
use crate::clock;

/// Greatest age of the last response for [`Reuse::Recent`].
pub const RECENT_RESPONSE_AGE: Duration = Duration::from_millis(250);

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Greatest number of idle connections for each address.
const MAX_IDLE_CONNECTIONS: usize = 16;

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Which pooled connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any connection that the server has not closed.
    Any,
    /// A connection that received a response within [`RECENT_RESPONSE_AGE`].
    Recent,
    /// No pooled connection; opens a new one.
    Never,
}

/// Client connection with its codecs.
pub(super) struct Connection {
    pub(super) reader: FramedRead<TcpOwnedReadHalf, ResponseHeads>,
    pub(super) encoder: GenericEncoder<EncodeBuffer>,
    pub(super) encoded: EncodeBuffer,
    pub(super) writer: TcpOwnedWriteHalf,
    pub(super) last_response_at: Instant,
    fd: RawFd,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, max_head_bytes: usize, max_body_bytes: usize) -> Self {
        let _ = stream.set_nodelay(true);
        let fd = stream.as_raw_fd();
        let encoded = EncodeBuffer::default();
        let (reader, writer) = stream.into_split();
        Self {
            reader: FramedRead::new(reader, ResponseHeads::new(max_head_bytes, max_body_bytes)),
            encoder: GenericEncoder::new(encoded.clone()),
            encoded,
            writer,
            last_response_at: clock::now(),
            fd,
        }
    }

    /// Whether the connection is open and has no unread bytes.
    fn is_usable(&self) -> bool {
        self.reader.read_buffer().is_empty() && socket::state(self.fd) == SocketState::Idle
    }
}

/// Idle connections by address, the most recently used last.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    last_sweep: Cell<Option<Instant>>,
}

impl Pool {
    /// Removes and returns the most recently used connection that `reuse` allows.
    pub(super) fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let max_age = match reuse {
            Reuse::Any => IDLE_TIMEOUT,
            Reuse::Recent => RECENT_RESPONSE_AGE,
            Reuse::Never => return None,
        };
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if now.saturating_duration_since(connection.last_response_at) > max_age {
                connections.push(connection);
                return None;
            }
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds an idle connection, or closes it if the pool has enough of its address.
    pub(super) fn put(&self, address: SocketAddr, connection: Connection) {
        self.sweep(connection.last_response_at);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    fn sweep(&self, now: Instant) {
        let last_sweep = self.last_sweep.get();
        if last_sweep.is_some_and(|s| now.saturating_duration_since(s) < SWEEP_INTERVAL) {
            return;
        }
        self.last_sweep.set(Some(now));
        let is_recent =
            |c: &Connection| now.saturating_duration_since(c.last_response_at) <= IDLE_TIMEOUT;
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| is_recent(c) && c.is_usable());
            !connections.is_empty()
        });
    }
}
