//! Delegations: which entry VM grants keys of a service in a zone, and for how long.
//!
//! The replicated log records, for each service and zone, the spans delegated
//! to the zone, the primary and an epoch. Every change of primary, voters,
//! lease term or spans takes a higher epoch, and fences are derived from the
//! epoch ([`messages::fence`]), so fences grow through every failover.
//!
//! A primary may be active only while a majority of its voters has confirmed it
//! within [`crate::timing::PRIMARY_LEASE`] and its lease term has not expired.
//! Voters are a few entry VMs of the zone; the control VMs add one vote where
//! the count is even. Thus a zone that is partitioned from the control VMs
//! keeps its primary for the lease term, and a primary that fails is replaced
//! without waiting for the term.

pub mod events;
pub mod handler;
pub mod lease;
pub mod manager;
pub mod messages;
pub mod planner;
mod rebalance;
pub mod renew;
mod selection;
mod served;
mod state;
pub mod store;
pub mod takeover;
#[cfg(test)]
mod tests;
pub mod view;
pub mod voter;
pub mod watch;

pub use lease::PrimaryLease;
pub use manager::DelegationManager;
pub use messages::{Delegation, fence};
pub use planner::Planner;
pub use store::Store;
pub use view::View;
pub use voter::Voter;
