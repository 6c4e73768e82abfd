//! Takeover of the predecessor's grants by a new primary.
//!
//! Servers that check fences report the grants that they hold; if two report
//! the same hash, the higher fence wins. For servers that do not check fences,
//! the route map that this VM held as a subscriber is authoritative if it had
//! not expired, because no span is granted to or freed from such a server
//! before every map with the old route has expired.

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
    /// Starts from the map that this VM held as a subscriber of the predecessor.
    pub(super) fn inherit(
        &mut self,
        predecessor_end: Instant,
        spans: &[keys::Span],
        inherited: &InheritedState,
    ) {
        let leases_end = predecessor_end + timing::SERVER_LEASE + timing::CLOCK_ALLOWANCE;
        let maps_end = predecessor_end + timing::ROUTE_LEASE + timing::CLOCK_ALLOWANCE;
        let requests_end = maps_end + self.max_deadline + timing::CLOCK_ALLOWANCE;
        let earliest_free = leases_end.max(requests_end);
        for info in &inherited.servers {
            let mut server = Server::inherited(info.clone(), predecessor_end, leases_end);
            server.changed_version = self.version;
            self.servers
                .insert(ids::ServerName::clone(&info.server), server);
        }
        let routes: BTreeMap<_, _> = inherited.routes.iter().map(|r| (r.span.start, r)).collect();
        let known: Vec<_> = routes.values().map(|r| r.span).collect();
        for route in routes.values() {
            for part in intersections(&route.span, spans) {
                self.inherit_span(part, route, inherited.map_valid, leases_end, earliest_free);
            }
        }
        let initial_spans = keys::Span::split_evenly(self.document.placement.spans.max(1));
        let unknown = spans.iter().flat_map(|s| uncovered(s, &known));
        let unknown: Vec<_> = unknown
            .flat_map(|s| intersections(&s, &initial_spans))
            .collect();
        for part in unknown {
            self.insert_inherited(
                part,
                ShardState::PriorGrant {
                    until: earliest_free,
                },
                earliest_free,
            );
        }
    }

    fn inherit_span(
        &mut self,
        part: keys::Span,
        route: &route::Route,
        map_valid: bool,
        leases_end: Instant,
        earliest_free: Instant,
    ) {
        let server = route.server.as_ref().and_then(|s| self.servers.get(s));
        match server.map(|s| (s.info.checks_fences, s.owner())) {
            Some((false, owner)) if map_valid => {
                let fence = self.next_fence().unwrap_or(route.fence);
                self.insert_inherited(part, granted(&owner, false, true), earliest_free);
                if let Some(shard) = self.shards.get_mut(&part.start) {
                    shard.fence = fence;
                    shard.in_use = true;
                }
            }
            Some((true, _)) if map_valid => {
                self.insert_inherited(
                    part,
                    ShardState::PriorGrant { until: leases_end },
                    leases_end,
                );
            }
            _ => self.insert_inherited(
                part,
                ShardState::PriorGrant {
                    until: earliest_free,
                },
                earliest_free,
            ),
        }
    }

    fn insert_inherited(&mut self, span: keys::Span, state: ShardState, earliest_free: Instant) {
        let mut shard = Shard::new(span, state, self.version);
        shard.earliest_free = Some(earliest_free);
        self.shards.insert(span.start, shard);
    }

    /// Adopts the predecessor's grants that a server which checks fences still holds.
    ///
    /// Spans that the server holds or is finishing stay blocked until its lease ends.
    pub(super) fn adopt_grants(&mut self, now: Instant, owner: &Owner, request: &LeaseRequest) {
        if self.prior_grants_until.is_some_and(|u| now < u) {
            for grant in &request.held_grants {
                self.adopt_grant(now, owner, *grant);
            }
        }
        let lease_end = self.servers.get(&owner.server).map(|s| s.lease_end);
        let reported = request.held_grants.iter().chain(&request.finishing_grants);
        let reported: Vec<_> = reported.map(|g| g.span).collect();
        for shard in self.shards.values_mut() {
            if let ShardState::PriorGrant { until } = &mut shard.state
                && reported.iter().any(|r| r.overlaps(&shard.span))
            {
                *until = lease_end.map_or(*until, |e| e.max(*until));
                shard.earliest_free = shard.earliest_free.max(Some(*until));
            }
        }
    }

    fn adopt_grant(&mut self, now: Instant, owner: &Owner, grant: Grant) {
        let is_prior = delegate::messages::epoch_of(grant.fence) < self.epoch;
        let starts = self.starts_where(|s| s.span.overlaps(&grant.span));
        let shards: Vec<_> = starts.iter().filter_map(|s| self.shards.get(s)).collect();
        let spans: Vec<_> = shards.iter().map(|s| s.span).collect();
        let is_covered = uncovered(&grant.span, &spans).is_empty();
        let replaceable = |s: &&Shard| match &s.state {
            ShardState::PriorGrant { .. } => true,
            ShardState::Granted { .. } => s.fence < grant.fence && !s.clear_of_predecessor(now),
            _ => false,
        };
        if !is_prior || !is_covered || !shards.iter().all(replaceable) {
            return;
        }
        let earliest_free = shards.iter().filter_map(|s| s.earliest_free).max();
        if spans != [grant.span] {
            for start in &starts {
                self.split_around(*start, grant.span);
            }
            let state = ShardState::PriorGrant { until: now };
            self.insert_shard(Shard::new(grant.span, state, self.version));
        }
        let start = grant.span.start;
        self.set_state(start, granted(owner, true, true));
        if let Some(shard) = self.shards.get_mut(&start) {
            shard.fence = grant.fence;
            shard.in_use = true;
            shard.earliest_free = earliest_free;
        }
        self.record_shard("grant.adopted", start);
    }

    /// Removes a shard and inserts its parts outside of `span` again, as prior grants.
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
