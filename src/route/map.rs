//! An entry VM's route map for one service in one zone.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::messages::{PullResponse, Route, ServerInfo};
use crate::ids;
use crate::keys;
use crate::timing;

/// Routes of one service in one zone, with the time at which they expire.
#[derive(Debug, Default)]
pub struct Map {
    epoch: ids::Epoch,
    version: ids::MapVersion,
    last_response: u64,
    valid_until: Option<Instant>,
    routes: BTreeMap<keys::KeyHash, Route>,
    servers: HashMap<ids::ServerName, Arc<ServerInfo>>,
}

impl Map {
    /// Epoch of the primary that sent the map; 0 before the first response.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Map version within the epoch.
    pub fn version(&self) -> ids::MapVersion {
        self.version
    }

    /// Number of the last response applied.
    pub fn last_response(&self) -> u64 {
        self.last_response
    }

    /// When the map expires; `None` before the first response.
    pub fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    /// All routes, in order of their spans.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// All servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = &ServerInfo> {
        self.servers.values().map(Arc::as_ref)
    }

    /// The route of a hash; `None` if no span of the map contains the hash.
    pub fn route(&self, hash: keys::KeyHash) -> Option<&Route> {
        let (_, route) = self.routes.range(..=hash).next_back()?;
        route.span.contains(hash).then_some(route)
    }

    /// The server that owns a route; `None` if the route has no owner or the server is unknown.
    pub fn owner(&self, route: &Route) -> Option<&Arc<ServerInfo>> {
        self.servers.get(route.server.as_ref()?)
    }

    /// Applies the response to a request sent at `sent`; false if the response is from an older
    /// epoch or has only changes while there is no map.
    ///
    /// Changes under a higher epoch come from the same primary, which continues from the map that
    /// the request named; any other primary sends a full map.
    pub fn apply(&mut self, response: PullResponse, sent: Instant) -> bool {
        let is_first = self.epoch == 0;
        if response.epoch < self.epoch || (is_first && !response.is_full) {
            return false;
        }
        if response.is_full {
            self.routes.clear();
            self.servers.clear();
        }
        for span in &response.removed {
            if self
                .routes
                .get(&span.start)
                .is_some_and(|r| r.span == *span)
            {
                self.routes.remove(&span.start);
            }
        }
        for route in response.routes {
            self.routes.insert(route.span.start, route);
        }
        for server in response.servers {
            self.servers
                .insert(Arc::clone(&server.server), Arc::new(server));
        }
        self.epoch = response.epoch;
        self.version = response.version;
        self.last_response = response.number;
        self.valid_until = Some(sent + timing::ROUTE_LEASE);
        true
    }
}
