//! Connection to a backend server.
//!
//! All attempts of a request carry the caller's id, so the id of a response doesn't tell which
//! attempt it answers: a server may send a response twice, and the second copy may arrive after the
//! retry. A connection therefore carries each id once. A response with the id of a request then
//! answers the only attempt of that request on its connection.

use std::cell::Cell;
use std::fmt;

use http::HeaderValue;
use xxhash_rust::xxh3;

use crate::web::connection::HttpConnection;

/// Requests after which a connection is closed, which bounds the ids to remember.
const MAX_REQUESTS: usize = 256;

/// Connection to a backend server and the requests that it has carried.
#[derive(Debug)]
pub struct BackendConnection {
    /// The connection itself.
    pub http: HttpConnection,
    id: u64,
    request_count: usize,
    /// Truncated hashes of the ids; a collision only costs a new connection.
    request_ids: Vec<u32>,
}

/// Connection that an attempt was sent on, for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Id of the connection, unique in this process.
    pub id: u64,
    /// Requests that the connection carried before.
    pub earlier_requests: usize,
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
            request_ids: Vec::new(),
        }
    }

    /// Whether a response to a request with this id could not be one to an earlier request.
    pub fn can_carry(&self, request_id: Option<&HeaderValue>) -> bool {
        match request_id {
            None => self.request_count == 0,
            Some(id) => !self.is_exhausted() && !self.request_ids.contains(&hash(id)),
        }
    }

    /// Whether the connection carries no further request.
    pub fn is_exhausted(&self) -> bool {
        self.request_count >= MAX_REQUESTS
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, request_id: Option<&HeaderValue>) -> ConnectionUse {
        let earlier_requests = self.request_count;
        self.request_ids.extend(request_id.map(hash));
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

fn hash(request_id: &HeaderValue) -> u32 {
    let hash = xxh3::xxh3_64(request_id.as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}
