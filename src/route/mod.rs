//! Route maps: how an entry VM knows the owner of a key.
//!
//! A carrier keeps a versioned map of its spans. Every entry VM that routes to
//! them holds a question open at the carrier and gets changes at once, as
//! deltas. A map may be used for [`crate::timing::ROUTE_LEASE`] from the moment
//! the question was sent, so a carrier knows when every older map has run out.
//! A voter's question is also its vote for the carrier.

pub mod load;
pub mod map;
pub mod messages;
pub mod pull;
pub mod table;
#[cfg(test)]
mod tests;

pub use messages::{PullRequest, PullResponse, Route, ServerInfo};
pub use table::{Lookup, Owner, Table};
