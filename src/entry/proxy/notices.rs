//! Notices that owners give in the headers of their responses: that they leave, or that they
//! want no requests for a while.
//!
//! A notice holds for one incarnation, whatever its routes do meanwhile.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::{HeaderMap, StatusCode};

use super::headers;
use crate::ids;
use crate::route::table::Owner;
use crate::web::retry_after;

/// How long a server that leaves may still get requests: its primary starts to move its last span
/// within three seconds.
pub(super) const DRAIN: Duration = Duration::from_secs(4);

/// How long a notice is kept of a server without routes.
const MAX_UNROUTED_AGE: Duration = Duration::from_mins(10);

/// Value of the header that marks the responses of a server that leaves.
const LEAVING: &str = "1";

/// Notices by incarnation.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// When each server was first seen to leave.
    leaving: RefCell<HashMap<ids::Incarnation, Instant>>,
    /// When each server wants requests again.
    quiet: RefCell<HashMap<ids::Incarnation, Instant>>,
}

impl Notices {
    /// Records the notices in a response; true if the server was first seen to leave.
    pub(super) fn record<B>(
        &self,
        owner: &Owner,
        response: &http::Response<B>,
        now: Instant,
    ) -> bool {
        let incarnation = &owner.server.incarnation;
        if let Some(duration) = quiet_duration(response) {
            let mut quiet = self.quiet.borrow_mut();
            let until = quiet
                .entry(ids::Incarnation::clone(incarnation))
                .or_insert(now);
            if *until <= now {
                log::info!(
                    "event=proxy.server_quiet server={:?} for_ms={}",
                    owner.server.server,
                    duration.as_millis()
                );
            }
            *until = (*until).max(now + duration);
        }
        let mut leaving = self.leaving.borrow_mut();
        let is_first = is_leaving(response.headers()) && !leaving.contains_key(incarnation);
        if is_first {
            leaving.insert(ids::Incarnation::clone(incarnation), now);
            log::info!(
                "event=proxy.server_leaving server={:?}",
                owner.server.server
            );
        }
        is_first
    }

    /// Whether an owner may get new requests: it doesn't leave, or its drain is not over.
    pub(super) fn accepts_requests(&self, owner: &Owner, now: Instant) -> bool {
        let leaving = self.leaving.borrow();
        let since = leaving.get(&owner.server.incarnation);
        since.is_none_or(|since| now < *since + DRAIN)
    }

    /// Time for which an owner still wants no requests.
    pub(super) fn quiet_for(&self, owner: &Owner, now: Instant) -> Duration {
        let quiet = self.quiet.borrow();
        let until = quiet.get(&owner.server.incarnation);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Drops notices that are over, and old ones of servers that `is_routed` rejects.
    pub(super) fn prune<F>(&self, is_routed: F, now: Instant)
    where
        F: Fn(&ids::Incarnation) -> bool,
    {
        self.quiet.borrow_mut().retain(|_, until| now < *until);
        self.leaving
            .borrow_mut()
            .retain(|i, since| is_routed(i) || now < *since + MAX_UNROUTED_AGE);
    }
}

fn is_leaving(headers: &HeaderMap) -> bool {
    headers::single_value(headers, headers::LEAVING.as_str()) == Some(LEAVING)
}

/// The time for which a refusal asks for no requests.
fn quiet_duration<B>(response: &http::Response<B>) -> Option<Duration> {
    let refused = response.headers().contains_key(headers::REFUSED);
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE if refused => retry_after::parse(response.headers()),
        _ => None,
    }
}
