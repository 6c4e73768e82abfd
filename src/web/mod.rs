//! HTTP/1.1 server and client, for callers, backend servers and operators.
//!
//! The codecs are those of `monoio-http`. They have no limits and accept some
//! requests whose length two parsers may read differently (request smuggling),
//! so [`decode`] checks bytes and headers around them. [`serve`] serves
//! connections within [`Limits`]. A [`Client`] pools connections, and its errors
//! say whether a byte of the request may have been sent.

mod burst;
pub mod client;
pub mod decode;
pub mod encode;
pub mod guard;
pub mod json;
pub mod limits;
pub mod pool;
pub mod position;
pub mod race;
pub mod retry_after;

pub mod connection;
pub mod server;
pub mod socket;
pub mod stop;
#[cfg(test)]
mod tests;

pub use client::{Client, Reuse, SendError, SendOptions};
pub use limits::Limits;

pub use position::{Position, SentAfter};
pub use server::{serve, serve_ordered};
pub use socket::Caller;
pub use stop::StopHandle;
