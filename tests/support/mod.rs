//! Shared support of the tests that run real processes.
#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed step fails the test"
)]
#![allow(dead_code, unused_imports, reason = "each test file uses only a part")]
#![allow(unreachable_pub, reason = "each test file is a crate of its own")]

pub mod cluster;
pub mod load;
pub mod relay;

pub use cluster::{Cluster, Response};
pub use load::Load;
pub use relay::Relay;
