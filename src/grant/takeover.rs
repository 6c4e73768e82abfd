//! What a new carrier takes over from the prior one.
//!
//! Servers that check say themselves what they hold; of two that name the same
//! hash the higher fence wins. For servers that do not check, the map that this
//! VM held as a subscriber is the truth while it was fresh, because no span
//! comes to or leaves such a server before every map with the old route is gone.

use std::collections::BTreeMap;
use std::time::Instant;

use super::granter::InheritedState;
use super::messages::{Grant, LeaseRequest};
use super::piece::{Hold, Owner, Piece};
use super::server::Server;
use super::state::{State, held, missing, overlaps};
use crate::delegate;
use crate::ids;
use crate::keys;
use crate::route;
use crate::timing;

impl State {
    /// Starts from the own map as a subscriber of the prior carrier.
    pub(super) fn inherit(
        &mut self,
        start: Instant,
        spans: &[keys::Span],
        inherited: &InheritedState,
    ) {
        let settled = start + timing::SERVER_LEASE + timing::CLOCK_ALLOWANCE;
        let unrouted = start + timing::ROUTE_LEASE + timing::CLOCK_ALLOWANCE;
        let worked = unrouted + self.deadline + timing::CLOCK_ALLOWANCE;
        let floor = settled.max(worked);
        for info in &inherited.servers {
            let mut server = Server::inherited(info.clone(), start, settled);
            server.stamp = self.version;
            self.servers
                .insert(ids::ServerName::clone(&info.server), server);
        }
        let routes: BTreeMap<_, _> = inherited.routes.iter().map(|r| (r.span.start, r)).collect();
        let known: Vec<_> = routes.values().map(|r| r.span).collect();
        for route in routes.values() {
            for part in overlaps(&route.span, spans) {
                self.inherit_part(part, route, inherited.map_valid, settled, floor);
            }
        }
        let cut = keys::Span::cut(self.document.placement.spans.max(1));
        let unknown = spans.iter().flat_map(|s| missing(s, &known));
        let unknown: Vec<_> = unknown.flat_map(|s| overlaps(&s, &cut)).collect();
        for part in unknown {
            self.insert(part, Hold::Unknown { until: floor }, floor);
        }
    }

    fn inherit_part(
        &mut self,
        part: keys::Span,
        route: &route::Route,
        fresh: bool,
        settled: Instant,
        floor: Instant,
    ) {
        let server = route.server.as_ref().and_then(|s| self.servers.get(s));
        match server.map(|s| (s.info.checks_fences, s.owner())) {
            Some((false, owner)) if fresh => {
                let fence = self.fence().unwrap_or(route.fence);
                self.insert(part, held(&owner, false, true), floor);
                if let Some(piece) = self.pieces.get_mut(&part.start) {
                    piece.fence = fence;
                    piece.exposed = true;
                }
            }
            Some((true, _)) if fresh => {
                self.insert(part, Hold::Unknown { until: settled }, settled);
            }
            _ => self.insert(part, Hold::Unknown { until: floor }, floor),
        }
    }

    fn insert(&mut self, span: keys::Span, hold: Hold, floor: Instant) {
        let mut piece = Piece::new(span, hold, self.version);
        piece.floor = Some(floor);
        self.pieces.insert(span.start, piece);
    }

    /// Takes in what a server that checks still holds from the prior carrier.
    pub(super) fn adopt(&mut self, now: Instant, owner: &Owner, request: &LeaseRequest) {
        if self.settled.is_some_and(|s| now < s) {
            for grant in &request.held_grants {
                self.adopt_grant(now, owner, *grant);
            }
        }
        let end = self.servers.get(&owner.server).map(|s| s.lease_end);
        let named = request.held_grants.iter().chain(&request.finishing_grants);
        let named: Vec<_> = named.map(|g| g.span).collect();
        for piece in self.pieces.values_mut() {
            if let Hold::Unknown { until } = &mut piece.hold
                && named.iter().any(|n| n.overlaps(&piece.span))
            {
                *until = end.map_or(*until, |e| e.max(*until));
                piece.floor = piece.floor.max(Some(*until));
            }
        }
    }

    fn adopt_grant(&mut self, now: Instant, owner: &Owner, grant: Grant) {
        let sane = delegate::messages::epoch_of(grant.fence) < self.epoch;
        let touched = self.picked(|p| p.span.overlaps(&grant.span));
        let pieces: Vec<_> = touched.iter().filter_map(|s| self.pieces.get(s)).collect();
        let spans: Vec<_> = pieces.iter().map(|p| p.span).collect();
        let whole = missing(&grant.span, &spans).is_empty();
        let yields = |p: &&Piece| match &p.hold {
            Hold::Unknown { .. } => true,
            Hold::Held { .. } => p.fence < grant.fence && !p.settled(now),
            _ => false,
        };
        if !sane || !whole || !pieces.iter().all(yields) {
            return;
        }
        let floor = pieces.iter().filter_map(|p| p.floor).max();
        if spans != [grant.span] {
            for start in &touched {
                self.cut_around(*start, grant.span);
            }
            let hold = Hold::Unknown { until: now };
            self.put(Piece::new(grant.span, hold, self.version));
        }
        let start = grant.span.start;
        self.set(start, held(owner, true, true));
        if let Some(piece) = self.pieces.get_mut(&start) {
            piece.fence = grant.fence;
            piece.exposed = true;
            piece.floor = floor;
        }
        self.note("grant.adopted", start);
    }

    /// Takes a piece out and puts back what lies outside of `span`, as unknown.
    fn cut_around(&mut self, start: keys::KeyHash, span: keys::Span) {
        let Some(mut piece) = self.take(start) else {
            return;
        };
        if let Some(until) = piece.floor {
            piece.hold = Hold::Unknown { until };
        }
        for part in missing(&piece.span, &[span]) {
            self.put(piece.part(part));
        }
    }
}
