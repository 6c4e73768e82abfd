//! Placement: which backend server should own which span.
//!
//! Pure functions over what a carrier knows; they hold no state and read no
//! clock. Free spans go to the server with the least load for its capacity, and spans
//! leave a living server only while the load is uneven beyond a tolerance that
//! the document's weights give.

mod assign;
pub mod baseline;
pub mod model;
mod rebalance;

#[cfg(test)]
mod tests;

pub use assign::assign;
pub use model::{Assignment, Plan, Server, Shard, Split, Weights};
pub use rebalance::{imbalance, rebalance};
