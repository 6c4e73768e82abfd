//! The table in force and the changes that led to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::change::{Body, Change, Digest};
use super::check::{self, Fault};
use super::model::Table;
use crate::ids;

/// Accepted changes that are known again when they are sent again.
///
/// A day has hundreds of changes; an operator gives up long before thousands.
const KNOWN_CHANGES: usize = 4096;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Applied {
    /// It was accepted, now or before.
    Accepted,
    /// It was made from another version than the current one.
    Conflict(ids::Version),
    /// It is invalid.
    Refused(Fault),
}

/// The replicated store of one table.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Store {
    current: Option<Arc<Table>>,
    accepted: BTreeMap<ids::Version, Digest>,
    changed: ids::LogIndex,
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

    /// Log position of the last change.
    pub fn changed(&self) -> ids::LogIndex {
        self.changed
    }

    /// Whether the service has owners of keys.
    pub fn is_owned(&self, service: &str) -> bool {
        let mut services = self.current.iter().flat_map(|t| &t.services);
        services.any(|s| &*s.name == service && s.owned)
    }

    /// Takes a change, or says why not; the outcome is the same on every VM.
    pub fn apply(&mut self, index: ids::LogIndex, change: Change) -> Applied {
        if self.accepted.get(&change.version) == Some(&change.digest) {
            return Applied::Accepted;
        }
        let version = self.version();
        if change.base != version {
            return Applied::Conflict(version);
        }
        if change.version <= version {
            return Applied::Refused(Fault::OldVersion(version));
        }
        let table = match change.body {
            Body::Whole(table) => table,
            Body::Patch(patch) => {
                let current = self.current.as_deref().cloned().unwrap_or_default();
                patch.apply(&current, change.version)
            }
        };
        if let Err(fault) = check::check(&table) {
            return Applied::Refused(fault);
        }
        self.current = Some(Arc::new(table));
        self.accepted.insert(change.version, change.digest);
        if self.accepted.len() > KNOWN_CHANGES {
            self.accepted.pop_first();
        }
        self.changed = index;
        Applied::Accepted
    }
}
