//! Start of the monoio runtime and of tasks that may fail alone.
//!
//! The runtime uses the legacy (epoll) driver, as `io_uring` is not used on the target machines.

use std::cell::Cell;
use std::pin::pin;

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::web::guard;

thread_local! {
    /// Tasks of this thread that ended with a panic; a daemon runs all its tasks in one thread.
    static PANICKED_TASKS: Cell<u64> = const { Cell::new(0) };
}

/// Runs `work` to completion on a new runtime of this thread.
///
/// # Panics
///
/// Panics if the operating system provides no event queue.
pub fn run<F>(work: F) -> F::Output
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the operating system provides an event queue");
    runtime.block_on(work)
}

/// Starts a task for one connection or one call; a panic ends the task and not the process.
///
/// The panic is logged and counted. What the task owned is dropped, so its connection closes and the
/// other end learns that there is no response.
pub fn spawn_contained<F>(name: &'static str, task: F)
where
    F: Future<Output = ()> + 'static,
{
    monoio::spawn(async move {
        if guard::catch_panic(pin!(task)).await.is_none() {
            let count = PANICKED_TASKS.get() + 1;
            PANICKED_TASKS.set(count);
            log::error!("event=runtime.panic task={name} count={count}");
        }
    });
}

/// Number of tasks of this thread that ended with a panic.
pub fn panicked_tasks() -> u64 {
    PANICKED_TASKS.get()
}

#[cfg(test)]
mod tests;
