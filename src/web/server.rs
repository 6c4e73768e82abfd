//! The answering side: one task for each connection.

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

use super::decode::{ChunkedBody, DecodeError, FixedBody, Payload, RequestHeads};
use super::encode::Whole;
use super::guard;
use super::limits::Limits;
use super::race::{self, Either};
use super::socket::{self, Caller};
use super::stop::{Registration, StopHandle};
use crate::verdict::Verdict;

/// Says whether a request may have run.
const VERDICT: HeaderName = HeaderName::from_static("agateyoke-verdict");

/// Wait after a failed accept, such as with no file descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time without a new connection after which a server that stops accepts no more.
const ACCEPT_QUIET: Duration = Duration::from_millis(20);

/// Longest time that a server which stops goes on accepting.
const ACCEPT_LAST: Duration = Duration::from_secs(1);

/// Longest time to read and drop what a refused caller still sends.
const LINGER: Duration = Duration::from_millis(500);

/// Bytes read at once while lingering.
const LINGER_BYTES: usize = 16 << 10;

/// Connections over the limit that are told so at a time; more are dropped.
const REFUSED_CONNECTIONS: usize = 64;

/// Answers the connections of `listener` until `stop`.
///
/// `handler` gets each request with its whole body. It returns soon after the
/// server was asked to stop, once every connection that the operating system
/// had taken is accepted, as closing the listener would reset these; open
/// connections finish in their own tasks, see [`StopHandle::wait_closed`].
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, stop: StopHandle, handler: H)
where
    H: Fn(http::Request<Bytes>) -> F + 'static,
    F: Future<Output = http::Response<Bytes>> + 'static,
{
    let limits = Rc::new(limits);
    let handler = Rc::new(handler);
    let refusing = Rc::new(Cell::new(0));
    let mut member = stop.register();
    let mut last = None;
    loop {
        let accepted = match last {
            None => race::race(pin!(listener.accept()), pin!(member.stopped())).await,
            Some(last) if Instant::now() >= last => return,
            Some(_) => match time::timeout(ACCEPT_QUIET, listener.accept()).await {
                Ok(accepted) => Either::First(accepted),
                Err(_) => return,
            },
        };
        match accepted {
            Either::Second(()) => last = Some(Instant::now() + ACCEPT_LAST),
            Either::First(Err(_)) => time::sleep(ACCEPT_PAUSE).await,
            Either::First(Ok((stream, _))) if stop.open_count() > limits.connections => {
                refuse(stream, &limits, &refusing);
            }
            Either::First(Ok((stream, address))) => {
                let connection = Connection::new(stream, address, &limits, stop.register());
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

/// Tells a caller that there are too many connections.
fn refuse(stream: TcpStream, limits: &Rc<Limits>, refusing: &Rc<Cell<usize>>) {
    if refusing.get() >= REFUSED_CONNECTIONS {
        return;
    }
    refusing.set(refusing.get() + 1);
    let refusing = Rc::clone(refusing);
    let limits = Rc::clone(limits);
    monoio::spawn(async move {
        let (reader, writer) = stream.into_split();
        let mut reader = FramedRead::new(reader, RequestHeads::new(0, 0));
        let mut writer = GenericEncoder::new(writer);
        let reason = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
        write(&mut writer, reason.response(), limits.write).await;
        linger(&mut reader, &mut writer).await;
        refusing.set(refusing.get() - 1);
    });
}

/// One connection and what it may use.
struct Connection {
    reader: FramedRead<TcpOwnedReadHalf, RequestHeads>,
    writer: GenericEncoder<TcpOwnedWriteHalf>,
    caller: Caller,
    limits: Rc<Limits>,
    member: Registration,
}

/// Why a request gets no handler's answer.
struct Refusal {
    status: StatusCode,
    verdict: Verdict,
    reason: &'static str,
}

/// What came of waiting for a request.
enum Wait {
    Bytes,
    Closed,
    TimedOut,
}

impl Connection {
    fn new(
        stream: TcpStream,
        address: SocketAddr,
        limits: &Rc<Limits>,
        member: Registration,
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
            member,
        }
    }

    async fn run<H, F>(mut self, handler: &H)
    where
        H: Fn(http::Request<Bytes>) -> F,
        F: Future<Output = http::Response<Bytes>>,
    {
        let first_byte = self.limits.first_byte;
        match self.wait(first_byte).await {
            Wait::Bytes => {}
            Wait::Closed => return,
            Wait::TimedOut => return self.refuse(&Refusal::timeout()).await,
        }
        loop {
            let request = match self.read().await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(refusal) => return self.refuse(&refusal).await,
            };
            if !self.answer(request, handler).await {
                return;
            }
            match self.wait(self.limits.idle).await {
                Wait::Bytes => {}
                Wait::Closed | Wait::TimedOut => return,
            }
        }
    }

    /// Waits for the first byte of a request.
    async fn wait(&mut self, limit: Duration) -> Wait {
        if !self.reader.read_buffer().is_empty() {
            return Wait::Bytes;
        }
        let reader = &mut self.reader;
        let mut peek = pin!(async { reader.peek_data().await.map(|bytes| bytes.len()) });
        let stopped = pin!(self.member.stopped());
        let peeked = match time::timeout(limit, race::race(peek.as_mut(), stopped)).await {
            Ok(Either::First(peeked)) => Ok(peeked),
            Ok(Either::Second(())) => time::timeout(self.limits.leave, peek).await,
            Err(elapsed) => Err(elapsed),
        };
        match peeked {
            Ok(Ok(length)) if length > 0 => Wait::Bytes,
            Ok(_) => Wait::Closed,
            Err(_) => Wait::TimedOut,
        }
    }

    /// Reads one request; `None` if the connection was closed before it.
    async fn read(&mut self) -> Result<Option<http::Request<Bytes>>, Refusal> {
        let head = time::timeout(self.limits.head, self.reader.next())
            .await
            .map_err(|_| Refusal::timeout())?;
        let (mut head, payload) = match head {
            Some(Ok(head)) => head,
            Some(Err(error)) => return Err(Refusal::from(error)),
            None => return Ok(None),
        };
        if expects_continue(&head) && self.reader.read_buffer().is_empty() {
            socket::send_continue(self.caller.fd);
        }
        let body = time::timeout(self.limits.body, self.read_body(payload))
            .await
            .map_err(|_| Refusal::timeout())?;
        head.extensions.insert(self.caller);
        Ok(Some(http::Request::from_parts(head, body?)))
    }

    async fn read_body(&mut self, payload: Payload) -> Result<Bytes, Refusal> {
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

    /// Answers one request; whether the connection goes on.
    async fn answer<H, F>(&mut self, request: http::Request<Bytes>, handler: &H) -> bool
    where
        H: Fn(http::Request<Bytes>) -> F,
        F: Future<Output = http::Response<Bytes>>,
    {
        let is_head = request.method() == Method::HEAD;
        let goes_on = keeps_alive(request.version(), request.headers());
        let answered = guard::catch_panic(pin!(handler(request))).await;
        let panicked = answered.is_none();
        let mut response = answered.unwrap_or_else(|| {
            log::error!("event=web.panic caller={:?}", self.caller.address);
            Refusal::failed().response()
        });
        let goes_on = goes_on && !panicked && !self.member.is_stopping();
        if !goes_on {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        if is_head {
            *response.body_mut() = Bytes::new();
        }
        let written = write(&mut self.writer, response, self.limits.write).await;
        if written && !goes_on {
            linger(&mut self.reader, &mut self.writer).await;
        }
        written && goes_on
    }

    async fn refuse(mut self, refusal: &Refusal) {
        if write(&mut self.writer, refusal.response(), self.limits.write).await {
            linger(&mut self.reader, &mut self.writer).await;
        }
    }
}

impl Refusal {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            reason,
        }
    }

    fn failed() -> Self {
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
        headers.insert(VERDICT, verdict);
        response
    }
}

impl From<DecodeError> for Refusal {
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

/// Writes a response; false if that failed or took too long.
async fn write(
    writer: &mut GenericEncoder<TcpOwnedWriteHalf>,
    response: http::Response<Bytes>,
    limit: Duration,
) -> bool {
    let response = response.map(Whole::new);
    let write = async {
        writer.send(response).await?;
        Sink::<http::Response<Whole>>::flush(writer).await
    };
    matches!(time::timeout(limit, write).await, Ok(Ok(())))
}

/// Closes the sending side and drops what still arrives, so that the last
/// answer is not lost to a reset.
async fn linger(
    reader: &mut FramedRead<TcpOwnedReadHalf, RequestHeads>,
    writer: &mut GenericEncoder<TcpOwnedWriteHalf>,
) {
    let _ = Sink::<http::Response<Whole>>::close(writer).await;
    let end = Instant::now() + LINGER;
    let mut buffer = vec![0u8; LINGER_BYTES];
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

fn expects_continue(head: &request::Parts) -> bool {
    let expect = head.headers.get(header::EXPECT);
    expect.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Whether the sender of a message keeps its connection open.
pub(super) fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let connection = headers.get_all(header::CONNECTION);
    let mut words = connection
        .iter()
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .map(<[u8]>::trim_ascii);
    match version {
        Version::HTTP_11 => !words.any(|w| w.eq_ignore_ascii_case(b"close")),
        _ => words.any(|w| w.eq_ignore_ascii_case(b"keep-alive")),
    }
}
