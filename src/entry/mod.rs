//! The entry daemon: serves callers and routes each request to its owner.
//!
//! Each entry VM runs [`daemon::run`]. Callers' requests go through the
//! [`proxy`]; backend servers send their heartbeats to [`heartbeat`]; operators
//! and the platform's load balancer use [`operator`].

pub mod callers;
pub mod daemon;
pub mod heartbeat;
pub mod metrics;
pub mod operator;
pub mod proxy;
