//! The replicated state of delegations.
//!
//! Every control VM applies the same changes in the same order, so applying a
//! change must be deterministic. A change names the epoch of the delegation
//! that it was planned for and is refused if the epoch has risen since. From
//! the first delegation on, the spans of a service over all zones cover the
//! whole key space and never overlap.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::messages::{Delegation, Drain, EntryVm, Predecessor};
use crate::clock;
use crate::ids;
use crate::keys;

/// Removals of entry VMs that are kept, so that updates can report them.
const MAX_REMOVALS: usize = 4096;

/// Entry VMs, delegations and drains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    last_epoch: ids::Epoch,
    #[serde(rename = "entries")]
    entry_vms: BTreeMap<ids::VmName, Indexed<EntryVm>>,
    /// Log positions at which entry VMs were removed; the oldest are dropped.
    #[serde(default)]
    removed: BTreeMap<ids::VmName, ids::LogIndex>,
    /// Log position of the newest removal that was dropped.
    #[serde(default)]
    removed_before: ids::LogIndex,
    delegations: BTreeMap<ids::ServiceName, BTreeMap<ids::ZoneName, Indexed<Delegation>>>,
    drains: BTreeMap<ids::ServiceName, BTreeMap<ids::ServerName, Indexed<Drain>>>,
}

/// Value with the log position of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Indexed<T> {
    index: ids::LogIndex,
    value: T,
}

/// A change of the [`Store`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Change {
    /// An entry VM is new or has changed.
    #[serde(rename = "seen")]
    UpsertEntryVm {
        /// The entry VM.
        #[serde(rename = "entry")]
        entry_vm: EntryVm,
    },
    /// An entry VM has not been heard from for a long time.
    #[serde(rename = "gone")]
    RemoveEntryVm {
        /// Name of the VM.
        vm: ids::VmName,
    },
    /// The whole key space of a service is delegated for the first time.
    #[serde(rename = "first")]
    Initialize {
        /// Service.
        service: ids::ServiceName,
        /// Parts of the key space, one for each zone.
        shares: Vec<ZoneShare>,
    },
    /// A zone gets another primary, other voters or another lease term.
    #[serde(rename = "appoint")]
    ReplacePrimary {
        /// Service.
        service: ids::ServiceName,
        /// Epoch of the delegation that the change was planned for.
        epoch: ids::Epoch,
        /// Primary and voters.
        #[serde(rename = "appointment")]
        config: PrimaryConfig,
        /// Whether the previous primary resigned.
        resigned: bool,
    },
    /// A primary reported that the leases of all its predecessors have expired.
    #[serde(rename = "settle")]
    ClearPredecessors {
        /// Service.
        service: ids::ServiceName,
        /// Availability zone.
        zone: ids::ZoneName,
        /// Epoch in which the primary is active.
        epoch: ids::Epoch,
    },
    /// Spans go from one zone to another.
    #[serde(rename = "move")]
    MoveSpans {
        /// Service.
        service: ids::ServiceName,
        /// Zone that loses the spans.
        from: ids::ZoneName,
        /// Epoch of the losing zone's delegation that the change was planned for.
        from_epoch: ids::Epoch,
        /// Zone that gets the spans; primary and voters are used only if it had no delegation.
        to: PrimaryConfig,
        /// Epoch of the gaining zone's delegation that the change was planned for; 0 for none.
        to_epoch: ids::Epoch,
        /// Spans to move, each equal to one span of the losing zone's delegation.
        spans: Vec<keys::Span>,
    },
    /// An operator starts or stops draining a backend server.
    #[serde(rename = "drain")]
    SetDrain(Drain),
}

/// Primary of a zone and its voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimaryConfig {
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Entry VM that grants keys.
    #[serde(rename = "carrier")]
    pub primary: ids::VmName,
    /// Entry VMs that vote, the primary among them.
    pub voters: Vec<ids::VmName>,
    /// Whether the control VMs have one vote as well.
    pub tiebreak: bool,
    /// Lease term: how long the primary may be active without the control VMs.
    #[serde(rename = "term_ms", with = "clock::millis")]
    pub term: Duration,
}

/// A zone's part of the key space.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneShare {
    /// Primary and voters.
    #[serde(rename = "appointment")]
    pub config: PrimaryConfig,
    /// Spans, in order.
    pub spans: Vec<keys::Span>,
}

/// Result of applying a [`Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Applied {
    /// The change was applied.
    Done,
    /// The state has changed since the change was planned; nothing was changed.
    Stale,
    /// The change is inconsistent in itself or with the state; nothing was changed.
    Refused,
}

/// Values changed after a log position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Updates {
    /// Changed delegations.
    pub delegations: Vec<Delegation>,
    /// Changed entry VMs.
    pub entry_vms: Vec<EntryVm>,
    /// Entry VMs that were removed.
    pub removed_vms: Vec<ids::VmName>,
    /// Whether `entry_vms` are all there are, as removals before may have been dropped.
    pub all_vms: bool,
    /// Changed drains.
    pub drains: Vec<Drain>,
}

impl Store {
    /// Applies a change committed at log position `index`.
    pub fn apply(&mut self, index: ids::LogIndex, change: Change) -> Applied {
        match change {
            Change::UpsertEntryVm { entry_vm } => self.upsert_entry_vm(index, entry_vm),
            Change::RemoveEntryVm { vm } => self.remove_entry_vm(index, vm),
            Change::Initialize { service, shares } => self.initialize(index, &service, shares),
            Change::ReplacePrimary {
                service,
                epoch,
                config,
                resigned,
            } => self.replace_primary(index, &service, epoch, config, resigned),
            Change::ClearPredecessors {
                service,
                zone,
                epoch,
            } => self.clear_predecessors(index, &service, &zone, epoch),
            Change::MoveSpans {
                service,
                from,
                from_epoch,
                to,
                to_epoch,
                spans,
            } => self.move_spans(index, &service, (&from, from_epoch), (to, to_epoch), &spans),
            Change::SetDrain(drain) => self.set_drain(index, drain),
        }
    }

    fn remove_entry_vm(&mut self, index: ids::LogIndex, vm: ids::VmName) -> Applied {
        if self.entry_vms.remove(&vm).is_none() {
            return Applied::Stale;
        }
        self.removed.insert(vm, index);
        if self.removed.len() > MAX_REMOVALS {
            let oldest = self.removed.iter().min_by_key(|(_, index)| **index);
            if let Some((vm, index)) = oldest.map(|(vm, index)| (Arc::clone(vm), *index)) {
                self.removed.remove(&vm);
                self.removed_before = self.removed_before.max(index);
            }
        }
        Applied::Done
    }

    /// Everything that changed after `known_index`.
    pub fn updates_since(&self, known_index: ids::LogIndex) -> Updates {
        let all_vms = known_index < self.removed_before;
        let removed = self.removed.iter().filter(|(_, i)| **i > known_index);
        Updates {
            removed_vms: removed.map(|(vm, _)| Arc::clone(vm)).collect(),
            all_vms,
            delegations: changed_after(
                self.delegations.values().flat_map(BTreeMap::values),
                known_index,
            ),
            entry_vms: changed_after(
                self.entry_vms.values(),
                if all_vms { 0 } else { known_index },
            ),
            drains: changed_after(self.drains.values().flat_map(BTreeMap::values), known_index),
        }
    }

    /// The delegation of a service to a zone.
    pub fn delegation(&self, service: &str, zone: &str) -> Option<&Delegation> {
        Some(&self.delegations.get(service)?.get(zone)?.value)
    }

    /// The delegations of a service, by zone.
    pub fn delegations(&self, service: &str) -> impl Iterator<Item = &Delegation> {
        let zones = self.delegations.get(service).into_iter();
        zones.flat_map(BTreeMap::values).map(|s| &s.value)
    }

    /// Every delegation.
    pub fn all_delegations(&self) -> impl Iterator<Item = &Delegation> {
        let zones = self.delegations.values();
        zones.flat_map(BTreeMap::values).map(|s| &s.value)
    }

    /// The entry VM of that name.
    pub fn entry_vm(&self, vm: &str) -> Option<&EntryVm> {
        self.entry_vms.get(vm).map(|s| &s.value)
    }

    /// Every entry VM.
    pub fn entry_vms(&self) -> impl Iterator<Item = &EntryVm> {
        self.entry_vms.values().map(|s| &s.value)
    }

    /// Whether an operator drains the backend server.
    pub fn is_draining(&self, service: &str, server: &str) -> bool {
        let drain = self.drains.get(service).and_then(|d| d.get(server));
        drain.is_some_and(|d| d.value.draining)
    }

    fn upsert_entry_vm(&mut self, index: ids::LogIndex, entry_vm: EntryVm) -> Applied {
        let vm = Arc::clone(&entry_vm.vm);
        self.removed.remove(&vm);
        self.entry_vms.insert(
            vm,
            Indexed {
                index,
                value: entry_vm,
            },
        );
        Applied::Done
    }

    fn set_drain(&mut self, index: ids::LogIndex, drain: Drain) -> Applied {
        let servers = self.drains.entry(Arc::clone(&drain.service)).or_default();
        let server = Arc::clone(&drain.server);
        servers.insert(
            server,
            Indexed {
                index,
                value: drain,
            },
        );
        Applied::Done
    }

    fn initialize(
        &mut self,
        index: ids::LogIndex,
        service: &ids::ServiceName,
        shares: Vec<ZoneShare>,
    ) -> Applied {
        if self.delegations.contains_key(service) {
            return Applied::Stale;
        }
        let valid = shares.iter().all(|s| is_valid(&s.config));
        if !valid || !zones_are_unique(&shares) || !cover_key_space(&shares) {
            return Applied::Refused;
        }
        for share in shares {
            let delegation = self.new_delegation(service, share.config, share.spans);
            self.insert(index, delegation);
        }
        Applied::Done
    }

    fn replace_primary(
        &mut self,
        index: ids::LogIndex,
        service: &str,
        epoch: ids::Epoch,
        config: PrimaryConfig,
        resigned: bool,
    ) -> Applied {
        let Some(old) = self.delegation_at_epoch(service, &config.zone, epoch) else {
            return Applied::Stale;
        };
        if !is_valid(&config) {
            return Applied::Refused;
        }
        let predecessors = predecessors_after(&old, resigned);
        let mut new = self.new_delegation(&old.service, config, old.spans);
        new.predecessors = predecessors;
        self.insert(index, new);
        Applied::Done
    }

    fn clear_predecessors(
        &mut self,
        index: ids::LogIndex,
        service: &str,
        zone: &str,
        epoch: ids::Epoch,
    ) -> Applied {
        let Some(mut delegation) = self.delegation_at_epoch(service, zone, epoch) else {
            return Applied::Stale;
        };
        delegation.predecessors.clear();
        self.insert(index, delegation);
        Applied::Done
    }

    fn move_spans(
        &mut self,
        index: ids::LogIndex,
        service: &str,
        (from, from_epoch): (&str, ids::Epoch),
        (to, to_epoch): (PrimaryConfig, ids::Epoch),
        spans: &[keys::Span],
    ) -> Applied {
        let Some(mut source) = self.delegation_at_epoch(service, from, from_epoch) else {
            return Applied::Stale;
        };
        let existing = self.delegation(service, &to.zone).cloned();
        if existing.as_ref().map_or(0, |d| d.epoch) != to_epoch {
            return Applied::Stale;
        }
        let delegated = spans.iter().all(|s| source.spans.contains(s));
        if !delegated || from == &*to.zone || !is_valid(&to) {
            return Applied::Refused;
        }
        source.spans.retain(|s| !spans.contains(s));
        source.epoch = self.next_epoch();
        let mut target = match existing {
            Some(existing) => Delegation {
                epoch: self.next_epoch(),
                ..existing
            },
            None => self.new_delegation(&source.service, to, Vec::new()),
        };
        target.spans.extend_from_slice(spans);
        target.spans.sort_unstable();
        target.spans.dedup();
        self.insert(index, source);
        self.insert(index, target);
        Applied::Done
    }

    fn delegation_at_epoch(
        &self,
        service: &str,
        zone: &str,
        epoch: ids::Epoch,
    ) -> Option<Delegation> {
        let delegation = self.delegation(service, zone)?;
        (delegation.epoch == epoch).then(|| delegation.clone())
    }

    fn next_epoch(&mut self) -> ids::Epoch {
        self.last_epoch += 1;
        self.last_epoch
    }

    fn new_delegation(
        &mut self,
        service: &ids::ServiceName,
        config: PrimaryConfig,
        spans: Vec<keys::Span>,
    ) -> Delegation {
        Delegation {
            service: Arc::clone(service),
            zone: config.zone,
            epoch: self.next_epoch(),
            primary: config.primary,
            voters: config.voters,
            tiebreak: config.tiebreak,
            term: config.term,
            spans,
            predecessors: Vec::new(),
        }
    }

    fn insert(&mut self, index: ids::LogIndex, value: Delegation) {
        let service = Arc::clone(&value.service);
        let zone = Arc::clone(&value.zone);
        let zones = self.delegations.entry(service).or_default();
        zones.insert(zone, Indexed { index, value });
    }
}

fn changed_after<'a, T, I>(values: I, known_index: ids::LogIndex) -> Vec<T>
where
    T: Clone + 'a,
    I: Iterator<Item = &'a Indexed<T>>,
{
    let changed = values.filter(|s| s.index > known_index);
    changed.map(|s| s.value.clone()).collect()
}

/// Predecessors of the primary that follows `old`; equal quorums are merged with the longest term.
fn predecessors_after(old: &Delegation, resigned: bool) -> Vec<Predecessor> {
    let last = Predecessor {
        epoch: old.epoch,
        primary: Arc::clone(&old.primary),
        voters: old.voters.clone(),
        tiebreak: old.tiebreak,
        term: old.term,
        resigned,
    };
    let same = |p: &Predecessor| {
        p.primary == last.primary && p.voters == last.voters && p.tiebreak == last.tiebreak
    };
    let longest = old
        .predecessors
        .iter()
        .filter(|p| same(p))
        .map(|p| p.term)
        .max();
    let mut predecessors: Vec<Predecessor> = old
        .predecessors
        .iter()
        .filter(|p| !same(p))
        .cloned()
        .collect();
    for p in &mut predecessors {
        p.resigned |= resigned && p.primary == last.primary;
    }
    let term = longest.unwrap_or_default().max(last.term);
    predecessors.push(Predecessor { term, ..last });
    predecessors
}

fn is_valid(config: &PrimaryConfig) -> bool {
    config.voters.contains(&config.primary)
}

fn zones_are_unique(shares: &[ZoneShare]) -> bool {
    let zones: std::collections::BTreeSet<_> = shares.iter().map(|s| &s.config.zone).collect();
    zones.len() == shares.len()
}

fn cover_key_space(shares: &[ZoneShare]) -> bool {
    let mut spans: Vec<_> = shares.iter().flat_map(|s| s.spans.iter()).collect();
    spans.sort_unstable();
    let mut next = 0;
    for span in spans {
        if span.start != next || span.end < span.start || span.end >= keys::HASH_SPACE {
            return false;
        }
        next = span.end + 1;
    }
    next == keys::HASH_SPACE
}
