//! Calls that grant keys to backend servers and take them back.
//!
//! A connection whose call got no clear answer is reset: then no byte of the call can
//! arrive later than the network delays it, which bounds the lease of the call. A reset
//! by the other end may mean that another process has the address by now.
//!
//! A second copy of a response must not count for the next call. Each call has an id, and a
//! connection is kept only after a response that repeats the id of its call.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, StatusCode, response};
use monoio::net::TcpStream;
use monoio::time;

use super::call_leases::Run;
use super::messages::GrantedRange;
use super::model::{HandoverToken, Incarnation};
use crate::clock;
use crate::web::connection::{BodyEvent, HeadLimits, HttpConnection, ResponseHead};

/// Timeout of a grant: a lost packet is sent again after about 0.2 s.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout of a release, which is answered once the running requests have ended.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(1500);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(500);

const HEAD_LIMITS: HeadLimits = HeadLimits {
    head_bytes: 8 << 10,
    body_bytes: MAX_BODY_BYTES,
};

const MAX_BODY_BYTES: u64 = 16 << 10;

/// Responses to other calls that are skipped on one connection.
const MAX_MISMATCHED_RESPONSES: u32 = 4;

/// Path and body of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallBody {
    /// Path of the request.
    pub path: &'static str,
    /// Body of the request, as JSON.
    pub body: Vec<u8>,
}

/// How calls to backend servers are written.
#[derive(Clone, Debug)]
pub struct CallFormat {
    /// Call that grants keys for a duration.
    pub grant: fn(&GrantedRange, Duration) -> CallBody,
    /// Call that takes keys back.
    pub release: fn(&Run) -> CallBody,
    /// Header with the name of the backend server that the call is meant for.
    pub expected_server: HeaderName,
    /// Header with the id of the call, repeated in the response.
    pub request_id: HeaderName,
    /// Header of the response to a release with the handover token.
    pub token: HeaderName,
}

/// Result of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The backend server applied the call; with the handover token of a release.
    Done(Option<HandoverToken>),
    /// The backend server refused.
    Refused(StatusCode),
    /// Nothing was sent, as there is no connection.
    NotSent,
    /// Nothing was sent, as the call was no longer due.
    Cancelled,
    /// The call may be applied later.
    Unanswered,
}

/// Connection to a backend server and the calls under way there.
#[derive(Default)]
pub struct GrantClient {
    idle: RefCell<Option<HttpConnection>>,
    next_id: Cell<u64>,
    /// Whether grants are being sent.
    pub busy: Cell<bool>,
    /// No grant is sent before.
    pub retry_at: Cell<Option<Instant>>,
    /// When the other end closed or refused a connection.
    pub closed_at: Cell<Option<Instant>>,
    /// Releases under way.
    pub releasing: RefCell<HashSet<Run>>,
}

impl GrantClient {
    /// Sends a grant on the kept connection; `before_write` may still cancel it.
    pub async fn send_grant<W>(&self, request: Request<'_>, before_write: W) -> CallOutcome
    where
        W: Fn() -> bool,
    {
        let kept = self.idle.take().filter(HttpConnection::is_idle);
        let connection = match kept {
            Some(connection) => Some(connection),
            None => self.connect(request.address).await,
        };
        let Some(mut connection) = connection else {
            return CallOutcome::NotSent;
        };
        if !before_write() {
            *self.idle.borrow_mut() = Some(connection);
            return CallOutcome::Cancelled;
        }
        let (outcome, reusable) = self
            .exchange(&mut connection, &request, GRANT_TIMEOUT)
            .await;
        if reusable && connection.is_idle() {
            *self.idle.borrow_mut() = Some(connection);
        }
        outcome
    }

    /// Sends a release on a connection of its own, so that it holds up no grant and its response
    /// can't be that of an earlier call.
    pub async fn send_release<W>(&self, request: Request<'_>, before_write: W) -> CallOutcome
    where
        W: Fn() -> bool,
    {
        match self.connect(request.address).await {
            Some(mut connection) if before_write() => {
                let exchange = self.exchange(&mut connection, &request, RELEASE_TIMEOUT);
                exchange.await.0
            }
            Some(_) => CallOutcome::Cancelled,
            None => CallOutcome::NotSent,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<HttpConnection> {
        let connecting = TcpStream::connect_addr(address);
        match time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => Some(HttpConnection::with_reset(stream, UNACKNOWLEDGED_TIMEOUT)),
            Ok(Err(_)) => {
                self.closed_at.set(Some(clock::now()));
                None
            }
            Err(_) => None,
        }
    }

    /// Sends a call and reads its response; true if the connection can be reused.
    async fn exchange(
        &self,
        connection: &mut HttpConnection,
        request: &Request<'_>,
        timeout: Duration,
    ) -> (CallOutcome, bool) {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let id = format!("{id:016x}");
        let exchange = async {
            connection.write(request.encode(&id)).await.ok()?;
            read_own_response(connection, &request.format.request_id, &id).await
        };
        match time::timeout(timeout, exchange).await {
            Ok(Some((parts, reusable))) => (outcome(&parts, &request.format.token), reusable),
            Ok(None) => {
                self.closed_at.set(Some(clock::now()));
                (CallOutcome::Unanswered, false)
            }
            Err(_) => (CallOutcome::Unanswered, false),
        }
    }
}

impl fmt::Debug for GrantClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GrantClient").finish_non_exhaustive()
    }
}

/// A call to one incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// How calls are written.
    pub format: &'a CallFormat,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Incarnation that the call is meant for.
    pub incarnation: &'a Incarnation,
    /// Path and body.
    pub call: CallBody,
}

impl Request<'_> {
    fn encode(&self, id: &str) -> Vec<u8> {
        let CallBody { path, body } = &self.call;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{}: {id}\r\n{}: {}\r\nContent-Length: {}\r\n\r\n",
            self.address,
            self.format.request_id,
            self.format.expected_server,
            self.incarnation.server,
            body.len(),
        );
        [head.as_bytes(), body].concat()
    }
}

fn outcome(parts: &response::Parts, token: &HeaderName) -> CallOutcome {
    match parts.status {
        StatusCode::OK => {
            let token = parts.headers.get(token).and_then(|t| t.to_str().ok());
            CallOutcome::Done(token.filter(|t| !t.is_empty()).map(Into::into))
        }
        StatusCode::CONFLICT | StatusCode::MISDIRECTED_REQUEST | StatusCode::BAD_REQUEST => {
            CallOutcome::Refused(parts.status)
        }
        _ => CallOutcome::Unanswered,
    }
}

/// Reads the response to the call with an id and skips those with another id; true if it has the
/// id and nothing was skipped.
async fn read_own_response(
    connection: &mut HttpConnection,
    name: &HeaderName,
    id: &str,
) -> Option<(response::Parts, bool)> {
    for skipped in 0..=MAX_MISMATCHED_RESPONSES {
        let (parts, _) = read_response(connection).await?;
        match parts.headers.get(name) {
            Some(found) if found.as_bytes() == id.as_bytes() => return Some((parts, skipped == 0)),
            Some(_) => {}
            None => return Some((parts, false)),
        }
    }
    None
}

/// Reads a whole response; `None` if the connection ends or the bytes are no response.
async fn read_response(connection: &mut HttpConnection) -> Option<(response::Parts, Bytes)> {
    let ResponseHead { parts, mut body } = loop {
        match connection.decode_response_head(HEAD_LIMITS, false) {
            // Nobody asked for an interim response.
            Ok(Some(head)) if head.parts.status.is_informational() => return None,
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(_) => return None,
        }
        match connection.fill().await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return None,
        }
    };
    let mut received = Vec::new();
    loop {
        match connection.next_body_event(&mut body).ok()? {
            BodyEvent::End => return Some((parts, received.into())),
            BodyEvent::Data(data) => received.extend_from_slice(&data),
            BodyEvent::NeedMore => match connection.fill().await {
                Ok(1..) => {}
                Ok(0) | Err(_) => return None,
            },
        }
        if received.len() as u64 > MAX_BODY_BYTES {
            return None;
        }
    }
}
