//! Reports to the leader and operators, and changes that they ask for.

use std::rc::Rc;
use std::time::Instant;

use super::overview::{MoveOverview, ServerOverview, UnroutedReason, UnroutedSpan};
use super::server::Server;
use super::shard::{MoveCause, Shard, ShardState};
use super::state::{State, intersections, max_deadline, uncovered};
use crate::delegate::messages::{Delegation, DelegationReport, Predecessor};
use crate::document::Document;
use crate::ids;
use crate::keys;

impl State {
    /// Whether `delegation` continues this one: no other primary can have acted since it began.
    pub(super) fn continues_from(&self, delegation: &Delegation) -> bool {
        let same_primary = delegation.epoch > self.epoch && delegation.primary == self.primary;
        // Without any epoch the default is 0, so that every predecessor must be this primary.
        let first_epoch = self.epochs.first().copied().unwrap_or_default();
        let own = |p: &Predecessor| p.primary == self.primary;
        same_primary
            && delegation
                .predecessors
                .iter()
                .all(|p| p.epoch < first_epoch || own(p))
    }

    /// Continues under a higher epoch, with the spans of `delegation`.
    pub(super) fn apply_delegation(&mut self, delegation: &Delegation) {
        self.epoch = delegation.epoch;
        self.epochs.push(delegation.epoch);
        self.granted_count = 0;
        for start in self.starts_where(|s| !uncovered(&s.span, &delegation.spans).is_empty()) {
            self.restrict_shard(start, &delegation.spans);
        }
        let present: Vec<_> = self.shards.values().map(|s| s.span).collect();
        let added = delegation.spans.iter().flat_map(|s| uncovered(s, &present));
        let added: Vec<_> = added.collect();
        self.next_version();
        self.add_spans(&added);
        self.requested_releases
            .retain(|r| self.shards.values().any(|s| r.overlaps(&s.span)));
    }

    /// Restricts a shard to the delegated spans; the owner loses the remaining parts as well.
    fn restrict_shard(&mut self, start: keys::KeyHash, spans: &[keys::Span]) {
        self.record_shard("grant.given-up", start);
        self.revoke(start, MoveCause::Release, None);
        let Some(shard) = self.remove_shard(start) else {
            return;
        };
        for part in intersections(&shard.span, spans) {
            self.insert_shard(shard.restrict(part));
        }
    }

    /// Applies a newer document.
    pub(super) fn set_document(&mut self, document: Rc<Document>) {
        self.max_deadline = self.max_deadline.max(max_deadline(&document));
        self.document = document;
    }

    /// Revokes spans that another zone takes over; replaces earlier requests.
    pub(super) fn request_release(&mut self, spans: &[keys::Span]) {
        self.requested_releases = spans.to_vec();
        for start in self.starts_where(|s| s.owner().is_some() && self.release_requested(s.span)) {
            self.revoke(start, MoveCause::Release, None);
        }
    }

    /// Whether the span is to be released to another zone.
    pub(super) fn release_requested(&self, span: keys::Span) -> bool {
        self.requested_releases.iter().any(|r| r.overlaps(&span))
    }

    /// Report for the leader; the caller fills in the names and `resigned`.
    pub(super) fn report(&self, now: Instant) -> DelegationReport {
        let is_released = |s: &Shard| {
            matches!(s.state, ShardState::Free { .. })
                && self.older_maps_expired(s.withdrawn_version, now)
        };
        let all_released = |r: &&keys::Span| {
            let mut overlapping = self.shards.values().filter(|s| r.overlaps(&s.span));
            overlapping.all(is_released)
        };
        let assignable = self.servers.values().filter(|s| s.is_assignable());
        DelegationReport {
            service: ids::ServiceName::clone(&self.service),
            zone: ids::ZoneName::clone(&self.zone),
            epoch: self.epoch,
            servers: saturating_u32(self.servers.values().filter(|s| s.alive).count()),
            slots: assignable.fold(0, |sum, s| sum.saturating_add(s.info.slots)),
            released: self
                .requested_releases
                .iter()
                .filter(all_released)
                .copied()
                .collect(),
            resigned: false,
        }
    }

    /// Overviews for operators: servers, moves and unrouted spans.
    pub(super) fn overviews(&self) -> (Vec<ServerOverview>, Vec<MoveOverview>, Vec<UnroutedSpan>) {
        let servers = self
            .servers
            .values()
            .map(|s| self.server_overview(s))
            .collect();
        let moves = self.shards.values().filter_map(move_overview).collect();
        let unrouted = self.shards.values().filter_map(|s| self.unrouted_span(s));
        (servers, moves, unrouted.collect())
    }

    fn server_overview(&self, server: &Server) -> ServerOverview {
        let owner = server.owner();
        let granted = self.shards.values().filter(|s| s.owner() == Some(&owner));
        let granted: Vec<_> = granted.collect();
        let width: u64 = granted.iter().map(|s| s.span.width()).sum();
        ServerOverview {
            server: owner.server,
            incarnation: owner.incarnation,
            alive: server.alive,
            draining: server.is_draining(),
            checks_fences: server.info.checks_fences,
            address: server.info.address,
            slots: server.info.slots,
            warm_percent: server.info.warm_percent,
            outstanding_requests: server.outstanding_requests,
            span_count: granted.len(),
            keyspace_ppm: width / (keys::HASH_SPACE / 1_000_000),
            request_rate: granted.iter().map(|s| s.request_rate).sum(),
        }
    }

    fn unrouted_span(&self, shard: &Shard) -> Option<UnroutedSpan> {
        let reason = match &shard.state {
            ShardState::Granted {
                confirmed: true, ..
            } => return None,
            ShardState::Granted { .. } => UnroutedReason::Unconfirmed,
            ShardState::Revoking { .. } => UnroutedReason::Leaving,
            ShardState::PriorGrant { .. } => UnroutedReason::PriorGrants,
            ShardState::Free { .. } if self.release_requested(shard.span) => {
                UnroutedReason::Released
            }
            ShardState::Free { .. } => UnroutedReason::NoServer,
        };
        Some(UnroutedSpan {
            span: shard.span,
            reason,
        })
    }
}

fn move_overview(shard: &Shard) -> Option<MoveOverview> {
    let ShardState::Revoking {
        owner,
        cause,
        next_owner,
        ..
    } = &shard.state
    else {
        return None;
    };
    Some(MoveOverview {
        span: shard.span,
        from: ids::ServerName::clone(&owner.server),
        to: next_owner.clone(),
        cause: cause.as_str().into(),
    })
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
