//! The table in force and the changes that led to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::change::{Body, Change, Digest, Patch, Update};
use super::model::Table;
use super::modified::ModifiedIndex;
use super::validate::{self, ValidationError};
use crate::ids;

/// Accepted changes that are known again when they are sent again.
///
/// A day has hundreds of changes; an operator gives up long before thousands.
const KNOWN_CHANGES: usize = 4096;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was accepted, now or before.
    Accepted,
    /// It was made from another version than the current one.
    Conflict(ids::Version),
    /// It is invalid.
    Refused(ValidationError),
}

/// The replicated store of one table.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Store {
    current: Option<Arc<Table>>,
    accepted: BTreeMap<ids::Version, Digest>,
    changed: ids::LogIndex,
    #[serde(default)]
    routes: ModifiedIndex,
    #[serde(default)]
    services: ModifiedIndex,
}

impl Store {
    /// The table in force, if there is any yet.
    pub fn current(&self) -> Option<&Arc<Table>> {
        self.current.as_ref()
    }

    /// Version in force, 0 for none.
    pub fn version(&self) -> ids::Version {
        self.current.as_ref().map_or(0, |t| t.version)
    }

    /// What changed after a log position, if anything did.
    pub fn since(&self, have: ids::LogIndex) -> Option<Update> {
        let table = self.current.as_ref().filter(|_| self.changed > have)?;
        let whole = have == 0 || !self.routes.reaches(have) || !self.services.reaches(have);
        let routes = table.routes.iter();
        let routes = routes.filter(|r| whole || self.routes.is_new(&r.name, have));
        let services = table.services.iter();
        let services = services.filter(|s| whole || self.services.is_new(&s.name, have));
        let removed = |dates: &ModifiedIndex| dates.removed_since(have).map(Arc::clone).collect();
        Some(Update {
            version: table.version,
            full: whole,
            patch: Patch {
                routes: routes.map(|r| Arc::new(r.without_source())).collect(),
                services: services.map(|s| Arc::new(s.without_source())).collect(),
                removed_routes: removed(&self.routes),
                removed_services: removed(&self.services),
                limits: Some(table.limits.without_source()),
            },
        })
    }

    /// Whether the service has owners of keys.
    pub fn is_sharded(&self, service: &str) -> bool {
        let mut services = self.current.iter().flat_map(|t| &t.services);
        services.any(|s| &*s.name == service && s.sharded)
    }

    /// Takes a change, or says why not; the outcome is the same on every VM.
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
        if let Err(fault) = validate::validate(&table) {
            return Outcome::Refused(fault);
        }
        let old = self.current.take().unwrap_or_default();
        self.routes
            .note(index, &old.routes, &table.routes, |r| &r.name);
        self.services
            .note(index, &old.services, &table.services, |s| &s.name);
        self.current = Some(Arc::new(table));
        self.accepted.insert(change.version, change.digest);
        if self.accepted.len() > KNOWN_CHANGES {
            self.accepted.pop_first();
        }
        self.changed = index;
        Outcome::Accepted
    }
}
