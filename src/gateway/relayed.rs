//! Requests on their way through a relay VM, at the sender and at the relay VM.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header, request};

use super::Gateway;
use super::attempts::Attempts;
use super::backend::Backend;
use super::exchange::{self, Attempt, AttemptResult, Outcome, RequestBody};
use super::head::{self, ForwardedHead};
use super::relay::{
    Choice, HopResult, MAX_HOP_CONNECTIONS, MAX_PEER_CONNECTIONS, RELAY_HEADER, RELAY_VERSION,
    Reason,
};
use super::request::{self as routed, OWNER_EVACUATION_RATIO, RoutedRequest, SentAttempt};
use super::response::{BackendResponse, Response, ResponseBody};
use super::seats::SeatRequest;
use super::selection;
use crate::clock;

/// Share by which the returns of refused callers are spread.
const RETRY_SPREAD: f64 = 0.5;

/// Time before the deadline at which a request in the queue is refused at the latest.
const REFUSAL_MARGIN: Duration = Duration::from_millis(20);

/// Suggested wait when a request that no relay VM took finds no capacity.
const DIRECT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Status and headers of a response that says that the server did not run the request.
pub(super) type Rejection = RefCell<Option<(StatusCode, HeaderMap)>>;

/// Request that was sent, with what is recorded with its result.
pub(super) struct SendResult {
    pub(super) result: AttemptResult,
    pub(super) sent: SentAttempt,
}

impl RoutedRequest {
    /// Whether the request is relayed to the owner of its key.
    pub(super) fn is_to_relay(
        &self,
        routing: &super::routing::RoutingState,
        backend: &Backend,
    ) -> bool {
        let relay = &self.gateway.relay;
        self.key.is_some()
            && !self.is_direct.get()
            && relay.is_enabled(routing, &self.service, backend)
    }

    /// Sends a request, through the relay VM of its owner if there is one.
    ///
    /// # Errors
    ///
    /// The time until capacity is expected, if the request was refused before it was sent.
    pub(super) async fn send(
        &self,
        backend: Rc<Backend>,
        body: &Bytes,
    ) -> Result<SendResult, Duration> {
        let choices = {
            let routing = self.gateway.routing.borrow();
            self.is_to_relay(&routing, &backend).then(|| {
                let relay = &self.gateway.relay;
                relay.choices(&routing, &backend, clock::now())
            })
        };
        let is_relayed = choices.is_some();
        for choice in choices.into_iter().flatten() {
            let hop = match choice {
                Choice::Local => return self.send_queued(&backend, body, None).await,
                Choice::Peer(hop) => hop,
            };
            let attempt = Attempt {
                relay: Some(&hop),
                max_connections: self.max_hop_connections(),
                ..self.attempt()
            };
            let sent = SentAttempt::new(Rc::clone(&backend));
            let body = RequestBody::Full(body.clone());
            let result = exchange::exchange(&backend, &attempt, body).await;
            let now = clock::now();
            match hop.result(&result.outcome, now) {
                HopResult::Refused(after) => {
                    self.gateway.relay.record_success(&hop);
                    return Err(after);
                }
                HopResult::Unavailable if now < self.deadline => {
                    self.gateway.relay.record_failure(&hop, now);
                    continue;
                }
                HopResult::Failed => {
                    self.gateway.relay.record_failure(&hop, now);
                    self.is_direct.set(true);
                }
                HopResult::Completed if hop.is_answered() => {
                    self.gateway.relay.record_success(&hop);
                }
                // Nothing was sent, and no time is left for another way.
                HopResult::Unavailable => return Err(DIRECT_RETRY_AFTER),
                HopResult::Completed => {}
            }
            return Ok(SendResult { result, sent });
        }
        if is_relayed {
            let routing = self.gateway.routing.borrow();
            let has_capacity = selection::has_capacity(&backend, &self.selection_context(&routing));
            if !has_capacity || !self.may_send(&backend) {
                return Err(DIRECT_RETRY_AFTER);
            }
        }
        let sent = SentAttempt::new(backend);
        let body = RequestBody::Full(body.clone());
        let result = exchange::exchange(&sent.backend, &self.attempt(), body).await;
        Ok(SendResult { result, sent })
    }

    /// Limit of this VM's connections to one relay VM, of those that a relay VM takes from all.
    fn max_hop_connections(&self) -> u32 {
        let routing = self.gateway.routing.borrow();
        let share = MAX_PEER_CONNECTIONS / routing.entry_vm_count();
        share.clamp(1, MAX_HOP_CONNECTIONS)
    }

    /// Waits in the queue of a server and sends the request to it.
    async fn send_queued(
        &self,
        backend: &Rc<Backend>,
        body: &Bytes,
        rejection: Option<&Rejection>,
    ) -> Result<SendResult, Duration> {
        let overloaded = backend.overloaded_for(clock::now());
        if clock::now() + overloaded >= self.deadline {
            return Err(overloaded);
        }
        if !overloaded.is_zero() {
            monoio::time::sleep(overloaded).await;
        }
        // The refusal of a request from another VM must arrive there before that VM gives up.
        let margin = if self.is_from_peer {
            REFUSAL_MARGIN
        } else {
            Duration::ZERO
        };
        let deadline = self.deadline.checked_sub(margin);
        let request = SeatRequest {
            rank: self.route.rank,
            target: self.route.latency_target,
            arrived_at: self.arrived_at,
            deadline: deadline.unwrap_or(self.deadline),
        };
        let queues = &self.gateway.relay.queues;
        let may_send = || self.may_send(backend);
        let seat = queues.acquire(backend, request, may_send).await?;
        let direct = self.attempt();
        let attempt = Attempt {
            // All places may be taken by this VM.
            max_connections: direct.max_connections.max(backend.server().slots),
            rejection,
            ..direct
        };
        self.wait_until_warm(backend).await?;
        // The owner may have changed while the request waited.
        if !may_send() {
            return Err(DIRECT_RETRY_AFTER);
        }
        let attempted = SentAttempt::new(Rc::clone(backend));
        let body = RequestBody::Full(body.clone());
        let mut result = exchange::exchange(backend, &attempt, body).await;
        if let Outcome::Responded(response) = &mut result.outcome {
            seat.set_served();
            if let ResponseBody::Streaming(streaming) = &mut response.body {
                streaming.seat = Some(seat);
            }
        }
        Ok(SendResult {
            result,
            sent: attempted,
        })
    }

    /// Whether an owner still gets requests: it is not about to leave, and its zone is not evacuated.
    pub(super) fn may_send(&self, backend: &Backend) -> bool {
        let now = clock::now();
        let grace = self.gateway.evacuation.get();
        backend.accepts_requests(self.gateway.drain.get(), now)
            && !backend.is_evacuated(grace.mul_f64(OWNER_EVACUATION_RATIO), now)
    }

    /// Waits until a cold server may get the next request.
    async fn wait_until_warm(&self, backend: &Backend) -> Result<(), Duration> {
        loop {
            let now = clock::now();
            let wait = backend.limiter().borrow().relay_wait(now);
            if wait.is_zero() {
                return Ok(());
            }
            if now + wait >= self.deadline {
                return Err(wait);
            }
            monoio::time::sleep(wait).await;
        }
    }

    /// Matches a request of another entry VM to a route and a server.
    fn from_peer(
        gateway: &Rc<Gateway>,
        parts: &request::Parts,
    ) -> Result<(Self, Rc<Backend>), Refusal> {
        let unknown = Refusal::new(Reason::Unknown, Duration::ZERO);
        let arrived_at = clock::now();
        if gateway.stop.is_stopping() {
            return Err(Refusal::new(Reason::Stopping, Duration::ZERO));
        }
        let version = parts.headers.get(RELAY_HEADER);
        if version.is_none_or(|v| v.as_bytes() != RELAY_VERSION.as_bytes()) {
            return Err(unknown);
        }
        let routing = gateway.routing.borrow();
        let names = &gateway.header_names;
        let server = parts.headers.get(&names.expected_server);
        let server = server.and_then(|s| s.to_str().ok());
        let backend = server.and_then(|s| routing.backend(s)).ok_or(unknown)?;
        let host = routed::host(parts).ok_or(unknown)?;
        let route = routing.lookup.find(host, parts.uri.path());
        let route = route.ok_or(unknown)?;
        let service = Arc::clone(&backend.server().service);
        if !route.services().any(|s| *s == service) {
            return Err(unknown);
        }
        if !backend.accepts_requests(gateway.drain.get(), arrived_at) {
            return Err(unknown);
        }
        if backend.is_backing_off(arrived_at) {
            return Err(Refusal::new(Reason::NotSent, Duration::ZERO));
        }
        let evacuation = gateway.evacuation.get();
        if backend.is_evacuated(evacuation.mul_f64(OWNER_EVACUATION_RATIO), arrived_at) {
            return Err(Refusal::new(Reason::Queue, DIRECT_RETRY_AFTER));
        }
        let quiet = backend.quiet_for(arrived_at);
        if !quiet.is_zero() {
            return Err(Refusal::new(Reason::Queue, quiet));
        }
        let requested = head::parse_number(&parts.headers, &names.deadline);
        let timeout = requested.map_or(route.timeout, Duration::from_millis);
        let request = Self {
            gateway: Rc::clone(gateway),
            route: Arc::clone(route),
            service,
            key: head::shard_key(&parts.headers, names),
            head: ForwardedHead::new(parts, names),
            arrived_at,
            deadline: arrived_at + timeout.min(route.timeout),
            is_from_peer: true,
            is_direct: Cell::new(false),
        };
        Ok((request, Rc::clone(backend)))
    }

    /// Runs a request of another entry VM: one attempt at the server that it names.
    pub(super) async fn run_from_peer(
        gateway: &Rc<Gateway>,
        parts: &request::Parts,
        body: Bytes,
    ) -> Response {
        let id = parts.headers.get(&gateway.header_names.request_id);
        let (request, backend) = match Self::from_peer(gateway, parts) {
            Ok(matched) => matched,
            Err(refusal) => return refusal.response(gateway, id),
        };
        let rejection = Rejection::default();
        let sent = request.send_queued(&backend, &body, Some(&rejection)).await;
        let SendResult { result, sent } = match sent {
            Ok(sent) => sent,
            Err(after) => {
                let spread = after.mul_f64(1.0 + RETRY_SPREAD * fastrand::f64());
                return Refusal::new(Reason::Queue, spread).response(gateway, id);
            }
        };
        let reason = match &result.outcome {
            Outcome::Responded(_) | Outcome::Full(_) | Outcome::Misdirected => Reason::Answered,
            // The sender's deadline ends at the same moment, and the server is not to blame.
            Outcome::NotSent(exchange::NO_TIME_LEFT) => Reason::Queue,
            Outcome::NotSent(_) => Reason::NotSent,
            Outcome::Dropped => Reason::Dropped,
            Outcome::Interrupted(_) => Reason::Broken,
            Outcome::TimedOut => Reason::TimedOut,
        };
        let mut attempts = Attempts::default();
        let response = request.handle_outcome(&sent, result, &mut attempts);
        let answered = match response {
            Some(Response::Backend(response)) => Some(response),
            Some(Response::Local(_)) => None,
            None => attempts.fallback.or_else(|| rejected(&rejection)),
        };
        match answered {
            Some(mut response) if reason == Reason::Answered => {
                head::remove_hop_by_hop(&mut response.headers);
                let value = HeaderValue::from_static(reason.as_str());
                response.headers.insert(RELAY_HEADER, value);
                // A response without the id is accepted on a new connection only, which this was.
                let names = &gateway.header_names;
                if let Some(id) = id.filter(|_| !response.headers.contains_key(&names.request_id)) {
                    response
                        .headers
                        .insert(names.request_id.clone(), id.clone());
                }
                Response::Backend(response)
            }
            // A rejection whose head was not kept proves nothing.
            _ if reason == Reason::Answered => {
                Refusal::new(Reason::Broken, Duration::ZERO).response(gateway, id)
            }
            _ => Refusal::new(reason, Duration::ZERO).response(gateway, id),
        }
    }

    /// Refuses a request whose body is not complete.
    pub(super) fn refuse_stream(gateway: &Gateway, id: Option<&HeaderValue>) -> Response {
        Refusal::new(Reason::Unknown, Duration::ZERO).response(gateway, id)
    }
}

/// Response of a server that did not run the request, without its body.
fn rejected(rejection: &Rejection) -> Option<BackendResponse> {
    let (status, headers) = rejection.take()?;
    Some(BackendResponse {
        status,
        headers,
        body: ResponseBody::Empty(Some(0)),
    })
}

/// Response that a relay VM gives itself.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    reason: Reason,
    retry_after: Duration,
}

impl Refusal {
    const fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }

    fn response(self, gateway: &Gateway, id: Option<&HeaderValue>) -> Response {
        let names = &gateway.header_names;
        let mut headers = HeaderMap::new();
        headers.insert(RELAY_HEADER, HeaderValue::from_static(self.reason.as_str()));
        if self.reason.is_not_run() {
            headers.insert(names.not_executed.clone(), HeaderValue::from_static("1"));
        }
        if let Some(id) = id {
            headers.insert(names.request_id.clone(), id.clone());
        }
        let seconds = format!("{:.3}", self.retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds)
            && !self.retry_after.is_zero()
        {
            headers.insert(header::RETRY_AFTER, value);
        }
        Response::Backend(BackendResponse {
            status: self.reason.status(),
            headers,
            body: ResponseBody::Empty(Some(0)),
        })
    }
}
