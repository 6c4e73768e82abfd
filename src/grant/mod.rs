//! Grants: which backend server owns which spans.
//!
//! A backend server asks its zone's carrier for its lease every
//! [`crate::timing::HEARTBEAT`]. The answer lists its grants and extends one
//! lease over all of them, counted by the server from the moment it asked, so
//! that an answer that arrives late cannot prolong anything.

pub mod granter;
pub mod granters;
mod heartbeat;
mod map;
pub mod messages;
mod moves;
pub mod overview;
mod report;
mod server;
mod shard;
mod state;
mod subscriber;
mod takeover;
mod tick;
mod transitions;

#[cfg(test)]
mod tests;

pub use granter::{Granter, InheritedState, LeaseHooks, PullError, RecordVote, ValidUntil};
pub use granters::Granters;
pub use messages::{Grant, LeaseRequest, LeaseResponse};
