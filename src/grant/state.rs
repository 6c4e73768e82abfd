//! The state of a granter: shards, backend servers and subscribers.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::granter::InheritedState;
use super::server::Server;
use super::shard::{Owner, Shard, ShardState};
use super::subscriber::Subscriber;
use crate::delegate;
use crate::delegate::messages::Delegation;
use crate::document::Document;
use crate::ids;
use crate::keys;
use crate::timeline::{Event, Journal};
use crate::timing;

/// Removed spans that are kept; a subscriber that missed older ones gets the full map.
const MAX_REMOVED_SPANS: usize = 4096;

#[derive(Debug)]
pub(super) struct State {
    pub(super) service: ids::ServiceName,
    pub(super) zone: ids::ZoneName,
    pub(super) primary: ids::VmName,
    pub(super) journal: Journal,
    /// Epochs of this granter, the current one last.
    pub(super) epochs: Vec<ids::Epoch>,
    pub(super) epoch: ids::Epoch,
    /// Grants made in the current epoch.
    pub(super) granted_count: u64,
    pub(super) document: Rc<Document>,
    /// Longest deadline in any document so far.
    pub(super) max_deadline: Duration,
    pub(super) shards: BTreeMap<keys::KeyHash, Shard>,
    pub(super) servers: BTreeMap<ids::ServerName, Server>,
    pub(super) subscribers: BTreeMap<ids::VmName, Subscriber>,
    pub(super) version: ids::MapVersion,
    pub(super) removed_spans: VecDeque<(ids::MapVersion, keys::Span)>,
    /// Lowest map version for which `removed_spans` is complete.
    pub(super) min_update_version: ids::MapVersion,
    pub(super) response_number: u64,
    /// When the predecessor stopped acting.
    pub(super) predecessor_end: Option<Instant>,
    /// Until when the predecessor's grants may be valid at servers that check fences.
    pub(super) prior_grants_until: Option<Instant>,
    /// Until when the predecessor's maps may be in use.
    pub(super) prior_maps_until: Option<Instant>,
    /// When free spans may first be assigned; `None` before the first heartbeat.
    pub(super) assign_after: Option<Instant>,
    pub(super) last_pass: Option<Instant>,
    pub(super) requested_releases: Vec<keys::Span>,
    pub(super) last_load_pass: Option<Instant>,
    /// Consecutive load passes that found the load imbalanced.
    pub(super) imbalanced_passes: u32,
}

impl State {
    pub(super) fn new(
        delegation: &Delegation,
        document: Rc<Document>,
        inherited: &InheritedState,
        journal: Journal,
    ) -> Self {
        let predecessor_end = inherited.predecessor_end;
        let mut state = Self {
            service: ids::ServiceName::clone(&delegation.service),
            zone: ids::ZoneName::clone(&delegation.zone),
            primary: ids::VmName::clone(&delegation.primary),
            journal,
            epochs: vec![delegation.epoch],
            epoch: delegation.epoch,
            granted_count: 0,
            max_deadline: max_deadline(&document),
            document,
            shards: BTreeMap::new(),
            servers: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            version: 1,
            removed_spans: VecDeque::new(),
            min_update_version: 0,
            response_number: u64::from(fastrand::u32(..)) << 16,
            predecessor_end,
            prior_grants_until: predecessor_end
                .map(|e| e + timing::SERVER_LEASE + timing::CLOCK_ALLOWANCE),
            prior_maps_until: predecessor_end
                .map(|e| e + timing::ROUTE_LEASE + timing::CLOCK_ALLOWANCE),
            assign_after: None,
            last_pass: None,
            requested_releases: Vec::new(),
            last_load_pass: None,
            imbalanced_passes: 0,
        };
        match predecessor_end {
            Some(end) => state.inherit(end, &delegation.spans, inherited),
            None => state.add_spans(&delegation.spans),
        }
        state
    }

    pub(super) const fn epoch(&self) -> ids::Epoch {
        self.epoch
    }

    pub(super) const fn version(&self) -> ids::MapVersion {
        self.version
    }

    pub(super) fn predecessor_ended(&self, now: Instant) -> bool {
        self.predecessor_end.is_none_or(|e| now >= e)
    }

    pub(super) const fn fences_exhausted(&self) -> bool {
        self.granted_count >= delegate::messages::FENCES_PER_EPOCH
    }

    /// Adds delegated spans as free shards, split as the document says.
    pub(super) fn add_spans(&mut self, spans: &[keys::Span]) {
        let initial_spans = keys::Span::split_evenly(self.document.placement.spans.max(1));
        for part in spans.iter().flat_map(|s| intersections(s, &initial_spans)) {
            let state = ShardState::Free { last_owner: None };
            let shard = Shard::new(part, state, self.version);
            self.shards.insert(part.start, shard);
        }
    }

    /// Records an event of this granter.
    pub(super) fn record(&self, event: Event) {
        let event = event.service(&self.service).zone(&self.zone);
        self.journal.record(event.epoch(self.epoch));
    }

    /// Advances the map version and returns it.
    pub(super) const fn next_version(&mut self) -> ids::MapVersion {
        self.version += 1;
        self.version
    }

    /// The next fence; `None` once the epoch's fences are exhausted.
    pub(super) fn next_fence(&mut self) -> Option<ids::Fence> {
        if self.fences_exhausted() {
            return None;
        }
        let fence = delegate::fence(self.epoch, self.granted_count);
        self.granted_count += 1;
        Some(fence)
    }

    /// Removes a shard from the map, to be split or given up.
    pub(super) fn remove_shard(&mut self, start: keys::KeyHash) -> Option<Shard> {
        let shard = self.shards.remove(&start)?;
        let version = self.next_version();
        if self.removed_spans.len() == MAX_REMOVED_SPANS {
            self.min_update_version = self.removed_spans.pop_front().map_or(0, |(v, _)| v);
        }
        self.removed_spans.push_back((version, shard.span));
        Some(shard)
    }

    /// Inserts a shard into the map under a new map version.
    pub(super) fn insert_shard(&mut self, mut shard: Shard) {
        shard.changed_version = self.next_version();
        shard.withdrawn_version = shard.changed_version;
        self.shards.insert(shard.span.start, shard);
    }

    /// Changes the state of the shard at `start`; a changed route gets a new map version.
    pub(super) fn set_state(&mut self, start: keys::KeyHash, state: ShardState) {
        let version = self.version + 1;
        let Some(shard) = self.shards.get_mut(&start) else {
            return;
        };
        let was_routed = shard.is_routed();
        shard.state = state;
        if matches!(
            shard.state,
            ShardState::PriorGrant { .. } | ShardState::Free { .. }
        ) {
            shard.in_use = false;
        }
        match (was_routed, shard.is_routed()) {
            (false, false) => return,
            (true, _) => shard.withdrawn_version = version,
            (false, true) => {}
        }
        shard.changed_version = version;
        self.version = version;
    }

    /// Start hashes of the shards that match.
    pub(super) fn starts_where<F>(&self, matches: F) -> Vec<keys::KeyHash>
    where
        F: Fn(&Shard) -> bool,
    {
        let found = self.shards.values().filter(|s| matches(s));
        found.map(|s| s.span.start).collect()
    }

    /// Whether no entry VM can use a map older than `version`.
    pub(super) fn older_maps_expired(&self, version: ids::MapVersion, now: Instant) -> bool {
        let prior_expired = self.prior_maps_until.is_none_or(|u| now >= u);
        prior_expired && self.subscribers.values().all(|s| s.is_past(version, now))
    }
}

pub(super) fn granted(owner: &Owner, sent: bool, confirmed: bool) -> ShardState {
    ShardState::Granted {
        owner: owner.clone(),
        sent,
        confirmed,
    }
}

/// The intersection of a span with each of the others, without empty ones.
pub(super) fn intersections(span: &keys::Span, others: &[keys::Span]) -> Vec<keys::Span> {
    let shared = others.iter().filter(|o| o.overlaps(span));
    let part = |o: &keys::Span| keys::Span {
        start: o.start.max(span.start),
        end: o.end.min(span.end),
    };
    shared.map(part).collect()
}

/// The parts of a span that none of `others` covers; `others` must be in order.
pub(super) fn uncovered(span: &keys::Span, others: &[keys::Span]) -> Vec<keys::Span> {
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

/// Longest deadline of any route in a document.
pub(super) fn max_deadline(document: &Document) -> Duration {
    let deadlines = document.routes.iter().map(|r| r.deadline);
    deadlines.max().unwrap_or_default()
}
