//! RPC between the processes of the system.
//!
//! Messages are JSON-RPC 2.0 objects of `jsonrpsee-types`, one per frame of a
//! TCP connection: a length of four bytes, then the JSON. Calls are multiplexed
//! over one connection, and responses may arrive in any order. Every message
//! carries a timestamp of its sender for the time line.
//!
//! [`Peer`] is the client and [`serve`] the server. When a call times out and
//! nothing has arrived since it was sent, its connection is dropped, as a
//! device on the path may have lost the connection's state.

pub mod client;
pub mod error;
pub mod frame;
pub mod server;
#[cfg(test)]
mod tests;

pub use client::Peer;
pub use error::{CallError, Fault};
pub use server::{RpcResult, serve};
