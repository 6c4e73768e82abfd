//! Errors of RPC calls and the codes of faults.

use std::fmt;
use std::sync::Arc;

use serde_json::Value;

/// Fault code: the parameters are malformed.
pub const BAD_REQUEST: i32 = -32602;

/// Fault code: the method does not exist.
pub const UNKNOWN_METHOD: i32 = -32601;

/// Fault code: another control VM is the leader.
pub const NOT_LEADER: i32 = 1;

/// Fault code: the request was refused and had no effect.
pub const REFUSED: i32 = 2;

/// Fault code: the request may or may not have taken effect.
pub const OUTCOME_UNKNOWN: i32 = 3;

/// JSON-RPC error object.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// One of the codes of this module.
    pub code: i32,
    /// Reason as text for people.
    pub message: Arc<str>,
    /// Details for programs.
    pub data: Option<Value>,
}

impl Fault {
    /// Creates a fault without `data`.
    pub fn new(code: i32, message: &str) -> Self {
        Self {
            code,
            message: message.into(),
            data: None,
        }
    }
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallError {
    /// The connection could not be opened; the request was not sent.
    Unreachable(Arc<str>),
    /// The connection was lost after the request was queued; the request may have been executed.
    ConnectionLost,
    /// No response before the timeout; the request may have been executed.
    TimedOut,
    /// The request or the response could not be encoded or decoded.
    Malformed(Arc<str>),
    /// The peer returned a fault.
    Fault(Fault),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::ConnectionLost => f.write_str("connection lost"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
            Self::Fault(fault) => write!(f, "fault {}: {}", fault.code, fault.message),
        }
    }
}

impl std::error::Error for CallError {}
