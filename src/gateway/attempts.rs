//! What was tried for a request, and the answer when nothing more is.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;

use super::backend::Backend;
use super::response::{BackendResponse, LocalResponse};
use crate::fleet::leases;

/// When to come back if all were full: some requests' time.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// When to come back if a key is moving: about a heartbeat.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// When to come back if nobody can be reached.
pub(super) const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which the keys of a holder that can't be reached have another one, if
/// that is possible at all.
const FAILOVER_TIME: Duration = leases::LONGEST.saturating_add(Duration::from_millis(400));

/// What was tried so far.
#[derive(Default)]
pub(super) struct Attempts {
    pub(super) tried: Vec<Rc<Backend>>,
    /// Those that said that they do not hold the key.
    pub(super) misdirected: Vec<Rc<Backend>>,
    /// Requests that arrived at a backend server, or may have.
    pub(super) sent: u32,
    pub(super) connect_failures: u32,
    /// Whether one of them may have run.
    pub(super) may_have_run: bool,
    pub(super) timed_out: bool,
    /// Whether all that refused had no room.
    pub(super) all_full: bool,
    /// What stood in the way when no backend server was found.
    pub(super) unavailable: Option<OwnerUnavailable>,
    /// A failure of a backend server, kept in case nothing better comes.
    pub(super) fallback: Option<BackendResponse>,
}

/// What stands between a request and the holder of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnerUnavailable {
    /// The key is about to have another holder.
    Moving,
    /// No holder is known.
    Nobody,
    /// The holder can't be reached; when another may be expected.
    Resting(Duration),
    /// The holder takes no requests.
    NotReady,
    /// The holder has no room.
    Full,
}

impl Attempts {
    /// The answer when nothing more is tried; `keyed` if only the holder of a key may run it.
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
                unavailable: Some(OwnerUnavailable::Resting(after)),
                ..
            } => LocalResponse::unavailable(
                MOVE_RETRY_AFTER.max(*after),
                "the holder can't be reached",
            ),
            _ if has_key => {
                LocalResponse::unavailable(MOVE_RETRY_AFTER, "the key has no holder now")
            }
            Attempts { all_full: true, .. } => {
                LocalResponse::unavailable(FULL_RETRY_AFTER, "no room")
            }
            _ => LocalResponse::unavailable(
                UNREACHABLE_RETRY_AFTER,
                "no backend server can be reached",
            ),
        }
    }
}

/// What to do about a holder that can't be reached: wait if another may be expected by `until`.
pub(super) fn await_failover(
    backend: &Backend,
    now: Instant,
    until: Instant,
) -> Result<OwnerUnavailable, OwnerUnavailable> {
    let failover = backend
        .unreachable_since()
        .map(|since| since + FAILOVER_TIME);
    match failover.map(|f| f.saturating_duration_since(now)) {
        Some(after) if now + after <= until => Ok(OwnerUnavailable::Resting(after)),
        after => Err(OwnerUnavailable::Resting(after.unwrap_or(MOVE_RETRY_AFTER))),
    }
}
