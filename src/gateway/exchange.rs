//! One request at one backend server.
//!
//! The [`Outcome`] says whether the request may have run there. Once a byte
//! was written, only the server's own word proves that it has not.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{StatusCode, header};
use monoio::net::TcpStream;
use monoio::time;

use super::answer::{self, Held, Response, Rest};
use super::backend::{Backend, Underway};
use super::head::{self, LoadTold, Names, Outgoing};
use crate::clock;
use crate::web::decode::DecodeError;
use crate::web::race::{self, Either};
use crate::web::wire::{BodyReader, HeadLimits, Piece, ResponseHead, Wire};

/// Longest wait for a connection: some round trips; the second opening packet comes after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long the other end may leave bytes without acknowledgement: a lost packet is sent
/// again after some 0.2 and 0.6 s, and a dead end acknowledges nothing.
const SILENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes of an answer that are held back until all of it is there, so that one
/// which breaks off can be asked for again.
pub const HELD_BYTES: usize = 64 << 10;

/// Heads of answers.
const HEAD: HeadLimits = HeadLimits {
    head_bytes: 16 << 10,
    body_bytes: u64::MAX >> 1,
};

/// Answers to other requests that are passed over on one connection.
const STRAY_ANSWERS: u32 = 4;

/// What came of one request at one backend server.
#[derive(Debug)]
pub enum Outcome {
    /// It answered.
    Answered(Response),
    /// It did not run the request: it had no room, left, or says so without a reason.
    Full(Option<LoadTold>),
    /// It did not run the request: it is not the holder of the key, or another server.
    Elsewhere,
    /// Nothing was sent.
    NotSent(&'static str),
    /// It may have run the request, and gave no whole answer.
    Broken(&'static str),
    /// It may have run the request, and gave no answer in time.
    TimedOut,
}

/// Body of a request.
#[derive(Debug)]
pub enum Body<'a> {
    /// All of it.
    Whole(Bytes),
    /// The start of it, and where the rest comes from.
    Stream(Source<'a>),
}

/// A request body that still arrives.
#[derive(Debug)]
pub struct Source<'a> {
    /// What has arrived.
    pub first: Bytes,
    /// Connection of the caller.
    pub wire: &'a mut Wire,
    /// Where the reading stands.
    pub reader: &'a mut BodyReader,
    /// Length of all of it, if that is known.
    pub length: Option<u64>,
    /// Bytes that it may have beyond the first.
    pub limit: u64,
}

/// One request as it is sent.
#[derive(Debug)]
pub struct Sending<'a> {
    /// Names of headers.
    pub names: &'a Names,
    /// Its head.
    pub head: &'a Outgoing,
    /// When the caller and the operator give it up.
    pub deadline: Instant,
    /// How lately a kept connection must have answered.
    pub kept: Duration,
    /// Connections that this VM may have to the backend server.
    pub connections: u32,
}

/// Sends a request and waits for its answer.
pub async fn exchange(backend: &Rc<Backend>, sending: &Sending<'_>, body: Body<'_>) -> Outcome {
    let underway = backend.begin();
    let sent = Cell::new(false);
    let left = sending.deadline.saturating_duration_since(clock::now());
    let work = run(backend, sending, body, &sent, underway);
    match time::timeout(left, work).await {
        Ok(outcome) => outcome,
        Err(_) if sent.get() => Outcome::TimedOut,
        Err(_) => Outcome::NotSent("no time left"),
    }
}

async fn run(
    backend: &Rc<Backend>,
    sending: &Sending<'_>,
    body: Body<'_>,
    sent: &Cell<bool>,
    underway: Underway,
) -> Outcome {
    let kept = backend.take(sending.kept);
    let fresh = kept.is_none();
    let mut wire = match kept {
        Some(wire) => wire,
        None => match connect(backend, sending.connections).await {
            Ok(wire) => wire,
            Err(reason) => return Outcome::NotSent(reason),
        },
    };
    let length = match &body {
        Body::Whole(bytes) => Some(bytes.len()),
        Body::Stream(source) => source.length.and_then(|l| usize::try_from(l).ok()),
    };
    let left = sending.deadline.saturating_duration_since(clock::now());
    let server = backend.server();
    let mut head = sending
        .head
        .encode(sending.names, &server.incarnation.server, left, length);
    sent.set(true);
    let whole = match body {
        Body::Whole(bytes) => {
            head.extend_from_slice(&bytes);
            wire.write(head).await.map(|()| true)
        }
        Body::Stream(source) => stream(&mut wire, head, source).await,
    };
    let Ok(whole) = whole else {
        return Outcome::Broken("it closed the connection while the request was sent");
    };
    receive(backend, sending, wire, fresh, whole, underway).await
}

async fn connect(backend: &Backend, connections: u32) -> Result<Wire, &'static str> {
    backend.make_room(connections);
    let connect = TcpStream::connect_addr(backend.server().address);
    match time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => Ok(Wire::watched(stream, SILENT_TIMEOUT)),
        Ok(Err(_)) => Err("it refused the connection"),
        Err(_) => Err("it did not take the connection in time"),
    }
}

/// Passes a request body on while it arrives; false if the server answered before its end.
async fn stream(wire: &mut Wire, head: Vec<u8>, source: Source<'_>) -> io::Result<bool> {
    let chunked = source.length.is_none();
    let put = |bytes: &mut Vec<u8>, piece: &[u8]| {
        if chunked {
            answer::put_chunk(bytes, piece);
        } else {
            bytes.extend_from_slice(piece);
        }
    };
    let mut bytes = head;
    if !source.first.is_empty() {
        put(&mut bytes, &source.first);
    }
    let mut left = source.limit;
    loop {
        match source.wire.piece(source.reader) {
            Ok(Piece::Data(data)) => {
                let length = data.len() as u64;
                left = left.checked_sub(length).ok_or(io::ErrorKind::InvalidData)?;
                put(&mut bytes, &data);
            }
            Ok(Piece::End) => {
                if chunked {
                    bytes.extend_from_slice(b"0\r\n\r\n");
                }
                wire.write(bytes).await?;
                return Ok(true);
            }
            Ok(Piece::More) => {
                wire.write(std::mem::take(&mut bytes)).await?;
                let more = {
                    let (arrives, answers) = (pin!(source.wire.fill()), pin!(wire.fill()));
                    race::race(arrives, answers).await
                };
                match more {
                    Either::First(Ok(length)) if length > 0 => {}
                    Either::First(_) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Either::Second(_) => return Ok(false),
                }
            }
            Err(_) => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads the answer; `whole` if all of the request was sent.
async fn receive(
    backend: &Rc<Backend>,
    sending: &Sending<'_>,
    mut wire: Wire,
    fresh: bool,
    whole: bool,
    underway: Underway,
) -> Outcome {
    let mut strays = 0;
    loop {
        let ResponseHead { parts, mut body } = match read_head(&mut wire, sending).await {
            Ok(head) => head,
            Err(reason) => return Outcome::Broken(reason),
        };
        let id = parts.headers.get(&sending.names.request);
        let own = match (id, &sending.head.id) {
            (Some(id), Some(own)) => id == own,
            (None, Some(_)) => fresh && strays == 0,
            (_, None) => true,
        };
        let held = read_body(&mut wire, &mut body).await;
        if !own {
            strays += 1;
            let read = held.is_ok() && body.is_done();
            if strays > STRAY_ANSWERS || !read {
                return Outcome::Broken("it sent answers to other requests");
            }
            continue;
        }
        let Ok(first) = held else {
            return Outcome::Broken("its answer broke off");
        };
        let clean = whole && strays == 0;
        if parts.headers.contains_key(&sending.names.refused) {
            keep(backend, sending, wire, &parts.headers, &body, clean);
            return match parts.status {
                StatusCode::MISDIRECTED_REQUEST => Outcome::Elsewhere,
                _ => Outcome::Full(head::load(&parts.headers, sending.names)),
            };
        }
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return Outcome::Elsewhere;
        }
        let signed = parts.headers.contains_key(&sending.names.signature);
        let coded = parts.headers.contains_key(header::CONTENT_ENCODING);
        if parts.status.is_success() && (!signed || coded) {
            return Outcome::Broken("its answer is not its own");
        }
        let length = head::number(&parts.headers, &header::CONTENT_LENGTH);
        let response = |body| Response {
            status: parts.status,
            headers: parts.headers.clone(),
            body,
        };
        if body.is_done() {
            let bodiless = sending.head.bodiless || first.is_empty();
            let held = if bodiless {
                Held::None(length.or(Some(0)))
            } else {
                Held::Whole(first)
            };
            let response = response(held);
            keep(backend, sending, wire, &parts.headers, &body, clean);
            return Outcome::Answered(response);
        }
        let rest = Rest {
            first,
            wire,
            reader: body,
            length,
            underway,
        };
        return Outcome::Answered(response(Held::Rest(Box::new(rest))));
    }
}

/// Reads the head of an answer, past interim ones.
async fn read_head(wire: &mut Wire, sending: &Sending<'_>) -> Result<ResponseHead, &'static str> {
    loop {
        match wire.response(HEAD, sending.head.bodiless) {
            Ok(Some(head)) if head.parts.status.is_informational() => continue,
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(DecodeError::Io(_)) => return Err("the connection broke"),
            Err(_) => return Err("it sent no answer but other bytes"),
        }
        match wire.fill().await {
            Ok(0) => return Err("it closed the connection"),
            Ok(_) => {}
            Err(_) => return Err("it reset the connection"),
        }
    }
}

/// Reads a body to its end, or as much as is held back.
async fn read_body(wire: &mut Wire, body: &mut BodyReader) -> Result<Bytes, DecodeError> {
    let mut held = BytesMut::new();
    loop {
        match wire.piece(body)? {
            Piece::End => return Ok(held.freeze()),
            Piece::Data(data) => {
                held.extend_from_slice(&data);
                if held.len() > HELD_BYTES {
                    return Ok(held.freeze());
                }
            }
            Piece::More => {
                let ends = *body == BodyReader::UntilEnd;
                match wire.fill().await? {
                    0 if ends => *body = BodyReader::Done,
                    0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                    _ => {}
                }
            }
        }
    }
}

/// Keeps a connection for later if nothing speaks against it.
fn keep(
    backend: &Backend,
    sending: &Sending<'_>,
    wire: Wire,
    headers: &http::HeaderMap,
    body: &BodyReader,
    clean: bool,
) {
    let framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let closes = headers.get_all(header::CONNECTION).iter();
    let closes = closes
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case("close")));
    if clean && framed && !closes && body.is_done() && wire.is_quiet() {
        backend.put(wire, head::keep_alive(headers), sending.connections);
    }
}
