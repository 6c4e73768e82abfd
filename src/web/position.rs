//! Order of requests relative to what the process that serves them had done when they were sent.
//!
//! A request may be read long after it was sent: the network held it up, or the process was
//! suspended while the bytes lay in the socket. Nothing in an HTTP request tells. The server of
//! [`serve_ordered`](super::serve_ordered) therefore notes a position, such as the index of the
//! last applied log entry, while it can see that a request is not sent yet: before a
//! connection is opened, or before it writes the response that the sender waits for. Whatever is
//! at a later position may have happened after the request was sent.

use std::os::fd::RawFd;
use std::time::Duration;

use super::socket::{self, SocketState};

/// Position in an order of events that the user of the server keeps.
pub type Position = u64;

/// Position that was reached before a request was sent, in the extensions of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentAfter(pub Position);

/// Time between two looks at a listener without connections.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// How a server learns the present position.
#[derive(Debug)]
pub(super) struct Positions<P> {
    current: Option<P>,
}

impl<P> Positions<P>
where
    P: Fn() -> Position,
{
    /// Positions read by `current`.
    pub(super) const fn tracked(current: P) -> Self {
        Self {
            current: Some(current),
        }
    }

    /// Always position 0.
    pub(super) const fn untracked() -> Self {
        Self { current: None }
    }

    /// Longest time to wait for a connection before the next call of [`Self::before_connection`].
    pub(super) const fn refresh_interval(&self) -> Duration {
        match self.current {
            Some(_) => REFRESH_INTERVAL,
            None => Duration::MAX,
        }
    }

    /// Position before the next connection of a listener is opened; `known` is that of the last call.
    pub(super) fn before_connection(&self, listener: RawFd, known: Position) -> Position {
        let Some(current) = &self.current else {
            return known;
        };
        // Read before the look at the listener, as a connection may come right after it.
        let position = current();
        if socket::has_connection(listener) {
            known
        } else {
            position
        }
    }

    /// Position before the next request of a connection is sent, if the response to the present one
    /// is about to be written; `known` is that of the present one.
    pub(super) fn before_response(&self, connection: RawFd, known: Position) -> Position {
        let Some(current) = &self.current else {
            return known;
        };
        let position = current();
        // A pipelined request doesn't wait for the response.
        match socket::state(connection) {
            SocketState::Readable => known,
            SocketState::Idle | SocketState::Closed => position,
        }
    }
}
