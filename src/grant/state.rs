//! The memory of a duty: its pieces, servers and subscribers.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::duty::Inherited;
use super::messages::{Grant, LeaseAnswer, LeaseRequest};
use super::overview::{Dark, DarkLine, MoveLine, ServerLine};
use super::piece::{Cause, Hold, Owner, Piece};
use super::server::Server;
use super::subscriber::Subscriber;
use crate::delegate;
use crate::delegate::messages::{Delegation, DutyReport, Prior};
use crate::document::Document;
use crate::ids;
use crate::keys;
use crate::place;
use crate::route::{PullAnswer, PullRequest};
use crate::timeline::{Event, Journal};
use crate::timing;

/// Time from the first server heard until spans are first placed.
const SETTLING: Duration = Duration::from_millis(250);

/// Time without a look after which servers are given [`SETTLING`] to come back.
const LONG_PAUSE: Duration = Duration::from_millis(250);

/// Time without a lease after which a server that comes back counts as cold.
const COLD_AFTER: Duration = Duration::from_secs(5);

/// Backend servers of one duty, at most.
const SERVERS_LIMIT: usize = 1024;

/// How long a lost server that owns nothing is remembered.
const LOST_MEMORY: Duration = Duration::from_mins(1);

/// Removed spans that a delta can name; beyond, subscribers get the full map.
const GONE_LIMIT: usize = 4096;

/// The memory of a duty.
#[derive(Debug)]
pub(super) struct State {
    pub(super) service: ids::ServiceName,
    pub(super) zone: ids::ZoneName,
    carrier: ids::VmName,
    pub(super) journal: Journal,
    /// Epochs of this duty, the present one last.
    pub(super) epochs: Vec<ids::Epoch>,
    pub(super) epoch: ids::Epoch,
    /// Grants numbered in this epoch.
    pub(super) granted: u64,
    pub(super) document: Rc<Document>,
    /// Longest deadline of any document seen.
    pub(super) deadline: Duration,
    pub(super) pieces: BTreeMap<keys::KeyHash, Piece>,
    pub(super) servers: BTreeMap<ids::ServerName, Server>,
    pub(super) subscribers: BTreeMap<ids::VmName, Subscriber>,
    pub(super) version: ids::MapVersion,
    gone: VecDeque<(ids::MapVersion, keys::Span)>,
    gone_floor: ids::MapVersion,
    answers: u64,
    /// Instant since which the prior carrier acts no more.
    pub(super) start: Option<Instant>,
    /// Until when grants of the prior carrier may live at servers that check.
    pub(super) settled: Option<Instant>,
    /// Until when maps of the prior carrier may be in use.
    pub(super) routed: Option<Instant>,
    /// When spans may first be placed; `None` until a server is heard.
    placing: Option<Instant>,
    ticked: Option<Instant>,
    asked: Vec<keys::Span>,
    /// When the load was last looked at.
    pub(super) rounded: Option<Instant>,
    /// Looks in a row that found the load uneven.
    pub(super) uneven: u32,
}

impl State {
    /// The memory of a carrier that begins.
    pub(super) fn new(
        delegation: &Delegation,
        document: Rc<Document>,
        inherited: &Inherited,
        journal: Journal,
    ) -> Self {
        let start = inherited.prior_end;
        let mut state = Self {
            service: ids::ServiceName::clone(&delegation.service),
            zone: ids::ZoneName::clone(&delegation.zone),
            carrier: ids::VmName::clone(&delegation.carrier),
            journal,
            epochs: vec![delegation.epoch],
            epoch: delegation.epoch,
            granted: 0,
            deadline: longest(&document),
            document,
            pieces: BTreeMap::new(),
            servers: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            version: 1,
            gone: VecDeque::new(),
            gone_floor: 0,
            answers: u64::from(fastrand::u32(..)) << 16,
            start,
            settled: start.map(|s| s + timing::SERVER_LEASE + timing::CLOCK_ALLOWANCE),
            routed: start.map(|s| s + timing::ROUTE_LEASE + timing::CLOCK_ALLOWANCE),
            placing: None,
            ticked: None,
            asked: Vec::new(),
            rounded: None,
            uneven: 0,
        };
        match start {
            Some(start) => state.inherit(start, &delegation.spans, inherited),
            None => state.add(&delegation.spans),
        }
        state
    }

    pub(super) const fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    pub(super) const fn version(&self) -> ids::MapVersion {
        self.version
    }

    /// Whether the prior carrier acts no more.
    pub(super) fn begun(&self, now: Instant) -> bool {
        self.start.is_none_or(|s| now >= s)
    }

    /// Whether the epoch has no more fences.
    pub(super) const fn spent(&self) -> bool {
        self.granted >= delegate::messages::FENCES_IN_EPOCH
    }

    /// Adds delegated spans, cut as the document says, held by nobody.
    fn add(&mut self, spans: &[keys::Span]) {
        let cut = keys::Span::cut(self.document.placement.spans.max(1));
        for part in spans.iter().flat_map(|s| overlaps(s, &cut)) {
            let hold = Hold::Free { last: None };
            let piece = Piece::new(part, hold, self.version);
            self.pieces.insert(part.start, piece);
        }
    }

    /// Records an event of this duty.
    pub(super) fn record(&self, event: Event) {
        let event = event.service(&self.service).zone(&self.zone);
        self.journal.record(event.epoch(self.epoch));
    }

    /// Takes the next map version.
    pub(super) const fn bump(&mut self) -> ids::MapVersion {
        self.version += 1;
        self.version
    }

    /// The next fence; `None` once the epoch has no more.
    pub(super) fn fence(&mut self) -> Option<ids::Fence> {
        if self.spent() {
            return None;
        }
        let fence = delegate::fence(self.epoch, self.granted);
        self.granted += 1;
        Some(fence)
    }

    /// Takes a piece out of the map, to be cut or given up.
    pub(super) fn take(&mut self, start: keys::KeyHash) -> Option<Piece> {
        let piece = self.pieces.remove(&start)?;
        let version = self.bump();
        if self.gone.len() == GONE_LIMIT {
            self.gone_floor = self.gone.pop_front().map_or(0, |(v, _)| v);
        }
        self.gone.push_back((version, piece.span));
        Some(piece)
    }

    /// Puts a piece into the map with a new stamp.
    pub(super) fn put(&mut self, mut piece: Piece) {
        piece.stamp = self.bump();
        piece.withdrawn = piece.stamp;
        self.pieces.insert(piece.span.start, piece);
    }

    /// Changes who holds the piece that starts there, and publishes what follows from it.
    pub(super) fn set(&mut self, start: keys::KeyHash, hold: Hold) {
        let version = self.version + 1;
        let Some(piece) = self.pieces.get_mut(&start) else {
            return;
        };
        let before = piece.published();
        piece.hold = hold;
        if matches!(piece.hold, Hold::Unknown { .. } | Hold::Free { .. }) {
            piece.exposed = false;
        }
        match (before, piece.published()) {
            (false, false) => return,
            (true, _) => piece.withdrawn = version,
            (false, true) => {}
        }
        piece.stamp = version;
        self.version = version;
    }

    /// Starts of the pieces that `wanted` picks.
    pub(super) fn picked<F>(&self, wanted: F) -> Vec<keys::KeyHash>
    where
        F: Fn(&Piece) -> bool,
    {
        let chosen = self.pieces.values().filter(|p| wanted(p));
        chosen.map(|p| p.span.start).collect()
    }

    /// Whether no entry VM can use a map older than `version`.
    pub(super) fn quiet(&self, version: ids::MapVersion, now: Instant) -> bool {
        let prior = self.routed.is_none_or(|r| now >= r);
        prior && self.subscribers.values().all(|s| s.beyond(version, now))
    }
}

/// Servers.
impl State {
    /// Answers a heartbeat.
    pub(super) fn lease(&mut self, now: Instant, request: &LeaseRequest) -> Option<LeaseAnswer> {
        if !self.meet(now, request) {
            return None;
        }
        let server = self.servers.get(&request.server)?;
        let owner = server.owner();
        if server.info.checks {
            self.adopt(now, &owner, request);
        }
        self.confirm(now, &owner, request);
        let grants = self.list(&owner);
        Some(self.listing(request, grants))
    }

    fn listing(&self, request: &LeaseRequest, grants: Vec<Grant>) -> LeaseAnswer {
        let bound = |p: &Piece| p.bound().is_some_and(|o| o.server == request.server);
        LeaseAnswer {
            epoch: self.epoch,
            lease: timing::SERVER_LEASE,
            grants,
            drained: request.draining && !self.pieces.values().any(bound),
        }
    }

    /// Takes in who asks; false if the question is out of order or there are too many servers.
    fn meet(&mut self, now: Instant, request: &LeaseRequest) -> bool {
        let end = now + timing::SERVER_LEASE + timing::CLOCK_ALLOWANCE;
        let version = self.version + 1;
        self.placing.get_or_insert(now + SETTLING);
        let Some(server) = self.servers.get_mut(&request.server) else {
            if self.servers.len() >= SERVERS_LIMIT {
                return false;
            }
            let mut server = Server::new(request, now);
            server.beat = request.beat;
            server.lease_end = end;
            server.stamp = version;
            server.leaving = request.draining;
            self.version = version;
            let name = ids::ServerName::clone(&request.server);
            self.servers.insert(name, server);
            self.record(Event::new("grant.server.new").server(&request.server));
            return true;
        };
        if server.outlived(&request.incarnation) {
            return false;
        }
        if server.info.incarnation != request.incarnation {
            let old = server.owner();
            self.restarted(&old);
        }
        let version = self.version + 1;
        let Some(server) = self.servers.get_mut(&request.server) else {
            return false;
        };
        if server.info.incarnation != request.incarnation {
            server.restart(request, now);
            server.stamp = version;
            self.version = version;
        }
        if server.info.checks && request.beat <= server.beat {
            return false;
        }
        if now > server.lease_end + COLD_AFTER {
            server.start_cold(now);
        }
        let moved = server.info.address != request.address || server.info.slots != request.slots;
        if moved || !server.alive {
            server.info.address = request.address;
            server.info.slots = request.slots;
            server.stamp = version;
            self.version = version;
        }
        server.alive = true;
        server.beat = request.beat;
        server.lease_end = end;
        server.leaving = request.draining;
        server.busy = request.busy;
        true
    }

    /// Takes the spans of a replaced start away.
    fn restarted(&mut self, old: &Owner) {
        self.record(Event::new("grant.server.restarted").server(&old.server));
        for start in self.picked(|p| p.holder() == Some(old)) {
            self.leave(start, Cause::Restarted, None);
        }
    }

    /// Takes in what a server says that it holds and is finishing.
    fn confirm(&mut self, now: Instant, owner: &Owner, request: &LeaseRequest) {
        let Some(server) = self.servers.get(&owner.server) else {
            return;
        };
        let (checks, end) = (server.info.checks, server.lease_end);
        for start in self.picked(|p| p.bound() == Some(owner)) {
            let Some(piece) = self.pieces.get_mut(&start) else {
                continue;
            };
            let grant = Grant {
                span: piece.span,
                fence: piece.fence,
            };
            let holds = request.holds.contains(&grant);
            let bound =
                touches(&request.holds, piece.span) || touches(&request.finishing, piece.span);
            match &mut piece.hold {
                Hold::Held { listed: false, .. } => {}
                Hold::Held {
                    confirmed: true, ..
                } if holds || !checks => {}
                Hold::Held { .. } if holds || !checks => {
                    piece.exposed = true;
                    self.set(start, held(owner, true, true));
                    self.note("grant.confirmed", start);
                }
                Hold::Held { .. } => self.dropped(now, start, owner, bound),
                Hold::Leaving { over, .. } if checks && bound => *over = end,
                Hold::Leaving { checks: true, .. } => self.vacate(now, start),
                _ => {}
            }
        }
    }

    /// A server does not hold a grant that was listed to it: it lost the answer or its lease.
    ///
    /// What it still works on under another grant counts as bound.
    fn dropped(&mut self, now: Instant, start: keys::KeyHash, owner: &Owner, bound: bool) {
        self.note("grant.dropped", start);
        let open = self.servers.get(&owner.server).is_some_and(Server::open);
        let settled = self.pieces.get(&start).is_some_and(|p| p.settled(now));
        match () {
            () if open && settled => self.give(start, owner),
            () if bound => self.leave(start, Cause::Lost, None),
            () => self.vacate(now, start),
        }
    }

    /// All grants of a server, listed from now on.
    fn list(&mut self, owner: &Owner) -> Vec<Grant> {
        let mut grants = Vec::new();
        let checks = self.servers.get(&owner.server);
        let checks = checks.is_some_and(|s| s.info.checks);
        for piece in self.pieces.values_mut() {
            if let Hold::Held {
                owner: held,
                listed,
                ..
            } = &mut piece.hold
                && held == owner
            {
                *listed = true;
                piece.exposed |= checks;
                grants.push(Grant {
                    span: piece.span,
                    fence: piece.fence,
                });
            }
        }
        grants
    }
}

/// Steps of a span.
impl State {
    /// Gives a free piece to a server, under a new fence.
    pub(super) fn give(&mut self, start: keys::KeyHash, owner: &Owner) {
        let Some(fence) = self.fence() else {
            return;
        };
        self.set(start, held(owner, false, false));
        if let Some(piece) = self.pieces.get_mut(&start) {
            piece.fence = fence;
            self.note("grant.given", start);
        }
    }

    /// Takes the route of a held piece back and lists its grant no longer.
    pub(super) fn leave(
        &mut self,
        start: keys::KeyHash,
        cause: Cause,
        next: Option<ids::ServerName>,
    ) {
        let Some(piece) = self.pieces.get(&start) else {
            return;
        };
        let Hold::Held { owner, .. } = piece.hold.clone() else {
            return;
        };
        let server = self.servers.get(&owner.server);
        let Some((checks, over)) = server.map(|s| (s.info.checks, s.lease_end)) else {
            return;
        };
        self.note("grant.leaving", start);
        let hold = match () {
            () if piece.exposed => Hold::Leaving {
                owner,
                checks,
                cause,
                over,
                quiet: None,
                next,
            },
            () => Hold::Free { last: next },
        };
        self.set(start, hold);
    }

    /// The last owner is proved to hold the piece no longer.
    pub(super) fn vacate(&mut self, now: Instant, start: keys::KeyHash) {
        let Some(piece) = self.pieces.get(&start) else {
            return;
        };
        let last = match &piece.hold {
            Hold::Leaving { next, .. } => next.clone(),
            Hold::Held { owner, .. } => Some(ids::ServerName::clone(&owner.server)),
            _ => None,
        };
        let hold = match piece.floor {
            Some(until) if now < until => Hold::Unknown { until },
            _ => Hold::Free { last },
        };
        self.set(start, hold);
        self.note("grant.free", start);
    }

    /// Records an event of one piece.
    pub(super) fn note(&self, kind: &str, start: keys::KeyHash) {
        let Some(piece) = self.pieces.get(&start) else {
            return;
        };
        let event = Event::new(kind).span(piece.span).fence(piece.fence);
        self.record(match &piece.hold {
            Hold::Held { owner, .. } => event.server(&owner.server),
            Hold::Leaving { owner, cause, .. } => {
                event.server(&owner.server).detail(cause.as_str())
            }
            _ => event,
        });
    }

    /// Advances all that waits for time to pass.
    pub(super) fn tick(&mut self, now: Instant, may_act: bool) {
        if !may_act {
            self.ticked = None;
            return;
        }
        let paused = self.ticked.is_none_or(|t| now > t + LONG_PAUSE);
        if paused && self.placing.is_some() {
            self.placing = Some(now + SETTLING);
        }
        self.ticked = Some(now);
        self.expire(now);
        self.warm(now);
        self.advance(now);
        if self.placing.is_some_and(|p| now >= p) {
            self.move_on(now);
            self.place(now);
        }
    }

    /// Ends the leases that have run out.
    fn expire(&mut self, now: Instant) {
        let out = |s: &&mut Server| s.alive && now >= s.lease_end;
        let mut lost = Vec::new();
        for server in self.servers.values_mut().filter(out) {
            server.alive = false;
            lost.push(server.owner());
        }
        for owner in lost {
            self.record(Event::new("grant.server.lost").server(&owner.server));
            for start in self.picked(|p| p.holder() == Some(&owner)) {
                self.leave(start, Cause::Lost, None);
            }
        }
        let names: Vec<_> = self.servers.keys().cloned().collect();
        for name in names {
            let bound = |p: &Piece| p.bound().is_some_and(|o| o.server == name);
            let old = |s: &Server| !s.alive && now >= s.lease_end + LOST_MEMORY;
            if self.servers.get(&name).is_some_and(old) && !self.pieces.values().any(bound) {
                self.servers.remove(&name);
            }
        }
        self.subscribers.retain(|_, s| now < s.expiry + LOST_MEMORY);
    }

    /// Grows the usable share of servers that warm up.
    fn warm(&mut self, now: Instant) {
        for server in self.servers.values_mut() {
            let percent = server.warmth(now);
            if server.alive && server.info.warm_percent != percent {
                self.version += 1;
                server.info.warm_percent = percent;
                server.stamp = self.version;
            }
        }
    }

    /// Advances pieces that wait for the end of a grant.
    fn advance(&mut self, now: Instant) {
        let waiting = |p: &Piece| matches!(p.hold, Hold::Unknown { .. } | Hold::Leaving { .. });
        for start in self.picked(waiting) {
            self.step(now, start);
        }
    }

    fn step(&mut self, now: Instant, start: keys::KeyHash) {
        let Some(piece) = self.pieces.get(&start) else {
            return;
        };
        let silent = self.quiet(piece.withdrawn, now);
        let settle = self.deadline + timing::CLOCK_ALLOWANCE;
        match piece.hold.clone() {
            Hold::Unknown { until } if now >= until && piece.settled(now) => {
                self.set(start, Hold::Free { last: None });
                self.note("grant.free", start);
            }
            Hold::Leaving {
                checks: true, over, ..
            } if now >= over => self.vacate(now, start),
            Hold::Leaving {
                checks: false,
                quiet: Some(quiet),
                ..
            } if now >= quiet + settle => self.vacate(now, start),
            Hold::Leaving {
                owner,
                checks: false,
                cause: Cause::Lost,
                ..
            } if self.back(&owner) => self.give(start, &owner),
            Hold::Leaving {
                checks: false,
                quiet: None,
                ..
            } if silent => {
                if let Some(Piece {
                    hold: Hold::Leaving { quiet, .. },
                    ..
                }) = self.pieces.get_mut(&start)
                {
                    *quiet = Some(now);
                }
            }
            _ => {}
        }
    }

    /// Whether a server that was lost came back as the same start.
    fn back(&self, owner: &Owner) -> bool {
        let server = self.servers.get(&owner.server);
        server.is_some_and(|s| s.open() && s.info.incarnation == owner.incarnation)
    }

    /// Places free spans on servers.
    fn place(&mut self, now: Instant) {
        let free = |p: &Piece| matches!(p.hold, Hold::Free { .. }) && !self.wanted(p.span);
        let free = self.picked(free);
        if free.is_empty() {
            return;
        }
        let (pieces, names, servers) = self.scene(now);
        for choice in place::assign(&pieces, &servers) {
            let (Some(piece), Some(name)) = (pieces.get(choice.piece), names.get(choice.server))
            else {
                continue;
            };
            let start = piece.span.start;
            let Some(server) = self.servers.get(name) else {
                continue;
            };
            let withdrawn = self.pieces.get(&start).map_or(0, |p| p.withdrawn);
            let may = server.info.checks || self.quiet(withdrawn, now);
            let owner = server.owner();
            if may && free.contains(&start) {
                self.give(start, &owner);
            }
        }
    }

    /// Pieces and servers as the placement policy sees them.
    pub(super) fn scene(
        &self,
        now: Instant,
    ) -> (Vec<place::Piece>, Vec<ids::ServerName>, Vec<place::Server>) {
        let names: Vec<_> = self.servers.keys().cloned().collect();
        let index = |name: &ids::ServerName| names.binary_search(name).ok();
        let piece = |p: &Piece| {
            let (owner, last) = match &p.hold {
                Hold::Held { owner, .. } => (index(&owner.server), None),
                Hold::Leaving { next, .. } => (next.as_ref().and_then(index), None),
                Hold::Free { last } => (None, last.as_ref().and_then(index)),
                Hold::Unknown { .. } => (None, None),
            };
            place::Piece {
                span: p.span,
                owner,
                last,
                free: matches!(p.hold, Hold::Free { .. }) && !self.wanted(p.span),
                movable: self.movable(p, now),
                rate: p.rate,
                hot: p.hot.iter().map(|h| (h.hash, h.rate)).collect(),
            }
        };
        let server = |s: &Server| place::Server {
            capacity: s.capacity(),
            open: s.open(),
        };
        let pieces = self.pieces.values().map(piece).collect();
        let servers = self.servers.values().map(server).collect();
        (pieces, names, servers)
    }
}

/// Entry VMs.
impl State {
    /// Takes in a question; returns when the answer that it repeats was sent.
    pub(super) fn heard(&mut self, now: Instant, request: &PullRequest) -> Option<Instant> {
        let known = self.epochs.contains(&request.map_epoch);
        let vm = ids::VmName::clone(&request.vm);
        self.take_loads(&request.loads);
        let entry = self.subscribers.entry(vm);
        let subscriber = entry.or_insert_with(|| Subscriber::new(now));
        if known && request.version <= self.version {
            subscriber.confirmed = subscriber.confirmed.max(request.version);
        }
        subscriber.sent(request.answered)
    }

    /// Whether there is news for the map that the question names.
    pub(super) fn newer(&self, request: &PullRequest) -> bool {
        self.version != request.version || !self.epochs.contains(&request.map_epoch)
    }

    /// Composes an answer; without a right it carries no map.
    pub(super) fn answer(
        &mut self,
        now: Instant,
        request: &PullRequest,
        mapped: bool,
    ) -> PullAnswer {
        self.answers += 1;
        let number = self.answers;
        let vm = ids::VmName::clone(&request.vm);
        let entry = self.subscribers.entry(vm);
        let subscriber = entry.or_insert_with(|| Subscriber::new(now));
        subscriber.answer(number, now, mapped);
        if !mapped {
            return PullAnswer {
                number,
                ..PullAnswer::default()
            };
        }
        let held = request.version;
        let known = self.epochs.contains(&request.map_epoch);
        let full = !known || held > self.version || held < self.gone_floor;
        let since = if full { 0 } else { held };
        let gone = self.gone.iter().filter(|(v, _)| !full && *v > since);
        let routes = self.pieces.values().filter(|p| p.stamp > since);
        let servers = self.servers.values().filter(|s| s.stamp > since);
        PullAnswer {
            number,
            epoch: self.epoch,
            version: self.version,
            full,
            gone: gone.map(|(_, s)| *s).collect(),
            routes: routes.map(Piece::route).collect(),
            servers: servers.map(|s| s.info.clone()).collect(),
        }
    }
}

/// Delegation and reports.
impl State {
    /// Whether no other carrier can have acted since this one was appointed.
    pub(super) fn goes_on(&self, delegation: &Delegation) -> bool {
        let same = delegation.epoch > self.epoch && delegation.carrier == self.carrier;
        let first = self.epochs.first().copied().unwrap_or_default();
        let own = |p: &Prior| p.carrier == self.carrier && self.epochs.contains(&p.epoch);
        same && delegation.prior.iter().all(|p| p.epoch < first || own(p))
    }

    /// Goes on under a higher epoch with other spans.
    pub(super) fn rebase(&mut self, delegation: &Delegation) {
        self.epoch = delegation.epoch;
        self.epochs.push(delegation.epoch);
        self.granted = 0;
        for start in self.picked(|p| !missing(&p.span, &delegation.spans).is_empty()) {
            self.narrow(start, &delegation.spans);
        }
        let present: Vec<_> = self.pieces.values().map(|p| p.span).collect();
        let added = delegation.spans.iter().flat_map(|s| missing(s, &present));
        let added: Vec<_> = added.collect();
        self.bump();
        self.add(&added);
        self.asked
            .retain(|a| self.pieces.values().any(|p| a.overlaps(&p.span)));
    }

    /// Keeps of a piece only what the spans cover; its owner must leave that too.
    fn narrow(&mut self, start: keys::KeyHash, spans: &[keys::Span]) {
        self.note("grant.given-up", start);
        self.leave(start, Cause::Release, None);
        let Some(piece) = self.take(start) else {
            return;
        };
        for part in overlaps(&piece.span, spans) {
            self.put(piece.part(part));
        }
    }

    /// Puts a newer document in force.
    pub(super) fn set_document(&mut self, document: Rc<Document>) {
        self.deadline = self.deadline.max(longest(&document));
        self.document = document;
    }

    /// Takes spans from their owners for another zone.
    pub(super) fn release(&mut self, spans: &[keys::Span]) {
        self.asked = spans.to_vec();
        for start in self.picked(|p| p.holder().is_some() && self.wanted(p.span)) {
            self.leave(start, Cause::Release, None);
        }
    }

    /// Whether another zone is to have the span.
    pub(super) fn wanted(&self, span: keys::Span) -> bool {
        self.asked.iter().any(|a| a.overlaps(&span))
    }

    /// State for the leader; names and resignation are filled in by the caller.
    pub(super) fn report(&self, now: Instant) -> DutyReport {
        let gone = |p: &Piece| matches!(p.hold, Hold::Free { .. }) && self.quiet(p.withdrawn, now);
        let clear = |a: &&keys::Span| {
            let mut inside = self.pieces.values().filter(|p| a.overlaps(&p.span));
            inside.all(gone)
        };
        let open = self.servers.values().filter(|s| s.open());
        DutyReport {
            service: ids::ServiceName::clone(&self.service),
            zone: ids::ZoneName::clone(&self.zone),
            epoch: self.epoch,
            servers: count(self.servers.values().filter(|s| s.alive).count()),
            slots: open.fold(0, |sum, s| sum.saturating_add(s.info.slots)),
            released: self.asked.iter().filter(clear).copied().collect(),
            resigned: false,
        }
    }

    /// State for operators.
    pub(super) fn lines(&self) -> (Vec<ServerLine>, Vec<MoveLine>, Vec<DarkLine>) {
        let servers = self.servers.values().map(|s| self.server_line(s)).collect();
        let moves = self.pieces.values().filter_map(move_line).collect();
        let dark = self.pieces.values().filter_map(|p| self.dark_line(p));
        (servers, moves, dark.collect())
    }

    fn server_line(&self, server: &Server) -> ServerLine {
        let owner = server.owner();
        let own = self.pieces.values().filter(|p| p.holder() == Some(&owner));
        let own: Vec<_> = own.collect();
        let keys: u64 = own.iter().map(|p| p.span.width()).sum();
        ServerLine {
            server: owner.server,
            address: server.info.address,
            incarnation: owner.incarnation,
            alive: server.alive,
            draining: server.draining(),
            checks: server.info.checks,
            slots: server.info.slots,
            warm_percent: server.info.warm_percent,
            busy: server.busy,
            spans: own.len(),
            keys_ppm: keys / (keys::SPACE / 1_000_000),
            rate: own.iter().map(|p| p.rate).sum(),
        }
    }

    fn dark_line(&self, piece: &Piece) -> Option<DarkLine> {
        let why = match &piece.hold {
            Hold::Held {
                confirmed: true, ..
            } => return None,
            Hold::Held { .. } => Dark::Unconfirmed,
            Hold::Leaving { .. } => Dark::Leaving,
            Hold::Unknown { .. } => Dark::PriorGrants,
            Hold::Free { .. } if self.wanted(piece.span) => Dark::Released,
            Hold::Free { .. } => Dark::NoServer,
        };
        Some(DarkLine {
            span: piece.span,
            why,
        })
    }
}

fn move_line(piece: &Piece) -> Option<MoveLine> {
    let Hold::Leaving {
        owner, cause, next, ..
    } = &piece.hold
    else {
        return None;
    };
    Some(MoveLine {
        span: piece.span,
        from: ids::ServerName::clone(&owner.server),
        to: next.clone(),
        cause: cause.as_str().into(),
    })
}

/// A holder of a piece.
pub(super) fn held(owner: &Owner, listed: bool, confirmed: bool) -> Hold {
    Hold::Held {
        owner: owner.clone(),
        listed,
        confirmed,
    }
}

/// Whether one of the grants shares a hash with the span.
fn touches(grants: &[Grant], span: keys::Span) -> bool {
    grants.iter().any(|g| g.span.overlaps(&span))
}

/// The parts that a span shares with each of the others.
pub(super) fn overlaps(span: &keys::Span, others: &[keys::Span]) -> Vec<keys::Span> {
    let shared = others.iter().filter(|o| o.overlaps(span));
    let part = |o: &keys::Span| keys::Span {
        start: o.start.max(span.start),
        end: o.end.min(span.end),
    };
    shared.map(part).collect()
}

/// The parts of a span that none of the others covers; these are in order.
pub(super) fn missing(span: &keys::Span, others: &[keys::Span]) -> Vec<keys::Span> {
    let mut parts = Vec::new();
    let mut start = span.start;
    for other in others.iter().filter(|o| o.overlaps(span)) {
        if other.start > start {
            let end = other.start - 1;
            parts.push(keys::Span { start, end });
        }
        start = other.end + 1;
    }
    if start <= span.end {
        let end = span.end;
        parts.push(keys::Span { start, end });
    }
    parts
}

/// Longest deadline of a document.
fn longest(document: &Document) -> Duration {
    let deadlines = document.routes.iter().map(|r| r.deadline);
    deadlines.max().unwrap_or_default()
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
