//! One HTTP/1.1 call on a connection of its own.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Version, header};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::Body;
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::payload::{FixedPayload, Payload, PayloadError};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of an answer, in bytes.
const REPLY_BYTES_MAX: usize = 64 << 20;

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
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
    body: Option<Vec<u8>>,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let not_sent = |cause: &dyn fmt::Display| CallError::NotSent(cause.to_string().into());
    let request = request(address, method, path, body).map_err(|e| not_sent(&e))?;
    let connecting = TcpStream::connect(address);
    let stream = monoio::time::timeout(timeout.min(CONNECT_TIMEOUT), connecting)
        .await
        .map_err(|_| not_sent(&"connect timed out"))?
        .map_err(|e| not_sent(&e))?;
    match monoio::time::timeout(timeout, exchange(stream, request)).await {
        Ok(result) => result.map_err(CallError::MayHaveRun),
        Err(_) => Err(CallError::MayHaveRun("no answer in time".into())),
    }
}

type Outgoing = Payload<Bytes, PayloadError>;

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<Request<Outgoing>, http::Error> {
    let payload = match body {
        Some(body) => Payload::Fixed(FixedPayload::new(Bytes::from(body))),
        None => Payload::None,
    };
    Request::builder()
        .method(method)
        .uri(path)
        .version(Version::HTTP_11)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::CONNECTION, "close")
        .body(payload)
}

async fn exchange(stream: TcpStream, request: Request<Outgoing>) -> Result<Reply, Arc<str>> {
    let mut codec = ClientCodec::new(stream);
    let sent = codec.send_and_flush(request).await;
    sent.map_err(|e| Arc::from(e.to_string()))?;
    let answer = codec.next().await.ok_or("closed without an answer")?;
    let answer = answer.map_err(|e| Arc::from(e.to_string()))?;
    let status = answer.status().as_u16();
    let length = answer.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|l| l.to_str().ok()?.parse().ok());
    if length.is_some_and(|l: usize| l > REPLY_BYTES_MAX) {
        return Err("the answer is too large".into());
    }
    let mut payload = answer.into_body().with_io(codec);
    let mut body = Vec::new();
    while let Some(part) = payload.next_data().await {
        body.extend_from_slice(&part.map_err(|e| Arc::from(e.to_string()))?);
        if body.len() > REPLY_BYTES_MAX {
            return Err("the answer is too large".into());
        }
    }
    Ok(Reply { status, body })
}
