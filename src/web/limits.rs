//! Limits of a server, for each connection and for all connections together.

use std::time::Duration;

/// Limits and timeouts of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest request head, request line included.
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Greatest number of open connections.
    pub max_connections: usize,
    /// Longest time from the start of a connection to its first byte.
    pub first_byte_timeout: Duration,
    /// Longest time from the first byte of a request to the end of its headers.
    pub head_timeout: Duration,
    /// Longest time from the end of the headers to the end of the body.
    pub body_timeout: Duration,
    /// Longest time for writing a response.
    pub write_timeout: Duration,
    /// Longest time between two requests of a connection.
    pub idle_timeout: Duration,
    /// Longest wait for one last request on an idle connection after the stop was requested.
    pub stop_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            max_connections: 4096,
            first_byte_timeout: Duration::from_secs(10),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
            stop_timeout: Duration::from_millis(500),
        }
    }
}
