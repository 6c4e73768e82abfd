//! Changes of a routing table.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::{Limits, Route, RouteName, Service, Table};
use crate::ids;

/// Checksum of a change, as hex digits; a retry of the change has the same one.
pub type Digest = Arc<str>;

/// A change of the table, based on a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change is based on; 0 for none.
    pub base: ids::Version,
    /// Version of the resulting table.
    pub version: ids::Version,
    /// Checksum of the base version and the body.
    pub digest: Digest,
    /// Content of the change.
    pub body: Body,
}

/// Content of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Replaces the whole table.
    #[serde(rename = "whole")]
    Full(Table),
    /// Changes individual items.
    Patch(Patch),
}

/// Items to add, replace or remove, identified by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Routes to add or replace.
    pub routes: Vec<Arc<Route>>,
    /// Services to add or replace.
    pub services: Vec<Arc<Service>>,
    /// Names of routes to remove.
    #[serde(rename = "gone_routes")]
    pub removed_routes: BTreeSet<RouteName>,
    /// Names of services to remove.
    #[serde(rename = "gone_services")]
    pub removed_services: BTreeSet<ids::ServiceName>,
    /// New limits for callers, if they change.
    pub limits: Option<Limits>,
}

/// Computes the checksum of a change from its base version and its body as received.
pub fn digest(base: ids::Version, bytes: &[u8]) -> Digest {
    let mut input = base.to_be_bytes().to_vec();
    input.extend_from_slice(bytes);
    format!("{:032x}", xxhash_rust::xxh3::xxh3_128(&input)).into()
}

impl Patch {
    /// Returns `table` with this patch applied, as `version`.
    pub fn apply(&self, table: &Table, version: ids::Version) -> Table {
        let routes: HashSet<_> = self.routes.iter().map(|r| &r.name).collect();
        let services: HashSet<_> = self.services.iter().map(|s| &s.name).collect();
        let is_dropped_route = |route: &&Arc<Route>| {
            self.removed_routes.contains(&route.name) || routes.contains(&route.name)
        };
        let is_dropped_service = |service: &&Arc<Service>| {
            self.removed_services.contains(&service.name) || services.contains(&service.name)
        };
        let routes = table.routes.iter().filter(|r| !is_dropped_route(r));
        let services = table.services.iter().filter(|s| !is_dropped_service(s));
        Table {
            version,
            routes: routes.chain(&self.routes).map(Arc::clone).collect(),
            services: services.chain(&self.services).map(Arc::clone).collect(),
            limits: self.limits.clone().unwrap_or_else(|| table.limits.clone()),
        }
    }
}

/// Changes of the table since a log index, for entry VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// Version of the resulting table.
    pub version: ids::Version,
    /// Whether the patch contains the full table.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Changed items, without their source.
    pub patch: Patch,
}

impl Update {
    /// Returns `known` with this update applied.
    pub fn apply(&self, known: Option<&Table>) -> Table {
        let known = known.filter(|_| !self.full);
        let empty = Table::default();
        self.patch.apply(known.unwrap_or(&empty), self.version)
    }
}
