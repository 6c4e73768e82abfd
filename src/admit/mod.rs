//! Admission control: orders requests by rank and sheds load before it reaches a backend server.
//!
//! Each entry VM keeps a [`Limiter`] for each backend server that it routes to. The
//! limiter bounds the requests in flight and queues a few more, ordered by rank.
//! Entry VMs don't coordinate: a limit starts at the server's slots, shrinks when the
//! server sheds requests and grows again while it serves them, so that the limiters of
//! several entry VMs converge on shares of the server.
//!
//! When the queue is full, requests of the lowest rank are shed first. A shed request
//! was never sent, so its verdict is `not-run`.

pub mod budget;
pub mod limit;
pub mod limiter;
#[cfg(test)]
mod tests;

pub use budget::RetryBudget;
pub use limiter::{Limiter, Limiters, Permit, Shed};
