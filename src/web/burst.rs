//! Pauses of connections that never have to wait.
//!
//! All tasks of a daemon share one thread, and a task gives it back only where it waits. If the other
//! end of a connection sends and reads faster than this one works, reads and writes are always ready, and
//! no other task would run: not even the timer of a time limit. So a connection pauses after a burst of
//! such operations.

use std::future;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use monoio::time;

use crate::clock;

/// Consecutive operations without a wait after which the burst is timed; most connections never get there.
const UNTIMED_OPERATIONS: u32 = 16;

/// Longest burst, counted from when it is timed.
const MAX_BURST: Duration = Duration::from_millis(5);

/// Pause after a burst: the shortest in which timers advance as well.
const PAUSE: Duration = Duration::from_millis(1);

/// Operations of a connection since it last had to wait.
#[derive(Debug, Default)]
pub(super) struct Burst {
    operations: u32,
    since: Option<Instant>,
}

impl Burst {
    /// Pauses if the burst is long.
    ///
    /// Called before an operation: a read that is dropped while it pauses afterwards would lose its bytes.
    pub(super) async fn pause_if_long(&mut self) {
        let is_long = |since| clock::now() >= since + MAX_BURST;
        if self.since.is_some_and(is_long) {
            // Boxed, because each connection would otherwise reserve space for the timer.
            Box::pin(time::sleep(PAUSE)).await;
            *self = Self::default();
        }
    }

    /// Runs an operation and counts it unless it has to wait.
    pub(super) async fn run<F>(&mut self, mut operation: Pin<&mut F>) -> F::Output
    where
        F: Future,
    {
        let first = future::poll_fn(|cx| Poll::Ready(operation.as_mut().poll(cx))).await;
        if let Poll::Ready(output) = first {
            self.operations = self.operations.saturating_add(1);
            if self.operations >= UNTIMED_OPERATIONS {
                self.since.get_or_insert_with(clock::now);
            }
            return output;
        }
        *self = Self::default();
        operation.await
    }
}
