//! The entry daemon.

pub mod proxy;
