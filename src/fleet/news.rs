//! What changed since a log position, for entry VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::{Key, KeyRange, Server, ServerState, Vm};
use super::store::Store;
use crate::ids;
use crate::table;

/// Method of [`Poll`].
pub const POLL: &str = "fleet.poll";

/// Asks for what changed; the answer is held back until something has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Poll {
    /// Who asks.
    pub vm: Vm,
    /// Log position that it knows.
    pub have: ids::LogIndex,
}

/// Who holds keys in a range, as entry VMs need to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Compact", into = "Compact")]
pub struct Held {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Holder, if there is one.
    pub owner: Option<ids::ServerName>,
    /// Whether another is to hold it next.
    pub moving: bool,
}

/// A [`Held`] without names, as there are many.
type Compact = (Key, Key, Option<ids::ServerName>, bool);

impl From<Compact> for Held {
    fn from((from, to, owner, moving): Compact) -> Self {
        Self {
            from,
            to,
            owner,
            moving,
        }
    }
}

impl From<Held> for Compact {
    fn from(held: Held) -> Self {
        (held.from, held.to, held.owner, held.moving)
    }
}

impl From<&KeyRange> for Held {
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
pub struct Holders {
    /// Service.
    pub service: ids::ServiceName,
    /// The ranges.
    #[serde(rename = "rows")]
    pub ranges: Vec<Held>,
}

/// Items of news that fit into some packets as they are.
const LONG_ITEMS: usize = 64;

/// What changed since a log position.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct News {
    /// Log position that it leads to.
    pub index: ids::LogIndex,
    /// Whether all there is stands here, so that what is missing is gone.
    pub whole: bool,
    /// What changed in the table, if anything did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<table::Update>,
    /// Backend servers that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<Arc<Server>>,
    /// RangeMap that changed.
    #[serde(rename = "holders", default, skip_serializing_if = "Vec::is_empty")]
    pub ranges: Vec<Holders>,
    /// VMs that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub vms: Vec<Vm>,
}

impl News {
    /// Whether there is so much that it is worth packing.
    pub fn is_long(&self) -> bool {
        let routes = self.table.iter().map(|t| t.patch.routes.len());
        let ranges = self.ranges.iter().map(|h| h.ranges.len());
        let items = self.servers.len() + routes.chain(ranges).sum::<usize>();
        self.whole || items > LONG_ITEMS
    }

    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.whole
            && self.table.is_none()
            && self.servers.is_empty()
            && self.ranges.is_empty()
            && self.vms.is_empty()
    }
}

/// What changed after `have`; `index` is the position that the stores reflect.
pub fn since(
    have: ids::LogIndex,
    index: ids::LogIndex,
    table: &table::Store,
    store: &Store,
) -> News {
    let whole = have == 0 || have < store.floor;
    let is_new = |changed| whole || changed > have;
    let changed = store.servers.values().filter(|d| is_new(d.changed));
    let servers = changed.map(|d| &d.value);
    let ranges = store.ranges.iter().filter(|(_, r)| is_new(r.changed));
    let vms = store.vms.values().filter(|d| is_new(d.changed));
    News {
        index,
        whole,
        table: table.since(if whole { 0 } else { have }),
        servers: servers
            .filter(|s| !whole || s.state != ServerState::Gone)
            .map(Arc::clone)
            .collect(),
        ranges: ranges
            .map(|(service, ranges)| Holders {
                service: Arc::clone(service),
                ranges: ranges
                    .iter()
                    .filter(|r| is_new(r.changed))
                    .map(Held::from)
                    .collect(),
            })
            .collect(),
        vms: vms.map(|d| d.value.clone()).collect(),
    }
}
