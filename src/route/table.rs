//! The routes that this entry VM holds, over all services and zones.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use super::load::Loads;
use super::map::Map;
use super::messages::{PullResponse, Route, ServerInfo, SpanLoad};
use crate::ids;
use crate::keys;
use crate::notify::Notify;

/// What is known of the owner of a key.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// The key has an owner.
    Owner(Owner),
    /// The key has no owner that may be used now; a change is awaited.
    Unowned,
    /// No zone has the service.
    UnknownService,
}

/// The owner of a key, and until when it may be used.
#[derive(Clone, Debug)]
pub struct Owner {
    /// The backend server.
    pub server: Arc<ServerInfo>,
    /// Span that the key lies in.
    pub span: keys::Span,
    /// Fence of the grant.
    pub fence: ids::Fence,
    /// Zone of the carrier.
    pub zone: ids::ZoneName,
    /// Last moment at which a request may leave by this route.
    pub valid_until: Instant,
}

/// Handle to the routes of this process; clones share them.
#[derive(Clone, Default)]
pub struct Table {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    services: RefCell<HashMap<ids::ServiceName, HashMap<ids::ZoneName, Zone>>>,
    changed: Notify,
}

#[derive(Default)]
struct Zone {
    map: Map,
    loads: Loads,
}

impl Table {
    /// The owner of a key at `now`.
    pub fn lookup(&self, service: &str, hash: keys::KeyHash, now: Instant) -> Lookup {
        let services = self.inner.services.borrow();
        let Some(zones) = services.get(service) else {
            return Lookup::UnknownService;
        };
        zones
            .iter()
            .filter_map(|(name, zone)| owner(name, &zone.map, hash, now))
            .max_by_key(|owner| owner.fence)
            .map_or(Lookup::Unowned, Lookup::Owner)
    }

    /// Counts one request that went to an owner.
    pub fn count_request(&self, service: &str, owner: &Owner, hash: keys::KeyHash) {
        let mut services = self.inner.services.borrow_mut();
        let zone = services
            .get_mut(service)
            .and_then(|zones| zones.get_mut(&owner.zone));
        if let Some(zone) = zone {
            zone.loads.note(owner.span, hash);
        }
    }

    /// Wakes tasks when any route changes.
    pub fn changed(&self) -> &Notify {
        &self.inner.changed
    }

    /// Makes room for a service in a zone, so that its keys are awaited.
    pub fn add_zone(&self, service: &ids::ServiceName, zone: &ids::ZoneName) {
        let mut services = self.inner.services.borrow_mut();
        let zones = services.entry(Arc::clone(service)).or_default();
        zones.entry(Arc::clone(zone)).or_default();
    }

    /// Drops what is held for a service in a zone.
    pub fn remove_zone(&self, service: &str, zone: &str) {
        let mut services = self.inner.services.borrow_mut();
        if let Some(zones) = services.get_mut(service) {
            zones.remove(zone);
            if zones.is_empty() {
                services.remove(service);
            }
        }
    }

    /// Takes in a carrier's answer to a question sent at `sent`; false if it is stale.
    pub fn apply(&self, service: &str, zone: &str, answer: PullResponse, sent: Instant) -> bool {
        let changes = answer.is_full || !answer.routes.is_empty() || !answer.removed.is_empty();
        let taken = self
            .with_map(service, zone, |map| map.apply(answer, sent))
            .unwrap_or(false);
        if taken && changes {
            self.inner.changed.wake();
        }
        taken
    }

    /// Reads the map of a service in a zone.
    pub fn with_map<R, F>(&self, service: &str, zone: &str, read: F) -> Option<R>
    where
        F: FnOnce(&mut Map) -> R,
    {
        let mut services = self.inner.services.borrow_mut();
        let zone = services.get_mut(service)?.get_mut(zone)?;
        Some(read(&mut zone.map))
    }

    /// Takes out the load counted since the last call.
    pub fn take_loads(&self, service: &str, zone: &str) -> Vec<SpanLoad> {
        let mut services = self.inner.services.borrow_mut();
        services
            .get_mut(service)
            .and_then(|zones| zones.get_mut(zone))
            .map(|zone| zone.loads.take())
            .unwrap_or_default()
    }

    /// Starts of all backend servers that any map names.
    pub fn incarnations(&self) -> HashSet<ids::Incarnation> {
        let services = self.inner.services.borrow();
        let zones = services.values().flat_map(HashMap::values);
        let servers = zones.flat_map(|zone| zone.map.servers());
        servers.map(|s| Arc::clone(&s.incarnation)).collect()
    }

    /// Copies of the routes and servers held for a service in a zone, and whether they are in date.
    pub fn snapshot(
        &self,
        service: &str,
        zone: &str,
        now: Instant,
    ) -> (Vec<Route>, Vec<ServerInfo>, bool) {
        self.with_map(service, zone, |map| {
            let fresh = map.valid_until().is_some_and(|until| now < until);
            let routes = map.routes().cloned().collect();
            let servers = map.servers().cloned().collect();
            (routes, servers, fresh)
        })
        .unwrap_or_default()
    }
}

impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let services = self.inner.services.borrow();
        f.debug_struct("Table")
            .field("services", &services.len())
            .finish_non_exhaustive()
    }
}

fn owner(zone: &ids::ZoneName, map: &Map, hash: keys::KeyHash, now: Instant) -> Option<Owner> {
    let until = map.valid_until().filter(|until| now < *until)?;
    let route = map.route(hash)?;
    let server = map.owner(route)?;
    Some(Owner {
        server: Arc::clone(server),
        span: route.span,
        fence: route.fence,
        zone: Arc::clone(zone),
        valid_until: until,
    })
}
