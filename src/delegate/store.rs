//! The replicated state of delegations.
//!
//! Every control VM applies the same changes in the same order, so all that
//! happens here is deterministic. A change names the epoch that it was decided
//! on and is refused once the delegation has moved on. From its first
//! delegation on, the spans of a service over all zones cover the whole space
//! and never overlap.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::messages::{Delegation, Drain, EntryVm, Predecessor};
use crate::clock;
use crate::ids;
use crate::keys;

/// Entry VMs, delegations and drains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    last_epoch: ids::Epoch,
    #[serde(rename = "entries")]
    entry_vms: BTreeMap<ids::VmName, Stamped<EntryVm>>,
    delegations: BTreeMap<ids::ServiceName, BTreeMap<ids::ZoneName, Stamped<Delegation>>>,
    drains: BTreeMap<ids::ServiceName, BTreeMap<ids::ServerName, Stamped<Drain>>>,
}

/// A value with the log position of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Stamped<T> {
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
    /// An entry VM has been silent for long.
    #[serde(rename = "gone")]
    RemoveEntryVm {
        /// Name of the VM.
        vm: ids::VmName,
    },
    /// The whole space of a service is delegated for the first time.
    #[serde(rename = "first")]
    Initialize {
        /// Service.
        service: ids::ServiceName,
        /// Parts of the space, one a zone.
        shares: Vec<ZoneShare>,
    },
    /// A zone gets another carrier or other voters.
    #[serde(rename = "appoint")]
    ReplacePrimary {
        /// Service.
        service: ids::ServiceName,
        /// Epoch of the delegation that this was decided on.
        epoch: ids::Epoch,
        /// Carrier and voters.
        #[serde(rename = "appointment")]
        config: PrimaryConfig,
        /// Whether the carrier until now gave up the duty itself.
        resigned: bool,
    },
    /// A carrier reported that every carrier before it has been waited out.
    #[serde(rename = "settle")]
    ClearPredecessors {
        /// Service.
        service: ids::ServiceName,
        /// Availability zone.
        zone: ids::ZoneName,
        /// Epoch under which the carrier acts.
        epoch: ids::Epoch,
    },
    /// Spans go from one zone to another.
    #[serde(rename = "move")]
    MoveSpans {
        /// Service.
        service: ids::ServiceName,
        /// Zone that loses the spans.
        from: ids::ZoneName,
        /// Epoch of its delegation that this was decided on.
        from_epoch: ids::Epoch,
        /// Zone that gets the spans; carrier and voters count only if it had no delegation.
        to: PrimaryConfig,
        /// Epoch of its delegation that this was decided on; 0 for none.
        to_epoch: ids::Epoch,
        /// The spans, each one whole span of the delegation.
        spans: Vec<keys::Span>,
    },
    /// An operator drains a backend server or calls it back.
    #[serde(rename = "drain")]
    SetDrain(Drain),
}

/// Who grants in a zone, and whose votes that takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrimaryConfig {
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Entry VM that grants.
    #[serde(rename = "carrier")]
    pub primary: ids::VmName,
    /// Entry VMs that vote, the carrier among them.
    pub voters: Vec<ids::VmName>,
    /// Whether the control VMs vote.
    pub tiebreak: bool,
    /// How long the carrier may act without the control VMs.
    #[serde(rename = "term_ms", with = "clock::millis")]
    pub term: Duration,
}

/// A zone's part of the space.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneShare {
    /// Carrier and voters.
    #[serde(rename = "appointment")]
    pub config: PrimaryConfig,
    /// Spans, in order.
    pub spans: Vec<keys::Span>,
}

/// What a [`Change`] led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Applied {
    /// The change was carried out.
    Done,
    /// The delegation has moved on; nothing was changed.
    Stale,
    /// The change contradicts itself or the state; nothing was changed.
    Refused,
}

/// What changed after a log position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Updates {
    /// Delegations.
    pub delegations: Vec<Delegation>,
    /// Entry VMs.
    pub entry_vms: Vec<EntryVm>,
    /// Drains.
    pub drains: Vec<Drain>,
}

impl Store {
    /// Applies the change at log position `index`.
    pub fn apply(&mut self, index: ids::LogIndex, change: Change) -> Applied {
        match change {
            Change::UpsertEntryVm { entry_vm } => self.seen(index, entry_vm),
            Change::RemoveEntryVm { vm } => match self.entry_vms.remove(&vm) {
                Some(_) => Applied::Done,
                None => Applied::Stale,
            },
            Change::Initialize { service, shares } => self.first(index, &service, shares),
            Change::ReplacePrimary {
                service,
                epoch,
                config,
                resigned,
            } => self.appoint(index, &service, epoch, config, resigned),
            Change::ClearPredecessors {
                service,
                zone,
                epoch,
            } => self.settle(index, &service, &zone, epoch),
            Change::MoveSpans {
                service,
                from,
                from_epoch,
                to,
                to_epoch,
                spans,
            } => self.transfer(index, &service, (&from, from_epoch), (to, to_epoch), &spans),
            Change::SetDrain(drain) => self.drain(index, drain),
        }
    }

    /// Everything that changed after `have`.
    pub fn updates_since(&self, known_index: ids::LogIndex) -> Updates {
        Updates {
            delegations: newer(
                self.delegations.values().flat_map(BTreeMap::values),
                known_index,
            ),
            entry_vms: newer(self.entry_vms.values(), known_index),
            drains: newer(self.drains.values().flat_map(BTreeMap::values), known_index),
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

    fn seen(&mut self, index: ids::LogIndex, entry_vm: EntryVm) -> Applied {
        let vm = Arc::clone(&entry_vm.vm);
        self.entry_vms.insert(
            vm,
            Stamped {
                index,
                value: entry_vm,
            },
        );
        Applied::Done
    }

    fn drain(&mut self, index: ids::LogIndex, drain: Drain) -> Applied {
        let servers = self.drains.entry(Arc::clone(&drain.service)).or_default();
        let server = Arc::clone(&drain.server);
        servers.insert(
            server,
            Stamped {
                index,
                value: drain,
            },
        );
        Applied::Done
    }

    fn first(
        &mut self,
        index: ids::LogIndex,
        service: &ids::ServiceName,
        shares: Vec<ZoneShare>,
    ) -> Applied {
        if self.delegations.contains_key(service) {
            return Applied::Stale;
        }
        let sound = shares.iter().all(|s| sound(&s.config));
        if !sound || !zones_differ(&shares) || !covers(&shares) {
            return Applied::Refused;
        }
        for share in shares {
            let delegation = self.fresh(service, share.config, share.spans);
            self.put(index, delegation);
        }
        Applied::Done
    }

    fn appoint(
        &mut self,
        index: ids::LogIndex,
        service: &str,
        epoch: ids::Epoch,
        config: PrimaryConfig,
        resigned: bool,
    ) -> Applied {
        let Some(old) = self.at_epoch(service, &config.zone, epoch) else {
            return Applied::Stale;
        };
        if !sound(&config) {
            return Applied::Refused;
        }
        let predecessors = priors(&old, resigned);
        let mut new = self.fresh(&old.service, config, old.spans);
        new.predecessors = predecessors;
        self.put(index, new);
        Applied::Done
    }

    fn settle(
        &mut self,
        index: ids::LogIndex,
        service: &str,
        zone: &str,
        epoch: ids::Epoch,
    ) -> Applied {
        let Some(mut delegation) = self.at_epoch(service, zone, epoch) else {
            return Applied::Stale;
        };
        delegation.predecessors.clear();
        self.put(index, delegation);
        Applied::Done
    }

    fn transfer(
        &mut self,
        index: ids::LogIndex,
        service: &str,
        (from, from_epoch): (&str, ids::Epoch),
        (to, to_epoch): (PrimaryConfig, ids::Epoch),
        spans: &[keys::Span],
    ) -> Applied {
        let Some(mut loser) = self.at_epoch(service, from, from_epoch) else {
            return Applied::Stale;
        };
        let known = self.delegation(service, &to.zone).cloned();
        if known.as_ref().map_or(0, |d| d.epoch) != to_epoch {
            return Applied::Stale;
        }
        let listed = spans.iter().all(|s| loser.spans.contains(s));
        if !listed || from == &*to.zone || !sound(&to) {
            return Applied::Refused;
        }
        loser.spans.retain(|s| !spans.contains(s));
        loser.epoch = self.next_epoch();
        let mut winner = match known {
            Some(known) => Delegation {
                epoch: self.next_epoch(),
                ..known
            },
            None => self.fresh(&loser.service, to, Vec::new()),
        };
        winner.spans.extend_from_slice(spans);
        winner.spans.sort_unstable();
        winner.spans.dedup();
        self.put(index, loser);
        self.put(index, winner);
        Applied::Done
    }

    fn at_epoch(&self, service: &str, zone: &str, epoch: ids::Epoch) -> Option<Delegation> {
        let delegation = self.delegation(service, zone)?;
        (delegation.epoch == epoch).then(|| delegation.clone())
    }

    fn next_epoch(&mut self) -> ids::Epoch {
        self.last_epoch += 1;
        self.last_epoch
    }

    fn fresh(
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

    fn put(&mut self, index: ids::LogIndex, value: Delegation) {
        let service = Arc::clone(&value.service);
        let zone = Arc::clone(&value.zone);
        let zones = self.delegations.entry(service).or_default();
        zones.insert(zone, Stamped { index, value });
    }
}

fn newer<'a, T, I>(values: I, known_index: ids::LogIndex) -> Vec<T>
where
    T: Clone + 'a,
    I: Iterator<Item = &'a Stamped<T>>,
{
    let changed = values.filter(|s| s.index > known_index);
    changed.map(|s| s.value.clone()).collect()
}

/// The carriers to be waited out by the one that follows `old`.
fn priors(old: &Delegation, resigned: bool) -> Vec<Predecessor> {
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

fn sound(config: &PrimaryConfig) -> bool {
    config.voters.contains(&config.primary)
}

fn zones_differ(shares: &[ZoneShare]) -> bool {
    let zones: std::collections::BTreeSet<_> = shares.iter().map(|s| &s.config.zone).collect();
    zones.len() == shares.len()
}

fn covers(shares: &[ZoneShare]) -> bool {
    let mut spans: Vec<_> = shares.iter().flat_map(|s| s.spans.iter()).collect();
    spans.sort_unstable();
    let mut next = 0;
    for span in spans {
        if span.start != next || span.end < span.start || span.end >= keys::SPACE {
            return false;
        }
        next = span.end + 1;
    }
    next == keys::SPACE
}
