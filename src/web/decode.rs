//! Guards around the decoders of `monoio-http`.
//!
//! Those decoders buffer without bound, take a bare line feed for a line end
//! and then lose what follows, ignore a second `content-length`, take a chunk
//! without a size for the last one, and end the process on a header name
//! longer than 64 KiB. Each guard looks at the bytes first and hands them on
//! only when both readings of them agree.

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

/// Largest head that is decoded, in bytes, whatever the limits say.
const HEAD_CEILING_BYTES: usize = 32 << 10;

/// Longest line with the size of a chunk: sixteen digits and the carriage return.
const CHUNK_SIZE_BYTES: usize = 17;

/// Bytes of chunk sizes and line ends that a body may have beside its data.
const CHUNK_LINES_BYTES: usize = 64 << 10;

/// Why a message was not decoded.
#[derive(Debug)]
pub enum DecodeError {
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The message is not HTTP as it should be.
    Malformed(&'static str),
    /// The connection broke.
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

/// How the body that follows a head is decoded.
pub(super) type Payload = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// Decodes request heads.
pub(super) struct RequestHeads {
    scan: HeadScan,
    body_limit: usize,
    inner: GenericHeadDecoder<(), RequestHeadDecoder, DirectWrapper>,
}

impl RequestHeads {
    pub(super) fn new(head_limit: usize, body_limit: usize) -> Self {
        Self {
            scan: HeadScan::new(head_limit),
            body_limit,
            inner: GenericHeadDecoder::default(),
        }
    }
}

impl Decoder for RequestHeads {
    type Item = (request::Parts, Payload);
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, DecodeError> {
        skip_blank_lines(src);
        if !self.scan.complete(src)? {
            return Ok(Decoded::Insufficient);
        }
        let (head, payload) = decode_head(&mut self.inner, src)?;
        check_length(&head.headers, head.version, self.body_limit)?;
        check_host(&head)?;
        Ok(Decoded::Some((head, payload)))
    }
}

/// Decodes response heads.
pub(super) struct ResponseHeads {
    scan: HeadScan,
    body_limit: usize,
    inner: GenericHeadDecoder<(), ResponseHeadDecoder, DirectWrapper>,
}

impl ResponseHeads {
    pub(super) fn new(head_limit: usize, body_limit: usize) -> Self {
        Self {
            scan: HeadScan::new(head_limit),
            body_limit,
            inner: GenericHeadDecoder::default(),
        }
    }
}

impl Decoder for ResponseHeads {
    type Item = (response::Parts, Payload);
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, DecodeError> {
        if !self.scan.complete(src)? {
            return Ok(Decoded::Insufficient);
        }
        let (head, payload) = decode_head(&mut self.inner, src)?;
        check_length(&head.headers, head.version, self.body_limit)?;
        Ok(Decoded::Some((head, payload)))
    }
}

/// Whether a response with this status never has a body.
pub fn is_bodiless(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

/// Finds the end of a head, remembering how far it has looked.
struct HeadScan {
    limit: usize,
    seen: usize,
}

impl HeadScan {
    fn new(limit: usize) -> Self {
        Self {
            limit: limit.min(HEAD_CEILING_BYTES),
            seen: 0,
        }
    }

    /// Whether a whole head stands at the front of `src`.
    fn complete(&mut self, src: &[u8]) -> Result<bool, DecodeError> {
        let head = src.get(..self.limit).unwrap_or(src);
        let fresh = head.iter().enumerate().skip(self.seen);
        for (i, _) in fresh.filter(|(_, byte)| **byte == b'\n') {
            let line = head.get(..=i).unwrap_or(head);
            if !line.ends_with(b"\r\n") {
                return Err(DecodeError::Malformed("line feed without carriage return"));
            }
            if line.ends_with(b"\r\n\r\n") {
                self.seen = 0;
                return Ok(true);
            }
        }
        if src.len() >= self.limit {
            return Err(DecodeError::HeadTooLarge);
        }
        self.seen = head.len();
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

/// Decodes a body of known length.
pub(super) struct FixedBody(pub(super) FixedBodyDecoder);

impl Decoder for FixedBody {
    type Item = Bytes;
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Bytes>, DecodeError> {
        self.0.decode(src).map_err(|_| malformed_body())
    }
}

/// Decodes a chunked body; yields the whole of it.
pub(super) struct ChunkedBody {
    inner: ChunkedBodyDecoder,
    limit: usize,
    lines: usize,
    in_chunk: bool,
    data: BytesMut,
}

impl ChunkedBody {
    pub(super) fn new(inner: ChunkedBodyDecoder, limit: usize) -> Self {
        Self {
            inner,
            limit,
            lines: 0,
            in_chunk: false,
            data: BytesMut::new(),
        }
    }

    /// Checks that a chunk starts with its size, which the inner decoder takes for granted.
    fn check_size(&self, src: &[u8]) -> Result<(), DecodeError> {
        let line = src.get(..CHUNK_SIZE_BYTES);
        match src.first() {
            _ if self.in_chunk => Ok(()),
            Some(byte) if !byte.is_ascii_hexdigit() => Err(malformed_body()),
            _ if line.is_some_and(|l| !l.contains(&b'\r')) => Err(malformed_body()),
            _ => Ok(()),
        }
    }

    fn check_total(&self, waiting: usize) -> Result<(), DecodeError> {
        if self.data.len() + waiting > self.limit + CHUNK_LINES_BYTES
            || self.data.len() > self.limit
            || self.lines > CHUNK_LINES_BYTES
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
            let taken = before - src.len();
            match decoded {
                Decoded::Some(Some(chunk)) => {
                    self.lines += taken - chunk.len();
                    self.in_chunk = false;
                    self.data.extend_from_slice(&chunk);
                    self.check_total(0)?;
                }
                Decoded::Some(None) => {
                    return Ok(Decoded::Some(std::mem::take(&mut self.data).freeze()));
                }
                Decoded::Insufficient | Decoded::InsufficientAtLeast(_) => {
                    self.lines += taken;
                    self.in_chunk |= taken > 0;
                    self.check_total(src.len())?;
                    return Ok(Decoded::Insufficient);
                }
            }
        }
    }
}

/// Decodes a body that ends with its connection.
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
