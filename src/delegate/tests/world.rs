//! Control VMs, entry VMs and backend servers in one thread, with a clock that jumps.
//!
//! Messages are lost, delayed and reordered; processes freeze and restart;
//! leaders change. What the real slices decide is driven by plain calls.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use super::fixture::{KIOSK, entry, kiosk};
use crate::delegate::appoint::{Described, Office};
use crate::delegate::bar::BarDesk;
use crate::delegate::messages::{
    BarAnswer, BarRequest, DocumentNews, Heard, RenewAnswer, RenewRequest, WatchAnswer,
    WatchRequest,
};
use crate::delegate::store::{Change, Store};
use crate::delegate::takeover::Takeover;
use crate::delegate::{Carrier, View};
use crate::document::{Document, Limits, Placement};
use crate::grant::messages::{Grant, LeaseAnswer, LeaseRequest};
use crate::grant::{Duties, Inherited};
use crate::keys::{self, Span};
use crate::route::{PullAnswer, PullRequest};
use crate::timeline::Journal;

/// Milliseconds of one step.
const STEP: u64 = 5;

/// Milliseconds until an unanswered question is given up.
const PATIENCE: u64 = 150;

type Asked = (Weak<RefCell<Takeover>>, std::sync::Arc<str>);

pub(super) struct World {
    pub(super) at: u64,
    pub(super) rng: fastrand::Rng,
    pub(super) term: u64,
    /// Percent of messages lost.
    pub(super) loss: u64,
    /// Percent of messages that arrive late.
    pub(super) late: u64,
    /// Names of VMs that are cut off from the control VMs.
    pub(super) cut: BTreeSet<&'static str>,
    /// Two VMs that do not hear each other.
    pub(super) parted: Option<(usize, usize)>,
    pub(super) vms: Vec<Vm>,
    pub(super) servers: Vec<Server>,
    pub(super) store: Store,
    pub(super) takeovers: usize,
    pub(super) moves: usize,
    pub(super) acted: u64,
    base: Instant,
    office: Office,
    /// Milliseconds at which the leader was elected; in the future while there is none.
    elected: u64,
    index: u64,
    proposed: Vec<(u64, Change)>,
    post: Vec<(u64, Message)>,
    epochs: BTreeMap<String, u64>,
    last_acted: BTreeMap<&'static str, u64>,
    /// Spans that were reported released, by epoch.
    given: BTreeMap<u64, Vec<Span>>,
    /// Last fence that a server took, by start of the span.
    fences: BTreeMap<u64, u64>,
}

pub(super) struct Vm {
    pub(super) name: &'static str,
    pub(super) zone: &'static str,
    pub(super) frozen_until: u64,
    clock: Clock,
    start: u64,
    view: Rc<View>,
    desk: Rc<BarDesk>,
    duties: Rc<Duties>,
    carrier: Carrier,
    asked: Rc<RefCell<Vec<Asked>>>,
    number: u64,
    renewing: Option<(u64, u64)>,
    watching: Option<u64>,
    pulled: u64,
    map: (u64, u64, u64),
}

pub(super) struct Server {
    pub(super) name: &'static str,
    pub(super) zone: &'static str,
    pub(super) frozen_until: u64,
    clock: Clock,
    asking: Option<u64>,
    lease_end: u64,
    grants: Vec<Grant>,
    floor: u64,
}

/// A clock that runs a little fast or slow.
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
    News(usize, u64, WatchAnswer),
    Renew(usize, u64, RenewRequest),
    Renewed(usize, u64, u64, RenewAnswer),
    Pull(usize, usize, PullRequest),
    Map(usize, PullAnswer),
    Bar(usize, usize, Weak<RefCell<Takeover>>, BarRequest),
    Barred(usize, usize, Weak<RefCell<Takeover>>, BarAnswer),
    Lease(usize, u64, usize, LeaseRequest),
    Leased(usize, u64, LeaseAnswer),
}

pub(super) fn document(term: u64) -> Document {
    Document {
        service: KIOSK.into(),
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
        let desk = Rc::new(BarDesk::new(clock.now(start)));
        let duties = Rc::new(Duties::default());
        let asked = Rc::new(RefCell::new(Vec::new()));
        let pushed = Rc::clone(&asked);
        let carrier = Carrier::new(
            Rc::clone(&view),
            Rc::clone(&desk),
            Rc::clone(&duties),
            Box::new(|_, _| Inherited::default()),
            Box::new(move |takeover, vm| pushed.borrow_mut().push((takeover, vm))),
            Journal::new(name.into()),
        );
        Self {
            name,
            zone,
            frozen_until: 0,
            clock,
            start,
            view,
            desk,
            duties,
            carrier,
            asked,
            number: 0,
            renewing: None,
            watching: None,
            pulled: 0,
            map: (0, 0, 0),
        }
    }
}

impl World {
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
            asking: None,
            lease_end: 0,
            grants: Vec::new(),
            floor: 0,
        });
        let servers = servers.collect();
        Self {
            at: 0,
            rng,
            term: 2000,
            loss: 0,
            late: 0,
            cut: BTreeSet::new(),
            parted: None,
            vms,
            servers,
            store: Store::default(),
            takeovers: 0,
            moves: 0,
            acted: 0,
            base,
            office: Office::default(),
            elected: 0,
            index: 1,
            proposed: Vec::new(),
            post: Vec::new(),
            epochs: BTreeMap::new(),
            last_acted: BTreeMap::new(),
            given: BTreeMap::new(),
            fences: BTreeMap::new(),
        }
    }

    /// One step of time; panics if an invariant is broken.
    pub(super) fn step(&mut self) {
        self.at += STEP;
        self.deliver();
        self.lead();
        for i in 0..self.vms.len() {
            if self.vms[i].frozen_until <= self.at {
                self.entry(i);
            }
        }
        for i in 0..self.servers.len() {
            if self.servers[i].frozen_until <= self.at {
                self.server(i);
            }
        }
        self.check();
    }

    pub(super) fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.step();
        }
    }

    /// Another control VM leads after a while; what was proposed may be lost.
    pub(super) fn change_leader(&mut self, gap: u64) {
        for (_, change) in std::mem::take(&mut self.proposed) {
            if self.rng.bool() {
                self.commit(change);
            }
        }
        self.elected = self.at + gap;
    }

    /// Cuts a whole zone off from the control VMs.
    pub(super) fn cut_zone(&mut self, zone: &str) {
        let vms = self.vms.iter().filter(|vm| vm.zone == zone);
        self.cut = vms.map(|vm| vm.name).collect();
    }

    /// An entry VM's process is lost and started again.
    pub(super) fn restart(&mut self, i: usize) {
        let (name, zone, clock) = (self.vms[i].name, self.vms[i].zone, self.vms[i].clock);
        self.vms[i] = Vm::new(name, zone, clock, self.at);
    }

    /// VMs that act, with their zones.
    pub(super) fn acting(&self) -> Vec<(&'static str, &'static str)> {
        let acts = |vm: &&Vm| !vm.carrier.acting(vm.clock.now(self.at)).is_empty();
        let vms = self.vms.iter().filter(acts);
        vms.map(|vm| (vm.name, vm.zone)).collect()
    }

    pub(super) fn spans(&self, zone: &str) -> usize {
        let delegation = self.store.delegation(KIOSK, zone);
        delegation.map_or(0, |d| d.spans.len())
    }

    fn described(&self) -> Described {
        Described {
            term: Duration::from_millis(self.term),
            longest: Duration::ZERO,
            ..kiosk()
        }
    }

    fn leads(&self) -> bool {
        self.elected <= self.at
    }

    fn control_now(&self, at: u64) -> Instant {
        self.base + Duration::from_millis(at)
    }

    fn send(&mut self, message: Message) {
        let far = match &message {
            Message::Watch(i, ..)
            | Message::News(i, ..)
            | Message::Renew(i, ..)
            | Message::Renewed(i, ..) => self.cut.contains(self.vms[*i].name),
            _ => false,
        };
        let parted = match &message {
            Message::Pull(a, b, _) | Message::Bar(a, b, ..) | Message::Barred(a, b, ..) => {
                self.parted == Some((*a.min(b), *a.max(b)))
            }
            _ => false,
        };
        let lost = far || parted || self.rng.u64(0..100) < self.loss;
        let late = self.rng.u64(0..100) < self.late;
        let delay = self.rng.u64(0..if late { 900 } else { 12 });
        if !lost {
            self.post.push((self.at + delay, message));
        }
    }

    fn deliver(&mut self) {
        let frozen = |world: &Self, message: &Message| match message {
            Message::News(i, ..)
            | Message::Renewed(i, ..)
            | Message::Map(i, _)
            | Message::Pull(_, i, _)
            | Message::Bar(_, i, ..)
            | Message::Lease(_, _, i, _)
            | Message::Barred(i, ..) => world.vms[*i].frozen_until > world.at,
            Message::Leased(i, ..) => world.servers[*i].frozen_until > world.at,
            Message::Watch(..) | Message::Renew(..) => false,
        };
        let post = std::mem::take(&mut self.post);
        for (due, message) in post {
            if due > self.at || frozen(self, &message) {
                self.post.push((due, message));
            } else {
                self.take(message);
            }
        }
    }

    fn take(&mut self, message: Message) {
        let at = self.at;
        match message {
            Message::Watch(i, asked, request) if self.leads() => {
                self.office.watch_seen(self.control_now(at), &request);
                let news = self.news(request.have);
                self.send(Message::News(i, asked, news));
            }
            Message::Renew(i, sent, request) if self.leads() => {
                let now = self.control_now(at);
                let answer = self.office.renew(now, &request, &self.store);
                self.send(Message::Renewed(i, sent, request.number, answer));
            }
            Message::News(i, asked, answer) if self.vms[i].watching == Some(asked) => {
                self.vms[i].watching = None;
                self.vms[i].view.take_in(answer);
            }
            Message::Renewed(i, sent, number, answer) => {
                let vm = &mut self.vms[i];
                if vm.renewing == Some((number, sent)) && vm.start <= sent {
                    vm.carrier.answered(vm.clock.now(sent), &answer);
                }
            }
            Message::Pull(from, to, request) => {
                let vm = &self.vms[to];
                let Some(duty) = vm.duties.get(&request.service, &request.zone) else {
                    return;
                };
                let now = vm.clock.now(at);
                if duty.admit(now, &request).is_ok()
                    && let Ok(answer) = duty.answer(now, &request)
                {
                    self.send(Message::Map(from, answer));
                }
            }
            Message::Map(i, answer) if answer.epoch == 0 => self.vms[i].map.0 = answer.number,
            Message::Map(i, answer) => {
                self.vms[i].map = (answer.number, answer.epoch, answer.version);
            }
            Message::Bar(from, to, takeover, request) => {
                let answer = self.vms[to].desk.bar(self.vms[to].clock.now(at), &request);
                self.send(Message::Barred(from, to, takeover, answer));
            }
            Message::Barred(i, voter, takeover, answer) => {
                if let Some(takeover) = takeover.upgrade() {
                    let voter = self.vms[voter].name.into();
                    let now = self.vms[i].clock.now(at);
                    takeover.borrow_mut().answered(now, &voter, &answer);
                }
            }
            Message::Lease(i, sent, to, request) => {
                let vm = &self.vms[to];
                let duty = vm.duties.get(&request.service, &request.zone);
                if let Some(answer) = duty.and_then(|d| d.lease(vm.clock.now(at), &request)) {
                    self.send(Message::Leased(i, sent, answer));
                }
            }
            Message::Leased(i, sent, answer) if self.servers[i].asking == Some(sent) => {
                for grant in self.servers[i].take(at, sent, &answer) {
                    let last = self.fences.insert(grant.span.start, grant.fence);
                    assert!(
                        last.is_none_or(|last| last < grant.fence),
                        "{grant:?} at {at}"
                    );
                }
            }
            Message::Watch(..) | Message::Renew(..) | Message::News(..) | Message::Leased(..) => {}
        }
    }

    fn news(&self, have: u64) -> WatchAnswer {
        let news = self.store.news_since(have);
        let document = DocumentNews {
            version: 1,
            change: "c".into(),
            document: document(self.term),
        };
        WatchAnswer {
            index: self.index,
            documents: if have == 0 {
                vec![document]
            } else {
                Vec::new()
            },
            delegations: news.delegations,
            entries: news.entries,
            drains: news.drains,
        }
    }

    fn lead(&mut self) {
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
            let (now, since) = (self.control_now(self.at), self.control_now(self.elected));
            let described = [self.described()];
            let changes = self.office.decide(now, since, &self.store, &described);
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
            Change::Appoint { .. } => self.takeovers += 1,
            Change::Move {
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

    fn entry(&mut self, i: usize) {
        let at = self.at;
        let now = self.vms[i].clock.now(at);
        self.vms[i].carrier.advance(now);
        let asked = std::mem::take(&mut *self.vms[i].asked.borrow_mut());
        for (takeover, voter) in asked {
            self.bar(i, takeover, &voter);
        }
        if self.vms[i].watching.is_none_or(|w| at >= w + PATIENCE) && at.is_multiple_of(50) {
            self.watch(i);
        }
        let last = self.vms[i].renewing;
        if last.is_none_or(|(_, sent)| at >= sent + 100) {
            let reports = self.vms[i].carrier.reports(now);
            for duty in &reports.duties {
                let given = self.given.entry(duty.epoch).or_default();
                given.extend_from_slice(&duty.released);
            }
            self.vms[i].number += 1;
            let number = self.vms[i].number;
            self.vms[i].renewing = Some((number, at));
            let request = RenewRequest {
                vm: self.vms[i].name.into(),
                number,
                duties: reports.duties,
                acting: reports.acting,
            };
            self.send(Message::Renew(i, at, request));
        }
        if at >= self.vms[i].pulled + 60 {
            self.vms[i].pulled = at;
            self.pull(i);
        }
    }

    fn watch(&mut self, i: usize) {
        let vm = &mut self.vms[i];
        vm.watching = Some(self.at);
        let zone = vm.zone;
        let live = self.servers.iter().filter(|s| s.zone == zone);
        let live = u32::try_from(live.count()).unwrap();
        let request = WatchRequest {
            entry: entry(vm.name, zone),
            have: vm.view.index(),
            wait: Duration::ZERO,
            heard: vec![Heard {
                service: KIOSK.into(),
                servers: live,
                slots: live * 6,
            }],
        };
        self.send(Message::Watch(i, self.at, request));
    }

    /// The voter's question to the carrier of its zone.
    fn pull(&mut self, i: usize) {
        let (at, vm) = (self.at, &self.vms[i]);
        let Some(delegation) = vm.view.delegation(KIOSK, vm.zone) else {
            return;
        };
        let votes = vm.desk.may_vote(&vm.view, KIOSK, vm.zone, delegation.epoch);
        if votes {
            vm.desk
                .voted(KIOSK, vm.zone, delegation.epoch, vm.clock.now(at));
        }
        let request = PullRequest {
            vm: vm.name.into(),
            service: KIOSK.into(),
            zone: vm.zone.into(),
            epoch: delegation.epoch,
            map_epoch: vm.map.1,
            version: vm.map.2,
            answered: vm.map.0,
            votes,
            wait: Duration::ZERO,
            loads: Vec::new(),
        };
        let to = self.vm(&delegation.carrier);
        self.send(Message::Pull(i, to, request));
    }

    fn bar(&mut self, i: usize, takeover: Weak<RefCell<Takeover>>, voter: &std::sync::Arc<str>) {
        let Some(held) = takeover.upgrade() else {
            return;
        };
        let request = held.borrow().request().clone();
        let to = self.vm(voter);
        let again = (Weak::clone(&takeover), std::sync::Arc::clone(voter));
        if self.at.is_multiple_of(50) {
            self.send(Message::Bar(i, to, takeover, request));
        }
        self.vms[i].asked.borrow_mut().push(again);
    }

    fn vm(&self, name: &str) -> usize {
        self.vms.iter().position(|vm| vm.name == name).unwrap()
    }

    fn server(&mut self, i: usize) {
        let at = self.at;
        if self.servers[i].asking.is_some_and(|sent| at < sent + 100) {
            return;
        }
        self.servers[i].expire(at);
        self.servers[i].asking = Some(at);
        let server = &self.servers[i];
        let in_zone: Vec<_> = self.vms.iter().filter(|v| v.zone == server.zone).collect();
        let any = in_zone[self.rng.usize(0..in_zone.len())];
        let Some(delegation) = any.view.delegation(KIOSK, server.zone) else {
            return;
        };
        let request = LeaseRequest {
            server: server.name.into(),
            incarnation: "i".into(),
            beat: at,
            service: KIOSK.into(),
            zone: server.zone.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: 6,
            checks: true,
            draining: false,
            busy: 0,
            holds: server.grants.clone(),
            finishing: Vec::new(),
        };
        let to = self.vm(&delegation.carrier);
        self.send(Message::Lease(i, at, to, request));
    }

    fn check(&mut self) {
        let acting = self.acting();
        for (name, zone) in &acting {
            let others = acting.iter().filter(|(n, z)| z == zone && n != name);
            assert_eq!(others.count(), 0, "{acting:?} at {}", self.at);
            self.last_acted.insert(zone, self.at);
        }
        self.acted += u64::from(!acting.is_empty());
        let mut grants: Vec<Span> = Vec::new();
        for server in &self.servers {
            if server.clock.now(self.at) < server.clock.now(server.lease_end) {
                grants.extend(server.grants.iter().map(|g| g.span));
            }
        }
        grants.sort_unstable();
        let once = grants.windows(2).all(|w| w[0].end < w[1].start);
        assert!(once, "a key with two owners at {}", self.at);
        self.check_store();
    }

    fn check_store(&mut self) {
        let delegations = self.store.delegations(KIOSK);
        let mut spans: Vec<Span> = delegations.flat_map(|d| d.spans.clone()).collect();
        spans.sort_unstable();
        let apart = spans.windows(2).all(|w| w[0].end + 1 == w[1].start);
        let width: u64 = spans.iter().map(Span::width).sum();
        assert!(spans.is_empty() || (apart && width == keys::SPACE));
        for delegation in self.store.delegations(KIOSK) {
            let zone = delegation.zone.to_string();
            let held = self.epochs.entry(zone).or_insert(0);
            assert!(delegation.epoch >= *held);
            *held = delegation.epoch;
        }
    }

    /// Spans leave a zone only once released, or once nothing has acted there for long.
    fn check_move(&self, from: &str, epoch: u64, spans: &[Span]) {
        let idle = self
            .last_acted
            .get(from)
            .map_or(self.at, |last| self.at - last);
        let given = self.given.get(&epoch);
        let given = given.is_some_and(|given| spans.iter().all(|s| given.contains(s)));
        assert!(given || idle >= 500, "moved after {idle} ms at {}", self.at);
        let held = |s: &&Server| s.clock.now(self.at) < s.clock.now(s.lease_end);
        for server in self.servers.iter().filter(|s| s.zone == from).filter(held) {
            let mut grants = server.grants.iter();
            assert!(!grants.any(|g| spans.iter().any(|s| s.overlaps(&g.span))));
        }
    }
}

impl Server {
    fn expire(&mut self, at: u64) {
        if self.clock.now(at) >= self.clock.now(self.lease_end) {
            self.grants.clear();
        }
    }

    /// Takes in an answer; gives the grants that are new.
    fn take(&mut self, at: u64, sent: u64, answer: &LeaseAnswer) -> Vec<Grant> {
        self.expire(at);
        let lease = u64::try_from(answer.lease.as_millis()).unwrap();
        self.lease_end = sent + lease;
        let floor = self.floor;
        let held = std::mem::take(&mut self.grants);
        let fresh = |g: &&Grant| held.contains(g) || g.fence > floor;
        self.grants = answer.grants.iter().filter(fresh).copied().collect();
        let highest = self.grants.iter().map(|g| g.fence).max();
        self.floor = highest.unwrap_or(0).max(floor);
        self.expire(at);
        let new = self.grants.iter().filter(|g| !held.contains(g));
        new.copied().collect()
    }
}
