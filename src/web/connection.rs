//! Connections whose messages are streamed.
//!
//! [`super::serve`] and [`super::Client`] handle whole messages; an
//! [`HttpConnection`] returns what has arrived so far. A read waits until the
//! socket is readable before it allocates a buffer, so that an idle connection
//! holds none and a cancelled read loses no bytes.

use std::fmt;
use std::io;
use std::os::fd::AsRawFd;
use std::pin::pin;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, request, response};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::PayloadDecoder;

use super::burst::Burst;
use super::decode::{self, DecodeError, Payload, RequestHeads, ResponseHeads};
use super::socket::{self, SocketState};

const READ_BUFFER_BYTES: usize = 8 << 10;

/// Most bytes of blank lines before a request.
const MAX_BLANK_BYTES: usize = 256;

/// Longest size line of a chunk, chunk extensions included.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Limit for all trailers of a body together.
const MAX_TRAILER_BYTES: usize = 4 << 10;

/// Connection with the bytes that were read and not yet decoded.
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    received_bytes: u64,
    /// Bytes of blank lines that were skipped before the next request.
    blank_bytes: usize,
    burst: Burst,
}

impl HttpConnection {
    /// Wraps a stream from which nothing was read.
    pub fn new(stream: TcpStream) -> Self {
        // Nagle's algorithm would hold small messages back until the other end acknowledges.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=web.nodelay error={:?}", error.to_string());
        }
        Self {
            stream,
            buffer: BytesMut::new(),
            received_bytes: 0,
            blank_bytes: 0,
            burst: Burst::default(),
        }
    }

    /// Like [`Self::new`]; the connection fails once sent bytes have
    /// stayed unacknowledged for `timeout`.
    pub fn with_ack_timeout(stream: TcpStream, timeout: Duration) -> Self {
        if let Err(error) = socket::set_ack_timeout(stream.as_raw_fd(), timeout) {
            log::debug!("event=web.unwatched error={:?}", error.to_string());
        }
        Self::new(stream)
    }

    /// Like [`Self::with_ack_timeout`]; dropping the connection resets it, so that sent bytes which
    /// the other end has not received are never delivered.
    pub fn with_reset(stream: TcpStream, timeout: Duration) -> Self {
        if let Err(error) = socket::set_reset_on_close(stream.as_raw_fd()) {
            log::debug!("event=web.no_reset error={:?}", error.to_string());
        }
        Self::with_ack_timeout(stream, timeout)
    }

    /// Reads into the buffer; returns the number of bytes, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// An I/O error of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.burst.pause_if_long().await;
        {
            let readable = pin!(self.stream.readable(false));
            self.burst.run(readable).await?;
        }
        let (read, bytes) = self
            .stream
            .read(Vec::with_capacity(READ_BUFFER_BYTES))
            .await;
        let length = read?;
        let bytes = bytes.get(..length).unwrap_or(&bytes);
        self.buffer.extend_from_slice(bytes);
        self.received_bytes = self.received_bytes.saturating_add(length as u64);
        Ok(length)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// An I/O error of the connection; some bytes may have been written.
    pub async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.burst.pause_if_long().await;
        let writing = pin!(self.stream.write_all(bytes));
        let (written, _) = self.burst.run(writing).await;
        written.map(|_| ())
    }

    /// Shuts down the writing side.
    ///
    /// # Errors
    ///
    /// An I/O error of the connection.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Number of bytes read since the start of the connection.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Number of bytes read and not yet decoded.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the connection is open and has no undecoded or unread bytes.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && socket::state(self.stream.as_raw_fd()) == SocketState::Idle
    }

    /// Whether the next request is a `HEAD` request, as far as it has arrived.
    pub fn starts_with_head_request(&self) -> bool {
        decode::starts_with_head_request(&self.buffer)
    }

    /// Decodes a request head; `None` until all of it has arrived.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a malformed head or one over the limits; the connection cannot be used
    /// after that.
    pub fn decode_request_head(
        &mut self,
        limits: HeadLimits,
    ) -> Result<Option<RequestHead>, DecodeError> {
        let body = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
        let mut heads = RequestHeads::new(limits.head_bytes, body);
        let buffered = self.buffer.len();
        match heads.decode(&mut self.buffer)? {
            Decoded::Some((parts, payload)) => {
                self.blank_bytes = 0;
                Ok(Some(RequestHead {
                    body: BodyReader::new(&payload, &parts.headers, true),
                    parts,
                }))
            }
            Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => {
                self.blank_bytes += buffered - self.buffer.len();
                match self.blank_bytes {
                    0..=MAX_BLANK_BYTES => Ok(None),
                    _ => Err(DecodeError::Malformed("blank lines without a request")),
                }
            }
        }
    }

    /// Decodes a response head; `None` until all of it has arrived.
    ///
    /// `bodiless` is set for the response to a `HEAD` request.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a malformed head or one over the limits; the connection cannot be used
    /// after that.
    pub fn decode_response_head(
        &mut self,
        limits: HeadLimits,
        bodiless: bool,
    ) -> Result<Option<ResponseHead>, DecodeError> {
        let body = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
        let mut heads = ResponseHeads::new(limits.head_bytes, body);
        match heads.decode(&mut self.buffer)? {
            Decoded::Some((parts, payload)) => {
                let bodiless = bodiless || decode::is_bodiless(parts.status);
                let body = if bodiless {
                    BodyReader::Done
                } else {
                    BodyReader::new(&payload, &parts.headers, false)
                };
                Ok(Some(ResponseHead { parts, body }))
            }
            Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => Ok(None),
        }
    }

    /// Decodes what has arrived of a body.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a malformed body; the connection cannot be used after that.
    pub fn next_body_event(&mut self, body: &mut BodyReader) -> Result<BodyEvent, DecodeError> {
        body.next_event(&mut self.buffer)
    }

    /// Reads and discards what arrives, until the end of the stream or `timeout`.
    pub async fn linger(&mut self, timeout: Duration) {
        let discard_all = async {
            while self.fill().await.is_ok_and(|length| length > 0) {
                self.buffer.clear();
            }
        };
        // The timeout ends a connection whose other end keeps sending.
        drop(monoio::time::timeout(timeout, discard_all).await);
    }
}

impl fmt::Debug for HttpConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpConnection")
            .field("fd", &self.stream.as_raw_fd())
            .field("buffered_bytes", &self.buffered_bytes())
            .finish_non_exhaustive()
    }
}

/// Limits that are checked with a head.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// Largest head.
    pub head_bytes: usize,
    /// Largest `content-length`.
    pub body_bytes: u64,
}

/// Request head with the reader of the body.
#[derive(Debug)]
pub struct RequestHead {
    /// Request line and headers.
    pub parts: request::Parts,
    /// Reader of the body.
    pub body: BodyReader,
}

/// Response head with the reader of the body.
#[derive(Debug)]
pub struct ResponseHead {
    /// Status line and headers.
    pub parts: response::Parts,
    /// Reader of the body.
    pub body: BodyReader,
}

/// Result of decoding the next part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// Bytes of the body.
    Data(Bytes),
    /// More bytes have to be read first.
    NeedMore,
    /// The body is complete.
    End,
}

/// State of reading a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyReader {
    /// The body is complete.
    Done,
    /// Number of bytes left of a body with `content-length`.
    Length(u64),
    /// Before the size line of a chunk.
    ChunkSize,
    /// Number of bytes left of a chunk.
    Chunk(u64),
    /// Before the line end after a chunk.
    ChunkEnd,
    /// In the trailers; number of trailer bytes discarded so far.
    Trailers(usize),
    /// The body ends with the connection.
    UntilEnd,
}

impl BodyReader {
    fn new(payload: &Payload, headers: &HeaderMap, request: bool) -> Self {
        let length = headers.get(http::header::CONTENT_LENGTH);
        let length = length.and_then(|l| l.to_str().ok()?.parse().ok());
        match (payload, length) {
            (PayloadDecoder::Streamed(_), _) => Self::ChunkSize,
            (_, Some(0)) => Self::Done,
            (_, Some(length)) => Self::Length(length),
            (_, None) if request => Self::Done,
            (_, None) => Self::UntilEnd,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        *self == Self::Done
    }

    fn next_event(&mut self, buffer: &mut BytesMut) -> Result<BodyEvent, DecodeError> {
        loop {
            match *self {
                Self::Done => return Ok(BodyEvent::End),
                _ if buffer.is_empty() => return Ok(BodyEvent::NeedMore),
                Self::UntilEnd => return Ok(BodyEvent::Data(buffer.split().freeze())),
                Self::Length(left) => {
                    let (data, left) = split_up_to(buffer, left);
                    *self = if left == 0 {
                        Self::Done
                    } else {
                        Self::Length(left)
                    };
                    return Ok(BodyEvent::Data(data));
                }
                Self::Chunk(left) => {
                    let (data, left) = split_up_to(buffer, left);
                    *self = if left == 0 {
                        Self::ChunkEnd
                    } else {
                        Self::Chunk(left)
                    };
                    return Ok(BodyEvent::Data(data));
                }
                Self::ChunkEnd if buffer.starts_with(b"\r\n") => {
                    buffer.advance(2);
                    *self = Self::ChunkSize;
                }
                Self::ChunkEnd if b"\r\n".starts_with(buffer) => return Ok(BodyEvent::NeedMore),
                Self::ChunkEnd => return Err(DecodeError::Malformed("chunk without end")),
                Self::ChunkSize => match decode_chunk_size(buffer)? {
                    Some(0) => *self = Self::Trailers(0),
                    Some(size) => *self = Self::Chunk(size),
                    None => return Ok(BodyEvent::NeedMore),
                },
                Self::Trailers(discarded) => match discard_trailer(buffer, discarded)? {
                    Some(0) => *self = Self::Done,
                    Some(length) => *self = Self::Trailers(discarded + length),
                    None => return Ok(BodyEvent::NeedMore),
                },
            }
        }
    }
}

fn split_up_to(buffer: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let length = usize::try_from(left)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    let data = buffer.split_to(length).freeze();
    (data, left - length as u64)
}

/// Removes the size line of a chunk; `None` until all of it has arrived.
fn decode_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, DecodeError> {
    let malformed = DecodeError::Malformed("malformed chunk size");
    if !buffer.first().is_some_and(u8::is_ascii_hexdigit) {
        return Err(malformed);
    }
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() < MAX_CHUNK_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(malformed),
    }
}

/// Discards one trailer and returns the length, 0 for the empty line at the end;
/// `None` until all of it has arrived.
fn discard_trailer(buffer: &mut BytesMut, discarded: usize) -> Result<Option<usize>, DecodeError> {
    let end = buffer.windows(2).position(|w| w == b"\r\n");
    let length = end.unwrap_or(buffer.len());
    if discarded + length > MAX_TRAILER_BYTES {
        return Err(DecodeError::Malformed("trailers too large"));
    }
    if end.is_some() {
        buffer.advance(length + 2);
    }
    Ok(end)
}
