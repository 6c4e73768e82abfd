//! An entry VM's routes of all services and zones.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use super::load::LoadCounter;
use super::map::Map;
use super::messages::{PullResponse, Route, ServerInfo, SpanLoad};
use crate::ids;
use crate::keys;
use crate::notify::Notify;

/// Result of a lookup.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// The key has an owner.
    Owner(Owner),
    /// The key has no usable owner now, but may get one.
    Unrouted,
    /// The service is in no zone.
    UnknownService,
}

/// The owner of a key, with the expiry of its route.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Backend server.
    pub server: Arc<ServerInfo>,
    /// Span that contains the key.
    pub span: keys::Span,
    /// Fence of the grant.
    pub fence: ids::Fence,
    /// Zone of the primary.
    pub zone: ids::ZoneName,
    /// Instant after which no request may be sent by the route.
    pub valid_until: Instant,
}

/// Handle to the routes of the process; clones share the routes.
#[derive(Clone, Default)]
pub struct Table {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    services: RefCell<HashMap<ids::ServiceName, HashMap<ids::ZoneName, ZoneRoutes>>>,
    changed: Notify,
}

#[derive(Default)]
struct ZoneRoutes {
    map: Map,
    loads: LoadCounter,
    /// Owners whose responses said that they leave.
    leaving: HashSet<ids::Incarnation>,
}

impl Table {
    /// Looks up the owner of a key at `now`; of the owners in several zones, the one with the
    /// highest fence wins.
    pub fn lookup(&self, service: &str, hash: keys::KeyHash, now: Instant) -> Lookup {
        let services = self.inner.services.borrow();
        let Some(zones) = services.get(service) else {
            return Lookup::UnknownService;
        };
        zones
            .iter()
            .filter_map(|(name, zone)| owner(name, &zone.map, hash, now))
            .max_by_key(|owner| owner.fence)
            .map_or(Lookup::Unrouted, Lookup::Owner)
    }

    /// Counts one request sent to an owner.
    pub fn count_request(&self, service: &str, owner: &Owner, hash: keys::KeyHash) {
        let mut services = self.inner.services.borrow_mut();
        let zone = services
            .get_mut(service)
            .and_then(|zones| zones.get_mut(&owner.zone));
        if let Some(zone) = zone {
            zone.loads.count_request(owner.span, hash);
        }
    }

    /// Records that a response of an owner said that it leaves; forgets servers without a route map
    /// entry.
    pub fn record_leaving(&self, service: &str, owner: &Owner) {
        let mut services = self.inner.services.borrow_mut();
        let zones = services.get_mut(service);
        if let Some(zone) = zones.and_then(|zones| zones.get_mut(&owner.zone)) {
            let known: HashSet<_> = zone.map.servers().map(|s| &s.incarnation).collect();
            zone.leaving.retain(|i| known.contains(i));
            zone.leaving
                .insert(ids::Incarnation::clone(&owner.server.incarnation));
        }
    }

    /// Servers of a service in a zone that leave and still own a span.
    pub fn leaving(&self, service: &str, zone: &str) -> Vec<ids::Incarnation> {
        let services = self.inner.services.borrow();
        let zone = services.get(service).and_then(|zones| zones.get(zone));
        let Some(zone) = zone.filter(|zone| !zone.leaving.is_empty()) else {
            return Vec::new();
        };
        let owners = zone.map.routes().filter_map(|r| zone.map.owner(r));
        let owners: HashSet<_> = owners.map(|s| &s.incarnation).collect();
        let leaving = zone.leaving.iter().filter(|i| owners.contains(i));
        leaving.cloned().collect()
    }

    /// Wakes waiting tasks when any route changes.
    pub fn changed(&self) -> &Notify {
        &self.inner.changed
    }

    /// Adds an empty map for a service in a zone, so that lookups report its keys as unrouted.
    pub fn add_zone(&self, service: &ids::ServiceName, zone: &ids::ZoneName) {
        let mut services = self.inner.services.borrow_mut();
        let zones = services.entry(Arc::clone(service)).or_default();
        zones.entry(Arc::clone(zone)).or_default();
    }

    /// Removes the routes of a service in a zone.
    pub fn remove_zone(&self, service: &str, zone: &str) {
        let mut services = self.inner.services.borrow_mut();
        if let Some(zones) = services.get_mut(service) {
            zones.remove(zone);
            if zones.is_empty() {
                services.remove(service);
            }
        }
    }

    /// Applies a primary's response to a request sent at `sent`; false if the response is stale or
    /// the zone is not in the table.
    pub fn apply(&self, service: &str, zone: &str, response: PullResponse, sent: Instant) -> bool {
        let has_changes =
            response.is_full || !response.routes.is_empty() || !response.removed.is_empty();
        let applied = self
            .with_map(service, zone, |map| map.apply(response, sent))
            .unwrap_or(false);
        if applied && has_changes {
            self.inner.changed.wake();
        }
        applied
    }

    /// Runs `access` on the map of a service in a zone; `None` if there is none.
    pub fn with_map<R, F>(&self, service: &str, zone: &str, access: F) -> Option<R>
    where
        F: FnOnce(&mut Map) -> R,
    {
        let mut services = self.inner.services.borrow_mut();
        let zone = services.get_mut(service)?.get_mut(zone)?;
        Some(access(&mut zone.map))
    }

    /// Returns the load counted since the last call.
    pub fn take_loads(&self, service: &str, zone: &str) -> Vec<SpanLoad> {
        let mut services = self.inner.services.borrow_mut();
        services
            .get_mut(service)
            .and_then(|zones| zones.get_mut(zone))
            .map(|zone| zone.loads.take())
            .unwrap_or_default()
    }

    /// Incarnations of all backend servers in any map.
    pub fn incarnations(&self) -> HashSet<ids::Incarnation> {
        let services = self.inner.services.borrow();
        let zones = services.values().flat_map(HashMap::values);
        let servers = zones.flat_map(|zone| zone.map.servers());
        servers.map(|s| Arc::clone(&s.incarnation)).collect()
    }

    /// Copies of the routes and servers of a service in a zone, and whether the map is valid at
    /// `now`.
    pub fn snapshot(
        &self,
        service: &str,
        zone: &str,
        now: Instant,
    ) -> (Vec<Route>, Vec<ServerInfo>, bool) {
        self.with_map(service, zone, |map| {
            let is_valid = map.valid_until().is_some_and(|until| now < until);
            let routes = map.routes().cloned().collect();
            let servers = map.servers().cloned().collect();
            (routes, servers, is_valid)
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
    let valid_until = map.valid_until().filter(|until| now < *until)?;
    let route = map.route(hash)?;
    let server = map.owner(route)?;
    Some(Owner {
        server: Arc::clone(server),
        span: route.span,
        fence: route.fence,
        zone: Arc::clone(zone),
        valid_until,
    })
}
