//! Calls between the system's own processes.
//!
//! Messages are JSON-RPC 2.0 objects of `jsonrpsee-types`, one in each frame
//! of a TCP connection: four bytes of length, then the JSON. Many calls share
//! a connection and may be answered in any order. Every message carries the
//! sender's clock stamp for the time line.
//!
//! A [`Peer`] is the calling side, [`serve`] the answering side. A connection
//! that stays silent after a call has timed out is given up, since something
//! between the two ends may have lost track of it.

pub mod client;
pub mod error;
pub mod frame;
pub mod server;
#[cfg(test)]
mod tests;

pub use client::Peer;
pub use error::{CallError, Fault};
pub use server::{RpcResult, serve};
