//! The replicated store of backend servers, VMs and ranges.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::{Incarnation, Key, Server, ServerState, Vm};
use super::ranges::{AssignedRange, Move, RangeMap};
use crate::ids;

/// Backend servers that are gone and still known, so that followers hear of their end.
///
/// More ends than this between two questions of a follower make it start anew.
const KNOWN_GONE: usize = 256;

/// One change of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A VM is there, or at another address.
    Vm(Vm),
    /// A backend server announced itself, or something about itself.
    Announce(Server),
    /// Sets the state of a backend server.
    #[serde(rename = "stand")]
    SetState {
        /// Which.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// How.
        #[serde(rename = "standing")]
        state: ServerState,
    },
    /// Names the next owners of key ranges.
    #[serde(rename = "release")]
    Reassign {
        /// Service.
        service: ids::ServiceName,
        /// Who is to hold which; first and last key of each range.
        #[serde(rename = "spans")]
        ranges: Vec<(Incarnation, Vec<(Key, Key)>)>,
    },
    /// Records that the present owner has released key ranges that are to be reassigned.
    #[serde(rename = "free")]
    Release {
        /// Service.
        service: ids::ServiceName,
        /// Holder until now.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// First and last key of each range.
        #[serde(rename = "spans")]
        ranges: Vec<(Key, Key)>,
    },
    /// Assigns key ranges to their next owner; the log position is their fence.
    Assign {
        /// Service.
        service: ids::ServiceName,
        /// New owner.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// Which keys.
        #[serde(rename = "spans")]
        ranges: Vec<AssignedRange>,
    },
}

/// A value and the log position of its last change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Dated<T> {
    pub(super) value: T,
    pub(super) changed: ids::LogIndex,
}

/// Backend servers, VMs and ranges.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Store {
    pub(super) servers: BTreeMap<ids::ServerName, Dated<Arc<Server>>>,
    pub(super) vms: BTreeMap<ids::VmName, Dated<Vm>>,
    #[serde(rename = "rows")]
    pub(super) ranges: BTreeMap<ids::ServiceName, RangeMap>,
    /// Log position of the newest end that is no longer known.
    pub(super) floor: ids::LogIndex,
}

impl Store {
    /// A backend server that is not gone.
    pub fn server(&self, name: &str) -> Option<&Arc<Server>> {
        let server = &self.servers.get(name)?.value;
        Some(server).filter(|s| s.state != ServerState::Gone)
    }

    /// The incarnation, if it is the present one of its backend server and not gone.
    pub fn incarnation(&self, incarnation: &Incarnation) -> Option<&Arc<Server>> {
        self.server(&incarnation.server)
            .filter(|s| s.incarnation == *incarnation)
    }

    /// Backend servers of a service that are not gone.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Server>> {
        let servers = self.servers.values().map(|d| &d.value);
        servers.filter(move |s| &*s.service == service && s.state != ServerState::Gone)
    }

    /// RangeMap of a service, if any key of it was ever named for a owner.
    pub fn ranges(&self, service: &str) -> Option<&RangeMap> {
        self.ranges.get(service)
    }

    /// The VMs.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().map(|d| &d.value)
    }

    /// Makes a change; one that no longer fits changes nothing.
    pub fn apply(&mut self, index: ids::LogIndex, change: Change) {
        match change {
            Change::Vm(vm) => {
                let name = Arc::clone(&vm.name);
                self.vms
                    .retain(|n, d| *n == name || d.value.address != vm.address);
                let dated = Dated {
                    value: vm,
                    changed: index,
                };
                self.vms.insert(name, dated);
            }
            Change::Announce(server) => self.announce(index, server),
            Change::SetState { incarnation, state } => self.stand(index, &incarnation, state),
            Change::Reassign { service, ranges } => {
                let all = ranges.into_iter().flat_map(|(next, ranges)| {
                    ranges.into_iter().map(move |(from, to)| Move {
                        from,
                        to,
                        next: next.clone(),
                    })
                });
                let all: Vec<_> = all.collect();
                self.ranges
                    .entry(service)
                    .or_default()
                    .reassign(index, &all);
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
            } => {
                let map = self.ranges.entry(service).or_default();
                map.assign(index, &incarnation, &ranges);
            }
        }
    }

    /// Takes in a backend server; whoever had its address before is gone.
    fn announce(&mut self, index: ids::LogIndex, server: Server) {
        let known = self.servers.get(&server.incarnation.server);
        if known.is_some_and(|k| k.value.incarnation.start_ms > server.incarnation.start_ms) {
            return;
        }
        let same = known.is_some_and(|k| k.value.incarnation == server.incarnation);
        let ended = known.is_some_and(|k| k.value.state == ServerState::Gone);
        let younger = |other: &Server| other.incarnation.start_ms > server.incarnation.start_ms;
        if (same && ended) || self.at(server.address, &server.incarnation).any(younger) {
            return;
        }
        let before: Vec<_> = self
            .at(server.address, &server.incarnation)
            .map(|s| s.incarnation.clone())
            .collect();
        for incarnation in before {
            self.stand(index, &incarnation, ServerState::Gone);
        }
        let dated = Dated {
            changed: index,
            value: Arc::new(server),
        };
        self.servers
            .insert(Arc::clone(&dated.value.incarnation.server), dated);
    }

    /// Other backend servers at an address.
    fn at<'a>(
        &'a self,
        address: SocketAddr,
        incarnation: &'a Incarnation,
    ) -> impl Iterator<Item = &'a Server> {
        let servers = self.servers.values().map(|d| &*d.value);
        servers.filter(move |s| {
            s.address == address
                && s.incarnation.server != incarnation.server
                && s.state != ServerState::Gone
        })
    }

    fn stand(&mut self, index: ids::LogIndex, incarnation: &Incarnation, state: ServerState) {
        let known = self.servers.get_mut(&incarnation.server);
        let Some(dated) = known.filter(|d| d.value.incarnation == *incarnation) else {
            return;
        };
        if dated.value.state == ServerState::Gone {
            return;
        }
        let mut server = Server::clone(&dated.value);
        server.state = state;
        dated.value = Arc::new(server);
        dated.changed = index;
        self.forget();
    }

    fn forget(&mut self) {
        let gone = |d: &Dated<Arc<Server>>| d.value.state == ServerState::Gone;
        if self.servers.values().filter(|d| gone(d)).count() <= KNOWN_GONE {
            return;
        }
        let oldest = self.servers.iter().filter(|(_, d)| gone(d));
        let Some((name, dated)) = oldest.min_by_key(|(_, d)| d.changed) else {
            return;
        };
        self.floor = dated.changed;
        let name = Arc::clone(name);
        self.servers.remove(&name);
    }
}
