//! The leader's state of one delegation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{Delegation, DelegationReport, RenewRequest, RenewedDelegation};
use super::planner::CONTACT_TIMEOUT;
use crate::ids;
use crate::keys;

/// Time that a new primary has to hear from a first backend server before its zone counts as empty.
const FIRST_SERVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Window in which a zone keeps the highest number of slots that it reported.
const SLOTS_WINDOW: Duration = Duration::from_secs(10);

/// The leader's state of one delegation.
#[derive(Debug)]
pub(super) struct DelegationState {
    pub(super) epoch: ids::Epoch,
    primary: ids::VmName,
    /// When the leader first saw the delegation.
    pub(super) first_seen_at: Instant,
    /// When the leader first saw this epoch.
    epoch_seen_at: Instant,
    /// Last renewal answered in any epoch.
    pub(super) last_renewal: Option<Instant>,
    last_sequence: u64,
    pub(super) status: PrimaryStatus,
    pub(super) active: bool,
    reported: bool,
    pub(super) servers: u32,
    had_servers: bool,
    slots: (u32, Instant),
    /// Spans to release, with the sequence number of the renewal whose response first named them.
    pub(super) requested: BTreeMap<keys::Span, Option<u64>>,
    pub(super) released: BTreeSet<keys::Span>,
}

/// State of a primary as the leader sees it; a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PrimaryStatus {
    /// The primary serves the delegation.
    Serving,
    /// A change is proposed that moves released spans to another zone.
    Moving,
    /// A change is proposed that replaces the primary or moves spans that it has not released.
    Revoked,
    /// The primary resigned.
    Resigned,
}

impl DelegationState {
    pub(super) fn new(now: Instant, delegation: &Delegation) -> Self {
        Self {
            epoch: delegation.epoch,
            primary: Arc::clone(&delegation.primary),
            first_seen_at: now,
            epoch_seen_at: now,
            last_renewal: None,
            last_sequence: 0,
            status: PrimaryStatus::Serving,
            active: false,
            reported: false,
            servers: 0,
            had_servers: false,
            slots: (0, now),
            requested: BTreeMap::new(),
            released: BTreeSet::new(),
        }
    }

    /// Follows the delegation to a higher epoch.
    pub(super) fn update(&mut self, now: Instant, delegation: &Delegation) {
        let interrupted = delegation
            .predecessors
            .iter()
            .any(|p| p.epoch >= self.epoch && (p.primary != delegation.primary || p.resigned));
        if interrupted
            || self.status == PrimaryStatus::Resigned
            || self.primary != delegation.primary
        {
            let fresh = Self::new(now, delegation);
            *self = Self {
                first_seen_at: self.first_seen_at,
                last_renewal: self.last_renewal,
                slots: self.slots,
                ..fresh
            };
            return;
        }
        self.epoch = delegation.epoch;
        self.epoch_seen_at = now;
        self.active &= delegation.predecessors.is_empty();
        self.status = PrimaryStatus::Serving;
        // The primary may have started anew, so spans that it reported as released no longer count.
        self.requested
            .retain(|span, _| delegation.spans.contains(span));
        self.requested.values_mut().for_each(|since| *since = None);
        self.released.clear();
    }

    /// Time since the leader first saw the present epoch.
    pub(super) fn epoch_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.epoch_seen_at)
    }

    /// Last renewal, or when this epoch was first seen if that is later.
    pub(super) fn heard_at(&self) -> Instant {
        self.last_renewal
            .map_or(self.epoch_seen_at, |at| at.max(self.epoch_seen_at))
    }

    /// Renews the lease; `None` once the primary has lost the delegation.
    pub(super) fn renew(
        &mut self,
        now: Instant,
        request: &RenewRequest,
        report: &DelegationReport,
    ) -> Option<RenewedDelegation> {
        if report.resigned {
            self.advance_status(PrimaryStatus::Resigned);
        }
        if self.status >= PrimaryStatus::Revoked {
            return None;
        }
        self.last_renewal = Some(now);
        self.active |= request.active_epochs.contains(&report.epoch);
        if request.sequence > self.last_sequence {
            self.record_report(now, request.sequence, report);
        }
        Some(RenewedDelegation {
            service: Arc::clone(&report.service),
            zone: Arc::clone(&report.zone),
            epoch: report.epoch,
            release: self.spans_to_release(),
        })
    }

    /// Sets the status, unless the present one is a later variant.
    pub(super) fn advance_status(&mut self, status: PrimaryStatus) {
        self.status = self.status.max(status);
    }

    fn record_report(&mut self, now: Instant, sequence: u64, report: &DelegationReport) {
        self.last_sequence = sequence;
        self.reported = true;
        self.servers = report.servers;
        self.had_servers |= report.servers > 0;
        if report.slots >= self.slots.0 || now >= self.slots.1 + SLOTS_WINDOW {
            self.slots = (report.slots, now);
        }
        let released = self.requested.iter().filter(|(span, since)| {
            since.is_some_and(|requested| sequence > requested)
                && is_covered(span, &report.released)
        });
        self.released = released.map(|(span, _)| *span).collect();
    }

    fn spans_to_release(&mut self) -> Vec<keys::Span> {
        for since in self.requested.values_mut() {
            since.get_or_insert(self.last_sequence);
        }
        self.requested.keys().copied().collect()
    }

    /// Highest number of slots reported within [`SLOTS_WINDOW`].
    pub(super) const fn slots(&self) -> u32 {
        self.slots.0
    }

    /// Whether the primary is reachable and active.
    pub(super) fn ready(&self, now: Instant) -> bool {
        let reachable = self
            .last_renewal
            .is_some_and(|at| now < at + CONTACT_TIMEOUT);
        reachable && self.active && self.reported && self.status < PrimaryStatus::Revoked
    }

    /// Whether the zone has no backend server although its primary is ready.
    pub(super) fn empty(&self, now: Instant) -> bool {
        let waited = self.had_servers || now >= self.epoch_seen_at + FIRST_SERVER_TIMEOUT;
        self.ready(now) && self.servers == 0 && waited
    }
}

fn is_covered(span: &keys::Span, parts: &[keys::Span]) -> bool {
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
