//! Admission: which request goes to a backend server next, and which is shed.
//!
//! Each entry VM keeps a [`Limiter`] for each backend server it routes to. The
//! limiter lets a limited number of requests through at a time and queues a few
//! more, ordered by rank. Entry VMs do not ask each other: a limiter's limit
//! starts at the server's slots, shrinks when the server sheds and grows again
//! while it serves, so that the limiters of several entry VMs settle on shares.
//!
//! When the queue is full, the lowest rank is shed first. A request that was
//! shed never left, so its verdict is `not-run`.

pub mod budget;
pub mod limit;
pub mod limiter;
#[cfg(test)]
mod tests;

pub use budget::RetryBudget;
pub use limiter::{Limiter, Limiters, Permit, Shed};
