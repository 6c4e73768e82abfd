//! Claims: requests that run at most once and whose outcome is durable.
//!
//! Before a claim is sent to a backend server, the entry VM creates a record
//! under the claim's id in the replicated log, unless there is one
//! ([`store`]). The outcome is added to the record before the caller gets a
//! success. A second request with the same id, through any entry VM, finds the
//! record and returns its outcome. Entry VMs access the records through
//! [`client`].

pub mod client;
pub mod messages;
pub mod store;
#[cfg(test)]
mod tests;

pub use client::ClaimClient;
pub use messages::{Applied, Change, ClaimKey, Lookup, Outcome};
pub use store::Store;
