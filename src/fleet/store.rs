//! Replicated state of the fleet: backend servers, VMs and key ranges.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::leaving::Departure;
use super::messages::Leave;
use super::model::{Incarnation, Key, Server, ServerState, Vm};
use super::ranges::{AssignedRange, Move, RangeMap};
use crate::clock;
use crate::ids;

/// Servers in state [`ServerState::Gone`] that are kept, so that updates can report their end.
///
/// A follower that misses more of them between two polls gets the full state.
pub(super) const MAX_TOMBSTONES: usize = 256;

/// One replicated change of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Registers a VM, or changes its address.
    Vm(Ordered<Vm>),
    /// Registers a backend server, or changes its description.
    Announce(Ordered<Server>),
    /// Registers a backend server although a later incarnation of its name or a later server at its
    /// address was registered, or it counted as gone itself.
    Readmit(Ordered<Server>),
    /// Sets the state of a backend server.
    #[serde(rename = "stand")]
    SetState {
        /// Incarnation of the server.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// New state.
        #[serde(rename = "standing")]
        state: ServerState,
    },
    /// Records that a backend server leaves, also one that is not registered.
    Leave(Leave),
    /// Records that a backend server is cold again.
    Warmup {
        /// Incarnation of the server.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// How long it stays cold.
        #[serde(with = "clock::millis")]
        remaining: Duration,
    },
    /// Records that backend servers are cold no longer, unless they changed since.
    ///
    /// Entry VMs that know the servers are not told, as they know when the coldness ends.
    Warm {
        /// Incarnations of the servers.
        #[serde(rename = "lives")]
        incarnations: Vec<Incarnation>,
        /// Log index that the change is based on.
        base: ids::LogIndex,
    },
    /// Names the next owners of key ranges.
    #[serde(rename = "release")]
    Reassign {
        /// Service of the keys.
        service: ids::ServiceName,
        /// Next owners, each with the first and last key of its ranges.
        #[serde(rename = "spans")]
        ranges: Vec<(Incarnation, Vec<(Key, Key)>)>,
    },
    /// Records that the present owner has released key ranges that are to be reassigned.
    #[serde(rename = "free")]
    Release {
        /// Service of the keys.
        service: ids::ServiceName,
        /// Owner until now.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// First and last key of each range.
        #[serde(rename = "spans")]
        ranges: Vec<(Key, Key)>,
    },
    /// Assigns key ranges to their next owner; the log index becomes their fence.
    Assign {
        /// Service of the keys.
        service: ids::ServiceName,
        /// New owner.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// Key ranges with the tokens of their last owners.
        #[serde(rename = "spans")]
        ranges: Vec<AssignedRange>,
        /// Whether neighbouring ranges of the new owner are joined.
        #[serde(default)]
        join: bool,
    },
    /// Evacuates a zone: its backend servers get no requests and no keys.
    Evacuate {
        /// Zone to evacuate.
        zone: ids::ZoneName,
        /// Log index that was applied before the order was sent.
        #[serde(default = "unordered")]
        sent_after: ids::LogIndex,
    },
    /// Withdraws the evacuation of a zone.
    EndEvacuation {
        /// Zone to return to service.
        zone: ids::ZoneName,
        /// Log index that was applied before the order was sent.
        #[serde(default = "unordered")]
        sent_after: ids::LogIndex,
    },
}

/// What a backend server or a VM says of itself, in the order of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordered<T> {
    /// Description of the sender.
    #[serde(flatten)]
    pub value: T,
    /// Log index that was applied before the message was sent.
    #[serde(default = "unordered")]
    pub sent_after: ids::LogIndex,
}

/// Takes a change of an earlier version, which doesn't say when it was asked for, for a new one.
const fn unordered() -> ids::LogIndex {
    ids::LogIndex::MAX
}

/// Effect of a [`Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The state is as the change says, unless the state names a newer incarnation.
    Applied,
    /// None: the change may have been asked for before one that the log has.
    Outdated,
}

/// A value and the log index of its last change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Versioned<T> {
    pub(super) value: T,
    pub(super) changed: ids::LogIndex,
}

/// Backend servers, VMs and key ranges.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Store {
    pub(super) servers: BTreeMap<ids::ServerName, Versioned<Arc<Server>>>,
    pub(super) vms: BTreeMap<ids::VmName, Versioned<Vm>>,
    #[serde(rename = "rows")]
    pub(super) ranges: BTreeMap<ids::ServiceName, RangeMap>,
    /// Log index of the newest tombstone that was pruned.
    #[serde(rename = "floor")]
    pub(super) pruned_to: ids::LogIndex,
    /// Whether each zone that was ever evacuated is so now.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) evacuations: BTreeMap<ids::ZoneName, Versioned<bool>>,
    /// Servers that left before they were registered.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) departures: BTreeMap<ids::ServerName, Departure>,
    /// Log index of the last order to start or end the evacuation of each zone.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) evacuation_orders: BTreeMap<ids::ZoneName, ids::LogIndex>,
}

impl Store {
    /// The backend server of a name, unless it is gone.
    pub fn server(&self, name: &str) -> Option<&Arc<Server>> {
        let server = &self.servers.get(name)?.value;
        Some(server).filter(|s| s.state != ServerState::Gone)
    }

    /// The backend server of an incarnation, if that is the present one and not gone.
    pub fn incarnation(&self, incarnation: &Incarnation) -> Option<&Arc<Server>> {
        self.server(&incarnation.server)
            .filter(|s| s.incarnation == *incarnation)
    }

    /// Backend servers of a service that are not gone.
    pub fn servers_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Server>> {
        let servers = self.servers.values().map(|v| &v.value);
        servers.filter(move |s| &*s.service == service && s.state != ServerState::Gone)
    }

    /// Key ranges of a service; `None` before the first reassignment.
    pub fn ranges(&self, service: &str) -> Option<&RangeMap> {
        self.ranges.get(service)
    }

    /// All registered VMs.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().map(|v| &v.value)
    }

    /// Applies a change; one that conflicts with the state has no effect.
    pub fn apply(&mut self, index: ids::LogIndex, change: Change) -> Effect {
        match change {
            Change::Vm(vm) => return self.register_vm(index, vm),
            Change::Announce(server) => return self.announce(index, server),
            Change::Readmit(server) => return self.readmit(index, server),
            Change::Leave(leave) => return self.leave(index, &leave),
            Change::SetState { incarnation, state } => self.set_state(index, &incarnation, state),
            Change::Warmup {
                incarnation,
                remaining,
            } => self.set_warmup(index, &incarnation, remaining),
            Change::Warm { incarnations, base } => {
                for incarnation in incarnations {
                    self.set_warm(&incarnation, base);
                }
            }
            Change::Reassign { service, ranges } => {
                let moves = ranges.into_iter().flat_map(|(next, ranges)| {
                    ranges.into_iter().map(move |(from, to)| Move {
                        from,
                        to,
                        next: next.clone(),
                    })
                });
                let moves: Vec<_> = moves.collect();
                self.ranges
                    .entry(service)
                    .or_default()
                    .reassign(index, &moves);
            }
            Change::Release {
                service,
                incarnation,
                ranges,
            } => {
                let map = self.ranges.entry(service).or_default();
                map.release(index, &incarnation, &ranges);
            }
            Change::Assign {
                service,
                incarnation,
                ranges,
                join,
            } => {
                let map = self.ranges.entry(service).or_default();
                map.assign(index, &incarnation, &ranges);
                if join {
                    map.join(index, &incarnation);
                }
            }
            Change::Evacuate { zone, sent_after } => {
                return self.set_evacuated(index, zone, true, sent_after);
            }
            Change::EndEvacuation { zone, sent_after } => {
                return self.set_evacuated(index, zone, false, sent_after);
            }
        }
        Effect::Applied
    }

    /// Registers a VM; another one at its address is gone.
    fn register_vm(&mut self, index: ids::LogIndex, vm: Ordered<Vm>) -> Effect {
        let Ordered {
            value: vm,
            sent_after,
        } = vm;
        let is_replaced =
            |v: &Versioned<Vm>| v.value.name == vm.name || v.value.address == vm.address;
        let mut replaced = self.vms.values().filter(|v| is_replaced(v));
        if replaced.any(|v| v.changed > sent_after) {
            return Effect::Outdated;
        }
        self.vms.retain(|_, v| !is_replaced(v));
        let name = Arc::clone(&vm.name);
        let versioned = Versioned {
            value: vm,
            changed: index,
        };
        self.vms.insert(name, versioned);
        Effect::Applied
    }

    /// Registers a backend server; an older one at the same address is gone.
    fn announce(&mut self, index: ids::LogIndex, server: Ordered<Server>) -> Effect {
        let Ordered {
            value: server,
            sent_after,
        } = server;
        if self.has_left(&server, sent_after) {
            return Effect::Outdated;
        }
        let previous = self.servers.get(&server.incarnation.server);
        if previous.is_some_and(|p| p.value.incarnation.start_ms > server.incarnation.start_ms) {
            return Effect::Outdated;
        }
        let same = previous.is_some_and(|p| p.value.incarnation == server.incarnation);
        let ended = previous.is_some_and(|p| p.value.state == ServerState::Gone);
        let newer = |other: &Server| other.incarnation.start_ms > server.incarnation.start_ms;
        if (same && ended)
            || self
                .others_at(server.address, &server.incarnation)
                .any(newer)
        {
            return Effect::Outdated;
        }
        let replaced: Vec<_> = self
            .others_at(server.address, &server.incarnation)
            .map(|s| s.incarnation.clone())
            .collect();
        for incarnation in replaced {
            self.set_state(index, &incarnation, ServerState::Gone);
        }
        self.insert(index, Arc::new(server));
        Effect::Applied
    }

    pub(super) fn insert(&mut self, index: ids::LogIndex, server: Arc<Server>) {
        self.departures.remove(&server.incarnation.server);
        let versioned = Versioned {
            changed: index,
            value: server,
        };
        self.servers
            .insert(Arc::clone(&versioned.value.incarnation.server), versioned);
    }

    pub(super) fn others_at<'a>(
        &'a self,
        address: SocketAddr,
        incarnation: &'a Incarnation,
    ) -> impl Iterator<Item = &'a Server> {
        let servers = self.servers.values().map(|v| &*v.value);
        servers.filter(move |s| {
            s.address == address
                && s.incarnation.server != incarnation.server
                && s.state != ServerState::Gone
        })
    }

    pub(super) fn set_state(
        &mut self,
        index: ids::LogIndex,
        incarnation: &Incarnation,
        state: ServerState,
    ) {
        let current = self.servers.get_mut(&incarnation.server);
        let Some(versioned) = current.filter(|v| v.value.incarnation == *incarnation) else {
            return;
        };
        if versioned.value.state == ServerState::Gone {
            return;
        }
        let mut server = Server::clone(&versioned.value);
        server.state = state;
        versioned.value = Arc::new(server);
        versioned.changed = index;
        self.prune_tombstones();
    }

    fn set_warmup(&mut self, index: ids::LogIndex, incarnation: &Incarnation, warmup: Duration) {
        if let Some(versioned) = self.present(incarnation) {
            Arc::make_mut(&mut versioned.value).warmup = warmup;
            versioned.changed = index;
        }
    }

    fn set_warm(&mut self, incarnation: &Incarnation, base: ids::LogIndex) {
        let present = self.present(incarnation);
        if let Some(versioned) = present.filter(|v| v.changed <= base) {
            Arc::make_mut(&mut versioned.value).warmup = Duration::ZERO;
        }
    }

    /// The entry of an incarnation that is the present one and not gone.
    fn present(&mut self, incarnation: &Incarnation) -> Option<&mut Versioned<Arc<Server>>> {
        let versioned = self.servers.get_mut(&incarnation.server)?;
        let server = &versioned.value;
        let is_present = server.incarnation == *incarnation && server.state != ServerState::Gone;
        is_present.then_some(versioned)
    }

    fn prune_tombstones(&mut self) {
        let gone = |v: &Versioned<Arc<Server>>| v.value.state == ServerState::Gone;
        if self.servers.values().filter(|v| gone(v)).count() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self.servers.iter().filter(|(_, v)| gone(v));
        let Some((name, versioned)) = oldest.min_by_key(|(_, v)| v.changed) else {
            return;
        };
        self.pruned_to = versioned.changed;
        let name = Arc::clone(name);
        self.servers.remove(&name);
    }
}
