//! The monoio runtime that every process runs on.
//!
//! Always the legacy driver: `io_uring` is not used on the machines this runs on.

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `work` on a new runtime of this thread and returns its output.
///
/// # Panics
///
/// Panics if the operating system gives no event queue.
pub fn run<F>(work: F) -> F::Output
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the operating system gives an event queue");
    runtime.block_on(work)
}
