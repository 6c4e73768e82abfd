//! Limits a panic to the task in which it occurs.
//!
//! A panic in a spawned task would end the process. Untrusted bytes reach code
//! of libraries too, so every connection runs inside [`catch_panic`].

use std::future;
use std::panic::{self, AssertUnwindSafe};
use std::pin::Pin;
use std::task::Poll;

/// Runs `work`; `None` if it panicked, after which it must not be polled again.
pub async fn catch_panic<F>(mut work: Pin<&mut F>) -> Option<F::Output>
where
    F: Future,
{
    future::poll_fn(|cx| {
        let polled = panic::catch_unwind(AssertUnwindSafe(|| work.as_mut().poll(cx)));
        match polled {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(output)) => Poll::Ready(Some(output)),
            Err(_) => Poll::Ready(None),
        }
    })
    .await
}
