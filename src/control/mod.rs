//! The control daemon: the replicated state and those who ask for it.

pub mod api;
pub mod command;
pub mod peers;

pub use command::{Applied, Command};
