//! The times that leases are built from, all in one place.
//!
//! From the loss of a backend server to its keys being served again:
//! [`SERVER_LEASE`] from its last heartbeat, [`CLOCK_ALLOWANCE`], one
//! [`GRANT_PASS_INTERVAL`] until the decision, at most one [`HEARTBEAT_INTERVAL`] until the next
//! owner asks, one round trip until it confirms, and one until the entry VMs
//! have the route. The sum stays under one second.

use std::time::Duration;

/// Time between heartbeats of a backend server to its carrier.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Lease of a backend server, from the moment it sent the heartbeat.
pub const SERVER_LEASE: Duration = Duration::from_millis(500);

/// Added to every wait for another process's lease, for clocks that run at different speed.
pub const CLOCK_ALLOWANCE: Duration = Duration::from_millis(20);

/// Time between looks of a carrier at its leases.
pub const GRANT_PASS_INTERVAL: Duration = Duration::from_millis(20);

/// How long a vote for a carrier counts.
pub const PRIMARY_LEASE: Duration = Duration::from_millis(300);

/// Time between renewals of a carrier at the control VMs.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// How long an entry VM may use a route map, from the moment it asked for it.
pub const ROUTE_LEASE: Duration = Duration::from_millis(500);

/// Longest that a question for news is held open.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(100);
