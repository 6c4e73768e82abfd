//! What the tests with real processes share.
#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test that cannot go on ends here"
)]
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]
#![allow(unreachable_pub, reason = "each test file is a crate of its own")]

pub mod fleet;
pub mod load;
pub mod relay;

pub use fleet::{Fleet, Reply};
pub use load::Load;
pub use relay::Relay;
