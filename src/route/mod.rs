//! Route maps, by which entry VMs find the owner of a key.
//!
//! A primary keeps a versioned map of its spans. Every entry VM that routes to
//! them keeps a long poll open at the primary and gets changes immediately, as
//! updates. A map may be used for [`crate::timing::ROUTE_LEASE`] from the moment
//! the request was sent, so the primary knows when every older map has expired.
//! A voter's pull request is also its vote for the primary.

pub mod load;
pub mod map;
pub mod messages;
pub mod pull;
pub mod table;
#[cfg(test)]
mod tests;

pub use messages::{PullRequest, PullResponse, Route, ServerInfo};
pub use table::{Lookup, Owner, Table};
