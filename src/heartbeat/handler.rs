//! The handler of backend servers' announcements.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::check::{self, InvalidHeartbeat};
use crate::delegate::messages::Heard;
use crate::grant::messages::Elsewhere;
use crate::grant::{Duties, LeaseAnswer, LeaseRequest};
use crate::ids;

/// How long an announcement counts as heard lately.
const HEARD_MEMORY: Duration = Duration::from_secs(2);

/// Servers remembered at a time, at most.
const HEARD_LIMIT: usize = 4096;

/// What a backend server is told.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatResponse {
    /// Status 200: its lease and grants.
    Lease(LeaseAnswer),
    /// Status 421: another entry VM is the carrier.
    NotPrimary(Elsewhere),
    /// Status 503: this VM is the carrier and may not act now, or the question is outdated.
    Unavailable,
    /// Status 400: the announcement makes no sense.
    Invalid(InvalidHeartbeat),
}

/// Announcement address of the carrier for a service in a zone, if known.
pub type FindPrimary = Box<dyn Fn(&ids::ServiceName, &ids::ZoneName) -> Option<SocketAddr>>;

/// The desk where backend servers announce themselves.
pub struct Handler {
    zone: ids::ZoneName,
    pub(super) duties: Rc<Duties>,
    find_primary: FindPrimary,
    heard: RefCell<BTreeMap<(ids::ServiceName, ids::ServerName), Mark>>,
}

/// One server's last announcement.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    slots: u32,
}

impl Handler {
    /// A desk in `zone` for the duties of this VM.
    pub fn new(zone: ids::ZoneName, duties: Rc<Duties>, find_primary: FindPrimary) -> Self {
        Self {
            zone,
            duties,
            find_primary,
            heard: RefCell::default(),
        }
    }

    /// Answers an announcement.
    pub fn lease(&self, now: Instant, request: &LeaseRequest) -> HeartbeatResponse {
        if let Err(bad) = check::check(&self.zone, request) {
            return HeartbeatResponse::Invalid(bad);
        }
        if !self.mark(now, request) {
            return HeartbeatResponse::Invalid(InvalidHeartbeat::Servers);
        }
        match self.duties.get(&request.service, &request.zone) {
            Some(duty) => duty
                .lease(now, request)
                .map_or(HeartbeatResponse::Unavailable, HeartbeatResponse::Lease),
            None => HeartbeatResponse::NotPrimary(Elsewhere {
                announce: (self.find_primary)(&request.service, &request.zone),
            }),
        }
    }

    /// Services announced here lately.
    pub fn recent_services(&self, now: Instant) -> Vec<Heard> {
        self.forget(now);
        let heard = self.heard.borrow();
        let services: BTreeSet<_> = heard.keys().map(|(s, _)| s).collect();
        let line = |service: &ids::ServiceName| {
            let marks = heard.iter().filter(|((s, _), _)| s == service);
            let slots: Vec<_> = marks.map(|(_, m)| m.slots).collect();
            Heard {
                service: ids::ServiceName::clone(service),
                servers: u32::try_from(slots.len()).unwrap_or(u32::MAX),
                slots: slots.iter().fold(0, |sum, s| sum.saturating_add(*s)),
            }
        };
        services.into_iter().map(line).collect()
    }

    /// Remembers an announcement; false if there are too many.
    fn mark(&self, now: Instant, request: &LeaseRequest) -> bool {
        let key = (
            ids::ServiceName::clone(&request.service),
            ids::ServerName::clone(&request.server),
        );
        let slots = if request.draining { 0 } else { request.slots };
        let full = self.heard.borrow().len() >= HEARD_LIMIT;
        if full {
            self.forget(now);
        }
        let mut heard = self.heard.borrow_mut();
        if heard.len() >= HEARD_LIMIT && !heard.contains_key(&key) {
            return false;
        }
        heard.insert(key, Mark { at: now, slots });
        true
    }

    fn forget(&self, now: Instant) {
        let lately = |m: &Mark| now.saturating_duration_since(m.at) <= HEARD_MEMORY;
        self.heard.borrow_mut().retain(|_, m| lately(m));
    }
}

impl fmt::Debug for Handler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handler")
            .field("zone", &self.zone)
            .field("duties", &self.duties)
            .finish_non_exhaustive()
    }
}
