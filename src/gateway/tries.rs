//! What was tried for a request, and the answer when nothing more is.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;

use super::answer::{Own, Response};
use super::backend::Backend;
use crate::fleet::leases;

/// When to come back if all were full: some requests' time.
const FULL_AFTER: Duration = Duration::from_millis(250);

/// When to come back if a key is moving: about a heartbeat.
const MOVE_AFTER: Duration = Duration::from_millis(400);

/// When to come back if nobody can be reached.
pub(super) const DARK_AFTER: Duration = Duration::from_secs(1);

/// Time after which the keys of a holder that can't be reached have another one, if
/// that is possible at all.
const DARK_TIME: Duration = leases::MAX_LEASE.saturating_add(Duration::from_millis(400));

/// What was tried so far.
#[derive(Default)]
pub(super) struct Tries {
    pub(super) tried: Vec<Rc<Backend>>,
    /// Those that said that they do not hold the key.
    pub(super) elsewhere: Vec<Rc<Backend>>,
    /// Requests that arrived at a backend server, or may have.
    pub(super) sent: u32,
    pub(super) unreached: u32,
    /// Whether one of them may have run.
    pub(super) may_have_run: bool,
    pub(super) timed_out: bool,
    /// Whether all that refused had no room.
    pub(super) full: bool,
    /// What stood in the way when no backend server was found.
    pub(super) hurdle: Option<Hurdle>,
    /// A failure of a backend server, kept in case nothing better comes.
    pub(super) spare: Option<Response>,
}

/// What stands between a request and the holder of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hurdle {
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

impl Tries {
    /// The answer when nothing more is tried; `keyed` if only the holder of a key may run it.
    pub(super) fn answer(&self, keyed: bool) -> Own {
        match self {
            Tries {
                may_have_run: true,
                timed_out: true,
                ..
            } => Own::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            Tries {
                may_have_run: true, ..
            } => Own::new(StatusCode::BAD_GATEWAY, "no whole answer"),
            Tries {
                hurdle: Some(Hurdle::Resting(after)),
                ..
            } => Own::later(MOVE_AFTER.max(*after), "the holder can't be reached"),
            _ if keyed => Own::later(MOVE_AFTER, "the key has no holder now"),
            Tries { full: true, .. } => Own::later(FULL_AFTER, "no room"),
            _ => Own::later(DARK_AFTER, "no backend server can be reached"),
        }
    }
}

/// What to do about a holder that can't be reached: wait if another may be expected by `until`.
pub(super) fn dark(backend: &Backend, now: Instant, until: Instant) -> Result<Hurdle, Hurdle> {
    let back = backend.dark_since().map(|d| d + DARK_TIME);
    match back.map(|b| b.saturating_duration_since(now)) {
        Some(after) if now + after <= until => Ok(Hurdle::Resting(after)),
        after => Err(Hurdle::Resting(after.unwrap_or(MOVE_AFTER))),
    }
}
