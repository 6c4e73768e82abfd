//! What a duty says of itself, and what the leader and operators change.

use std::rc::Rc;
use std::time::Instant;

use super::overview::{MoveOverview, ServerOverview, UnroutedReason, UnroutedSpan};
use super::server::Server;
use super::shard::{MoveCause, Shard, ShardState};
use super::state::{State, intersections, max_deadline, uncovered};
use crate::delegate::messages::{Delegation, DutyReport, Prior};
use crate::document::Document;
use crate::ids;
use crate::keys;

impl State {
    /// Whether no other carrier can have acted since this one was appointed.
    pub(super) fn continues_from(&self, delegation: &Delegation) -> bool {
        let same = delegation.epoch > self.epoch && delegation.carrier == self.primary;
        // Without an epoch of its own nothing lies before it, and every prior must be its own.
        let first = self.epochs.first().copied().unwrap_or_default();
        let own = |p: &Prior| p.carrier == self.primary;
        same && delegation.prior.iter().all(|p| p.epoch < first || own(p))
    }

    /// Goes on under a higher epoch with other spans.
    pub(super) fn apply_delegation(&mut self, delegation: &Delegation) {
        self.epoch = delegation.epoch;
        self.epochs.push(delegation.epoch);
        self.granted_count = 0;
        for start in self.starts_where(|p| !uncovered(&p.span, &delegation.spans).is_empty()) {
            self.restrict_shard(start, &delegation.spans);
        }
        let present: Vec<_> = self.shards.values().map(|p| p.span).collect();
        let added = delegation.spans.iter().flat_map(|s| uncovered(s, &present));
        let added: Vec<_> = added.collect();
        self.next_version();
        self.add_spans(&added);
        self.requested_releases
            .retain(|a| self.shards.values().any(|p| a.overlaps(&p.span)));
    }

    /// Keeps of a shard only what the spans cover; its owner must leave that too.
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

    /// Puts a newer document in force.
    pub(super) fn set_document(&mut self, document: Rc<Document>) {
        self.max_deadline = self.max_deadline.max(max_deadline(&document));
        self.document = document;
    }

    /// Takes spans from their owners for another zone.
    pub(super) fn request_release(&mut self, spans: &[keys::Span]) {
        self.requested_releases = spans.to_vec();
        for start in self.starts_where(|p| p.owner().is_some() && self.release_requested(p.span)) {
            self.revoke(start, MoveCause::Release, None);
        }
    }

    /// Whether another zone is to have the span.
    pub(super) fn release_requested(&self, span: keys::Span) -> bool {
        self.requested_releases.iter().any(|a| a.overlaps(&span))
    }

    /// State for the leader; names and resignation are filled in by the caller.
    pub(super) fn report(&self, now: Instant) -> DutyReport {
        let gone = |p: &Shard| {
            matches!(p.state, ShardState::Free { .. })
                && self.older_maps_expired(p.withdrawn_version, now)
        };
        let clear = |a: &&keys::Span| {
            let mut inside = self.shards.values().filter(|p| a.overlaps(&p.span));
            inside.all(gone)
        };
        let open = self.servers.values().filter(|s| s.is_assignable());
        DutyReport {
            service: ids::ServiceName::clone(&self.service),
            zone: ids::ZoneName::clone(&self.zone),
            epoch: self.epoch,
            servers: saturating_u32(self.servers.values().filter(|s| s.alive).count()),
            slots: open.fold(0, |sum, s| sum.saturating_add(s.info.slots)),
            released: self
                .requested_releases
                .iter()
                .filter(clear)
                .copied()
                .collect(),
            resigned: false,
        }
    }

    /// State for operators.
    pub(super) fn overviews(&self) -> (Vec<ServerOverview>, Vec<MoveOverview>, Vec<UnroutedSpan>) {
        let servers = self
            .servers
            .values()
            .map(|s| self.server_overview(s))
            .collect();
        let moves = self.shards.values().filter_map(move_overview).collect();
        let dark = self.shards.values().filter_map(|p| self.unrouted_span(p));
        (servers, moves, dark.collect())
    }

    fn server_overview(&self, server: &Server) -> ServerOverview {
        let owner = server.owner();
        let own = self.shards.values().filter(|p| p.owner() == Some(&owner));
        let own: Vec<_> = own.collect();
        let keys: u64 = own.iter().map(|p| p.span.width()).sum();
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
            span_count: own.len(),
            keyspace_ppm: keys / (keys::SPACE / 1_000_000),
            request_rate: own.iter().map(|p| p.request_rate).sum(),
        }
    }

    fn unrouted_span(&self, shard: &Shard) -> Option<UnroutedSpan> {
        let why = match &shard.state {
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
            reason: why,
        })
    }
}

fn move_overview(shard: &Shard) -> Option<MoveOverview> {
    let ShardState::Revoking {
        owner,
        cause,
        next_owner: next,
        ..
    } = &shard.state
    else {
        return None;
    };
    Some(MoveOverview {
        span: shard.span,
        from: ids::ServerName::clone(&owner.server),
        to: next.clone(),
        cause: cause.as_str().into(),
    })
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
