//! HTTP client with a connection pool.
//!
//! Whether a request may have run decides if it may be retried, so each error
//! says whether a byte of the request may have been sent. The connection of an
//! abandoned request is closed, so that a late response cannot be taken for the
//! response to another request.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, Method, StatusCode, header, response};
use monoio::io::AsyncWriteRentExt;
use monoio::io::sink::Sink;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio::time;
use monoio_http::h1::codec::decoder::PayloadDecoder;

pub use super::pool::{RECENT_RESPONSE_AGE, Reuse};

use super::decode::{self, ChunkedBody, DecodeError, FixedBody, Payload, UntilEnd};
use super::encode::FullBody;
use super::pool::{Connection, Pool};
use super::server;
use crate::clock;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest status line and headers together.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Options of one request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions<W>
where
    W: Fn() -> bool,
{
    /// When the request times out.
    pub deadline: Instant,
    /// Which pooled connections may be used.
    pub reuse: Reuse,
    /// Called right before the first byte is written; false cancels the request.
    pub before_write: W,
}

/// Why there is no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(Arc<str>),
    /// Bytes of the request may have been sent.
    MayHaveRun(Arc<str>),
    /// Bytes of the request may have been sent, and no response came before the deadline.
    TimedOut,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::MayHaveRun(reason) => write!(f, "sent, but {reason}"),
            Self::TimedOut => f.write_str("sent, but no answer in time"),
        }
    }
}

impl std::error::Error for SendError {}

/// Progress of sending a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendStage {
    /// Part of the request may be buffered in the codec.
    Encoding,
    /// The whole request is in the encode buffer and none of it in the codec.
    Encoded,
    /// Bytes may have been sent.
    Sent,
}

/// HTTP client; clones share the connection pool.
#[derive(Clone)]
pub struct Client {
    inner: Rc<Inner>,
}

struct Inner {
    max_body_bytes: usize,
    closing_header: Option<HeaderName>,
    pool: Pool,
}

impl Client {
    /// Creates a client; responses with a body over `max_body_bytes` are errors.
    pub fn new(max_body_bytes: usize) -> Self {
        Self::with_closing_header(max_body_bytes, None)
    }

    /// Like [`Self::new`]; a connection is closed after a response with the header
    /// `closing_header`, so that a second copy of that response reaches no other request.
    pub fn with_closing_header(max_body_bytes: usize, closing_header: Option<HeaderName>) -> Self {
        Self {
            inner: Rc::new(Inner {
                max_body_bytes,
                closing_header,
                pool: Pool::default(),
            }),
        }
    }

    /// Number of idle connections in the pool.
    pub fn idle_count(&self) -> usize {
        self.inner.pool.len()
    }

    /// Sends `request` to `address` and waits for the whole response.
    ///
    /// # Errors
    ///
    /// Any [`SendError`]. Only [`SendError::NotSent`] proves that no byte was sent.
    pub async fn send<W>(
        &self,
        address: SocketAddr,
        request: http::Request<Bytes>,
        options: SendOptions<W>,
    ) -> Result<http::Response<Bytes>, SendError>
    where
        W: Fn() -> bool,
    {
        let mut connection = match self.inner.pool.take(address, options.reuse) {
            Some(connection) => connection,
            None => self.connect(address, options.deadline).await?,
        };
        let stage = Cell::new(SendStage::Encoding);
        let exchange = self.exchange(&mut connection, request, &options.before_write, &stage);
        let (response, reusable) = match time::timeout(time_left(options.deadline)?, exchange).await
        {
            Ok(Ok(received)) => received,
            Ok(Err(error)) => {
                if stage.get() == SendStage::Encoded {
                    self.inner.pool.put(address, connection);
                }
                return Err(error);
            }
            Err(_) if stage.get() == SendStage::Sent => return Err(SendError::TimedOut),
            Err(_) => return Err(not_sent("deadline exceeded")),
        };
        if reusable {
            connection.last_response_at = clock::now();
            self.inner.pool.put(address, connection);
        }
        Ok(response)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, SendError> {
        let limit = time_left(deadline)?.min(CONNECT_TIMEOUT);
        match time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => Ok(Connection::new(
                stream,
                MAX_HEAD_BYTES,
                self.inner.max_body_bytes,
            )),
            Ok(Err(error)) => Err(SendError::NotSent(format!("connect: {error}").into())),
            Err(_) => Err(not_sent("connect timed out")),
        }
    }

    /// Sends a request and reads its response; true if the connection can be reused.
    async fn exchange<W>(
        &self,
        connection: &mut Connection,
        request: http::Request<Bytes>,
        before_write: &W,
        stage: &Cell<SendStage>,
    ) -> Result<(http::Response<Bytes>, bool), SendError>
    where
        W: Fn() -> bool,
    {
        let is_head_request = request.method() == Method::HEAD;
        write(connection, request, before_write, stage).await?;
        let (head, payload) = read_head(connection).await?;
        let until_end = is_delimited_by_close(&head, &payload, is_head_request);
        let body = if is_head_request || decode::is_bodiless(head.status) {
            Ok(Bytes::new())
        } else if until_end {
            read_until_end(connection, self.inner.max_body_bytes).await
        } else {
            read_body(connection, payload, self.inner.max_body_bytes).await
        };
        let closing_header = self.inner.closing_header.as_ref();
        let reusable = !until_end
            && server::keeps_alive(head.version, &head.headers)
            && !closing_header.is_some_and(|name| head.headers.contains_key(name));
        Ok((http::Response::from_parts(head, body?), reusable))
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("idle_count", &self.idle_count())
            .finish_non_exhaustive()
    }
}

/// Encodes a request and writes it unless `before_write` cancels it.
async fn write<W>(
    connection: &mut Connection,
    request: http::Request<Bytes>,
    before_write: &W,
    stage: &Cell<SendStage>,
) -> Result<(), SendError>
where
    W: Fn() -> bool,
{
    let request = request.map(FullBody::new);
    let codec = &mut connection.encoder;
    let encoded = match codec.send(request).await {
        Ok(()) => Sink::<http::Request<FullBody>>::flush(codec).await,
        Err(error) => Err(error),
    };
    encoded.map_err(|e| SendError::NotSent(format!("encode: {e}").into()))?;
    stage.set(SendStage::Encoded);
    let bytes = connection.encoded.take();
    if !before_write() {
        return Err(not_sent("cancelled before the first byte"));
    }
    stage.set(SendStage::Sent);
    let (written, bytes) = connection.writer.write_all(bytes).await;
    connection.encoded.recycle(bytes);
    written
        .map(|_| ())
        .map_err(|e| may_have_run_with(&e.into()))
}

/// Reads the head of the final response, skipping interim responses.
async fn read_head(connection: &mut Connection) -> Result<(response::Parts, Payload), SendError> {
    loop {
        match connection.reader.next().await {
            Some(Ok((head, _))) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(may_have_run("the server switched protocols"));
            }
            Some(Ok((head, _))) if head.status.is_informational() => {}
            Some(Ok(head)) => return Ok(head),
            Some(Err(error)) => return Err(may_have_run_with(&error)),
            None => return Err(may_have_run("the connection was closed")),
        }
    }
}

async fn read_body(
    connection: &mut Connection,
    payload: Payload,
    limit: usize,
) -> Result<Bytes, SendError> {
    let reader = &mut connection.reader;
    let body = match payload {
        PayloadDecoder::None => return Ok(Bytes::new()),
        PayloadDecoder::Fixed(inner) => reader.next_with(&mut FixedBody(inner)).await,
        PayloadDecoder::Streamed(inner) => {
            reader.next_with(&mut ChunkedBody::new(inner, limit)).await
        }
    };
    into_body(body)
}

async fn read_until_end(connection: &mut Connection, limit: usize) -> Result<Bytes, SendError> {
    let body = connection.reader.next_with(&mut UntilEnd(limit)).await;
    into_body(body)
}

fn into_body(body: Option<Result<Bytes, DecodeError>>) -> Result<Bytes, SendError> {
    match body {
        Some(Ok(body)) => Ok(body),
        Some(Err(error)) => Err(may_have_run_with(&error)),
        None => Err(may_have_run("the connection was closed within the body")),
    }
}

/// Whether the body is delimited by the end of the connection.
fn is_delimited_by_close(head: &response::Parts, payload: &Payload, is_head_request: bool) -> bool {
    let is_bodiless = is_head_request || decode::is_bodiless(head.status);
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    !is_bodiless && !has_length && matches!(payload, PayloadDecoder::None)
}

fn time_left(deadline: Instant) -> Result<Duration, SendError> {
    let left = deadline.saturating_duration_since(clock::now());
    match left {
        Duration::ZERO => Err(not_sent("deadline exceeded")),
        left => Ok(left),
    }
}

fn not_sent(reason: &str) -> SendError {
    SendError::NotSent(reason.into())
}

fn may_have_run(reason: &str) -> SendError {
    SendError::MayHaveRun(reason.into())
}

fn may_have_run_with(error: &DecodeError) -> SendError {
    SendError::MayHaveRun(error.to_string().into())
}
