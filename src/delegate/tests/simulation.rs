//! Deterministic simulation of control VMs, entry VMs and backend servers in one thread.
//!
//! Messages are lost, delayed and reordered; processes freeze and restart;
//! leaders change. The real modules are driven by plain calls with simulated
//! time.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use super::fixture::{SERVICE, entry_vm, service_params};
use crate::delegate::messages::{
    DocumentUpdate, PromiseRequest, PromiseResponse, RenewRequest, RenewResponse, ServiceCapacity,
    WatchRequest, WatchResponse,
};
use crate::delegate::planner::{Planner, ServiceParams};
use crate::delegate::store::{Change, Store};
use crate::delegate::takeover::Takeover;
use crate::delegate::voter::Voter;
use crate::delegate::{DelegationManager, View};
use crate::document::{Document, Limits, Placement};
use crate::grant::messages::{Grant, LeaseRequest, LeaseResponse};
use crate::grant::{Granters, InheritedState};
use crate::keys::{self, Span};
use crate::route::{PullRequest, PullResponse};
use crate::timeline::Journal;

/// Milliseconds of one step.
const STEP_MS: u64 = 5;

/// Milliseconds after which an unanswered watch request is sent again.
const WATCH_TIMEOUT_MS: u64 = 150;

type PromiseTarget = (Weak<RefCell<Takeover>>, std::sync::Arc<str>);

/// A simulated system; times are in milliseconds since its start.
pub(super) struct Simulation {
    /// Current time.
    pub(super) at: u64,
    pub(super) rng: fastrand::Rng,
    pub(super) term: u64,
    /// Percent of messages lost.
    pub(super) loss_percent: u64,
    /// Percent of messages that arrive late.
    pub(super) late_percent: u64,
    /// Names of VMs that are partitioned from the control VMs.
    pub(super) partitioned: BTreeSet<&'static str>,
    /// Indices of two VMs that are partitioned from each other.
    pub(super) partitioned_pair: Option<(usize, usize)>,
    pub(super) vms: Vec<Vm>,
    pub(super) servers: Vec<Server>,
    pub(super) store: Store,
    pub(super) takeovers: usize,
    pub(super) moves: usize,
    pub(super) active_steps: u64,
    base: Instant,
    planner: Planner,
    /// Time of the last election; in the future while there is no leader.
    elected_at: u64,
    index: u64,
    proposed: Vec<(u64, Change)>,
    in_flight: Vec<(u64, Message)>,
    epochs: BTreeMap<String, u64>,
    last_active: BTreeMap<&'static str, u64>,
    /// Spans that were reported released, by epoch.
    released: BTreeMap<u64, Vec<Span>>,
    /// Last fence that a server accepted, by start of the span.
    fences: BTreeMap<u64, u64>,
}

/// A simulated entry VM.
pub(super) struct Vm {
    pub(super) name: &'static str,
    pub(super) zone: &'static str,
    pub(super) frozen_until: u64,
    clock: Clock,
    start: u64,
    view: Rc<View>,
    voter: Rc<Voter>,
    granters: Rc<Granters>,
    manager: DelegationManager,
    pending_promises: Rc<RefCell<Vec<PromiseTarget>>>,
    sequence: u64,
    /// Sequence number and time of the last renewal.
    last_renewal: Option<(u64, u64)>,
    /// Time of the watch request that is not answered yet.
    watching: Option<u64>,
    last_pull: u64,
    /// Number, epoch and version of the last route map.
    map: (u64, u64, u64),
}

/// A simulated backend server.
pub(super) struct Server {
    pub(super) name: &'static str,
    pub(super) zone: &'static str,
    pub(super) frozen_until: u64,
    clock: Clock,
    requested_at: Option<u64>,
    lease_expiry: u64,
    grants: Vec<Grant>,
    highest_fence: u64,
}

/// Clock with a constant drift.
#[derive(Clone, Copy)]
struct Clock {
    base: Instant,
    drift_ppm: i64,
}

impl Clock {
    fn now(&self, at: u64) -> Instant {
        let us = i64::try_from(at).unwrap() * 1000;
        let drift = us * self.drift_ppm / 1_000_000;
        self.base + Duration::from_micros(u64::try_from(us + drift).unwrap())
    }
}

enum Message {
    Watch(usize, u64, WatchRequest),
    Updates(usize, u64, WatchResponse),
    Renew(usize, u64, RenewRequest),
    Renewed(usize, u64, u64, RenewResponse),
    Pull(usize, usize, PullRequest),
    Map(usize, PullResponse),
    Promise(usize, usize, Weak<RefCell<Takeover>>, PromiseRequest),
    Promised(usize, usize, Weak<RefCell<Takeover>>, PromiseResponse),
    Lease(usize, u64, usize, LeaseRequest),
    Leased(usize, u64, LeaseResponse),
}

pub(super) fn document(term: u64) -> Document {
    Document {
        service: SERVICE.into(),
        ranks: Vec::new(),
        routes: Vec::new(),
        placement: Placement {
            spans: 16,
            ..Placement::default()
        },
        delegation_term: Duration::from_millis(term),
        limits: Limits::default(),
    }
}

impl Vm {
    fn new(name: &'static str, zone: &'static str, clock: Clock, start: u64) -> Self {
        let view = Rc::new(View::default());
        let voter = Rc::new(Voter::new(clock.now(start)));
        let granters = Rc::new(Granters::default());
        let pending_promises = Rc::new(RefCell::new(Vec::new()));
        let queue = Rc::clone(&pending_promises);
        let manager = DelegationManager::new(
            Rc::clone(&view),
            Rc::clone(&voter),
            Rc::clone(&granters),
            Box::new(|_, _| InheritedState::default()),
            Box::new(move |takeover, vm| queue.borrow_mut().push((takeover, vm))),
            Journal::new(name.into()),
        );
        Self {
            name,
            zone,
            frozen_until: 0,
            clock,
            start,
            view,
            voter,
            granters,
            manager,
            pending_promises,
            sequence: 0,
            last_renewal: None,
            watching: None,
            last_pull: 0,
            map: (0, 0, 0),
        }
    }
}

impl Simulation {
    pub(super) fn new(
        seed: u64,
        vms: &[(&'static str, &'static str)],
        servers: &[(&'static str, &'static str)],
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let base = Instant::now();
        let mut clock = || Clock {
            base,
            drift_ppm: rng.i64(-500..500),
        };
        let vms = vms.iter().map(|(vm, zone)| Vm::new(vm, zone, clock(), 0));
        let vms = vms.collect();
        let servers = servers.iter().map(|(name, zone)| Server {
            name,
            zone,
            frozen_until: 0,
            clock: clock(),
            requested_at: None,
            lease_expiry: 0,
            grants: Vec::new(),
            highest_fence: 0,
        });
        let servers = servers.collect();
        Self {
            at: 0,
            rng,
            term: 2000,
            loss_percent: 0,
            late_percent: 0,
            partitioned: BTreeSet::new(),
            partitioned_pair: None,
            vms,
            servers,
            store: Store::default(),
            takeovers: 0,
            moves: 0,
            active_steps: 0,
            base,
            planner: Planner::default(),
            elected_at: 0,
            index: 1,
            proposed: Vec::new(),
            in_flight: Vec::new(),
            epochs: BTreeMap::new(),
            last_active: BTreeMap::new(),
            released: BTreeMap::new(),
            fences: BTreeMap::new(),
        }
    }

    /// Advances the time by one step; panics if an invariant is violated.
    pub(super) fn step(&mut self) {
        self.at += STEP_MS;
        self.deliver();
        self.step_leader();
        for i in 0..self.vms.len() {
            if self.vms[i].frozen_until <= self.at {
                self.step_entry_vm(i);
            }
        }
        for i in 0..self.servers.len() {
            if self.servers[i].frozen_until <= self.at {
                self.step_server(i);
            }
        }
        self.check();
    }

    pub(super) fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.step();
        }
    }

    /// Another control VM leads after `gap` milliseconds; proposed changes may be lost.
    pub(super) fn change_leader(&mut self, gap: u64) {
        for (_, change) in std::mem::take(&mut self.proposed) {
            if self.rng.bool() {
                self.commit(change);
            }
        }
        self.elected_at = self.at + gap;
    }

    /// Partitions a whole zone from the control VMs.
    pub(super) fn partition_zone(&mut self, zone: &str) {
        let vms = self.vms.iter().filter(|vm| vm.zone == zone);
        self.partitioned = vms.map(|vm| vm.name).collect();
    }

    /// Restarts the process of an entry VM.
    pub(super) fn restart(&mut self, i: usize) {
        let (name, zone, clock) = (self.vms[i].name, self.vms[i].zone, self.vms[i].clock);
        self.vms[i] = Vm::new(name, zone, clock, self.at);
    }

    /// VMs that are active primaries, with their zones.
    pub(super) fn active(&self) -> Vec<(&'static str, &'static str)> {
        let is_active = |vm: &&Vm| !vm.manager.active(vm.clock.now(self.at)).is_empty();
        let vms = self.vms.iter().filter(is_active);
        vms.map(|vm| (vm.name, vm.zone)).collect()
    }

    pub(super) fn spans(&self, zone: &str) -> usize {
        let delegation = self.store.delegation(SERVICE, zone);
        delegation.map_or(0, |d| d.spans.len())
    }

    fn service_params_now(&self) -> ServiceParams {
        ServiceParams {
            term: Duration::from_millis(self.term),
            max_deadline: Duration::ZERO,
            ..service_params()
        }
    }

    fn leads(&self) -> bool {
        self.elected_at <= self.at
    }

    fn control_now(&self, at: u64) -> Instant {
        self.base + Duration::from_millis(at)
    }

    fn send(&mut self, message: Message) {
        let partitioned = match &message {
            Message::Watch(i, ..)
            | Message::Updates(i, ..)
            | Message::Renew(i, ..)
            | Message::Renewed(i, ..) => self.partitioned.contains(self.vms[*i].name),
            _ => false,
        };
        let pair_partitioned = match &message {
            Message::Pull(a, b, _) | Message::Promise(a, b, ..) | Message::Promised(a, b, ..) => {
                self.partitioned_pair == Some((*a.min(b), *a.max(b)))
            }
            _ => false,
        };
        let lost = partitioned || pair_partitioned || self.rng.u64(0..100) < self.loss_percent;
        let late = self.rng.u64(0..100) < self.late_percent;
        let delay = self.rng.u64(0..if late { 900 } else { 12 });
        if !lost {
            self.in_flight.push((self.at + delay, message));
        }
    }

    fn deliver(&mut self) {
        let frozen = |simulation: &Self, message: &Message| match message {
            Message::Updates(i, ..)
            | Message::Renewed(i, ..)
            | Message::Map(i, _)
            | Message::Pull(_, i, _)
            | Message::Promise(_, i, ..)
            | Message::Lease(_, _, i, _)
            | Message::Promised(i, ..) => simulation.vms[*i].frozen_until > simulation.at,
            Message::Leased(i, ..) => simulation.servers[*i].frozen_until > simulation.at,
            Message::Watch(..) | Message::Renew(..) => false,
        };
        let in_flight = std::mem::take(&mut self.in_flight);
        for (due, message) in in_flight {
            if due > self.at || frozen(self, &message) {
                self.in_flight.push((due, message));
            } else {
                self.receive(message);
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let at = self.at;
        match message {
            Message::Watch(i, sent, request) if self.leads() => {
                self.planner.record_watch(self.control_now(at), &request);
                let updates = self.updates(request.known_index);
                self.send(Message::Updates(i, sent, updates));
            }
            Message::Renew(i, sent, request) if self.leads() => {
                let now = self.control_now(at);
                let response = self.planner.renew(now, &request, &self.store);
                self.send(Message::Renewed(i, sent, request.sequence, response));
            }
            Message::Updates(i, sent, response) if self.vms[i].watching == Some(sent) => {
                self.vms[i].watching = None;
                self.vms[i].view.apply(response);
            }
            Message::Renewed(i, sent, sequence, response) => {
                let vm = &mut self.vms[i];
                if vm.last_renewal == Some((sequence, sent)) && vm.start <= sent {
                    vm.manager.record_renewals(vm.clock.now(sent), &response);
                }
            }
            Message::Pull(from, to, request) => {
                let vm = &self.vms[to];
                let Some(granter) = vm.granters.get(&request.service, &request.zone) else {
                    return;
                };
                let now = vm.clock.now(at);
                if granter.record_pull(now, &request).is_ok()
                    && let Ok(response) = granter.pull_response(now, &request)
                {
                    self.send(Message::Map(from, response));
                }
            }
            Message::Map(i, response) if response.epoch == 0 => self.vms[i].map.0 = response.number,
            Message::Map(i, response) => {
                self.vms[i].map = (response.number, response.epoch, response.version);
            }
            Message::Promise(from, to, takeover, request) => {
                let response = self.vms[to]
                    .voter
                    .promise(self.vms[to].clock.now(at), &request);
                self.send(Message::Promised(from, to, takeover, response));
            }
            Message::Promised(i, voter, takeover, response) => {
                if let Some(takeover) = takeover.upgrade() {
                    let voter = self.vms[voter].name.into();
                    let now = self.vms[i].clock.now(at);
                    takeover.borrow_mut().record_promise(now, &voter, &response);
                }
            }
            Message::Lease(i, sent, to, request) => {
                let vm = &self.vms[to];
                let granter = vm.granters.get(&request.service, &request.zone);
                if let Some(response) =
                    granter.and_then(|g| g.renew_lease(vm.clock.now(at), &request))
                {
                    self.send(Message::Leased(i, sent, response));
                }
            }
            Message::Leased(i, sent, response) if self.servers[i].requested_at == Some(sent) => {
                for grant in self.servers[i].receive(at, sent, &response) {
                    let last = self.fences.insert(grant.span.start, grant.fence);
                    assert!(
                        last.is_none_or(|last| last < grant.fence),
                        "{grant:?} at {at}"
                    );
                }
            }
            Message::Watch(..)
            | Message::Renew(..)
            | Message::Updates(..)
            | Message::Leased(..) => {}
        }
    }

    fn updates(&self, known_index: u64) -> WatchResponse {
        let updates = self.store.updates_since(known_index);
        let document = DocumentUpdate {
            version: 1,
            change: "c".into(),
            document: document(self.term),
        };
        WatchResponse {
            index: self.index,
            documents: if known_index == 0 {
                vec![document]
            } else {
                Vec::new()
            },
            delegations: updates.delegations,
            entry_vms: updates.entry_vms,
            removed_vms: updates.removed_vms,
            all_vms: updates.all_vms,
            drains: updates.drains,
        }
    }

    fn step_leader(&mut self) {
        if !self.leads() {
            return;
        }
        let (due, later) = std::mem::take(&mut self.proposed)
            .into_iter()
            .partition(|(due, _)| *due <= self.at);
        self.proposed = later;
        let due: Vec<(u64, Change)> = due;
        for (_, change) in due {
            self.commit(change);
        }
        if self.at.is_multiple_of(20) {
            let (now, since) = (self.control_now(self.at), self.control_now(self.elected_at));
            let params = [self.service_params_now()];
            let changes = self.planner.plan(now, since, &self.store, &params);
            let due = self.at + self.rng.u64(0..40);
            self.proposed
                .extend(changes.into_iter().map(|change| (due, change)));
        }
    }

    fn commit(&mut self, change: Change) {
        self.index += 1;
        let before = self.store.clone();
        self.store.apply(self.index, change.clone());
        if before == self.store {
            return;
        }
        match change {
            Change::ReplacePrimary { .. } => self.takeovers += 1,
            Change::MoveSpans {
                from,
                from_epoch,
                spans,
                ..
            } => {
                self.moves += 1;
                self.check_move(&from, from_epoch, &spans);
            }
            _ => {}
        }
    }

    fn step_entry_vm(&mut self, i: usize) {
        let at = self.at;
        let now = self.vms[i].clock.now(at);
        self.vms[i].manager.advance(now);
        let pending = std::mem::take(&mut *self.vms[i].pending_promises.borrow_mut());
        for (takeover, voter) in pending {
            self.send_promise_request(i, takeover, &voter);
        }
        if self.vms[i]
            .watching
            .is_none_or(|w| at >= w + WATCH_TIMEOUT_MS)
            && at.is_multiple_of(50)
        {
            self.send_watch(i);
        }
        let last = self.vms[i].last_renewal;
        if last.is_none_or(|(_, sent)| at >= sent + 100) {
            let report = self.vms[i].manager.renewal_report(now);
            for delegation in &report.delegations {
                let released = self.released.entry(delegation.epoch).or_default();
                released.extend_from_slice(&delegation.released);
            }
            self.vms[i].sequence += 1;
            let sequence = self.vms[i].sequence;
            self.vms[i].last_renewal = Some((sequence, at));
            let request = RenewRequest {
                vm: self.vms[i].name.into(),
                sequence,
                reports: report.delegations,
                active_epochs: report.active_epochs,
            };
            self.send(Message::Renew(i, at, request));
        }
        if at >= self.vms[i].last_pull + 60 {
            self.vms[i].last_pull = at;
            self.send_pull(i);
        }
    }

    fn send_watch(&mut self, i: usize) {
        let vm = &mut self.vms[i];
        vm.watching = Some(self.at);
        let zone = vm.zone;
        let live = self.servers.iter().filter(|s| s.zone == zone);
        let live = u32::try_from(live.count()).unwrap();
        let request = WatchRequest {
            entry_vm: entry_vm(vm.name, zone),
            known_index: vm.view.index(),
            wait: Duration::ZERO,
            capacities: vec![ServiceCapacity {
                service: SERVICE.into(),
                servers: live,
                slots: live * 6,
            }],
        };
        self.send(Message::Watch(i, self.at, request));
    }

    /// An entry VM's request for routes to the primary of its zone, with its vote.
    fn send_pull(&mut self, i: usize) {
        let (at, vm) = (self.at, &self.vms[i]);
        let Some(delegation) = vm.view.delegation(SERVICE, vm.zone) else {
            return;
        };
        let votes = vm
            .voter
            .may_vote(&vm.view, SERVICE, vm.zone, delegation.epoch);
        if votes {
            vm.voter
                .record_vote(SERVICE, vm.zone, delegation.epoch, vm.clock.now(at));
        }
        let request = PullRequest {
            vm: vm.name.into(),
            service: SERVICE.into(),
            zone: vm.zone.into(),
            epoch: delegation.epoch,
            map_epoch: vm.map.1,
            version: vm.map.2,
            last_response: vm.map.0,
            votes,
            max_wait: Duration::ZERO,
            loads: Vec::new(),
            leaving: Vec::new(),
        };
        let to = self.vm(&delegation.primary);
        self.send(Message::Pull(i, to, request));
    }

    fn send_promise_request(
        &mut self,
        i: usize,
        takeover: Weak<RefCell<Takeover>>,
        voter: &std::sync::Arc<str>,
    ) {
        let Some(pending) = takeover.upgrade() else {
            return;
        };
        let request = pending.borrow().request().clone();
        let to = self.vm(voter);
        let again = (Weak::clone(&takeover), std::sync::Arc::clone(voter));
        if self.at.is_multiple_of(50) {
            self.send(Message::Promise(i, to, takeover, request));
        }
        self.vms[i].pending_promises.borrow_mut().push(again);
    }

    fn vm(&self, name: &str) -> usize {
        self.vms.iter().position(|vm| vm.name == name).unwrap()
    }

    fn step_server(&mut self, i: usize) {
        let at = self.at;
        if self.servers[i]
            .requested_at
            .is_some_and(|sent| at < sent + 100)
        {
            return;
        }
        self.servers[i].expire(at);
        self.servers[i].requested_at = Some(at);
        let server = &self.servers[i];
        let in_zone: Vec<_> = self.vms.iter().filter(|v| v.zone == server.zone).collect();
        let any = in_zone[self.rng.usize(0..in_zone.len())];
        let Some(delegation) = any.view.delegation(SERVICE, server.zone) else {
            return;
        };
        let request = LeaseRequest {
            server: server.name.into(),
            incarnation: "i".into(),
            sequence: at,
            service: SERVICE.into(),
            zone: server.zone.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: 6,
            checks_fences: true,
            draining: false,
            outstanding_requests: 0,
            held_grants: server.grants.clone(),
            finishing_grants: Vec::new(),
        };
        let to = self.vm(&delegation.primary);
        self.send(Message::Lease(i, at, to, request));
    }

    fn check(&mut self) {
        let active = self.active();
        for (name, zone) in &active {
            let others = active.iter().filter(|(n, z)| z == zone && n != name);
            assert_eq!(others.count(), 0, "{active:?} at {}", self.at);
            self.last_active.insert(zone, self.at);
        }
        self.active_steps += u64::from(!active.is_empty());
        let mut grants: Vec<Span> = Vec::new();
        for server in &self.servers {
            if server.clock.now(self.at) < server.clock.now(server.lease_expiry) {
                grants.extend(server.grants.iter().map(|g| g.span));
            }
        }
        grants.sort_unstable();
        let disjoint = grants.windows(2).all(|w| w[0].end < w[1].start);
        assert!(disjoint, "a key with two owners at {}", self.at);
        self.check_store();
    }

    fn check_store(&mut self) {
        let delegations = self.store.delegations(SERVICE);
        let mut spans: Vec<Span> = delegations.flat_map(|d| d.spans.clone()).collect();
        spans.sort_unstable();
        let adjacent = spans.windows(2).all(|w| w[0].end + 1 == w[1].start);
        let width: u64 = spans.iter().map(Span::width).sum();
        assert!(spans.is_empty() || (adjacent && width == keys::HASH_SPACE));
        for delegation in self.store.delegations(SERVICE) {
            let zone = delegation.zone.to_string();
            let last_epoch = self.epochs.entry(zone).or_insert(0);
            assert!(delegation.epoch >= *last_epoch);
            *last_epoch = delegation.epoch;
        }
    }

    /// Spans leave a zone only once released, or once no primary has been active there for long.
    fn check_move(&self, from: &str, epoch: u64, spans: &[Span]) {
        let idle = self
            .last_active
            .get(from)
            .map_or(self.at, |last| self.at - last);
        let reported = self.released.get(&epoch);
        let released = reported.is_some_and(|reported| spans.iter().all(|s| reported.contains(s)));
        assert!(
            released || idle >= 500,
            "moved after {idle} ms at {}",
            self.at
        );
        let leased = |s: &&Server| s.clock.now(self.at) < s.clock.now(s.lease_expiry);
        for server in self
            .servers
            .iter()
            .filter(|s| s.zone == from)
            .filter(leased)
        {
            let mut grants = server.grants.iter();
            assert!(!grants.any(|g| spans.iter().any(|s| s.overlaps(&g.span))));
        }
    }
}

impl Server {
    fn expire(&mut self, at: u64) {
        if self.clock.now(at) >= self.clock.now(self.lease_expiry) {
            self.grants.clear();
        }
    }

    /// Applies a response; returns the new grants.
    fn receive(&mut self, at: u64, sent: u64, response: &LeaseResponse) -> Vec<Grant> {
        self.expire(at);
        let lease = u64::try_from(response.lease.as_millis()).unwrap();
        self.lease_expiry = sent + lease;
        let last_fence = self.highest_fence;
        let previous = std::mem::take(&mut self.grants);
        let accepted = |g: &&Grant| previous.contains(g) || g.fence > last_fence;
        self.grants = response.grants.iter().filter(accepted).copied().collect();
        let highest = self.grants.iter().map(|g| g.fence).max();
        self.highest_fence = highest.unwrap_or(0).max(last_fence);
        self.expire(at);
        let new = self.grants.iter().filter(|g| !previous.contains(g));
        new.copied().collect()
    }
}
