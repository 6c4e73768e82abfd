//! A wake-up call to every task that waits for a change.

use std::cell::RefCell;
use std::fmt;
use std::time::Duration;

use local_sync::oneshot;

/// Wakes waiting tasks of this thread; keeps nothing for later ones.
#[derive(Default)]
pub struct Notify {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Notify {
    /// Waits for the next [`Notify::wake`], at most `timeout`; true if woken.
    pub async fn wait(&self, timeout: Duration) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        let woken = monoio::time::timeout(timeout, receiver).await.is_ok();
        if !woken {
            self.waiting.borrow_mut().retain(|s| !s.is_closed());
        }
        woken
    }

    /// How many tasks wait now.
    pub fn waiter_count(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Wakes every task that waits now.
    pub fn wake(&self) {
        for sender in self.waiting.take() {
            let _ = sender.send(());
        }
    }
}

impl fmt::Debug for Notify {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Notify").finish_non_exhaustive()
    }
}
