//! Serving of one caller connection.
//!
//! Pipelined requests are read ahead and processed concurrently; responses are sent in
//! the order of the requests. A response that is sent while it arrives may break off, and then
//! the connection ends with it, so nothing is read ahead behind a request of a route with such
//! responses: callers send again what was not read. When the caller disconnects, its requests are dropped
//! together with their connections to backend servers.

use std::future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{FuturesOrdered, StreamExt};
use http::{HeaderValue, Method, StatusCode, Version, header, request};
use monoio::net::TcpStream;
use monoio::time;

use super::exchange::{BodySource, MAX_BUFFERED_BYTES};
use super::head;
use super::held_response;
use super::relay::{HOP_HEAD_BYTES, HOP_IDLE_TIMEOUT, PROGRESS, PROGRESS_INTERVAL};
use super::request::{self as forward, RoutedRequest};
use super::response::{LocalResponse, Response};
use super::response_writer::{
    self, CallerResponse, ConnectionAction, READ_AHEAD_BYTES, until_disconnected, write,
};
use super::{Gateway, increment};
use crate::clock;
use crate::table::Limits;
use crate::web::connection::{BodyEvent, BodyReader, HeadLimits, HttpConnection, RequestHead};
use crate::web::decode::DecodeError;
use crate::web::race::{self, Either};
use crate::web::stop::Registration;

/// Limit of requests in flight on one connection.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// Longest time to read the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Added to the idle timeout that callers expect, so that callers close connections first.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// How long idle connections stay open after a shutdown began: until the load balancer
/// stops sending, a caller may send one more request on each.
pub const SHUTDOWN_KEEP_ALIVE: Duration = Duration::from_millis(2500);

/// Event that a connection waits for.
enum Event {
    Response(Option<CallerResponse>),
    Read(std::io::Result<usize>),
    TimedOut,
    Stopping,
}

/// Other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// An entry VM that this VM is the relay VM for.
    Peer,
}

/// Serves one connection of a caller until either end closes it.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    serve_from(Origin::Caller, gateway, stream).await;
}

/// Serves one connection until either end closes it.
pub async fn serve_from(origin: Origin, gateway: Rc<Gateway>, stream: TcpStream) {
    let mut connection = HttpConnection::new(stream);
    // Boxed, because the queue of an idle connection keeps the capacity of its last request.
    let mut pending = FuturesOrdered::new();
    let mut member = gateway.stop.register();
    let mut accepts_requests = true;
    let mut reads_ahead = true;
    let mut last_activity = clock::now();
    let mut shutdown_deadline: Option<Instant> = None;
    loop {
        let limits = Rc::clone(&gateway.routing.borrow().limits);
        while accepts_requests
            && pending.len() < MAX_PIPELINED_REQUESTS
            && (reads_ahead || pending.is_empty())
        {
            let is_head = connection.starts_with_head_request();
            match connection.decode_request_head(head_limits(origin, &limits)) {
                Ok(None) => break,
                Err(error) => {
                    let request = Err(MalformedRequest { error, is_head });
                    pending.push_back(Box::pin(handle(origin, Rc::clone(&gateway), request)));
                    accepts_requests = false;
                }
                Ok(Some(head)) if head.body.is_done() => {
                    accepts_requests = keeps_alive(&head.parts);
                    reads_ahead = has_short_response(&gateway, &head.parts);
                    let request = BufferedRequest {
                        parts: head.parts,
                        body: Bytes::new(),
                    };
                    pending.push_back(Box::pin(handle(origin, Rc::clone(&gateway), Ok(request))));
                }
                Ok(Some(head)) => {
                    // A body is read only when no earlier request is in flight.
                    // Boxed, because an idle connection would otherwise reserve space for both.
                    let earlier = Box::pin(write_pending(&gateway, &mut connection, &mut pending));
                    if earlier.await == ConnectionAction::Close {
                        return;
                    }
                    let request = Box::pin(handle_with_body(
                        origin,
                        &gateway,
                        &mut connection,
                        head,
                        &limits,
                    ));
                    if request.await == ConnectionAction::Close {
                        return;
                    }
                }
            }
            last_activity = clock::now();
        }
        if pending.is_empty() && !accepts_requests {
            return response_writer::close_gracefully(&mut connection).await;
        }
        let timeout = event_timeout(
            origin,
            &connection,
            &limits,
            pending.is_empty(),
            last_activity,
            shutdown_deadline,
        );
        let stop_member = shutdown_deadline.is_none().then_some(&mut member);
        let event = next_event(&mut connection, &mut pending, stop_member, timeout).await;
        match event {
            Event::Response(Some(response)) => {
                let is_last = pending.is_empty();
                // Requests that were not read don't run, and callers retry them elsewhere.
                accepts_requests = accepts_requests && (is_last || !gateway.stop.is_stopping());
                let written =
                    write_in_order(&gateway, &mut connection, response, !is_last, is_last);
                if written.await == ConnectionAction::Close {
                    return;
                }
                last_activity = clock::now();
            }
            Event::Read(Ok(length)) if length > 0 && connection.buffered_bytes() == length => {
                last_activity = clock::now();
            }
            Event::Stopping => shutdown_deadline = Some(clock::now() + SHUTDOWN_KEEP_ALIVE),
            Event::Read(Ok(length)) if length > 0 => {}
            Event::TimedOut if !pending.is_empty() && origin == Origin::Peer => {
                if connection.write(PROGRESS.to_vec()).await.is_err() {
                    return;
                }
            }
            // Requests in flight have their own deadline, however far away that is.
            Event::TimedOut if !pending.is_empty() => last_activity = clock::now(),
            Event::TimedOut if connection.buffered_bytes() > 0 => {
                let response = request_timeout(connection.starts_with_head_request());
                write(&gateway, &mut connection, response, true).await;
                return;
            }
            Event::Read(_) | Event::Response(None) | Event::TimedOut => return,
        }
    }
}

/// Writes the responses to all requests that were passed on.
async fn write_pending<F>(
    gateway: &Gateway,
    connection: &mut HttpConnection,
    pending: &mut FuturesOrdered<F>,
) -> ConnectionAction
where
    F: Future<Output = CallerResponse>,
{
    while let Some(response) = pending.next().await {
        let has_followers = !pending.is_empty();
        let written = write_in_order(gateway, connection, response, has_followers, false);
        if written.await == ConnectionAction::Close {
            return ConnectionAction::Close;
        }
    }
    ConnectionAction::KeepOpen
}

/// Writes a response, which is held back if requests behind it were passed on (`has_followers`); on
/// shutdown, the last one of a connection closes it.
async fn write_in_order(
    gateway: &Gateway,
    connection: &mut HttpConnection,
    mut caller_response: CallerResponse,
    has_followers: bool,
    is_last: bool,
) -> ConnectionAction {
    let mut reservation = None;
    if has_followers {
        // Boxed, because an idle connection would otherwise reserve space for it.
        let held = held_response::hold_back(&gateway.held, caller_response.response);
        let mut held = Box::pin(held);
        let Some(completed) = until_disconnected(connection, held.as_mut()).await else {
            return ConnectionAction::Close;
        };
        (caller_response.response, reservation) = completed;
    }
    let action = write(gateway, connection, caller_response, is_last).await;
    drop(reservation);
    action
}

/// Whether the response to a request will be sent once it is complete, as far as its route tells.
fn has_short_response(gateway: &Gateway, parts: &request::Parts) -> bool {
    let routing = gateway.routing.borrow();
    let route = forward::host(parts).and_then(|h| routing.lookup.find(h, parts.uri.path()));
    route.is_none_or(|r| routing.has_short_responses(&r.name, clock::now()))
}

/// Waits for a response, received bytes, or a shutdown.
async fn next_event<F>(
    connection: &mut HttpConnection,
    pending: &mut FuturesOrdered<F>,
    member: Option<&mut Registration>,
    timeout: Duration,
) -> Event
where
    F: Future<Output = CallerResponse>,
{
    let idle = pending.is_empty();
    let may_read = connection.buffered_bytes() < READ_AHEAD_BYTES;
    let response = async {
        if idle {
            return future::pending().await;
        }
        pending.next().await
    };
    let read = async {
        if !may_read {
            return future::pending().await;
        }
        connection.fill().await
    };
    let stopping = async {
        match member {
            Some(member) => member.stopped().await,
            None => future::pending().await,
        }
    };
    let progress = async { race::race(pin!(response), pin!(read)).await };
    let event = async { race::race(pin!(progress), pin!(stopping)).await };
    match time::timeout(timeout, event).await {
        Ok(Either::First(Either::First(response))) => Event::Response(response),
        Ok(Either::First(Either::Second(read))) => Event::Read(read),
        Ok(Either::Second(())) => Event::Stopping,
        Err(_) => Event::TimedOut,
    }
}

/// Returns how long to wait for the next event.
fn event_timeout(
    origin: Origin,
    connection: &HttpConnection,
    limits: &Limits,
    idle: bool,
    last_activity: Instant,
    shutdown_deadline: Option<Instant>,
) -> Duration {
    let deadline = match shutdown_deadline {
        _ if !idle && origin == Origin::Peer => clock::now() + PROGRESS_INTERVAL,
        _ if !idle => last_activity + BODY_TIMEOUT,
        _ if connection.buffered_bytes() > 0 => last_activity + limits.header_timeout,
        Some(shutdown_deadline) => shutdown_deadline,
        None if origin == Origin::Peer => last_activity + HOP_IDLE_TIMEOUT,
        None => last_activity + limits.idle_timeout + IDLE_TIMEOUT_MARGIN,
    };
    deadline.saturating_duration_since(clock::now())
}

/// Request with a complete body.
struct BufferedRequest {
    parts: request::Parts,
    body: Bytes,
}

/// Request that can't be decoded.
struct MalformedRequest {
    error: DecodeError,
    /// Whether the method is `HEAD`.
    is_head: bool,
}

/// Processes a request, or answers a malformed one.
async fn handle(
    origin: Origin,
    gateway: Rc<Gateway>,
    request: Result<BufferedRequest, MalformedRequest>,
) -> CallerResponse {
    let BufferedRequest { parts, body } = match request {
        Ok(request) => request,
        Err(request) => return reject(&request),
    };
    let close = !keeps_alive(&parts);
    let request_id = parts.headers.get(&gateway.header_names.request_id).cloned();
    let response = match origin {
        Origin::Peer => {
            let work = pin!(RoutedRequest::run_from_peer(&gateway, &parts, body));
            until_aborted(&gateway, request_id.as_ref(), work).await
        }
        Origin::Caller => match RoutedRequest::new(&gateway, &parts) {
            Ok(routed) => {
                until_aborted(&gateway, request_id.as_ref(), pin!(routed.run(body))).await
            }
            Err(response) => Response::Local(response),
        },
    };
    CallerResponse {
        response,
        request_id,
        is_head: parts.method == Method::HEAD,
        close,
    }
}

/// Waits for a response until requests in flight are aborted.
async fn until_aborted<F>(
    gateway: &Gateway,
    request_id: Option<&HeaderValue>,
    mut work: Pin<&mut F>,
) -> Response
where
    F: Future<Output = Response>,
{
    let mut abort = gateway.abort.register();
    match race::race(work.as_mut(), pin!(abort.stopped())).await {
        Either::First(response) => response,
        Either::Second(()) => {
            let response = LocalResponse::new(
                StatusCode::GATEWAY_TIMEOUT,
                "this VM ends before the backend server has answered",
            );
            increment(&gateway.counters.rejected);
            log::info!(
                "event=gateway.cut id={request_id:?} status={} reason={:?}",
                response.status.as_u16(),
                response.reason,
            );
            Response::Local(response)
        }
    }
}

/// Reads the body of a request and processes it.
async fn handle_with_body(
    origin: Origin,
    gateway: &Rc<Gateway>,
    connection: &mut HttpConnection,
    head: RequestHead,
    limits: &Limits,
) -> ConnectionAction {
    let RequestHead { parts, mut body } = head;
    if expects_continue(&parts) && connection.buffered_bytes() == 0 {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
        if connection.write(interim).await.is_err() {
            return ConnectionAction::Close;
        }
    }
    let request_id = parts.headers.get(&gateway.header_names.request_id).cloned();
    let is_head = parts.method == Method::HEAD;
    let caller_timeout = head::parse_number(&parts.headers, &gateway.header_names.deadline);
    let timeout = caller_timeout.map_or(BODY_TIMEOUT, Duration::from_millis);
    let reading = read_request_body(connection, &mut body);
    let read = time::timeout(timeout.min(BODY_TIMEOUT), reading).await;
    let (buffered, is_complete) = match read {
        Ok(Ok(read)) => read,
        Ok(Err(error)) => {
            let response = reject(&MalformedRequest { error, is_head });
            write(gateway, connection, response, true).await;
            return ConnectionAction::Close;
        }
        Err(_) => {
            let response = CallerResponse {
                request_id,
                ..request_timeout(is_head)
            };
            write(gateway, connection, response, true).await;
            return ConnectionAction::Close;
        }
    };
    if is_complete {
        let request = BufferedRequest {
            parts,
            body: buffered,
        };
        let mut response = pin!(handle(origin, Rc::clone(gateway), Ok(request)));
        let response = match origin {
            Origin::Caller => until_disconnected(connection, response.as_mut()).await,
            Origin::Peer => with_progress(connection, response.as_mut()).await,
        };
        return match response {
            Some(response) => write(gateway, connection, response, true).await,
            None => ConnectionAction::Close,
        };
    }
    let close = !keeps_alive(&parts);
    let buffered_bytes = buffered.len() as u64;
    let response = match RoutedRequest::new(gateway, &parts) {
        _ if origin == Origin::Peer => RoutedRequest::refuse_stream(gateway, request_id.as_ref()),
        Err(response) => Response::Local(response),
        Ok(routed) => {
            let source = BodySource {
                buffered,
                connection,
                reader: &mut body,
                content_length: forward::content_length(&parts.headers),
                remaining_limit: limits.body_bytes.saturating_sub(buffered_bytes),
            };
            until_aborted(gateway, request_id.as_ref(), pin!(routed.stream(source))).await
        }
    };
    let response = CallerResponse {
        response,
        request_id,
        is_head,
        close: close || !body.is_done(),
    };
    write(gateway, connection, response, true).await
}

/// Runs work for another entry VM and tells it at intervals that the work is under way; `None` if
/// it disconnects first.
async fn with_progress<F>(
    connection: &mut HttpConnection,
    mut work: Pin<&mut F>,
) -> Option<F::Output>
where
    F: Future,
{
    loop {
        let step = until_disconnected(connection, work.as_mut());
        if let Ok(output) = time::timeout(PROGRESS_INTERVAL, step).await {
            return output;
        }
        connection.write(PROGRESS.to_vec()).await.ok()?;
    }
}

/// Reads a body to its end (true), or until [`MAX_BUFFERED_BYTES`] are buffered (false).
async fn read_request_body(
    connection: &mut HttpConnection,
    body: &mut BodyReader,
) -> Result<(Bytes, bool), DecodeError> {
    let mut buffered = BytesMut::new();
    loop {
        match connection.next_body_event(body)? {
            BodyEvent::End => return Ok((buffered.freeze(), true)),
            BodyEvent::Data(data) => {
                buffered.extend_from_slice(&data);
                if buffered.len() > MAX_BUFFERED_BYTES {
                    return Ok((buffered.freeze(), false));
                }
            }
            BodyEvent::NeedMore => {
                if connection.fill().await? == 0 {
                    return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
                }
            }
        }
    }
}

fn request_timeout(is_head: bool) -> CallerResponse {
    let response = LocalResponse::new(StatusCode::REQUEST_TIMEOUT, "the request took too long");
    CallerResponse {
        response: Response::Local(response),
        request_id: None,
        is_head,
        close: true,
    }
}

fn reject(request: &MalformedRequest) -> CallerResponse {
    let response = match &request.error {
        DecodeError::HeadTooLarge => LocalResponse::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the head is too large",
        ),
        DecodeError::BodyTooLarge => {
            LocalResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        DecodeError::Malformed(reason) => LocalResponse::new(StatusCode::BAD_REQUEST, reason),
        DecodeError::Io(_) => LocalResponse::new(StatusCode::BAD_REQUEST, "the request broke off"),
    };
    log::info!("event=gateway.malformed reason={:?}", response.reason);
    CallerResponse {
        response: Response::Local(response),
        request_id: None,
        is_head: request.is_head,
        close: true,
    }
}

fn head_limits(origin: Origin, limits: &Limits) -> HeadLimits {
    let hop_bytes = match origin {
        Origin::Caller => 0,
        Origin::Peer => HOP_HEAD_BYTES,
    };
    HeadLimits {
        head_bytes: limits.header_bytes.saturating_add(hop_bytes),
        body_bytes: limits.body_bytes,
    }
}

fn expects_continue(parts: &request::Parts) -> bool {
    let expect = parts.headers.get(header::EXPECT);
    expect.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Whether the caller keeps the connection open after a request.
fn keeps_alive(parts: &request::Parts) -> bool {
    let values = parts.headers.get_all(header::CONNECTION).iter();
    let mut options = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    match parts.version {
        _ if parts.method == Method::CONNECT => false,
        Version::HTTP_11 => !options.any(|w| w.trim().eq_ignore_ascii_case("close")),
        _ => options.any(|w| w.trim().eq_ignore_ascii_case("keep-alive")),
    }
}
