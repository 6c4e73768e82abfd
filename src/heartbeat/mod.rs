//! Announcements: how backend servers make themselves known.
//!
//! There is no list of backend servers. Each asks any entry VM of its zone for
//! its lease, `POST /v1/lease`; the VM answers itself if it is the carrier for
//! the service, and else names the carrier. What is heard is also told to the
//! control VMs, so that they delegate a service once it has servers.

mod check;
pub mod handler;

#[cfg(test)]
mod tests;

pub use handler::{FindPrimary, Handler, HeartbeatResponse};
