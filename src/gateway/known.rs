//! What an entry VM knows from the control VMs.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use super::backend::Backend;
use super::choose;
use crate::fleet::messages::RelativeLatency;
use crate::fleet::updates::{RangeOwner, Updates};
use crate::fleet::{Key, Server, ServerState, Vm, VmRole};
use crate::ids;
use crate::table;

/// Table, backend servers, rows and VMs as of a log position.
#[derive(Debug, Default)]
pub struct Known {
    /// Log position.
    pub index: ids::LogIndex,
    /// The table, once there is one.
    pub table: Option<Arc<table::Table>>,
    /// Its routes.
    pub lookup: table::Lookup,
    /// Its limits for callers.
    pub limits: Rc<table::Limits>,
    /// All VMs.
    pub vms: Vec<Vm>,
    /// This VM, once it is known.
    pub own: Option<Vm>,
    backends: HashMap<ids::ServerName, Rc<Backend>>,
    services: HashMap<ids::ServiceName, Vec<Rc<Backend>>>,
    rows: HashMap<ids::ServiceName, Vec<RangeOwner>>,
    /// Time that the requests of each route take, in seconds.
    pub(super) works: HashMap<table::model::RouteName, f64>,
}

/// Who holds a key.
#[derive(Clone, Debug)]
pub enum Holder {
    /// This backend server.
    Backend(Rc<Backend>),
    /// It is about to have another holder.
    Moving,
    /// Nobody that is known.
    Nobody,
}

impl Known {
    /// Takes in news; false if they are older than what is known.
    pub fn take(&mut self, news: Updates) -> bool {
        if news.index < self.index {
            return false;
        }
        self.index = news.index;
        if let Some(update) = news.table {
            let table = update.apply(self.table.as_deref());
            self.lookup = table::Lookup::new(&table);
            self.limits = Rc::new(table.limits.clone());
            self.table = Some(Arc::new(table));
        }
        if news.full {
            let names: Vec<_> = news.servers.iter().map(|s| &s.incarnation.server).collect();
            self.backends.retain(|name, _| names.contains(&name));
        }
        let changed = news.full || !news.servers.is_empty() || !news.vms.is_empty();
        for server in news.servers {
            self.put(server);
        }
        if news.full {
            self.vms.clear();
        }
        for vm in news.vms {
            self.vms
                .retain(|v| v.name != vm.name && v.address != vm.address);
            self.vms.push(vm);
        }
        if changed {
            self.arrange();
        }
        if news.full {
            self.rows.clear();
        }
        for holders in news.ranges {
            let rows = self.rows.entry(holders.service).or_default();
            lay_over(rows, holders.ranges);
        }
        true
    }

    /// VMs that serve callers, this one included.
    pub fn entries(&self) -> u32 {
        let entries = self.vms.iter().filter(|v| v.role == VmRole::Entry);
        u32::try_from(entries.count()).unwrap_or(u32::MAX).max(1)
    }

    /// A service of the table.
    pub fn service(&self, name: &str) -> Option<&Arc<table::Service>> {
        let mut services = self.table.iter().flat_map(|t| &t.services);
        services.find(|s| &*s.name == name)
    }

    /// The rank of a service's routes that comes first.
    pub fn first_rank(&self, service: &str) -> Option<table::model::Rank> {
        let routes = self.table.iter().flat_map(|t| &t.routes);
        let own = routes.filter(|r| r.services().any(|s| **s == *service));
        own.map(|r| r.rank).min()
    }

    /// Backend servers of a service.
    pub fn backends(&self, service: &str) -> &[Rc<Backend>] {
        self.services.get(service).map_or(&[], |b| b)
    }

    /// All backend servers.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Backend>> {
        self.backends.values()
    }

    /// How fast holders of keys were since this was last asked.
    pub fn paces(&self) -> Vec<RelativeLatency> {
        let services = self.rows.keys().map(|s| self.backends(s));
        services.flatten().filter_map(|b| b.take_pace()).collect()
    }

    /// Who holds a key of a service.
    pub fn holder(&self, service: &str, key: Key) -> Holder {
        let rows = self.rows.get(service).map_or(&[][..], |r| r);
        let at = rows.partition_point(|r| r.to < key);
        let row = rows.get(at).filter(|r| r.from <= key);
        let name = row.and_then(|r| r.owner.as_ref());
        let backend = name.and_then(|n| self.backends.get(n));
        match (row, backend) {
            (_, Some(backend)) => Holder::Backend(Rc::clone(backend)),
            (Some(row), None) if row.moving => Holder::Moving,
            (_, None) => Holder::Nobody,
        }
    }

    /// Notes that the holder of a key has let go of it; its next holder will be told.
    pub fn let_go(&mut self, service: &str, key: Key) {
        let rows = self.rows.get_mut(service).into_iter().flatten();
        let moving = |r: &&mut RangeOwner| r.from <= key && key <= r.to && r.moving;
        for row in rows.filter(moving) {
            row.owner = None;
        }
    }

    fn put(&mut self, server: Arc<Server>) {
        let name = Arc::clone(&server.incarnation.server);
        if server.state == ServerState::Gone {
            self.backends.remove(&name);
            return;
        }
        match self.backends.get(&name) {
            Some(known) if known.server().incarnation == server.incarnation => known.update(server),
            _ => {
                self.backends.insert(name, Backend::new(server));
            }
        }
    }

    fn arrange(&mut self) {
        self.services.clear();
        for backend in self.backends.values() {
            let service = Arc::clone(&backend.server().service);
            let list = self.services.entry(service).or_default();
            list.push(Rc::clone(backend));
        }
        let Some(own) = &self.own else { return };
        let entries = self.vms.iter().filter(|v| v.role == VmRole::Entry);
        let mates: BTreeSet<_> = entries
            .filter(|v| v.zone == own.zone)
            .map(|v| &v.name)
            .collect();
        let place = (
            mates.iter().take_while(|m| ***m < own.name).count(),
            mates.len(),
        );
        for list in self.services.values() {
            choose::prefer(list, &own.zone, place);
        }
    }
}

/// Lays rows over others, of which the parts that they cover go.
fn lay_over(rows: &mut Vec<RangeOwner>, news: Vec<RangeOwner>) {
    for new in news {
        let first = rows.partition_point(|r| r.to < new.from);
        let last = rows.partition_point(|r| r.from <= new.to);
        let covered: Vec<_> = rows.drain(first..last).collect();
        let left = covered.first().filter(|r| r.from < new.from);
        let left = left.map(|r| RangeOwner {
            to: new.from.saturating_sub(1),
            ..r.clone()
        });
        let right = covered.last().filter(|r| new.to < r.to);
        let right = right.map(|r| RangeOwner {
            from: new.to.saturating_add(1),
            ..r.clone()
        });
        let parts = left.into_iter().chain([new]).chain(right);
        rows.splice(first..first, parts);
    }
}
