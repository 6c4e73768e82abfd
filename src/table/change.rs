//! Changes of a table, as operators send them.

use std::collections::BTreeSet;
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
    Whole(Table),
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
    pub gone_routes: BTreeSet<RouteName>,
    /// Services to remove.
    pub gone_services: BTreeSet<ids::ServiceName>,
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
        let gone = |route: &&Arc<Route>| {
            self.gone_routes.contains(&route.name)
                || self.routes.iter().any(|r| r.name == route.name)
        };
        let left = |service: &&Arc<Service>| {
            self.gone_services.contains(&service.name)
                || self.services.iter().any(|s| s.name == service.name)
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
