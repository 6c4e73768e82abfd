//! Simulation of one zone: primaries, backend servers, entry VMs and a lossy network.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};

use super::fixture;
use super::model::{DEADLINE, EntryVm, FenceLog, Server};
use crate::clock;
use crate::grant::shard::MoveCause;
use crate::grant::{Granter, InheritedState, LeaseHooks, LeaseRequest, LeaseResponse};
use crate::keys::Span;
use crate::route::messages::SpanLoad;
use crate::route::{PullRequest, PullResponse};
use crate::timeline::Journal;
use crate::timing;

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(5);

const SERVERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const ENTRY_VMS: [&str; 3] = ["vm1", "vm2", "vm3"];

/// A fault, or a change that an operator or the leader asks for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Nothing,
    FreezeServer(u8, u16),
    RestartServer(u8),
    StopServer(u8),
    Leave(u8),
    Drain(u8, bool),
    FreezeEntry(u8, u16),
    RestartEntry(u8),
    FreezePrimary(u16),
    PartitionPrimary(u16),
    Replace(u8, u16),
    Move(u8),
    Split(u8),
    Release(u8),
    Lossy(u8),
    Slow(u16),
}

impl Action {
    /// Generates a random action.
    pub(super) fn arbitrary(u: &mut Unstructured<'_>) -> Result<Self> {
        let (i, ms) = (u.arbitrary()?, u.arbitrary()?);
        Ok(match u.int_in_range(0..=15)? {
            0 => Self::FreezeServer(i, ms),
            1 => Self::RestartServer(i),
            2 => Self::StopServer(i),
            3 => Self::Leave(i),
            4 => Self::Drain(i, u.arbitrary()?),
            5 => Self::FreezeEntry(i, ms),
            6 => Self::RestartEntry(i),
            7 => Self::FreezePrimary(ms),
            8 => Self::PartitionPrimary(ms),
            9 => Self::Replace(i, ms),
            10 => Self::Move(i),
            11 => Self::Split(i),
            12 => Self::Release(i),
            13 => Self::Lossy(i),
            14 => Self::Slow(ms),
            _ => Self::Nothing,
        })
    }
}

#[derive(Debug)]
enum Message {
    LeaseRequest(usize, LeaseRequest),
    LeaseResponse(usize, LeaseRequest, LeaseResponse),
    PullRequest(usize, u64, PullRequest),
    PullResponse(usize, u64, PullResponse),
}

struct Primary {
    granter: Rc<Granter>,
    lease_end: Rc<Cell<Instant>>,
    frozen_until: Option<Instant>,
    partitioned_until: Option<Instant>,
}

/// A simulated zone.
pub(super) struct Simulation {
    pub(super) now: Instant,
    rng: fastrand::Rng,
    primaries: Vec<Primary>,
    servers: Vec<Server>,
    entry_vms: Vec<EntryVm>,
    network: Vec<(Instant, Message)>,
    journal: Journal,
    fences: FenceLog,
    epoch: u64,
    loss_percent: u8,
    delay: Duration,
    /// Spans that another zone owns.
    released: Vec<Span>,
}

impl Simulation {
    pub(super) fn new(seed: u64, kinds: u8) -> Self {
        let now = clock::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let checks = |i: usize| match kinds % 3 {
            0 => true,
            1 => false,
            _ => i.is_multiple_of(2),
        };
        let mut server = |(i, n): (usize, &&str)| Server::new(n, checks(i), rng.u32(0..36), now);
        let servers = SERVERS.iter().enumerate().map(&mut server).collect();
        let entry_vms = ENTRY_VMS
            .map(|e| EntryVm::new(e, rng.u32(0..36), now))
            .into();
        let mut simulation = Self {
            now,
            rng,
            primaries: Vec::new(),
            servers,
            entry_vms,
            network: Vec::new(),
            journal: Journal::new("vm".into()),
            fences: FenceLog::default(),
            epoch: 1,
            loss_percent: 0,
            delay: Duration::from_millis(4),
            released: Vec::new(),
        };
        simulation.add_primary(InheritedState::default());
        simulation
    }

    fn add_primary(&mut self, inherited: InheritedState) {
        let lease_end = Rc::new(Cell::new(self.now));
        let until = Rc::clone(&lease_end);
        let lease_hooks = LeaseHooks {
            valid_until: Box::new(move |now| Some(until.get()).filter(|u| *u > now)),
            record_vote: Box::new(|_, _| {}),
        };
        let mut delegation = fixture::delegation(self.epoch);
        delegation.spans = self.spans();
        let granter = Granter::new(
            &delegation,
            fixture::document(DEADLINE),
            inherited,
            lease_hooks,
            self.journal.clone(),
        );
        self.primaries.push(Primary {
            granter,
            lease_end,
            frozen_until: None,
            partitioned_until: None,
        });
    }

    fn spans(&self) -> Vec<Span> {
        let spans = Span::split_evenly(fixture::SPANS).into_iter();
        spans.filter(|s| !self.released.contains(s)).collect()
    }

    fn granter(&self) -> Rc<Granter> {
        Rc::clone(&self.primaries.last().unwrap().granter)
    }

    /// Applies an action.
    pub(super) fn apply(&mut self, action: Action) {
        let now = self.now;
        let after = |ms: u16| Some(now + Duration::from_millis(u64::from(ms % 2000)));
        let server = |i: u8| usize::from(i) % SERVERS.len();
        let entry = |i: u8| usize::from(i) % ENTRY_VMS.len();
        match action {
            Action::Nothing => {}
            Action::FreezeServer(i, ms) => self.servers[server(i)].frozen_until = after(ms),
            Action::RestartServer(i) => self.restart_server(server(i)),
            Action::StopServer(i) => self.servers[server(i)].stopped = true,
            Action::Leave(i) => self.servers[server(i)].request.draining = true,
            Action::Drain(i, on) => self.granter().set_draining(SERVERS[server(i)], on),
            Action::FreezeEntry(i, ms) => self.entry_vms[entry(i)].frozen_until = after(ms),
            Action::RestartEntry(i) => {
                let old = &self.entry_vms[entry(i)];
                let mut new = EntryVm::new(&old.vm, 20, now);
                new.primary = old.primary;
                new.min_epoch = old.min_epoch;
                new.request_number = old.request_number + 1;
                self.entry_vms[entry(i)] = new;
            }
            Action::FreezePrimary(ms) => {
                self.primaries.last_mut().unwrap().frozen_until = after(ms);
            }
            Action::PartitionPrimary(ms) => {
                self.primaries.last_mut().unwrap().partitioned_until = after(ms);
            }
            Action::Replace(i, ms) => {
                self.replace_primary(entry(i), Duration::from_millis(ms.into()) / 200);
            }
            Action::Move(i) => {
                let start = Span::split_evenly(fixture::SPANS)[usize::from(i) % 16].start;
                let granter = self.granter();
                granter
                    .state
                    .borrow_mut()
                    .revoke(start, MoveCause::Rebalance, None);
            }
            Action::Split(i) => {
                let span = Span::split_evenly(fixture::SPANS)[usize::from(i) % 16];
                let granter = self.granter();
                granter
                    .state
                    .borrow_mut()
                    .split(span.start, span.start + 99);
            }
            Action::Release(i) if self.released.is_empty() => {
                let span = Span::split_evenly(fixture::SPANS)[usize::from(i) % 16];
                self.granter().request_release(&[span]);
            }
            Action::Release(_) => {
                self.released.clear();
                self.apply_delegation();
            }
            Action::Lossy(percent) => self.loss_percent = percent % 60,
            Action::Slow(ms) if ms % 4 == 0 => {
                self.delay = Duration::from_millis(u64::from(ms % 700));
            }
            Action::Slow(_) => self.delay = Duration::from_millis(1),
        }
    }

    /// Ends all faults and restarts servers that stopped or left.
    pub(super) fn end_faults(&mut self) {
        self.loss_percent = 0;
        self.delay = Duration::from_millis(5);
        for (i, name) in SERVERS.iter().enumerate() {
            self.granter().set_draining(name, false);
            self.servers[i].frozen_until = None;
            if self.servers[i].stopped || self.servers[i].request.draining {
                self.restart_server(i);
            }
        }
        self.released.clear();
        self.granter().request_release(&[]);
        self.apply_delegation();
        self.entry_vms
            .iter_mut()
            .for_each(|e| e.frozen_until = None);
        let primary = self.primaries.last_mut().unwrap();
        (primary.frozen_until, primary.partitioned_until) = (None, None);
    }

    /// Whether every entry VM has a usable route for every span.
    pub(super) fn all_routed(&self) -> bool {
        let has_all_routes = |e: &EntryVm| {
            let routes = e.usable_routes(self.now);
            let width: u64 = routes.iter().map(|(r, _)| r.span.width()).sum();
            width == Span::ALL.width()
        };
        self.entry_vms.iter().all(has_all_routes)
    }

    fn restart_server(&mut self, i: usize) {
        let mut new = self.servers[i].clone();
        let checks = new.request.checks_fences;
        new = Server::new(SERVERS[i], checks, 20, self.now);
        new.primary = self.servers[i].primary;
        new.request.incarnation = format!("start-{}", self.rng.u32(..)).into();
        let mut old = std::mem::replace(&mut self.servers[i], new);
        old.next_heartbeat += timing::HEARTBEAT_INTERVAL * 1000;
        self.servers.push(old);
    }

    fn apply_delegation(&mut self) {
        self.epoch += 1;
        let mut delegation = fixture::delegation(self.epoch);
        delegation.spans = self.spans();
        assert!(self.granter().apply_delegation(&delegation));
    }

    /// Makes an entry VM the primary, `delay` after the current primary's lease ends.
    fn replace_primary(&mut self, vm: usize, delay: Duration) {
        let lease_end = &self.primaries.last().unwrap().lease_end;
        let end = lease_end.get().max(self.now) + delay;
        self.primaries.last_mut().unwrap().partitioned_until = Some(end + Duration::from_hours(1));
        self.epoch += 1;
        let entry = &mut self.entry_vms[vm];
        let own_expiry = entry.last_sent() + timing::ROUTE_LEASE;
        let inherited = InheritedState {
            routes: entry.routes.values().cloned().collect(),
            servers: entry.servers.values().cloned().collect(),
            map_valid: own_expiry > end && entry.map_expiry > end,
            predecessor_end: Some(end),
        };
        entry.primary = self.primaries.len();
        entry.min_epoch = self.epoch;
        self.add_primary(inherited);
    }

    /// Advances the simulation by one step.
    pub(super) fn step(&mut self) {
        self.now += STEP;
        self.renew_primary_lease();
        self.deliver();
        self.send_heartbeats();
        self.send_pulls();
        self.send_requests();
        for primary in &self.primaries {
            if primary.frozen_until.is_none_or(|f| self.now >= f) {
                primary.granter.run_pass(self.now);
            }
        }
        self.hand_over_released();
        self.check_single_owner();
    }

    fn renew_primary_lease(&mut self) {
        let now = self.now;
        let primary = self.primaries.last().unwrap();
        let is_over = |o: Option<Instant>| o.is_none_or(|f| now >= f);
        if is_over(primary.frozen_until) && is_over(primary.partitioned_until) {
            primary.lease_end.set(now + timing::PRIMARY_LEASE);
        }
    }

    fn hand_over_released(&mut self) {
        let report = self.granter().report(self.now);
        let primary = self.primaries.last().unwrap();
        let is_active = primary.lease_end.get() > self.now;
        if is_active && !report.released.is_empty() {
            self.released = report.released;
            self.apply_delegation();
        }
    }

    fn send(&mut self, message: Message) {
        if self.rng.u8(0..100) < self.loss_percent {
            return;
        }
        let max_ms = u64::try_from(self.delay.as_millis()).unwrap();
        let extra_ms = if self.rng.u8(0..50) == 0 { 600 } else { 0 };
        let delay = Duration::from_millis(self.rng.u64(0..=max_ms) + extra_ms);
        self.network.push((self.now + delay, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, m)| *at <= now && self.is_receiving(m));
        self.network = pending;
        let mut due: Vec<(Instant, Message)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            self.receive(message);
        }
    }

    /// Whether the receiver of a message is running; otherwise the message stays in the network.
    fn is_receiving(&self, message: &Message) -> bool {
        let primary = |i: usize| self.primaries[i].frozen_until.is_none_or(|f| self.now >= f);
        match message {
            Message::LeaseRequest(i, _) => primary(self.servers[*i].primary),
            Message::LeaseResponse(i, ..) => {
                self.servers[*i].frozen_until.is_none_or(|f| self.now >= f)
            }
            Message::PullRequest(i, ..) => primary(self.entry_vms[*i].primary),
            Message::PullResponse(i, ..) => self.entry_vms[*i].is_running(self.now),
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::LeaseRequest(i, request) => {
                let granter = Rc::clone(&self.primaries[self.servers[i].primary].granter);
                if let Some(response) = granter.renew_lease(now, &request) {
                    self.send(Message::LeaseResponse(i, request, response));
                }
            }
            Message::LeaseResponse(i, request, response) => {
                let server = &mut self.servers[i];
                let same_incarnation = server.request.incarnation == request.incarnation;
                if same_incarnation && server.is_running(now) {
                    let new = server.apply_response(now, request.sequence, &response);
                    for grant in new {
                        self.fences.record(grant);
                    }
                }
            }
            Message::PullRequest(i, request_number, request) => {
                let granter = Rc::clone(&self.primaries[self.entry_vms[i].primary].granter);
                let recorded = granter.record_pull(now, &request);
                let response = recorded.and_then(|()| granter.pull_response(now, &request));
                if let Ok(response) = response {
                    self.send(Message::PullResponse(i, request_number, response));
                }
            }
            Message::PullResponse(i, request_number, response) => {
                self.entry_vms[i].apply_response(request_number, &response);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        for i in 0..self.servers.len() {
            let server = &mut self.servers[i];
            if !server.is_running(now) || now < server.next_heartbeat {
                continue;
            }
            server.next_heartbeat = now + timing::HEARTBEAT_INTERVAL / self.rng.u32(1..=8);
            if self.rng.u8(0..4) == 0 {
                server.primary = self.primaries.len() - 1;
            }
            let request = server.next_request(now);
            self.send(Message::LeaseRequest(i, request));
        }
    }

    fn send_pulls(&mut self) {
        let now = self.now;
        for i in 0..self.entry_vms.len() {
            let entry = &mut self.entry_vms[i];
            if !entry.is_running(now) || now < entry.next_pull {
                continue;
            }
            entry.next_pull = now + timing::LONG_POLL_TIMEOUT / self.rng.u32(1..=8);
            if self.rng.u8(0..4) == 0 {
                entry.primary = self.primaries.len() - 1;
            }
            let loads = entry.routes.values().map(|r| SpanLoad {
                span: r.span,
                requests: self.rng.u64(0..30),
                hot_hashes: vec![(r.span.start, self.rng.u64(0..20))],
            });
            let loads = loads.collect();
            let epoch = self.primaries[entry.primary].granter.epoch();
            let request = entry.next_request(now, epoch, loads);
            let request_number = entry.request_number;
            self.send(Message::PullRequest(i, request_number, request));
        }
    }

    /// Sends a request by every usable route of every entry VM.
    fn send_requests(&mut self) {
        let now = self.now;
        for entry in &self.entry_vms {
            for (route, info) in entry.usable_routes(now) {
                let is_target = |s: &&mut Server| {
                    let same_incarnation = s.request.incarnation == info.incarnation;
                    same_incarnation && s.request.server == info.server && !s.stopped
                };
                let time = Duration::from_millis(self.rng.u64(0..=200));
                if let Some(server) = self.servers.iter_mut().find(is_target) {
                    let time = if info.checks_fences { time } else { DEADLINE };
                    server.process(now, &route, time);
                }
            }
        }
    }

    /// Time line events about a span, for the message of a failed assertion.
    fn history(&self, span: Span) -> String {
        let events = self.journal.events_after(0).into_iter();
        let relevant = events.filter(|e| e.span.is_none_or(|s| s.overlaps(&span)));
        let lines: Vec<_> = relevant.map(|e| e.log_line()).collect();
        lines.join("\n")
    }

    /// Asserts that no hash has two owners now.
    fn check_single_owner(&self) {
        let live = self.servers.iter().filter(|s| !s.stopped);
        let mut owned_spans: Vec<(Span, usize)> = Vec::new();
        for (i, server) in live.enumerate() {
            owned_spans.extend(server.owned_spans(self.now).into_iter().map(|s| (s, i)));
        }
        owned_spans.extend(self.released.iter().map(|r| (*r, usize::MAX)));
        owned_spans.sort_unstable();
        owned_spans.dedup();
        for (n, (span, owner)) in owned_spans.iter().enumerate() {
            let next = owned_spans[n + 1..].iter();
            let overlapping = next.take_while(|(s, _)| s.start <= span.end);
            for (other, other_owner) in overlapping {
                assert_eq!(
                    owner,
                    other_owner,
                    "{span} and {other}:\n{}",
                    self.history(*span)
                );
            }
        }
    }
}
