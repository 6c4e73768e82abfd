//! Encoding of forwarded message heads.
//!
//! Methods, paths, statuses and headers are forwarded unchanged, except for
//! hop-by-hop headers and those that this VM sets itself.

use std::fmt::Write;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header, request};

use super::relay::RELAY_HEADER;
use crate::clock;
use crate::fleet::Key;

/// Names of the headers exchanged between callers, entry VMs and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request, repeated in its response.
    pub request_id: HeaderName,
    /// Remaining time of the sender, in milliseconds.
    pub deadline: HeaderName,
    /// Only backend server that may run the request.
    pub expected_server: HeaderName,
    /// Signature of the backend server that responded.
    pub server_signature: HeaderName,
    /// Marks a response to a request that was not run.
    pub not_executed: HeaderName,
    /// Marks the responses of a backend server that leaves.
    pub server_leaving: HeaderName,
    /// Running and waiting requests, slots and, from some, time of work of a backend server.
    pub server_load: HeaderName,
    /// Key of a request.
    pub shard_key: HeaderName,
}

/// Longest idle timeout that is taken from a response; no idle connection is kept for longer.
const MAX_KEEP_ALIVE: Duration = Duration::from_mins(10);

/// Headers that apply to a single connection.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("proxy-connection"),
];

/// Request head to forward, without the headers that differ for each attempt.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
    /// Encoded head without the final empty line.
    bytes: Vec<u8>,
    /// Whether the response has no body.
    pub bodiless: bool,
    /// Id of the request, if present.
    pub request_id: Option<HeaderValue>,
}

impl ForwardedHead {
    /// Creates the head to forward from the caller's.
    pub fn new(parts: &request::Parts, header_names: &HeaderNames) -> Self {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(parts.method.as_str().as_bytes());
        bytes.push(b' ');
        let path = parts.uri.path_and_query();
        bytes.extend_from_slice(path.map_or("/", |p| p.as_str()).as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        let overridden = [
            &header_names.deadline,
            &header_names.expected_server,
            &header::CONTENT_LENGTH,
            &header::EXPECT,
            &RELAY_HEADER,
        ];
        write_headers(&mut bytes, &parts.headers, |name| {
            overridden.contains(&name)
        });
        Self {
            bytes,
            bodiless: parts.method == http::Method::HEAD,
            request_id: parts.headers.get(&header_names.request_id).cloned(),
        }
    }

    /// Encodes the head for one backend server; `length` of the body in bytes, `None` for a
    /// chunked one.
    pub fn encode(
        &self,
        header_names: &HeaderNames,
        server: &str,
        left: Duration,
        length: Option<usize>,
    ) -> Vec<u8> {
        let mut bytes = self.bytes.clone();
        let mut fields = String::new();
        let left_ms = clock::as_ms(left);
        // Writing to a string can't fail.
        let _ = write!(
            fields,
            "{}: {left_ms}\r\n{}: {server}\r\n",
            header_names.deadline, header_names.expected_server
        );
        match length {
            Some(0) => {}
            Some(length) => {
                let _ = write!(fields, "content-length: {length}\r\n");
            }
            None => fields.push_str("transfer-encoding: chunked\r\n"),
        }
        fields.push_str("\r\n");
        bytes.extend_from_slice(fields.as_bytes());
        bytes
    }
}

/// Framing of a response body sent to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body and no content length.
    None,
    /// Content length in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
}

/// Encodes the head of a response to a caller.
pub fn encode_response_head(
    status: StatusCode,
    headers: &HeaderMap,
    framing: Framing,
    close: bool,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    let reason = status.canonical_reason().unwrap_or("Other");
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_str()).as_bytes());
    write_headers(&mut bytes, headers, |name| *name == header::CONTENT_LENGTH);
    let framing = match framing {
        Framing::None => String::new(),
        Framing::Length(length) => format!("content-length: {length}\r\n"),
        Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
    };
    bytes.extend_from_slice(framing.as_bytes());
    if close {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Appends the end-to-end headers that `skip` returns false for.
fn write_headers<F>(bytes: &mut Vec<u8>, headers: &HeaderMap, skip: F)
where
    F: Fn(&HeaderName) -> bool,
{
    let connection_named = connection_headers(headers);
    for (name, value) in headers {
        let hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || connection_named.iter().any(|n| n == name.as_str());
        if hop_by_hop || skip(name) {
            continue;
        }
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
}

/// Removes the headers that apply to a single connection.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_headers(headers) {
        headers.remove(name.as_str());
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Lists the headers that the `Connection` header declares hop-by-hop.
fn connection_headers(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    let words = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    let names = words.map(|w| w.trim().to_ascii_lowercase());
    names.filter(|n| !n.is_empty()).collect()
}

/// Parses a numeric header.
pub fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Parses the key of a request.
pub fn shard_key(headers: &HeaderMap, header_names: &HeaderNames) -> Option<Key> {
    headers
        .get(&header_names.shard_key)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

/// Load that a backend server reports in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// How long work takes now, in percent of what is usual.
    pub percent: Option<u16>,
}

impl ReportedLoad {
    /// Running and waiting requests.
    pub fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Parses the load reported in a response; `None` if it is missing or malformed.
///
/// Reported loads may mislead anyway, and local observations weigh more.
pub fn reported_load(headers: &HeaderMap, header_names: &HeaderNames) -> Option<ReportedLoad> {
    let mut parts = headers
        .get(&header_names.server_load)?
        .to_str()
        .ok()?
        .split(',');
    // Malformed numbers count as no report, as the doc comment says.
    let mut next_number = || parts.next()?.trim().parse().ok();
    let (running, waiting) = (next_number()?, next_number()?);
    let (_slots, percent) = (next_number(), next_number());
    Some(ReportedLoad {
        running,
        waiting,
        percent: percent
            .filter(|p| *p > 0)
            .map(|p: u32| u16::try_from(p).unwrap_or(u16::MAX)),
    })
}

/// Parses the idle timeout that the sender of a response announces for its connection.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="));
    let secs: u64 = timeout?.trim().parse().ok()?;
    Some(Duration::from_secs(secs).min(MAX_KEEP_ALIVE))
}
