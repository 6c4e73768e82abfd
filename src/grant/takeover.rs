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
use super::server::Server;
use super::shard::{Owner, Shard, ShardState};
use super::state::{State, granted, intersections, uncovered};
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
        let worked = unrouted + self.max_deadline + timing::CLOCK_ALLOWANCE;
        let floor = settled.max(worked);
        for info in &inherited.servers {
            let mut server = Server::inherited(info.clone(), start, settled);
            server.changed_version = self.version;
            self.servers
                .insert(ids::ServerName::clone(&info.server), server);
        }
        let routes: BTreeMap<_, _> = inherited.routes.iter().map(|r| (r.span.start, r)).collect();
        let known: Vec<_> = routes.values().map(|r| r.span).collect();
        for route in routes.values() {
            for part in intersections(&route.span, spans) {
                self.inherit_span(part, route, inherited.map_valid, settled, floor);
            }
        }
        let cut = keys::Span::cut(self.document.placement.spans.max(1));
        let unknown = spans.iter().flat_map(|s| uncovered(s, &known));
        let unknown: Vec<_> = unknown.flat_map(|s| intersections(&s, &cut)).collect();
        for part in unknown {
            self.insert_inherited(part, ShardState::PriorGrant { until: floor }, floor);
        }
    }

    fn inherit_span(
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
                let fence = self.next_fence().unwrap_or(route.fence);
                self.insert_inherited(part, granted(&owner, false, true), floor);
                if let Some(shard) = self.shards.get_mut(&part.start) {
                    shard.fence = fence;
                    shard.in_use = true;
                }
            }
            Some((true, _)) if fresh => {
                self.insert_inherited(part, ShardState::PriorGrant { until: settled }, settled);
            }
            _ => self.insert_inherited(part, ShardState::PriorGrant { until: floor }, floor),
        }
    }

    fn insert_inherited(&mut self, span: keys::Span, hold: ShardState, floor: Instant) {
        let mut shard = Shard::new(span, hold, self.version);
        shard.earliest_free = Some(floor);
        self.shards.insert(span.start, shard);
    }

    /// Takes in what a server that checks still holds from the prior carrier.
    pub(super) fn adopt_grants(&mut self, now: Instant, owner: &Owner, request: &LeaseRequest) {
        if self.prior_grants_until.is_some_and(|s| now < s) {
            for grant in &request.held_grants {
                self.adopt_grant(now, owner, *grant);
            }
        }
        let end = self.servers.get(&owner.server).map(|s| s.lease_end);
        let named = request.held_grants.iter().chain(&request.finishing_grants);
        let named: Vec<_> = named.map(|g| g.span).collect();
        for shard in self.shards.values_mut() {
            if let ShardState::PriorGrant { until } = &mut shard.state
                && named.iter().any(|n| n.overlaps(&shard.span))
            {
                *until = end.map_or(*until, |e| e.max(*until));
                shard.earliest_free = shard.earliest_free.max(Some(*until));
            }
        }
    }

    fn adopt_grant(&mut self, now: Instant, owner: &Owner, grant: Grant) {
        let sane = delegate::messages::epoch_of(grant.fence) < self.epoch;
        let touched = self.starts_where(|p| p.span.overlaps(&grant.span));
        let shards: Vec<_> = touched.iter().filter_map(|s| self.shards.get(s)).collect();
        let spans: Vec<_> = shards.iter().map(|p| p.span).collect();
        let whole = uncovered(&grant.span, &spans).is_empty();
        let yields = |p: &&Shard| match &p.state {
            ShardState::PriorGrant { .. } => true,
            ShardState::Granted { .. } => p.fence < grant.fence && !p.clear_of_predecessor(now),
            _ => false,
        };
        if !sane || !whole || !shards.iter().all(yields) {
            return;
        }
        let floor = shards.iter().filter_map(|p| p.earliest_free).max();
        if spans != [grant.span] {
            for start in &touched {
                self.split_around(*start, grant.span);
            }
            let hold = ShardState::PriorGrant { until: now };
            self.insert_shard(Shard::new(grant.span, hold, self.version));
        }
        let start = grant.span.start;
        self.set_state(start, granted(owner, true, true));
        if let Some(shard) = self.shards.get_mut(&start) {
            shard.fence = grant.fence;
            shard.in_use = true;
            shard.earliest_free = floor;
        }
        self.record_shard("grant.adopted", start);
    }

    /// Takes a shard out and puts back what lies outside of `span`, as unknown.
    fn split_around(&mut self, start: keys::KeyHash, span: keys::Span) {
        let Some(mut shard) = self.remove_shard(start) else {
            return;
        };
        if let Some(until) = shard.earliest_free {
            shard.state = ShardState::PriorGrant { until };
        }
        for part in uncovered(&shard.span, &[span]) {
            self.insert_shard(shard.restrict(part));
        }
    }
}
