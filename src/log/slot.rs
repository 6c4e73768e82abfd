//! A result that another thread leaves for a task.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread;

/// Where the result is left; clones share it.
pub(super) struct Slot<T> {
    shared: Arc<Mutex<Shared<T>>>,
}

struct Shared<T> {
    result: Option<T>,
    waker: Option<Waker>,
}

/// Waits for the result; await it in a spawned task only.
pub(super) struct Done<T> {
    shared: Arc<Mutex<Shared<T>>>,
}

impl<T> Slot<T> {
    /// An empty slot and what waits for it.
    pub(super) fn new() -> (Self, Done<T>) {
        let shared = Arc::new(Mutex::new(Shared {
            result: None,
            waker: None,
        }));
        let done = Done {
            shared: Arc::clone(&shared),
        };
        (Self { shared }, done)
    }

    /// Leaves the result and wakes who waits.
    pub(super) fn finish(&self, result: T) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.result = Some(result);
        let waker = shared.waker.take();
        drop(shared);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl<T> Future for Done<T> {
    type Output = T;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(result) = shared.result.take() {
            return Poll::Ready(result);
        }
        shared.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// Does long work in a thread of its own, so that the tasks of this one go on.
///
/// `None` if the system gives no thread.
pub(super) async fn aside<T, F>(work: F) -> Option<T>
where
    T: Send + 'static,
    F: FnOnce() -> T + Send + 'static,
{
    let (slot, done) = Slot::new();
    let thread = thread::Builder::new().name("log-aside".into());
    thread.spawn(move || slot.finish(work())).ok()?;
    Some(done.await)
}
