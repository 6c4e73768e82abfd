//! Grants: which backend server owns which spans.
//!
//! A backend server renews its lease at the primary of its zone every
//! [`crate::timing::HEARTBEAT_INTERVAL`]. The response lists the server's grants and
//! extends one lease over all of them. The server counts the lease from the
//! moment it sent the request, so a late response cannot extend it.

pub mod granter;
pub mod granters;
mod heartbeat;
mod map;
pub mod messages;
mod moves;
pub mod overview;
mod pass;
mod report;
mod server;
mod shard;
mod state;
mod subscriber;
mod takeover;
mod transitions;

#[cfg(test)]
mod tests;

pub use granter::{Granter, InheritedState, LeaseHooks, PullError, RecordVote, ValidUntil};
pub use granters::Granters;
pub use messages::{Grant, LeaseRequest, LeaseResponse};
