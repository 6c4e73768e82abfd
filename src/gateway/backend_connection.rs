//! Connection to a backend server.

use std::cell::Cell;
use std::fmt;

use crate::web::connection::HttpConnection;

/// Connection to a backend server, with the number of requests that it has carried.
#[derive(Debug)]
pub struct BackendConnection {
    /// The connection itself.
    pub http: HttpConnection,
    id: u64,
    request_count: u64,
}

/// Connection that an attempt was sent on, for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Id of the connection, unique in this process.
    pub id: u64,
    /// Requests that the connection carried before.
    pub earlier_requests: u64,
}

thread_local! {
    static NEXT_ID: Cell<u64> = const { Cell::new(1) };
}

impl BackendConnection {
    /// Wraps a connection that has carried no request.
    pub fn new(http: HttpConnection) -> Self {
        let id = NEXT_ID.get();
        NEXT_ID.set(id.wrapping_add(1));
        Self {
            http,
            id,
            request_count: 0,
        }
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self) -> ConnectionUse {
        let earlier_requests = self.request_count;
        self.request_count += 1;
        ConnectionUse {
            id: self.id,
            earlier_requests,
        }
    }
}

impl fmt::Display for ConnectionUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "connection={} earlier_requests={}",
            self.id, self.earlier_requests
        )
    }
}
