//! The map of one service in one zone, as an entry VM holds it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::messages::{PullResponse, Route, ServerInfo};
use crate::ids;
use crate::keys;
use crate::timing;

/// Routes of one service in one zone, with the time until which they may be used.
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
    /// Epoch of the carrier that gave this map, 0 for none.
    pub fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    /// Version within the epoch.
    pub fn version(&self) -> ids::MapVersion {
        self.version
    }

    /// Number of the last answer taken in.
    pub fn last_response(&self) -> u64 {
        self.last_response
    }

    /// When this map runs out; `None` before the first answer.
    pub fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    /// All routes, in order of their spans.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// All servers, in no order.
    pub fn servers(&self) -> impl Iterator<Item = &ServerInfo> {
        self.servers.values().map(Arc::as_ref)
    }

    /// The route of a hash, if its span is in this map.
    pub fn route(&self, hash: keys::KeyHash) -> Option<&Route> {
        let (_, route) = self.routes.range(..=hash).next_back()?;
        route.span.contains(hash).then_some(route)
    }

    /// The owner of a route.
    pub fn owner(&self, route: &Route) -> Option<&Arc<ServerInfo>> {
        self.servers.get(route.server.as_ref()?)
    }

    /// Takes in an answer to a question sent at `sent`; false if it is from an older epoch.
    ///
    /// Changes under a higher epoch come from the same carrier, which goes on
    /// from the map that the question named; any other carrier answers in full.
    pub fn apply(&mut self, answer: PullResponse, sent: Instant) -> bool {
        let first = self.epoch == 0;
        if answer.epoch < self.epoch || (first && !answer.is_full) {
            return false;
        }
        if answer.is_full {
            self.routes.clear();
            self.servers.clear();
        }
        for span in &answer.removed {
            if self
                .routes
                .get(&span.start)
                .is_some_and(|r| r.span == *span)
            {
                self.routes.remove(&span.start);
            }
        }
        for route in answer.routes {
            self.routes.insert(route.span.start, route);
        }
        for server in answer.servers {
            self.servers
                .insert(Arc::clone(&server.server), Arc::new(server));
        }
        self.epoch = answer.epoch;
        self.version = answer.version;
        self.last_response = answer.number;
        self.valid_until = Some(sent + timing::ROUTE_LEASE);
        true
    }
}
