//! What changed since a log position, for entry VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::{Key, KeyRange, Server, ServerState, Vm};
use super::store::Store;
use crate::ids;
use crate::table;

/// Method of [`Poll`].
pub const POLL: &str = "fleet.poll";

/// Asks for what changed; the answer is range back until something has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Poll {
    /// Who asks.
    pub vm: Vm,
    /// Log position that it knows.
    #[serde(rename = "have")]
    pub base: ids::LogIndex,
}

/// Who holds keys in a range, as entry VMs need to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Compact", into = "Compact")]
pub struct RangeOwner {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Holder, if there is one.
    pub owner: Option<ids::ServerName>,
    /// Whether another is to hold it next.
    pub moving: bool,
}

/// A [`RangeOwner`] without names, as there are many.
type Compact = (Key, Key, Option<ids::ServerName>, bool);

impl From<Compact> for RangeOwner {
    fn from((from, to, owner, moving): Compact) -> Self {
        Self {
            from,
            to,
            owner,
            moving,
        }
    }
}

impl From<RangeOwner> for Compact {
    fn from(range: RangeOwner) -> Self {
        (range.from, range.to, range.owner, range.moving)
    }
}

impl From<&KeyRange> for RangeOwner {
    fn from(range: &KeyRange) -> Self {
        Self {
            from: range.from,
            to: range.to,
            owner: range.owner.as_ref().map(|l| Arc::clone(&l.server)),
            moving: range.next.is_some(),
        }
    }
}

/// RangeMap of one service that changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceRanges {
    /// Service.
    pub service: ids::ServiceName,
    /// The ranges.
    #[serde(rename = "rows")]
    pub ranges: Vec<RangeOwner>,
}

/// Items of news that fit into some packets as they are.
const LONG_ITEMS: usize = 64;

/// What changed since a log position.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Updates {
    /// Log position that it leads to.
    pub index: ids::LogIndex,
    /// Whether all there is stands here, so that what is missing is gone.
    #[serde(rename = "whole")]
    pub full: bool,
    /// What changed in the table, if anything did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<table::Update>,
    /// Backend servers that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Arc<Server>>,
    /// RangeMap that changed.
    #[serde(rename = "holders", default, skip_serializing_if = "Vec::is_empty")]
    pub ranges: Vec<ServiceRanges>,
    /// VMs that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub vms: Vec<Vm>,
}

impl Updates {
    /// Whether there is so much that it is worth packing.
    pub fn is_long(&self) -> bool {
        let routes = self.table.iter().map(|t| t.patch.routes.len());
        let ranges = self.ranges.iter().map(|h| h.ranges.len());
        let items = self.servers.len() + routes.chain(ranges).sum::<usize>();
        self.full || items > LONG_ITEMS
    }

    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.full
            && self.table.is_none()
            && self.servers.is_empty()
            && self.ranges.is_empty()
            && self.vms.is_empty()
    }
}

/// What changed after `base`; `index` is the position that the stores reflect.
pub fn since(
    base: ids::LogIndex,
    index: ids::LogIndex,
    table: &table::Store,
    store: &Store,
) -> Updates {
    let full = base == 0 || base < store.floor;
    let is_new = |changed| full || changed > base;
    let changed = store.servers.values().filter(|d| is_new(d.changed));
    let servers = changed.map(|d| &d.value);
    let ranges = store.ranges.iter().filter(|(_, r)| is_new(r.changed));
    let vms = store.vms.values().filter(|d| is_new(d.changed));
    Updates {
        index,
        full,
        table: table.since(if full { 0 } else { base }),
        servers: servers
            .filter(|s| !full || s.state != ServerState::Gone)
            .map(Arc::clone)
            .collect(),
        ranges: ranges
            .map(|(service, ranges)| ServiceRanges {
                service: Arc::clone(service),
                ranges: ranges
                    .iter()
                    .filter(|r| is_new(r.changed))
                    .map(RangeOwner::from)
                    .collect(),
            })
            .collect(),
        vms: vms.map(|d| d.value.clone()).collect(),
    }
}
