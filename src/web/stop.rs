//! Graceful stop of a server: requests in flight finish, then connections close.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use local_sync::oneshot;

use crate::clock;
use crate::notify::Notify;

/// Handle to stop a server; clones share it.
#[derive(Clone, Default)]
pub struct StopHandle {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    stopping: Cell<bool>,
    next: Cell<u64>,
    members: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    left: Notify,
}

/// One connection, or the listener, as long as it lives.
#[derive(Debug)]
pub struct Registration {
    id: u64,
    stop: StopHandle,
    told: Option<oneshot::Receiver<()>>,
}

impl StopHandle {
    /// Asks the server to stop; returns at once.
    pub fn stop(&self) {
        self.inner.stopping.set(true);
        for (_, sender) in self.inner.members.borrow_mut().iter_mut() {
            let (silent, _) = oneshot::channel();
            let _ = std::mem::replace(sender, silent).send(());
        }
    }

    /// Whether the server was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.get()
    }

    /// Connections that are open, and the listener.
    pub fn open_count(&self) -> usize {
        self.inner.members.borrow().len()
    }

    /// Waits until every connection is closed, at most `timeout`; true if they are.
    pub async fn wait_closed(&self, timeout: Duration) -> bool {
        let end = clock::now() + timeout;
        while self.open_count() > 0 {
            let left = end.saturating_duration_since(clock::now());
            if left.is_zero() {
                return false;
            }
            self.inner.left.wait(left).await;
        }
        true
    }

    /// Takes part until the member is dropped.
    pub fn register(&self) -> Registration {
        let id = self.inner.next.get();
        self.inner.next.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.inner.members.borrow_mut().insert(id, sender);
        Registration {
            id,
            stop: self.clone(),
            told: Some(receiver),
        }
    }
}

impl Registration {
    /// Whether the server was asked to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.is_stopping()
    }

    /// Waits for the first word of the stop.
    pub async fn stopped(&mut self) {
        if let Some(told) = self.told.as_mut().filter(|_| !self.stop.is_stopping()) {
            let _ = told.await;
        }
        self.told = None;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.stop.inner.members.borrow_mut().remove(&self.id);
        self.stop.inner.left.wake();
    }
}

impl fmt::Debug for StopHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StopHandle")
            .field("stopping", &self.is_stopping())
            .field("open_count", &self.open_count())
            .finish_non_exhaustive()
    }
}
