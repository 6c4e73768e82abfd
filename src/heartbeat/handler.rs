//! Handler of the heartbeats of backend servers.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::check::{self, InvalidHeartbeat};
use crate::delegate::messages::ServiceCapacity;
use crate::grant::messages::Misdirected;
use crate::grant::{Granters, LeaseRequest, LeaseResponse};
use crate::ids;

/// How long after its last heartbeat a server counts as present.
const HEARTBEAT_RETENTION: Duration = Duration::from_secs(2);

/// Largest number of servers with a recent heartbeat.
const MAX_SERVERS: usize = 4096;

/// Response to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatResponse {
    /// Status 200: the lease and grants of the server.
    Lease(LeaseResponse),
    /// Status 421: this VM is not the primary.
    NotPrimary(Misdirected),
    /// Status 503: this VM is the primary but cannot act now, or the heartbeat is outdated.
    Unavailable,
    /// Status 400: the heartbeat is invalid.
    Invalid(InvalidHeartbeat),
}

/// Finds the heartbeat address of the primary for a service in a zone, if known.
pub type FindPrimary = Box<dyn Fn(&ids::ServiceName, &ids::ZoneName) -> Option<SocketAddr>>;

/// Handles heartbeats of backend servers at an entry VM.
pub struct Handler {
    zone: ids::ZoneName,
    pub(super) granters: Rc<Granters>,
    find_primary: FindPrimary,
    recent: RefCell<BTreeMap<(ids::ServiceName, ids::ServerName), LastHeartbeat>>,
}

/// Last heartbeat of one server.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    at: Instant,
    slots: u32,
}

impl Handler {
    /// Creates a handler for the zone and the delegations of this VM.
    pub fn new(zone: ids::ZoneName, granters: Rc<Granters>, find_primary: FindPrimary) -> Self {
        Self {
            zone,
            granters,
            find_primary,
            recent: RefCell::default(),
        }
    }

    /// Handles a heartbeat.
    pub fn lease(&self, now: Instant, request: &LeaseRequest) -> HeartbeatResponse {
        if let Err(error) = check::check(&self.zone, request) {
            return HeartbeatResponse::Invalid(error);
        }
        if !self.record(now, request) {
            return HeartbeatResponse::Invalid(InvalidHeartbeat::Servers);
        }
        match self.granters.get(&request.service, &request.zone) {
            Some(granter) => granter
                .renew_lease(now, request)
                .map_or(HeartbeatResponse::Unavailable, HeartbeatResponse::Lease),
            None => HeartbeatResponse::NotPrimary(Misdirected {
                announce_address: (self.find_primary)(&request.service, &request.zone),
            }),
        }
    }

    /// Services with recent heartbeats, with their number of servers and slots.
    pub fn recent_services(&self, now: Instant) -> Vec<ServiceCapacity> {
        self.remove_expired(now);
        let recent = self.recent.borrow();
        let services: BTreeSet<_> = recent.keys().map(|(s, _)| s).collect();
        let summary = |service: &ids::ServiceName| {
            let heartbeats = recent.iter().filter(|((s, _), _)| s == service);
            let slots: Vec<_> = heartbeats.map(|(_, h)| h.slots).collect();
            ServiceCapacity {
                service: ids::ServiceName::clone(service),
                servers: u32::try_from(slots.len()).unwrap_or(u32::MAX),
                slots: slots.iter().fold(0, |sum, s| sum.saturating_add(*s)),
            }
        };
        services.into_iter().map(summary).collect()
    }

    /// Records a heartbeat; false if there are too many servers.
    fn record(&self, now: Instant, request: &LeaseRequest) -> bool {
        let key = (
            ids::ServiceName::clone(&request.service),
            ids::ServerName::clone(&request.server),
        );
        let slots = if request.draining { 0 } else { request.slots };
        let full = self.recent.borrow().len() >= MAX_SERVERS;
        if full {
            self.remove_expired(now);
        }
        let mut recent = self.recent.borrow_mut();
        if recent.len() >= MAX_SERVERS && !recent.contains_key(&key) {
            return false;
        }
        recent.insert(key, LastHeartbeat { at: now, slots });
        true
    }

    fn remove_expired(&self, now: Instant) {
        let is_recent =
            |h: &LastHeartbeat| now.saturating_duration_since(h.at) <= HEARTBEAT_RETENTION;
        self.recent.borrow_mut().retain(|_, h| is_recent(h));
    }
}

impl fmt::Debug for Handler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handler")
            .field("zone", &self.zone)
            .field("duties", &self.granters)
            .finish_non_exhaustive()
    }
}
