//! Graceful stop of a server: open requests finish, then the connections close.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use local_sync::oneshot;

use crate::clock;
use crate::notify::Notify;

/// Handle that stops a server; clones stop the same server.
#[derive(Clone, Default)]
pub struct StopHandle {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    stopping: Cell<bool>,
    next_id: Cell<u64>,
    registrations: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    deregistered: Notify,
}

/// Registration of a connection or of the listener, until it is dropped.
#[derive(Debug)]
pub struct Registration {
    id: u64,
    stop: StopHandle,
    stop_receiver: Option<oneshot::Receiver<()>>,
}

impl StopHandle {
    /// Requests the stop and returns at once.
    pub fn stop(&self) {
        self.inner.stopping.set(true);
        for (_, sender) in self.inner.registrations.borrow_mut().iter_mut() {
            let (unused, _) = oneshot::channel();
            let _ = std::mem::replace(sender, unused).send(());
        }
    }

    /// Whether the stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.get()
    }

    /// Number of open connections, plus one for the listener.
    pub fn open_count(&self) -> usize {
        self.inner.registrations.borrow().len()
    }

    /// Waits up to `timeout` until the listener and all connections are closed; false on a timeout.
    pub async fn wait_closed(&self, timeout: Duration) -> bool {
        let end = clock::now() + timeout;
        while self.open_count() > 0 {
            let remaining = end.saturating_duration_since(clock::now());
            if remaining.is_zero() {
                return false;
            }
            self.inner.deregistered.wait(remaining).await;
        }
        true
    }

    /// Registers a connection, or the listener.
    pub fn register(&self) -> Registration {
        let id = self.inner.next_id.get();
        self.inner.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.inner.registrations.borrow_mut().insert(id, sender);
        Registration {
            id,
            stop: self.clone(),
            stop_receiver: Some(receiver),
        }
    }
}

impl Registration {
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.is_stopping()
    }

    /// Waits until the stop is requested; returns at once when called again after that.
    pub async fn stopped(&mut self) {
        if let Some(stop_receiver) = self
            .stop_receiver
            .as_mut()
            .filter(|_| !self.stop.is_stopping())
        {
            let _ = stop_receiver.await;
        }
        self.stop_receiver = None;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.stop.inner.registrations.borrow_mut().remove(&self.id);
        self.stop.inner.deregistered.wake();
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
