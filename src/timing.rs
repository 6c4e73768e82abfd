//! Durations of leases, and the intervals that depend on them.
//!
//! After a backend server fails, its keys are unavailable for [`SERVER_LEASE`]
//! from the last heartbeat, [`CLOCK_ALLOWANCE`], one [`GRANT_PASS_INTERVAL`]
//! until the spans are assigned, at most one [`HEARTBEAT_INTERVAL`] until the next
//! owner asks for its grants, one round trip until it confirms them, and one
//! until the entry VMs have the route. The sum stays under one second.

use std::time::Duration;

/// Interval of heartbeats from a backend server to the primary.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Lease of a backend server, counted from when it sent the heartbeat.
pub const SERVER_LEASE: Duration = Duration::from_millis(500);

/// Added to every wait for the end of another process's lease, as clocks may run
/// at different rates.
pub const CLOCK_ALLOWANCE: Duration = Duration::from_millis(20);

/// Interval of the passes in which a primary checks the leases it granted.
pub const GRANT_PASS_INTERVAL: Duration = Duration::from_millis(20);

/// Validity of a vote for a primary.
pub const PRIMARY_LEASE: Duration = Duration::from_millis(300);

/// Interval at which a primary renews its lease with the control VMs.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// Validity of a route map on an entry VM, counted from when the VM requested it.
pub const ROUTE_LEASE: Duration = Duration::from_millis(500);

/// Longest time for which a long poll waits for updates.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(100);
