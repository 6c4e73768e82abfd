//! HTTP/1.1 towards callers, backend servers and operators.
//!
//! The codecs are those of `monoio-http`. They bound nothing and let some
//! requests through on whose length two parsers may disagree, so [`decode`]
//! checks bytes and headers around them. [`serve`] answers connections within
//! [`Limits`]; a [`Client`] keeps connections and says of each failure whether
//! a byte of the request may have left.

pub mod client;
pub mod decode;
pub mod encode;
pub mod guard;
pub mod json;
pub mod limits;
pub mod pool;
pub mod race;

pub mod connection;
pub mod server;
pub mod socket;
pub mod stop;
#[cfg(test)]
mod tests;

pub use client::{Client, Reuse, SendError, SendOptions};
pub use limits::Limits;

pub use server::serve;
pub use socket::Caller;
pub use stop::StopHandle;
