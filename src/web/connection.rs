//! Connections whose messages are passed on piece by piece.
//!
//! Where [`super::serve`] and [`super::Client`] deal in whole messages, a
//! [`HttpConnection`] gives what has arrived so far. Reading waits for the socket to be
//! readable before it takes a buffer, so an idle connection holds none, and a
//! read that is given up loses nothing.

use std::fmt;
use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, request, response};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::PayloadDecoder;

use super::decode::{self, DecodeError, Payload, RequestHeads, ResponseHeads};
use super::socket::{self, SocketState};

/// Bytes read at once.
const READ_BYTES: usize = 8 << 10;

/// Bytes of a chunk's size line, its extensions included.
const CHUNK_LINE_BYTES: usize = 256;

/// Bytes of all trailers of a body.
const TRAILER_BYTES: usize = 4 << 10;

/// A connection and what was read from it but not yet taken.
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl HttpConnection {
    /// A connection of which nothing was read.
    pub fn new(stream: TcpStream) -> Self {
        // Without it small messages wait for the other end's acknowledgement.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=web.nodelay error={:?}", error.to_string());
        }
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// The same, broken once the other end has acknowledged nothing for `silent`.
    pub fn with_ack_timeout(stream: TcpStream, silent: Duration) -> Self {
        if let Err(error) = socket::set_ack_timeout(stream.as_raw_fd(), silent) {
            log::debug!("event=web.unwatched error={:?}", error.to_string());
        }
        Self::new(stream)
    }

    /// Reads more; 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.stream.readable(false).await?;
        let (read, bytes) = self.stream.read(Vec::with_capacity(READ_BYTES)).await;
        let length = read?;
        let bytes = bytes.get(..length).unwrap_or(&bytes);
        self.buffer.extend_from_slice(bytes);
        Ok(length)
    }

    /// Writes all of it.
    ///
    /// # Errors
    ///
    /// The connection's error; part of it may have been written.
    pub async fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let (written, _) = self.stream.write_all(bytes).await;
        written.map(|_| ())
    }

    /// Says that nothing more will be written.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Bytes read and not yet taken.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether it is open and nothing has arrived that was not taken.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && socket::state(self.stream.as_raw_fd()) == SocketState::Idle
    }

    /// Takes a request head, if all of it has arrived.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is none; the connection is of no more use then.
    pub fn decode_request_head(
        &mut self,
        limits: HeadLimits,
    ) -> Result<Option<RequestHead>, DecodeError> {
        let body = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
        let mut heads = RequestHeads::new(limits.head_bytes, body);
        match heads.decode(&mut self.buffer)? {
            Decoded::Some((parts, payload)) => Ok(Some(RequestHead {
                body: BodyReader::new(&payload, &parts.headers, true),
                parts,
            })),
            Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => Ok(None),
        }
    }

    /// Takes a response head, if all of it has arrived; `bodiless` if its request was a `HEAD`.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is none; the connection is of no more use then.
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

    /// Takes what has arrived of a body.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is none; the connection is of no more use then.
    pub fn next_body_event(&mut self, body: &mut BodyReader) -> Result<BodyEvent, DecodeError> {
        body.take(&mut self.buffer)
    }

    /// Reads and drops what arrives, until the end of the connection or `limit`.
    pub async fn linger(&mut self, limit: Duration) {
        let drop_all = async {
            while self.fill().await.is_ok_and(|length| length > 0) {
                self.buffer.clear();
            }
        };
        // The limit is what ends a connection whose other end goes on sending.
        drop(monoio::time::timeout(limit, drop_all).await);
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

/// What a head may ask for.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// Bytes of the head.
    pub head_bytes: usize,
    /// Bytes of the body, if it has a length.
    pub body_bytes: u64,
}

/// Head of a request, and how its body is read.
#[derive(Debug)]
pub struct RequestHead {
    /// The head.
    pub parts: request::Parts,
    /// The body.
    pub body: BodyReader,
}

/// Head of a response, and how its body is read.
#[derive(Debug)]
pub struct ResponseHead {
    /// The head.
    pub parts: response::Parts,
    /// The body.
    pub body: BodyReader,
}

/// Part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// Some bytes.
    Data(Bytes),
    /// Nothing before more has arrived.
    NeedMore,
    /// There is no more.
    End,
}

/// Where the reading of a body stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyReader {
    /// All of it was taken.
    Done,
    /// So many bytes are left.
    Length(u64),
    /// The size of the next chunk comes next.
    ChunkSize,
    /// So many bytes of a chunk are left.
    Chunk(u64),
    /// The line end after a chunk comes next.
    ChunkEnd,
    /// Trailers come next; so many bytes of them were dropped.
    Trailers(usize),
    /// It ends with the connection.
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

    /// Whether all of it was taken.
    pub fn is_done(&self) -> bool {
        *self == Self::Done
    }

    fn take(&mut self, buffer: &mut BytesMut) -> Result<BodyEvent, DecodeError> {
        loop {
            match *self {
                Self::Done => return Ok(BodyEvent::End),
                _ if buffer.is_empty() => return Ok(BodyEvent::NeedMore),
                Self::UntilEnd => return Ok(BodyEvent::Data(buffer.split().freeze())),
                Self::Length(left) => {
                    let (data, left) = split(buffer, left);
                    *self = if left == 0 {
                        Self::Done
                    } else {
                        Self::Length(left)
                    };
                    return Ok(BodyEvent::Data(data));
                }
                Self::Chunk(left) => {
                    let (data, left) = split(buffer, left);
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
                Self::ChunkSize => match chunk_size(buffer)? {
                    Some(0) => *self = Self::Trailers(0),
                    Some(size) => *self = Self::Chunk(size),
                    None => return Ok(BodyEvent::NeedMore),
                },
                Self::Trailers(dropped) => match trailer(buffer, dropped)? {
                    Some(0) => *self = Self::Done,
                    Some(length) => *self = Self::Trailers(dropped + length),
                    None => return Ok(BodyEvent::NeedMore),
                },
            }
        }
    }
}

fn split(buffer: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let length = usize::try_from(left)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    let data = buffer.split_to(length).freeze();
    (data, left - length as u64)
}

/// Takes the size line of a chunk; `None` if not all of it has arrived.
fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, DecodeError> {
    let malformed = DecodeError::Malformed("malformed chunk size");
    if !buffer.first().is_some_and(u8::is_ascii_hexdigit) {
        return Err(malformed);
    }
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() < CHUNK_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(malformed),
    }
}

/// Drops one trailer; its length, 0 for the empty line after the last.
fn trailer(buffer: &mut BytesMut, dropped: usize) -> Result<Option<usize>, DecodeError> {
    let end = buffer.windows(2).position(|w| w == b"\r\n");
    let length = end.unwrap_or(buffer.len());
    if dropped + length > TRAILER_BYTES {
        return Err(DecodeError::Malformed("trailers too large"));
    }
    if end.is_some() {
        buffer.advance(length + 2);
    }
    Ok(end)
}
