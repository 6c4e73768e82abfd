//! One request sent to one backend server.
//!
//! The [`Outcome`] tells whether the request may have run there. Once a byte was
//! written, only a response of the server proves that it has not.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{StatusCode, header};
use monoio::net::TcpStream;
use monoio::time;

use super::Gateway;
use super::backend::{Backend, InFlightGuard};
use super::backend_connection::{BackendConnection, ConnectionUse};
use super::head::{self, ForwardedHead, ReportedLoad};
use super::notices;
use super::relay::{self, HOP_IDLE_TIMEOUT, Hop};
use super::relayed::Rejection;
use super::response::{self, BackendResponse, ResponseBody, StreamingBody};
use super::warmup;
use crate::clock;
use crate::web::connection::{BodyEvent, BodyReader, HeadLimits, HttpConnection, ResponseHead};
use crate::web::decode::DecodeError;
use crate::web::race::{self, Either};

/// Connect timeout: several round trips, but less than the 1 s after which TCP resends a SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long sent bytes may stay unacknowledged: TCP retransmits a lost packet after about
/// 0.2 s and 0.6 s, and an unreachable peer acknowledges nothing.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes of a response that are buffered before it is forwarded, so that a request
/// whose response breaks off within them can be retried.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;

const RESPONSE_HEAD_LIMITS: HeadLimits = HeadLimits {
    head_bytes: 16 << 10,
    body_bytes: u64::MAX >> 1,
};

/// Reason of [`Outcome::NotSent`] if the deadline ended before the request was sent.
pub(super) const NO_TIME_LEFT: &str = "no time left";

/// Interim responses that are skipped before a response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Responses to other requests that are skipped on one connection.
const MAX_MISMATCHED_RESPONSES: u32 = 4;

/// Outcome of one request at one backend server.
#[derive(Debug)]
pub enum Outcome {
    /// The server responded.
    Responded(BackendResponse),
    /// The server rejected the request without running it, as it is full or leaving or without a
    /// reason; with the load that it reported.
    Full(Option<ReportedLoad>),
    /// The server rejected the request without running it: it doesn't own the key, or is another
    /// server than the expected one.
    Misdirected,
    /// Nothing was sent.
    NotSent(&'static str),
    /// The request may have run; the response is missing or incomplete.
    Interrupted(&'static str),
    /// The server dropped a new connection without a response; the request may have run.
    Dropped,
    /// The request may have run; the response didn't arrive in time.
    TimedOut,
}

impl Outcome {
    /// Whether the server responded, and with no error of its own.
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Responded(response) if !response.status.is_server_error())
    }
}

/// Outcome of an attempt and the connection that it was sent on, if it was sent.
#[derive(Debug)]
pub struct AttemptResult {
    /// Outcome.
    pub outcome: Outcome,
    /// Connection.
    pub connection: Option<ConnectionUse>,
    /// Whether the request was sent through a relay VM, so that the time includes its queue.
    pub relayed: bool,
}

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody<'a> {
    /// Complete body.
    Full(Bytes),
    /// Start of the body and the source of the rest.
    Stream(BodySource<'a>),
}

/// Request body that is still being received.
#[derive(Debug)]
pub struct BodySource<'a> {
    /// Bytes received so far.
    pub buffered: Bytes,
    /// Connection of the caller.
    pub connection: &'a mut HttpConnection,
    /// Decoder state of the body.
    pub reader: &'a mut BodyReader,
    /// Total length in bytes, if known.
    pub content_length: Option<u64>,
    /// Bytes that may follow the buffered ones.
    pub remaining_limit: u64,
}

/// Parameters of one attempt.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// Gateway that sends the request.
    pub gateway: &'a Gateway,
    /// Head of the request.
    pub head: &'a ForwardedHead,
    /// The caller's deadline or the end of the route's timeout, whichever is earlier.
    pub deadline: Instant,
    /// Longest idle time of a pooled connection to use.
    pub max_idle: Duration,
    /// Limit of this VM's connections to the other end.
    pub max_connections: u32,
    /// Relay VM that the request is sent through.
    pub relay: Option<&'a Hop>,
    /// Where the head of a response is kept that says that the request was not run.
    pub rejection: Option<&'a Rejection>,
}

/// Sends a request and waits for the response until the deadline.
pub async fn exchange(
    backend: &Rc<Backend>,
    attempt: &Attempt<'_>,
    body: RequestBody<'_>,
) -> AttemptResult {
    let in_flight = backend.start_request();
    let _hop_in_flight = attempt.relay.map(|hop| hop.peer.start_request());
    let sent_on = Cell::new(None);
    let left = attempt.deadline.saturating_duration_since(clock::now());
    let exchange = run_exchange(backend, attempt, body, &sent_on, in_flight);
    let outcome = match time::timeout(left, exchange).await {
        Ok(outcome) => outcome,
        Err(_) if sent_on.get().is_some() => Outcome::TimedOut,
        Err(_) => Outcome::NotSent(NO_TIME_LEFT),
    };
    let outcome = match (outcome, attempt.relay) {
        (Outcome::Dropped, Some(hop)) if !hop.is_answered() => {
            Outcome::Interrupted("the relay VM dropped the connection unanswered")
        }
        (outcome, _) => outcome,
    };
    AttemptResult {
        outcome,
        connection: sent_on.get(),
        relayed: attempt.relay.is_some(),
    }
}

async fn run_exchange(
    backend: &Rc<Backend>,
    attempt: &Attempt<'_>,
    body: RequestBody<'_>,
    sent_on: &Cell<Option<ConnectionUse>>,
    in_flight: InFlightGuard,
) -> Outcome {
    let reservation = warmup::reserve(backend, clock::now());
    let request_id = attempt.head.request_id.as_ref();
    let peer = attempt.relay.map_or(backend, |hop| &hop.peer);
    let pooled = peer.take_idle(attempt.max_idle, request_id);
    let is_new_connection = pooled.is_none();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => match connect(peer, attempt.max_connections).await {
            Ok(connection) => connection,
            Err(reason) => {
                backend.record_connection_lost();
                return Outcome::NotSent(reason);
            }
        },
    };
    let length = match &body {
        RequestBody::Full(bytes) => Some(bytes.len()),
        RequestBody::Stream(source) => source.content_length.and_then(|l| usize::try_from(l).ok()),
    };
    let left = attempt.deadline.saturating_duration_since(clock::now());
    let server = backend.server();
    let mut head = attempt.head.encode(
        &attempt.gateway.header_names,
        &server.incarnation.server,
        left,
        length,
    );
    if attempt.relay.is_some() {
        relay::mark_request(&mut head);
    }
    sent_on.set(Some(connection.record_request(request_id)));
    reservation.sent(clock::now());
    let is_full_body = matches!(body, RequestBody::Full(_));
    let fully_sent = match body {
        RequestBody::Full(bytes) => {
            head.extend_from_slice(&bytes);
            connection.http.write(head).await.map(|()| true)
        }
        RequestBody::Stream(source) => stream_body(&mut connection.http, head, source).await,
    };
    let Ok(fully_sent) = fully_sent else {
        if is_new_connection && is_full_body {
            return Outcome::Dropped;
        }
        return Outcome::Interrupted("it closed the connection while the request was sent");
    };
    read_response(
        backend,
        attempt,
        connection,
        is_new_connection,
        fully_sent,
        in_flight,
    )
    .await
}

async fn connect(
    backend: &Backend,
    max_connections: u32,
) -> Result<BackendConnection, &'static str> {
    backend.evict_idle(max_connections);
    let connect = TcpStream::connect_addr(backend.server().address);
    match time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => Ok(BackendConnection::new(HttpConnection::with_ack_timeout(
            stream,
            UNACKNOWLEDGED_TIMEOUT,
        ))),
        Ok(Err(_)) => Err("it refused the connection"),
        Err(_) => Err("it did not take the connection in time"),
    }
}

/// Forwards a request body while it arrives; false if the server responded before its end.
async fn stream_body(
    connection: &mut HttpConnection,
    head: Vec<u8>,
    source: BodySource<'_>,
) -> io::Result<bool> {
    let chunked = source.content_length.is_none();
    let append = |bytes: &mut Vec<u8>, data: &[u8]| {
        if chunked {
            response::write_chunk(bytes, data);
        } else {
            bytes.extend_from_slice(data);
        }
    };
    let mut bytes = head;
    if !source.buffered.is_empty() {
        append(&mut bytes, &source.buffered);
    }
    let mut remaining = source.remaining_limit;
    loop {
        match source.connection.next_body_event(source.reader) {
            Ok(BodyEvent::Data(data)) => {
                let length = data.len() as u64;
                remaining = remaining
                    .checked_sub(length)
                    .ok_or(io::ErrorKind::InvalidData)?;
                append(&mut bytes, &data);
            }
            Ok(BodyEvent::End) => {
                if chunked {
                    bytes.extend_from_slice(b"0\r\n\r\n");
                }
                connection.write(bytes).await?;
                return Ok(true);
            }
            Ok(BodyEvent::NeedMore) => {
                connection.write(std::mem::take(&mut bytes)).await?;
                let ready = {
                    let (caller_reads, backend_reads) =
                        (pin!(source.connection.fill()), pin!(connection.fill()));
                    race::race(caller_reads, backend_reads).await
                };
                match ready {
                    Either::First(Ok(length)) if length > 0 => {}
                    Either::First(_) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Either::Second(_) => return Ok(false),
                }
            }
            Err(_) => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads the response; `fully_sent` tells whether the whole request was sent.
async fn read_response(
    backend: &Rc<Backend>,
    attempt: &Attempt<'_>,
    mut connection: BackendConnection,
    is_new_connection: bool,
    fully_sent: bool,
    in_flight: InFlightGuard,
) -> Outcome {
    let mut mismatched = 0;
    loop {
        let ResponseHead {
            mut parts,
            mut body,
        } = match read_response_head(&mut connection.http, attempt).await {
            Ok(head) => head,
            Err(_) if is_new_connection && connection.http.received_bytes() == 0 => {
                return Outcome::Dropped;
            }
            Err(reason) => return Outcome::Interrupted(reason),
        };
        let relay_reason = relay::take_reason(&mut parts.headers);
        notices::record_leaving(attempt.gateway, backend, &parts.headers);
        let response_id = parts.headers.get(&attempt.gateway.header_names.request_id);
        let matches_request = match (response_id, &attempt.head.request_id) {
            (Some(response_id), Some(request_id)) => response_id == request_id,
            (None, Some(_)) => is_new_connection && mismatched == 0,
            (_, None) => is_new_connection,
        };
        let relay_outcome = attempt.relay.filter(|_| matches_request).and_then(|hop| {
            hop.outcome(relay_reason, &parts.headers, &attempt.gateway.header_names)
        });
        let is_from_server = relay_outcome.is_none();
        if matches_request && is_from_server && parts.status == StatusCode::SERVICE_UNAVAILABLE {
            notices::record_quiet(attempt.gateway, backend, &parts.headers);
        }
        let read = read_response_body(&mut connection.http, &mut body).await;
        if !matches_request {
            mismatched += 1;
            let drained = read.is_ok() && body.is_done();
            if mismatched > MAX_MISMATCHED_RESPONSES || !drained {
                return Outcome::Interrupted("it sent answers to other requests");
            }
            continue;
        }
        let Ok(buffered) = read else {
            return Outcome::Interrupted("its answer broke off");
        };
        let reusable = fully_sent && mismatched == 0;
        let rejected = relay_outcome.or_else(|| rejection(attempt, &parts));
        if let Some(outcome) = rejected {
            return_to_pool(
                backend,
                attempt,
                connection,
                &parts.headers,
                &body,
                reusable,
            );
            return outcome;
        }
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return Outcome::Misdirected;
        }
        let signed = parts
            .headers
            .contains_key(&attempt.gateway.header_names.server_signature);
        let encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
        if parts.status.is_success() && (!signed || encoded) {
            return Outcome::Interrupted("its answer is not its own");
        }
        let content_length = head::parse_number(&parts.headers, &header::CONTENT_LENGTH);
        let response = |body| BackendResponse {
            status: parts.status,
            headers: parts.headers.clone(),
            body,
        };
        if body.is_done() {
            let is_empty = attempt.head.bodiless || buffered.is_empty();
            let response_body = if is_empty {
                ResponseBody::Empty(content_length.or(Some(0)))
            } else {
                ResponseBody::Complete(buffered)
            };
            let response = response(response_body);
            return_to_pool(
                backend,
                attempt,
                connection,
                &parts.headers,
                &body,
                reusable,
            );
            return Outcome::Responded(response);
        }
        let streaming = StreamingBody {
            buffered,
            connection: connection.http,
            reader: body,
            content_length,
            deadline: attempt.deadline,
            in_flight,
            seat: None,
        };
        return Outcome::Responded(response(ResponseBody::Streaming(Box::new(streaming))));
    }
}

/// Outcome of a response that is marked as not run, whose head is kept if the attempt asks for it.
fn rejection(attempt: &Attempt<'_>, parts: &http::response::Parts) -> Option<Outcome> {
    let names = &attempt.gateway.header_names;
    let is_marked = parts.headers.contains_key(&names.not_executed);
    let is_kept = is_marked || parts.status == StatusCode::MISDIRECTED_REQUEST;
    if let Some(kept) = attempt.rejection.filter(|_| is_kept) {
        *kept.borrow_mut() = Some((parts.status, parts.headers.clone()));
    }
    is_marked.then(|| match parts.status {
        StatusCode::MISDIRECTED_REQUEST => Outcome::Misdirected,
        _ => Outcome::Full(head::reported_load(&parts.headers, names)),
    })
}

/// Reads the head of a response and skips interim ones.
async fn read_response_head(
    connection: &mut HttpConnection,
    attempt: &Attempt<'_>,
) -> Result<ResponseHead, &'static str> {
    let mut interim = 0;
    loop {
        match connection.decode_response_head(RESPONSE_HEAD_LIMITS, attempt.head.bodiless) {
            Ok(Some(head)) if head.parts.status.is_informational() => {
                interim += 1;
                if interim > MAX_INTERIM_RESPONSES && attempt.relay.is_none() {
                    return Err("it sent interim responses without end");
                }
                continue;
            }
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(DecodeError::Io(_)) => return Err("the connection broke"),
            Err(_) => return Err("it sent no answer but other bytes"),
        }
        if let Some(hop) = attempt.relay {
            hop.fill(connection).await?;
            continue;
        }
        match connection.fill().await {
            Ok(0) => return Err("it closed the connection"),
            Ok(_) => {}
            Err(_) => return Err("it reset the connection"),
        }
    }
}

/// Reads a body to its end, or until [`MAX_BUFFERED_BYTES`] are buffered.
async fn read_response_body(
    connection: &mut HttpConnection,
    body: &mut BodyReader,
) -> Result<Bytes, DecodeError> {
    let mut buffered = BytesMut::new();
    loop {
        match connection.next_body_event(body)? {
            BodyEvent::End => return Ok(buffered.freeze()),
            BodyEvent::Data(data) => {
                buffered.extend_from_slice(&data);
                if buffered.len() > MAX_BUFFERED_BYTES {
                    return Ok(buffered.freeze());
                }
            }
            BodyEvent::NeedMore => {
                let ends_with_connection = *body == BodyReader::UntilEnd;
                match connection.fill().await? {
                    0 if ends_with_connection => *body = BodyReader::Done,
                    0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                    _ => {}
                }
            }
        }
    }
}

/// Returns a connection to the pool if it can be reused.
fn return_to_pool(
    backend: &Backend,
    attempt: &Attempt<'_>,
    connection: BackendConnection,
    headers: &http::HeaderMap,
    body: &BodyReader,
    reusable: bool,
) {
    let has_framing = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let closes = headers.get_all(header::CONNECTION).iter();
    let closes = closes
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case("close")));
    if reusable && has_framing && !closes && body.is_done() && connection.http.is_idle() {
        let peer = attempt.relay.map_or(backend, |hop| &*hop.peer);
        let idle_timeout = match attempt.relay {
            Some(_) => Some(HOP_IDLE_TIMEOUT),
            None => head::keep_alive_timeout(headers),
        };
        peer.put_idle(connection, idle_timeout, attempt.max_connections);
    }
}
