//! Requests and responses with JSON bodies.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::client::{Client, Reuse, SendError, SendOptions};
use crate::clock;

const JSON_MEDIA_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// Failure of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonError {
    /// There was no response.
    Send(SendError),
    /// The response has a status other than success.
    Status {
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
        body: Bytes,
    },
    /// The request or the response could not be encoded or decoded.
    Malformed(Arc<str>),
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(error) => error.fmt(f),
            Self::Status { status, body } => {
                write!(f, "status {status}: {}", String::from_utf8_lossy(body))
            }
            Self::Malformed(reason) => write!(f, "malformed: {reason}"),
        }
    }
}

impl std::error::Error for JsonError {}

/// Sends `body` as JSON and decodes the JSON response.
///
/// # Errors
///
/// [`JsonError`]; its `Status` variant for any status other than success.
pub async fn call<Q, A>(
    client: &Client,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Q,
    timeout: Duration,
) -> Result<A, JsonError>
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let body = serde_json::to_vec(body).map_err(|e| JsonError::Malformed(e.to_string().into()))?;
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, JSON_MEDIA_TYPE)
        .body(Bytes::from(body))
        .map_err(|e| JsonError::Malformed(e.to_string().into()))?;
    let options = SendOptions {
        deadline: clock::now() + timeout,
        reuse: Reuse::Recent,
        before_write: || true,
    };
    let response = client.send(address, request, options).await;
    read(response.map_err(JsonError::Send)?)
}

/// Decodes the JSON body of a response.
///
/// # Errors
///
/// [`JsonError`]; its `Status` variant for any status other than success.
pub fn read<A>(response: http::Response<Bytes>) -> Result<A, JsonError>
where
    A: DeserializeOwned,
{
    if !response.status().is_success() {
        return Err(JsonError::Status {
            status: response.status(),
            body: response.into_body(),
        });
    }
    serde_json::from_slice(response.body()).map_err(|e| JsonError::Malformed(e.to_string().into()))
}

/// Creates a response with a JSON body.
pub fn response<A>(status: StatusCode, value: &A) -> http::Response<Bytes>
where
    A: Serialize,
{
    let (status, body) = match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            (status, error.to_string().into_bytes())
        }
    };
    let mut response = http::Response::new(Bytes::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, JSON_MEDIA_TYPE);
    response
}
