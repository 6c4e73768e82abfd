//! One zone in jumping time: carriers, backend servers, entry VMs, a lossy network.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};

use super::fixture;
use super::model::{DEADLINE, Entry, Fences, Server};
use crate::clock;
use crate::grant::shard::MoveCause;
use crate::grant::{Granter, InheritedState, LeaseHooks, LeaseRequest, LeaseResponse};
use crate::keys::Span;
use crate::route::messages::SpanLoad;
use crate::route::{PullRequest, PullResponse};
use crate::timeline::Journal;
use crate::timing;

/// Time of one step.
const STEP: Duration = Duration::from_millis(5);

const SERVERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const ENTRIES: [&str; 3] = ["vm1", "vm2", "vm3"];

/// Something that goes wrong or is asked for.
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
    FreezeCarrier(u16),
    CutCarrier(u16),
    Replace(u8, u16),
    Move(u8),
    Split(u8),
    Release(u8),
    Lossy(u8),
    Slow(u16),
}

impl Action {
    /// Draws an action.
    pub(super) fn draw(u: &mut Unstructured<'_>) -> Result<Self> {
        let (i, ms) = (u.arbitrary()?, u.arbitrary()?);
        Ok(match u.int_in_range(0..=15)? {
            0 => Self::FreezeServer(i, ms),
            1 => Self::RestartServer(i),
            2 => Self::StopServer(i),
            3 => Self::Leave(i),
            4 => Self::Drain(i, u.arbitrary()?),
            5 => Self::FreezeEntry(i, ms),
            6 => Self::RestartEntry(i),
            7 => Self::FreezeCarrier(ms),
            8 => Self::CutCarrier(ms),
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
    Lease(usize, LeaseRequest),
    Leased(usize, LeaseRequest, LeaseResponse),
    Pull(usize, u64, PullRequest),
    Pulled(usize, u64, PullResponse),
}

struct Carrier {
    duty: Rc<Granter>,
    right: Rc<Cell<Instant>>,
    frozen: Option<Instant>,
    cut: Option<Instant>,
}

/// The zone.
pub(super) struct World {
    pub(super) now: Instant,
    rng: fastrand::Rng,
    carriers: Vec<Carrier>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    network: Vec<(Instant, Message)>,
    journal: Journal,
    fences: Fences,
    epoch: u64,
    loss_percent: u8,
    delay: Duration,
    /// Spans that another zone owns.
    foreign: Vec<Span>,
}

impl World {
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
        let entries = ENTRIES.map(|e| Entry::new(e, rng.u32(0..36), now)).into();
        let mut world = Self {
            now,
            rng,
            carriers: Vec::new(),
            servers,
            entries,
            network: Vec::new(),
            journal: Journal::new("vm".into()),
            fences: Fences::default(),
            epoch: 1,
            loss_percent: 0,
            delay: Duration::from_millis(4),
            foreign: Vec::new(),
        };
        world.appoint(InheritedState::default());
        world
    }

    fn appoint(&mut self, inherited: InheritedState) {
        let right = Rc::new(Cell::new(self.now));
        let until = Rc::clone(&right);
        let rights = LeaseHooks {
            valid_until: Box::new(move |now| Some(until.get()).filter(|u| *u > now)),
            record_vote: Box::new(|_, _| {}),
        };
        let mut delegation = fixture::delegation(self.epoch);
        delegation.spans = self.spans();
        let duty = Granter::new(
            &delegation,
            fixture::document(DEADLINE),
            inherited,
            rights,
            self.journal.clone(),
        );
        self.carriers.push(Carrier {
            duty,
            right,
            frozen: None,
            cut: None,
        });
    }

    fn spans(&self) -> Vec<Span> {
        let spans = Span::cut(fixture::SPANS).into_iter();
        spans.filter(|s| !self.foreign.contains(s)).collect()
    }

    fn duty(&self) -> Rc<Granter> {
        Rc::clone(&self.carriers.last().unwrap().duty)
    }

    /// Does one thing.
    pub(super) fn act(&mut self, action: Action) {
        let now = self.now;
        let after = |ms: u16| Some(now + Duration::from_millis(u64::from(ms % 2000)));
        let server = |i: u8| usize::from(i) % SERVERS.len();
        let entry = |i: u8| usize::from(i) % ENTRIES.len();
        match action {
            Action::Nothing => {}
            Action::FreezeServer(i, ms) => self.servers[server(i)].frozen = after(ms),
            Action::RestartServer(i) => self.restart(server(i)),
            Action::StopServer(i) => self.servers[server(i)].gone = true,
            Action::Leave(i) => self.servers[server(i)].request.draining = true,
            Action::Drain(i, on) => self.duty().set_draining(SERVERS[server(i)], on),
            Action::FreezeEntry(i, ms) => self.entries[entry(i)].frozen = after(ms),
            Action::RestartEntry(i) => {
                let old = &self.entries[entry(i)];
                let mut new = Entry::new(&old.vm, 20, now);
                new.carrier = old.carrier;
                new.least = old.least;
                new.question = old.question + 1;
                self.entries[entry(i)] = new;
            }
            Action::FreezeCarrier(ms) => self.carriers.last_mut().unwrap().frozen = after(ms),
            Action::CutCarrier(ms) => self.carriers.last_mut().unwrap().cut = after(ms),
            Action::Replace(i, ms) => {
                self.replace(entry(i), Duration::from_millis(ms.into()) / 200);
            }
            Action::Move(i) => {
                let start = Span::cut(fixture::SPANS)[usize::from(i) % 16].start;
                let duty = self.duty();
                duty.state
                    .borrow_mut()
                    .revoke(start, MoveCause::Rebalance, None);
            }
            Action::Split(i) => {
                let span = Span::cut(fixture::SPANS)[usize::from(i) % 16];
                let duty = self.duty();
                duty.state.borrow_mut().split(span.start, span.start + 99);
            }
            Action::Release(i) if self.foreign.is_empty() => {
                let span = Span::cut(fixture::SPANS)[usize::from(i) % 16];
                self.duty().request_release(&[span]);
            }
            Action::Release(_) => {
                self.foreign.clear();
                self.rebase();
            }
            Action::Lossy(percent) => self.loss_percent = percent % 60,
            Action::Slow(ms) if ms % 4 == 0 => {
                self.delay = Duration::from_millis(u64::from(ms % 700));
            }
            Action::Slow(_) => self.delay = Duration::from_millis(1),
        }
    }

    /// Ends every fault and starts what stopped.
    pub(super) fn heal(&mut self) {
        self.loss_percent = 0;
        self.delay = Duration::from_millis(5);
        for (i, name) in SERVERS.iter().enumerate() {
            self.duty().set_draining(name, false);
            self.servers[i].frozen = None;
            if self.servers[i].gone || self.servers[i].request.draining {
                self.restart(i);
            }
        }
        self.foreign.clear();
        self.duty().request_release(&[]);
        self.rebase();
        self.entries.iter_mut().for_each(|e| e.frozen = None);
        let carrier = self.carriers.last_mut().unwrap();
        (carrier.frozen, carrier.cut) = (None, None);
    }

    /// Whether every entry VM knows a living owner of every span.
    pub(super) fn served(&self) -> bool {
        let whole = |e: &Entry| {
            let routes = e.usable(self.now);
            let width: u64 = routes.iter().map(|(r, _)| r.span.width()).sum();
            width == Span::ALL.width()
        };
        self.entries.iter().all(whole)
    }

    fn restart(&mut self, i: usize) {
        let mut new = self.servers[i].clone();
        let checks = new.request.checks_fences;
        new = Server::new(SERVERS[i], checks, 20, self.now);
        new.carrier = self.servers[i].carrier;
        new.request.incarnation = format!("start-{}", self.rng.u32(..)).into();
        let mut old = std::mem::replace(&mut self.servers[i], new);
        old.next_beat += timing::HEARTBEAT * 1000;
        self.servers.push(old);
    }

    fn rebase(&mut self) {
        self.epoch += 1;
        let mut delegation = fixture::delegation(self.epoch);
        delegation.spans = self.spans();
        assert!(self.duty().apply_delegation(&delegation));
    }

    /// Puts a carrier on an entry VM in place of the present one.
    fn replace(&mut self, vm: usize, later: Duration) {
        let right = &self.carriers.last().unwrap().right;
        let end = right.get().max(self.now) + later;
        self.carriers.last_mut().unwrap().cut = Some(end + Duration::from_hours(1));
        self.epoch += 1;
        let entry = &mut self.entries[vm];
        let own = entry.asked_at() + timing::ROUTE_LEASE;
        let inherited = InheritedState {
            routes: entry.routes.values().cloned().collect(),
            servers: entry.servers.values().cloned().collect(),
            map_valid: own > end && entry.expiry > end,
            predecessor_end: Some(end),
        };
        entry.carrier = self.carriers.len();
        entry.least = self.epoch;
        self.appoint(inherited);
    }

    /// Lets one step pass.
    pub(super) fn step(&mut self) {
        self.now += STEP;
        self.renew();
        self.deliver();
        self.beat();
        self.pull();
        self.request();
        for carrier in &self.carriers {
            if carrier.frozen.is_none_or(|f| self.now >= f) {
                carrier.duty.tick(self.now);
            }
        }
        self.give_away();
        self.check();
    }

    fn renew(&mut self) {
        let now = self.now;
        let carrier = self.carriers.last().unwrap();
        let runs = |o: Option<Instant>| o.is_none_or(|f| now >= f);
        if runs(carrier.frozen) && runs(carrier.cut) {
            carrier.right.set(now + timing::CARRIER_LEASE);
        }
    }

    fn give_away(&mut self) {
        let report = self.duty().report(self.now);
        let carrier = self.carriers.last().unwrap();
        let acts = carrier.right.get() > self.now;
        if acts && !report.released.is_empty() {
            self.foreign = report.released;
            self.rebase();
        }
    }

    fn send(&mut self, message: Message) {
        if self.rng.u8(0..100) < self.loss_percent {
            return;
        }
        let most = u64::try_from(self.delay.as_millis()).unwrap();
        let rare = if self.rng.u8(0..50) == 0 { 600 } else { 0 };
        let delay = Duration::from_millis(self.rng.u64(0..=most) + rare);
        self.network.push((self.now + delay, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, m)| *at <= now && self.awake(m));
        self.network = later;
        let mut due: Vec<(Instant, Message)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            self.receive(message);
        }
    }

    /// Whether the receiver of a message runs; else the message waits for it.
    fn awake(&self, message: &Message) -> bool {
        let carrier = |i: usize| self.carriers[i].frozen.is_none_or(|f| self.now >= f);
        match message {
            Message::Lease(i, _) => carrier(self.servers[*i].carrier),
            Message::Leased(i, ..) => self.servers[*i].frozen.is_none_or(|f| self.now >= f),
            Message::Pull(i, ..) => carrier(self.entries[*i].carrier),
            Message::Pulled(i, ..) => self.entries[*i].runs(self.now),
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Lease(i, request) => {
                let duty = Rc::clone(&self.carriers[self.servers[i].carrier].duty);
                if let Some(answer) = duty.renew_lease(now, &request) {
                    self.send(Message::Leased(i, request, answer));
                }
            }
            Message::Leased(i, request, answer) => {
                let server = &mut self.servers[i];
                let same = server.request.incarnation == request.incarnation;
                if same && server.runs(now) {
                    let new = server.take(now, request.sequence, &answer);
                    for grant in new {
                        self.fences.take(grant);
                    }
                }
            }
            Message::Pull(i, question, request) => {
                let duty = Rc::clone(&self.carriers[self.entries[i].carrier].duty);
                let admitted = duty.record_pull(now, &request);
                let answer = admitted.and_then(|()| duty.pull_response(now, &request));
                if let Ok(answer) = answer {
                    self.send(Message::Pulled(i, question, answer));
                }
            }
            Message::Pulled(i, question, answer) => self.entries[i].take(question, &answer),
        }
    }

    fn beat(&mut self) {
        let now = self.now;
        for i in 0..self.servers.len() {
            let server = &mut self.servers[i];
            if !server.runs(now) || now < server.next_beat {
                continue;
            }
            server.next_beat = now + timing::HEARTBEAT / self.rng.u32(1..=8);
            if self.rng.u8(0..4) == 0 {
                server.carrier = self.carriers.len() - 1;
            }
            let request = server.ask(now);
            self.send(Message::Lease(i, request));
        }
    }

    fn pull(&mut self) {
        let now = self.now;
        for i in 0..self.entries.len() {
            let entry = &mut self.entries[i];
            if !entry.runs(now) || now < entry.next_ask {
                continue;
            }
            entry.next_ask = now + timing::POLL_HOLD / self.rng.u32(1..=8);
            if self.rng.u8(0..4) == 0 {
                entry.carrier = self.carriers.len() - 1;
            }
            let loads = entry.routes.values().map(|r| SpanLoad {
                span: r.span,
                requests: self.rng.u64(0..30),
                hot_hashes: vec![(r.span.start, self.rng.u64(0..20))],
            });
            let loads = loads.collect();
            let epoch = self.carriers[entry.carrier].duty.epoch();
            let request = entry.ask(now, epoch, loads);
            let question = entry.question;
            self.send(Message::Pull(i, question, request));
        }
    }

    /// Every entry VM uses every route that it may use.
    fn request(&mut self) {
        let now = self.now;
        for entry in &self.entries {
            for (route, info) in entry.usable(now) {
                let to = |s: &&mut Server| {
                    let same = s.request.incarnation == info.incarnation;
                    same && s.request.server == info.server && !s.gone
                };
                let time = Duration::from_millis(self.rng.u64(0..=200));
                if let Some(server) = self.servers.iter_mut().find(to) {
                    let time = if info.checks_fences { time } else { DEADLINE };
                    server.work(now, &route, time);
                }
            }
        }
    }

    /// What the carriers did about a span, for a failed test.
    fn history(&self, span: Span) -> String {
        let events = self.journal.since(0).into_iter();
        let about = events.filter(|e| e.span.is_none_or(|s| s.overlaps(&span)));
        let lines: Vec<_> = about.map(|e| e.line()).collect();
        lines.join("\n")
    }

    /// No hash may have two owners at this instant.
    fn check(&self) {
        let live = self.servers.iter().filter(|s| !s.gone);
        let mut claims: Vec<(Span, usize)> = Vec::new();
        for (i, server) in live.enumerate() {
            claims.extend(server.claims(self.now).into_iter().map(|c| (c, i)));
        }
        claims.extend(self.foreign.iter().map(|f| (*f, usize::MAX)));
        claims.sort_unstable();
        claims.dedup();
        for (n, (span, owner)) in claims.iter().enumerate() {
            let next = claims[n + 1..].iter();
            let near = next.take_while(|(s, _)| s.start <= span.end);
            for (other, second) in near {
                assert_eq!(
                    owner,
                    second,
                    "{span} and {other}:\n{}",
                    self.history(*span)
                );
            }
        }
    }
}
