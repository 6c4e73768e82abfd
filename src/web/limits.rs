//! What a server allows one connection, and all of them together.

use std::time::Duration;

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a request line and its headers.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Connections at a time.
    pub connections: usize,
    /// Time to the first byte of a new connection.
    pub first_byte: Duration,
    /// Time from the first byte of a request to the end of its headers.
    pub head: Duration,
    /// Time for the body.
    pub body: Duration,
    /// Time that an answer may take to write.
    pub write: Duration,
    /// Time that a connection may stay open between two requests.
    pub idle: Duration,
    /// Time that an idle connection gets for one last request once the server stops.
    pub leave: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            connections: 4096,
            first_byte: Duration::from_secs(10),
            head: Duration::from_secs(5),
            body: Duration::from_secs(10),
            write: Duration::from_secs(10),
            idle: Duration::from_mins(1),
            leave: Duration::from_millis(500),
        }
    }
}
