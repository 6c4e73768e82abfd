//! Replicated state of the routing table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::change::{Body, Change, Digest, Patch, Update};
use super::model::{Service, Table};
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
    /// Longest latency target that any table had for a service.
    #[serde(default)]
    longest_targets: BTreeMap<ids::ServiceName, Duration>,
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
        self.longest_targets
            .get(service)
            .copied()
            .unwrap_or_default()
    }

    fn record_targets(&mut self, table: &Table) {
        for route in &table.routes {
            for service in route.services() {
                let longest = self.longest_targets.entry(Arc::clone(service)).or_default();
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
        self.record_targets(&table);
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
