//! Heartbeats of backend servers.
//!
//! There is no list of backend servers. Each server requests its lease from any
//! entry VM of its zone, `POST /v1/lease`. The VM grants the lease if it is the
//! primary for the service, and else names the primary. Recent heartbeats are
//! also reported to the control VMs, so that they delegate a service once it
//! has servers.

mod check;
pub mod handler;

#[cfg(test)]
mod tests;

pub use handler::{FindPrimary, Handler, HeartbeatResponse};
