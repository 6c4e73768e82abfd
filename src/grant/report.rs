//! What a duty says of itself, and what the leader and operators change.

use std::rc::Rc;
use std::time::Instant;

use super::overview::{MoveOverview, ServerOverview, UnroutedReason, UnroutedSpan};
use super::piece::{Cause, Hold, Piece};
use super::server::Server;
use super::state::{State, longest, missing, overlaps};
use crate::delegate::messages::{Delegation, DutyReport, Prior};
use crate::document::Document;
use crate::ids;
use crate::keys;

impl State {
    /// Whether no other carrier can have acted since this one was appointed.
    pub(super) fn goes_on(&self, delegation: &Delegation) -> bool {
        let same = delegation.epoch > self.epoch && delegation.carrier == self.carrier;
        // Without an epoch of its own nothing lies before it, and every prior must be its own.
        let first = self.epochs.first().copied().unwrap_or_default();
        let own = |p: &Prior| p.carrier == self.carrier;
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
    pub(super) fn lines(&self) -> (Vec<ServerOverview>, Vec<MoveOverview>, Vec<UnroutedSpan>) {
        let servers = self.servers.values().map(|s| self.server_line(s)).collect();
        let moves = self.pieces.values().filter_map(move_line).collect();
        let dark = self.pieces.values().filter_map(|p| self.dark_line(p));
        (servers, moves, dark.collect())
    }

    fn server_line(&self, server: &Server) -> ServerOverview {
        let owner = server.owner();
        let own = self.pieces.values().filter(|p| p.holder() == Some(&owner));
        let own: Vec<_> = own.collect();
        let keys: u64 = own.iter().map(|p| p.span.width()).sum();
        ServerOverview {
            server: owner.server,
            incarnation: owner.incarnation,
            alive: server.alive,
            draining: server.draining(),
            checks_fences: server.info.checks_fences,
            address: server.info.address,
            slots: server.info.slots,
            warm_percent: server.info.warm_percent,
            outstanding_requests: server.busy,
            span_count: own.len(),
            keyspace_ppm: keys / (keys::SPACE / 1_000_000),
            request_rate: own.iter().map(|p| p.rate).sum(),
        }
    }

    fn dark_line(&self, piece: &Piece) -> Option<UnroutedSpan> {
        let why = match &piece.hold {
            Hold::Held {
                confirmed: true, ..
            } => return None,
            Hold::Held { .. } => UnroutedReason::Unconfirmed,
            Hold::Leaving { .. } => UnroutedReason::Leaving,
            Hold::Unknown { .. } => UnroutedReason::PriorGrants,
            Hold::Free { .. } if self.wanted(piece.span) => UnroutedReason::Released,
            Hold::Free { .. } => UnroutedReason::NoServer,
        };
        Some(UnroutedSpan {
            span: piece.span,
            reason: why,
        })
    }
}

fn move_line(piece: &Piece) -> Option<MoveOverview> {
    let Hold::Leaving {
        owner, cause, next, ..
    } = &piece.hold
    else {
        return None;
    };
    Some(MoveOverview {
        span: piece.span,
        from: ids::ServerName::clone(&owner.server),
        to: next.clone(),
        cause: cause.as_str().into(),
    })
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
