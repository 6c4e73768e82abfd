//! Registration of backend servers and assignment of key ranges to them.
//!
//! The control VMs keep both in the replicated log: the known servers ([`store`])
//! and the owner and fence of each key range ([`ranges`]). A backend server sends
//! its heartbeats to any control VM, which forwards them to the leader. The
//! leader's [`coordinator`] responds with the ranges that the server owns and their
//! lease. State that only the leader needs, such as the expiry of a lease, stays in
//! its memory ([`leases`]); a new leader waits out the leases that it can't know.
//! [`plan`] decides which ranges move. Entry VMs follow the state by [`updates`];
//! large ones are compressed ([`encoding`]).
//!
//! A range changes its owner in two steps. First the log names the next owner, and
//! from then on the lease of the present one no longer covers the range. Once the
//! present owner has reported that it released the range, is proved to have ended,
//! or its lease has expired, the next heartbeat of the new owner is answered with
//! the range and a fence above all earlier ones. A refused connection doesn't prove
//! that a server has ended: a network partition may cause it as well.

pub mod call_leases;
mod cold;
pub mod coordinator;
pub mod daemon;
mod delivery;
pub mod due_calls;
pub mod encoding;
pub mod evacuation;
pub mod frontend;
pub mod grant_client;
pub mod leases;
mod leaving;
pub mod load;
pub mod messages;
pub mod model;
pub mod plan;
pub mod ranges;
pub mod reassign;
pub mod registration;
pub mod store;
#[cfg(test)]
mod tests;
pub mod updates;

pub use model::{Incarnation, Key, KeyRange, Server, ServerState, Vm, VmRole};
pub use store::{Change, Effect, Ordered, Store};
