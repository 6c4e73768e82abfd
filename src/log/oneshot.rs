//! A oneshot channel that delivers a result from another thread to a task.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread;

/// Sending half.
pub(super) struct Sender<T> {
    shared: Arc<Mutex<Shared<T>>>,
}

struct Shared<T> {
    result: Option<T>,
    waker: Option<Waker>,
}

/// Receiving half, a future of the result; it must be awaited in a spawned task.
pub(super) struct Receiver<T> {
    shared: Arc<Mutex<Shared<T>>>,
}

impl<T> Sender<T> {
    /// Creates both halves of a channel.
    pub(super) fn new() -> (Self, Receiver<T>) {
        let shared = Arc::new(Mutex::new(Shared {
            result: None,
            waker: None,
        }));
        let receiver = Receiver {
            shared: Arc::clone(&shared),
        };
        (Self { shared }, receiver)
    }

    /// Delivers the result and wakes the receiving task.
    pub(super) fn send(&self, result: T) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.result = Some(result);
        let waker = shared.waker.take();
        drop(shared);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl<T> Future for Receiver<T> {
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

/// Runs long work on a new thread, so that the tasks of this thread go on.
///
/// `None` if the thread can't be started.
pub(super) async fn run_blocking<T, F>(work: F) -> Option<T>
where
    T: Send + 'static,
    F: FnOnce() -> T + Send + 'static,
{
    let (sender, receiver) = Sender::new();
    let thread = thread::Builder::new().name("log-aside".into());
    thread.spawn(move || sender.send(work())).ok()?;
    Some(receiver.await)
}
