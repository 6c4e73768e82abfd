//! The calling side: requests over kept connections.
//!
//! Whether a request may have run decides if it may be sent again, so each
//! failure says whether a byte of the request may have left. A request that
//! is given up takes its connection with it: a late answer meets nobody.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode, header, response};
use monoio::io::AsyncWriteRentExt;
use monoio::io::sink::Sink;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio::time;
use monoio_http::h1::codec::decoder::PayloadDecoder;

pub use super::pool::{RECENT, Reuse};

use super::decode::{self, ChunkedBody, DecodeError, FixedBody, Payload, UntilEnd};
use super::encode::Whole;
use super::pool::{Connection, Pool};
use super::server;
use crate::clock;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Bytes of a status line and its headers.
const HEAD_BYTES: usize = 16 << 10;

/// How to send one request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions<W>
where
    W: Fn() -> bool,
{
    /// When to give up.
    pub deadline: Instant,
    /// Which connections to take.
    pub reuse: Reuse,
    /// Last look before the first byte leaves; on false nothing is sent.
    pub before_write: W,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request has left.
    NotSent(Arc<str>),
    /// Bytes may have left.
    MayHaveRun(Arc<str>),
    /// Bytes may have left, and there was no answer until the deadline.
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

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Part of it may stand in the codec.
    Encoding,
    /// All of it stands in memory, and nothing in the codec.
    Encoded,
    /// Bytes may have left.
    Sent,
}

/// Sends requests; clones share their connections.
#[derive(Clone)]
pub struct Client {
    inner: Rc<Inner>,
}

struct Inner {
    body_limit: usize,
    pool: Pool,
}

impl Client {
    /// A client that takes answers of at most `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        Self {
            inner: Rc::new(Inner {
                body_limit,
                pool: Pool::default(),
            }),
        }
    }

    /// Connections that are kept and idle.
    pub fn idle(&self) -> usize {
        self.inner.pool.len()
    }

    /// Sends `request` to `address` and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only with proof that no byte has left.
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
        let step = Cell::new(Step::Encoding);
        let exchange = self.exchange(&mut connection, request, &options.before_write, &step);
        let (response, reusable) = match time::timeout(left(options.deadline)?, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                if step.get() == Step::Encoded {
                    self.inner.pool.put(address, connection);
                }
                return Err(error);
            }
            Err(_) if step.get() == Step::Sent => return Err(SendError::TimedOut),
            Err(_) => return Err(not_sent("deadline over")),
        };
        if reusable {
            connection.answered = clock::now();
            self.inner.pool.put(address, connection);
        }
        Ok(response)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, SendError> {
        let limit = left(deadline)?.min(CONNECT_TIMEOUT);
        match time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => Ok(Connection::new(stream, HEAD_BYTES, self.inner.body_limit)),
            Ok(Err(error)) => Err(SendError::NotSent(format!("connect: {error}").into())),
            Err(_) => Err(not_sent("connect timed out")),
        }
    }

    /// Sends a request and reads its answer; also whether the connection can be kept.
    async fn exchange<W>(
        &self,
        connection: &mut Connection,
        request: http::Request<Bytes>,
        before_write: &W,
        step: &Cell<Step>,
    ) -> Result<(http::Response<Bytes>, bool), SendError>
    where
        W: Fn() -> bool,
    {
        let is_head = request.method() == Method::HEAD;
        write(connection, request, before_write, step).await?;
        let (head, payload) = read_head(connection).await?;
        let until_end = ends_with_connection(&head, &payload, is_head);
        let body = if is_head || decode::is_bodiless(head.status) {
            Ok(Bytes::new())
        } else if until_end {
            read_until_end(connection, self.inner.body_limit).await
        } else {
            read_body(connection, payload, self.inner.body_limit).await
        };
        let reusable = !until_end && server::keeps_alive(head.version, &head.headers);
        Ok((http::Response::from_parts(head, body?), reusable))
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("idle", &self.idle())
            .finish_non_exhaustive()
    }
}

/// Encodes a request, looks a last time and writes it.
async fn write<W>(
    connection: &mut Connection,
    request: http::Request<Bytes>,
    before_write: &W,
    step: &Cell<Step>,
) -> Result<(), SendError>
where
    W: Fn() -> bool,
{
    let request = request.map(Whole::new);
    let codec = &mut connection.encoder;
    let encoded = match codec.send(request).await {
        Ok(()) => Sink::<http::Request<Whole>>::flush(codec).await,
        Err(error) => Err(error),
    };
    encoded.map_err(|e| SendError::NotSent(format!("encode: {e}").into()))?;
    step.set(Step::Encoded);
    let bytes = connection.encoded.take();
    if !before_write() {
        return Err(not_sent("refused at the last step"));
    }
    step.set(Step::Sent);
    let (written, bytes) = connection.writer.write_all(bytes).await;
    connection.encoded.restore(bytes);
    written.map(|_| ()).map_err(|e| broken(&e.into()))
}

/// Reads the head of the answer, past interim ones.
async fn read_head(connection: &mut Connection) -> Result<(response::Parts, Payload), SendError> {
    loop {
        match connection.reader.next().await {
            Some(Ok((head, _))) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(may_have_run("the other end left HTTP"));
            }
            Some(Ok((head, _))) if head.status.is_informational() => {}
            Some(Ok(head)) => return Ok(head),
            Some(Err(error)) => return Err(broken(&error)),
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
    complete(body)
}

async fn read_until_end(connection: &mut Connection, limit: usize) -> Result<Bytes, SendError> {
    let body = connection.reader.next_with(&mut UntilEnd(limit)).await;
    complete(body)
}

fn complete(body: Option<Result<Bytes, DecodeError>>) -> Result<Bytes, SendError> {
    match body {
        Some(Ok(body)) => Ok(body),
        Some(Err(error)) => Err(broken(&error)),
        None => Err(may_have_run("the answer broke off")),
    }
}

/// Whether only the end of the connection ends the body.
fn ends_with_connection(head: &response::Parts, payload: &Payload, is_head: bool) -> bool {
    let is_bodiless = is_head || decode::is_bodiless(head.status);
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    !is_bodiless && !has_length && matches!(payload, PayloadDecoder::None)
}

fn left(deadline: Instant) -> Result<Duration, SendError> {
    let left = deadline.saturating_duration_since(clock::now());
    match left {
        Duration::ZERO => Err(not_sent("deadline over")),
        left => Ok(left),
    }
}

fn not_sent(reason: &str) -> SendError {
    SendError::NotSent(reason.into())
}

fn may_have_run(reason: &str) -> SendError {
    SendError::MayHaveRun(reason.into())
}

fn broken(error: &DecodeError) -> SendError {
    SendError::MayHaveRun(error.to_string().into())
}
