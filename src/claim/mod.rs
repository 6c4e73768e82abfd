//! Claims: requests that run at most once and whose success must survive.
//!
//! Before a claim is sent to a backend server, the entry VM puts a record
//! under the claim's id into the replicated log, unless there is one
//! ([`store`]). The outcome is added to the record before the caller hears of
//! success. A second request with the same id, through whatever entry VM,
//! finds the record and gets its outcome. [`client`] is the entry VM's side.

pub mod client;
pub mod messages;
pub mod store;
#[cfg(test)]
mod tests;

pub use client::ClaimClient;
pub use messages::{Applied, Change, ClaimKey, Lookup, Outcome};
pub use store::Store;
