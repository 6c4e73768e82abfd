//! Notification of all tasks that wait for a change.

use std::cell::RefCell;
use std::fmt;
use std::time::Duration;

use local_sync::oneshot;

/// Wakes all tasks of this thread that are waiting; a wait that begins later is not affected.
#[derive(Default)]
pub struct Notify {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Notify {
    /// Waits up to `timeout` for the next [`Notify::wake`]; false on a timeout.
    pub async fn wait(&self, timeout: Duration) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push(sender);
        let woken = monoio::time::timeout(timeout, receiver).await.is_ok();
        if !woken {
            self.waiters.borrow_mut().retain(|s| !s.is_closed());
        }
        woken
    }

    /// Number of waiting tasks.
    pub fn waiter_count(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Wakes all waiting tasks.
    pub fn wake(&self) {
        for sender in self.waiters.take() {
            let _ = sender.send(());
        }
    }
}

impl fmt::Debug for Notify {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Notify").finish_non_exhaustive()
    }
}
