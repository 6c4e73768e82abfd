//! Load of backend servers that entry VMs report to each other.
//!
//! An entry VM hears from a given backend server about once a second, so what it knows of the load
//! there is old before its next request. Entry VMs of a zone that prefer the same servers therefore
//! exchange [datagrams](codec) with the requests that each has in flight there. [`Changes`] says which
//! servers' load changed and when datagrams are due, [`Peers`] what they contain and who gets them,
//! and [`socket`] sends and receives them. Lost datagrams are not repeated: each says how
//! many requests are in flight, and an entry that is not renewed expires.

pub mod codec;
pub mod socket;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3;

use super::backend::Backend;
use super::{increment, selection};
use crate::clock;
use crate::ids;
use crate::notify::Notify;
use codec::{Datagram, MAX_ENTRIES};

/// Hash of the name of a backend server.
pub type ServerHash = u32;

/// Hash of the name of an entry VM.
pub type VmHash = u64;

/// Shortest time between two datagrams to the same entry VM.
const MIN_INTERVAL: Duration = Duration::from_millis(40);

/// How long the end of a request may wait for a datagram: a server that seems busier than it is
/// costs less than one that seems idle, and the end is usually sent with the next start.
const END_DELAY: Duration = Duration::from_millis(80);

/// Interval at which the load is sent again, so that a lost datagram is made up for.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an entry that was not renewed expires: two lost refreshes and a margin.
pub const ENTRY_LIFETIME: Duration = Duration::from_millis(2500);

/// Neighbours in the ring, on each side, that datagrams are sent to.
const NEIGHBOURS_PER_SIDE: usize = 12;

/// Entry VMs whose entries are kept for one server; more than send to one by the ring.
const MAX_PEERS_PER_SERVER: usize = 32;

/// Returns the hash of a backend server's name.
pub fn server_hash(name: &str) -> ServerHash {
    // The low half of a good hash is a good hash.
    #[expect(clippy::cast_possible_truncation, reason = "the low half is wanted")]
    let hash = xxh3::xxh3_64(name.as_bytes()) as ServerHash;
    hash
}

/// Returns the hash of an entry VM's name.
pub fn vm_hash(name: &str) -> VmHash {
    xxh3::xxh3_64(name.as_bytes())
}

/// Backend servers whose load changed since the last datagrams, and when the next ones are due.
#[derive(Debug, Default)]
pub struct Changes {
    servers: RefCell<BTreeSet<ServerHash>>,
    /// Servers that changed since the last refresh.
    unrefreshed: RefCell<BTreeSet<ServerHash>>,
    wanted_at: Cell<Option<Instant>>,
    refresh_at: Cell<Option<Instant>>,
    sent_at: Cell<Option<Instant>>,
    /// Woken when datagrams are due earlier than before.
    pub due_earlier: Notify,
}

impl Changes {
    /// Records that a request to a server began.
    pub fn record_start(&self, server: ServerHash) {
        let now = clock::now();
        self.record(server, now, now);
    }

    /// Records that a request to a server ended.
    pub fn record_end(&self, server: ServerHash) {
        let now = clock::now();
        self.record(server, now, now + END_DELAY);
    }

    fn record(&self, server: ServerHash, now: Instant, wanted_at: Instant) {
        self.servers.borrow_mut().insert(server);
        self.unrefreshed.borrow_mut().insert(server);
        if self.refresh_at.get().is_none() {
            self.refresh_at.set(Some(now + REFRESH_INTERVAL));
        }
        if self.wanted_at.get().is_none_or(|at| wanted_at < at) {
            self.wanted_at.set(Some(wanted_at));
            self.due_earlier.wake();
        }
    }

    /// When the next datagrams are due; `None` if nothing is to be sent.
    pub fn due_at(&self) -> Option<Instant> {
        let wanted_at = [self.wanted_at.get(), self.refresh_at.get()];
        let first = wanted_at.into_iter().flatten().min()?;
        let earliest = self.sent_at.get().map(|at| at + MIN_INTERVAL);
        Some(earliest.map_or(first, |earliest| first.max(earliest)))
    }

    /// Takes the servers to send; `busy` lists those with requests in flight.
    fn take(&self, now: Instant, busy: impl Iterator<Item = ServerHash>) -> BTreeSet<ServerHash> {
        let mut servers = self.servers.take();
        self.wanted_at.set(None);
        self.sent_at.set(Some(now));
        if self.refresh_at.get().is_some_and(|at| at <= now) {
            let busy: BTreeSet<_> = busy.collect();
            let unrefreshed = self.unrefreshed.take();
            let idle = busy.is_empty() && unrefreshed.is_empty();
            self.refresh_at
                .set((!idle).then_some(now + REFRESH_INTERVAL));
            servers.extend(busy);
            servers.extend(unrefreshed);
        }
        servers
    }

    /// Records that servers did not fit into the datagrams.
    fn put_back(&self, server: ServerHash, now: Instant) {
        self.servers.borrow_mut().insert(server);
        self.wanted_at.set(Some(now));
    }
}

/// Entry VMs of a zone in the order of their names.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    /// Names and addresses, sorted.
    pub vms: Vec<(ids::VmName, SocketAddr)>,
    /// Index of this VM, or that which its name would have.
    pub local: usize,
}

/// Requests in flight at a backend server according to other entry VMs.
#[derive(Debug, Default)]
pub struct PeerLoads {
    loads: Vec<PeerLoad>,
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    sender: VmHash,
    in_flight: u16,
    heard_at: Instant,
}

impl PeerLoads {
    /// Records the requests in flight of an entry VM.
    pub fn record(&mut self, sender: VmHash, in_flight: u16, now: Instant) {
        self.loads
            .retain(|l| l.sender != sender && now < l.heard_at + ENTRY_LIFETIME);
        if in_flight > 0 && self.loads.len() < MAX_PEERS_PER_SERVER {
            self.loads.push(PeerLoad {
                sender,
                in_flight,
                heard_at: now,
            });
        }
    }

    /// Sum of the requests in flight.
    pub fn total(&self, now: Instant) -> f64 {
        let current = self
            .loads
            .iter()
            .filter(|l| now < l.heard_at + ENTRY_LIFETIME);
        current.map(|l| f64::from(l.in_flight)).sum()
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// It could not be decoded.
    Malformed,
    /// A later one of the sender came before.
    Old,
    /// The sender is not an entry VM of this zone.
    Unknown,
}

/// Counters of datagrams.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: Cell<u64>,
    /// Bytes of the datagrams sent.
    pub sent_bytes: Cell<u64>,
    /// Datagrams that the system did not take.
    pub unsent: Cell<u64>,
    /// Datagrams received and used.
    pub received: Cell<u64>,
    /// Bytes of the datagrams received and used.
    pub received_bytes: Cell<u64>,
    /// Datagrams dropped as malformed.
    pub malformed: Cell<u64>,
    /// Datagrams dropped as older than another one.
    pub old: Cell<u64>,
    /// Datagrams dropped as from an unknown sender.
    pub unknown: Cell<u64>,
}

impl Counters {
    fn record_drop(&self, reason: Dropped) {
        let counter = match reason {
            Dropped::Malformed => &self.malformed,
            Dropped::Old => &self.old,
            Dropped::Unknown => &self.unknown,
        };
        increment(counter);
        // Powers of two, so that a flood of datagrams doesn't flood the log.
        if counter.get().is_power_of_two() {
            log::warn!(
                "event=peers.dropped reason={reason:?} count={}",
                counter.get()
            );
        }
    }
}

/// Backend server that other entry VMs prefer too.
#[derive(Debug)]
struct SharedServer {
    backend: Rc<Backend>,
    /// Receivers that prefer it, one bit for each index.
    receivers: u32,
}

/// Last datagram of a sender that was used.
#[derive(Clone, Copy, Debug)]
struct Heard {
    sequence: u64,
    at: Instant,
}

#[derive(Default)]
struct State {
    local: VmHash,
    sequence: u64,
    receivers: Vec<SocketAddr>,
    shared: HashMap<ServerHash, SharedServer>,
    /// Entry VMs of the zone.
    senders: HashMap<VmHash, Option<Heard>>,
}

/// Which servers' load is exchanged with which entry VMs.
#[derive(Default)]
pub struct Peers {
    /// Changes since the last datagrams.
    pub changes: Rc<Changes>,
    /// Counters of datagrams.
    pub counters: Counters,
    state: RefCell<State>,
}

impl Peers {
    /// Sets the entry VMs of the zone and, for each service whose load is exchanged, the backend
    /// servers of the zone in the order in which VMs prefer them.
    pub fn configure(&self, local: &str, ring: &Ring, services: &[Vec<Rc<Backend>>]) {
        let neighbours = neighbours(ring, local);
        let mut state = self.state.borrow_mut();
        state.local = vm_hash(local);
        if state.sequence == 0 {
            // A restarted VM goes on above its previous numbers, as it sends less than one each ms.
            state.sequence = clock::wall_ms();
        }
        let senders = ring.vms.iter().map(|(name, _)| vm_hash(name));
        let senders = senders.filter(|hash| *hash != state.local);
        let senders = senders.map(|hash| (hash, state.senders.get(&hash).copied().flatten()));
        state.senders = senders.collect();
        for shared in state.shared.values() {
            shared.backend.set_changes(None);
        }
        state.shared.clear();
        for backends in services {
            for (index, backend) in backends.iter().enumerate() {
                let prefers =
                    |vm: usize| selection::prefers((vm, ring.vms.len()), (index, backends.len()));
                if !prefers(ring.local) {
                    continue;
                }
                let receivers = neighbours.iter().enumerate();
                let receivers = receivers.filter(|(_, neighbour)| prefers(**neighbour));
                let receivers = receivers.fold(0, |set, (bit, _)| set | 1_u32 << bit);
                if receivers != 0 {
                    backend.set_changes(Some(Rc::clone(&self.changes)));
                    let hash = backend.name_hash();
                    let backend = Rc::clone(backend);
                    let shared = SharedServer { backend, receivers };
                    state.shared.insert(hash, shared);
                }
            }
        }
        let addresses = neighbours.iter().filter_map(|n| ring.vms.get(*n));
        state.receivers = addresses.map(|(_, address)| *address).collect();
        let busy = state.shared.iter();
        for (hash, _) in busy.filter(|(_, s)| s.backend.in_flight() > 0) {
            self.changes.record_start(*hash);
        }
    }

    /// Number of backend servers whose load is exchanged.
    pub fn shared_count(&self) -> usize {
        self.state.borrow().shared.len()
    }

    /// Encodes the datagrams that are due.
    pub fn take_datagrams(&self, now: Instant) -> Vec<(SocketAddr, Vec<u8>)> {
        let mut state = self.state.borrow_mut();
        let busy = state.shared.iter();
        let busy = busy.filter(|(_, s)| s.backend.in_flight() > 0);
        let changed = self.changes.take(now, busy.map(|(hash, _)| *hash));
        state.sequence = state.sequence.saturating_add(1);
        let mut pending: BTreeMap<_, _> = changed
            .iter()
            .filter_map(|hash| Some((*hash, state.shared.get(hash)?.receivers)))
            .collect();
        let mut datagrams = Vec::new();
        for (bit, address) in state.receivers.iter().enumerate() {
            let mask = 1_u32 << bit;
            let wanted = pending.iter_mut().filter(|(_, set)| **set & mask != 0);
            let mut entries = Vec::new();
            for (hash, set) in wanted.take(MAX_ENTRIES) {
                *set &= !mask;
                let shared = state.shared.get(hash);
                entries.extend(shared.map(|s| s.backend.peer_entry(now)));
            }
            if !entries.is_empty() {
                let datagram = Datagram {
                    sender: state.local,
                    sequence: state.sequence,
                    entries,
                };
                datagrams.push((*address, codec::encode(&datagram)));
            }
        }
        for (hash, _) in pending.iter().filter(|(_, set)| **set != 0) {
            self.changes.put_back(*hash, now);
        }
        datagrams
    }

    /// Uses a received datagram.
    ///
    /// # Errors
    ///
    /// Why it was dropped.
    pub fn receive(&self, bytes: &[u8], now: Instant) -> Result<(), Dropped> {
        let used = self.use_datagram(bytes, now);
        match used {
            Ok(()) => {
                increment(&self.counters.received);
                let total = &self.counters.received_bytes;
                total.set(total.get().saturating_add(bytes.len() as u64));
            }
            Err(reason) => self.counters.record_drop(reason),
        }
        used
    }

    fn use_datagram(&self, bytes: &[u8], now: Instant) -> Result<(), Dropped> {
        let datagram = codec::decode(bytes).ok_or(Dropped::Malformed)?;
        let mut state = self.state.borrow_mut();
        let heard = state.senders.get_mut(&datagram.sender);
        let heard = heard.ok_or(Dropped::Unknown)?;
        // After its entries have expired, a sender may begin anew: its clock may have been set back.
        let is_old = |h: Heard| datagram.sequence <= h.sequence && now < h.at + ENTRY_LIFETIME;
        if heard.is_some_and(is_old) {
            return Err(Dropped::Old);
        }
        *heard = Some(Heard {
            sequence: datagram.sequence,
            at: now,
        });
        for entry in &datagram.entries {
            if let Some(shared) = state.shared.get(&entry.server) {
                shared.backend.record_peer(datagram.sender, entry, now);
            }
        }
        Ok(())
    }
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers")
            .field("counters", &self.counters)
            .finish_non_exhaustive()
    }
}

/// Indices of the nearest entry VMs in the ring, on both sides, without this one.
fn neighbours(ring: &Ring, local: &str) -> Vec<usize> {
    let count = ring.vms.len();
    let mut indices = BTreeSet::new();
    for distance in 1..=NEIGHBOURS_PER_SIDE.min(count) {
        indices.insert((ring.local + distance) % count.max(1));
        indices.insert((ring.local + count - distance) % count.max(1));
    }
    indices.retain(|i| ring.vms.get(*i).is_some_and(|(name, _)| **name != *local));
    indices.into_iter().collect()
}
