//! The memory of a duty: its pieces, servers and subscribers.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::granter::InheritedState;
use super::piece::{Hold, Owner, Piece};
use super::server::Server;
use super::subscriber::Subscriber;
use crate::delegate;
use crate::delegate::messages::Delegation;
use crate::document::Document;
use crate::ids;
use crate::keys;
use crate::timeline::{Event, Journal};
use crate::timing;

/// Removed spans that a delta can name; beyond, subscribers get the full map.
const GONE_LIMIT: usize = 4096;

/// The memory of a duty.
#[derive(Debug)]
pub(super) struct State {
    pub(super) service: ids::ServiceName,
    pub(super) zone: ids::ZoneName,
    pub(super) carrier: ids::VmName,
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
    pub(super) gone: VecDeque<(ids::MapVersion, keys::Span)>,
    pub(super) gone_floor: ids::MapVersion,
    pub(super) answers: u64,
    /// Instant since which the prior carrier acts no more.
    pub(super) start: Option<Instant>,
    /// Until when grants of the prior carrier may live at servers that check.
    pub(super) settled: Option<Instant>,
    /// Until when maps of the prior carrier may be in use.
    pub(super) routed: Option<Instant>,
    /// When spans may first be placed; `None` until a server is heard.
    pub(super) placing: Option<Instant>,
    pub(super) ticked: Option<Instant>,
    pub(super) asked: Vec<keys::Span>,
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
        inherited: &InheritedState,
        journal: Journal,
    ) -> Self {
        let start = inherited.predecessor_end;
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
    pub(super) fn add(&mut self, spans: &[keys::Span]) {
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

/// A holder of a piece.
pub(super) fn held(owner: &Owner, listed: bool, confirmed: bool) -> Hold {
    Hold::Held {
        owner: owner.clone(),
        listed,
        confirmed,
    }
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
pub(super) fn longest(document: &Document) -> Duration {
    let deadlines = document.routes.iter().map(|r| r.deadline);
    deadlines.max().unwrap_or_default()
}
