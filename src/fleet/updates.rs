//! Changes since a log index, sent to entry VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::evacuation::ZoneEvacuation;
use super::model::{Key, KeyRange, Server, ServerState, Vm};
use super::store::Store;
use crate::ids;
use crate::table;

/// Method of [`Poll`].
pub const POLL: &str = "fleet.poll";

/// Long poll for changes; the response is delayed until there are some.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Poll {
    /// VM that polls.
    pub vm: Vm,
    /// Log index that the VM has; 0 for nothing.
    #[serde(rename = "have")]
    pub base: ids::LogIndex,
}

/// A key range and its owner, as entry VMs need them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RangeOwnerTuple", into = "RangeOwnerTuple")]
pub struct RangeOwner {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Name of the owner, if there is one.
    pub owner: Option<ids::ServerName>,
    /// Whether the range is being reassigned.
    pub moving: bool,
}

/// Wire form of a [`RangeOwner`]: a tuple, as there are many.
type RangeOwnerTuple = (Key, Key, Option<ids::ServerName>, bool);

impl From<RangeOwnerTuple> for RangeOwner {
    fn from((from, to, owner, moving): RangeOwnerTuple) -> Self {
        Self {
            from,
            to,
            owner,
            moving,
        }
    }
}

impl From<RangeOwner> for RangeOwnerTuple {
    fn from(range: RangeOwner) -> Self {
        (range.from, range.to, range.owner, range.moving)
    }
}

impl From<&KeyRange> for RangeOwner {
    fn from(range: &KeyRange) -> Self {
        Self {
            from: range.from,
            to: range.to,
            owner: range.owner.as_ref().map(|o| Arc::clone(&o.server)),
            moving: range.next.is_some(),
        }
    }
}

/// Changed key ranges of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceRanges {
    /// Service of the keys.
    pub service: ids::ServiceName,
    /// Changed ranges.
    #[serde(rename = "rows")]
    pub ranges: Vec<RangeOwner>,
}

/// Number of items that fit into a few packets without compression.
const MAX_PLAIN_ITEMS: usize = 64;

/// Changes since a log index.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Updates {
    /// Log index of the state after the changes.
    pub index: ids::LogIndex,
    /// Whether this is the full state, so that an item that is missing no longer exists.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Change of the routing table, if it changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<table::Update>,
    /// Changed backend servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Arc<Server>>,
    /// Changed key ranges, by service.
    #[serde(rename = "holders", default, skip_serializing_if = "Vec::is_empty")]
    pub ranges: Vec<ServiceRanges>,
    /// Changed VMs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub vms: Vec<Vm>,
    /// Zones whose evacuation began or ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<ZoneEvacuation>,
}

impl Updates {
    /// Whether there are enough changes to be worth compression.
    pub fn is_large(&self) -> bool {
        let routes = self.table.iter().map(|t| t.patch.routes.len());
        let ranges = self.ranges.iter().map(|s| s.ranges.len());
        let items = self.servers.len() + routes.chain(ranges).sum::<usize>();
        self.full || items > MAX_PLAIN_ITEMS
    }

    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.full
            && self.table.is_none()
            && self.servers.is_empty()
            && self.ranges.is_empty()
            && self.vms.is_empty()
            && self.evacuations.is_empty()
    }
}

/// Changes after log index `base`; `index` is that of the state in the stores.
pub fn since(
    base: ids::LogIndex,
    index: ids::LogIndex,
    table: &table::Store,
    store: &Store,
) -> Updates {
    let full = base == 0 || base < store.pruned_to;
    let is_new = |changed| full || changed > base;
    let changed = store.servers.values().filter(|v| is_new(v.changed));
    let servers = changed.map(|v| &v.value);
    let ranges = store.ranges.iter().filter(|(_, r)| is_new(r.changed));
    let vms = store.vms.values().filter(|v| is_new(v.changed));
    let evacuations = store.evacuations.iter();
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
        vms: vms.map(|v| v.value.clone()).collect(),
        evacuations: evacuations
            .filter(|(_, active)| is_new(active.changed))
            .map(|(zone, active)| ZoneEvacuation {
                zone: Arc::clone(zone),
                active: active.value,
            })
            .collect(),
    }
}
