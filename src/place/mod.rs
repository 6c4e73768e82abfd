//! Placement policy: which backend server should own which span.
//!
//! Pure functions over a primary's data; they keep no state and read no clock.
//! Free spans go to the server with the lowest utilization. Spans are moved off
//! a live server only while the imbalance exceeds a tolerance, which follows
//! from the document's weights.

mod assign;
pub mod baseline;
pub mod model;
mod rebalance;

#[cfg(test)]
mod tests;

pub use assign::assign;
pub use model::{Assignment, Plan, Server, Shard, Split, Weights};
pub use rebalance::{imbalance, rebalance};
