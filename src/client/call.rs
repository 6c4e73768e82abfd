//! HTTP/1.1 requests, each on a new connection.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};

use crate::clock;
use crate::web::client::{Client, Reuse, SendError, SendOptions};

/// Largest body of a response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Why there is no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request was sent.
    NotSent(Arc<str>),
    /// The request may have been received and run.
    MayHaveRun(Arc<str>),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) | Self::MayHaveRun(cause) => f.write_str(cause),
        }
    }
}

/// Sends a request and waits for the whole response, at most for `timeout`.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Bytes>,
    timeout: Duration,
) -> Result<HttpResponse, CallError> {
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
    let client = Client::new(MAX_RESPONSE_BYTES);
    match client.send(address, request, options).await {
        Ok(response) => Ok(HttpResponse {
            status: response.status().as_u16(),
            body: response.into_body(),
        }),
        Err(SendError::NotSent(cause)) => Err(CallError::NotSent(cause)),
        Err(SendError::MayHaveRun(cause)) => Err(CallError::MayHaveRun(cause)),
        Err(SendError::TimedOut) => Err(CallError::MayHaveRun("no answer in time".into())),
    }
}
