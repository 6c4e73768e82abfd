//! One HTTP/1.1 call on a connection of its own.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};

use crate::clock;
use crate::web::client::{Client, Reuse, SendError, SendOptions};

/// Largest body of an answer, in bytes.
const REPLY_BYTES_MAX: usize = 64 << 20;

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request left.
    NotSent(Arc<str>),
    /// The request may have arrived.
    MayHaveRun(Arc<str>),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) | Self::MayHaveRun(cause) => f.write_str(cause),
        }
    }
}

/// Calls `path` at `address` and waits for the whole answer at most `timeout`.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Bytes>,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(body.unwrap_or_default())
        .map_err(|e| CallError::NotSent(e.to_string().into()))?;
    let options = SendOptions {
        deadline: clock::now() + timeout,
        reuse: Reuse::Never,
        before_write: || true,
    };
    let client = Client::new(REPLY_BYTES_MAX);
    match client.send(address, request, options).await {
        Ok(answer) => Ok(Reply {
            status: answer.status().as_u16(),
            body: answer.into_body(),
        }),
        Err(SendError::NotSent(cause)) => Err(CallError::NotSent(cause)),
        Err(SendError::MayHaveRun(cause)) => Err(CallError::MayHaveRun(cause)),
        Err(SendError::TimedOut) => Err(CallError::MayHaveRun("no answer in time".into())),
    }
}
