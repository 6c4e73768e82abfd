//! One connection of a caller.
//!
//! Requests are read ahead and carried out side by side; answers go out in the
//! order of their requests. When the caller leaves, the work for it is dropped,
//! and with it the connections to backend servers.

use std::future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{FuturesOrdered, StreamExt};
use http::{HeaderValue, Method, StatusCode, Version, header, request};
use monoio::net::TcpStream;
use monoio::time;

use super::answer::{Answer, Own};
use super::exchange::{HELD_BYTES, Source};
use super::reply::{self, AHEAD_BYTES, Reply, Then, until_left, write};
use super::request::{self as carry, Job};
use super::{Gate, count};
use crate::clock;
use crate::table::Limits;
use crate::web::decode::DecodeError;
use crate::web::race::{self, Either};
use crate::web::stop::Member;
use crate::web::wire::{BodyReader, HeadLimits, Piece, RequestHead, Wire};

/// Requests of one connection that are under way at a time.
const AHEAD: usize = 16;

/// Longest time to read a body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time added to the idle time that callers count on, so that they close first.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Time that an idle connection stays open once this VM stops: until the
/// balancer sends no more, a caller may send one more request on it.
pub const LEAVE: Duration = Duration::from_millis(2500);

/// What came of waiting.
enum Event {
    Reply(Option<Reply>),
    Read(std::io::Result<usize>),
    Late,
    Stopped,
}

/// Serves one connection until either end closes it.
pub async fn serve(gate: Rc<Gate>, stream: TcpStream) {
    let mut wire = Wire::new(stream);
    // Boxed, as the queue of an idle connection keeps the room of its last one.
    let mut pending = FuturesOrdered::new();
    let mut member = gate.stop.join();
    let mut reading = true;
    let mut since = clock::now();
    let mut leaving: Option<Instant> = None;
    loop {
        let limits = Rc::clone(&gate.known.borrow().limits);
        while reading && pending.len() < AHEAD {
            match wire.request(head_limits(&limits)) {
                Ok(None) => break,
                Err(error) => {
                    pending.push_back(Box::pin(run(Rc::clone(&gate), Err(error))));
                    reading = false;
                }
                Ok(Some(head)) if head.body.is_done() => {
                    reading = keeps_alive(&head.parts);
                    let whole = Whole {
                        parts: head.parts,
                        body: Bytes::new(),
                    };
                    pending.push_back(Box::pin(run(Rc::clone(&gate), Ok(whole))));
                }
                Ok(Some(head)) => {
                    // A body is read only when nothing before it is under way.
                    while let Some(reply) = pending.next().await {
                        if write(&gate, &mut wire, reply, false).await == Then::End {
                            return;
                        }
                    }
                    // Boxed, as an idle connection would hold room for it otherwise.
                    let work = Box::pin(with_body(&gate, &mut wire, head, &limits));
                    if work.await == Then::End {
                        return;
                    }
                }
            }
            since = clock::now();
        }
        if pending.is_empty() && !reading {
            return reply::end(&mut wire).await;
        }
        let limit = wait_limit(&wire, &limits, pending.is_empty(), since, leaving);
        let listening = leaving.is_none().then_some(&mut member);
        let event = wait(&mut wire, &mut pending, listening, limit).await;
        match event {
            Event::Reply(Some(reply)) => {
                let last = pending.is_empty();
                // What is not read is not run, and callers send it again elsewhere.
                reading = reading && (last || !gate.stop.is_stopping());
                if write(&gate, &mut wire, reply, last).await == Then::End {
                    return;
                }
                since = clock::now();
            }
            Event::Read(Ok(length)) if length > 0 && wire.waiting() == length => {
                since = clock::now();
            }
            Event::Stopped => leaving = Some(clock::now() + LEAVE),
            Event::Read(Ok(length)) if length > 0 => {}
            // Work under way has its own deadline, however far away that is.
            Event::Late if !pending.is_empty() => since = clock::now(),
            Event::Late if wire.waiting() > 0 => {
                write(&gate, &mut wire, too_late(), true).await;
                return;
            }
            Event::Read(_) | Event::Reply(None) | Event::Late => return,
        }
    }
}

/// Waits for an answer, for bytes, or for the word to stop.
async fn wait<F>(
    wire: &mut Wire,
    pending: &mut FuturesOrdered<F>,
    member: Option<&mut Member>,
    limit: Duration,
) -> Event
where
    F: Future<Output = Reply>,
{
    let idle = pending.is_empty();
    let ahead = wire.waiting() < AHEAD_BYTES;
    let reply = async {
        if idle {
            return future::pending().await;
        }
        pending.next().await
    };
    let read = async {
        if !ahead {
            return future::pending().await;
        }
        wire.fill().await
    };
    let stopped = async {
        match member {
            Some(member) => member.stopped().await,
            None => future::pending().await,
        }
    };
    let moved = async { race::race(pin!(reply), pin!(read)).await };
    let work = async { race::race(pin!(moved), pin!(stopped)).await };
    match time::timeout(limit, work).await {
        Ok(Either::First(Either::First(reply))) => Event::Reply(reply),
        Ok(Either::First(Either::Second(read))) => Event::Read(read),
        Ok(Either::Second(())) => Event::Stopped,
        Err(_) => Event::Late,
    }
}

/// How long to wait for anything to happen.
fn wait_limit(
    wire: &Wire,
    limits: &Limits,
    idle: bool,
    since: Instant,
    leaving: Option<Instant>,
) -> Duration {
    let until = match leaving {
        _ if !idle => since + BODY_TIMEOUT,
        _ if wire.waiting() > 0 => since + limits.header_timeout,
        Some(leaving) => leaving,
        None => since + limits.idle_timeout + IDLE_SLACK,
    };
    until.saturating_duration_since(clock::now())
}

/// A request whose body is there.
struct Whole {
    parts: request::Parts,
    body: Bytes,
}

/// Carries out a request, or says why it is none.
async fn run(gate: Rc<Gate>, request: Result<Whole, DecodeError>) -> Reply {
    let Whole { parts, body } = match request {
        Ok(whole) => whole,
        Err(error) => return refuse(&error),
    };
    let close = !keeps_alive(&parts);
    let id = parts.headers.get(&gate.names.request).cloned();
    let answer = match Job::new(&gate, &parts) {
        Ok(job) => until_cut(&gate, id.as_ref(), pin!(job.run(body))).await,
        Err(own) => Answer::Own(own),
    };
    Reply { answer, id, close }
}

/// Waits for an answer until this VM has no time left.
async fn until_cut<F>(gate: &Gate, id: Option<&HeaderValue>, mut work: Pin<&mut F>) -> Answer
where
    F: Future<Output = Answer>,
{
    let mut cut = gate.cut.join();
    match race::race(work.as_mut(), pin!(cut.stopped())).await {
        Either::First(answer) => answer,
        Either::Second(()) => {
            let own = Own::new(
                StatusCode::GATEWAY_TIMEOUT,
                "this VM ends before the backend server has answered",
            );
            count(&gate.counts.refused);
            log::info!(
                "event=gateway.cut id={id:?} status={} reason={:?}",
                own.status.as_u16(),
                own.reason,
            );
            Answer::Own(own)
        }
    }
}

/// Reads the body of a request and carries it out.
async fn with_body(gate: &Rc<Gate>, wire: &mut Wire, head: RequestHead, limits: &Limits) -> Then {
    let RequestHead { parts, mut body } = head;
    if expects_continue(&parts) && wire.waiting() == 0 {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
        if wire.write(interim).await.is_err() {
            return Then::End;
        }
    }
    let read = time::timeout(BODY_TIMEOUT, read_body(wire, &mut body)).await;
    let (first, done) = match read {
        Ok(Ok(read)) => read,
        Ok(Err(error)) => {
            write(gate, wire, refuse(&error), true).await;
            return Then::End;
        }
        Err(_) => return Then::End,
    };
    if done {
        let whole = Whole { parts, body: first };
        let mut reply = pin!(run(Rc::clone(gate), Ok(whole)));
        return match until_left(wire, reply.as_mut()).await {
            Some(reply) => write(gate, wire, reply, true).await,
            None => Then::End,
        };
    }
    let close = !keeps_alive(&parts);
    let id = parts.headers.get(&gate.names.request).cloned();
    let taken = first.len() as u64;
    let answer = match Job::new(gate, &parts) {
        Err(own) => Answer::Own(own),
        Ok(job) => {
            let source = Source {
                first,
                wire,
                reader: &mut body,
                length: carry::body_length(&parts.headers),
                limit: limits.body_bytes.saturating_sub(taken),
            };
            until_cut(gate, id.as_ref(), pin!(job.stream(source))).await
        }
    };
    let reply = Reply {
        answer,
        id,
        close: close || !body.is_done(),
    };
    write(gate, wire, reply, true).await
}

/// Reads a body to its end or as much as is held; whether that was the end.
async fn read_body(wire: &mut Wire, body: &mut BodyReader) -> Result<(Bytes, bool), DecodeError> {
    let mut held = BytesMut::new();
    loop {
        match wire.piece(body)? {
            Piece::End => return Ok((held.freeze(), true)),
            Piece::Data(data) => {
                held.extend_from_slice(&data);
                if held.len() > HELD_BYTES {
                    return Ok((held.freeze(), false));
                }
            }
            Piece::More => {
                if wire.fill().await? == 0 {
                    return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
                }
            }
        }
    }
}

fn too_late() -> Reply {
    let own = Own::new(StatusCode::REQUEST_TIMEOUT, "the request took too long");
    Reply {
        answer: Answer::Own(own),
        id: None,
        close: true,
    }
}

fn refuse(error: &DecodeError) -> Reply {
    let own = match error {
        DecodeError::HeadTooLarge => Own::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the head is too large",
        ),
        DecodeError::BodyTooLarge => {
            Own::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        DecodeError::Malformed(reason) => Own::new(StatusCode::BAD_REQUEST, reason),
        DecodeError::Io(_) => Own::new(StatusCode::BAD_REQUEST, "the request broke off"),
    };
    log::info!("event=gateway.malformed reason={:?}", own.reason);
    Reply {
        answer: Answer::Own(own),
        id: None,
        close: true,
    }
}

fn head_limits(limits: &Limits) -> HeadLimits {
    HeadLimits {
        head_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
    }
}

fn expects_continue(parts: &request::Parts) -> bool {
    let expect = parts.headers.get(header::EXPECT);
    expect.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Whether the caller keeps its connection open after a request.
fn keeps_alive(parts: &request::Parts) -> bool {
    let values = parts.headers.get_all(header::CONNECTION).iter();
    let mut words = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    match parts.version {
        _ if parts.method == Method::CONNECT => false,
        Version::HTTP_11 => !words.any(|w| w.trim().eq_ignore_ascii_case("close")),
        _ => words.any(|w| w.trim().eq_ignore_ascii_case("keep-alive")),
    }
}
