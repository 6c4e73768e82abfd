//! RPC client.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::mpsc::unbounded as queue;
use local_sync::oneshot;
use monoio::io::{AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::{CallError, Fault};
use super::frame::{self, Envelope};
use crate::clock;
use crate::timeline::Journal;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Client of one process; clones share the connection.
#[derive(Clone)]
pub struct Peer {
    inner: Rc<Inner>,
}

struct Inner {
    address: SocketAddr,
    journal: Journal,
    next_id: Cell<u64>,
    connection: RefCell<Option<Rc<Connection>>>,
}

/// Open connection and the calls that wait for a response.
struct Connection {
    outgoing: queue::Tx<Vec<u8>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<Result<Envelope, Fault>>>>,
    last_received: Cell<Instant>,
    closed: Cell<bool>,
}

impl Peer {
    /// Creates a client for `address`; connects on the first call.
    pub fn new(address: SocketAddr, journal: Journal) -> Self {
        Self {
            inner: Rc::new(Inner {
                address,
                journal,
                next_id: Cell::new(1),
                connection: RefCell::default(),
            }),
        }
    }

    /// Address that calls are sent to.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Calls `method` and waits up to `timeout` for the result.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]. Only [`CallError::Unreachable`] proves that the request was not sent.
    pub async fn call<Q, A>(
        &self,
        method: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = serde_json::value::to_raw_value(request).map_err(|e| malformed(&e))?;
        let connection = self.connection(timeout.min(CONNECT_TIMEOUT)).await?;
        let id = self.inner.next_id.get();
        self.inner.next_id.set(id + 1);
        let envelope = Envelope {
            timestamp: self.inner.journal.next_timestamp(),
            body,
        };
        let frame = frame::encode_call(id, method, &envelope).map_err(|e| malformed(&e))?;
        let (sender, receiver) = oneshot::channel();
        let sent_at = clock::now();
        connection.pending.borrow_mut().insert(id, sender);
        let _pending = PendingCall {
            connection: &connection,
            id,
        };
        connection
            .outgoing
            .send(frame)
            .map_err(|_| CallError::ConnectionLost)?;
        let Ok(response) = monoio::time::timeout(timeout, receiver).await else {
            self.drop_if_silent(&connection, sent_at);
            return Err(CallError::TimedOut);
        };
        let envelope = response
            .map_err(|_| CallError::ConnectionLost)?
            .map_err(CallError::Fault)?;
        self.inner.journal.observe(envelope.timestamp);
        serde_json::from_str(envelope.body.get()).map_err(|e| malformed(&e))
    }

    async fn connection(&self, timeout: Duration) -> Result<Rc<Connection>, CallError> {
        if let Some(connection) = self.inner.connection.borrow().as_ref()
            && !connection.closed.get()
        {
            return Ok(Rc::clone(connection));
        }
        let stream = monoio::time::timeout(timeout, TcpStream::connect(self.inner.address))
            .await
            .map_err(|_| CallError::Unreachable("connect timed out".into()))?
            .map_err(|e| CallError::Unreachable(e.to_string().into()))?;
        // A concurrent call may have connected too: both connections work, the later one is kept.
        // Calls work without the option, only slower.
        let _ = stream.set_nodelay(true);
        let connection = start(stream);
        *self.inner.connection.borrow_mut() = Some(Rc::clone(&connection));
        Ok(connection)
    }

    fn drop_if_silent(&self, connection: &Rc<Connection>, sent_at: Instant) {
        if connection.last_received.get() > sent_at {
            return;
        }
        connection.closed.set(true);
        let mut current = self.inner.connection.borrow_mut();
        if current.as_ref().is_some_and(|c| Rc::ptr_eq(c, connection)) {
            *current = None;
        }
    }
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peer")
            .field("address", &self.inner.address)
            .finish_non_exhaustive()
    }
}

/// Removes a call from the pending ones when its future ends or is dropped.
struct PendingCall<'a> {
    connection: &'a Connection,
    id: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.connection.pending.borrow_mut().remove(&self.id);
    }
}

fn start(stream: TcpStream) -> Rc<Connection> {
    let (reader, writer) = stream.into_split();
    let (outgoing, frames) = queue::channel();
    let connection = Rc::new(Connection {
        outgoing,
        pending: RefCell::default(),
        last_received: Cell::new(clock::now()),
        closed: Cell::new(false),
    });
    monoio::spawn(read_responses(reader, Rc::downgrade(&connection)));
    monoio::spawn(write_frames(writer, frames));
    connection
}

async fn read_responses(mut reader: TcpOwnedReadHalf, connection: std::rc::Weak<Connection>) {
    while let Ok(bytes) = frame::read(&mut reader).await {
        let Some(connection) = connection.upgrade() else {
            return;
        };
        connection.last_received.set(clock::now());
        let Some(response) = frame::decode_response(&bytes) else {
            break;
        };
        let sender = connection.pending.borrow_mut().remove(&response.id);
        if let Some(sender) = sender {
            let _ = sender.send(response.result);
        }
    }
    if let Some(connection) = connection.upgrade() {
        connection.closed.set(true);
        connection.pending.borrow_mut().clear();
    }
}

async fn write_frames(mut writer: TcpOwnedWriteHalf, mut frames: queue::Rx<Vec<u8>>) {
    while let Some(frame) = frames.recv().await {
        let (result, _) = writer.write_all(frame).await;
        if result.is_err() {
            break;
        }
    }
    let _ = monoio::io::AsyncWriteRent::shutdown(&mut writer).await;
}

fn malformed(error: &serde_json::Error) -> CallError {
    CallError::Malformed(error.to_string().into())
}
