//! Attempts made for a request, and the response when no further one follows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;

use super::backend::Backend;
use super::response::{BackendResponse, LocalResponse};

/// Suggested wait when all backend servers are full: the time of several requests.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Suggested wait after servers that had room rejected a request: waiting longer gains nothing.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(40);

/// Suggested wait when a key is moving: about a heartbeat interval.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Suggested wait when no backend server is reachable.
pub(super) const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Suggested wait when the servers are in evacuated zones: an evacuation ends at an operator's word,
/// so that no time is likely to be right, and a second is within the time that most callers have.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time from the end of a lease until the keys have a new owner, if failover is possible at all.
const FAILOVER_MARGIN: Duration = Duration::from_millis(400);

/// Share of the time that a server wants no requests by which callers' returns are spread, so that
/// they don't all come back when it ends.
const QUIET_SPREAD: f64 = 0.5;

/// Bounds of the suggested wait when this VM may not send to cold servers: another VM may, so that
/// an earlier return may succeed there.
const COLD_RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Attempts made for one request.
#[derive(Default)]
pub(super) struct Attempts {
    pub(super) tried: Vec<Rc<Backend>>,
    /// Attempts that reached a backend server, or may have.
    pub(super) sent: u32,
    pub(super) connect_failures: u32,
    /// Whether an attempt may have run the request.
    pub(super) may_have_run: bool,
    pub(super) timed_out: bool,
    /// What the rejections so far have in common.
    pub(super) rejections: Rejections,
    /// Why no backend server was found that could take the request.
    pub(super) unavailable: Option<Unavailable>,
    /// Failure response of a backend server, sent if no further attempt succeeds.
    pub(super) fallback: Option<BackendResponse>,
}

/// What the rejections of a request have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Rejections {
    /// Not all attempts were rejected by full servers.
    #[default]
    Other,
    /// All servers were full, as far as there were attempts.
    Full,
    /// All servers rejected the request, the last one with free slots.
    WithFreeSlots,
}

impl Rejections {
    /// Adds a rejection by a server that is full, or that has free slots.
    pub(super) fn add(&mut self, has_free_slots: bool) {
        match (*self, has_free_slots) {
            (Self::Other, _) => {}
            (_, true) => *self = Self::WithFreeSlots,
            (_, false) => *self = Self::Full,
        }
    }
}

/// Why the owner of a key, or any backend server of a service, can't take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unavailable {
    /// The key is moving to another owner.
    Moving,
    /// The owner said that it doesn't hold the key.
    Missed,
    /// No owner is known.
    Nobody,
    /// No key of the service has an owner, nor is one expected.
    NoOwners,
    /// The owner is unreachable; expected time until the key has another one.
    Resting(Duration),
    /// The owner doesn't accept requests.
    NotReady,
    /// The owner has no capacity.
    Full,
    /// The owner is overloaded; time until it may have capacity again.
    Overloaded(Duration),
    /// The owner, or every server, asked for no requests; time until that ends.
    Quiet(Duration),
    /// The zone of the owner, or of every server, is evacuated.
    Evacuated,
    /// The owner, or every server, is cold; time until this VM may send one of them a request.
    Cold(Duration),
}

impl Attempts {
    /// Returns the response after the last attempt; `has_key` if only the owner of a key may run
    /// the request.
    pub(super) fn final_response(&self, has_key: bool) -> LocalResponse {
        match self {
            Attempts {
                may_have_run: true,
                timed_out: true,
                ..
            } => LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            Attempts {
                may_have_run: true, ..
            } => LocalResponse::new(StatusCode::BAD_GATEWAY, "no whole answer"),
            Attempts {
                unavailable: Some(Unavailable::Resting(after)),
                ..
            } => LocalResponse::unavailable(
                MOVE_RETRY_AFTER.max(*after),
                "the holder can't be reached",
            ),
            Attempts {
                unavailable: Some(Unavailable::Overloaded(after)),
                ..
            } => LocalResponse::unavailable(FULL_RETRY_AFTER.max(*after), "the holder has no room"),
            Attempts {
                unavailable: Some(Unavailable::Quiet(after)),
                ..
            } => LocalResponse::unavailable(
                after.mul_f64(1.0 + QUIET_SPREAD * fastrand::f64()),
                "the server asked for no requests",
            ),
            Attempts {
                unavailable: Some(Unavailable::Cold(after)),
                ..
            } => {
                let (least, most) = COLD_RETRY_AFTER;
                let after = (*after).clamp(least, most);
                LocalResponse::unavailable(
                    after.mul_f64(1.0 + QUIET_SPREAD * fastrand::f64()),
                    "the server is cold",
                )
            }
            Attempts {
                unavailable: Some(Unavailable::NoOwners),
                ..
            } => LocalResponse::unavailable(
                UNREACHABLE_RETRY_AFTER,
                "no key of the service has a holder",
            ),
            Attempts {
                unavailable: Some(Unavailable::Evacuated),
                ..
            } => LocalResponse::unavailable(
                EVACUATED_RETRY_AFTER.mul_f64(1.0 + QUIET_SPREAD * fastrand::f64()),
                "the zone of every server is evacuated",
            ),
            _ if has_key => {
                LocalResponse::unavailable(MOVE_RETRY_AFTER, "the key has no holder now")
            }
            Attempts {
                rejections: Rejections::WithFreeSlots,
                ..
            } => LocalResponse::unavailable(
                REJECTED_RETRY_AFTER.mul_f64(1.0 + fastrand::f64()),
                "servers rejected it",
            ),
            Attempts {
                rejections: Rejections::Full,
                ..
            } => LocalResponse::unavailable(FULL_RETRY_AFTER, "no room"),
            _ => LocalResponse::unavailable(
                UNREACHABLE_RETRY_AFTER,
                "no backend server can be reached",
            ),
        }
    }
}

/// Decides whether to wait for another owner of an unreachable one's keys, whose lease takes
/// `lease`; `Err` if none is expected by `until`.
pub(super) fn await_failover(
    backend: &Backend,
    lease: Duration,
    now: Instant,
    until: Instant,
) -> Result<Unavailable, Unavailable> {
    let failover = backend
        .unreachable_since()
        .map(|since| since + lease + FAILOVER_MARGIN);
    match failover.map(|f| f.saturating_duration_since(now)) {
        Some(after) if now + after <= until => Ok(Unavailable::Resting(after)),
        after => Err(Unavailable::Resting(after.unwrap_or(MOVE_RETRY_AFTER))),
    }
}
