//! Changes of a table, as operators send them.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::{Limits, Route, RouteName, Service, Table};
use crate::ids;

/// Checksum of a change; the same change sent again has the same.
pub type Digest = Arc<str>;

/// One change, made on top of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that it was made from; 0 for none.
    pub base: ids::Version,
    /// Version that it makes.
    pub version: ids::Version,
    /// Checksum of all of it.
    pub digest: Digest,
    /// What it changes.
    pub body: Body,
}

/// What a change changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Everything.
    #[serde(rename = "whole")]
    Full(Table),
    /// Named items.
    Patch(Patch),
}

/// Items to add, replace or remove by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Routes to add, or to replace by name.
    pub routes: Vec<Arc<Route>>,
    /// Services to add, or to replace by name.
    pub services: Vec<Arc<Service>>,
    /// Routes to remove.
    #[serde(rename = "gone_routes")]
    pub removed_routes: BTreeSet<RouteName>,
    /// Services to remove.
    #[serde(rename = "gone_services")]
    pub removed_services: BTreeSet<ids::ServiceName>,
    /// New limits, if they change.
    pub limits: Option<Limits>,
}

/// Checksum of a change from the bytes that it came in.
pub fn digest(base: ids::Version, bytes: &[u8]) -> Digest {
    let mut all = base.to_be_bytes().to_vec();
    all.extend_from_slice(bytes);
    format!("{:032x}", xxhash_rust::xxh3::xxh3_128(&all)).into()
}

impl Patch {
    /// The table after this patch.
    pub fn apply(&self, table: &Table, version: ids::Version) -> Table {
        let routes: HashSet<_> = self.routes.iter().map(|r| &r.name).collect();
        let services: HashSet<_> = self.services.iter().map(|s| &s.name).collect();
        let gone = |route: &&Arc<Route>| {
            self.removed_routes.contains(&route.name) || routes.contains(&route.name)
        };
        let left = |service: &&Arc<Service>| {
            self.removed_services.contains(&service.name) || services.contains(&service.name)
        };
        let routes = table.routes.iter().filter(|r| !gone(r));
        let services = table.services.iter().filter(|s| !left(s));
        Table {
            version,
            routes: routes.chain(&self.routes).map(Arc::clone).collect(),
            services: services.chain(&self.services).map(Arc::clone).collect(),
            limits: self.limits.clone().unwrap_or_else(|| table.limits.clone()),
        }
    }
}

/// What of a table changed since a log position, for those who only read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// Version that it leads to.
    pub version: ids::Version,
    /// Whether all there is stands here.
    #[serde(rename = "whole")]
    pub full: bool,
    /// What changed; items come without what the operator wrote.
    pub patch: Patch,
}

impl Update {
    /// The table after this update of `known`.
    pub fn apply(&self, known: Option<&Table>) -> Table {
        let known = known.filter(|_| !self.full);
        let none = Table::default();
        self.patch.apply(known.unwrap_or(&none), self.version)
    }
}
