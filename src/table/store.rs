//! Replicated state of the routing table.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::change::{Body, Change, Digest, Patch, Update};
use super::model::{Delivery, Service, Table};
use super::modified::ModifiedIndex;
use super::validate::{self, ValidationError};
use crate::ids;

/// Number of accepted changes that are kept to acknowledge retries.
///
/// A day has hundreds of changes, and an operator stops retrying long before thousands of them.
const MAX_ACCEPTED: usize = 4096;

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Accepted, now or by an earlier attempt.
    Accepted,
    /// Based on another version than the current one, which is given.
    Conflict(ids::Version),
    /// The resulting table is invalid.
    Refused(ValidationError),
}

/// Current routing table and its recent changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Store {
    current: Option<Arc<Table>>,
    accepted: BTreeMap<ids::Version, Digest>,
    changed: ids::LogIndex,
    #[serde(default)]
    routes: ModifiedIndex,
    #[serde(default)]
    services: ModifiedIndex,
    /// Longest latency target that any table had for a service; `None` after a snapshot without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    longest_targets: Option<BTreeMap<ids::ServiceName, Duration>>,
    /// Services whose keys any table had delivered by calls.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    called_services: BTreeSet<ids::ServiceName>,
}

impl Store {
    /// The current table; `None` before the first change.
    pub fn current(&self) -> Option<&Arc<Table>> {
        self.current.as_ref()
    }

    /// Version of the current table; 0 for none.
    pub fn version(&self) -> ids::Version {
        self.current.as_ref().map_or(0, |t| t.version)
    }

    /// Changes after log index `base`, if there are any; `base` 0 asks for the full table.
    pub fn since(&self, base: ids::LogIndex) -> Option<Update> {
        let table = self.current.as_ref().filter(|_| self.changed > base)?;
        let full = base == 0 || !self.routes.covers(base) || !self.services.covers(base);
        let routes = table.routes.iter();
        let routes = routes.filter(|r| full || self.routes.changed_since(&r.name, base));
        let services = table.services.iter();
        let services = services.filter(|s| full || self.services.changed_since(&s.name, base));
        let removed = |index: &ModifiedIndex| index.removed_since(base).map(Arc::clone).collect();
        Some(Update {
            version: table.version,
            full,
            patch: Patch {
                routes: routes.map(|r| Arc::new(r.without_source())).collect(),
                services: services.map(|s| Arc::new(s.without_source())).collect(),
                removed_routes: removed(&self.routes),
                removed_services: removed(&self.services),
                limits: Some(table.limits.without_source()),
            },
        })
    }

    /// Whether the keys of a service are assigned to owners.
    pub fn is_sharded(&self, service: &str) -> bool {
        let mut services = self.current.iter().flat_map(|t| &t.services);
        services.any(|s| &*s.name == service && s.sharded)
    }

    /// A service of the newest table.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let mut services = self.current.iter().flat_map(|t| &t.services);
        services.find(|s| &*s.name == name)
    }

    /// Longest latency target of the routes to a service, of all tables so far.
    ///
    /// It never falls, so that a lease which is derived from it is not longer than a later one.
    pub fn longest_target(&self, service: &str) -> Duration {
        match &self.longest_targets {
            Some(targets) => targets.get(service).copied().unwrap_or_default(),
            None => self.current.as_deref().map_or(Duration::ZERO, |table| {
                let routes = table.routes.iter();
                let of_service = routes.filter(|r| r.services().any(|s| **s == *service));
                let targets = of_service.map(|r| r.latency_target);
                targets.max().unwrap_or_default()
            }),
        }
    }

    /// Longest latency target of each service that any table had a route to; `None` if the tables
    /// before a snapshot are unknown.
    pub fn longest_targets(&self) -> Option<&BTreeMap<ids::ServiceName, Duration>> {
        self.longest_targets.as_ref()
    }

    /// How the keys of a service were delivered by any table so far: by calls if one said so.
    pub fn any_delivery(&self, service: &str) -> Delivery {
        match self.service(service) {
            _ if self.called_services.contains(service) => Delivery::Call,
            // A snapshot without the record still has the present table.
            Some(service) => service.delivery,
            None => Delivery::Heartbeat,
        }
    }

    fn record_history(&mut self, table: &Table) {
        let called = table.services.iter();
        let called = called.filter(|s| s.delivery == Delivery::Call);
        self.called_services
            .extend(called.map(|s| Arc::clone(&s.name)));
        if self.current.is_none() {
            self.longest_targets = Some(BTreeMap::new());
        }
        let Some(targets) = &mut self.longest_targets else {
            return;
        };
        for route in &table.routes {
            for service in route.services() {
                let longest = targets.entry(Arc::clone(service)).or_default();
                *longest = route.latency_target.max(*longest);
            }
        }
    }

    /// Applies a change if it is valid; the outcome is the same on every VM.
    pub fn apply(&mut self, index: ids::LogIndex, change: Change) -> Outcome {
        if self.accepted.get(&change.version) == Some(&change.digest) {
            return Outcome::Accepted;
        }
        let version = self.version();
        if change.base != version {
            return Outcome::Conflict(version);
        }
        if change.version <= version {
            return Outcome::Refused(ValidationError::OldVersion(version));
        }
        let table = match change.body {
            Body::Full(table) => table,
            Body::Patch(patch) => {
                let current = self.current.as_deref().cloned().unwrap_or_default();
                patch.apply(&current, change.version)
            }
        };
        if let Err(error) = validate::validate(&table) {
            return Outcome::Refused(error);
        }
        self.record_history(&table);
        let old = self.current.take().unwrap_or_default();
        let table = table.sharing(&old);
        self.routes
            .record_changes(index, &old.routes, &table.routes, |r| &r.name);
        self.services
            .record_changes(index, &old.services, &table.services, |s| &s.name);
        self.current = Some(Arc::new(table));
        self.accepted.insert(change.version, change.digest);
        if self.accepted.len() > MAX_ACCEPTED {
            self.accepted.pop_first();
        }
        self.changed = index;
        Outcome::Accepted
    }
}
