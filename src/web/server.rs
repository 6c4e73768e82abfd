//! HTTP server with one task for each connection.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version, header, request};
use monoio::io::sink::Sink;
use monoio::io::stream::Stream;
use monoio::io::{AsyncReadRent, Splitable};
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio::net::{TcpListener, TcpStream};
use monoio::time;
use monoio_codec::FramedRead;
use monoio_http::h1::codec::decoder::PayloadDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;

use super::burst::Burst;
use super::decode::{ChunkedBody, DecodeError, FixedBody, Payload, RequestHeads};
use super::encode::FullBody;
use super::guard;
use super::limits::Limits;
use super::position::{Position, Positions, SentAfter};
use super::race::{self, Either};
use super::socket::{self, Caller};
use super::stop::{Registration, StopHandle};
use crate::verdict::Verdict;

/// Header that says whether a request may have run.
const VERDICT_HEADER: HeaderName = HeaderName::from_static("agateyoke-verdict");

/// Delay after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A stopping server accepts no more once this time has passed without a new connection.
const STOP_ACCEPT_IDLE_TIMEOUT: Duration = Duration::from_millis(20);

/// Longest time for which a stopping server still accepts connections.
const STOP_ACCEPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for discarding what arrives after the last response of a connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

const LINGER_BUFFER_BYTES: usize = 16 << 10;

/// Greatest number of connections over the limit that get an error response at the
/// same time; further ones are closed without a response.
const MAX_CONCURRENT_REFUSALS: usize = 64;

/// Serves the connections of `listener` until `stop`.
///
/// `handler` gets each request with its whole body. After a stop was requested,
/// the connections in the backlog of the operating system are still accepted,
/// as closing the listener would reset them; then the function returns. Open
/// connections finish in their own tasks, see [`StopHandle::wait_closed`].
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, stop: StopHandle, handler: H)
where
    H: Fn(http::Request<Bytes>) -> F + 'static,
    F: Future<Output = http::Response<Bytes>> + 'static,
{
    let positions = Positions::<fn() -> Position>::untracked();
    accept_connections(listener, limits, stop, positions, handler).await;
}

/// Like [`serve`]; each request has its [`SentAfter`] in its extensions, by the position that
/// `current` returns.
pub async fn serve_ordered<P, H, F>(
    listener: TcpListener,
    limits: Limits,
    stop: StopHandle,
    current: P,
    handler: H,
) where
    P: Fn() -> Position + 'static,
    H: Fn(http::Request<Bytes>) -> F + 'static,
    F: Future<Output = http::Response<Bytes>> + 'static,
{
    let positions = Positions::tracked(current);
    accept_connections(listener, limits, stop, positions, handler).await;
}

async fn accept_connections<P, H, F>(
    listener: TcpListener,
    limits: Limits,
    stop: StopHandle,
    positions: Positions<P>,
    handler: H,
) where
    P: Fn() -> Position + 'static,
    H: Fn(http::Request<Bytes>) -> F + 'static,
    F: Future<Output = http::Response<Bytes>> + 'static,
{
    let positions = Rc::new(positions);
    let mut sent_after = Position::default();
    let limits = Rc::new(limits);
    let handler = Rc::new(handler);
    let refusals = Rc::new(Cell::new(0));
    let mut registration = stop.register();
    let mut accept_end = None;
    loop {
        sent_after = positions.before_connection(listener.as_raw_fd(), sent_after);
        let accepted = match accept_end {
            None => {
                let accept = time::timeout(positions.refresh_interval(), listener.accept());
                match race::race(pin!(accept), pin!(registration.stopped())).await {
                    Either::First(Ok(accepted)) => Either::First(accepted),
                    Either::First(Err(_)) => continue,
                    Either::Second(()) => Either::Second(()),
                }
            }
            Some(end) if Instant::now() >= end => return,
            Some(_) => match time::timeout(STOP_ACCEPT_IDLE_TIMEOUT, listener.accept()).await {
                Ok(accepted) => Either::First(accepted),
                Err(_) => return,
            },
        };
        match accepted {
            Either::Second(()) => accept_end = Some(Instant::now() + STOP_ACCEPT_TIMEOUT),
            Either::First(Err(_)) => time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::First(Ok((stream, _))) if stop.open_count() > limits.max_connections => {
                refuse(stream, &limits, &refusals);
            }
            Either::First(Ok((stream, address))) => {
                let order = Order {
                    positions: Rc::clone(&positions),
                    sent_after,
                };
                let connection = Connection::new(stream, address, &limits, order, stop.register());
                let handler = Rc::clone(&handler);
                monoio::spawn(async move {
                    let work = pin!(connection.run(&*handler));
                    if guard::catch_panic(work).await.is_none() {
                        log::error!("event=web.panic caller={address}");
                    }
                });
            }
        }
    }
}

/// Responds with status 503, because there are too many connections, and closes the connection.
fn refuse(stream: TcpStream, limits: &Rc<Limits>, refusals: &Rc<Cell<usize>>) {
    if refusals.get() >= MAX_CONCURRENT_REFUSALS {
        return;
    }
    refusals.set(refusals.get() + 1);
    let refusals = Rc::clone(refusals);
    let limits = Rc::clone(limits);
    monoio::spawn(async move {
        let (reader, writer) = stream.into_split();
        let mut reader = FramedRead::new(reader, RequestHeads::new(0, 0));
        let mut writer = GenericEncoder::new(writer);
        let error_response =
            ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
        write(&mut writer, error_response.response(), limits.write_timeout).await;
        linger(&mut reader, &mut writer).await;
        refusals.set(refusals.get() - 1);
    });
}

/// Connection of a caller and its limits.
struct Connection<P> {
    reader: FramedRead<TcpOwnedReadHalf, RequestHeads>,
    writer: GenericEncoder<TcpOwnedWriteHalf>,
    caller: Caller,
    limits: Rc<Limits>,
    order: Order<P>,
    registration: Registration,
}

/// What is known of the time at which the next request of a connection is sent.
struct Order<P> {
    positions: Rc<Positions<P>>,
    sent_after: Position,
}

/// Error response of the server itself, in place of the handler's.
struct ErrorResponse {
    status: StatusCode,
    verdict: Verdict,
    reason: &'static str,
}

/// Result of waiting for a request.
enum WaitResult {
    Bytes,
    Closed,
    TimedOut,
}

impl<P> Connection<P>
where
    P: Fn() -> Position,
{
    fn new(
        stream: TcpStream,
        address: SocketAddr,
        limits: &Rc<Limits>,
        order: Order<P>,
        registration: Registration,
    ) -> Self {
        let _ = stream.set_nodelay(true);
        let caller = Caller {
            address: Some(address),
            fd: stream.as_raw_fd(),
        };
        let (reader, writer) = stream.into_split();
        let heads = RequestHeads::new(limits.head_bytes, limits.body_bytes);
        Self {
            reader: FramedRead::new(reader, heads),
            writer: GenericEncoder::new(writer),
            caller,
            limits: Rc::clone(limits),
            order,
            registration,
        }
    }

    async fn run<H, F>(mut self, handler: &H)
    where
        H: Fn(http::Request<Bytes>) -> F,
        F: Future<Output = http::Response<Bytes>>,
    {
        let limit = self.limits.first_byte_timeout;
        match self.wait_for_request(limit).await {
            WaitResult::Bytes => {}
            WaitResult::Closed => return,
            WaitResult::TimedOut => return self.refuse(&ErrorResponse::timeout()).await,
        }
        let mut burst = Burst::default();
        loop {
            burst.pause_if_long().await;
            let read = burst.run(pin!(self.read())).await;
            let request = match read {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error_response) => return self.refuse(&error_response).await,
            };
            if !burst.run(pin!(self.handle(request, handler))).await {
                return;
            }
            let limit = self.limits.idle_timeout;
            match burst.run(pin!(self.wait_for_request(limit))).await {
                WaitResult::Bytes => {}
                WaitResult::Closed | WaitResult::TimedOut => return,
            }
        }
    }

    /// Waits for the first byte of a request.
    async fn wait_for_request(&mut self, limit: Duration) -> WaitResult {
        if !self.reader.read_buffer().is_empty() {
            return WaitResult::Bytes;
        }
        let reader = &mut self.reader;
        let mut peek = pin!(async { reader.peek_data().await.map(|bytes| bytes.len()) });
        let stopped = pin!(self.registration.stopped());
        let peeked = match time::timeout(limit, race::race(peek.as_mut(), stopped)).await {
            Ok(Either::First(peeked)) => Ok(peeked),
            Ok(Either::Second(())) => time::timeout(self.limits.stop_timeout, peek).await,
            Err(elapsed) => Err(elapsed),
        };
        match peeked {
            Ok(Ok(length)) if length > 0 => WaitResult::Bytes,
            Ok(_) => WaitResult::Closed,
            Err(_) => WaitResult::TimedOut,
        }
    }

    /// Reads one request; `None` if the connection was closed before it.
    async fn read(&mut self) -> Result<Option<http::Request<Bytes>>, ErrorResponse> {
        let head = time::timeout(self.limits.head_timeout, self.reader.next())
            .await
            .map_err(|_| ErrorResponse::timeout())?;
        let (mut head, payload) = match head {
            Some(Ok(head)) => head,
            Some(Err(error)) => return Err(ErrorResponse::from(error)),
            None => return Ok(None),
        };
        if expects_100_continue(&head) && self.reader.read_buffer().is_empty() {
            socket::send_continue(self.caller.fd);
        }
        let body = time::timeout(self.limits.body_timeout, self.read_body(payload))
            .await
            .map_err(|_| ErrorResponse::timeout())?;
        head.extensions.insert(self.caller);
        head.extensions.insert(SentAfter(self.order.sent_after));
        Ok(Some(http::Request::from_parts(head, body?)))
    }

    async fn read_body(&mut self, payload: Payload) -> Result<Bytes, ErrorResponse> {
        let body = match payload {
            PayloadDecoder::None => return Ok(Bytes::new()),
            PayloadDecoder::Fixed(inner) => self.reader.next_with(&mut FixedBody(inner)).await,
            PayloadDecoder::Streamed(inner) => {
                let mut decoder = ChunkedBody::new(inner, self.limits.body_bytes);
                self.reader.next_with(&mut decoder).await
            }
        };
        match body {
            Some(body) => Ok(body?),
            None => Err(DecodeError::from(io::Error::from(io::ErrorKind::UnexpectedEof)).into()),
        }
    }

    /// Handles one request; true if the connection stays open.
    async fn handle<H, F>(&mut self, request: http::Request<Bytes>, handler: &H) -> bool
    where
        H: Fn(http::Request<Bytes>) -> F,
        F: Future<Output = http::Response<Bytes>>,
    {
        let is_head_request = request.method() == Method::HEAD;
        let keep_open = keeps_alive(request.version(), request.headers());
        let outcome = guard::catch_panic(pin!(handler(request))).await;
        let panicked = outcome.is_none();
        let mut response = outcome.unwrap_or_else(|| {
            log::error!("event=web.panic caller={:?}", self.caller.address);
            ErrorResponse::handler_panicked().response()
        });
        let keep_open = keep_open && !panicked && !self.registration.is_stopping();
        if !keep_open {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        if is_head_request {
            *response.body_mut() = Bytes::new();
        }
        if self.reader.read_buffer().is_empty() {
            let Order {
                positions,
                sent_after,
            } = &mut self.order;
            *sent_after = positions.before_response(self.caller.fd, *sent_after);
        }
        let written = write(&mut self.writer, response, self.limits.write_timeout).await;
        if written && !keep_open {
            linger(&mut self.reader, &mut self.writer).await;
        }
        written && keep_open
    }

    async fn refuse(mut self, error_response: &ErrorResponse) {
        let mut response = error_response.response();
        if self.reader.decoder().is_head_request() {
            response.body_mut().clear();
        }
        if write(&mut self.writer, response, self.limits.write_timeout).await {
            linger(&mut self.reader, &mut self.writer).await;
        }
    }
}

impl ErrorResponse {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            reason,
        }
    }

    fn handler_panicked() -> Self {
        Self {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            verdict: Verdict::MayHaveRun,
            reason: "the handler failed",
        }
    }

    fn timeout() -> Self {
        Self::new(StatusCode::REQUEST_TIMEOUT, "the request took too long")
    }

    fn response(&self) -> http::Response<Bytes> {
        let mut response = http::Response::new(Bytes::from_static(self.reason.as_bytes()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        headers.insert(VERDICT_HEADER, verdict);
        response
    }
}

impl From<DecodeError> for ErrorResponse {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::HeadTooLarge => Self::new(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "head too large",
            ),
            DecodeError::BodyTooLarge => Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
            DecodeError::Malformed(reason) => Self::new(StatusCode::BAD_REQUEST, reason),
            DecodeError::Io(_) => Self::new(StatusCode::BAD_REQUEST, "the request broke off"),
        }
    }
}

/// Writes a response; false on an error or a timeout.
async fn write(
    writer: &mut GenericEncoder<TcpOwnedWriteHalf>,
    response: http::Response<Bytes>,
    limit: Duration,
) -> bool {
    let response = response.map(FullBody::new);
    let write = async {
        writer.send(response).await?;
        Sink::<http::Response<FullBody>>::flush(writer).await
    };
    matches!(time::timeout(limit, write).await, Ok(Ok(())))
}

/// Shuts down writing and discards what still arrives, so that a reset does
/// not destroy the last response.
async fn linger(
    reader: &mut FramedRead<TcpOwnedReadHalf, RequestHeads>,
    writer: &mut GenericEncoder<TcpOwnedWriteHalf>,
) {
    let _ = Sink::<http::Response<FullBody>>::close(writer).await;
    let end = Instant::now() + LINGER_TIMEOUT;
    let mut buffer = vec![0u8; LINGER_BUFFER_BYTES];
    while let Some(left) = end.checked_duration_since(Instant::now()) {
        let Ok((read, returned)) = time::timeout(left, reader.get_mut().read(buffer)).await else {
            return;
        };
        match read {
            Ok(length) if length > 0 => buffer = returned,
            _ => return,
        }
    }
}

fn expects_100_continue(head: &request::Parts) -> bool {
    let expect = head.headers.get(header::EXPECT);
    expect.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Whether the sender of a message keeps the connection open.
pub(super) fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let connection = headers.get_all(header::CONNECTION);
    let mut options = connection
        .iter()
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .map(<[u8]>::trim_ascii);
    match version {
        Version::HTTP_11 => !options.any(|o| o.eq_ignore_ascii_case(b"close")),
        _ => options.any(|o| o.eq_ignore_ascii_case(b"keep-alive")),
    }
}
