//! The leader's plan of changes of primaries and zones.
//!
//! The [`Planner`] keeps state that only the leader of the control VMs has:
//! when it last answered each primary, which entry VMs it heard from, and the
//! backend servers that they report. This state is dropped on a new election,
//! so a new leader first waits until every lease has expired that its
//! predecessor may have renewed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{
    Delegation, DelegationReport, EntryVm, RenewRequest, RenewResponse, RenewedDelegation,
    ServiceCapacity, WatchRequest,
};
use super::rebalance;
use super::selection;
use super::state::{DelegationState, PrimaryStatus};
use super::store::{Change, Store, ZoneShare};
use crate::document::Document;
use crate::ids;
use crate::keys;
use crate::timing;

/// Silence after which a primary is replaced or an entry VM counts as unreachable.
pub const CONTACT_TIMEOUT: Duration = timing::PRIMARY_LEASE.saturating_add(timing::CLOCK_ALLOWANCE);

/// Silence after which an entry VM is no longer a voter.
const VOTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence after which an entry VM is removed from the replicated state.
const ENTRY_VM_RETENTION: Duration = Duration::from_mins(10);

/// Delay from the first report of live servers of a service to its first delegation.
const INITIAL_DELAY: Duration = Duration::from_secs(1);

/// Gap between two passes after which this VM counts as stalled: it may have missed requests.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Delay until a primary that lost or resigned a delegation may get it again, if no other VM can.
const RESELECT_DELAY: Duration = Duration::from_millis(500);

/// Time after which a change that is still needed is proposed again.
const REPROPOSE_INTERVAL: Duration = Duration::from_millis(500);

/// A service and a zone.
pub type ServiceZone = (ids::ServiceName, ids::ZoneName);

/// Parameters of a service that the planner needs, from its document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceParams {
    /// Service.
    pub service: ids::ServiceName,
    /// Lease term: how long a zone that is partitioned keeps its keys.
    pub term: Duration,
    /// Number of spans that the key space is first divided into.
    pub span_count: u64,
    /// Longest deadline of a request.
    pub max_deadline: Duration,
}

impl ServiceParams {
    /// Parameters given by a document.
    pub fn from_document(document: &Document) -> Self {
        let deadlines = document.routes.iter().map(|r| r.deadline);
        Self {
            service: Arc::clone(&document.service),
            term: document.delegation_term,
            span_count: document.placement.spans,
            max_deadline: deadlines.max().unwrap_or_default(),
        }
    }
}

/// State of the leader from its election on, and the planning of changes.
#[derive(Debug, Default)]
pub struct Planner {
    leading_since: Option<Instant>,
    last_pass: Option<Instant>,
    /// Start of the current series of passes without a stall.
    running_since: Option<Instant>,
    entry_vms: BTreeMap<ids::VmName, EntryVmState>,
    first_reported: BTreeMap<ids::ServiceName, Instant>,
    pub(super) delegations: BTreeMap<ServiceZone, DelegationState>,
    pub(super) filling: BTreeSet<ServiceZone>,
    proposed: Vec<(Instant, Change)>,
}

#[derive(Debug)]
struct EntryVmState {
    heard_at: Instant,
    entry_vm: EntryVm,
    capacities: Vec<ServiceCapacity>,
}

impl Planner {
    /// Changes that are needed now; the leader calls this every [`timing::GRANT_PASS_INTERVAL`].
    pub fn plan(
        &mut self,
        now: Instant,
        leading_since: Instant,
        store: &Store,
        services: &[ServiceParams],
    ) -> Vec<Change> {
        self.reset_on_election(leading_since);
        self.detect_stall(now);
        self.sync_delegations(now, store);
        let mut changes = self.entry_vm_changes(now, store);
        for params in services {
            let undelegated = store.delegations(&params.service).next().is_none();
            if undelegated {
                changes.extend(self.initial_change(now, store, params));
                continue;
            }
            let before = changes.len();
            for delegation in store.delegations(&params.service) {
                changes.extend(self.primary_change(now, store, params, delegation));
            }
            if changes.len() == before {
                changes.extend(rebalance::plan_moves(self, now, store, params));
            }
        }
        self.without_recently_proposed(now, changes)
    }

    /// Records the state of an entry VM that requested updates.
    pub fn record_watch(&mut self, now: Instant, request: &WatchRequest) {
        for capacity in request.capacities.iter().filter(|c| c.servers > 0) {
            let service = Arc::clone(&capacity.service);
            self.first_reported.entry(service).or_insert(now);
        }
        let state = EntryVmState {
            heard_at: now,
            entry_vm: request.entry_vm.clone(),
            capacities: request.capacities.clone(),
        };
        self.entry_vms
            .insert(Arc::clone(&request.entry_vm.vm), state);
    }

    /// Instant of the last answered renewal of a service in a zone; `None` if there was none.
    pub fn last_renewal(
        &self,
        service: &ids::ServiceName,
        zone: &ids::ZoneName,
    ) -> Option<Instant> {
        let key = (Arc::clone(service), Arc::clone(zone));
        self.delegations.get(&key)?.last_renewal
    }

    /// Renews leases; the caller has confirmed leadership since the request arrived.
    pub fn renew(&mut self, now: Instant, request: &RenewRequest, store: &Store) -> RenewResponse {
        self.sync_delegations(now, store);
        let reports = request.reports.iter();
        RenewResponse {
            renewed: reports
                .filter_map(|report| self.renew_one(now, request, report, store))
                .collect(),
        }
    }

    /// Whether an entry VM was heard from within `timeout`; silence before the election is ignored.
    fn heard_within(&self, now: Instant, vm: &str, timeout: Duration) -> bool {
        let heard = self
            .entry_vms
            .get(vm)
            .map(|e| e.heard_at)
            .max(self.leading_since);
        heard.is_some_and(|at| now < at + timeout)
    }

    /// Entry VMs of a zone that can be primary.
    pub(super) fn reachable_vms(
        &self,
        now: Instant,
        store: &Store,
        zone: &str,
    ) -> Vec<ids::VmName> {
        let eligible = |e: &&EntryVm| {
            let state = self.entry_vms.get(&e.vm);
            let reachable =
                state.is_some_and(|s| now < s.heard_at + CONTACT_TIMEOUT && !s.entry_vm.stopping);
            *e.zone == *zone && reachable
        };
        let entry_vms = store.entry_vms().filter(eligible);
        entry_vms.map(|e| Arc::clone(&e.vm)).collect()
    }

    /// Entry VMs of a zone that can be voters.
    pub(super) fn eligible_voters(
        &self,
        now: Instant,
        store: &Store,
        zone: &str,
    ) -> Vec<ids::VmName> {
        let eligible = |e: &&EntryVm| {
            *e.zone == *zone && !e.stopping && self.heard_within(now, &e.vm, VOTER_TIMEOUT)
        };
        let entry_vms = store.entry_vms().filter(eligible);
        entry_vms.map(|e| Arc::clone(&e.vm)).collect()
    }

    /// Live servers and slots of a service in each zone, as reachable entry VMs report them.
    pub(super) fn zone_capacities(
        &self,
        now: Instant,
        service: &str,
    ) -> BTreeMap<ids::ZoneName, (u32, u32)> {
        let mut zones: BTreeMap<_, (u32, u32)> = BTreeMap::new();
        let reachable = self
            .entry_vms
            .values()
            .filter(|e| now < e.heard_at + CONTACT_TIMEOUT);
        for state in reachable {
            let capacities = state.capacities.iter();
            for capacity in capacities.filter(|c| &*c.service == service && c.servers > 0) {
                let zone = zones.entry(Arc::clone(&state.entry_vm.zone)).or_default();
                zone.0 = zone.0.saturating_add(capacity.servers);
                zone.1 = zone.1.saturating_add(capacity.slots);
            }
        }
        zones
    }

    fn reset_on_election(&mut self, leading_since: Instant) {
        if self.leading_since != Some(leading_since) {
            *self = Self {
                leading_since: Some(leading_since),
                ..Self::default()
            };
        }
    }

    fn detect_stall(&mut self, now: Instant) {
        if self.last_pass.is_none_or(|at| now > at + STALL_THRESHOLD) {
            self.running_since = Some(now);
        }
        self.last_pass = Some(now);
    }

    fn sync_delegations(&mut self, now: Instant, store: &Store) {
        for delegation in store.all_delegations() {
            let key = service_zone(delegation);
            match self.delegations.get_mut(&key) {
                Some(state) if state.epoch == delegation.epoch => {}
                Some(state) => state.update(now, delegation),
                None => {
                    self.delegations
                        .insert(key, DelegationState::new(now, delegation));
                }
            }
        }
    }

    fn renew_one(
        &mut self,
        now: Instant,
        request: &RenewRequest,
        report: &DelegationReport,
        store: &Store,
    ) -> Option<RenewedDelegation> {
        let delegation = store.delegation(&report.service, &report.zone)?;
        let state = self.delegations.get_mut(&service_zone(delegation))?;
        let current = delegation.epoch == report.epoch && delegation.primary == request.vm;
        if !current {
            return None;
        }
        state.renew(now, request, report)
    }

    fn entry_vm_changes(&self, now: Instant, store: &Store) -> Vec<Change> {
        let reachable = self
            .entry_vms
            .values()
            .filter(|e| now < e.heard_at + CONTACT_TIMEOUT);
        let changed = reachable.filter(|e| store.entry_vm(&e.entry_vm.vm) != Some(&e.entry_vm));
        let upserts = changed.map(|e| Change::UpsertEntryVm {
            entry_vm: e.entry_vm.clone(),
        });
        let silent = store
            .entry_vms()
            .filter(|e| !self.heard_within(now, &e.vm, ENTRY_VM_RETENTION));
        let removals = silent.map(|e| Change::RemoveEntryVm {
            vm: Arc::clone(&e.vm),
        });
        upserts.chain(removals).collect()
    }

    fn initial_change(
        &self,
        now: Instant,
        store: &Store,
        params: &ServiceParams,
    ) -> Option<Change> {
        let service = &params.service;
        let reported_at = self.first_reported.get(service)?;
        if now < *reported_at + INITIAL_DELAY {
            return None;
        }
        let zones = self.zone_capacities(now, service);
        let candidates = zones.into_iter().filter_map(|(zone, (_, slots))| {
            let config = self.new_config(now, store, params, &zone)?;
            Some((config, u64::from(slots)))
        });
        let candidates: Vec<_> = candidates.collect();
        let no_slots = candidates.iter().all(|(_, slots)| *slots == 0);
        let weights: Vec<_> = candidates
            .iter()
            .map(|(_, s)| s + u64::from(no_slots))
            .collect();
        let spans = keys::Span::split_evenly(params.span_count);
        let runs = selection::split_by_weight(&spans, &weights);
        let shares = candidates.into_iter().zip(runs);
        let shares: Vec<_> = shares
            .map(|((config, _), spans)| ZoneShare { config, spans })
            .collect();
        (!shares.is_empty()).then(|| Change::Initialize {
            service: Arc::clone(service),
            shares,
        })
    }

    /// Primary and voters for a zone that has no delegation; `None` if no VM can be primary.
    pub(super) fn new_config(
        &self,
        now: Instant,
        store: &Store,
        params: &ServiceParams,
        zone: &ids::ZoneName,
    ) -> Option<super::store::PrimaryConfig> {
        let service = &params.service;
        let candidates = self.reachable_vms(now, store, zone);
        let primary = selection::select_primary(service, candidates.iter())?;
        let voters = selection::select_voters(
            service,
            primary,
            &[],
            &self.eligible_voters(now, store, zone),
        );
        Some(selection::primary_config(
            zone,
            primary,
            voters,
            params.term,
        ))
    }

    fn primary_change(
        &mut self,
        now: Instant,
        store: &Store,
        params: &ServiceParams,
        delegation: &Delegation,
    ) -> Option<Change> {
        let state = self.delegations.get(&service_zone(delegation))?;
        let heard_at = self
            .running_since
            .map_or(state.heard_at(), |at| at.max(state.heard_at()));
        if state.status == PrimaryStatus::Resigned || now >= heard_at + CONTACT_TIMEOUT {
            let change = self.replacement(now, store, params, delegation)?;
            if let Some(state) = self.delegations.get_mut(&service_zone(delegation)) {
                state.advance_status(PrimaryStatus::Revoked);
            }
            return Some(change);
        }
        if state.active && !delegation.predecessors.is_empty() {
            return Some(Change::ClearPredecessors {
                service: Arc::clone(&delegation.service),
                zone: Arc::clone(&delegation.zone),
                epoch: delegation.epoch,
            });
        }
        self.revision(now, store, params, delegation)
    }

    /// Replacement of a primary that is silent or has resigned.
    fn replacement(
        &self,
        now: Instant,
        store: &Store,
        params: &ServiceParams,
        delegation: &Delegation,
    ) -> Option<Change> {
        let state = self.delegations.get(&service_zone(delegation))?;
        let resigned = state.status == PrimaryStatus::Resigned;
        let candidates = self.reachable_vms(now, store, &delegation.zone);
        let others = candidates.iter().filter(|vm| **vm != delegation.primary);
        let reselect =
            state.status >= PrimaryStatus::Revoked && state.epoch_age(now) >= RESELECT_DELAY;
        let same = candidates
            .iter()
            .filter(|vm| reselect && **vm == delegation.primary);
        let primary = selection::select_primary(&delegation.service, others)
            .or_else(|| selection::select_primary(&delegation.service, same))?;
        Some(replace_primary(
            params,
            delegation,
            primary,
            &candidates,
            resigned,
        ))
    }

    /// New configuration of the same primary, if voters or lease term have changed.
    fn revision(
        &self,
        now: Instant,
        store: &Store,
        params: &ServiceParams,
        delegation: &Delegation,
    ) -> Option<Change> {
        let primary = &delegation.primary;
        let candidates = self.reachable_vms(now, store, &delegation.zone);
        let mut others = self.eligible_voters(now, store, &delegation.zone);
        others.retain(|vm| delegation.voters.contains(vm) || candidates.contains(vm));
        let change = replace_primary(params, delegation, primary, &others, false);
        let unchanged = matches!(
            &change,
            Change::ReplacePrimary { config, .. }
                if config.voters == delegation.voters && config.term == delegation.term
        );
        (!unchanged && candidates.contains(primary)).then_some(change)
    }

    fn without_recently_proposed(&mut self, now: Instant, changes: Vec<Change>) -> Vec<Change> {
        self.proposed
            .retain(|(at, _)| now < *at + REPROPOSE_INTERVAL);
        let proposed = &self.proposed;
        let due = changes
            .into_iter()
            .filter(|change| !proposed.iter().any(|(_, p)| p == change));
        let due: Vec<_> = due.collect();
        self.proposed.extend(due.iter().map(|c| (now, c.clone())));
        due
    }

    /// Start of this VM's leadership; `None` before the first pass.
    pub(super) const fn leading_since(&self) -> Option<Instant> {
        self.leading_since
    }

    /// Start of the current series of passes without a stall; `None` before the first pass.
    pub(super) const fn running_since(&self) -> Option<Instant> {
        self.running_since
    }
}

fn replace_primary(
    params: &ServiceParams,
    delegation: &Delegation,
    primary: &ids::VmName,
    others: &[ids::VmName],
    resigned: bool,
) -> Change {
    let service = &delegation.service;
    let voters = selection::select_voters(service, primary, &delegation.voters, others);
    Change::ReplacePrimary {
        service: Arc::clone(service),
        epoch: delegation.epoch,
        config: selection::primary_config(&delegation.zone, primary, voters, params.term),
        resigned,
    }
}

/// Service and zone of a delegation.
pub(super) fn service_zone(delegation: &Delegation) -> ServiceZone {
    (
        Arc::clone(&delegation.service),
        Arc::clone(&delegation.zone),
    )
}
