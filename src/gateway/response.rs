//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};

use super::backend::InFlightGuard;
use super::head::{self, Framing};
use crate::web::decode::is_bodiless;
use crate::web::wire::{BodyReader, Wire};

/// An answer of this VM's own.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalResponse {
    /// Status.
    pub status: StatusCode,
    /// When to come back, if that is likely to help.
    pub retry_after: Option<Duration>,
    /// The reason for a person.
    pub reason: &'static str,
}

/// An answer of a backend server.
#[derive(Debug)]
pub struct BackendResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResponseBody,
}

/// Body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// No body; the length that the answer names, as one to a `HEAD` request does.
    Empty(Option<u64>),
    /// All of it.
    Complete(Bytes),
    /// The start of it; the rest is still to be read.
    Streaming(Box<StreamingBody>),
}

/// A body that is passed on while it arrives.
#[derive(Debug)]
pub struct StreamingBody {
    /// What has arrived.
    pub buffered: Bytes,
    /// Where the rest comes from.
    pub wire: Wire,
    /// Where its reading stands.
    pub reader: BodyReader,
    /// Length of all of it, if that is known.
    pub content_length: Option<u64>,
    /// Counts the request as under way.
    pub in_flight: InFlightGuard,
}

/// Any answer.
#[derive(Debug)]
pub enum Response {
    /// Of this VM.
    Local(LocalResponse),
    /// Of a backend server.
    Backend(BackendResponse),
}

impl LocalResponse {
    /// Says that the request was not run and that it may be tried again after a while.
    pub fn unavailable(retry_after: Duration, reason: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry_after),
            reason,
        }
    }

    /// Any other answer.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// All bytes of the answer; `close` if it is the last on its connection.
    pub fn encode(
        &self,
        request_id: Option<(&http::HeaderName, &HeaderValue)>,
        close: bool,
    ) -> Vec<u8> {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some((name, value)) = request_id {
            headers.insert(name.clone(), value.clone());
        }
        let seconds = self.retry_after.map(|a| format!("{:.3}", a.as_secs_f64()));
        if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        let framing = Framing::Length(self.reason.len() as u64);
        let mut bytes = head::encode_response_head(self.status, &headers, framing, close);
        bytes.extend_from_slice(self.reason.as_bytes());
        bytes
    }
}

impl BackendResponse {
    /// Head and what there is of the body.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let framing = match &self.body {
            ResponseBody::Empty(_) if is_bodiless(self.status) => Framing::None,
            ResponseBody::Empty(length) => length.map_or(Framing::None, Framing::Length),
            ResponseBody::Complete(body) => Framing::Length(body.len() as u64),
            ResponseBody::Streaming(streaming) => streaming
                .content_length
                .map_or(Framing::Chunked, Framing::Length),
        };
        let mut bytes = head::encode_response_head(self.status, &self.headers, framing, close);
        match &self.body {
            ResponseBody::Empty(_) => {}
            ResponseBody::Complete(body) => bytes.extend_from_slice(body),
            ResponseBody::Streaming(streaming) => {
                streaming.write_data(&mut bytes, &streaming.buffered)
            }
        }
        bytes
    }
}

impl StreamingBody {
    /// Writes a piece as the answer frames it.
    pub fn write_data(&self, bytes: &mut Vec<u8>, data: &[u8]) {
        match self.content_length {
            _ if data.is_empty() => {}
            Some(_) => bytes.extend_from_slice(data),
            None => write_chunk(bytes, data),
        }
    }

    /// Writes the end.
    pub fn write_end(&self, bytes: &mut Vec<u8>) {
        if self.content_length.is_none() {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
}

/// Writes one chunk.
pub fn write_chunk(bytes: &mut Vec<u8>, data: &[u8]) {
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
}
