//! What the leader knows of one delegation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{Delegation, DelegationReport, RenewRequest, RenewedDelegation};
use super::planner::SILENCE;
use crate::ids;
use crate::keys;

/// Time that a carrier without backend servers has to hear the first.
const FIRST_SERVER: Duration = Duration::from_secs(1);

/// How long a zone counts with the most slots it reported.
const SLOTS_MEMORY: Duration = Duration::from_secs(10);

/// What the leader knows of one delegation.
#[derive(Debug)]
pub(super) struct Known {
    pub(super) epoch: ids::Epoch,
    primary: ids::VmName,
    /// When the delegation was first seen.
    pub(super) since: Instant,
    /// When this epoch was first seen.
    first: Instant,
    /// Last renewal answered under any epoch.
    pub(super) renewed: Option<Instant>,
    number: u64,
    pub(super) standing: Standing,
    pub(super) acting: bool,
    reported: bool,
    pub(super) servers: u32,
    had_servers: bool,
    slots: (u32, Instant),
    /// Spans asked back, with the number of the renewal in whose answer they first were.
    pub(super) asked: BTreeMap<keys::Span, Option<u64>>,
    pub(super) released: BTreeSet<keys::Span>,
}

/// How a carrier stands with the leader, from well to ill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// It holds its duty.
    Holds,
    /// Spans that it released are on their way to another zone.
    Moving,
    /// A change is proposed that takes the duty or spans from it unasked.
    Ousted,
    /// It gave up the duty.
    Resigned,
}

impl Known {
    pub(super) fn new(now: Instant, delegation: &Delegation) -> Self {
        Self {
            epoch: delegation.epoch,
            primary: Arc::clone(&delegation.primary),
            since: now,
            first: now,
            renewed: None,
            number: 0,
            standing: Standing::Holds,
            acting: false,
            reported: false,
            servers: 0,
            had_servers: false,
            slots: (0, now),
            asked: BTreeMap::new(),
            released: BTreeSet::new(),
        }
    }

    /// Goes on under a higher epoch.
    pub(super) fn follow(&mut self, now: Instant, delegation: &Delegation) {
        let between = delegation
            .predecessors
            .iter()
            .any(|p| p.epoch >= self.epoch && (p.primary != delegation.primary || p.resigned));
        if between || self.standing == Standing::Resigned || self.primary != delegation.primary {
            let fresh = Self::new(now, delegation);
            *self = Self {
                since: self.since,
                renewed: self.renewed,
                slots: self.slots,
                ..fresh
            };
            return;
        }
        self.epoch = delegation.epoch;
        self.first = now;
        self.acting &= delegation.predecessors.is_empty();
        self.standing = Standing::Holds;
        // The carrier may have begun anew, so what it reported before counts no more.
        self.asked.retain(|span, _| delegation.spans.contains(span));
        self.asked.values_mut().for_each(|asked| *asked = None);
        self.released.clear();
    }

    /// How long the present epoch has been known.
    pub(super) fn appointed_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.first)
    }

    /// When the carrier was last heard, or else this epoch first seen.
    pub(super) fn heard(&self) -> Instant {
        self.renewed.map_or(self.first, |at| at.max(self.first))
    }

    /// Answers the carrier; `None` once its duty is lost.
    pub(super) fn renew(
        &mut self,
        now: Instant,
        request: &RenewRequest,
        duty: &DelegationReport,
    ) -> Option<RenewedDelegation> {
        if duty.resigned {
            self.sink(Standing::Resigned);
        }
        if self.standing >= Standing::Ousted {
            return None;
        }
        self.renewed = Some(now);
        self.acting |= request.active_epochs.contains(&duty.epoch);
        if request.sequence > self.number {
            self.report(now, request.sequence, duty);
        }
        Some(RenewedDelegation {
            service: Arc::clone(&duty.service),
            zone: Arc::clone(&duty.zone),
            epoch: duty.epoch,
            release: self.release(),
        })
    }

    /// Lowers the carrier's standing.
    pub(super) fn sink(&mut self, standing: Standing) {
        self.standing = self.standing.max(standing);
    }

    fn report(&mut self, now: Instant, number: u64, duty: &DelegationReport) {
        self.number = number;
        self.reported = true;
        self.servers = duty.servers;
        self.had_servers |= duty.servers > 0;
        if duty.slots >= self.slots.0 || now >= self.slots.1 + SLOTS_MEMORY {
            self.slots = (duty.slots, now);
        }
        let given = self.asked.iter().filter(|(span, asked)| {
            asked.is_some_and(|at| number > at) && covered(span, &duty.released)
        });
        self.released = given.map(|(span, _)| *span).collect();
    }

    fn release(&mut self) -> Vec<keys::Span> {
        for asked in self.asked.values_mut() {
            asked.get_or_insert(self.number);
        }
        self.asked.keys().copied().collect()
    }

    /// Slots of the zone.
    pub(super) const fn slots(&self) -> u32 {
        self.slots.0
    }

    /// Whether the carrier is in touch and waited out every other.
    pub(super) fn ready(&self, now: Instant) -> bool {
        let fresh = self.renewed.is_some_and(|at| now < at + SILENCE);
        fresh && self.acting && self.reported && self.standing < Standing::Ousted
    }

    /// Whether the zone has no backend server left, though its carrier lives.
    pub(super) fn empty(&self, now: Instant) -> bool {
        let waited = self.had_servers || now >= self.first + FIRST_SERVER;
        self.ready(now) && self.servers == 0 && waited
    }
}

fn covered(span: &keys::Span, parts: &[keys::Span]) -> bool {
    let mut parts: Vec<_> = parts.iter().filter(|p| p.overlaps(span)).collect();
    parts.sort_unstable();
    let mut next = span.start;
    for part in parts {
        if part.start > next {
            return false;
        }
        next = next.max(part.end.saturating_add(1));
    }
    next > span.end
}
