//! The calling side of a connection.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The calling side towards one process; clones share its connection.
#[derive(Clone)]
pub struct Peer {
    inner: Rc<Inner>,
}

struct Inner {
    address: SocketAddr,
    journal: Journal,
    next: Cell<u64>,
    link: RefCell<Option<Rc<Link>>>,
}

/// One connection and the calls that wait on it.
struct Link {
    out: queue::Tx<Vec<u8>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Result<Envelope, Fault>>>>,
    heard: Cell<Instant>,
    closed: Cell<bool>,
}

impl Peer {
    /// A peer at `address`; connects on the first call.
    pub fn new(address: SocketAddr, journal: Journal) -> Self {
        Self {
            inner: Rc::new(Inner {
                address,
                journal,
                next: Cell::new(1),
                link: RefCell::default(),
            }),
        }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Calls `method` and waits for its result at most `timeout`.
    ///
    /// # Errors
    ///
    /// [`CallError::Unreachable`] only if the request was never sent.
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
        let link = self.link(timeout.min(CONNECT_TIMEOUT)).await?;
        let id = self.inner.next.get();
        self.inner.next.set(id + 1);
        let envelope = Envelope {
            stamp: self.inner.journal.stamp(),
            body,
        };
        let frame = frame::encode_call(id, method, &envelope).map_err(|e| malformed(&e))?;
        let (sender, receiver) = oneshot::channel();
        let sent = clock::now();
        link.waiting.borrow_mut().insert(id, sender);
        let _waiting = Waiting { link: &link, id };
        link.out
            .send(frame)
            .map_err(|_| CallError::ConnectionLost)?;
        let Ok(answer) = monoio::time::timeout(timeout, receiver).await else {
            self.give_up_if_silent(&link, sent);
            return Err(CallError::TimedOut);
        };
        let envelope = answer
            .map_err(|_| CallError::ConnectionLost)?
            .map_err(CallError::Fault)?;
        self.inner.journal.observe(envelope.stamp);
        serde_json::from_str(envelope.body.get()).map_err(|e| malformed(&e))
    }

    async fn link(&self, timeout: Duration) -> Result<Rc<Link>, CallError> {
        if let Some(link) = self.inner.link.borrow().as_ref()
            && !link.closed.get()
        {
            return Ok(Rc::clone(link));
        }
        let stream = monoio::time::timeout(timeout, TcpStream::connect(self.inner.address))
            .await
            .map_err(|_| CallError::Unreachable("connect timed out".into()))?
            .map_err(|e| CallError::Unreachable(e.to_string().into()))?;
        // Another call may have connected meanwhile; both links work, the later one stays.
        let _ = stream.set_nodelay(true);
        let link = start(stream);
        *self.inner.link.borrow_mut() = Some(Rc::clone(&link));
        Ok(link)
    }

    fn give_up_if_silent(&self, link: &Rc<Link>, sent: Instant) {
        if link.heard.get() > sent {
            return;
        }
        link.closed.set(true);
        let mut current = self.inner.link.borrow_mut();
        if current.as_ref().is_some_and(|l| Rc::ptr_eq(l, link)) {
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

/// Forgets a call when its future ends or is dropped.
struct Waiting<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.link.waiting.borrow_mut().remove(&self.id);
    }
}

fn start(stream: TcpStream) -> Rc<Link> {
    let (reader, writer) = stream.into_split();
    let (out, frames) = queue::channel();
    let link = Rc::new(Link {
        out,
        waiting: RefCell::default(),
        heard: Cell::new(clock::now()),
        closed: Cell::new(false),
    });
    monoio::spawn(read_replies(reader, Rc::downgrade(&link)));
    monoio::spawn(write_frames(writer, frames));
    link
}

async fn read_replies(mut reader: TcpOwnedReadHalf, link: std::rc::Weak<Link>) {
    while let Ok(bytes) = frame::read(&mut reader).await {
        let Some(link) = link.upgrade() else { return };
        link.heard.set(clock::now());
        let Some(reply) = frame::decode_reply(&bytes) else {
            break;
        };
        let sender = link.waiting.borrow_mut().remove(&reply.id);
        if let Some(sender) = sender {
            let _ = sender.send(reply.result);
        }
    }
    if let Some(link) = link.upgrade() {
        link.closed.set(true);
        link.waiting.borrow_mut().clear();
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
