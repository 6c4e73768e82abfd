//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};

use super::backend::Underway;
use super::head::{self, Framing};
use crate::web::decode::is_bodiless;
use crate::web::wire::{BodyReader, Wire};

/// An answer of this VM's own.
#[derive(Clone, Debug, PartialEq)]
pub struct Own {
    /// Status.
    pub status: StatusCode,
    /// When to come back, if that is likely to help.
    pub after: Option<Duration>,
    /// The reason for a person.
    pub reason: &'static str,
}

/// An answer of a backend server.
#[derive(Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Body.
    pub body: Held,
}

/// Body of an answer.
#[derive(Debug)]
pub enum Held {
    /// No body; the length that the answer names, as one to a `HEAD` request does.
    None(Option<u64>),
    /// All of it.
    Whole(Bytes),
    /// The start of it; the rest is still to be read.
    Rest(Box<Rest>),
}

/// A body that is passed on while it arrives.
#[derive(Debug)]
pub struct Rest {
    /// What has arrived.
    pub first: Bytes,
    /// Where the rest comes from.
    pub wire: Wire,
    /// Where its reading stands.
    pub reader: BodyReader,
    /// Length of all of it, if that is known.
    pub length: Option<u64>,
    /// Counts the request as under way.
    pub underway: Underway,
}

/// Any answer.
#[derive(Debug)]
pub enum Answer {
    /// Of this VM.
    Own(Own),
    /// Of a backend server.
    Theirs(Response),
}

impl Own {
    /// Says that the request was not run and that it may be tried again after a while.
    pub fn later(after: Duration, reason: &'static str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            after: Some(after),
            reason,
        }
    }

    /// Any other answer.
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            after: None,
            reason,
        }
    }

    /// All bytes of the answer; `close` if it is the last on its connection.
    pub fn encode(&self, id: Option<(&http::HeaderName, &HeaderValue)>, close: bool) -> Vec<u8> {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some((name, value)) = id {
            headers.insert(name.clone(), value.clone());
        }
        let seconds = self.after.map(|a| format!("{:.3}", a.as_secs_f64()));
        if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        let framing = Framing::Length(self.reason.len() as u64);
        let mut bytes = head::answer(self.status, &headers, framing, close);
        bytes.extend_from_slice(self.reason.as_bytes());
        bytes
    }
}

impl Response {
    /// Head and what there is of the body.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let framing = match &self.body {
            Held::None(_) if is_bodiless(self.status) => Framing::None,
            Held::None(length) => length.map_or(Framing::None, Framing::Length),
            Held::Whole(body) => Framing::Length(body.len() as u64),
            Held::Rest(rest) => rest.length.map_or(Framing::Chunked, Framing::Length),
        };
        let mut bytes = head::answer(self.status, &self.headers, framing, close);
        match &self.body {
            Held::None(_) => {}
            Held::Whole(body) => bytes.extend_from_slice(body),
            Held::Rest(rest) => rest.put(&mut bytes, &rest.first),
        }
        bytes
    }
}

impl Rest {
    /// Writes a piece as the answer frames it.
    pub fn put(&self, bytes: &mut Vec<u8>, piece: &[u8]) {
        match self.length {
            _ if piece.is_empty() => {}
            Some(_) => bytes.extend_from_slice(piece),
            None => put_chunk(bytes, piece),
        }
    }

    /// Writes the end.
    pub fn put_end(&self, bytes: &mut Vec<u8>) {
        if self.length.is_none() {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
}

/// Writes one chunk.
pub fn put_chunk(bytes: &mut Vec<u8>, piece: &[u8]) {
    bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
}
