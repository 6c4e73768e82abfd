//! Routing state that an entry VM receives from the control VMs.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::backend::Backend;
use super::peers::{Peers, Ring};
use super::selection;
use super::warmup::Share;
use crate::clock;
use crate::fleet::evacuation::ZoneEvacuation;
use crate::fleet::leases;
use crate::fleet::messages::RelativeLatency;
use crate::fleet::updates::{RangeOwner, Updates};
use crate::fleet::{Incarnation, Key, Server, ServerState, Vm, VmRole};
use crate::ids;
use crate::table;

/// Routing table, backend servers, key ranges and VMs at a log index.
#[derive(Debug, Default)]
pub struct RoutingState {
    /// Log index that the state reflects.
    pub index: ids::LogIndex,
    /// Routing table, once received.
    pub table: Option<Arc<table::Table>>,
    /// Route lookup of the table.
    pub lookup: table::Lookup,
    /// Limits for callers from the table.
    pub limits: Rc<table::Limits>,
    /// All known VMs.
    pub vms: Vec<Vm>,
    /// This VM.
    pub local_vm: Option<Vm>,
    /// Load that entry VMs report to each other.
    pub peers: Rc<Peers>,
    backends: HashMap<ids::ServerName, Rc<Backend>>,
    services: HashMap<ids::ServiceName, Vec<Rc<Backend>>>,
    key_ranges: HashMap<ids::ServiceName, Vec<RangeOwner>>,
    /// When the list of entry VMs last changed.
    listed_since: Option<Instant>,
    /// Key ranges whose owner said that it doesn't hold them, by service and first key.
    misses: HashMap<(ids::ServiceName, Key), Miss>,
    /// Running average of each route's request time, in seconds.
    pub(super) route_secs: HashMap<table::model::RouteName, f64>,
    /// Until when the responses of each route count as long; routes without a response are missing.
    long_until: HashMap<table::model::RouteName, Instant>,
    /// Evacuated zones, and since when this VM knows of each.
    evacuated: HashMap<ids::ZoneName, Instant>,
}

/// How long the responses of a route count as long after one was.
const LONG_RESPONSE_LIFETIME: Duration = Duration::from_mins(1);

/// Pause after an owner said that it doesn't hold a key; doubles with each further time.
///
/// An update of the owner may arrive a moment before the owner's grant.
const MIN_MISS_PAUSE: Duration = Duration::from_millis(40);

/// Longest such pause.
const MAX_MISS_PAUSE: Duration = Duration::from_millis(640);

/// An owner that said that it doesn't hold a key range.
#[derive(Clone, Copy, Debug)]
struct Miss {
    pause: Duration,
    until: Instant,
}

/// Owner of a key.
#[derive(Clone, Debug)]
pub enum KeyOwner {
    /// Backend server that owns the key.
    Backend(Rc<Backend>),
    /// The key is moving to another owner.
    Moving,
    /// No owner is known.
    Unknown,
}

impl RoutingState {
    /// Applies updates; false if they are older than this state.
    pub fn apply(&mut self, updates: Updates) -> bool {
        if updates.index < self.index {
            return false;
        }
        self.index = updates.index;
        let vms_received = updates.full || !updates.vms.is_empty();
        let entry_vms = vms_received.then(|| self.entry_vm_zones());
        let mut shares_changed = updates.table.is_some();
        let table_changed = updates.table.is_some();
        if let Some(update) = updates.table {
            let table = update.apply(self.table.as_deref());
            self.lookup = table::Lookup::new(&table);
            self.retain_learned(&table);
            self.limits = Rc::new(table.limits.clone());
            self.table = Some(Arc::new(table));
        }
        if updates.full {
            let names: Vec<_> = updates
                .servers
                .iter()
                .map(|s| &s.incarnation.server)
                .collect();
            let removed = self.backends.extract_if(|name, _| !names.contains(&name));
            removed.for_each(|(_, backend)| backend.set_gone());
        }
        let changed =
            updates.full || table_changed || !updates.servers.is_empty() || !updates.vms.is_empty();
        let servers = updates.servers.iter();
        let server_names: Vec<_> = servers.map(|s| Arc::clone(&s.incarnation.server)).collect();
        for server in updates.servers {
            self.upsert_server(server);
        }
        if updates.full {
            self.vms.clear();
        }
        for vm in updates.vms {
            self.vms
                .retain(|v| v.name != vm.name && v.address != vm.address);
            self.vms.push(vm);
        }
        if entry_vms.is_some_and(|before| before != self.entry_vm_zones()) {
            self.listed_since = Some(clock::now());
            shares_changed = true;
        }
        if changed {
            self.rebuild_services();
        }
        if shares_changed {
            self.backends.values().for_each(|b| self.assign_share(b));
        } else {
            let backends = server_names.iter().filter_map(|n| self.backends.get(n));
            backends.for_each(|b| self.assign_share(b));
        }
        if changed || !updates.evacuations.is_empty() {
            self.mark_evacuated(updates.evacuations, updates.full);
        }
        if updates.full {
            self.key_ranges.clear();
        }
        for owners in updates.ranges {
            self.misses
                .retain(|(service, _), _| *service != owners.service);
            let key_ranges = self.key_ranges.entry(owners.service).or_default();
            overlay_ranges(key_ranges, owners.ranges);
        }
        true
    }

    /// Number of entry VMs, including this one; at least 1.
    pub fn entry_vm_count(&self) -> u32 {
        let entry_vms = self.vms.iter().filter(|v| v.role == VmRole::Entry);
        u32::try_from(entry_vms.count()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns a service of the table.
    pub fn service(&self, name: &str) -> Option<&Arc<table::Service>> {
        let mut services = self.table.iter().flat_map(|t| &t.services);
        services.find(|s| &*s.name == name)
    }

    /// Returns the most important rank among the routes of a service.
    pub fn top_rank(&self, service: &str) -> Option<table::model::Rank> {
        let routes = self.table.iter().flat_map(|t| &t.routes);
        let of_service = routes.filter(|r| r.services().any(|s| **s == *service));
        of_service.map(|r| r.rank).min()
    }

    /// Expected duration of the leases of a service's key owners.
    pub fn lease(&self, service: &str) -> Duration {
        let routes = self.table.iter().flat_map(|t| &t.routes);
        let of_service = routes.filter(|r| r.services().any(|s| **s == *service));
        let target = of_service.map(|r| r.latency_target).max();
        leases::lease_duration(target.unwrap_or_default(), Duration::MAX)
    }

    /// Returns the backend servers of a service.
    pub fn backends(&self, service: &str) -> &[Rc<Backend>] {
        self.services.get(service).map_or(&[], |b| b)
    }

    /// Returns a backend server by its name.
    pub fn backend(&self, name: &str) -> Option<&Rc<Backend>> {
        self.backends.get(name)
    }

    /// Iterates over the backend servers of all services.
    pub fn all_backends(&self) -> impl Iterator<Item = &Rc<Backend>> {
        self.backends.values()
    }

    /// Takes the relative latencies of key owners measured since the last call.
    pub fn take_latencies(&self) -> Vec<RelativeLatency> {
        let services = self.key_ranges.keys().map(|s| self.backends(s));
        services
            .flatten()
            .filter_map(|b| b.take_latency())
            .collect()
    }

    /// Owners of keys whose responses say that they leave and that the control VMs don't know to.
    pub fn leaving_owners(&self) -> Vec<Incarnation> {
        let services = self.key_ranges.keys().map(|s| self.backends(s));
        let leaving = services
            .flatten()
            .filter(|b| b.is_leaving() && b.is_ready());
        leaving.map(|b| b.server().incarnation.clone()).collect()
    }

    /// Returns the owner of a key of a service.
    pub fn owner(&self, service: &str, key: Key) -> KeyOwner {
        let key_range = self.range(service, key);
        let name = key_range.and_then(|r| r.owner.as_ref());
        let backend = name.and_then(|n| self.backends.get(n));
        match (key_range, backend) {
            (_, Some(backend)) => KeyOwner::Backend(Rc::clone(backend)),
            (Some(key_range), None) if key_range.moving => KeyOwner::Moving,
            (_, None) => KeyOwner::Unknown,
        }
    }

    /// Whether any key of a service has an owner or is about to get one.
    pub fn has_owners(&self, service: &str) -> bool {
        let key_ranges = self.key_ranges.get(service);
        key_ranges.is_some_and(|r| r.iter().any(|r| r.owner.is_some() || r.moving))
    }

    /// Until when the owner of a key is not asked again, as it said that it doesn't hold the key.
    pub fn missed_until(&self, service: &ids::ServiceName, key: Key) -> Option<Instant> {
        let range = self.range(service, key)?;
        let miss = self.misses.get(&(Arc::clone(service), range.from))?;
        Some(miss.until)
    }

    /// Records that the owner of a key said that it doesn't hold the key.
    pub fn record_miss(&mut self, service: &ids::ServiceName, key: Key, now: Instant) {
        let Some(from) = self.range(service, key).map(|r| r.from) else {
            return;
        };
        let miss = self.misses.entry((Arc::clone(service), from));
        let miss = miss.or_insert(Miss {
            pause: MIN_MISS_PAUSE / 2,
            until: now,
        });
        if now >= miss.until {
            miss.pause = (miss.pause * 2).min(MAX_MISS_PAUSE);
            miss.until = now + miss.pause;
        }
    }

    /// Records that the owner of a key holds it.
    pub fn record_held(&mut self, service: &ids::ServiceName, key: Key) {
        if self.misses.is_empty() {
            return;
        }
        if let Some(from) = self.range(service, key).map(|r| r.from) {
            self.misses.remove(&(Arc::clone(service), from));
        }
    }

    fn range(&self, service: &str, key: Key) -> Option<&RangeOwner> {
        let key_ranges = self.key_ranges.get(service)?;
        let index = key_ranges.partition_point(|r| r.to < key);
        key_ranges.get(index).filter(|r| r.from <= key)
    }

    /// Clears the owner of a moving key range once it has released the key; an update names the
    /// next one.
    pub fn clear_owner(&mut self, service: &str, key: Key) {
        let key_ranges = self.key_ranges.get_mut(service).into_iter().flatten();
        let moving = |r: &&mut RangeOwner| r.from <= key && key <= r.to && r.moving;
        for key_range in key_ranges.filter(moving) {
            key_range.owner = None;
        }
    }

    /// Drops what was learned about routes that the next table lacks or sends to other services.
    fn retain_learned(&mut self, next: &table::Table) {
        let old_routes = self.table.iter().flat_map(|t| &t.routes);
        let old_routes: HashMap<_, _> = old_routes.map(|r| (&r.name, r)).collect();
        let shares_service = |r: &table::Route| {
            let old = old_routes.get(&r.name).into_iter();
            let mut old = old.flat_map(|o| o.services());
            old.any(|s| r.services().any(|n| n == s))
        };
        let kept = next.routes.iter().filter(|r| shares_service(r));
        let names: HashSet<_> = kept.map(|r| &r.name).collect();
        self.long_until.retain(|name, _| names.contains(name));
        self.route_secs.retain(|name, _| names.contains(name));
    }

    /// Records whether a response was too long to be held back whole.
    pub fn record_length(&mut self, route: &table::model::RouteName, is_long: bool, now: Instant) {
        let known = self.long_until.entry(Arc::clone(route)).or_insert(now);
        if is_long {
            *known = now + LONG_RESPONSE_LIFETIME;
        }
    }

    /// Whether the responses of a route are short, as far as is known.
    pub fn has_short_responses(&self, route: &table::model::RouteName, now: Instant) -> bool {
        let long_until = self.long_until.get(route);
        long_until.is_some_and(|until| now >= *until)
    }

    fn upsert_server(&mut self, server: Arc<Server>) {
        let name = Arc::clone(&server.incarnation.server);
        let known = self.backends.get(&name);
        let known = known.filter(|b| b.server().incarnation == server.incarnation);
        match known {
            Some(known) if server.state != ServerState::Gone => known.update(server),
            _ => {
                if let Some(ended) = self.backends.remove(&name) {
                    ended.set_gone();
                }
                if server.state != ServerState::Gone {
                    self.backends.insert(name, Backend::new(server));
                }
            }
        }
    }

    /// Marks the servers of evacuated zones, and those of zones that were returned to service as cold.
    ///
    /// The servers of a zone may have started during its evacuation, so the end counts even if this VM
    /// has not seen the start.
    fn mark_evacuated(&mut self, changes: Vec<ZoneEvacuation>, full: bool) {
        let now = clock::now();
        if full {
            let is_active = |zone: &str| changes.iter().any(|e| *e.zone == *zone && e.active);
            self.evacuated.retain(|zone, _| is_active(zone));
        }
        for ZoneEvacuation { zone, active } in changes {
            log::info!("event=gateway.evacuation zone={zone:?} active={active}");
            if active {
                self.evacuated.entry(zone).or_insert(now);
                continue;
            }
            self.evacuated.remove(&zone);
            for backend in self.backends.values().filter(|b| b.server().zone == zone) {
                let service = self.service(&backend.server().service);
                if let Some(warmup) = service.and_then(|s| s.warmup) {
                    backend.set_cold(warmup.duration);
                }
            }
        }
        for backend in self.backends.values() {
            let since = self.evacuated.get(&backend.server().zone);
            backend.set_evacuated(since.copied());
        }
    }

    /// Names and zones of the entry VMs.
    fn entry_vm_zones(&self) -> BTreeSet<(ids::VmName, ids::ZoneName)> {
        let entry_vms = self.vms.iter().filter(|v| v.role == VmRole::Entry);
        let zones = entry_vms.map(|v| (Arc::clone(&v.name), Arc::clone(&v.zone)));
        zones.collect()
    }

    /// Sets this VM's share in the requests to a backend server while that is cold.
    fn assign_share(&self, backend: &Backend) {
        let server = backend.server();
        let service = self.service(&server.service);
        let limit = service.and_then(|s| s.warmup.map(|w| (w, s.sharded)));
        let share = limit.zip(self.local_vm.as_ref());
        let share = share.map(|((limit, sharded), local)| {
            let name = (&*server.incarnation.server, &*server.zone);
            Share::new(limit, sharded, name, local, &self.vms)
        });
        let now = clock::now();
        let listed_since = self.listed_since.unwrap_or(now);
        let mut limiter = backend.limiter().borrow_mut();
        limiter.set_share(share, listed_since, now);
    }

    fn rebuild_services(&mut self) {
        self.services.clear();
        for backend in self.backends.values() {
            let service = Arc::clone(&backend.server().service);
            let backends = self.services.entry(service).or_default();
            backends.push(Rc::clone(backend));
        }
        let Some(local_vm) = &self.local_vm else {
            return;
        };
        let entry_vms = self.vms.iter().filter(|v| v.role == VmRole::Entry);
        let zone_entry_vms: BTreeSet<_> = entry_vms
            .filter(|v| v.zone == local_vm.zone)
            .map(|v| &v.name)
            .collect();
        let position = (
            zone_entry_vms
                .iter()
                .take_while(|m| ***m < local_vm.name)
                .count(),
            zone_entry_vms.len(),
        );
        for backends in self.services.values() {
            selection::assign_preferred(backends, &local_vm.zone, position);
        }
        self.configure_peers(local_vm);
    }

    /// Sets which load is exchanged: that of services without keys for which the zone has more entry
    /// VMs than a server has slots, so that few of a server's requests are this VM's.
    fn configure_peers(&self, local_vm: &Vm) {
        let zone = &local_vm.zone;
        let in_zone = |v: &&Vm| v.role == VmRole::Entry && v.zone == *zone;
        let vms = self.vms.iter().filter(in_zone);
        let mut vms: Vec<_> = vms.map(|v| (Arc::clone(&v.name), v.address)).collect();
        vms.sort();
        let local = vms.partition_point(|(name, _)| *name < local_vm.name);
        let ring = Ring { vms, local };
        let keyless = self.services.iter();
        let keyless = keyless.filter(|(s, _)| self.service(s).is_some_and(|s| !s.sharded));
        let zone_backends = keyless.map(|(_, b)| selection::zone_order(b, zone));
        let few_slots = |b: &Rc<Backend>| (b.server().slots as usize) < ring.vms.len();
        let shared: Vec<_> = zone_backends.filter(|b| b.iter().all(few_slots)).collect();
        self.peers.configure(&local_vm.name, &ring, &shared);
    }
}

/// Overlays ranges with changed ones, which replace the parts that they cover.
fn overlay_ranges(key_ranges: &mut Vec<RangeOwner>, changes: Vec<RangeOwner>) {
    for change in changes {
        let first = key_ranges.partition_point(|r| r.to < change.from);
        let last = key_ranges.partition_point(|r| r.from <= change.to);
        let overlapped: Vec<_> = key_ranges.drain(first..last).collect();
        let left = overlapped.first().filter(|r| r.from < change.from);
        let left = left.map(|r| RangeOwner {
            to: change.from.saturating_sub(1),
            ..r.clone()
        });
        let right = overlapped.last().filter(|r| change.to < r.to);
        let right = right.map(|r| RangeOwner {
            from: change.to.saturating_add(1),
            ..r.clone()
        });
        let parts = left.into_iter().chain([change]).chain(right);
        key_ranges.splice(first..first, parts);
    }
}
