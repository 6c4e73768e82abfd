//! The entry daemon: serves callers and routes each request to its owner.
//!
//! Each entry VM runs [`daemon::run`]. Callers' requests go through the
//! [`proxy`]; backend servers announce themselves at [`announce`]; operators
//! and the platform's balancer ask at [`operator`].

pub mod announce;
pub mod callers;
pub mod daemon;
pub mod metrics;
pub mod operator;
pub mod proxy;
