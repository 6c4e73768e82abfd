//! Start of the monoio runtime.
//!
//! The runtime uses the legacy (epoll) driver, as `io_uring` is not used on the target machines.

use monoio::{LegacyDriver, RuntimeBuilder};

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
