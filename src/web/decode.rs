//! Checks around the decoders of `monoio-http`.
//!
//! Those decoders buffer without limit, accept a bare line feed as a line end
//! and then lose what follows, ignore a second `content-length`, take a chunk
//! without a size for the last one, and end the process on a header name
//! longer than 64 KiB. The decoders here check the bytes first and pass on only
//! messages whose framing is unambiguous.

use std::fmt;
use std::io;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, StatusCode, Version, header, request, response};
use monoio_codec::{Decoded, Decoder};
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, DirectWrapper, FixedBodyDecoder, GenericHeadDecoder, PayloadDecoder,
    RequestHeadDecoder, ResponseHeadDecoder,
};

/// Upper bound for every head limit.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Highest status of the classes that HTTP defines.
const MAX_STATUS: u16 = 599;

/// Longest size line of a chunk: sixteen digits and the carriage return.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 17;

/// Limit for the size lines and line ends of all chunks of a body together.
const MAX_CHUNK_OVERHEAD_BYTES: usize = 64 << 10;

/// Reason why a message cannot be decoded.
#[derive(Debug)]
pub enum DecodeError {
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The message violates HTTP/1.1 or could be read in two ways.
    Malformed(&'static str),
    /// The connection failed.
    Io(io::Error),
}

impl From<io::Error> for DecodeError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HeadTooLarge => f.write_str("head too large"),
            Self::BodyTooLarge => f.write_str("body too large"),
            Self::Malformed(reason) => f.write_str(reason),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Decoder of the body that follows a head.
pub(super) type Payload = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// Decodes request heads.
pub(super) struct RequestHeads {
    scanner: HeadScanner,
    max_body_bytes: usize,
    inner: GenericHeadDecoder<(), RequestHeadDecoder, DirectWrapper>,
    is_head_request: bool,
}

impl RequestHeads {
    pub(super) fn new(max_head_bytes: usize, max_body_bytes: usize) -> Self {
        Self {
            scanner: HeadScanner::new(max_head_bytes),
            max_body_bytes,
            inner: GenericHeadDecoder::default(),
            is_head_request: false,
        }
    }

    /// Whether the newest request, which may be malformed or incomplete, is a `HEAD` request.
    pub(super) fn is_head_request(&self) -> bool {
        self.is_head_request
    }
}

impl Decoder for RequestHeads {
    type Item = (request::Parts, Payload);
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, DecodeError> {
        skip_blank_lines(src);
        self.is_head_request = starts_with_head_request(src);
        if !self.scanner.contains_head(src)? {
            return Ok(Decoded::Insufficient);
        }
        let (head, payload) = decode_head(&mut self.inner, src)?;
        check_length(&head.headers, head.version, self.max_body_bytes)?;
        check_host(&head)?;
        Ok(Decoded::Some((head, payload)))
    }
}

/// Decodes response heads.
pub(super) struct ResponseHeads {
    scanner: HeadScanner,
    max_body_bytes: usize,
    inner: GenericHeadDecoder<(), ResponseHeadDecoder, DirectWrapper>,
}

impl ResponseHeads {
    pub(super) fn new(max_head_bytes: usize, max_body_bytes: usize) -> Self {
        Self {
            scanner: HeadScanner::new(max_head_bytes),
            max_body_bytes,
            inner: GenericHeadDecoder::default(),
        }
    }
}

impl Decoder for ResponseHeads {
    type Item = (response::Parts, Payload);
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, DecodeError> {
        if !self.scanner.contains_head(src)? {
            return Ok(Decoded::Insufficient);
        }
        let (head, payload) = decode_head(&mut self.inner, src)?;
        check_status(head.status)?;
        check_length(&head.headers, head.version, self.max_body_bytes)?;
        Ok(Decoded::Some((head, payload)))
    }
}

/// Rejects statuses outside the classes of HTTP, which the inner decoder accepts up to 999, and a
/// switch of protocols, which no request here asks for.
fn check_status(status: StatusCode) -> Result<(), DecodeError> {
    match status {
        StatusCode::SWITCHING_PROTOCOLS => Err(DecodeError::Malformed("unrequested upgrade")),
        status if status.as_u16() > MAX_STATUS => Err(DecodeError::Malformed("invalid status")),
        _ => Ok(()),
    }
}

/// Whether a response with this status never has a body.
pub fn is_bodiless(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

/// Whether bytes that may not be a whole request begin one with the method `HEAD`.
pub(super) fn starts_with_head_request(received: &[u8]) -> bool {
    received.trim_ascii_start().starts_with(b"HEAD ")
}

/// Finds the end of a head; each call continues where the last one ended.
struct HeadScanner {
    limit: usize,
    scanned: usize,
}

impl HeadScanner {
    fn new(limit: usize) -> Self {
        Self {
            limit: limit.min(MAX_HEAD_BYTES),
            scanned: 0,
        }
    }

    /// Whether `src` starts with a complete head.
    fn contains_head(&mut self, src: &[u8]) -> Result<bool, DecodeError> {
        let head = src.get(..self.limit).unwrap_or(src);
        let unscanned = head.iter().enumerate().skip(self.scanned);
        for (i, _) in unscanned.filter(|(_, byte)| **byte == b'\n') {
            let line = head.get(..=i).unwrap_or(head);
            if !line.ends_with(b"\r\n") {
                return Err(DecodeError::Malformed("line feed without carriage return"));
            }
            if line.ends_with(b"\r\n\r\n") {
                self.scanned = 0;
                return Ok(true);
            }
        }
        if src.len() >= self.limit {
            return Err(DecodeError::HeadTooLarge);
        }
        self.scanned = head.len();
        Ok(false)
    }
}

fn skip_blank_lines(src: &mut BytesMut) {
    while src.starts_with(b"\r\n") {
        src.advance(2);
    }
}

fn decode_head<D, T>(decoder: &mut D, src: &mut BytesMut) -> Result<T, DecodeError>
where
    D: Decoder<Item = T, Error = HttpError>,
{
    match decoder.decode(src) {
        Ok(Decoded::Some(item)) => Ok(item),
        Ok(_) | Err(_) => Err(DecodeError::Malformed("malformed head")),
    }
}

fn check_length(headers: &HeaderMap, version: Version, limit: usize) -> Result<(), DecodeError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let coding = codings.next();
    match (length, coding) {
        _ if lengths.next().is_some() => Err(DecodeError::Malformed("two content lengths")),
        (Some(_), Some(_)) => Err(DecodeError::Malformed(
            "content length beside transfer encoding",
        )),
        (_, Some(coding)) if !coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Err(DecodeError::Malformed("unknown transfer encoding"))
        }
        (_, Some(_)) if codings.next().is_some() || version != Version::HTTP_11 => {
            Err(DecodeError::Malformed("transfer encoding out of place"))
        }
        (Some(length), _) => match length.to_str().ok().and_then(|l| l.parse::<u64>().ok()) {
            Some(length) if length <= limit as u64 => Ok(()),
            Some(_) => Err(DecodeError::BodyTooLarge),
            None => Err(DecodeError::Malformed("malformed content length")),
        },
        _ => Ok(()),
    }
}

fn check_host(head: &request::Parts) -> Result<(), DecodeError> {
    match head.headers.get_all(header::HOST).iter().count() {
        1 => Ok(()),
        0 if head.version != Version::HTTP_11 => Ok(()),
        0 => Err(DecodeError::Malformed("no host")),
        _ => Err(DecodeError::Malformed("two hosts")),
    }
}

/// Decodes a body with `content-length`.
pub(super) struct FixedBody(pub(super) FixedBodyDecoder);

impl Decoder for FixedBody {
    type Item = Bytes;
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Bytes>, DecodeError> {
        self.0.decode(src).map_err(|_| malformed_body())
    }
}

/// Decodes a chunked body and returns it whole.
pub(super) struct ChunkedBody {
    inner: ChunkedBodyDecoder,
    limit: usize,
    overhead_bytes: usize,
    in_chunk: bool,
    data: BytesMut,
}

impl ChunkedBody {
    pub(super) fn new(inner: ChunkedBodyDecoder, limit: usize) -> Self {
        Self {
            inner,
            limit,
            overhead_bytes: 0,
            in_chunk: false,
            data: BytesMut::new(),
        }
    }

    /// Checks that a chunk starts with a size, which the inner decoder does not check.
    fn check_size(&self, src: &[u8]) -> Result<(), DecodeError> {
        let line = src.get(..MAX_CHUNK_SIZE_LINE_BYTES);
        match src.first() {
            _ if self.in_chunk => Ok(()),
            Some(byte) if !byte.is_ascii_hexdigit() => Err(malformed_body()),
            _ if line.is_some_and(|l| !l.contains(&b'\r')) => Err(malformed_body()),
            _ => Ok(()),
        }
    }

    fn check_total(&self, buffered: usize) -> Result<(), DecodeError> {
        if self.data.len() + buffered > self.limit + MAX_CHUNK_OVERHEAD_BYTES
            || self.data.len() > self.limit
            || self.overhead_bytes > MAX_CHUNK_OVERHEAD_BYTES
        {
            return Err(DecodeError::BodyTooLarge);
        }
        Ok(())
    }
}

impl Decoder for ChunkedBody {
    type Item = Bytes;
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Bytes>, DecodeError> {
        loop {
            self.check_size(src)?;
            let before = src.len();
            let decoded = self.inner.decode(src).map_err(|_| malformed_body())?;
            let consumed = before - src.len();
            match decoded {
                Decoded::Some(Some(chunk)) => {
                    self.overhead_bytes += consumed - chunk.len();
                    self.in_chunk = false;
                    self.data.extend_from_slice(&chunk);
                    self.check_total(0)?;
                }
                Decoded::Some(None) => {
                    return Ok(Decoded::Some(std::mem::take(&mut self.data).freeze()));
                }
                Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => {
                    self.overhead_bytes += consumed;
                    self.in_chunk |= consumed > 0;
                    self.check_total(src.len())?;
                    return Ok(Decoded::Insufficient);
                }
            }
        }
    }
}

/// Decodes a body that ends with the connection, up to a limit in bytes.
pub(super) struct UntilEnd(pub(super) usize);

impl Decoder for UntilEnd {
    type Item = Bytes;
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Bytes>, DecodeError> {
        if src.len() > self.0 {
            return Err(DecodeError::BodyTooLarge);
        }
        Ok(Decoded::Insufficient)
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Decoded<Bytes>, DecodeError> {
        Ok(Decoded::Some(buf.split().freeze()))
    }
}

fn malformed_body() -> DecodeError {
    DecodeError::Malformed("malformed body")
}
